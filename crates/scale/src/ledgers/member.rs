//! One hollow scheduler: the real ledger (exchange, keeper of quotas, admission), and what stands for its
//! disk.
//!
//! All that knows the types of the ledger stands here.

use mulleinhub_interface::{Duration, Quota, Resources, TaskKey, Ticket, Timestamp};
use mulleinhub_ledger::{AdmissionHandle, Exchange, ExchangeCounters, Member, SharedPools};
use mulleinhub_quota::{Calendar, Phase, Prices, Settings, Team};
use mulleinhub_replicated_log::{
    Digest, Directive, DirectiveAction, Location, LogChange, LogChanges, LogId, LogKind, LogPositions, Name,
    PersistedEntry, PersistedLogs, Subject,
};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An instant in the middle of a month, in milliseconds of Unix time.
const MIDDLE_OF_MONTH: u64 = 1_792_022_400_000;
/// The part of a cap that new workers may use, in millionths.
const NEAR: u32 = 900_000;
const STRETCH: Duration = Duration::from_secs(60);
const CATCH_UP: Duration = Duration::from_secs(10);
const PRICES: Prices = Prices { core_second: 12, memory_second: 3 };
/// What each task asks for.
const TASK: Resources = Resources::new(1.0, 2.0);
const MONTH_SECONDS: u64 = 31 * 24 * 3600;
/// A cap is so many times what its team uses in a month, and covers at least so many tasks.
const CAP_OVER_USE: u64 = 4;
const LEAST_TASKS: u64 = 1_000;

/// What all members of a fleet have in common.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    pub schedulers: usize,
    pub teams: usize,
    /// Tasks of one team that run at a time.
    pub team_running: u64,
    pub seed: u64,
    /// How many others hold each member's work log; nothing where all logs go to all.
    pub replicas: Option<usize>,
    /// Where the members run, in the order of their numbers.
    pub places: Vec<Place>,
}

/// Where a member runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub zone: u32,
    pub region: u32,
}

impl Place {
    fn site(self) -> Location {
        let named = |kind: &str, number: u32| Some(format!("{kind}-{number}").as_str().into());
        Location { region: named("region", self.region), zone: named("zone", self.zone) }
    }
}

impl FleetSettings {
    /// Each team's cap, in micro-units a month: high enough that nobody is refused.
    #[must_use]
    pub fn cap(&self) -> u64 {
        let tasks = self.team_running.max(LEAST_TASKS);
        PRICES.rate(TASK) * tasks * MONTH_SECONDS * CAP_OVER_USE
    }

    fn ledger(&self, member: usize) -> Settings {
        let team = |team| Team {
            name: team_name(team),
            account: Some(format!("account-{team:03}").as_str().into()),
            tenants: vec![team_name(team)],
            cap: Some(self.cap()),
        };
        Settings {
            me: member_name(member),
            members: (0..self.schedulers).map(member_name).collect(),
            teams: (0..self.teams).map(team).collect(),
            prices: PRICES,
            calendar: Calendar::in_zone("UTC").expect("is a zone"),
            open_millionths: NEAR,
            commitment: STRETCH,
            catch_up_timeout: CATCH_UP,
            replicas: self.replicas,
            locations: self
                .places
                .iter()
                .enumerate()
                .map(|(member, place)| (member_name(member), place.site()))
                .collect(),
        }
    }
}

/// In the order of their numbers.
fn member_name(member: usize) -> Name {
    format!("planner-{member:04}").as_str().into()
}

fn team_name(team: usize) -> Name {
    format!("team-{team:03}").as_str().into()
}

/// What a member wants to be kept on disk.
#[derive(Debug, Default)]
pub struct Writes {
    changes: LogChanges,
    /// The last of its own rows among them.
    last_own: LogPositions,
}

impl Writes {
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Puts later writes behind these.
    pub fn extend(&mut self, later: Self) {
        self.changes.extend(later.changes);
        self.last_own = self.last_own.max(later.last_own);
    }
}

/// What a member has on disk.
#[derive(Debug)]
pub struct Disk {
    rows: BTreeMap<(LogKind, LogId, u64), (Digest, Vec<u8>)>,
    /// Whether anybody ever reads it.
    is_read: bool,
}

impl Disk {
    /// One that nobody reads keeps nothing.
    #[must_use]
    pub fn new(is_read: bool) -> Self {
        Self { rows: BTreeMap::new(), is_read }
    }

    pub fn write(&mut self, writes: Writes) {
        if !self.is_read {
            return;
        }
        for (kind, change) in writes.changes.into_each() {
            match change {
                LogChange::Append { id, number, before, bytes } => {
                    self.rows.insert((kind, id, number), (before, bytes.to_vec()));
                }
                LogChange::Trim { id, below } => self.drop_rows(kind, &id, below),
                LogChange::Drop { id } => self.drop_rows(kind, &id, u64::MAX),
            }
        }
    }

    fn drop_rows(&mut self, kind: LogKind, id: &LogId, below: u64) {
        let rows = self.rows.range((kind, id.clone(), 0)..(kind, id.clone(), below));
        let keys: Vec<(LogKind, LogId, u64)> = rows.map(|(key, _)| key.clone()).collect();
        for key in &keys {
            self.rows.remove(key);
        }
    }

    fn kept(&self) -> PersistedLogs {
        PersistedLogs { fleet: self.kept_of(LogKind::Fleet), work: self.kept_of(LogKind::Work) }
    }

    fn kept_of(&self, kind: LogKind) -> Vec<PersistedEntry> {
        let rows = self.rows.iter().filter(|((of, ..), _)| *of == kind);
        let kept = rows.map(|((_, id, number), (before, bytes))| PersistedEntry {
            id: id.clone(),
            number: *number,
            before: *before,
            bytes: bytes.clone(),
        });
        kept.collect()
    }
}

/// What comes to a member from outside.
#[derive(Debug)]
pub enum Told {
    Opened {
        connection: u64,
    },
    Up(ConnectionId),
    Received(ConnectionId, Vec<u8>),
    Ended(ConnectionId, CloseReason),
    /// What was written up to these is on disk.
    Durable(Durable),
    /// Time has come.
    Woken,
}

/// How far a member's own rows are on disk.
#[derive(Clone, Copy, Debug)]
pub struct Durable {
    own: LogPositions,
}

impl Writes {
    /// What holds once these are on disk.
    #[must_use]
    pub fn durable(&self) -> Durable {
        Durable { own: self.last_own }
    }
}

/// What a member wants done after a turn.
#[derive(Debug, Default)]
pub struct Done {
    /// Connections that came in, and the links that the member calls them by.
    pub accepted: Vec<(u64, ConnectionId)>,
    pub sent: Vec<(ConnectionId, Vec<u8>)>,
    pub asks: Vec<Command>,
    pub writes: Writes,
    /// The look at all quotas was due in this turn: what was known before it is in force.
    pub looked: bool,
}

/// A change of the configuration, as the operators give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigChange {
    pub team: usize,
    /// Higher at each change.
    pub number: u64,
    pub cap: u64,
}

/// One scheduler's ledger.
pub struct Ledger {
    exchange: Exchange,
    teller: AdmissionHandle,
    shelf: Arc<SharedPools>,
    durable: LogPositions,
}

impl Ledger {
    /// `life` is greater at each start; `disk` is what earlier lives left.
    #[must_use]
    pub fn start(fleet: &FleetSettings, member: usize, life: u64, disk: &Disk) -> Self {
        let settings = fleet.ledger(member);
        let shelf = SharedPools::new(&settings);
        let teller = AdmissionHandle::new(shelf.clone(), &settings);
        let of = |member| Member { name: member_name(member), address: member.to_string() };
        let members = (0..fleet.schedulers).map(of).collect();
        let seed = mulleinhub_interface::mix(fleet.seed, mulleinhub_interface::mix(member as u64, life));
        let exchange = Exchange::new(settings, members, life, seed, disk.kept(), shelf.clone());
        Self { exchange, teller, shelf, durable: LogPositions::default() }
    }

    /// Tells all that has come in, lets the member act, and takes what it wants done.
    pub fn turn(&mut self, now: Timestamp, told: Vec<Told>) -> Done {
        let mut done = Done::default();
        for told in told {
            self.tell(now, told, &mut done);
        }
        let due = self.exchange.ledger().next_tick();
        self.exchange.set_clock(MIDDLE_OF_MONTH + now.nanos() / 1_000_000);
        self.exchange.poll(now);
        done.looked = self.exchange.ledger().next_tick() != due;
        done.writes.changes = self.exchange.take_changes();
        done.writes.last_own = self.exchange.last_own_entries(&done.writes.changes);
        self.take_sent(&mut done);
        done
    }

    fn tell(&mut self, now: Timestamp, told: Told, done: &mut Done) {
        match told {
            Told::Opened { connection } => {
                let link = self.exchange.connections().register();
                self.exchange.on_connection_accepted(now, link, ListenerId(0));
                done.accepted.push((connection, link));
            }
            Told::Up(link) => self.exchange.on_connected(now, link),
            Told::Received(link, bytes) => self.exchange.on_data(now, link, &bytes),
            Told::Ended(link, end) => self.exchange.on_closed(now, link, end),
            Told::Durable(Durable { own }) => {
                let reached = self.durable.max(own);
                if reached != self.durable {
                    self.durable = reached;
                    self.exchange.on_durable(reached);
                }
            }
            Told::Woken => {}
        }
    }

    fn take_sent(&mut self, done: &mut Done) {
        let links = self.exchange.connections();
        while let Some(link) = links.next_with_output() {
            let bytes = links.outgoing(link).to_vec();
            if !bytes.is_empty() {
                links.mark_written(link, bytes.len());
                done.sent.push((link, bytes));
            }
        }
        while let Some(ask) = links.next_command() {
            if let Command::Close { connection: link, .. } = ask {
                links.discard(link);
            }
            done.asks.push(ask);
        }
    }

    /// When a turn is wanted at the latest.
    #[must_use]
    pub fn wake(&self) -> Option<Timestamp> {
        self.exchange.next_wakeup()
    }

    /// Somebody was refused since the last turn: a turn is wanted now.
    #[must_use]
    pub fn is_wanted(&self) -> bool {
        self.shelf.is_tick_requested()
    }

    // The planner's side.

    /// Asks for a place for one more task of a team, and starts it.
    ///
    /// # Errors
    /// For how long its owner is to stay away.
    pub fn start_task(
        &mut self,
        now: Timestamp,
        team: usize,
        key: u64,
        drawn: f64,
    ) -> Result<Ticket, Duration> {
        let ticket = self.teller.admit(now, &owner(team), TaskKey(key), TASK, drawn)?;
        let ticket = ticket.expect("its tenant is of a team");
        self.teller.on_running(now, ticket);
        Ok(ticket)
    }

    /// A task that an earlier life started still runs.
    pub fn adopt_task(&mut self, now: Timestamp, team: usize, key: u64) -> Ticket {
        let ticket = self.teller.adopt(now, &owner(team), TaskKey(key), TASK);
        ticket.expect("its tenant is of a team")
    }

    /// All tasks that run from earlier lives were adopted.
    pub fn all_adopted(&mut self, now: Timestamp) {
        self.teller.on_recovery_complete(now);
    }

    pub fn end_task(&mut self, now: Timestamp, ticket: Ticket) {
        self.teller.on_ended(now, ticket, false);
    }

    pub fn change(&mut self, change: ConfigChange) {
        let ConfigChange { team, number, cap } = change;
        let subject = Subject::Team(team_name(team));
        self.exchange.apply_directives(&[Directive {
            subject,
            number,
            action: DirectiveAction::Cap { amount: cap },
        }]);
    }

    // What is looked at.

    /// Whether a change, or a later one of the same team, is known.
    #[must_use]
    pub fn knows(&self, change: ConfigChange) -> bool {
        let orders = self.exchange.ledger().fleet_logs().directives();
        let known = orders.get(&Subject::Team(team_name(change.team)));
        known.is_some_and(|known| known.number >= change.number)
    }

    /// It has caught up and serves.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.exchange.ledger().phase() == Phase::Writing
    }

    /// One figure for all that it knows, equal where two know the same.
    #[must_use]
    pub fn knowledge(&self) -> [u8; 16] {
        self.exchange.ledger().fleet_logs().heads_digest().0
    }

    /// The life and the number of the last of its own rows that others may know.
    #[must_use]
    pub fn own_end(&self) -> (u64, u64) {
        let library = self.exchange.ledger().fleet_logs();
        let number = library.announced_head(library.own_id()).map_or(0, |(number, _)| number);
        (library.own_id().incarnation, number)
    }

    /// Whether it knows another's rows as far as that, or rows of a later life.
    #[must_use]
    pub fn knows_end(&self, member: usize, (life, number): (u64, u64)) -> bool {
        let library = self.exchange.ledger().fleet_logs();
        let id = LogId { writer: member_name(member), incarnation: life };
        let known = library.log(&id).map_or(0, |column| column.head().0);
        known >= number || library.newest_incarnation(&id.writer).is_some_and(|newest| newest > life)
    }

    /// What it counted itself.
    #[must_use]
    pub fn figures(&self) -> ExchangeCounters {
        self.exchange.counters()
    }
}

fn owner(team: usize) -> String {
    format!("team-{team:03}/worker")
}
