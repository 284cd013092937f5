//! Which members hold a copy of a writer's work log.
//!
//! Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998): each pair of a writer and a
//! member has a weight, and the members with the highest weights are the replicas, so that every scheduler
//! comes to the same choice without asking. Of each choice after the first the highest in another region is
//! taken where there is one, else the highest in another zone. A member that comes or goes changes only the
//! sets that it enters or leaves.

use crate::name::Name;
use crate::row::Digest;
use std::collections::BTreeMap;

/// Where a member runs, as far as the settings say. Members that say nothing share one place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Site {
    pub region: Option<Name>,
    pub zone: Option<Name>,
}

impl Site {
    fn same_region(&self, other: &Self) -> bool {
        self.region == other.region
    }

    /// Zones are named within their region.
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

/// The members that hold a writer's work log, the first choice first: so many of those that `is_usable`
/// says yes to, or fewer where there are no more. The writer itself is none of them.
pub fn replicas(
    writer: &Name,
    sites: &BTreeMap<Name, Site>,
    many: usize,
    is_usable: impl Fn(&Name) -> bool,
) -> Vec<Name> {
    let candidates = sites.iter().filter(|(name, _)| *name != writer && is_usable(name));
    let mut left: Vec<(u64, &Name, &Site)> =
        candidates.map(|(name, site)| (weight(writer, name), name, site)).collect();
    // The highest first; a tie of weights goes to the earlier name.
    left.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.cmp(b.1)));
    let unknown = Site::default();
    let mut taken: Vec<&Site> = vec![sites.get(writer).unwrap_or(&unknown)];
    let mut chosen: Vec<Name> = Vec::new();
    while chosen.len() < many && !left.is_empty() {
        let in_another = |same: fn(&Site, &Site) -> bool| {
            left.iter().position(|(.., site)| taken.iter().all(|t| !same(t, site)))
        };
        let first = if chosen.is_empty() { Some(0) } else { None };
        let at = first
            .or_else(|| in_another(Site::same_region))
            .or_else(|| in_another(Site::same_zone))
            .unwrap_or(0);
        let (_, name, site) = left.remove(at);
        taken.push(site);
        chosen.push(name.clone());
    }
    chosen
}
