//! Messages that arrive in pieces: a part of a message is slow only when that message itself takes too long.

use crate::host::*;
use crate::limited;
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{self as protocol, Message};
use mulleinhub_sans_io::{ConnectionId, StateMachine};

fn bytes_of(messages: &[Message<'_>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    messages.iter().for_each(|message| protocol::encode(message, &mut bytes));
    bytes
}

fn receive(host: &mut Host, link: ConnectionId, bytes: &[u8]) -> Vec<Said> {
    host.engine.on_data(host.now, link, bytes);
    host.turn()
}

/// The greeting of a new connection, cut in the middle.
fn greeting(host: &Host, name: &str) -> (Vec<u8>, Vec<u8>) {
    let mut first = bytes_of(&[hello(name, host.now)]);
    let rest = first.split_off(first.len() / 2);
    (first, rest)
}

#[test]
fn messages_in_a_row_whose_pieces_never_end_where_they_do_are_no_slow_message() {
    let mut host = limited(|clients| clients.frame_timeout = Duration::from_secs(2));
    let client = host.client("pieces");
    let one = bytes_of(&[Message::Learn { task: u64::MAX }]);
    let all = one.repeat(40);
    let mut answers = receive(&mut host, client, &all[..one.len() / 2]).len();
    for piece in all[one.len() / 2..].chunks(one.len()) {
        host.lives(200);
        answers += receive(&mut host, client, piece).len();
    }
    assert!(
        !host.ended.contains(&client),
        "a part of a message was here for eight seconds, never of the same"
    );
    assert_eq!(answers, 40);
}

#[test]
fn more_messages_than_a_turn_hears_before_a_part_of_one_are_no_slow_message() {
    let mut host = limited(|clients| clients.frame_timeout = Duration::from_secs(2));
    let client = host.client("many");
    let one = bytes_of(&[Message::Learn { task: u64::MAX }]);
    let piece = [&one[one.len() / 2..], &one.repeat(100), &one[..one.len() / 2]].concat();
    receive(&mut host, client, &one[..one.len() / 2]);
    for _ in 0..20 {
        host.now = host.now + Duration::from_nanos(200_000_000);
        receive(&mut host, client, &piece);
    }
    assert!(!host.ended.contains(&client));
}

#[test]
fn new_clients_within_their_greetings_keep_their_places_while_others_are_free() {
    const PLACES: usize = 40;
    let mut host = limited(|clients| (clients.max_connections, clients.max_unidentified) = (PLACES, 5));
    let mut waiting = Vec::new();
    for n in 0..PLACES {
        let name = format!("new-{n}");
        let link = host.opens(&name);
        let (first, rest) = greeting(&host, &name);
        receive(&mut host, link, &first);
        waiting.push((name, link, rest));
    }
    host.lives(200);
    let welcomed = waiting.iter().filter(|(name, link, rest)| {
        let said = receive(&mut host, *link, rest);
        says(&said, name, "Welcome")
    });
    assert_eq!(welcomed.count(), PLACES);
}

#[test]
fn greetings_that_are_here_and_not_heard_yet_keep_their_places_while_others_are_free() {
    const PLACES: usize = 40;
    let change = |clients: &mut mulleinhub_limits::Settings| {
        (clients.max_connections, clients.max_unidentified, clients.max_queued_per_iteration) =
            (PLACES, 5, 2);
    };
    let mut host = limited(change);
    for n in 0..PLACES {
        let name = format!("new-{n}");
        let link = host.opens(&name);
        host.only_tell(link, &[hello(&name, host.now)]);
    }
    host.lives(1_000);
    assert_eq!(host.ended, []);
}

#[test]
fn where_all_places_are_taken_a_part_of_a_greeting_keeps_none_from_those_who_greeted() {
    let mut host = limited(|clients| (clients.max_connections, clients.max_unidentified) = (20, 5));
    let greeted: Vec<ConnectionId> = (0..10).map(|n| host.client(&format!("greeted-{n}"))).collect();
    for n in 0..100 {
        let name = format!("half-{n}");
        let link = host.opens(&name);
        let (first, _) = greeting(&host, &name);
        receive(&mut host, link, &first);
        host.lives(10);
    }
    assert_eq!(host.ended.len(), 90, "of those that never ended their greeting, ten find a place");
    assert!(greeted.iter().all(|link| !host.ended.contains(link)));
    let late = host.client("late");
    assert!(!host.ended.contains(&late));
}

#[test]
fn a_greeting_that_begins_late_and_comes_in_pieces_has_its_own_time() {
    let mut host = limited(|_| ());
    let late = host.opens("late");
    let (first, rest) = greeting(&host, "late");
    host.lives(4_500);
    receive(&mut host, late, &first);
    host.lives(1_500);
    assert!(says(&receive(&mut host, late, &rest), "late", "Welcome"));
}

#[test]
fn a_greeting_that_never_becomes_whole_ends_its_connection() {
    let mut host = limited(|_| ());
    let slow = host.opens("slow");
    let (first, _) = greeting(&host, "slow");
    host.lives(4_500);
    for byte in first.iter().take(9) {
        receive(&mut host, slow, &[*byte]);
        host.lives(1_000);
    }
    assert!(!host.ended.contains(&slow));
    host.lives(1_200);
    assert!(host.ended.contains(&slow), "it has had ten seconds and a tick of the wheel");
}
