//! Graceful shutdown.

use super::harness::*;
use mulleinhub_interface::Duration;
use mulleinhub_platform_protocol::{cause_code, code, kind};

#[test]
fn shutdown_fails_health_checks_and_waits_for_answers() {
    let mut harness = Harness::new(6);
    let client = harness.connect_client();
    harness.deliver(client, &encode(kind::HEALTH_CHECK, 1, &[(code::CAUSE, &[0])]));
    assert_eq!(harness.received_on(client)[0].cause(), Some(1));
    harness.scheduler.begin_shutdown(harness.now);
    harness.deliver(client, &encode(kind::HEALTH_CHECK, 2, &[(code::CAUSE, &[0])]));
    assert_eq!(harness.received_on(client)[0].cause(), Some(0));
    harness.advance(ms(500));
    harness.deliver(client, &start_request(9, "front", ""));
    assert_eq!(harness.start_requests().len(), 1, "still admitted");
    harness.advance(ms(300));
    harness.deliver(client, &start_request(10, "front", ""));
    assert_eq!(
        harness.received_on(client)[0].cause(),
        Some(cause_code::FULL),
        "later ones are refused at once"
    );
    harness.scheduler.begin_shutdown(harness.now);
    harness.advance(ms(250));
    assert!(!harness.scheduler.is_shutdown_complete(harness.now), "one is unanswered");
    let (connection, _) = harness.start_requests().pop().expect("the first machine was silent");
    harness.deliver(connection, &acceptance(9));
    assert!(harness.scheduler.is_shutdown_complete(harness.now));
}

#[test]
fn shutdown_cuts_long_deadlines() {
    let mut harness = Harness::with_config(2, |config_json| {
        config_json.replace("2500000000", "60000000000").replace("2000000000", "60000000000")
    });
    let client = harness.connect_client();
    let long = |task, class| {
        let bytes = start_request(task, class, "");
        let at = bytes.windows(4).position(|four| four == b"2000").unwrap();
        [&bytes[2..at - 2], &[0, 5], b"60000", &bytes[at + 4..]].concat()
    };
    let framed = |body: Vec<u8>| [&(body.len() as u16).to_be_bytes()[..], &body].concat();
    harness.deliver(client, &framed(long(1, "front")));
    harness.advance(ms(100));
    harness.scheduler.begin_shutdown(harness.now);
    harness.run_until_idle();
    harness.deliver(client, &framed(long(2, "batch")));
    harness.advance(ms(3_600));
    let answers: Vec<u64> = harness.received_on(client).iter().map(|message| message.task).collect();
    assert_eq!(answers.len(), 2, "{answers:?}");
    assert!(harness.scheduler.is_shutdown_complete(harness.now));
}

#[test]
fn last_answers_leave_before_kill() {
    // SIGKILL comes no sooner than the longest client timeout, three seconds at the most, and 0.7 s.
    for (longest, kill) in [(1_200, 1_900), (2_500, 3_200), (60_000, 3_700)] {
        let mut harness = Harness::with_config(2, |config_json| {
            config_json
                .replace("2500000000", &format!("{longest}000000"))
                .replace("2000000000", &format!("{longest}000000"))
        });
        let client = harness.connect_client();
        harness.scheduler.begin_shutdown(harness.now);
        harness.run_until_idle();
        let requested_at = harness.now;
        harness.advance(ms(650));
        harness.deliver(client, &start_request(1, "front", ""));
        harness.advance(Duration::from_secs(6));
        let messages = harness.received_on(client);
        assert_eq!(messages.len(), 1, "{longest}");
        assert!(
            messages[0].at < requested_at + ms(kill - 200),
            "{longest}: {:?}",
            messages[0].at - requested_at
        );
    }
}
