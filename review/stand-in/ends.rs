//! Cases about the ends of tasks: told never, too late, or of a task that stands.

use crate::bulletin::entry;
use crate::cases::{ANSWER_SLACK, END_LIMIT, MEASURING, TIMEOUT_MS, bulletin_of, ms, node, place};
use crate::node::Manner;
use crate::owner::{Owner, set_up};
use crate::scheduler::Scheduler;
use crate::wire;
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

/// A task ends while the only node drains. Its owner has a connection on which it asks again and again for another one.
pub fn end_under_drain(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner, connection 1", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    sleep(ms(OWNER_IDLE_MS));
    owner.close();
    if stage.trouble {
        bulletin.publish(&[entry(&node, "terminating", 0)]);
        sleep(ms(200));
    }
    let back = Owner::connect("owner, connection 2", scheduler.address, &stage.record)?;
    let mut ended = None;
    for number in 0..8 {
        let task = 0xb0 + number;
        back.send(&[set_up(task, task, "gate-check", TIMEOUT_MS, None)]);
        if number == 1 {
            sleep(ms(300));
            node.end_task(0xa1);
            ended = Some(Instant::now());
        }
        let answer = back.final_answer(task, ms(TIMEOUT_MS) + ANSWER_SLACK);
        if answer.is_none() {
            return Ok(Verdict::Broken(format!("request {task:016x} got no final answer")));
        }
        sleep(ms(1_000));
    }
    let ended = ended.ok_or("the task did not end")?;
    Ok(match back.told_over(0xa1, ms(1)).map(|(at, _)| at - ended) {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("told after {after:?}")),
        other => Verdict::Broken(format!(
            "the end was told after {other:?}; the owner had a connection with requests for {:?}",
            ended.elapsed()
        )),
    })
}

/// A scheduler is killed, and the task that it placed is handed to another one, whose first connection to the node
/// comes up late.
pub fn handed_over_late_connection(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let (mut first, mut second) =
        (Scheduler::new("s1", &stage.folder, &stage.record)?, Scheduler::new("s2", &stage.folder, &stage.record)?);
    first.start(&bulletin)?;
    second.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner at s1", first.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    sleep(ms(9_000));
    first.kill();
    sleep(ms(2_000));
    let at_second = Owner::connect_when_ready("owner at s2", second.address, &stage.record)?;
    if stage.trouble {
        node.hold_connections_back(ms(700));
    }
    at_second.send(&[set_up(0xa1, 0xa1, "gate-check", TIMEOUT_MS, Some("n1"))]);
    let handed_over = Instant::now();
    let told = at_second.told_over(0xa1, ms(6_000)).map(|(at, message)| (at - handed_over, message.cause()));
    let stands = node.holds(0xa1);
    scheduler_log(stage, &second);
    if told.is_none() {
        node.end_task(0xa1);
        let ended = Instant::now();
        let after = at_second.told_over(0xa1, ms(3_000)).map(|(at, _)| at - ended);
        return Ok(match after {
            Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("told {after:?} after its end")),
            other => Verdict::Broken(format!("the end was told after {other:?}")),
        });
    }
    Ok(match told {
        Some((after, cause)) if stands => Verdict::Broken(format!(
            "{after:?} after the hand-over the owner was told that its task is over (cause {cause:?}), and it runs"
        )),
        other => Verdict::Held(format!("told over: {other:?}, stands: {stands}")),
    })
}

fn scheduler_log(stage: &Stage, scheduler: &Scheduler) {
    scheduler.faults().iter().for_each(|line| stage.record.note(&format!("log: {line}")));
}

pub fn play(case: &str, stage: &Stage) -> Option<Result<Verdict, String>> {
    let _ = wire::ANSWER;
    Some(match case {
        "end-in-a-quiet-time" => end_in_a_quiet_time(stage),
        "end-under-drain" => end_under_drain(stage),
        "handed-over-late-connection" => handed_over_late_connection(stage),
        _ => return None,
    })
}
