//! A bad client that sends hundreds of requests at once.

use crate::bulletin::Bulletin;
use crate::cases::{ANSWER_SLACK, TIMEOUT_MS, ms};
use crate::fleet::Fleet;
use crate::owner::{Owner, set_up, set_up_described};
use crate::scheduler::Scheduler;
use crate::wire::Message;
use crate::{Stage, Verdict};
use std::thread::sleep;
use std::time::Instant;

/// Between two requests of the usual owner: 25 a second.
const USUAL_INTERVAL_MS: u64 = 40;
const USUAL_REQUESTS: u64 = 100;

/// The usual owner asks 25 times a second. How many of its requests got no answer in time, and of how many.
fn ask_as_usual(owner: &Owner, first: u64) -> (u64, u64) {
    let mut asked: Vec<(u64, Instant)> = Vec::new();
    for number in 0..USUAL_REQUESTS {
        let task = first + number;
        asked.push((task, owner.send(&[set_up(task, task, "gate-check", TIMEOUT_MS, None)])));
        sleep(ms(USUAL_INTERVAL_MS));
    }
    let limit = ms(TIMEOUT_MS) + ANSWER_SLACK;
    let is_lost = |(task, sent): &&(u64, Instant)| {
        let answer = owner.final_answer(*task, limit.saturating_sub(sent.elapsed()));
        answer.is_none_or(|(at, _)| at - *sent > limit)
    };
    (asked.iter().filter(is_lost).count() as u64, USUAL_REQUESTS)
}

/// A bad client sends 400 requests at once to a scheduler of 256 descriptors, in a fleet of 200 sound nodes.
fn requests_at_once(stage: &Stage) -> Result<Verdict, String> {
    let fleet = Fleet::start(200, &stage.record).map_err(|error| error.to_string())?;
    let bulletin = Bulletin::start(&stage.record).map_err(|error| error.to_string())?;
    bulletin.publish(&fleet.entries());
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.set_limits(128, 256);
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("usual owner", scheduler.address, &stage.record)?;
    let (lost, asked) = ask_as_usual(&owner, 0x1000);
    if lost > 0 {
        return Err(format!("{lost} of {asked} requests were not answered before the disruption"));
    }
    stage.record.note(&format!("before: {asked} requests answered; scheduler: {}", scheduler.usage()));
    if stage.trouble {
        let bad = Owner::connect("bad client", scheduler.address, &stage.record)?;
        let requests: Vec<Message> =
            (0..400).map(|number| set_up_described(0x9000 + number, "gate-check", TIMEOUT_MS, b"no program")).collect();
        bad.send(&requests);
    }
    let (lost, asked) = ask_as_usual(&owner, 0x2000);
    let usage = scheduler.usage();
    stage.record.note(&format!("after: {} tasks placed in all; scheduler: {usage}", fleet.placed()));
    Ok(if lost > 0 {
        Verdict::Broken(format!("{lost} of {asked} requests of the usual owner got no answer in time; scheduler: {usage}"))
    } else {
        Verdict::Held(format!("{asked} requests answered in time; scheduler: {usage}"))
    })
}

pub fn play(case: &str, stage: &Stage) -> Option<Result<Verdict, String>> {
    (case == "requests-at-once").then(|| requests_at_once(stage))
}
