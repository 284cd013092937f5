//! What a log says when all its entries are read.

use crate::balance::{Balance, ShareTransfer, SplitAmount};
use crate::digest::Digest;
use crate::directives::{EffectiveDirective, Subject};
use crate::name::Name;
use crate::work::{AnnouncedWork, DisplacedWork, RunningWork};
use minicbor::{Decode, Encode};
use std::collections::{BTreeMap, BTreeSet};

/// In [`LogState::capabilities`]: the writer reads work logs, and announcements of what they say.
pub const READS_WORK_LOGS: u64 = 1;
/// In [`LogState::capabilities`]: ordinary work of this incarnation stands in its work log, not here.
pub const WRITES_WORK_LOG: u64 = 2;

/// The log of the writer's earlier incarnation that this one continues, as far as it was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Predecessor {
    /// The earlier incarnation.
    #[n(0)]
    pub incarnation: u64,
    /// The last entry of it that was known.
    #[n(1)]
    pub number: u64,
    /// The digest up to that entry.
    #[n(2)]
    pub digest: Digest,
}

impl Predecessor {
    /// Whether the successor has inherited all that a log with this head says.
    pub(crate) fn includes(self, incarnation: u64, head: u64) -> bool {
        self.incarnation > incarnation || (self.incarnation == incarnation && self.number >= head)
    }
}

/// The state of a log, as a snapshot entry carries it. Amounts are in micro-units, instants in milliseconds
/// of Unix time; work is identified by key.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct LogState {
    /// What this log continues; nothing in the first incarnation.
    #[n(0)]
    pub predecessor: Option<Predecessor>,
    /// Transfers to earlier incarnations of the writer are void.
    #[n(1)]
    pub transfers_valid_from: u64,
    /// The writer's initial share of months up to this one is void.
    #[n(2)]
    pub initial_share_void_through: u32,
    /// The writer's current month.
    #[n(3)]
    pub month: u32,
    /// What was reserved and spent, by team and open month.
    #[n(4)]
    pub balances: BTreeMap<(Name, u32), Balance>,
    /// What was transferred to others in open months.
    #[n(5)]
    pub transferred_out: BTreeMap<ShareTransfer, SplitAmount>,
    /// Work that runs.
    #[n(6)]
    pub running: BTreeMap<u64, RunningWork>,
    /// Work that was lost, moved or evicted, until when it may be submitted again.
    #[n(7)]
    pub displaced: BTreeMap<u64, DisplacedWork>,
    /// The directives that the writer received.
    #[n(8)]
    pub directives: BTreeMap<Subject, EffectiveDirective>,
    /// What was spent in closed months, by team and month.
    #[n(9)]
    pub closed_months: BTreeMap<(Name, u32), u64>,
    /// Entries of kinds that this version can't read, in their order.
    #[n(10)]
    pub unknown_entries: Vec<minicbor::bytes::ByteVec>,
    // The first version reads a state up to here, and ignores what follows.
    /// Tasks that were admitted before a suspension, until when they may be submitted again.
    #[n(11)]
    #[cbor(default)]
    pub admitted: BTreeMap<u64, DisplacedWork>,
    /// Work that runs in the place of work that ran before.
    #[n(12)]
    #[cbor(default)]
    pub replacements: BTreeSet<u64>,
    /// Replacements that ended for good: until then nothing may run in their place.
    #[n(13)]
    #[cbor(default)]
    pub finished_replacements: BTreeMap<u64, u64>,
    // The second version reads a state up to here, and ignores what follows.
    /// What the writer announced of others' work logs, by the writers of those.
    #[n(14)]
    #[cbor(default)]
    pub announced: BTreeMap<Name, AnnouncedWork>,
    /// A bit set of [`READS_WORK_LOGS`] and [`WRITES_WORK_LOG`]; empty in states of versions without work
    /// logs.
    #[n(15)]
    #[cbor(default)]
    pub capabilities: u64,
}

impl LogState {
    /// What was reserved and spent of a team's cap in an open month.
    pub fn balance(&self, team: &Name, month: u32) -> Balance {
        self.balances.get(&(team.clone(), month)).copied().unwrap_or_default()
    }

    /// The writer can read work logs, and announcements of what they say.
    pub fn reads_work_logs(&self) -> bool {
        self.capabilities & READS_WORK_LOGS != 0
    }

    /// Ordinary work of this incarnation stands in the writer's work log.
    pub fn writes_work_log(&self) -> bool {
        self.capabilities & WRITES_WORK_LOG != 0
    }

    /// The first month that is not closed: the one before the current month stays open for schedulers
    /// whose clocks are behind.
    pub(crate) fn first_open_month(&self) -> u32 {
        self.month.saturating_sub(1)
    }

    /// Whether this reports at least what an earlier state of the same log reported.
    pub fn covers(&self, earlier: &Self) -> bool {
        let first_open = self.first_open_month();
        let covers_balances = earlier.balances.iter().all(|((team, month), balance)| {
            *month < first_open || self.balance(team, *month).spent >= balance.spent
        });
        let covers_transfers = earlier.transferred_out.iter().all(|(transfer, earlier)| {
            let now = self.transferred_out.get(transfer).copied().unwrap_or_default();
            transfer.month < first_open
                || (now.open >= earlier.open && now.running_only >= earlier.running_only)
        });
        self.month >= earlier.month && covers_balances && covers_transfers
    }
}
