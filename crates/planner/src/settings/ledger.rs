//! The `books` block of a planner's settings: the ledger that it shares with other planners.

use mulleinhub_interface::Duration;
use mulleinhub_ledger::Member;
use mulleinhub_quota::{Calendar, Prices, Settings, Team};
use mulleinhub_replicated_log::{Location, Name};
use mulleinhub_settings::{Args, Diagnostics, Directive, Name as NameValue, Scope};
use mulleinhub_workload_settings::{SharedLedgerSettings, SiteSettings, read_ledger_settings};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Members of one ledger.
const MAX_MEMBERS: usize = 1_024;
const NANOS_PER_MILLI: u64 = 1_000_000;
/// In virtual time a member's address has this prefix, and the number of a listener behind it.
const VIRTUAL_ADDRESS_PREFIX: &str = "door:";

/// How a planner shares a ledger with others.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Settings of quotas and replication.
    pub settings: Settings,
    /// All members, this planner included, by name.
    pub members: Vec<Member>,
    /// Address for the other members; `None` in virtual time.
    pub listen: Option<SocketAddr>,
    /// The operators' directives file.
    pub directives_file: Option<PathBuf>,
    /// By how many milliseconds the clock that months are counted by is ahead of the system's.
    pub clock_ahead_ms: i64,
    /// The block as it was read.
    pub terms: SharedLedgerSettings,
}

/// Reads a planner's `books` block. `own_name` is the planner's name.
pub(super) fn read(
    directive: &Directive,
    own_name: &str,
    faults: &mut Diagnostics,
) -> Option<LedgerSettings> {
    let mut scope = Scope::of(directive);
    let mut terms = read_ledger_settings(directive, &mut scope, faults);
    let members = read_members(&mut scope, &mut terms, directive, faults);
    let own = members.iter().find(|member| *member.name == *own_name);
    if own.is_none() {
        faults.add(&directive.span, format!("this planner, {own_name}, is none of the members"));
    }
    let listen = own.and_then(|member| parse_loopback_address(&member.address));
    let directives_file = scope.optional::<String>("orders", faults).map(PathBuf::from);
    let clock_ahead = scope.optional("clock-ahead", faults).map_or(0, to_millis);
    let clock_behind = scope.optional("clock-behind", faults).map_or(0, to_millis);
    scope.finish(faults);
    let months = match Calendar::in_zone(&terms.zone) {
        Ok(months) => months,
        Err(reason) => {
            faults.add(&directive.span, format!("zone {:?}: {reason}", terms.zone));
            return None;
        }
    };
    let settings = ledger_settings(own_name, &members, months, &terms);
    let clock_ahead_ms = clock_ahead - clock_behind;
    Some(LedgerSettings { settings, members, listen, directives_file, clock_ahead_ms, terms })
}

/// Reads the `member` lines, and notes each member's site in `terms`.
fn read_members(
    scope: &mut Scope<'_>,
    terms: &mut SharedLedgerSettings,
    block: &Directive,
    faults: &mut Diagnostics,
) -> Vec<Member> {
    let mut members: Vec<Member> = Vec::new();
    for line in scope.each("member") {
        let Some((member, site)) = read_member(line, &members, faults) else { continue };
        terms.sites.insert(member.name.to_string(), site);
        members.push(member);
    }
    members.sort_by(|a, b| a.name.cmp(&b.name));
    if members.len() > MAX_MEMBERS {
        faults.add(&block.span, format!("{} members, {MAX_MEMBERS} at most", members.len()));
    }
    members
}

fn read_member(
    line: &Directive,
    earlier: &[Member],
    faults: &mut Diagnostics,
) -> Option<(Member, SiteSettings)> {
    let mut args = Args::of(line);
    let (name, address) = (args.next::<NameValue>(faults), args.next::<String>(faults));
    let site = SiteSettings::read(&mut args, faults);
    args.finish(faults);
    let (name, address) = (name?, address?);
    if earlier.iter().any(|member| *member.name == *name.0) {
        faults.add(&line.span, format!("member {} stands here for the second time", name.0));
    }
    if parse_loopback_address(&address).is_none() && !address.starts_with(VIRTUAL_ADDRESS_PREFIX) {
        faults.add(&line.span, "a member's loopback address and port are wanted, as 127.0.0.1:7300");
    }
    Some((Member { name: Name::from(name.0.as_str()), address }, site))
}

fn ledger_settings(
    own_name: &str,
    members: &[Member],
    months: Calendar,
    terms: &SharedLedgerSettings,
) -> Settings {
    let name = |text: &String| Name::from(text.as_str());
    let teams = terms.teams.iter().map(|team| Team {
        name: name(&team.name),
        account: team.account.as_ref().map(name),
        tenants: team.tenants.iter().map(name).collect(),
        cap: team.cap,
    });
    Settings {
        me: own_name.into(),
        members: members.iter().map(|member| member.name.clone()).collect(),
        teams: teams.collect(),
        prices: Prices { core_second: terms.core_second, memory_second: terms.memory_second },
        calendar: months,
        open_millionths: terms.open_millionths,
        commitment: terms.commitment,
        catch_up_timeout: terms.catch_up_timeout,
        replicas: terms.replicas,
        locations: terms.sites.iter().map(|(site_name, site)| (name(site_name), site_of(site))).collect(),
    }
}

fn site_of(terms: &SiteSettings) -> Location {
    let name = |text: &Option<String>| text.as_deref().map(Name::from);
    Location { region: name(&terms.region), zone: name(&terms.zone) }
}

fn parse_loopback_address(text: &str) -> Option<SocketAddr> {
    text.parse::<SocketAddr>().ok().filter(|address| address.ip().is_loopback())
}

fn to_millis(duration: Duration) -> i64 {
    (duration.nanos() / NANOS_PER_MILLI) as i64
}
