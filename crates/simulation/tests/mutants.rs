//! Tests of the checker: captures of a scenario that violates no rule are edited so that one rule is violated,
//! and the report must name that rule and the task or machine.

use mulleinhub_capture::{Deed, Record, Recorder, Side, Terms, read};
use mulleinhub_checker::{Verdict, judge};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Ending, Entry, ListKind, Message, Mode, Shape};
use mulleinhub_scenario::parse_day;
use mulleinhub_settings::{Diagnostics, parse};
use mulleinhub_simulation::Simulation;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::LazyLock;

const TASK_LOST: usize = 0;
const EFFECT_TWICE: usize = 1;
const DRAIN: usize = 2;
const SLOW_START: usize = 3;
const SPREAD: usize = 4;

/// A record that owns its data.
#[derive(Clone)]
enum OwnedRecord {
    Terms(Terms),
    Opened(u32, String, String),
    Frame(u32, Side, u32, Vec<u8>),
    Delivered(u32, Side, u32),
    Ended(u32, String),
    Deed(Deed, String, Option<u64>),
    Unread(u32, Side, bool),
}

type Records = Vec<(u64, OwnedRecord)>;

fn to_owned_record(record: &Record<'_>) -> Option<OwnedRecord> {
    Some(match record {
        Record::Terms(terms) => OwnedRecord::Terms(terms.clone()),
        Record::Opened { link, opener, opened } => {
            OwnedRecord::Opened(*link, (*opener).to_owned(), (*opened).to_owned())
        }
        Record::Frame { link, side, number, bytes } => {
            OwnedRecord::Frame(*link, *side, *number, bytes.to_vec())
        }
        Record::Delivered { link, side, number } => OwnedRecord::Delivered(*link, *side, *number),
        Record::Ended { link, how } => OwnedRecord::Ended(*link, (*how).to_owned()),
        Record::Deed { deed, who, machine } => OwnedRecord::Deed(*deed, (*who).to_owned(), *machine),
        Record::Unread { link, side, on } => OwnedRecord::Unread(*link, *side, *on),
        Record::Order { .. } | Record::Close { .. } => return None,
    })
}

fn check(records: &Records) -> Verdict {
    let mut records = records.clone();
    records.sort_by_key(|(at, _)| *at);
    let mut recorder = Recorder::new(Vec::new());
    for (at, record) in &records {
        let record = match record {
            OwnedRecord::Terms(terms) => Record::Terms(terms.clone()),
            OwnedRecord::Opened(link, opener, opened) => Record::Opened { link: *link, opener, opened },
            OwnedRecord::Frame(link, side, number, bytes) => {
                Record::Frame { link: *link, side: *side, number: *number, bytes }
            }
            OwnedRecord::Delivered(link, side, number) => {
                Record::Delivered { link: *link, side: *side, number: *number }
            }
            OwnedRecord::Ended(link, how) => Record::Ended { link: *link, how },
            OwnedRecord::Deed(deed, who, machine) => Record::Deed { deed: *deed, who, machine: *machine },
            OwnedRecord::Unread(link, side, on) => Record::Unread { link: *link, side: *side, on: *on },
        };
        recorder.record(Timestamp::from_nanos(*at), record);
    }
    let end = records.last().map_or(0, |(at, _)| *at);
    let bytes = recorder.close(Timestamp::from_nanos(end)).expect("a vector can be written to");
    judge(&bytes[..]).expect("the capture is complete")
}

/// A scenario without faults, of which the mutants are made.
static FAULT_FREE: LazyLock<Records> = LazyLock::new(|| {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../days/bad-day.day");
    let mut faults = Diagnostics::default();
    let directives = parse(&path, &mut faults).expect("the scenario file exists");
    let mut day = parse_day(&directives, &mut faults).unwrap_or_else(|| panic!("{}", faults.render()));
    day.troubles.clear();
    day.length = Duration::from_secs(12);
    let (_, _, capture) =
        Simulation::new(day, Vec::new()).run(|_, _| ()).expect("a vector can be written to");
    let mut records = Records::new();
    read(&capture[..], |stamped| {
        records.extend(to_owned_record(&stamped.record).map(|record| (stamped.at, record)))
    })
    .expect("the capture is complete");
    let report = check(&records);
    assert!(report.holds(), "the unedited capture violates a rule");
    records
});

fn message(record: &OwnedRecord) -> Option<Message<'_>> {
    match record {
        OwnedRecord::Frame(.., bytes) => protocol::decode(bytes).ok(),
        _ => None,
    }
}

fn frame(message: &Message<'_>) -> Vec<u8> {
    let mut bytes = Vec::new();
    protocol::encode(message, &mut bytes);
    bytes
}

/// Adds a frame to the records, sent and delivered, with a number that no other frame has.
fn insert(records: &mut Records, at: u64, link: u32, side: Side, message: &Message<'_>) {
    let number = 1_000_000 + records.len() as u32;
    records.push((at, OwnedRecord::Frame(link, side, number, frame(message))));
    records.push((at + 200_000, OwnedRecord::Delivered(link, side, number)));
}

/// The planner and the machine of each connection between the two.
fn machine_links(records: &Records) -> BTreeMap<u32, (String, u64)> {
    let of = |(_, record): &(u64, OwnedRecord)| match record {
        OwnedRecord::Opened(link, opener, opened) => {
            let machine = opened.strip_prefix("machine-")?.parse().ok()?;
            Some((*link, (opener.clone(), machine)))
        }
        _ => None,
    };
    records.iter().filter_map(of).collect()
}

#[derive(Clone)]
struct Offer {
    at: u64,
    link: u32,
    task: u64,
    send: u32,
    shape: Shape,
}

fn offers(records: &Records, use_case: u32) -> Vec<Offer> {
    let of = |(at, record): &(u64, OwnedRecord)| match (record, message(record)?) {
        (OwnedRecord::Frame(link, ..), Message::Offer { task, send, shape, .. })
            if shape.use_case == use_case =>
        {
            Some(Offer { at: *at, link: *link, task, send, shape })
        }
        _ => None,
    };
    records.iter().filter_map(of).collect()
}

/// The first frame that is this task's final answer: its place, time, link.
fn answer(records: &Records) -> (usize, u64, u32, u64) {
    let of = |(place, (at, record)): (usize, &(u64, OwnedRecord))| match (record, message(record)?) {
        (OwnedRecord::Frame(link, ..), Message::Placed { task, .. }) => Some((place, *at, *link, task)),
        _ => None,
    };
    records.iter().enumerate().find_map(of).expect("the scenario places tasks")
}

/// Whether a record says that a task ended, or cancels it.
fn is_over(record: &OwnedRecord, task: u64) -> bool {
    let over = message(record);
    matches!(over, Some(Message::Ended { task: t, .. } | Message::Withdraw { task: t }) if t == task)
}

#[track_caller]
fn assert_detected(records: &Records, rule: usize, task: Option<u64>, machine: Option<u64>) {
    let report = check(records);
    for (n, ruling) in report.rules.iter().enumerate().filter(|(n, _)| *n != rule) {
        assert_eq!(ruling.breaches, [], "rule {} is not the broken one", n + 1);
    }
    let names = |b: &&mulleinhub_checker::Breach| {
        (task.is_none() || b.task == task) && (machine.is_none() || b.machine == machine)
    };
    let violations = &report.rules[rule].breaches;
    assert!(violations.iter().any(|b| names(&b)), "rule {}: {violations:?}", rule + 1);
}

// No task lost.

#[test]
fn missing_answer_is_detected() {
    let mut records = FAULT_FREE.clone();
    let (.., task) = answer(&records);
    records.retain(|(_, record)| {
        !matches!(message(record), Some(Message::Placed { task: t, .. }) if t == task)
            && !is_over(record, task)
    });
    assert_detected(&records, TASK_LOST, Some(task), None);
}

#[test]
fn duplicate_answer_is_detected() {
    let mut records = FAULT_FREE.clone();
    let (_, at, link, task) = answer(&records);
    insert(&mut records, at + 1_000_000, link, Side::Opened, &Message::Placed { task, machine: 1 });
    assert_detected(&records, TASK_LOST, Some(task), None);
}

#[test]
fn conflicting_answer_is_detected() {
    let mut records = FAULT_FREE.clone();
    let (_, at, link, task) = answer(&records);
    insert(&mut records, at + 1_000_000, link, Side::Opened, &Message::Errored { task });
    assert_detected(&records, TASK_LOST, Some(task), None);
}

#[test]
fn answer_after_client_timeout_is_detected() {
    let mut records = FAULT_FREE.clone();
    let (place, at, _, task) = answer(&records);
    records[place].0 = at + 9_000_000_000;
    records.retain(|(_, record)| !is_over(record, task));
    assert_detected(&records, TASK_LOST, Some(task), None);
}

// No effect twice.

#[test]
fn concurrent_attempt_is_detected() {
    for use_case in 0..3 {
        let mut records = FAULT_FREE.clone();
        let first = &offers(&records, use_case)[0];
        let (planner, machine) = machine_links(&records)[&first.link].clone();
        // On a machine of the same rack, so that the group of machines does not matter.
        let links = machine_links(&records);
        let same_rack =
            |(_, (p, m)): &(&u32, &(String, u64))| *p == planner && *m != machine && m % 4 == machine % 4;
        let link = *links.iter().find(same_rack).expect("racks have three machines").0;
        let (task, shape) = (first.task, first.shape);
        let retry = Message::Offer { task, send: 1, shape, time_out: 1_000_000_000, owner: "owner-1" };
        insert(&mut records, first.at + 2_000_000, link, Side::Opener, &retry);
        assert_detected(&records, EFFECT_TWICE, Some(task), None);
    }
}

/// Removes all that a machine answered to a task's first attempt, so that the task may have run.
fn without_answers(use_case: u32) -> (Records, Offer) {
    let mut records = FAULT_FREE.clone();
    let first = offers(&records, use_case).remove(0);
    records.retain(|(_, record)| {
        !matches!(message(record), Some(
            Message::Accepted { task, .. } | Message::Runs { task, .. } | Message::Closed { task, .. }
            | Message::Placed { task, .. } | Message::Ended { task, .. } | Message::Withdraw { task }
            | Message::Note { task, .. }
        ) if task == first.task)
    });
    let recall = Message::Recall { task: first.task, send: first.send };
    insert(&mut records, first.at + 500_000_000, first.link, Side::Opener, &recall);
    (records, first)
}

fn client_link(records: &Records, task: u64) -> u32 {
    let of = |(_, record): &(u64, OwnedRecord)| match (record, message(record)?) {
        (OwnedRecord::Frame(link, ..), Message::Ask { task: t, .. }) if t == task => Some(*link),
        _ => None,
    };
    records.iter().find_map(of).expect("a client requested it")
}

#[test]
fn rejection_of_possibly_run_task_is_detected() {
    for use_case in [0, 2] {
        let (mut records, first) = without_answers(use_case);
        let client = client_link(&records, first.task);
        let nack = Message::Nacked { task: first.task, stay_away: 0 };
        insert(&mut records, first.at + 600_000_000, client, Side::Opened, &nack);
        assert_detected(&records, EFFECT_TWICE, Some(first.task), None);
    }
}

#[test]
fn unsafe_retry_is_detected() {
    for use_case in [0, 2] {
        let (mut records, first) = without_answers(use_case);
        let links = machine_links(&records);
        let (planner, machine) = links[&first.link].clone();
        let other_rack = |(_, (p, m)): &(&u32, &(String, u64))| *p == planner && m % 4 != machine % 4;
        let link = *links.iter().find(other_rack).expect("there are four racks").0;
        let Offer { task, shape, at, .. } = first;
        let retry = Message::Offer { task, send: 1, shape, time_out: 1_000_000_000, owner: "owner-1" };
        insert(&mut records, at + 600_000_000, link, Side::Opener, &retry);
        let client = client_link(&records, task);
        insert(&mut records, at + 700_000_000, client, Side::Opened, &Message::Errored { task });
        assert_detected(&records, EFFECT_TWICE, Some(task), None);
    }
}

#[test]
fn retry_after_idempotency_window_is_detected() {
    let (mut records, first) = without_answers(0);
    let Offer { task, shape, at, link, .. } = first;
    let retry = Message::Offer { task, send: 1, shape, time_out: 1_000_000_000, owner: "owner-1" };
    insert(&mut records, at + 4_100_000_000, link, Side::Opener, &retry);
    let client = client_link(&records, task);
    insert(&mut records, at + 4_500_000_000, client, Side::Opened, &Message::Errored { task });
    assert_detected(&records, EFFECT_TWICE, Some(task), None);
}

// Drains.

fn insert_drain(records: &mut Records, planner: &str, machine: u64, at: u64, mode: Mode) {
    let of = |(_, record): &(u64, OwnedRecord)| match record {
        OwnedRecord::Opened(link, opener, opened) if opener == planner && opened == "list" => Some(*link),
        _ => None,
    };
    let link = records.iter().find_map(of).expect("planners watch the endpoint list");
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
    // Later entries of the endpoint list for this machine would revert the drain.
    for (_, record) in records.iter_mut() {
        let Some(Message::List { kind, version, mut entries }) = message(record) else { continue };
        entries.retain(|entry| kind == ListKind::Whole || entry.machine != machine);
        let bytes = frame(&Message::List { kind, version, entries });
        if let OwnedRecord::Frame(l, _, _, old) = record
            && *l == link
        {
            *old = bytes;
        }
    }
    insert(records, at, link, Side::Opened, &list);
}

#[test]
fn attempt_on_draining_machine_is_detected() {
    for (mode, ms) in [(Mode::Leaving, 2_200), (Mode::Left, 2_500)] {
        let mut records = FAULT_FREE.clone();
        let last = offers(&records, 0).pop().expect("the scenario has offers");
        let (planner, machine) = machine_links(&records)[&last.link].clone();
        insert_drain(&mut records, &planner, machine, last.at - ms * 1_000_000, mode);
        assert_detected(&records, DRAIN, Some(last.task), Some(machine));
    }
}

#[test]
fn attempt_within_drain_grace_is_allowed() {
    let mut records = FAULT_FREE.clone();
    // The last of both use cases: one of the other may come later, past the grace period.
    let all = [offers(&records, 0), offers(&records, 1)].concat();
    let last = all.into_iter().max_by_key(|offer| offer.at).expect("the scenario has offers");
    let (planner, machine) = machine_links(&records)[&last.link].clone();
    insert_drain(&mut records, &planner, machine, last.at - 1_500_000_000, Mode::Leaving);
    let report = check(&records);
    assert_eq!((report.rules[DRAIN].breaches.len(), report.rules[DRAIN].cases), (0, 1));
}

// Slow start.

#[test]
fn flood_of_warming_machine_is_detected() {
    let mut records = FAULT_FREE.clone();
    let first = &offers(&records, 2)[0];
    let (_, machine) = machine_links(&records)[&first.link].clone();
    let (at, link, shape) = (first.at, first.link, first.shape);
    records.push((at - 1, OwnedRecord::Deed(Deed::MachineUp, format!("machine-{machine}"), Some(machine))));
    for n in 0..200 {
        let task = 77_000 + n;
        let flood = Message::Offer {
            task,
            send: 0,
            shape: Shape { service: task, ..shape },
            time_out: 1,
            owner: "x",
        };
        insert(&mut records, at + n * 1_000_000, link, Side::Opener, &flood);
    }
    let report = check(&records);
    assert!(report.rules[SLOW_START].breaches.iter().any(|b| b.machine == Some(machine)));
}

#[test]
fn collapsed_machine_is_detected() {
    let mut records = FAULT_FREE.clone();
    let at = records.last().expect("there are records").0;
    records.push((at, OwnedRecord::Deed(Deed::FellOver, "machine-3".to_owned(), Some(3))));
    assert_detected(&records, SLOW_START, None, Some(3));
}

// Spread.

#[test]
fn third_task_of_service_on_machine_is_detected() {
    let mut records = FAULT_FREE.clone();
    let first = &offers(&records, 0)[0];
    let (at, link, shape) = (first.at, first.link, first.shape);
    for n in 0..3 {
        let more = Message::Offer {
            task: 88_000 + n,
            send: 0,
            shape: Shape { key: 88_000 + n, ..shape },
            time_out: 3_000_000_000,
            owner: "x",
        };
        insert(&mut records, at + 1_000_000 + n, link, Side::Opener, &more);
    }
    assert_detected(&records, SPREAD, Some(88_002), None);
}

#[test]
fn fourth_task_of_service_in_rack_is_detected() {
    let mut records = FAULT_FREE.clone();
    let first = &offers(&records, 2)[0];
    let links = machine_links(&records);
    let (planner, machine) = links[&first.link].clone();
    let same_rack = |(_, (p, m)): &(&u32, &(String, u64))| *p == planner && m % 4 == machine % 4;
    let rack: Vec<u32> = links.iter().filter(same_rack).map(|(link, _)| *link).collect();
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
        insert(&mut records, at + 1_000_000 + n, link, Side::Opener, &more);
    }
    assert_detected(&records, SPREAD, Some(99_003), None);
}

#[test]
fn ended_task_does_not_count_for_spread() {
    let mut records = FAULT_FREE.clone();
    let first = &offers(&records, 0)[0];
    let (at, link, shape) = (first.at, first.link, first.shape);
    for n in 0..3u64 {
        let task = 88_000 + n;
        let shape = Shape { key: task, service: 4_243, ..shape };
        let offer = Message::Offer { task, send: 0, shape, time_out: 3_000_000_000, owner: "x" };
        insert(&mut records, at + n * 100_000_000, link, Side::Opener, &offer);
        let reason = protocol::Reason::NoCores;
        let closed = Message::Closed { task, send: 0, ending: Ending::Nacked, reason };
        insert(&mut records, at + n * 100_000_000 + 1_000_000, link, Side::Opened, &closed);
    }
    assert_eq!(check(&records).rules[SPREAD].breaches, []);
}
