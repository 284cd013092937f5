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
    let scheduler = Scheduler::start(world, 0, bulletin.address, &known);
    let scheduler = scheduler.ok_or("the scheduler did not start")?;
    Ok(Deployment { nodes, bulletin, scheduler })
}

/// A scheduler of this number, with a bulletin of its own, beside those of the deployment.
fn start_another(
    world: &Arc<World>,
    deployment: &Deployment,
    number: usize,
) -> Result<(Arc<Bulletin>, Scheduler), String> {
    let bulletin = Bulletin::start(world);
    let entries: Vec<String> = deployment.nodes.iter().map(|node| node.entry("in_service")).collect();
    let known = event(1, true, &entries);
    bulletin.publish(1, known.clone());
    let scheduler = Scheduler::start(world, number, bulletin.address, &known);
    Ok((bulletin, scheduler.ok_or("the scheduler did not start")?))
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

/// Five tasks of a service run quietly, one on each of five nodes, and one node falls silent for six seconds.
pub fn silent(world: &Arc<World>) -> Verdict {
    const TASKS: [u64; 5] = [0x61, 0x62, 0x63, 0x64, 0x65];
    let deployment = deploy(world, 5)?;
    let client = owner(world, "owner", &deployment)?;
    for task in TASKS {
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
    judge_standing(world, &deployment, &client, &TASKS, 20_000)
}

/// One of two schedulers is killed. A task of it ends while it is down, and its node tells the other scheduler. At its
/// next start the first one gets the task as one that stands.
pub fn another(world: &Arc<World>) -> Verdict {
    const TASK: u64 = 0x71;
    let mut deployment = deploy(world, 2)?;
    let (_bulletin, other) = start_another(world, &deployment, 1)?;
    let first = owner(world, "owner of n0", &deployment)?;
    first.send(&wallet(TASK, SERVICE));
    stands(&first, TASK, 8_000)?;
    let node = holder(&deployment, TASK)?;
    // The other scheduler has tasks of two services on each node, so that it is connected to both.
    let second = Connection::open(world, "owner of n1", other.listen).ok_or("no connection to n1")?;
    for task in [0x81, 0x82, 0x83, 0x84] {
        second.send(&wallet(task, if task < 0x83 { 0xb4d6_5522 } else { 0xb4d6_5523 }));
        stands(&second, task, 8_000)?;
    }
    let told = |owner: &Connection| owner.find(RELEASE, TASK).is_some();
    if world.trouble {
        // It is down for 5 s, and gets its standing tasks at its next start.
        let Deployment { nodes, bulletin, scheduler } = deployment;
        let listen = scheduler.listen;
        world.log("run", "scheduler n0 is killed");
        drop(scheduler);
        world.pause(300);
        node.end(TASK);
        world.pause(4_700);
        world.log("run", &format!("releases that wait for a next connection: {}", node.releases_to_repeat()));
        let entries: Vec<String> = nodes.iter().map(|node| node.entry("in_service")).collect();
        let known = event(1, true, &entries);
        let scheduler = Scheduler::start_at(world, 0, listen, bulletin.address, &known);
        deployment = Deployment { nodes, bulletin, scheduler: scheduler.ok_or("n0 did not start again")? };
        if !deployment.scheduler.passes_test() {
            return Err("the test was not passed".to_owned());
        }
        let again = owner(world, "owner of n0 again", &deployment)?;
        again.send(&at(wallet(TASK, SERVICE), &node.uid));
        let handed_over_at = world.ms();
        let is_told = world.wait(12_000, || told(&again) || told(&second));
        let after = world.ms() - handed_over_at;
        let what = if is_told { "told" } else { "not told" };
        return Ok((
            after <= 8_050,
            format!("{what} {after} ms after the hand-over, {} ms after the end", after + 4_700),
        ));
    }
    node.end(TASK);
    let ended_at = world.ms();
    let is_told = world.wait(8_050, || told(&first));
    Ok((is_told, format!("told: {is_told}, {} ms after the end", world.ms() - ended_at)))
}

/// A node is replaced by a new one at its address. Before the list tells that, a task is placed there, and the
/// connection on which it was placed is reset.
pub fn address(world: &Arc<World>) -> Verdict {
    let mut deployment = deploy(world, 2)?;
    let client = owner(world, "owner", &deployment)?;
    client.send(&wallet(0x61, SERVICE));
    stands(&client, 0x61, 8_000)?;
    let busy = holder(&deployment, 0x61)?;
    let idle = deployment.nodes.iter().position(|node| node.uid != busy.uid).ok_or("one node")?;
    let old = deployment.nodes[idle].clone();
    world.pause(500);
    old.die();
    world.pause(300);
    let new = old.replace(9);
    deployment.nodes[idle] = new.clone();
    world.pause(200);
    // The service has one task on the other node already: this one goes to the address.
    client.send(&wallet(0x62, SERVICE));
    stands(&client, 0x62, 8_000)?;
    if !new.stands(0x62) {
        return Err("the second task was not placed on the new node".to_owned());
    }
    world.pause(300);
    if world.trouble {
        new.reset_connections();
    }
    world.pause(1_200);
    let entries = [old.entry("terminated"), new.entry("in_service")];
    deployment.bulletin.publish(2, event(2, false, &entries));
    judge_standing(world, &deployment, &client, &[0x61, 0x62], 10_000)
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
