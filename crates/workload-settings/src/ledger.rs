//! The ledger that planners share: what a `books` block says in settings files and scenarios alike.

use crate::format_duration;
use mulleinhub_interface::Duration;
use mulleinhub_settings::{Args, Diagnostics, Directive, Fraction, Name, Scope};
use std::collections::BTreeMap;

/// A team, whose tenants share one monthly cap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamSettings {
    /// Unique name.
    pub name: String,
    /// The account that pays.
    pub account: Option<String>,
    /// Names of its tenants; a tenant belongs to one team.
    pub tenants: Vec<String>,
    /// Monthly cap in micro-units; `None` is unlimited.
    pub cap: Option<u64>,
}

/// Where a scheduler runs, for the placement of replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteSettings {
    /// Its zone.
    pub zone: Option<String>,
    /// Its region.
    pub region: Option<String>,
}

impl SiteSettings {
    /// Reads the remaining arguments of a line: `zone Z`, `region R`, both in this order, or nothing.
    pub fn read(args: &mut Args<'_>, diagnostics: &mut Diagnostics) -> Self {
        let mut named = |keyword: &str| {
            if args.next_if(keyword) { args.next::<Name>(diagnostics).map(|name| name.0) } else { None }
        };
        Self { zone: named("zone"), region: named("region") }
    }

    /// These arguments, as they follow others on a line: with a leading blank, or empty.
    pub fn to_text(&self) -> String {
        let named = |keyword: &str, name: &Option<String>| {
            name.as_ref().map_or(String::new(), |name| format!(" {keyword} {name}"))
        };
        named("zone", &self.zone) + &named("region", &self.region)
    }
}

/// Prices, teams and replication of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct SharedLedgerSettings {
    /// IANA time zone by which months are counted.
    pub zone: String,
    /// Price of a core for a second, in micro-units.
    pub core_second: u64,
    /// Price of a GiB of memory for a second, in micro-units.
    pub memory_second: u64,
    /// The fraction of a cap that new workers may use, in millionths.
    pub open_millionths: u32,
    /// A new worker commits what it costs for this long.
    pub commitment: Duration,
    /// After a restart, how long to wait for members that don't answer once most of them have.
    pub catch_up_timeout: Duration,
    /// How many other members copy a scheduler's work log; `None` is all.
    pub replicas: Option<usize>,
    /// Where schedulers run, by name; only those whose site is stated.
    pub sites: BTreeMap<String, SiteSettings>,
    /// The teams, sorted by name.
    pub teams: Vec<TeamSettings>,
}

/// The most members that may copy a work log.
const MAX_REPLICAS: usize = 8;

fn read_team(directive: &Directive, diagnostics: &mut Diagnostics) -> Option<TeamSettings> {
    let mut args = Args::of(directive);
    let name = args.next::<Name>(diagnostics);
    args.finish(diagnostics);
    let mut scope = Scope::of(directive);
    let account = scope.optional::<Name>("account", diagnostics).map(|name| name.0);
    let mut tenants = Vec::new();
    if let Some(line) = scope.once("tenants", diagnostics) {
        let mut args = Args::of(line);
        while args.peek().is_some() {
            tenants.extend(args.next::<Name>(diagnostics).map(|name| name.0));
        }
    }
    let cap = scope.optional("cap", diagnostics);
    scope.finish(diagnostics);
    Some(TeamSettings { name: name?.0, account, tenants, cap })
}

/// Reads the directives of a `books` block that planners and scenarios share; the caller may read more from
/// `scope`, and finishes it.
pub fn read_ledger_settings(
    directive: &Directive,
    scope: &mut Scope<'_>,
    diagnostics: &mut Diagnostics,
) -> SharedLedgerSettings {
    let teams = read_teams(scope, diagnostics);
    let open = scope.optional_or("near", Fraction(0.9), diagnostics);
    if open.0 <= 0.0 {
        diagnostics.add(&directive.span, "near 0: no new worker could ever be added");
    }
    let commitment = scope.optional_or("stretch", Duration::from_secs(60), diagnostics);
    if commitment == Duration::ZERO {
        diagnostics.add(&directive.span, "stretch must be more than no time");
    }
    let replicas = scope.optional("replicas", diagnostics);
    if replicas.is_some_and(|count| !(1..=MAX_REPLICAS).contains(&count)) {
        diagnostics.add(&directive.span, format!("replicas must be 1 to {MAX_REPLICAS}"));
    }
    SharedLedgerSettings {
        zone: scope.optional_or("zone", "UTC".to_owned(), diagnostics),
        core_second: scope.optional_or("core-second", 0, diagnostics),
        memory_second: scope.optional_or("memory-second", 0, diagnostics),
        open_millionths: (open.0 * 1e6) as u32,
        commitment,
        catch_up_timeout: scope.optional_or("catch-up", Duration::from_secs(10), diagnostics),
        replicas,
        sites: BTreeMap::new(),
        teams,
    }
}

/// All teams, sorted by name.
fn read_teams(scope: &mut Scope<'_>, diagnostics: &mut Diagnostics) -> Vec<TeamSettings> {
    let mut teams: Vec<TeamSettings> = Vec::new();
    for line in scope.each("team") {
        let Some(team) = read_team(line, diagnostics) else { continue };
        if teams.iter().any(|known| known.name == team.name) {
            diagnostics.add(&line.span, format!("team {} stands here for the second time", team.name));
        }
        for tenant in &team.tenants {
            if teams.iter().any(|known| known.tenants.contains(tenant)) {
                diagnostics.add(&line.span, format!("tenant {tenant} belongs to another team already"));
            }
        }
        teams.push(team);
    }
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    teams
}

impl SharedLedgerSettings {
    /// The lines within a `books` block that give these settings, without the sites.
    pub fn to_text(&self) -> String {
        let mut text = format!(
            "    zone {:?}\n    core-second {}\n    memory-second {}\n    near {}\n    stretch {}\n    \
             catch-up {}\n",
            self.zone,
            self.core_second,
            self.memory_second,
            f64::from(self.open_millionths) / 1e6,
            format_duration(self.commitment),
            format_duration(self.catch_up_timeout),
        );
        if let Some(replicas) = self.replicas {
            text += &format!("    replicas {replicas}\n");
        }
        self.teams.iter().for_each(|team| text += &team.to_text());
        text
    }
}

impl TeamSettings {
    /// The `team` block, indented as within a `books` block.
    fn to_text(&self) -> String {
        let mut text = format!("    team {} {{\n", self.name);
        if let Some(account) = &self.account {
            text += &format!("        account {account}\n");
        }
        if !self.tenants.is_empty() {
            text += &format!("        tenants {}\n", self.tenants.join(" "));
        }
        if let Some(cap) = self.cap {
            text += &format!("        cap {cap}\n");
        }
        text + "    }\n"
    }
}
