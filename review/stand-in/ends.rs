//! Cases about the ends of tasks: told never, too late, or of a task that stands.

use crate::bulletin::entry;
use crate::cases::{ANSWER_SLACK, CRANE_TIMEOUT_MS, END_LIMIT, MEASURING, TIMEOUT_MS, bulletin_of, ms, node, place};
use crate::node::Manner;
use crate::owner::{Owner, set_up};
use crate::scheduler::Scheduler;
use crate::wire::{self, Message};
use crate::{Stage, Verdict};
use std::thread::sleep;
use std::time::Instant;

/// Owners close a connection that carries no task after this.
const OWNER_IDLE_MS: u64 = 4_000;

/// A task ends in a quiet time, in which no owner has a connection. The owner comes back after that.
pub fn end_in_a_quiet_time(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner, connection 1", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    sleep(ms(OWNER_IDLE_MS));
    owner.close();
    sleep(ms(1_000));
    node.end_task(0xa1);
    sleep(ms(if stage.trouble { 64_000 } else { 5_000 }));
    let back = Owner::connect("owner, connection 2", scheduler.address, &stage.record)?;
    let returned = Instant::now();
    place(&back, 0xa2, "gate-check")?;
    let told = back.told_over(0xa1, ms(10_000)).map(|(at, _)| at - returned);
    Ok(match told {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("told {after:?} after its return")),
        other => Verdict::Broken(format!("the end of the task was told after {other:?}, waited for 10 s")),
    })
}

/// One of two nodes is full, and the other one drains. A task ends there while its owner has a connection on which it
/// asks for other tasks, which are refused.
pub fn end_under_drain(stage: &Stage) -> Result<Verdict, String> {
    let (one, two) = (node(stage, "n1", Manner::Takes)?, node(stage, "n2", Manner::Full)?);
    let bulletin = bulletin_of(stage, &[&one, &two])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner, connection 1", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    sleep(ms(OWNER_IDLE_MS));
    owner.close();
    if stage.trouble {
        bulletin.publish(&[entry(&one, "terminating", 0)]);
        sleep(ms(200));
    }
    let back = Owner::connect("owner, connection 2", scheduler.address, &stage.record)?;
    let mut ended = None;
    for number in 0..6 {
        let task = 0xb0 + number;
        back.send(&[set_up(task, task, "gate-check", TIMEOUT_MS, None)]);
        if number == 1 {
            sleep(ms(300));
            one.end_task(0xa1);
            ended = Some(Instant::now());
        }
        if back.final_answer(task, ms(TIMEOUT_MS) + ANSWER_SLACK).is_none() {
            return Err(format!("request {task:016x} got no final answer"));
        }
        sleep(ms(1_000));
    }
    let ended = ended.ok_or("the task did not end")?;
    Ok(match back.told_over(0xa1, ms(1)).map(|(at, _)| at - ended) {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("told after {after:?}")),
        Some(after) => Verdict::Broken(format!("the end was told only after {after:?}")),
        None => Verdict::Broken(format!(
            "the end was not told within {:?}, in which the owner had a connection and sent requests on it",
            ended.elapsed()
        )),
    })
}

/// A scheduler can't reach a node for a moment. Long after that another scheduler is killed, and the task that it placed
/// there is handed to the first one.
pub fn handed_over_after_late_connection(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let (mut first, mut second) =
        (Scheduler::new("s1", &stage.folder, &stage.record)?, Scheduler::new("s2", &stage.folder, &stage.record)?);
    first.start(&bulletin)?;
    second.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner at s1", first.address, &stage.record)?;
    place(&owner, 0xa1, "crane-order")?;
    let at_second = Owner::connect_when_ready("owner at s2", second.address, &stage.record)?;
    if stage.trouble {
        node.hold_connections_back(ms(700));
    }
    at_second.send(&[set_up(0xa2, 0xa2, "gate-check", TIMEOUT_MS, None)]);
    let answer = at_second.final_answer(0xa2, ms(TIMEOUT_MS) + ANSWER_SLACK).ok_or("no final answer")?;
    if answer.1.kind == wire::ANSWER {
        at_second.send(&[Message::release(0xa2, wire::CANCELLED)]);
    }
    sleep(ms(OWNER_IDLE_MS));
    at_second.close();
    sleep(ms(8_000));
    first.kill();
    sleep(ms(2_000));
    let at_second = Owner::connect_when_ready("owner at s2, connection 2", second.address, &stage.record)?;
    at_second.send(&[set_up(0xa1, 0xa1, "crane-order", CRANE_TIMEOUT_MS, Some("n1"))]);
    let handed_over = Instant::now();
    let told = at_second.told_over(0xa1, ms(6_000)).map(|(at, message)| (at - handed_over, message.cause()));
    second.faults().iter().for_each(|line| stage.record.note(&format!("log: {line}")));
    let stood = node.holds(0xa1);
    node.end_task(0xa1);
    let ended = Instant::now();
    if let Some((after, cause)) = told {
        return Ok(if stood {
            Verdict::Broken(format!(
                "{after:?} after the hand-over the owner was told that its task is over (cause {cause:?}), and it stood"
            ))
        } else {
            Verdict::Held("the task did not stand".to_owned())
        });
    }
    Ok(match at_second.told_over(0xa1, ms(3_000)).map(|(at, _)| at - ended) {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("told {after:?} after its end")),
        other => Verdict::Broken(format!("the end was told after {other:?}")),
    })
}

/// A scheduler is killed. Before its task is handed to another one, the task ends, and the node says so to a third one.
pub fn end_told_to_a_third(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    node.tell_use();
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut schedulers = Vec::new();
    let mut owners = Vec::new();
    for (name, task) in [("s1", 0xa1), ("s2", 0xa2), ("s3", 0xa3)] {
        let mut scheduler = Scheduler::new(name, &stage.folder, &stage.record)?;
        scheduler.start(&bulletin)?;
        let owner = Owner::connect_when_ready(&format!("owner at {name}"), scheduler.address, &stage.record)?;
        place(&owner, task, "gate-check")?;
        schedulers.push(scheduler);
        owners.push(owner);
    }
    sleep(ms(1_000));
    if stage.trouble {
        schedulers[0].kill();
        sleep(ms(500));
    }
    node.end_task(0xa1);
    let ended = Instant::now();
    sleep(ms(2_000));
    if stage.trouble {
        owners[2].send(&[set_up(0xa1, 0xa1, "gate-check", TIMEOUT_MS, Some("n1"))]);
    }
    let told = loop {
        let told = owners.iter().find_map(|owner| owner.told_over(0xa1, ms(1)));
        if told.is_some() || ended.elapsed() > ms(25_000) {
            break told.map(|(at, _)| at - ended);
        }
        sleep(ms(20));
    };
    Ok(match told {
        Some(after) if after <= ms(8_050) + MEASURING => Verdict::Held(format!("told {after:?} after its end")),
        Some(after) => Verdict::Broken(format!("the end was told only after {after:?}")),
        None => Verdict::Broken(format!("the end was not told within {:?}", ended.elapsed())),
    })
}

/// An owner asks once and keeps its connection for good; where the scheduler closes it, the owner opens another one at
/// once. Its task ends after a long quiet time.
pub fn end_after_long_quiet(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let mut owners = vec![Owner::connect_when_ready("owner, connection 1", scheduler.address, &stage.record)?];
    place(&owners[0], 0xa1, "gate-check")?;
    let placed = Instant::now();
    let quiet = ms(if stage.trouble { 40_000 } else { 8_000 });
    let mut ended: Option<Instant> = None;
    let told = loop {
        if owners.last().is_some_and(Owner::is_closed) {
            stage.record.note(&format!("the scheduler has closed the owner's connection {}", owners.len()));
            let name = format!("owner, connection {}", owners.len() + 1);
            owners.push(Owner::connect(&name, scheduler.address, &stage.record)?);
            stage.record.note(&format!("{name} is open"));
        }
        if ended.is_none() && placed.elapsed() >= quiet {
            node.end_task(0xa1);
            ended = Some(Instant::now());
        }
        let told = owners.iter().find_map(|owner| owner.told_over(0xa1, ms(1)));
        if let Some(ended) = ended
            && (told.is_some() || ended.elapsed() > ms(12_000))
        {
            break told.map(|(at, _)| at - ended);
        }
        sleep(ms(5));
    };
    Ok(match told {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("told after {after:?}")),
        Some(after) => Verdict::Broken(format!("the end was told only after {after:?}")),
        None => Verdict::Broken("the end was not told within 12 s, and the owner was connected all the time".to_owned()),
    })
}

pub fn play(case: &str, stage: &Stage) -> Option<Result<Verdict, String>> {
    Some(match case {
        "end-in-a-quiet-time" => end_in_a_quiet_time(stage),
        "end-under-drain" => end_under_drain(stage),
        "handed-over-after-late-connection" => handed_over_after_late_connection(stage),
        "end-told-to-a-third" => end_told_to_a_third(stage),
        "end-after-long-quiet" => end_after_long_quiet(stage),
        _ => return None,
    })
}
