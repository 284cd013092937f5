//! The judge is judged: captures of a day that kept all rules are edited so that one rule is broken, and the
//! verdict must name that rule and the task or machine.

use mulleinhub_capture::{Deed, Record, Recorder, Side, Terms, read};
use mulleinhub_checker::{Verdict, judge};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Ending, Entry, ListKind, Message, Mode, Shape};
use mulleinhub_scenario::parse_day;
use mulleinhub_settings::{Diagnostics, parse};
use mulleinhub_simulation::Runner;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::LazyLock;

const LOST: usize = 0;
const TWICE: usize = 1;
const DRAINS: usize = 2;
const COLD: usize = 3;
const SPREAD: usize = 4;

/// A record that owns what it tells.
#[derive(Clone)]
enum Kept {
    Terms(Terms),
    Opened(u32, String, String),
    Frame(u32, Side, u32, Vec<u8>),
    Delivered(u32, Side, u32),
    Ended(u32, String),
    Deed(Deed, String, Option<u64>),
    Unread(u32, Side, bool),
}

type Tape = Vec<(u64, Kept)>;

fn keep(record: &Record<'_>) -> Option<Kept> {
    Some(match record {
        Record::Terms(terms) => Kept::Terms(terms.clone()),
        Record::Opened { link, opener, opened } => {
            Kept::Opened(*link, (*opener).to_owned(), (*opened).to_owned())
        }
        Record::Frame { link, side, number, bytes } => Kept::Frame(*link, *side, *number, bytes.to_vec()),
        Record::Delivered { link, side, number } => Kept::Delivered(*link, *side, *number),
        Record::Ended { link, how } => Kept::Ended(*link, (*how).to_owned()),
        Record::Deed { deed, who, machine } => Kept::Deed(*deed, (*who).to_owned(), *machine),
        Record::Unread { link, side, on } => Kept::Unread(*link, *side, *on),
        Record::Order { .. } | Record::Close { .. } => return None,
    })
}

fn rewrite(tape: &Tape) -> Verdict {
    let mut tape = tape.clone();
    tape.sort_by_key(|(at, _)| *at);
    let mut recorder = Recorder::new(Vec::new());
    for (at, kept) in &tape {
        let record = match kept {
            Kept::Terms(terms) => Record::Terms(terms.clone()),
            Kept::Opened(link, opener, opened) => Record::Opened { link: *link, opener, opened },
            Kept::Frame(link, side, number, bytes) => {
                Record::Frame { link: *link, side: *side, number: *number, bytes }
            }
            Kept::Delivered(link, side, number) => {
                Record::Delivered { link: *link, side: *side, number: *number }
            }
            Kept::Ended(link, how) => Record::Ended { link: *link, how },
            Kept::Deed(deed, who, machine) => Record::Deed { deed: *deed, who, machine: *machine },
            Kept::Unread(link, side, on) => Record::Unread { link: *link, side: *side, on: *on },
        };
        recorder.record(Timestamp::from_nanos(*at), record);
    }
    let end = tape.last().map_or(0, |(at, _)| *at);
    let bytes = recorder.close(Timestamp::from_nanos(end)).expect("a vector takes all");
    judge(&bytes[..]).expect("is whole")
}

/// A quiet day, of which mutants are made.
static QUIET: LazyLock<Tape> = LazyLock::new(|| {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/bad-day.day");
    let mut faults = Diagnostics::default();
    let directives = parse(&path, &mut faults).expect("is in the repository");
    let mut day = parse_day(&directives, &mut faults).unwrap_or_else(|| panic!("{}", faults.render()));
    day.troubles.clear();
    day.length = Duration::from_secs(12);
    let (_, _, capture) = Runner::new(day, Vec::new()).play(|_, _| ()).expect("a vector takes all");
    let mut tape = Tape::new();
    read(&capture[..], |stamped| tape.extend(keep(&stamped.record).map(|kept| (stamped.at, kept))))
        .expect("is whole");
    let verdict = rewrite(&tape);
    assert!(verdict.holds(), "the day itself keeps all rules");
    tape
});

fn message(kept: &Kept) -> Option<Message<'_>> {
    match kept {
        Kept::Frame(.., bytes) => protocol::decode(bytes).ok(),
        _ => None,
    }
}

fn frame(message: &Message<'_>) -> Vec<u8> {
    let mut bytes = Vec::new();
    protocol::encode(message, &mut bytes);
    bytes
}

/// Puts a frame into a tape, entered and delivered; its number is one that no other frame has.
fn put(tape: &mut Tape, at: u64, link: u32, side: Side, message: &Message<'_>) {
    let number = 1_000_000 + tape.len() as u32;
    tape.push((at, Kept::Frame(link, side, number, frame(message))));
    tape.push((at + 200_000, Kept::Delivered(link, side, number)));
}

/// Which planner and machine a link joins.
fn machine_links(tape: &Tape) -> BTreeMap<u32, (String, u64)> {
    let of = |(_, kept): &(u64, Kept)| match kept {
        Kept::Opened(link, opener, opened) => {
            let machine = opened.strip_prefix("machine-")?.parse().ok()?;
            Some((*link, (opener.clone(), machine)))
        }
        _ => None,
    };
    tape.iter().filter_map(of).collect()
}

#[derive(Clone)]
struct Offer {
    at: u64,
    link: u32,
    task: u64,
    send: u32,
    shape: Shape,
}

fn offers(tape: &Tape, use_case: u32) -> Vec<Offer> {
    let of = |(at, kept): &(u64, Kept)| match (kept, message(kept)?) {
        (Kept::Frame(link, ..), Message::Offer { task, send, shape, .. }) if shape.use_case == use_case => {
            Some(Offer { at: *at, link: *link, task, send, shape })
        }
        _ => None,
    };
    tape.iter().filter_map(of).collect()
}

/// The first frame that is this task's final answer: its place, time, link.
fn answer(tape: &Tape) -> (usize, u64, u32, u64) {
    let of = |(place, (at, kept)): (usize, &(u64, Kept))| match (kept, message(kept)?) {
        (Kept::Frame(link, ..), Message::Placed { task, .. }) => Some((place, *at, *link, task)),
        _ => None,
    };
    tape.iter().enumerate().find_map(of).expect("a day places tasks")
}

/// Tells that a task is over, or withdraws it.
fn is_over(kept: &Kept, task: u64) -> bool {
    let over = message(kept);
    matches!(over, Some(Message::Ended { task: t, .. } | Message::Withdraw { task: t }) if t == task)
}

#[track_caller]
fn caught(tape: &Tape, rule: usize, task: Option<u64>, machine: Option<u64>) {
    let verdict = rewrite(tape);
    for (n, ruling) in verdict.rules.iter().enumerate().filter(|(n, _)| *n != rule) {
        assert_eq!(ruling.breaches, [], "rule {} is not the broken one", n + 1);
    }
    let names = |b: &&mulleinhub_checker::Breach| {
        (task.is_none() || b.task == task) && (machine.is_none() || b.machine == machine)
    };
    let breaches = &verdict.rules[rule].breaches;
    assert!(breaches.iter().any(|b| names(&b)), "rule {}: {breaches:?}", rule + 1);
}

// No task lost.

#[test]
fn a_swallowed_answer_is_caught() {
    let mut tape = QUIET.clone();
    let (.., task) = answer(&tape);
    tape.retain(|(_, kept)| {
        !matches!(message(kept), Some(Message::Placed { task: t, .. }) if t == task) && !is_over(kept, task)
    });
    caught(&tape, LOST, Some(task), None);
}

#[test]
fn an_answer_given_twice_is_caught() {
    let mut tape = QUIET.clone();
    let (_, at, link, task) = answer(&tape);
    put(&mut tape, at + 1_000_000, link, Side::Opened, &Message::Placed { task, machine: 1 });
    caught(&tape, LOST, Some(task), None);
}

#[test]
fn another_answer_after_the_first_is_caught() {
    let mut tape = QUIET.clone();
    let (_, at, link, task) = answer(&tape);
    put(&mut tape, at + 1_000_000, link, Side::Opened, &Message::Errored { task });
    caught(&tape, LOST, Some(task), None);
}

#[test]
fn an_answer_after_the_client_timeout_is_caught() {
    let mut tape = QUIET.clone();
    let (place, at, _, task) = answer(&tape);
    tape[place].0 = at + 9_000_000_000;
    tape.retain(|(_, kept)| !is_over(kept, task));
    caught(&tape, LOST, Some(task), None);
}

// No effect twice.

#[test]
fn an_offer_doubled_while_the_first_is_out_is_caught() {
    for use_case in 0..3 {
        let mut tape = QUIET.clone();
        let first = &offers(&tape, use_case)[0];
        let (planner, machine) = machine_links(&tape)[&first.link].clone();
        // To a neighbour in the rack, so that the group is no matter.
        let links = machine_links(&tape);
        let near =
            |(_, (p, m)): &(&u32, &(String, u64))| *p == planner && *m != machine && m % 4 == machine % 4;
        let link = *links.iter().find(near).expect("racks have three machines").0;
        let (task, shape) = (first.task, first.shape);
        let again = Message::Offer { task, send: 1, shape, time_out: 1_000_000_000, owner: "owner-1" };
        put(&mut tape, first.at + 2_000_000, link, Side::Opener, &again);
        caught(&tape, TWICE, Some(task), None);
    }
}

/// Takes out all that a machine said of a task's first send, so that it may have run.
fn unanswered(use_case: u32) -> (Tape, Offer) {
    let mut tape = QUIET.clone();
    let first = offers(&tape, use_case).remove(0);
    tape.retain(|(_, kept)| {
        !matches!(message(kept), Some(
            Message::Accepted { task, .. } | Message::Runs { task, .. } | Message::Closed { task, .. }
            | Message::Placed { task, .. } | Message::Ended { task, .. } | Message::Withdraw { task }
            | Message::Note { task, .. }
        ) if task == first.task)
    });
    let recall = Message::Recall { task: first.task, send: first.send };
    put(&mut tape, first.at + 500_000_000, first.link, Side::Opener, &recall);
    (tape, first)
}

fn client_link(tape: &Tape, task: u64) -> u32 {
    let of = |(_, kept): &(u64, Kept)| match (kept, message(kept)?) {
        (Kept::Frame(link, ..), Message::Ask { task: t, .. }) if t == task => Some(*link),
        _ => None,
    };
    tape.iter().find_map(of).expect("was asked for")
}

#[test]
fn a_nack_of_a_task_that_may_have_run_is_caught() {
    for use_case in [0, 2] {
        let (mut tape, first) = unanswered(use_case);
        let client = client_link(&tape, first.task);
        let nack = Message::Nacked { task: first.task, stay_away: 0 };
        put(&mut tape, first.at + 600_000_000, client, Side::Opened, &nack);
        caught(&tape, TWICE, Some(first.task), None);
    }
}

#[test]
fn a_single_use_task_sent_again_and_a_referenced_one_outside_its_group_are_caught() {
    for use_case in [0, 2] {
        let (mut tape, first) = unanswered(use_case);
        let links = machine_links(&tape);
        let (planner, machine) = links[&first.link].clone();
        let far = |(_, (p, m)): &(&u32, &(String, u64))| *p == planner && m % 4 != machine % 4;
        let link = *links.iter().find(far).expect("there are four racks").0;
        let Offer { task, shape, at, .. } = first;
        let again = Message::Offer { task, send: 1, shape, time_out: 1_000_000_000, owner: "owner-1" };
        put(&mut tape, at + 600_000_000, link, Side::Opener, &again);
        let client = client_link(&tape, task);
        put(&mut tape, at + 700_000_000, client, Side::Opened, &Message::Errored { task });
        caught(&tape, TWICE, Some(task), None);
    }
}

#[test]
fn a_referenced_task_sent_again_after_its_window_is_caught() {
    let (mut tape, first) = unanswered(0);
    let Offer { task, shape, at, link, .. } = first;
    let again = Message::Offer { task, send: 1, shape, time_out: 1_000_000_000, owner: "owner-1" };
    put(&mut tape, at + 4_100_000_000, link, Side::Opener, &again);
    let client = client_link(&tape, task);
    put(&mut tape, at + 4_500_000_000, client, Side::Opened, &Message::Errored { task });
    caught(&tape, TWICE, Some(task), None);
}

// Drains.

fn told_drain(tape: &mut Tape, planner: &str, machine: u64, at: u64, mode: Mode) {
    let of = |(_, kept): &(u64, Kept)| match kept {
        Kept::Opened(link, opener, opened) if opener == planner && opened == "list" => Some(*link),
        _ => None,
    };
    let link = tape.iter().find_map(of).expect("planners watch the list");
    let entry = Entry {
        machine,
        address: "x",
        kind: 0,
        cell: 0,
        zone: 0,
        mode,
        life: 0,
        up_for: None,
        cores_left: None,
        memory_left: None,
    };
    let list = Message::List { kind: ListKind::Changes, version: 1_000, entries: vec![entry] };
    // What the list says of this machine later would take it back.
    for (_, kept) in tape.iter_mut() {
        let Some(Message::List { kind, version, mut entries }) = message(kept) else { continue };
        entries.retain(|entry| kind == ListKind::Whole || entry.machine != machine);
        let bytes = frame(&Message::List { kind, version, entries });
        if let Kept::Frame(l, _, _, old) = kept
            && *l == link
        {
            *old = bytes;
        }
    }
    put(tape, at, link, Side::Opened, &list);
}

#[test]
fn a_send_after_a_drain_was_told_is_caught() {
    for (mode, ms) in [(Mode::Leaving, 2_200), (Mode::Left, 2_500)] {
        let mut tape = QUIET.clone();
        let late = offers(&tape, 0).pop().expect("a day has offers");
        let (planner, machine) = machine_links(&tape)[&late.link].clone();
        told_drain(&mut tape, &planner, machine, late.at - ms * 1_000_000, mode);
        caught(&tape, DRAINS, Some(late.task), Some(machine));
    }
}

#[test]
fn a_send_within_the_grace_is_not() {
    let mut tape = QUIET.clone();
    // The last of all: one of the other use case may come after the last of this one, past the grace.
    let all = [offers(&tape, 0), offers(&tape, 1)].concat();
    let late = all.into_iter().max_by_key(|offer| offer.at).expect("a day has offers");
    let (planner, machine) = machine_links(&tape)[&late.link].clone();
    told_drain(&mut tape, &planner, machine, late.at - 1_500_000_000, Mode::Leaving);
    let verdict = rewrite(&tape);
    assert_eq!((verdict.rules[DRAINS].breaches.len(), verdict.rules[DRAINS].cases), (0, 1));
}

// Cold machines.

#[test]
fn a_flood_of_a_cold_machine_is_caught() {
    let mut tape = QUIET.clone();
    let first = &offers(&tape, 2)[0];
    let (_, machine) = machine_links(&tape)[&first.link].clone();
    let (at, link, shape) = (first.at, first.link, first.shape);
    tape.push((at - 1, Kept::Deed(Deed::MachineUp, format!("machine-{machine}"), Some(machine))));
    for n in 0..200 {
        let task = 77_000 + n;
        let flood = Message::Offer {
            task,
            send: 0,
            shape: Shape { service: task, ..shape },
            time_out: 1,
            owner: "x",
        };
        put(&mut tape, at + n * 1_000_000, link, Side::Opener, &flood);
    }
    let verdict = rewrite(&tape);
    assert!(verdict.rules[COLD].breaches.iter().any(|b| b.machine == Some(machine)));
}

#[test]
fn a_machine_that_fell_over_is_caught() {
    let mut tape = QUIET.clone();
    let at = tape.last().expect("is long").0;
    tape.push((at, Kept::Deed(Deed::FellOver, "machine-3".to_owned(), Some(3))));
    caught(&tape, COLD, None, Some(3));
}

// Spread.

#[test]
fn a_third_task_of_a_service_on_one_machine_is_caught() {
    let mut tape = QUIET.clone();
    let first = &offers(&tape, 0)[0];
    let (at, link, shape) = (first.at, first.link, first.shape);
    for n in 0..3 {
        let more = Message::Offer {
            task: 88_000 + n,
            send: 0,
            shape: Shape { key: 88_000 + n, ..shape },
            time_out: 3_000_000_000,
            owner: "x",
        };
        put(&mut tape, at + 1_000_000 + n, link, Side::Opener, &more);
    }
    caught(&tape, SPREAD, Some(88_002), None);
}

#[test]
fn a_fourth_task_of_a_service_in_one_rack_is_caught() {
    let mut tape = QUIET.clone();
    let first = &offers(&tape, 2)[0];
    let links = machine_links(&tape);
    let (planner, machine) = links[&first.link].clone();
    let near = |(_, (p, m)): &(&u32, &(String, u64))| *p == planner && m % 4 == machine % 4;
    let rack: Vec<u32> = links.iter().filter(near).map(|(link, _)| *link).collect();
    let (at, shape) = (first.at, first.shape);
    for n in 0..4u64 {
        let link = rack[n as usize % rack.len()];
        let more = Message::Offer {
            task: 99_000 + n,
            send: 0,
            shape: Shape { key: 99_000 + n, service: 4_242, ..shape },
            time_out: 3_000_000_000,
            owner: "x",
        };
        put(&mut tape, at + 1_000_000 + n, link, Side::Opener, &more);
    }
    caught(&tape, SPREAD, Some(99_003), None);
}

#[test]
fn a_task_that_ended_no_longer_counts_for_spread() {
    let mut tape = QUIET.clone();
    let first = &offers(&tape, 0)[0];
    let (at, link, shape) = (first.at, first.link, first.shape);
    for n in 0..3u64 {
        let task = 88_000 + n;
        let shape = Shape { key: task, service: 4_243, ..shape };
        let offer = Message::Offer { task, send: 0, shape, time_out: 3_000_000_000, owner: "x" };
        put(&mut tape, at + n * 100_000_000, link, Side::Opener, &offer);
        let reason = protocol::Reason::NoCores;
        let closed = Message::Closed { task, send: 0, ending: Ending::Nacked, reason };
        put(&mut tape, at + n * 100_000_000 + 1_000_000, link, Side::Opened, &closed);
    }
    assert_eq!(rewrite(&tape).rules[SPREAD].breaches, []);
}
