//! What is kept of each team is what a reckoning from all logs gives, whatever came in whatever order.

use super::super::Ledger;
use super::Figures;
use crate::money::Prices;
use crate::month::{Month, Months};
use crate::settings::{Settings, Team};
use mulleinhub_interface::Duration;
use mulleinhub_replicated_log::{
    Balance, DirectiveAction, EffectiveDirective, Entry, Log, LogId, LogState, Name, PersistedLogs,
    Predecessor, ShareTransfer, SplitAmount, Subject,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MEMBERS: usize = 4;
const TEAMS: usize = 3;
const MONTH: u32 = 24_000;
const CAP: u64 = 10_000;

/// What happens, to one of the members' logs or to ours. Members and their lives are drawn as numbers of
/// which the rest of a division counts.
#[derive(Clone, Debug)]
enum Event {
    Balance {
        log: usize,
        team: usize,
        amount: u64,
    },
    ShareTransfer {
        log: usize,
        team: usize,
        to: usize,
        life: u64,
        amount: u64,
    },
    Month {
        log: usize,
    },
    /// The log is summed up.
    Sum {
        log: usize,
    },
    /// A life that goes on from the first so many rows of a log; where it is `void`, nothing of its share
    /// is left.
    Life {
        log: usize,
        rows: usize,
        void: bool,
    },
    /// The log is written on in two ways.
    Fork {
        log: usize,
    },
    /// We hear so many rows of a log.
    Hear {
        log: usize,
        rows: usize,
    },
    Order {
        team: usize,
        cap: u64,
    },
    OwnBalance {
        team: usize,
        amount: u64,
    },
    OwnGift {
        team: usize,
        to: usize,
        amount: u64,
    },
    OwnMonth,
    DropOld,
    Refresh,
}

fn event() -> impl Strategy<Value = Event> {
    let (log, team, to) = (0..64usize, 0..TEAMS, 0..MEMBERS);
    let amount = 1..6_000u64;
    let (l, t, a) = (log.clone(), team.clone(), amount.clone());
    prop_oneof![
        6 => (l.clone(), t.clone(), a.clone())
            .prop_map(|(log, team, amount)| Event::Balance { log, team, amount }),
        4 => (l.clone(), t.clone(), to.clone(), 1..4u64, a.clone())
            .prop_map(|(log, team, to, life, amount)| Event::ShareTransfer { log, team, to, life, amount }),
        1 => l.clone().prop_map(|log| Event::Month { log }),
        1 => l.clone().prop_map(|log| Event::Sum { log }),
        2 => (l.clone(), 0..40usize, any::<bool>())
            .prop_map(|(log, rows, void)| Event::Life { log, rows, void }),
        1 => l.clone().prop_map(|log| Event::Fork { log }),
        12 => (log, 1..12usize).prop_map(|(log, rows)| Event::Hear { log, rows }),
        2 => (t.clone(), a.clone()).prop_map(|(team, cap)| Event::Order { team, cap }),
        3 => (t.clone(), a.clone()).prop_map(|(team, amount)| Event::OwnBalance { team, amount }),
        2 => (team, to, amount).prop_map(|(team, to, amount)| Event::OwnGift { team, to, amount }),
        1 => Just(Event::OwnMonth),
        1 => Just(Event::DropOld),
        6 => Just(Event::Refresh),
    ]
}

fn member(n: usize) -> Name {
    format!("s{n}").as_str().into()
}

fn team_name(n: usize) -> Name {
    format!("team-{n}").as_str().into()
}

fn settings() -> Settings {
    let team = |n| Team { name: team_name(n), account: None, tenants: Vec::new(), cap: Some(CAP) };
    Settings {
        me: member(0),
        members: (0..MEMBERS).map(member).collect(),
        teams: (0..TEAMS).map(team).collect(),
        prices: Prices { core_second: 1, memory_second: 0 },
        months: Months::of_zone("UTC").expect("is a zone"),
        near: 900_000,
        stretch: Duration::from_secs(10),
        catch_up: Duration::from_secs(3),
        replicas: None,
        sites: BTreeMap::new(),
    }
}

fn month(number: u32) -> Month {
    Month { number, begins: 0, ends: u64::MAX }
}

/// Logs as their writers have them, and a keeper that hears of them.
struct World {
    keeper: Ledger,
    logs: Vec<(LogId, Log)>,
    orders: u64,
}

impl World {
    fn new() -> Self {
        let mut keeper = Ledger::new(settings(), 1, 7, PersistedLogs::default(), Duration::from_secs(1));
        keeper.library.open(LogState { month: MONTH, ..LogState::default() });
        keeper.month = Some(month(MONTH));
        let mut world = Self { keeper, logs: Vec::new(), orders: 0 };
        for n in 1..MEMBERS {
            let id = LogId { writer: member(n), incarnation: 1 };
            world.open(id, LogState { month: MONTH, ..LogState::default() });
        }
        world
    }

    fn open(&mut self, id: LogId, state: LogState) {
        let mut column = Log::new(&id);
        column.append(&Entry::Snapshot(Box::new(state)).bytes()).expect("a life begins");
        self.logs.push((id, column));
    }

    fn log(&mut self, log: usize) -> &mut (LogId, Log) {
        let many = self.logs.len();
        &mut self.logs[log % many]
    }

    fn write(&mut self, log: usize, entry: &Entry) {
        let (_, column) = self.log(log);
        column.append(&entry.bytes()).expect("the log goes on");
    }

    fn hear(&mut self, log: usize, rows: usize) {
        let (id, column) = self.log(log).clone();
        let (known, _) = self.keeper.library.known_head(&id);
        let (base, _) = column.compacted_through();
        let (tip, _) = column.head();
        // Of a log that forked the other branch is heard from its beginning on.
        let is_other = column.digest_at(known) != Some(self.keeper.library.known_head(&id).1);
        let after = if is_other || known > tip { base } else { known.max(base) };
        let digest = column.digest_at(after).expect("it is kept");
        let rows: Vec<Vec<u8>> =
            column.entries_after(after).take(rows).map(|row| row.bytes.to_vec()).collect();
        let rows: Vec<&[u8]> = rows.iter().map(|row| &**row).collect();
        // What doesn't follow is refused, and must have changed nothing.
        let _ = self.keeper.library.append_entries(&id, after, digest, &rows);
    }

    fn happens(&mut self, event: &Event) {
        let now = self.keeper.month.map_or(0, |month| month.number);
        match *event {
            Event::Balance { log, team, amount } => {
                let state = self.log(log).1.state();
                let (team, month) = (team_name(team), state.month);
                let purse = grown(state.balance(&team, month), amount);
                self.write(log, &Entry::Balance { team, month, balance: purse });
            }
            Event::ShareTransfer { log, team, to, life, amount } => {
                let state = self.log(log).1.state();
                let gift = ShareTransfer {
                    team: team_name(team),
                    month: state.month,
                    to: member(to),
                    incarnation: life,
                };
                let known = state.transferred_out.get(&gift).copied().unwrap_or_default();
                let parts = known.saturating_add(SplitAmount { open: amount, running_only: amount / 5 });
                self.write(log, &Entry::Transferred { transfer: gift, total: parts });
            }
            Event::Month { log } => {
                let month = self.log(log).1.state().month + 1;
                self.write(log, &Entry::Month(month));
            }
            Event::Sum { log } => {
                let state = self.log(log).1.state().clone();
                self.write(log, &Entry::Snapshot(Box::new(state)));
            }
            Event::Life { log, rows, void } => {
                let (id, column) = self.log(log).clone();
                let (base, tip) = (column.compacted_through().0, column.head().0);
                let number = (base + 1 + rows as u64).min(tip);
                let digest = column.digest_at(number).expect("it is kept");
                let mut state = column.state_at(number).expect("it is kept");
                let lives = self.logs.iter().filter(|(other, _)| other.writer == id.writer);
                let life = lives.map(|(id, _)| id.incarnation).max().unwrap_or(0) + 1;
                state.predecessor = Some(Predecessor { incarnation: id.incarnation, number, digest });
                if void {
                    (state.transfers_valid_from, state.initial_share_void_through) = (life, state.month);
                }
                self.open(LogId { writer: id.writer, incarnation: life }, state);
            }
            Event::Fork { log } => {
                let (id, column) = self.log(log).clone();
                self.logs.push((id, column));
            }
            Event::Hear { log, rows } => self.hear(log, rows),
            Event::Order { team, cap } => {
                self.orders += 1;
                let word = DirectiveAction::Cap { amount: cap };
                let standing = EffectiveDirective { number: self.orders, action: word, conflicting: false };
                self.keeper.library.apply_directive(&Subject::Team(team_name(team)), standing);
            }
            Event::OwnBalance { team, amount } => {
                let team = team_name(team);
                let purse = grown(self.keeper.library.balance(&member(0), &team, now), amount);
                self.keeper.library.write(&Entry::Balance { team, month: now, balance: purse });
            }
            Event::OwnGift { team, to, amount } => {
                let gift =
                    ShareTransfer { team: team_name(team), month: now, to: member(to), incarnation: 1 };
                let state = self.keeper.library.latest_state(&member(0)).expect("it is open");
                let known = state.transferred_out.get(&gift).copied().unwrap_or_default();
                let parts = known.saturating_add(SplitAmount { open: amount, running_only: 0 });
                self.keeper.library.write(&Entry::Transferred { transfer: gift, total: parts });
            }
            Event::OwnMonth => {
                self.keeper.month = Some(month(now + 1));
                self.keeper.library.write(&Entry::Month(now + 1));
            }
            Event::DropOld => self.keeper.library.drop_closed(),
            Event::Refresh => self.keeper.refresh_figures(),
        }
    }
}

fn grown(purse: Balance, amount: u64) -> Balance {
    Balance {
        reserved: purse.reserved.saturating_add(SplitAmount { open: amount, running_only: amount / 7 }),
        spent: purse.spent + amount / 2,
        overspent: purse.overspent + amount / 11,
        at: purse.at + 1,
        ..purse
    }
}

/// Our share as it was reckoned before anything was kept: from all logs, each time.
fn expected_share(keeper: &Ledger, team: usize, month: u32) -> (SplitAmount, SplitAmount, bool) {
    let me = &keeper.settings.me;
    let name = &keeper.settings.teams[team].name;
    if keeper.library.directives().get(&Subject::Team(name.clone())).is_none() {
        let got = keeper.library.transferred_in(me, keeper.valid_from(me), name, month);
        return (keeper.left(me, team, month, got), SplitAmount::default(), false);
    }
    let got = keeper.all_got(team, month);
    let (mut has, mut owed, mut mine) = ([0i128; 2], [0i128; 2], [0i128; 2]);
    for member in &keeper.settings.members {
        let got = got.get(member).copied().unwrap_or_default();
        let (open, last) = keeper.balance(member, team, month, got);
        for (at, balance) in [open, last].into_iter().enumerate() {
            has[at] += balance.max(0);
            owed[at] += (-balance).max(0);
            mine[at] += if member == me { balance } else { 0 };
        }
    }
    let left = |at: usize| mine[at].max(0) * (has[at] - owed[at]).max(0) / has[at].max(1);
    let amount = |amount: i128| u64::try_from(amount).unwrap_or(0);
    let left = SplitAmount { open: amount(left(0)), running_only: amount(left(1)) };
    (left, SplitAmount { open: amount(-mine[0]), running_only: amount(-mine[1]) }, owed[0] > has[0])
}

fn expected_spent(keeper: &Ledger, team: usize, month: u32) -> (u64, u64) {
    let name = &keeper.settings.teams[team].name;
    let writers = keeper.library.writers();
    let purses = writers.iter().map(|writer| keeper.library.balance(writer, name, month));
    purses.fold((0, 0), |(spent, beyond), purse| (spent + purse.spent, beyond + purse.overspent))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn figures_that_are_kept_are_those_that_all_logs_give(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut world = World::new();
        for event in &events {
            world.happens(event);
            let keeper = &world.keeper;
            let month = keeper.month.map_or(0, |month| month.number);
            for team in 0..TEAMS {
                let kept: Figures = keeper.figures(team, month);
                prop_assert_eq!(kept, keeper.compute_figures(team, month), "after {:?}", event);
                prop_assert_eq!(keeper.mine(team, month), expected_share(keeper, team, month));
                prop_assert_eq!(keeper.spent(team), expected_spent(keeper, team, month));
            }
        }
    }
}
