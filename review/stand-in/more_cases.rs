//! Cases of the second review.

use crate::cases::{CRANE_TIMEOUT_MS, END_LIMIT, MEASURING, TIMEOUT_MS, bulletin_of, ms, node, place};
use crate::node::Manner;
use crate::owner::{Owner, set_up};
use crate::scheduler::Scheduler;
use crate::wire::{self, Message};
use crate::{Stage, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant};

pub fn play(case: &str, stage: &Stage) -> Result<Verdict, String> {
    match case {
        "stops-short" => stops_short(stage),
        "unknown-ids" => unknown_ids(stage),
        // Left out for want of a place, and told of in the report.
        "late-hand-over" => late_hand_over(stage),
        "asked-again" => asked_again(stage),
        _ => Err(format!("there is no case {case}")),
    }
}

/// Judges when an end was told that had to be told within a second of its node's release.
fn judge_end(told: Option<Duration>, waited: Duration, otherwise: &str) -> Verdict {
    match told {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("the end was told after {after:?}")),
        Some(after) => Verdict::Broken(format!("the end was told only after {after:?}")),
        None => Verdict::Broken(format!("{waited:?} after the release of its node the owner was not told; {otherwise}")),
    }
}

/// One answer of a node stops short; a task that was placed earlier over that connection comes to its end.
fn stops_short(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    // Two tasks stand, each placed over a connection of its own.
    let asked = |task: u64| set_up(task, task, "gate-check", TIMEOUT_MS, None);
    node.answer_late(ms(40));
    owner.send(&[asked(0xa1), asked(0xa2)]);
    for task in [0xa1, 0xa2] {
        owner.final_answer(task, ms(TIMEOUT_MS)).ok_or("a request was not answered")?;
    }
    node.answer_late(Duration::ZERO);
    node.tell_use();
    sleep(ms(300));
    if stage.trouble {
        node.set_manner(Manner::StopsShort);
    }
    owner.send(&[asked(0xa3)]);
    owner.final_answer(0xa3, ms(TIMEOUT_MS + 500)).ok_or("a request was not answered")?;
    node.set_manner(Manner::Takes);
    let spoilt = node.spoilt_link();
    let ending = if spoilt.is_some() && node.link_of(0xa2) == spoilt { 0xa2 } else { 0xa1 };
    if stage.trouble && node.link_of(ending) != spoilt {
        return Err("the request went over another connection than both tasks".to_owned());
    }
    sleep(ms(1_000));
    if !node.holds(ending) {
        return Err("the task does not stand".to_owned());
    }
    node.end_task(ending);
    let ended = Instant::now();
    let most = ms(12_000);
    let told = owner.told_over(ending, most).map(|(at, _)| at - ended);
    if owner.is_closed() {
        return Err("the owner's connection was closed".to_owned());
    }
    Ok(judge_end(told, most, "its connection is open"))
}

/// A bad client hands over a task that no node knows; then a task of a usual owner comes to its end.
fn unknown_ids(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let first = Owner::connect_when_ready("owner, connection 1", scheduler.address, &stage.record)?;
    place(&first, 0xa1, "gate-check")?;
    // After 4 s the owner closes the connection, which carries no task. It has placed another task over a new one.
    sleep(ms(3_700));
    let second = Owner::connect("owner, connection 2", scheduler.address, &stage.record)?;
    place(&second, 0xa2, "gate-check")?;
    sleep(ms(300));
    first.close();
    sleep(ms(300));
    let bad = Owner::connect("bad client", scheduler.address, &stage.record)?;
    if stage.trouble {
        bad.send(&[set_up(0xbad0, 0xbad0, "gate-check", TIMEOUT_MS, Some("n1"))]);
    }
    sleep(ms(500));
    if second.is_closed() || !node.holds(0xa1) {
        return Err("the owner's connection was closed, or the task does not stand".to_owned());
    }
    node.end_task(0xa1);
    let ended = Instant::now();
    let most = ms(10_000);
    let told = second.told_over(0xa1, most).map(|(at, _)| at - ended);
    if second.is_closed() {
        return Err("the owner's connection was closed".to_owned());
    }
    let elsewhere = bad.told_over(0xa1, Duration::ZERO).is_some();
    Ok(judge_end(told, most, if elsewhere { "the bad client was told instead" } else { "nobody was told" }))
}

/// A task is handed over to a scheduler that has had nothing to do with its node for a while, and the first connection to
/// the node comes up late.
fn late_hand_over(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    node.hold(0xa1);
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    sleep(ms(8_000));
    let owner = if owner.is_closed() { Owner::connect("owner", scheduler.address, &stage.record)? } else { owner };
    if stage.trouble {
        node.hold_connections_back(ms(900));
    }
    owner.send(&[set_up(0xa1, 0xa1, "crane-order", CRANE_TIMEOUT_MS, Some("n1"))]);
    let told = owner.told_over(0xa1, ms(3_000));
    let stands = node.holds(0xa1);
    Ok(match told {
        Some((_, message)) if stands => Verdict::Broken(format!(
            "the owner was told that its task is over ({}), and it runs",
            message.describe()
        )),
        other => Verdict::Held(format!("told over: {other:?}, stands: {stands}")),
    })
}

/// A client takes a request back that waits for a node, and asks again under its number in the same write.
fn asked_again(stage: &Stage) -> Result<Verdict, String> {
    let (one, two) = (node(stage, "n1", Manner::Takes)?, node(stage, "n2", Manner::Takes)?);
    let bulletin = bulletin_of(stage, &[&one, &two])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    let other = Owner::connect("other client", scheduler.address, &stage.record)?;
    one.set_manner(Manner::Full);
    two.set_manner(Manner::Full);
    let asked = set_up(0xb1, 0xb1, "gate-check", TIMEOUT_MS, None);
    other.send(std::slice::from_ref(&asked));
    sleep(ms(200));
    if stage.trouble {
        other.send(&[Message::release(0xb1, wire::GIVEN_UP), asked]);
    }
    let answer = other.final_answer(0xb1, ms(TIMEOUT_MS + 700));
    sleep(ms(1_500));
    Ok(match scheduler.exit_status() {
        Some(status) => {
            scheduler.faults().iter().for_each(|line| stage.record.note(&format!("log: {line}")));
            Verdict::Broken(format!("the scheduler has crashed ({status}); {answer:?}"))
        }
        None => Verdict::Held(format!("the scheduler runs; {answer:?}")),
    })
}
