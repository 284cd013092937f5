use super::*;

#[test]
fn only_a_completely_unsent_frame_is_retracted() {
    let mut connections = Connections::default();
    let id = connections.register();
    for token in 1..=3 {
        connections.send(id, &[token as u8; 10], Some(token));
    }
    connections.mark_written(id, 4);
    assert!(!connections.retract(id, 1), "four bytes of it are sent");
    assert!(connections.retract(id, 2));
    assert!(!connections.retract(id, 2), "it is retracted already");
    assert_eq!(connections.outgoing(id), [&[1; 6][..], &[3; 10]].concat());
    connections.mark_written(id, 6);
    assert_eq!(connections.remove(id), [(3, Unsent::Entire)]);
}

#[test]
fn connections_are_written_in_order_of_first_send() {
    let mut connections = Connections::default();
    let [one, two, three] = [(); 3].map(|()| connections.register());
    for id in [three, one, two, three] {
        connections.send(id, &[0; 4], None);
    }
    connections.remove(one);
    let order: Vec<ConnectionId> = std::iter::from_fn(|| connections.next_with_output()).collect();
    assert_eq!(order, [three, two]);
}

#[test]
fn emptied_buffers_are_reused_or_freed() {
    let mut connections = Connections::default();
    let all: Vec<ConnectionId> = (0..1_000).map(|_| connections.register()).collect();
    for id in &all {
        connections.send(*id, &[0; 1_000], None);
    }
    assert!(connections.buffer_capacity() >= 1_000_000);
    for id in &all {
        connections.mark_written(*id, 1_000);
    }
    let no_buffers = connections.open.values().all(|connection| connection.output.is_none());
    assert!(connections.buffer_capacity() <= 64 * 16 * 1024 && no_buffers);
    connections.send(all[7], &[1; 10], Some(1));
    connections.mark_written(all[7], 4);
    assert!(!connections.retract(all[7], 1), "offsets restart with a reused buffer");
}

#[test]
fn removal_distinguishes_entirely_and_partially_unsent_frames() {
    let mut connections = Connections::default();
    let id = connections.register();
    for token in 1..=3 {
        connections.send(id, &[0; 8], Some(token));
    }
    connections.mark_written(id, 9);
    assert_eq!(connections.remove(id), [(2, Unsent::Partial), (3, Unsent::Entire)]);
    connections.send(id, &[0; 8], Some(4));
    assert_eq!(connections.pending_bytes(id), 0, "nothing is buffered for a removed connection");
}
