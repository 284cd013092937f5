//! The ledger of one scheduler: fills its reservation pools, writes its log entries, and requests and grants
//! share transfers.
//!
//! What a scheduler may still use of a team's share follows from logs alone: its first share of the month,
//! plus transfers received by this incarnation and those it continues, less what it reserved and gave away.
//! Only the scheduler itself writes the entries that reduce its share, and no entry is pushed to others,
//! used or answered for before it is on disk.
//!
//! [`Ledger`] owns the stores of both kinds of logs, the membership and the state of each team. Its host
//! calls it from one thread, hands it what peers sent, and takes out what is to be sent and written to disk.
//! The pools are shared with the scheduler's event loop and are reached through [`ReservationPools`].

mod balances;
mod months;
mod readmission_updates;
mod reservation_plan;
mod startup;
mod status;
mod team_state;
mod ticks;
mod totals;
mod transfers;
mod work_entries;
mod work_log_copies;

pub use startup::Phase;
pub use status::TeamStatus;
pub use ticks::TICK_INTERVAL;
pub use transfers::{ShareReply, ShareRequest};

use self::readmission_updates::ReadmissionSources;
use self::team_state::TeamState;
use self::totals::TotalsCache;
use crate::announcer::Announcer;
use crate::calendar::Month;
use crate::reservation_pool::WorkerEvent;
use crate::settings::Settings;
use mulleinhub_interface::{Duration, Pcg, Timestamp};
use mulleinhub_replicated_log::{
    Directive, Entry, LogChanges, LogId, LogKind, LogPositions, LogStore, Membership, Name, PersistedLogs,
    choose_replicas,
};
use std::collections::{BTreeMap, BTreeSet};

/// A pause of the process longer than this makes what is known of other members stale.
const MAX_PAUSE: Duration = Duration::from_nanos(1_000_000_000);

/// The ledger of one scheduler.
pub struct Ledger {
    settings: Settings,
    /// The fleet logs of all members.
    fleet_logs: LogStore,
    /// Our own work log, and those of which we hold a copy.
    work_logs: LogStore,
    /// This incarnation records ordinary work in its work log.
    writes_work_log: bool,
    /// Neither reads nor writes work logs, as versions before them did.
    ignores_work_logs: bool,
    announcer: Announcer,
    /// Members whose work logs we hold without being their replica, and since when.
    spare_copies: BTreeMap<Name, Timestamp>,
    spare_copies_checked_at: Timestamp,
    /// When the next batch of balances is due, in milliseconds of Unix time.
    balances_due_at: u64,
    /// The other members of the fleet, and whether they are alive.
    pub membership: Membership,
    phase: Phase,
    catching_up_since: Option<Timestamp>,
    /// The members that told us all they know while we catch up.
    synced_members: BTreeSet<Name>,
    /// The end of the fleet log of our last incarnation as found on disk: incarnation and entry number.
    restored_extent: Option<(u64, u64)>,
    month: Option<Month>,
    /// By index of the team in the settings.
    teams: Vec<TeamState>,
    /// What others' logs say of each team.
    totals: TotalsCache,
    random: Pcg,
    next_tick: Option<Timestamp>,
    /// When the last pause of the process ended.
    paused_at: Option<Timestamp>,
    /// When another member was last heard of.
    contact_at: Option<Timestamp>,
    share_requests: Vec<ShareRequest>,
    share_replies: Vec<ShareReply>,
    /// Keys of workers that were adopted and have not ended.
    adopted: BTreeSet<u64>,
    /// All machines reported what they hold of our earlier incarnations, and that was not handled yet.
    all_machines_reported: bool,
    /// What the pools' readmissions were last computed from.
    readmission_sources: Option<ReadmissionSources>,
    /// Kept to reuse its capacity.
    event_buffer: Vec<WorkerEvent>,
    /// Messages for the operators on call.
    alerts: Vec<String>,
}

impl Ledger {
    /// A ledger that begins to catch up. `incarnation` is greater at each start, `restored` is what earlier
    /// incarnations left on disk.
    pub fn new(
        settings: Settings,
        incarnation: u64,
        seed: u64,
        restored: PersistedLogs,
        heartbeat_interval: Duration,
    ) -> Self {
        let mut settings = settings;
        for name in &settings.members {
            settings.locations.entry(name.clone()).or_default();
        }
        let own = LogId { writer: settings.me.clone(), incarnation };
        let mut fleet_logs = LogStore::new(own.clone());
        let mut work_logs = LogStore::new(own);
        let mut damaged = fleet_logs.restore(restored.fleet);
        damaged.extend(work_logs.restore(restored.work));
        let alerts = damaged.iter().map(ToString::to_string).collect();
        let restored_extent = start_after_restored(&settings.me, &mut fleet_logs, &mut work_logs);
        let others = settings.members.iter().filter(|name| **name != settings.me).cloned();
        Self {
            membership: Membership::new(others, heartbeat_interval),
            teams: settings.teams.iter().map(|_| TeamState::new()).collect(),
            totals: TotalsCache::default(),
            settings,
            fleet_logs,
            work_logs,
            writes_work_log: false,
            ignores_work_logs: false,
            announcer: Announcer::default(),
            spare_copies: BTreeMap::new(),
            spare_copies_checked_at: Timestamp::default(),
            balances_due_at: 0,
            phase: Phase::CatchingUp,
            catching_up_since: None,
            synced_members: BTreeSet::new(),
            restored_extent,
            month: None,
            random: Pcg::new(seed),
            next_tick: None,
            paused_at: None,
            contact_at: None,
            share_requests: Vec::new(),
            share_replies: Vec::new(),
            adopted: BTreeSet::new(),
            all_machines_reported: false,
            readmission_sources: None,
            event_buffer: Vec::new(),
            alerts,
        }
    }

    /// Makes the ledger neither declare, read nor write work logs, as versions before them: for tests of
    /// fleets that run both.
    #[must_use]
    pub fn without_work_logs(mut self) -> Self {
        let me = self.settings.me.clone();
        self.ignores_work_logs = true;
        self.work_logs = LogStore::new(LogId { writer: me, incarnation: self.incarnation() });
        self
    }
}

/// Makes our incarnation a later one than all that were restored. Returns the end of the last one's fleet
/// log: incarnation and entry number.
fn start_after_restored(
    me: &Name,
    fleet_logs: &mut LogStore,
    work_logs: &mut LogStore,
) -> Option<(u64, u64)> {
    let last_in_fleet = fleet_logs.newest_incarnation(me);
    let extent = last_in_fleet.and_then(|incarnation| {
        let id = LogId { writer: me.clone(), incarnation };
        fleet_logs.log(&id).map(|log| (incarnation, log.head().0))
    });
    let last = last_in_fleet.max(work_logs.newest_incarnation(me)).unwrap_or(0);
    fleet_logs.advance_incarnation_past(last);
    work_logs.advance_incarnation_past(last);
    extent
}

/// What the host reads.
impl Ledger {
    /// The settings the ledger was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// The fleet logs of all members.
    pub fn fleet_logs(&self) -> &LogStore {
        &self.fleet_logs
    }

    /// The fleet logs of all members, to add what peers sent.
    pub fn fleet_logs_mut(&mut self) -> &mut LogStore {
        &mut self.fleet_logs
    }

    /// The logs of a kind.
    pub fn logs(&self, kind: LogKind) -> &LogStore {
        match kind {
            LogKind::Fleet => &self.fleet_logs,
            LogKind::Work => &self.work_logs,
        }
    }

    /// The logs of a kind, to add what peers sent.
    pub fn logs_mut(&mut self, kind: LogKind) -> &mut LogStore {
        match kind {
            LogKind::Fleet => &mut self.fleet_logs,
            LogKind::Work => &mut self.work_logs,
        }
    }

    /// Whether this incarnation records ordinary work in its work log.
    pub fn writes_work_log(&self) -> bool {
        self.writes_work_log
    }

    /// Whether this member reads work logs at all.
    pub fn reads_work_logs(&self) -> bool {
        !self.ignores_work_logs
    }

    /// The other members whose work logs we hold a copy of.
    pub fn copied_writers(&self) -> impl Iterator<Item = &Name> {
        let me = &self.settings.me;
        let is_newest = |id: &LogId| self.work_logs.newest_incarnation(&id.writer) == Some(id.incarnation);
        let ids = self.work_logs.logs().map(|(id, _)| id);
        ids.filter(move |id| id.writer != *me && is_newest(id)).map(|id| &id.writer)
    }

    /// The members that are to hold a copy of our work log, the first choice first, of those for which
    /// `is_usable` is true.
    pub fn replicas(&self, is_usable: impl Fn(&Name) -> bool) -> Vec<Name> {
        let count = if self.writes_work_log { self.settings.replicas.unwrap_or(0) } else { 0 };
        choose_replicas(&self.settings.me, &self.settings.locations, count, is_usable)
    }

    /// Whether the ledger is still catching up.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Our incarnation. It may grow while the ledger catches up.
    pub fn incarnation(&self) -> u64 {
        self.fleet_logs.own_id().incarnation
    }

    /// When the next call of [`tick`](Self::tick) is due; `None` before the first one.
    pub fn next_tick(&self) -> Option<Timestamp> {
        self.next_tick
    }

    /// A random fraction of one, from the ledger's generator.
    pub fn random_fraction(&mut self) -> f64 {
        self.random.fraction()
    }

    /// A random number below a bound, from the ledger's generator; 0 where the bound is 0.
    pub fn random_below(&mut self, bound: usize) -> usize {
        self.random.below(bound)
    }

    /// Takes the changes of logs that are to be written to disk.
    pub fn take_changes(&mut self) -> LogChanges {
        LogChanges { fleet: self.fleet_logs.take_changes(), work: self.work_logs.take_changes() }
    }

    /// Takes the messages for the operators on call.
    pub fn take_alerts(&mut self) -> Vec<String> {
        std::mem::take(&mut self.alerts)
    }
}

/// What the host reports.
impl Ledger {
    /// Our entries up to these are on disk.
    pub fn on_durable(&mut self, reached: LogPositions) {
        self.fleet_logs.mark_durable(reached.fleet);
        self.work_logs.mark_durable(reached.work);
    }

    /// All machines reported what they hold of our earlier incarnations, or can't be reached: what none of
    /// them holds has ended.
    pub fn on_all_machines_reported(&mut self) {
        self.all_machines_reported = true;
    }

    /// A message of another member came in.
    pub fn on_contact(&mut self, now: Timestamp) {
        self.contact_at = Some(now);
    }

    /// A member has sent all that it knows, of our own earlier log too.
    pub fn on_member_synced(&mut self, name: &Name) {
        if self.phase == Phase::CatchingUp && self.membership.contains(name) {
            self.synced_members.insert(name.clone());
        }
    }

    /// Whether a member has sent all that it knows while we catch up.
    pub fn is_synced_with(&self, name: &Name) -> bool {
        self.synced_members.contains(name)
    }

    /// This process was paused for so long. Members that seemed silent may have sent heartbeats meanwhile,
    /// and after a long pause all that is known of them is stale.
    pub fn on_process_pause(&mut self, now: Timestamp, pause: Duration) {
        self.membership.on_process_pause(pause);
        if pause > MAX_PAUSE {
            self.paused_at = Some(now);
        }
    }

    /// Applies a directive from the operators' file, and records it once the ledger writes.
    pub fn apply_directive(&mut self, directive: &Directive) {
        let standing = directive.effective();
        let known = self.fleet_logs.directives().get(&directive.subject);
        if known.is_none_or(|known| known.join(standing) != known) {
            self.fleet_logs.apply_directive(&directive.subject, standing);
            if self.phase == Phase::Writing {
                self.fleet_logs.write(&Entry::Directive(directive.clone()));
            }
        }
    }
}
