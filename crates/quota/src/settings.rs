//! What the books are kept by.

use crate::money::{self, Prices};
use crate::month::Months;
use mulleinhub_interface::Duration;
use mulleinhub_replicated_log::{Location, Name, SplitAmount};
use std::collections::BTreeMap;

/// A team: whose tenants count against one cap.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub name: Name,
    pub account: Option<Name>,
    pub tenants: Vec<Name>,
    /// A month, in micro-units, until an order says otherwise; nothing where there is no cap.
    pub cap: Option<u64>,
}

#[derive(Clone, Debug)]
pub struct Settings {
    pub me: Name,
    /// All schedulers of the fleet, this one too, in the order of their names. The same list everywhere.
    pub members: Vec<Name>,
    pub teams: Vec<Team>,
    pub prices: Prices,
    pub months: Months,
    /// The part of a cap that new workers may use, in millionths.
    pub near: u32,
    /// A new worker reserves what it costs for so long.
    pub stretch: Duration,
    /// One that returns waits for so long for members that don't answer, once most of them have.
    pub catch_up: Duration,
    /// Ordinary work stands in a work log, which so many other members copy; nothing where all work stands
    /// in the fleet log.
    pub replicas: Option<usize>,
    /// Where each member runs, so that copies lie apart.
    pub sites: BTreeMap<Name, Location>,
}

impl Settings {
    /// The share of a cap that a member begins each month with.
    pub fn first_share(&self, member: &Name, cap: u64) -> SplitAmount {
        // The list is sorted as a rule.
        let place = self.members.binary_search(member).ok();
        let place = place.or_else(|| self.members.iter().position(|name| name == member));
        let Some(at) = place else { return SplitAmount::default() };
        let (many, at) = (self.members.len() as u64, at as u64);
        let open = money::part(cap, self.near);
        // What doesn't divide goes to the first ones, a micro-unit each.
        let of = |whole: u64| whole / many + u64::from(at < whole % many);
        SplitAmount { open: of(open), running_only: of(cap - open) }
    }
}
