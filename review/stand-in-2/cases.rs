//! What each case plays.

use crate::peers::*;
use crate::world::*;
use crate::Verdict;
use std::sync::Arc;

/// The bulletin, some nodes, each in a cell of its own, and a scheduler that knows them and has passed a test.
struct Deployment {
    nodes: Vec<Arc<Node>>,
    bulletin: Arc<Bulletin>,
    scheduler: Scheduler,
}

fn deploy(world: &Arc<World>, nodes: u32) -> Result<Deployment, String> {
    let bulletin = Bulletin::start(world);
    let nodes: Vec<Arc<Node>> = (1..=nodes).map(|number| Node::start(world, number, number)).collect();
    let entries: Vec<String> = nodes.iter().map(|node| node.entry("in_service")).collect();
    let known = event(1, true, &entries);
    bulletin.publish(1, known.clone());
    let scheduler = Scheduler::start(world, bulletin.address, &known, 1);
    let scheduler = scheduler.ok_or("the scheduler did not start")?;
    Ok(Deployment { nodes, bulletin, scheduler })
}

fn owner(world: &Arc<World>, name: &str, deployment: &Deployment) -> Result<Connection, String> {
    Connection::open(world, name, deployment.scheduler.listen).ok_or(format!("{name} can't connect"))
}

/// Waits until a set-up is answered.
fn stands(owner: &Connection, task: u64, limit_ms: u64) -> Result<(), String> {
    let answer = owner.wait_for(ANSWER, task, limit_ms);
    answer.map(drop).ok_or(format!("task {task:016x} was not placed"))
}

/// The node that holds a task.
fn holder(deployment: &Deployment, task: u64) -> Result<Arc<Node>, String> {
    let node = deployment.nodes.iter().find(|node| node.stands(task)).cloned();
    node.ok_or(format!("task {task:016x} stands nowhere"))
}

/// One service of the class `wallet-api`, of which a scheduler may have one task on a node.
const SERVICE: u64 = 0xb4d6_5521;

/// Two tasks of a service run quietly, one on each of two nodes, which close idle connections sooner than the settings
/// say.
pub fn idle(world: &Arc<World>) -> Verdict {
    let deployment = deploy(world, 2)?;
    if world.trouble {
        deployment.nodes.iter().for_each(|node| node.close_idle_after(2_000));
    }
    let client = owner(world, "owner", &deployment)?;
    for task in [0x61, 0x62] {
        client.send(&wallet(task, SERVICE));
        stands(&client, task, 8_000)?;
    }
    judge_standing(world, &deployment, &client, &[0x61, 0x62], 30_000)
}

/// The same, and one of the two nodes falls silent for six seconds.
pub fn silent(world: &Arc<World>) -> Verdict {
    let deployment = deploy(world, 2)?;
    let client = owner(world, "owner", &deployment)?;
    for task in [0x61, 0x62] {
        client.send(&wallet(task, SERVICE));
        stands(&client, task, 8_000)?;
    }
    world.pause(2_200);
    let node = holder(&deployment, 0x61)?;
    if world.trouble {
        let cut_off = node.clone();
        let clock = world.clone();
        std::thread::spawn(move || {
            cut_off.cut_off(true);
            clock.pause(6_000);
            cut_off.cut_off(false);
        });
    }
    judge_standing(world, &deployment, &client, &[0x61, 0x62], 20_000)
}

/// A scheduler that has been up for ten seconds passes its first test, and gets two tasks of a service, which stand
/// on a node each. The first connection to each node is reset as it is new.
pub fn handover(world: &Arc<World>) -> Verdict {
    let deployment = deploy(world, 2)?;
    for (node, task) in deployment.nodes.iter().zip([0x61, 0x62]) {
        node.hold(task);
    }
    // Clients come once all schedulers are ready, or after 30 s.
    world.pause(10_000);
    if !deployment.scheduler.passes_test() {
        return Err("the test was not passed".to_owned());
    }
    if world.trouble {
        deployment.nodes.iter().for_each(|node| node.reset_next(1));
    }
    let client = owner(world, "owner", &deployment)?;
    for (node, task) in deployment.nodes.iter().zip([0x61, 0x62]) {
        client.send(&at(wallet(task, SERVICE), &node.uid));
    }
    judge_standing(world, &deployment, &client, &[0x61, 0x62], 10_000)
}

/// These tasks of the service stand for so long, and end then: their owner is to be told of that, and not before. One
/// that it is told of before is asked for again, as owners do after a loss. No node may come to hold two of them.
fn judge_standing(
    world: &Arc<World>,
    deployment: &Deployment,
    owner: &Connection,
    tasks: &[u64],
    for_ms: u64,
) -> Verdict {
    let is_told = |task: &u64| owner.find(RELEASE, *task).is_some();
    world.wait(for_ms, || tasks.iter().any(is_told));
    let Some(told) = tasks.iter().copied().find(is_told) else {
        let ended_at = world.ms();
        for task in tasks {
            holder(deployment, *task)?.end(*task);
        }
        let all_told = world.wait(8_050, || tasks.iter().all(is_told));
        return Ok((all_told, format!("all ends told: {all_told}, within {} ms", world.ms() - ended_at)));
    };
    let Ok(node) = holder(deployment, told) else {
        return Err(format!("task {told:x} is over at its node, too early"));
    };
    let told_at = owner.find(RELEASE, told).map_or(0, |(ms, _)| ms);
    let what = format!("told at {told_at} ms that {told:x} is over, while it stands at {}", node.uid);
    world.log("owner", &what);
    // After a loss an owner asks again promptly, after a refusal or a failure in about a second or more.
    let mut asked: Vec<u64> = tasks.to_vec();
    for number in 0..6 {
        world.pause(if number == 0 { 300 } else { 1_500 });
        let (again, name) = (0x100 + number, told ^ 0x7f3a_0000_0000_0000);
        asked.push(again);
        owner.send(&named(wallet(again, SERVICE), name));
        world.wait(8_550, || owner.find(ANSWER, again).is_some() || owner.find(RELEASE, again).is_some());
        if owner.find(ANSWER, again).is_some() {
            break;
        }
    }
    for node in &deployment.nodes {
        let count = asked.iter().filter(|task| node.stands(**task)).count();
        if count > 1 {
            let most = "where the settings allow 1";
            return Ok((false, format!("{what}; then {count} tasks of the service on {}, {most}", node.uid)));
        }
    }
    Ok((true, format!("{what}; but no node came to hold two")))
}

/// A node begins to run a keyed task whose set-up then breaks, and says so with a cause that the page does not name
/// for nodes.
pub fn nack(world: &Arc<World>) -> Verdict {
    const NAME: u64 = 0x91f0_3b7c_55d2_0a64;
    const BUSY: u8 = 42;
    let deployment = deploy(world, 3)?;
    if world.trouble {
        deployment.nodes.iter().for_each(|node| node.set_mode(Mode::BreaksWith(BUSY)));
    }
    let client = owner(world, "owner", &deployment)?;
    client.send(&ledger(0x71, NAME, 0xb4d6_5521));
    let is_answered = || client.find(ANSWER, 0x71).is_some() || client.find(RELEASE, 0x71).is_some();
    if !world.wait(6_550, is_answered) {
        return Ok((false, "no answer in time".to_owned()));
    }
    let name = format!("{NAME:016x}");
    let runs =
        |deployment: &Deployment| deployment.nodes.iter().map(|node| node.runs_of(&name)).sum::<usize>();
    let cause = client.find(RELEASE, 0x71).and_then(|(_, release)| release.cause());
    let Some(cause @ (34 | 42 | 102)) = cause else {
        return Ok((true, format!("no refusal (cause {cause:?}), {} run(s)", runs(&deployment))));
    };
    // A refusal says that trying again is harmless: the owner does, here after about a second.
    deployment.nodes.iter().for_each(|node| node.set_mode(Mode::Accepts));
    world.pause(1_000);
    client.send(&ledger(0x72, NAME, 0xb4d6_5521));
    let _ = client.wait_for(ANSWER, 0x72, 6_550);
    let runs_in_cells: Vec<String> = deployment
        .nodes
        .iter()
        .filter(|node| node.runs_of(&name) > 0)
        .map(|node| format!("{} run(s) in cell {}", node.runs_of(&name), node.cell))
        .collect();
    Ok((false, format!("refused with cause {cause} though it had run; then {}", runs_in_cells.join(", "))))
}

/// A bad client hands over tasks with ids that no node knows, while a task ends whose owner has come on another
/// connection since.
pub fn stolen(world: &Arc<World>) -> Verdict {
    const TASK: u64 = 0x81;
    let deployment = deploy(world, 3)?;
    let first = owner(world, "owner-1", &deployment)?;
    first.send(&wallet(TASK, 0xb4d6_5521));
    stands(&first, TASK, 8_000)?;
    // An owner closes a connection that carries no task after 4 s.
    world.pause(4_000);
    first.close();
    world.pause(500);
    let second = owner(world, "owner-2", &deployment)?;
    second.send(&wallet(0x82, 0xb4d6_5522));
    stands(&second, 0x82, 8_000)?;
    world.pause(1_000);
    let node = holder(&deployment, TASK)?;
    let bad = if world.trouble { Some(owner(world, "bad client", &deployment)?) } else { None };
    for number in 0..20 {
        if let Some(bad) = &bad {
            bad.send(&at(wallet(0xbad_0000 + number, 0xbad_0000 + number), &deployment.nodes[0].uid));
        }
        world.pause(20);
    }
    node.end(TASK);
    let ended_at = world.ms();
    let told = second.wait_for(RELEASE, TASK, 8_100);
    let foreign = bad.as_ref().is_some_and(|bad| bad.find(RELEASE, TASK).is_some());
    Ok(match told {
        Some((ms, _)) => {
            (ms - ended_at <= 1_050, format!("told {} ms after the node's release", ms - ended_at))
        }
        None => (false, format!("its owner was never told of the task's end; the bad client was: {foreign}")),
    })
}

/// Owners that send no 'release heard' are told of the end of a task while the nodes are full.
pub fn untold(world: &Arc<World>) -> Verdict {
    const TASK: u64 = 0x93;
    let deployment = deploy(world, 3)?;
    let first = owner(world, "owner-1", &deployment)?;
    first.send(&wallet(0x91, 0xb4d6_5521));
    stands(&first, 0x91, 8_000)?;
    holder(&deployment, 0x91)?.end(0x91);
    first.wait_for(RELEASE, 0x91, 2_000).ok_or("the first end was not told")?;
    world.pause(1_500);
    first.send(&wallet(TASK, 0xb4d6_5523));
    stands(&first, TASK, 8_000)?;
    let node = holder(&deployment, TASK)?;
    // An owner closes a connection that carries no task after 4 s.
    world.pause(4_000);
    first.close();
    world.pause(500);
    if world.trouble {
        deployment.nodes.iter().for_each(|node| node.set_mode(Mode::Full));
    }
    let second = owner(world, "owner-2", &deployment)?;
    second.send(&wallet(0x94, 0xb4d6_5524));
    world.pause(500);
    node.end(TASK);
    let ended_at = world.ms();
    // The owner goes on to ask for tasks on its connection, as long as the nodes are full.
    for number in 0..8 {
        world.wait(1_006, || second.find(RELEASE, TASK).is_some());
        second.send(&wallet(0x95 + number, 0xb4d6_5525 + number));
    }
    let told = second.find(RELEASE, TASK);
    Ok(match told {
        Some((ms, _)) => {
            (ms - ended_at <= 1_050, format!("told {} ms after the node's release", ms - ended_at))
        }
        None => (false, format!("not told {} ms after the node's release", world.ms() - ended_at)),
    })
}

/// A task is handed over that stands at a node which was started while the bulletin is down.
pub fn outage(world: &Arc<World>) -> Verdict {
    const TASK: u64 = 0xa1;
    let deployment = deploy(world, 3)?;
    world.pause(2_000);
    let fresh = Node::start(world, 9, 9);
    if world.trouble {
        deployment.bulletin.set_up(false);
    }
    let down_at = world.ms();
    deployment.bulletin.publish(2, event(2, false, &[fresh.entry("in_service")]));
    world.pause(500);
    fresh.hold(TASK);
    let client = owner(world, "owner", &deployment)?;
    client.send(&at(wallet(TASK, 0xb4d6_5521), &fresh.uid));
    // The bulletin is down for 8 s.
    client.wait_for(RELEASE, TASK, down_at + 8_000 - world.ms());
    deployment.bulletin.set_up(true);
    if let Some((ms, _)) = client.wait_for(RELEASE, TASK, 3_000) {
        let what = format!("the owner was told at {ms} ms that its task is over: it stands at its node");
        return Ok((!fresh.stands(TASK), what));
    }
    fresh.end(TASK);
    let ended_at = world.ms();
    Ok(match client.wait_for(RELEASE, TASK, 8_050) {
        Some((ms, _)) => (true, format!("told {} ms after the task's end", ms - ended_at)),
        None => (false, "the end of the task was never told".to_owned()),
    })
}
