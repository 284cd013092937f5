//! What a run does, drawn from its seed.

use mulleinhub_interface::Pcg;
use std::time::Duration;

/// Schedulers of an ordinary run, and of one with a crowd.
const SCHEDULERS: usize = 4;
const CROWD_SCHEDULERS: usize = 20;
/// One in so many runs has a crowd.
const CROWD_INTERVAL: u64 = 5;
/// Machines at the start.
const MACHINES: usize = 8;
/// Faults are injected until then; what follows is there for the deadlines to pass.
pub const FAULT_TIME: Duration = Duration::from_millis(6_000);
/// The whole run: the longest deadline of a rule is eight seconds after an end.
pub const RUN_TIME: Duration = Duration::from_millis(15_500);
/// Actions of an ordinary run, besides the two restarts that every run has.
const ACTIONS: usize = 9;

/// A process that gets too little of a processor for a while: some of its calls are made late, in the midst of its
/// work.
const LATE_PROCESS: &str =
    "send delay=30 10 2300 4400\nrecv delay=10 1 1000 9000\nwait delay=20 1 1000 9000\n";
/// Meanwhile answers of some machines are late by up to so much, so that they cross what schedulers do.
const LATE_ANSWERS_AT_MS: [u64; 3] = [2_300, 3_000, 3_700];
const LATE_ANSWERS: Duration = Duration::from_millis(700);
const LATE_MACHINES: usize = 4;

/// Something that happens at an instant of the run.
#[derive(Clone, Copy, Debug)]
pub enum Action {
    /// A scheduler gets SIGTERM, SIGKILL at the earliest instant that the platform allows, and a successor.
    Restart(usize),
    /// A scheduler is killed outright, and gets a successor.
    Kill(usize),
    /// A scheduler is stopped and continued.
    Pause(usize, Duration),
    /// A scheduler reads its configuration again, several times in a row.
    Reload(usize),
    /// A machine's process dies: connections are reset and refused.
    MachineDies(usize),
    /// A machine vanishes: connections stay open and silent, new ones never come up.
    MachineVanishes(usize),
    /// A machine is cut off for a while, and comes back.
    MachineCutOff(usize, Duration),
    /// A machine drains.
    MachineDrains(usize),
    /// A new machine starts cold.
    MachineStarts,
    /// All connections of a machine are reset.
    ConnectionsReset(usize),
    /// A machine closes its connections in order.
    ConnectionsClosed(usize),
    /// A machine's answers are held up on their way.
    AnswersHeldUp(usize, Duration),
    /// A machine's next releases overtake their acceptances.
    ReleasesOvertake(usize),
    /// The endpoint streams fall silent.
    DiscoverySilent,
    /// The endpoint streams are closed.
    DiscoveryCloses,
    /// Clients of a scheduler leave with requests unanswered.
    ClientsLeave(usize),
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// How many schedulers.
    pub schedulers: usize,
    /// How many machines at the start.
    pub machines: usize,
    /// Calls that a cold machine bears within a second.
    pub slow_start_budget: u32,
    /// The longest client timeout of the settings.
    pub client_timeout: Duration,
    /// The idle timeout of machines: short ones close connections often.
    pub idle_timeout: Duration,
    /// Descriptors of a scheduler.
    pub descriptors: usize,
    /// The rules of the fault shim, for each scheduler.
    pub shim: Vec<String>,
    /// What happens, in order.
    pub actions: Vec<(Duration, Action)>,
}

/// One group of system-call faults.
fn shim_rules(random: &mut Pcg) -> String {
    const ACCEPT: [&str; 4] = ["ECONNABORTED", "ENFILE", "ENOBUFS", "EINTR"];
    const SOCKET: [&str; 2] = ["ENFILE", "ENOBUFS"];
    const CONNECT: [&str; 3] = ["EADDRNOTAVAIL", "ENETUNREACH", "EINTR"];
    const LATE: [&str; 2] = ["ETIMEDOUT", "EHOSTUNREACH"];
    let mut pick = |names: &[&str]| names[random.below(names.len())].to_owned();
    let (accept, socket, connect, late) = (pick(&ACCEPT), pick(&SOCKET), pick(&CONNECT), pick(&LATE));
    let groups = [
        format!("accept {accept} 15 0 6000\nsocket {socket} 10 0 6000\n"),
        format!("connect {connect} 15 1000 6000\nso_error {late} 5 1000 6000\n"),
        "recv short 30 0 9000\nsend short 20 0 9000\n".to_owned(),
        "recv EINTR 10 0 9000\nsend EINTR 10 0 9000\nwait EINTR 10 0 9000\nsend ENOBUFS 2 0 6000\n"
            .to_owned(),
        format!("recv {late} 0.5 1500 6000\nsend {late} 0.5 1500 6000\n"),
    ];
    let step = if random.below(2) == 0 { 3_600_000 } else { -3_600_000 };
    let from = [0, 1_500, 3_000][random.below(3)];
    let clock = format!("wall_clock step={step} 100 {from} 600000\n");
    let chosen = groups.iter().filter(|_| random.below(2) == 0).cloned().collect::<String>();
    chosen + &clock
}

fn draw_action(random: &mut Pcg, schedulers: usize, machines: usize) -> Action {
    let (scheduler, machine) = (random.below(schedulers), random.below(machines));
    let some_ms = |random: &mut Pcg, least: usize, most: usize| {
        Duration::from_millis((least + random.below(most - least)) as u64)
    };
    match random.below(16) {
        0 => Action::Kill(scheduler),
        1 => Action::Pause(scheduler, some_ms(random, 50, 400)),
        2 => Action::Reload(scheduler),
        3 => Action::MachineDies(machine),
        4 | 5 => Action::MachineVanishes(machine),
        6 => Action::MachineCutOff(machine, some_ms(random, 300, 3_000)),
        7 => Action::MachineDrains(machine),
        8 => Action::MachineStarts,
        9 => Action::ConnectionsReset(machine),
        10 => Action::ConnectionsClosed(machine),
        11 | 12 => Action::AnswersHeldUp(machine, some_ms(random, 300, 3_000)),
        13 => Action::ReleasesOvertake(machine),
        14 => [Action::DiscoverySilent, Action::DiscoveryCloses][random.below(2)],
        _ => Action::ClientsLeave(scheduler),
    }
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut random = Pcg::new(seed);
        let is_crowd = seed.is_multiple_of(CROWD_INTERVAL);
        let schedulers = if is_crowd { CROWD_SCHEDULERS } else { SCHEDULERS };
        let mut actions: Vec<(Duration, Action)> = (0..ACTIONS)
            .map(|_| {
                let at = Duration::from_millis(1_200 + random.below(4_500) as u64);
                (at, draw_action(&mut random, schedulers, MACHINES))
            })
            .collect();
        // Signals in series: every run restarts a scheduler, and its successor soon after.
        let restarted = random.below(schedulers);
        actions.push((Duration::from_millis(1_500), Action::Restart(restarted)));
        actions.push((Duration::from_millis(2_300), Action::MachineStarts));
        actions.push((FAULT_TIME + Duration::from_millis(300), Action::Restart(restarted)));
        actions.sort_by_key(|(at, _)| *at);
        let quiet = String::new();
        let shim: Vec<String> = (0..schedulers)
            .map(|n| if n % 4 == 3 { quiet.clone() } else { shim_rules(&mut random) })
            .collect();
        let mut plan = Self {
            seed,
            schedulers,
            machines: MACHINES,
            slow_start_budget: [4, 9, 25, 40][random.below(4)],
            client_timeout: Duration::from_millis([1_500, 2_500, 60_000][random.below(3)]),
            idle_timeout: Duration::from_millis([1_000, 3_000, 15_000][random.below(3)]),
            descriptors: [128, 256, 1_024][random.below(3)],
            shim,
            actions,
        };
        // Drawn last: whatever else a seed plays stays as it is.
        for (scheduler, rules) in plan.shim.iter_mut().enumerate() {
            let late = [LATE_PROCESS, ""][random.below(2)];
            // A stop in the midst of a late write is a stop between two instructions, which nobody can see coming.
            let is_paused =
                |(_, action): &(Duration, Action)| matches!(action, Action::Pause(at, _) if *at == scheduler);
            if !plan.actions.iter().any(is_paused) {
                rules.push_str(late);
            }
        }
        for at in LATE_ANSWERS_AT_MS.map(Duration::from_millis) {
            let held_up = |_| (at, Action::AnswersHeldUp(random.below(MACHINES), LATE_ANSWERS));
            plan.actions.extend((0..LATE_MACHINES).map(held_up));
        }
        plan.actions.sort_by_key(|(at, _)| *at);
        plan
    }
}
