//! The books, as planners and days state them: prices, teams with their caps, and how shares are kept.

use crate::show_span;
use mulleinhub_interface::Duration;
use mulleinhub_settings::{Args, Directive, Faults, Name, Scope, Share};
use std::collections::BTreeMap;

/// A team, its account, its tenants, and its monthly cap in micro-units.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamTerms {
    pub name: String,
    pub account: Option<String>,
    pub tenants: Vec<String>,
    pub cap: Option<u64>,
}

/// Where a scheduler runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteTerms {
    pub zone: Option<String>,
    pub region: Option<String>,
}

impl SiteTerms {
    /// Reads what is left of a line: `zone Z`, `region R`, both in this order, or nothing.
    pub fn read(args: &mut Args<'_>, faults: &mut Faults) -> Self {
        let mut named = |word: &str| match args.takes(word) {
            true => args.next::<Name>(faults).map(|name| name.0),
            false => None,
        };
        Self { zone: named("zone"), region: named("region") }
    }

    /// The same, as it stands at the end of a line.
    pub fn show(&self) -> String {
        let named = |word: &str, name: &Option<String>| {
            name.as_ref().map_or(String::new(), |name| format!(" {word} {name}"))
        };
        named("zone", &self.zone) + &named("region", &self.region)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct BooksTerms {
    pub zone: String,
    /// Micro-units.
    pub core_second: u64,
    pub memory_second: u64,
    /// The part of a cap that new workers may use, in millionths.
    pub near: u32,
    pub stretch: Duration,
    pub catch_up: Duration,
    /// So many other members copy a scheduler's ordinary work; nothing where all do.
    pub replicas: Option<usize>,
    /// Where schedulers run, of those of which it is said.
    pub sites: BTreeMap<String, SiteTerms>,
    pub teams: Vec<TeamTerms>,
}

/// Members that copy a work log.
const MOST_REPLICAS: usize = 8;

fn read_team(directive: &Directive, faults: &mut Faults) -> Option<TeamTerms> {
    let mut args = Args::of(directive);
    let name = args.next::<Name>(faults);
    args.finish(faults);
    let mut scope = Scope::of(directive);
    let account = scope.maybe::<Name>("account", faults).map(|name| name.0);
    let mut tenants = Vec::new();
    if let Some(line) = scope.once("tenants", faults) {
        let mut args = Args::of(line);
        while args.peek().is_some() {
            tenants.extend(args.next::<Name>(faults).map(|name| name.0));
        }
    }
    let cap = scope.maybe("cap", faults);
    scope.finish(faults);
    Some(TeamTerms { name: name?.0, account, tenants, cap })
}

/// Reads what planners and days have in common of a `books` block; the scope is finished by the caller.
pub fn read_books(directive: &Directive, scope: &mut Scope<'_>, faults: &mut Faults) -> BooksTerms {
    let mut teams: Vec<TeamTerms> = Vec::new();
    for line in scope.each("team") {
        let Some(team) = read_team(line, faults) else { continue };
        if teams.iter().any(|known| known.name == team.name) {
            faults.add(&line.place, format!("team {} stands here for the second time", team.name));
        }
        for tenant in &team.tenants {
            if teams.iter().any(|known| known.tenants.contains(tenant)) {
                faults.add(&line.place, format!("tenant {tenant} belongs to another team already"));
            }
        }
        teams.push(team);
    }
    let near = scope.or("near", Share(0.9), faults);
    if near.0 <= 0.0 {
        faults.add(&directive.place, "near 0: no new worker could ever be added");
    }
    let stretch = scope.or("stretch", Duration::from_secs(60), faults);
    if stretch == Duration::ZERO {
        faults.add(&directive.place, "stretch must be more than no time");
    }
    let replicas = scope.maybe("replicas", faults);
    if replicas.is_some_and(|many| !(1..=MOST_REPLICAS).contains(&many)) {
        faults.add(&directive.place, format!("replicas must be 1 to {MOST_REPLICAS}"));
    }
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    BooksTerms {
        zone: scope.or("zone", "UTC".to_owned(), faults),
        core_second: scope.or("core-second", 0, faults),
        memory_second: scope.or("memory-second", 0, faults),
        near: (near.0 * 1e6) as u32,
        stretch,
        catch_up: scope.or("catch-up", Duration::from_secs(10), faults),
        replicas,
        sites: BTreeMap::new(),
        teams,
    }
}

impl BooksTerms {
    /// The lines within a `books` block.
    pub fn show(&self) -> String {
        let mut text = format!(
            "    zone {:?}\n    core-second {}\n    memory-second {}\n    near {}\n    stretch {}\n    \
             catch-up {}\n",
            self.zone,
            self.core_second,
            self.memory_second,
            f64::from(self.near) / 1e6,
            show_span(self.stretch),
            show_span(self.catch_up),
        );
        self.replicas.iter().for_each(|many| text += &format!("    replicas {many}\n"));
        for team in &self.teams {
            text += &format!("    team {} {{\n", team.name);
            team.account.iter().for_each(|account| text += &format!("        account {account}\n"));
            if !team.tenants.is_empty() {
                text += &format!("        tenants {}\n", team.tenants.join(" "));
            }
            team.cap.iter().for_each(|cap| text += &format!("        cap {cap}\n"));
            text += "    }\n";
        }
        text
    }
}
