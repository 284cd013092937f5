//! Lists of machines at the size of a large fleet, and lists that can't be read, as short stories.

use crate::host::*;
use mulleinhub_interface::Duration;
use mulleinhub_protocol::{self as protocol, Entry, ListKind, Message, Mode, WholeList};
use mulleinhub_sans_io::{CloseReason, ConnectionId, StateMachine};

const FLEET: u64 = 10_000;

fn entry(machine: u64, address: &str) -> Entry<'_> {
    Entry {
        machine,
        address,
        kind: 0,
        cell: machine as u32 / 10,
        zone: 0,
        mode: Mode::Active,
        life: 100 + machine,
        up_for: None,
        cores_left: Some(16.0),
        memory_left: Some(32.0),
    }
}

/// The frames that tell machines 1 to n.
fn told(kind: ListKind, version: u64, machines: u64) -> Vec<u8> {
    let addresses: Vec<String> = (1..=machines).map(|machine| format!("m{machine}")).collect();
    let entries: Vec<Entry<'_>> = (1..).zip(&addresses).map(|(id, address)| entry(id, address)).collect();
    let mut frames = Vec::new();
    protocol::encode_list(kind, version, &entries, &mut frames);
    frames
}

/// A piece with one machine.
fn piece(version: u64, number: u32, machine: u64, last: bool) -> Message<'static> {
    let entries = vec![entry(machine, "m1")];
    Message::ListPiece { kind: ListKind::Whole, version, number, last, entries }
}

/// A planner that has asked the list service for the list.
fn that_watches(saved: Option<Vec<u8>>) -> (Host, ConnectionId) {
    let mut host = Host::new(settings(), 1, saved);
    host.turn();
    host.accept("list");
    let link = host.link("list");
    (host, link)
}

/// Bytes come in on a link, in parts as a network may cut them.
fn hears(host: &mut Host, link: ConnectionId, bytes: &[u8]) -> Vec<Said> {
    let mut said = Vec::new();
    for part in bytes.chunks(50_000) {
        host.engine.on_data(host.now, link, part);
        said.extend(host.turn());
    }
    said
}

/// A client asks, and the machine that is offered the task accepts it.
fn places(host: &mut Host, task: u64) -> Vec<Said> {
    let client = host.client("owner");
    let said = host.ask(client, task, REPLAYABLE);
    let (machine, send) = offered(&said, task).expect("there is room");
    host.machine(machine, Message::Accepted { task, send })
}

/// The list that the planner keeps on its disk.
fn kept(host: &mut Host) -> WholeList {
    protocol::decode_list(&host.engine.state_to_persist().expect("the list changed")).expect("is a list")
}

#[test]
fn a_list_of_ten_thousand_machines_is_read_kept_and_used() {
    let (mut host, link) = that_watches(None);
    hears(&mut host, link, &told(ListKind::Whole, 5, FLEET));
    assert_eq!(host.engine.counts().machines, FLEET as usize);
    for id in 1..=FLEET {
        host.meets(id, 100 + id, Vec::new());
    }
    assert_eq!((host.engine.not_ready(), host.engine.counts().machines_ready), (None, FLEET as usize));
    let said = places(&mut host, 1);
    assert!(says(&said, "owner", "placed 1"), "{said:?}");
    let kept = host.engine.state_to_persist().expect("the list changed");
    let whole = protocol::decode_list(&kept).expect("is a list");
    assert_eq!((whole.version, whole.entries().len()), (5, FLEET as usize));

    // The next life begins with it, though the list service is away.
    let mut next = Host::new(settings(), 2, Some(kept));
    next.turn();
    assert_eq!(next.engine.counts().machines, FLEET as usize);
    for id in 1..=FLEET {
        next.meets(id, 100 + id, Vec::new());
    }
    let said = places(&mut next, 1);
    assert!(says(&said, "owner", "placed 1"), "{said:?}");
}

#[test]
fn a_status_of_ten_thousand_machines_fits_into_a_frame() {
    let (mut host, link) = that_watches(None);
    hears(&mut host, link, &told(ListKind::Whole, 5, FLEET));
    host.after(1_000);
    let client = host.client("status");
    let said = host.tell(client, &[Message::StatusAsk {}]);
    assert!(says(&said, "status", "Status"), "{said:?}");
    let status = host.engine.status();
    assert!(status.contains("machines 0 of 10000 ready, list version 5\nready\n"), "{status}");
    assert!(status.contains("\nmachine 1 coming Active") && status.ends_with(" lines more"), "{status}");
}

#[test]
fn changes_of_a_whole_fleet_come_in_pieces_too() {
    let (mut host, link) = that_watches(None);
    hears(&mut host, link, &told(ListKind::Whole, 5, FLEET));
    hears(&mut host, link, &told(ListKind::Changes, 6, FLEET / 2));
    assert_eq!(host.engine.counts().machines, FLEET as usize, "who is not named stays");
    assert_eq!(kept(&mut host).version, 6);
}

#[test]
fn half_a_list_changes_nothing_and_is_shown() {
    let (mut host, link) = that_watches(None);
    let list = told(ListKind::Whole, 5, FLEET);
    hears(&mut host, link, &list[..list.len() - 1]);
    assert_eq!((host.engine.counts().machines, host.engine.state_to_persist()), (0, None));
    let why = host.engine.not_ready().expect("no list is whole");
    assert!(why.ends_with("pieces of list version 5 came"), "{why}");
    assert!(host.engine.status().contains(&format!("not ready: {why}")));
    hears(&mut host, link, &list[list.len() - 1..]);
    assert_eq!(host.engine.counts().machines, FLEET as usize);
}

#[test]
fn pieces_of_a_connection_that_ended_are_not_taken_for_those_of_the_next() {
    let (mut host, link) = that_watches(None);
    let list = told(ListKind::Whole, 5, FLEET);
    hears(&mut host, link, &list[..list.len() / 2]);
    host.ends(link, CloseReason::Broken);
    host.lives(2_000);
    host.accept("list");
    let link = host.link("list");
    hears(&mut host, link, &told(ListKind::Whole, 5, 2_500));
    assert_eq!(host.engine.counts().machines, 2_500);
}

#[test]
fn a_list_that_changes_midway_is_taken_as_the_new_one_alone() {
    let (mut host, link) = that_watches(None);
    let list = told(ListKind::Whole, 5, FLEET);
    hears(&mut host, link, &list[..list.len() / 2]);
    // What is left of a frame comes first.
    let mut frames = protocol::Frames::default();
    frames.take(&list[..list.len() / 2]);
    while frames.next_frame().expect("are frames").is_some() {}
    let whole_frame = u32::from_be_bytes(*frames.rest().first_chunk().expect("a length")) as usize + 4;
    let cut = list.len() / 2 + whole_frame - frames.kept();
    hears(&mut host, link, &list[list.len() / 2..cut]);
    assert_eq!(host.engine.counts().machines, 0);
    hears(&mut host, link, &told(ListKind::Whole, 6, 3_000));
    assert_eq!(host.engine.counts().machines, 3_000);
    assert_eq!(kept(&mut host).version, 6);
}

#[test]
fn a_list_that_can_not_be_read_is_a_fault_that_is_told_and_tasks_are_nacked_at_once() {
    let (mut host, link) = that_watches(None);
    let client = host.client("owner");
    host.lives(1_000);
    let said = host.tell(link, &[piece(5, 1, 1, false)]);
    let why = "piece 1 of list version 5 without those before it";
    assert!(says(&said, "list", &format!("bye {why}")), "{said:?}");
    assert!(host.ended.contains(&link), "this connection alone");
    let reason = host.engine.not_ready().expect("no list");
    assert_eq!(reason, format!("the list can't be read: {why}; no list is known"));
    assert!(host.engine.status().contains(&reason) && host.engine.counts().bad_frames == 1);
    let said = host.ask(client, 1, REPLAYABLE);
    assert_eq!(said, [("owner".to_owned(), "nacked 1".to_owned())], "not at its deadline");

    // The list service is asked again, and what it tells then is used.
    host.lives(5_000);
    host.accept("list");
    let link = host.link("list");
    hears(&mut host, link, &told(ListKind::Whole, 6, 1));
    host.lives(1_000);
    host.meets(1, 101, Vec::new());
    assert_eq!(host.engine.not_ready(), None);
    assert!(says(&places(&mut host, 2), "owner", "placed 2"));
}

#[test]
fn an_older_list_service_with_too_long_a_list_is_a_fault_that_is_told() {
    let (mut host, link) = that_watches(None);
    let entries: Vec<Entry<'_>> = (1..=2_500).map(|id| entry(id, "m")).collect();
    let said = host.tell(link, &[Message::List { kind: ListKind::Whole, version: 1, entries }]);
    let why = "2500 machines in one message, 2000 at most";
    assert!(says(&said, "list", &format!("bye {why}")), "{said:?}");
    assert!(host.engine.not_ready().is_some_and(|told| told.contains(why)));
}

#[test]
fn with_an_older_list_at_hand_a_planner_goes_on_placing_and_is_not_called_ready() {
    let (mut host, link) = that_watches(Some(told(ListKind::Whole, 4, 2)));
    for id in [1, 2] {
        host.meets(id, 100 + id, Vec::new());
    }
    assert_eq!(host.engine.not_ready(), None);
    host.tell(link, &[piece(5, 0, 1, false), piece(5, 2, 2, true)]);
    let told = host.engine.not_ready().expect("the newer list can't be read");
    assert!(told.ends_with("piece 2 of list version 5 where 1 comes next; the last one, version 4, is used"));
    assert_eq!(host.engine.counts().machines, 2);
    assert!(says(&places(&mut host, 1), "owner", "placed 1"));
}

#[test]
fn a_list_service_that_refuses_is_told_of_and_asked_again() {
    let (mut host, link) = that_watches(None);
    let client = host.client("owner");
    host.lives(1_000);
    host.tell(link, &[Message::Bye { words: "the list has 2500 machines" }]);
    host.ends(link, CloseReason::Closed);
    let told = host.engine.not_ready().expect("no list");
    assert_eq!(told, "the list service refuses: the list has 2500 machines; no list is known");
    assert!(says(&host.ask(client, 1, REPLAYABLE), "owner", "nacked 1"));
    let before = host.opening.len();
    host.lives(5_000);
    assert!(host.opening[before..].iter().any(|(_, to)| to == "list"));
}

#[test]
fn a_list_service_that_begins_anew_for_ever_is_refused_and_nothing_is_held() {
    let (mut host, link) = that_watches(None);
    let mut refused = Vec::new();
    for version in 1..100 {
        refused.extend(host.tell(link, &[piece(version, 0, 1, false)]));
    }
    assert!(says(&refused, "list", "bye the list changed 9 times before it was told whole"), "{refused:?}");
    assert!(host.ended.contains(&link));
    assert_eq!(host.engine.counts().machines, 0);
    host.now = host.now + Duration::from_secs(1);
    assert!(host.engine.not_ready().is_some());
}

#[test]
fn a_planner_that_starts_anew_takes_over_39000_tasks_on_ten_thousand_machines() {
    const RUNNING: u64 = 39_000;
    let (mut host, link) = that_watches(None);
    hears(&mut host, link, &told(ListKind::Whole, 5, FLEET));
    for id in 1..=FLEET {
        let tasks = (0..RUNNING).filter(|task| task % FLEET + 1 == id).map(|task| {
            let shape = shape(task, REPLAYABLE);
            protocol::Held { task, send: 0, shape, owner: "owner", ended: None, runs: true }
        });
        host.meets(id, 100 + id, tasks.collect());
    }
    let counts = host.engine.counts();
    assert_eq!((counts.running, counts.machines_ready), (RUNNING as usize, FLEET as usize));
    assert!(says(&places(&mut host, RUNNING), "owner", &format!("placed {RUNNING}")));
    assert!(host.engine.status().contains("in hand pending 0 sent 0 placed 39001"));
}
