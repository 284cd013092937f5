//! The cases.

use crate::bulletin::{Bulletin, entry, entry_with_room};
use crate::node::{Manner, Node};
use crate::owner::{Owner, set_up};
use crate::proxy::Proxy;
use crate::scheduler::Scheduler;
use crate::wire::{self, Message};
use crate::{Stage, Verdict};
use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long owners wait, by the settings.
pub const TIMEOUT_MS: u64 = 1_200;
pub const CRANE_TIMEOUT_MS: u64 = 1_500;
/// An answer up to so long after its time is late and not lost.
pub const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An end is to be told within this, with what time limits are longer on sockets.
pub const END_LIMIT: Duration = Duration::from_millis(1_050);
/// What the machine that plays the case may add.
pub const MEASURING: Duration = Duration::from_millis(200);

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn play(case: &str, stage: &Stage) -> Result<Verdict, String> {
    match case {
        "taken-back" => taken_back(stage),
        "other-cause" => other_cause(stage),
        "end-after-restart" => end_after_restart(stage),
        "stall-with-answers" => stall_with_answers(stage),
        "slow-bulletin" => slow_bulletin(stage),
        // Left out for want of a place, and told of in the report.
        "silent-clients" => silent_clients(stage),
        "lost-stop" => lost_stop(stage),
        "partition" => partition(stage),
        "log-reader" => log_reader(stage),
        "first-end" => first_end(stage),
        "lost-release" => lost_release(stage),
        "two-releases" => two_releases(stage),
        "replaced" => replaced(stage),
        "hand-over" => hand_over(stage),
        "stall-and-restart" => stall_and_restart(stage),
        _ => crate::more_cases::play(case, stage),
    }
}

pub fn node(stage: &Stage, uid: &str, manner: Manner) -> Result<Node, String> {
    Node::start(uid, "127.0.0.1:0", manner, &stage.record).map_err(|error| error.to_string())
}

/// A bulletin that lists these nodes.
pub fn bulletin_of(stage: &Stage, nodes: &[&Node]) -> Result<Bulletin, String> {
    let bulletin = Bulletin::start(&stage.record).map_err(|error| error.to_string())?;
    let entries: Vec<String> = nodes.iter().map(|node| entry(node, "in_service", 0)).collect();
    bulletin.publish(&entries);
    Ok(bulletin)
}

/// Places a task, which has to stand.
pub fn place(owner: &Owner, task: u64, class: &str) -> Result<(), String> {
    owner.send(&[set_up(task, task, class, TIMEOUT_MS, None)]);
    match owner.final_answer(task, ms(TIMEOUT_MS)) {
        Some((_, answer)) if answer.kind == wire::ANSWER => Ok(()),
        other => Err(format!("task {task:016x} does not stand: {other:?}")),
    }
}

/// A client sends one request three times under one number and takes it back in between, all in one write.
fn taken_back(stage: &Stage) -> Result<Verdict, String> {
    let (one, two) = (node(stage, "n1", Manner::Takes)?, node(stage, "n2", Manner::Takes)?);
    let bulletin = bulletin_of(stage, &[&one, &two])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    let other = Owner::connect("other client", scheduler.address, &stage.record)?;
    sleep(ms(100));
    // A usual owner's request is in hand meanwhile: its node takes a moment.
    one.answer_late(ms(50));
    two.answer_late(ms(50));
    owner.send(&[set_up(0xa2, 0xa2, "gate-check", TIMEOUT_MS, None)]);
    sleep(ms(10));
    let asked = set_up(0xb1, 0xb1, "gate-check", TIMEOUT_MS, None);
    let taken_back = Message::release(0xb1, wire::GIVEN_UP);
    if stage.trouble {
        other.send(&[asked.clone(), taken_back.clone(), asked.clone(), taken_back, asked]);
    } else {
        other.send(&[asked]);
    }
    let answer = owner.final_answer(0xa2, ms(TIMEOUT_MS) + ANSWER_SLACK);
    sleep(ms(200));
    if let Some(status) = scheduler.exit_status() {
        scheduler.faults().iter().for_each(|line| stage.record.note(&format!("log: {line}")));
        return Ok(Verdict::Broken(format!(
            "the scheduler has crashed ({status}); the usual owner's request: {answer:?}"
        )));
    }
    Ok(match answer {
        Some(_) => Verdict::Held("the scheduler runs, and the usual owner has its answer".to_owned()),
        None => Verdict::Broken("the usual owner's request got no final answer".to_owned()),
    })
}

/// A node starts a task that must not run twice, and releases it before its answer with another cause.
fn other_cause(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "crane-order")?;
    if stage.trouble {
        node.set_manner(Manner::StartsAndReleases(42));
    }
    owner.send(&[set_up(0xa2, 0xa2, "crane-order", TIMEOUT_MS, None)]);
    let answer = owner.final_answer(0xa2, ms(TIMEOUT_MS) + ANSWER_SLACK);
    let ran = node.arrivals().iter().any(|arrival| arrival.task == 0xa2 && arrival.ran);
    if !ran {
        return Err("the node did not get the task".to_owned());
    }
    let refused = |message: &Message| {
        message.kind == wire::RELEASE && matches!(message.cause(), Some(34 | 42 | 102))
    };
    Ok(match answer {
        Some((_, message)) if refused(&message) => Verdict::Broken(format!(
            "a task that must not run twice has run, and its owner was told that trying again is harmless ({})",
            message.describe()
        )),
        Some((_, message)) => Verdict::Held(format!("the owner got: {}", message.describe())),
        None => Verdict::Broken("no final answer".to_owned()),
    })
}

/// The scheduler is killed and started anew; what runs is handed over to it, and comes to its end later.
fn end_after_restart(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let mut owner = Owner::connect_when_ready("owner, connection 1", scheduler.address, &stage.record)?;
    // One task comes to its end, is told to be over, and the owner says that it has heard that.
    place(&owner, 0xa1, "gate-check")?;
    node.end_task(0xa1);
    owner.told_over(0xa1, END_LIMIT).ok_or("the first end was not told")?;
    place(&owner, 0xa2, "gate-check")?;
    sleep(ms(500));
    if stage.trouble {
        scheduler.kill();
        sleep(ms(1_000));
        scheduler.start(&bulletin)?;
        owner = Owner::connect_when_ready("owner, connection 2", scheduler.address, &stage.record)?;
    }
    owner.send(&[set_up(0xa2, 0xa2, "gate-check", TIMEOUT_MS, Some("n1"))]);
    // After 4 s the owner closes the connection, which carries no task.
    sleep(ms(4_200));
    owner.close();
    sleep(ms(300));
    // Its next connection: what it asks for there is refused, and it keeps the connection.
    node.set_manner(Manner::Full);
    let next = Owner::connect("owner, last connection", scheduler.address, &stage.record)?;
    next.send(&[set_up(0xa3, 0xa3, "gate-check", TIMEOUT_MS, None)]);
    next.final_answer(0xa3, ms(TIMEOUT_MS) + ANSWER_SLACK).ok_or("the request was not answered")?;
    sleep(ms(500));
    if next.is_closed() || !node.holds(0xa2) {
        return Err("the connection was closed, or the task does not stand".to_owned());
    }
    node.end_task(0xa2);
    let ended = Instant::now();
    let told = next.told_over(0xa2, ms(10_000)).map(|(at, _)| at - ended);
    if next.is_closed() {
        return Err("the connection was closed".to_owned());
    }
    Ok(match told {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("the end was told after {after:?}")),
        Some(after) => Verdict::Broken(format!("the end was told only after {after:?}")),
        None => Verdict::Broken(
            "a task has come to its end, and 10 s later its owner, who is connected, was not told".to_owned(),
        ),
    })
}

/// The bulletin is crowded: each call waits three seconds for its turn.
fn slow_bulletin(stage: &Stage) -> Result<Verdict, String> {
    let (one, two) = (node(stage, "n1", Manner::Takes)?, node(stage, "n2", Manner::Takes)?);
    // The one that is to drain has more room.
    let bulletin = Bulletin::start(&stage.record).map_err(|error| error.to_string())?;
    bulletin.publish(&[entry_with_room(&one, "in_service", 0, 22), entry_with_room(&two, "in_service", 0, 12)]);
    if stage.trouble {
        bulletin.set_turn(ms(3_000));
    }
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    Owner::connect_when_ready("owner, at the start", scheduler.address, &stage.record)?.close();
    sleep(ms(8_000));
    bulletin.publish(&[entry_with_room(&one, "terminating", 0, 22)]);
    let told = Instant::now();
    // The grace of the settings, what a silent bulletin is excused for, and what limits are longer on sockets.
    let limit = ms(1_000) + ms(4_000) + ms(50);
    sleep(limit + ms(1_000));
    let owner = Owner::connect("owner", scheduler.address, &stage.record)?;
    for task in 0xc00..0xc14 {
        owner.send(&[set_up(task, task, "gate-check", TIMEOUT_MS, None)]);
        owner.final_answer(task, ms(TIMEOUT_MS) + ANSWER_SLACK).ok_or("a request was not answered")?;
        sleep(ms(100));
    }
    let late = one.arrivals().into_iter().filter(|arrival| arrival.at > told + limit + MEASURING).count();
    let latest = one.arrivals().last().map(|arrival| arrival.at.saturating_duration_since(told));
    let calls = bulletin.calls();
    Ok(if late > 0 {
        Verdict::Broken(format!(
            "{late} set-ups went to a node after its drain had been told and {limit:?} had passed, the last after {latest:?}; {calls} calls of the bulletin"
        ))
    } else {
        Verdict::Held(format!("no set-up went to the node that drains; {calls} calls of the bulletin"))
    })
}

/// A node is replaced by a new one at its address; a task is placed before the list tells of it.
fn replaced(stage: &Stage) -> Result<Verdict, String> {
    let one = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&one])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "crane-order")?;
    one.end_task(0xa1);
    owner.told_over(0xa1, END_LIMIT).ok_or("the first end was not told")?;
    sleep(ms(500));
    let mut holder = one.clone();
    let mut boot_ms = 0;
    if stage.trouble {
        one.die();
        sleep(ms(300));
        let address = one.address.to_string();
        holder = Node::start("n2", &address, Manner::Takes, &stage.record).map_err(|error| error.to_string())?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
        boot_ms = unix.as_millis() as u64;
        stage.record.note("node n2 starts at the address of n1");
    }
    sleep(ms(700));
    place(&owner, 0xa2, "crane-order")?;
    sleep(ms(1_000));
    if stage.trouble {
        bulletin.publish(&[entry(&one, "terminated", 0), entry(&holder, "in_service", boot_ms)]);
    }
    let told = owner.told_over(0xa2, ms(3_000));
    sleep(ms(1_000));
    let stands = holder.holds(0xa2);
    Ok(match told {
        Some(_) if stands => Verdict::Broken("the owner was told that its task is over, and it runs".to_owned()),
        other => Verdict::Held(format!("told over: {other:?}, stands: {stands}")),
    })
}

/// A task is handed over while the bulletin is down; the list names its node once it is back.
fn hand_over(stage: &Stage) -> Result<Verdict, String> {
    let (one, nine) = (node(stage, "n1", Manner::Takes)?, node(stage, "n9", Manner::Takes)?);
    let bulletin = bulletin_of(stage, &[&one])?;
    // Another scheduler, which has been told of n9, places a task there and is killed.
    let (mut first, mut second) =
        (Scheduler::new("s1", &stage.folder, &stage.record)?, Scheduler::new("s2", &stage.folder, &stage.record)?);
    second.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner at s2", second.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    if stage.trouble {
        bulletin.set_down(true);
    }
    let down = Instant::now();
    bulletin.publish(&[entry(&nine, "in_service", 0)]);
    first.start(&bulletin)?;
    let at_first = Owner::connect_when_ready("owner at s1", first.address, &stage.record)?;
    one.set_manner(Manner::Full);
    place(&at_first, 0xa2, "gate-check")?;
    if !nine.holds(0xa2) {
        return Err("the task went elsewhere".to_owned());
    }
    first.kill();
    sleep(ms(1_000));
    owner.send(&[set_up(0xa2, 0xa2, "gate-check", TIMEOUT_MS, Some("n9"))]);
    let told = owner.told_over(0xa2, ms(5_000));
    let stands = nine.holds(0xa2);
    sleep(ms(8_000).saturating_sub(down.elapsed()));
    if stage.trouble {
        bulletin.set_down(false);
    }
    Ok(match told {
        Some(_) if stands => Verdict::Broken("the owner was told that its task is over, and it runs".to_owned()),
        other => Verdict::Held(format!("told over: {other:?}, stands: {stands}")),
    })
}

/// Silent connections stand beside the owner's, on which nothing was placed yet, as a task comes to its end.
fn silent_clients(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner, connection 1", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    node.end_task(0xa1);
    owner.told_over(0xa1, END_LIMIT).ok_or("the first end was not told")?;
    place(&owner, 0xa2, "gate-check")?;
    // After 4 s the owner closes the connection, which carries no task.
    sleep(ms(4_200));
    owner.close();
    sleep(ms(300));
    node.set_manner(Manner::Full);
    let next = Owner::connect("owner, connection 2", scheduler.address, &stage.record)?;
    next.send(&[set_up(0xa3, 0xa3, "gate-check", TIMEOUT_MS, None)]);
    next.final_answer(0xa3, ms(TIMEOUT_MS) + ANSWER_SLACK).ok_or("the request was not answered")?;
    let mut silent = Vec::new();
    let open_silent = |silent: &mut Vec<Owner>, count: usize| -> Result<(), String> {
        for _ in 0..count {
            silent.push(Owner::connect("silent client", scheduler.address, &stage.record)?);
        }
        Ok(())
    };
    if stage.trouble {
        open_silent(&mut silent, 50)?;
    }
    sleep(ms(400));
    if next.is_closed() || !node.holds(0xa2) {
        return Err("the connection was closed, or the task does not stand".to_owned());
    }
    node.end_task(0xa2);
    let ended = Instant::now();
    let mut told = None;
    while told.is_none() && ended.elapsed() < ms(2_000) {
        told = next.told_over(0xa2, ms(500)).map(|(at, _)| at - ended);
        if stage.trouble {
            open_silent(&mut silent, 10)?;
        }
    }
    if next.is_closed() {
        return Err("the connection was closed".to_owned());
    }
    if told.is_none() {
        told = next.told_over(0xa2, ms(10_000)).map(|(at, _)| at - ended);
    }
    Ok(match told {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("the end was told after {after:?}")),
        Some(after) => Verdict::Broken(format!("the end was told only after {after:?}")),
        None => Verdict::Broken("the end was not told within 12 s".to_owned()),
    })
}

/// The scheduler stalls for less than a second; meanwhile nodes answer one owner's requests with long descriptions, and
/// the owner sends some more.
fn stall_with_answers(stage: &Stage) -> Result<Verdict, String> {
    let nodes = [
        node(stage, "n1", Manner::Takes)?,
        node(stage, "n2", Manner::Takes)?,
        node(stage, "n3", Manner::Takes)?,
    ];
    let bulletin = bulletin_of(stage, &[&nodes[0], &nodes[1], &nodes[2]])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    for node in &nodes {
        node.answer_late(ms(40));
        node.describe_with(12_000);
    }
    let first: Vec<u64> = (0xb00..0xb18).collect();
    let more: Vec<u64> = (0xc00..0xc04).collect();
    let set_ups = |tasks: &[u64]| -> Vec<Message> {
        tasks.iter().map(|task| set_up(*task, *task, "gate-check", TIMEOUT_MS, None)).collect()
    };
    owner.send(&set_ups(&first));
    sleep(ms(20));
    if stage.trouble {
        scheduler.signal("STOP");
    }
    sleep(ms(300));
    owner.send(&set_ups(&more));
    sleep(ms(300));
    if stage.trouble {
        scheduler.signal("CONT");
    }
    let unanswered = |tasks: &[u64]| {
        tasks.iter().filter(|task| owner.final_answer(**task, ms(TIMEOUT_MS) + ANSWER_SLACK).is_none()).count()
    };
    let (first, more) = (unanswered(&first), unanswered(&more));
    scheduler.faults().iter().for_each(|line| stage.record.note(&format!("log: {line}")));
    let closed = owner.is_closed();
    Ok(if first + more > 0 {
        Verdict::Broken(format!(
            "of the first requests {first} have no answer, of the later ones {more}; connection closed: {closed}"
        ))
    } else {
        Verdict::Held(format!("all requests have their answers; connection closed: {closed}"))
    })
}

/// A node is restarted just after it has accepted a task; the scheduler stalls for two seconds meanwhile.
fn stall_and_restart(stage: &Stage) -> Result<Verdict, String> {
    let one = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&one])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    one.answer_late(ms(100));
    owner.send(&[set_up(0xa2, 0xa2, "gate-check", TIMEOUT_MS, None)]);
    sleep(ms(30));
    if stage.trouble {
        scheduler.signal("STOP");
    }
    sleep(ms(300));
    one.die();
    sleep(ms(300));
    let again = Node::start("n1", &one.address.to_string(), Manner::Takes, &stage.record)
        .map_err(|error| error.to_string())?;
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
    let restarted = Instant::now();
    sleep(ms(1_400));
    if stage.trouble {
        scheduler.signal("CONT");
    }
    let answer = owner.final_answer(0xa2, ms(2_000));
    bulletin.publish(&[entry(&again, "in_service", unix.as_millis() as u64)]);
    // Where no release could be sent, it is to be told within 8 s of its end.
    let told = owner.told_over(0xa2, ms(9_000)).map(|(at, _)| at - restarted);
    Ok(match (answer, told) {
        (Some((_, answer)), None) if answer.kind == wire::ANSWER => {
            Verdict::Broken("the owner was told that its task stands, and never that it is over".to_owned())
        }
        other => Verdict::Held(format!("answer and end: {other:?}")),
    })
}

/// A task that runs at the start is handed over, and its owner ends it while the first connection to its node does not
/// come up; later the owner asks for it again.
fn lost_stop(stage: &Stage) -> Result<Verdict, String> {
    let (one, two) = (node(stage, "n1", Manner::Takes)?, node(stage, "n2", Manner::Takes)?);
    one.hold(0xa1);
    let bulletin = bulletin_of(stage, &[&one, &two])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    if stage.trouble {
        one.hold_connections_back(ms(800));
    }
    owner.send(&[set_up(0xa1, 0xa1, "crane-order", CRANE_TIMEOUT_MS, Some("n1"))]);
    sleep(ms(600));
    owner.send(&[Message::release(0xa1, wire::CANCELLED)]);
    sleep(ms(2_500));
    let after = one.holds(0xa1);
    // The owner asks for the task again.
    owner.send(&[set_up(0xa2, 0xa1, "crane-order", CRANE_TIMEOUT_MS, None)]);
    let answer = owner.final_answer(0xa2, ms(CRANE_TIMEOUT_MS) + ANSWER_SLACK);
    sleep(ms(8_000));
    let (first, second) = (one.holds(0xa1), one.holds(0xa2) || two.holds(0xa2));
    stage.record.note(&format!("the first run stood 2.5 s after its owner had ended it: {after}"));
    Ok(if first && second {
        Verdict::Broken("a task that must not run twice runs twice: its owner had ended the first run".to_owned())
    } else {
        Verdict::Held(format!("first run: {first}, second run: {second}, {answer:?}"))
    })
}

/// An owner is cut off from the scheduler for less than six seconds; meanwhile its task comes to its end, and the owner
/// closes its connection.
fn partition(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let proxy = Proxy::start(scheduler.address, &stage.record).map_err(|error| error.to_string())?;
    let owner = Owner::connect_when_ready("owner, connection 1", proxy.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    node.end_task(0xa1);
    owner.told_over(0xa1, END_LIMIT).ok_or("the first end was not told")?;
    place(&owner, 0xa2, "gate-check")?;
    sleep(ms(200));
    if stage.trouble {
        proxy.set_cut_off(true);
    }
    sleep(ms(500));
    node.end_task(0xa2);
    let ended = Instant::now();
    let told = if stage.trouble { None } else { owner.told_over(0xa2, END_LIMIT) };
    sleep(ms(4_000));
    owner.close();
    sleep(ms(500));
    if stage.trouble {
        proxy.set_cut_off(false);
    }
    sleep(ms(300));
    let next = Owner::connect("owner, connection 2", proxy.address, &stage.record)?;
    place(&next, 0xa3, "gate-check")?;
    let told = told.or_else(|| next.told_over(0xa2, ms(8_000)));
    Ok(match told {
        Some((at, _)) => Verdict::Held(format!("told after {:?}", at - ended)),
        None => Verdict::Broken("the end was never told".to_owned()),
    })
}

/// Whoever reads the log stops reading for twenty seconds.
fn log_reader(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.log_through_a_pipe();
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    node.end_task(0xa1);
    if stage.trouble {
        scheduler.signal_log_reader("STOP");
    }
    let stopped = Instant::now();
    let mut unanswered = None;
    let mut answered = 0;
    for task in 0xc00..0xe00 {
        owner.send(&[set_up(task, task, "gate-check", TIMEOUT_MS, None)]);
        if owner.final_answer(task, ms(TIMEOUT_MS) + ANSWER_SLACK).is_none() {
            unanswered = Some(task);
            break;
        }
        answered += 1;
        node.end_task(task);
        sleep(ms(20));
    }
    sleep(ms(20_000).saturating_sub(stopped.elapsed()));
    if stage.trouble {
        scheduler.signal_log_reader("CONT");
    }
    let late = unanswered.and_then(|task| owner.final_answer(task, ms(3_000)));
    Ok(match unanswered {
        Some(task) => Verdict::Broken(format!(
            "after {answered} requests the scheduler stood still: {task:x} got no answer while the log was not read; after that: {late:?}"
        )),
        None => Verdict::Held(format!("{answered} requests, all answered")),
    })
}

/// The first end that an owner is told of goes down with its connection.
fn first_end(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let proxy = Proxy::start(scheduler.address, &stage.record).map_err(|error| error.to_string())?;
    let owner = Owner::connect_when_ready("owner, connection 1", proxy.address, &stage.record)?;
    place(&owner, 0xa2, "gate-check")?;
    let next = Owner::connect("owner, connection 2", scheduler.address, &stage.record)?;
    place(&next, 0xa3, "gate-check")?;
    sleep(ms(200));
    if stage.trouble {
        proxy.set_cut_off(true);
        sleep(ms(20));
    }
    node.end_task(0xa2);
    let ended = Instant::now();
    sleep(ms(30));
    if stage.trouble {
        // The connection is reset, with the end on its way.
        proxy.set_cut_off(false);
    }
    while ended.elapsed() < ms(9_000) {
        let told = owner.told_over(0xa2, ms(1)).or_else(|| next.told_over(0xa2, ms(1)));
        if let Some((at, _)) = told {
            return Ok(Verdict::Held(format!("told after {:?}", at - ended)));
        }
        sleep(ms(20));
    }
    Ok(Verdict::Broken("the end was not told within 9 s, though the owner's other connection was open".to_owned()))
}

/// A node's release goes down with its connection, and the next connections come up late.
fn lost_release(stage: &Stage) -> Result<Verdict, String> {
    let node = node(stage, "n1", Manner::Takes)?;
    let bulletin = bulletin_of(stage, &[&node])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa2, "gate-check")?;
    sleep(ms(200));
    if stage.trouble {
        node.hold_connections_back(ms(800));
        node.reset_connections();
    }
    node.end_task(0xa2);
    let ended = Instant::now();
    let told = owner.told_over(0xa2, ms(9_000)).map(|(at, _)| at - ended);
    Ok(match told {
        Some(after) if after <= END_LIMIT + MEASURING => Verdict::Held(format!("told after {after:?}")),
        other => Verdict::Broken(format!("told after {other:?}")),
    })
}

/// A node releases a set-up twice in one write: as reset, and as an error.
fn two_releases(stage: &Stage) -> Result<Verdict, String> {
    let (one, two) = (node(stage, "n1", Manner::Takes)?, node(stage, "n2", Manner::Takes)?);
    let bulletin = bulletin_of(stage, &[&one, &two])?;
    let mut scheduler = Scheduler::new("s1", &stage.folder, &stage.record)?;
    scheduler.start(&bulletin)?;
    let owner = Owner::connect_when_ready("owner", scheduler.address, &stage.record)?;
    place(&owner, 0xa1, "gate-check")?;
    if stage.trouble {
        one.set_manner(Manner::ReleasesTwice(41, 47));
        two.set_manner(Manner::ReleasesTwice(41, 47));
    }
    owner.send(&[set_up(0xa2, 0xa2, "gate-check", TIMEOUT_MS, None)]);
    let answer = owner.final_answer(0xa2, ms(TIMEOUT_MS) + ANSWER_SLACK);
    sleep(ms(300));
    Ok(match scheduler.exit_status() {
        Some(status) => {
            scheduler.faults().iter().for_each(|line| stage.record.note(&format!("log: {line}")));
            Verdict::Broken(format!("the scheduler has crashed ({status}); {answer:?}"))
        }
        None => Verdict::Held(format!("the scheduler runs; {answer:?}")),
    })
}
