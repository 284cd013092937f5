//! Which members hold a copy of a writer's work log.
//!
//! Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): each pair of a writer and a
//! member has a weight, and the members with the highest weights are the replicas, so that every scheduler
//! comes to the same choice without asking. Of each choice after the first the highest in another region is
//! taken where there is one, else the highest in another zone. A member that comes or goes changes only the
//! sets that it enters or leaves.

use crate::digest::Digest;
use crate::name::Name;
use std::collections::BTreeMap;

/// Where a member runs, as far as the settings say. Members without a location count as in one place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The region.
    pub region: Option<Name>,
    /// The zone; its name is unique within the region only.
    pub zone: Option<Name>,
}

impl Location {
    fn same_region(&self, other: &Self) -> bool {
        self.region == other.region
    }

    fn same_zone(&self, other: &Self) -> bool {
        self.same_region(other) && self.zone == other.zone
    }
}

/// The weight of a member for a writer's log. A hash of our own: it must be the same in every process and
/// version.
fn weight(writer: &Name, member: &Name) -> u64 {
    let digest = Digest::of(&[b"replica", &[0], writer.as_bytes(), &[0], member.as_bytes()]);
    u64::from_be_bytes(std::array::from_fn(|n| digest.0[n]))
}

/// The members that hold a copy of a writer's work log, the first choice first: `count` of the members that
/// are usable, or fewer where there are no more. The writer itself is never among them.
pub fn choose_replicas(
    writer: &Name,
    locations: &BTreeMap<Name, Location>,
    count: usize,
    is_usable: impl Fn(&Name) -> bool,
) -> Vec<Name> {
    let candidates = locations.iter().filter(|(name, _)| *name != writer && is_usable(name));
    let mut left: Vec<(u64, &Name, &Location)> =
        candidates.map(|(name, location)| (weight(writer, name), name, location)).collect();
    // The highest weight first; a tie goes to the earlier name.
    left.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let unknown = Location::default();
    let mut used: Vec<&Location> = vec![locations.get(writer).unwrap_or(&unknown)];
    let mut chosen: Vec<Name> = Vec::new();
    while chosen.len() < count && !left.is_empty() {
        let in_another = |same: fn(&Location, &Location) -> bool| {
            left.iter().position(|(.., location)| used.iter().all(|used| !same(used, location)))
        };
        let first = if chosen.is_empty() { Some(0) } else { None };
        let at = first
            .or_else(|| in_another(Location::same_region))
            .or_else(|| in_another(Location::same_zone))
            .unwrap_or(0);
        let (_, name, location) = left.remove(at);
        used.push(location);
        chosen.push(name.clone());
    }
    chosen
}
