//! The cached totals of each team equal those computed from all logs, whatever arrives in whatever order.

use super::super::Ledger;
use super::{OwnShare, Spending, TeamTotals};
use crate::calendar::{Calendar, Month};
use crate::money::Prices;
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

/// An event in one of the members' logs or in ours. Logs are numbers, taken modulo the number of logs.
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
        incarnation: u64,
        amount: u64,
    },
    Month {
        log: usize,
    },
    /// The log is compacted into a snapshot.
    Snapshot {
        log: usize,
    },
    /// An incarnation that continues the first so many entries of a log; where it is `void`, nothing of
    /// its share is left.
    Incarnation {
        log: usize,
        entries: usize,
        void: bool,
    },
    /// The log forks: it is continued in two ways.
    Fork {
        log: usize,
    },
    /// We receive so many entries of a log.
    Receive {
        log: usize,
        entries: usize,
    },
    Directive {
        team: usize,
        cap: u64,
    },
    OwnBalance {
        team: usize,
        amount: u64,
    },
    OwnTransfer {
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
            .prop_map(|(log, team, to, incarnation, amount)| {
                Event::ShareTransfer { log, team, to, incarnation, amount }
            }),
        1 => l.clone().prop_map(|log| Event::Month { log }),
        1 => l.clone().prop_map(|log| Event::Snapshot { log }),
        2 => (l.clone(), 0..40usize, any::<bool>())
            .prop_map(|(log, entries, void)| Event::Incarnation { log, entries, void }),
        1 => l.clone().prop_map(|log| Event::Fork { log }),
        12 => (log, 1..12usize).prop_map(|(log, entries)| Event::Receive { log, entries }),
        2 => (t.clone(), a.clone()).prop_map(|(team, cap)| Event::Directive { team, cap }),
        3 => (t.clone(), a.clone()).prop_map(|(team, amount)| Event::OwnBalance { team, amount }),
        2 => (team, to, amount).prop_map(|(team, to, amount)| Event::OwnTransfer { team, to, amount }),
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
        calendar: Calendar::in_zone("UTC").expect("is a zone"),
        open_millionths: 900_000,
        commitment: Duration::from_secs(10),
        catch_up_timeout: Duration::from_secs(3),
        replicas: None,
        locations: BTreeMap::new(),
    }
}

fn month(number: u32) -> Month {
    Month { number, begins: 0, ends: u64::MAX }
}

/// The logs as their writers have them, and a ledger that receives them.
struct Fleet {
    ledger: Ledger,
    logs: Vec<(LogId, Log)>,
    directives: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut ledger = Ledger::new(settings(), 1, 7, PersistedLogs::default(), Duration::from_secs(1));
        ledger.fleet_logs.open(LogState { month: MONTH, ..LogState::default() });
        ledger.month = Some(month(MONTH));
        let mut fleet = Self { ledger, logs: Vec::new(), directives: 0 };
        for n in 1..MEMBERS {
            let id = LogId { writer: member(n), incarnation: 1 };
            fleet.open(id, LogState { month: MONTH, ..LogState::default() });
        }
        fleet
    }

    fn open(&mut self, id: LogId, state: LogState) {
        let mut log = Log::new(&id);
        log.append(&Entry::Snapshot(Box::new(state)).bytes()).expect("an incarnation begins");
        self.logs.push((id, log));
    }

    fn log(&mut self, log: usize) -> &mut (LogId, Log) {
        let many = self.logs.len();
        &mut self.logs[log % many]
    }

    fn write(&mut self, log: usize, entry: &Entry) {
        let (_, log) = self.log(log);
        log.append(&entry.bytes()).expect("the log goes on");
    }

    fn receive(&mut self, log: usize, entries: usize) {
        let (id, log) = self.log(log).clone();
        let (known, _) = self.ledger.fleet_logs.known_head(&id);
        let (base, _) = log.compacted_through();
        let (head, _) = log.head();
        // The other branch of a forked log is received from its beginning.
        let is_other = log.digest_at(known) != Some(self.ledger.fleet_logs.known_head(&id).1);
        let after = if is_other || known > head { base } else { known.max(base) };
        let digest = log.digest_at(after).expect("it is kept");
        let rows = log.entries_after(after).take(entries);
        let rows: Vec<Vec<u8>> = rows.map(|row| row.bytes.to_vec()).collect();
        let rows: Vec<&[u8]> = rows.iter().map(|row| &**row).collect();
        // Entries that don't follow are refused, and must not change anything.
        let _ = self.ledger.fleet_logs.append_entries(&id, after, digest, &rows);
    }

    fn apply(&mut self, event: &Event) {
        let now = self.ledger.month.map_or(0, |month| month.number);
        match *event {
            Event::Balance { log, team, amount } => {
                let state = self.log(log).1.state();
                let (team, month) = (team_name(team), state.month);
                let balance = grown(state.balance(&team, month), amount);
                self.write(log, &Entry::Balance { team, month, balance });
            }
            Event::ShareTransfer { log, team, to, incarnation, amount } => {
                let state = self.log(log).1.state();
                let to = member(to);
                let transfer = ShareTransfer { team: team_name(team), month: state.month, to, incarnation };
                let known = state.transferred_out.get(&transfer).copied().unwrap_or_default();
                let parts = known.saturating_add(SplitAmount { open: amount, running_only: amount / 5 });
                self.write(log, &Entry::Transferred { transfer, total: parts });
            }
            Event::Month { log } => {
                let month = self.log(log).1.state().month + 1;
                self.write(log, &Entry::Month(month));
            }
            Event::Snapshot { log } => {
                let state = self.log(log).1.state().clone();
                self.write(log, &Entry::Snapshot(Box::new(state)));
            }
            Event::Incarnation { log, entries, void } => {
                let (id, log) = self.log(log).clone();
                let (base, head) = (log.compacted_through().0, log.head().0);
                let number = (base + 1 + entries as u64).min(head);
                let digest = log.digest_at(number).expect("it is kept");
                let mut state = log.state_at(number).expect("it is kept");
                let own = self.logs.iter().filter(|(other, _)| other.writer == id.writer);
                let incarnation = own.map(|(id, _)| id.incarnation).max().unwrap_or(0) + 1;
                state.predecessor = Some(Predecessor { incarnation: id.incarnation, number, digest });
                if void {
                    (state.transfers_valid_from, state.initial_share_void_through) =
                        (incarnation, state.month);
                }
                self.open(LogId { writer: id.writer, incarnation }, state);
            }
            Event::Fork { log } => {
                let (id, log) = self.log(log).clone();
                self.logs.push((id, log));
            }
            Event::Receive { log, entries } => self.receive(log, entries),
            Event::Directive { team, cap } => {
                self.directives += 1;
                let word = DirectiveAction::Cap { amount: cap };
                let standing =
                    EffectiveDirective { number: self.directives, action: word, conflicting: false };
                self.ledger.fleet_logs.apply_directive(&Subject::Team(team_name(team)), standing);
            }
            Event::OwnBalance { team, amount } => {
                let team = team_name(team);
                let balance = grown(self.ledger.fleet_logs.balance(&member(0), &team, now), amount);
                self.ledger.fleet_logs.write(&Entry::Balance { team, month: now, balance });
            }
            Event::OwnTransfer { team, to, amount } => {
                let transfer =
                    ShareTransfer { team: team_name(team), month: now, to: member(to), incarnation: 1 };
                let state = self.ledger.fleet_logs.latest_state(&member(0)).expect("it is open");
                let known = state.transferred_out.get(&transfer).copied().unwrap_or_default();
                let parts = known.saturating_add(SplitAmount { open: amount, running_only: 0 });
                self.ledger.fleet_logs.write(&Entry::Transferred { transfer, total: parts });
            }
            Event::OwnMonth => {
                self.ledger.month = Some(month(now + 1));
                self.ledger.fleet_logs.write(&Entry::Month(now + 1));
            }
            Event::DropOld => self.ledger.fleet_logs.drop_closed(),
            Event::Refresh => self.ledger.refresh_totals(),
        }
    }
}

fn grown(balance: Balance, amount: u64) -> Balance {
    Balance {
        reserved: balance.reserved.saturating_add(SplitAmount { open: amount, running_only: amount / 7 }),
        spent: balance.spent + amount / 2,
        overspent: balance.overspent + amount / 11,
        at: balance.at + 1,
        ..balance
    }
}

/// Our share, computed from all logs without the cache.
fn expected_share(ledger: &Ledger, team: usize, month: u32) -> OwnShare {
    let me = &ledger.settings.me;
    let name = &ledger.settings.teams[team].name;
    if ledger.fleet_logs.directives().get(&Subject::Team(name.clone())).is_none() {
        let received = ledger.fleet_logs.transferred_in(me, ledger.valid_from(me), name, month);
        let free = ledger.remaining(me, team, month, received);
        return OwnShare { free, overdrawn: SplitAmount::default(), fleet_overdrawn: false };
    }
    let received = ledger.received_by_member(team, month);
    let (mut has, mut owed, mut own) = ([0i128; 2], [0i128; 2], [0i128; 2]);
    for member in &ledger.settings.members {
        let received = received.get(member).copied().unwrap_or_default();
        let (open, last) = ledger.signed_balance(member, team, month, received);
        for (part, balance) in [open, last].into_iter().enumerate() {
            has[part] += balance.max(0);
            owed[part] += (-balance).max(0);
            own[part] += if member == me { balance } else { 0 };
        }
    }
    let free = |part: usize| own[part].max(0) * (has[part] - owed[part]).max(0) / has[part].max(1);
    let amount = |amount: i128| u64::try_from(amount).unwrap_or(0);
    let free = SplitAmount { open: amount(free(0)), running_only: amount(free(1)) };
    let overdrawn = SplitAmount { open: amount(-own[0]), running_only: amount(-own[1]) };
    OwnShare { free, overdrawn, fleet_overdrawn: owed[0] > has[0] }
}

fn expected_spent(ledger: &Ledger, team: usize, month: u32) -> Spending {
    let name = &ledger.settings.teams[team].name;
    let writers = ledger.fleet_logs.writers();
    let balances = writers.iter().map(|writer| ledger.fleet_logs.balance(writer, name, month));
    balances.fold(Spending::default(), |sum, balance| Spending {
        spent: sum.spent + balance.spent,
        overspent: sum.overspent + balance.overspent,
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]
    #[test]
    fn cached_totals_equal_recomputed_totals(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut fleet = Fleet::new();
        for event in &events {
            fleet.apply(event);
            let ledger = &fleet.ledger;
            let month = ledger.month.map_or(0, |month| month.number);
            for team in 0..TEAMS {
                let cached: TeamTotals = ledger.totals(team, month);
                prop_assert_eq!(cached, ledger.compute_totals(team, month), "after {:?}", event);
                prop_assert_eq!(ledger.own_share(team, month), expected_share(ledger, team, month));
                prop_assert_eq!(ledger.spent_by_all(team), expected_spent(ledger, team, month));
            }
        }
    }
}
