//! Settings of the ledger: the fleet, its teams, prices and the calendar.

use crate::calendar::Calendar;
use crate::money::{self, Prices};
use mulleinhub_interface::Duration;
use mulleinhub_replicated_log::{Location, Name, SplitAmount};
use std::collections::BTreeMap;

/// A team, whose tenants spend against one cap.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: Name,
    /// The account that operators may suspend, if the team belongs to one.
    pub account: Option<Name>,
    /// The tenants whose workers count against the cap.
    pub tenants: Vec<Name>,
    /// Monthly cap in micro-units until a directive changes it; `None` for no cap.
    pub cap: Option<u64>,
}

/// Settings of one scheduler's ledger.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this scheduler.
    pub me: Name,
    /// All schedulers of the fleet including this one, sorted by name. Must be the same list everywhere.
    pub members: Vec<Name>,
    /// The teams with their caps.
    pub teams: Vec<Team>,
    /// Prices of resources.
    pub prices: Prices,
    /// The calendar by which months begin and end.
    pub calendar: Calendar,
    /// The fraction of a cap that new workers may use, in millionths. The rest is kept for running workers.
    pub open_millionths: u32,
    /// A new worker commits what it costs for this long.
    pub commitment: Duration,
    /// After a restart, how long to wait for members that don't answer once most of them have.
    pub catch_up_timeout: Duration,
    /// The number of members that copy this scheduler's work log; `None` to record all work in the fleet
    /// log.
    pub replicas: Option<usize>,
    /// Where each member runs, so that copies are placed apart.
    pub locations: BTreeMap<Name, Location>,
}

impl Settings {
    /// The share of a cap that a member begins each month with; zero for a name that is not a member.
    pub fn first_share(&self, member: &Name, cap: u64) -> SplitAmount {
        // The list is usually sorted.
        let index = self.members.binary_search(member).ok();
        let index = index.or_else(|| self.members.iter().position(|name| name == member));
        let Some(index) = index else { return SplitAmount::default() };
        let (members, index) = (self.members.len() as u64, index as u64);
        let open = money::fraction(cap, self.open_millionths);
        // The remainder of the division goes to the first members, one micro-unit each.
        let share = |whole: u64| whole / members + u64::from(index < whole % members);
        SplitAmount { open: share(open), running_only: share(cap - open) }
    }
}
