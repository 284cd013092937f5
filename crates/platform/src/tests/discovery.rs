//! The stream of endpoint events.

use super::harness::*;
use mulleinhub_sans_io::CloseReason;

#[test]
fn endpoint_stream_resumes_from_last_event() {
    let mut harness = Harness::new(1);
    let discovery = harness.connections_to(DISCOVERY)[0];
    let two = event(2, false, &[endpoint(2, "in_service", 0)]);
    harness.deliver(discovery, format!("id: 2\ndata: {two}\n\nid: 3\ndata: {{\"no\":3,").as_bytes());
    harness.close(discovery, CloseReason::Broken);
    let reconnected = harness.connections_to(DISCOVERY)[0];
    let call = String::from_utf8(harness.raw_bytes[&reconnected].clone()).unwrap();
    assert!(call.contains("Last-Event-ID: 2\r\n"), "{call}");
    let three = event(3, false, &[endpoint(2, "terminated", 0)]);
    harness
        .deliver(reconnected, format!("HTTP/1.1 200 OK\r\n\r\ndata: {three}\n\ndata: {two}\n\n").as_bytes());
    let known = &harness.scheduler.state.get_mut().machines.by_id;
    assert_eq!(known.len(), 1, "the second machine came and went, and did not come again");
    // A new address: the old connection is left, the numbers go on.
    let moved = crate::Config::parse(&config_json("", "127.0.0.1:8501")).unwrap();
    harness.scheduler.reload(harness.now, moved);
    harness.run_until_idle();
    let moved_connection = harness.connections_to("127.0.0.1:8501")[0];
    assert!(harness.closed.contains(&reconnected));
    assert!(
        String::from_utf8(harness.raw_bytes[&moved_connection].clone())
            .unwrap()
            .contains("Last-Event-ID: 3\r\n")
    );
    // Silent though open: it is connected again within the time in which its events count as delivered.
    harness.advance(ms(2_500));
    assert!(
        harness.closed.contains(&moved_connection) && harness.connections_to("127.0.0.1:8501").len() == 1
    );
}
