//! The `books` block of a planner's settings, and the operators' orders file.

use mulleinhub_ledger::Member;
use mulleinhub_quota::{Calendar, Prices, Settings, Team};
use mulleinhub_replicated_log::{Name, Order, Site, Subject, Word};
use mulleinhub_settings::{Args, Directive, Faults, Name as NameValue, Scope, parse_text};
use mulleinhub_workload_settings::{BooksTerms, SiteTerms, read_books};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Lists of members hold so many.
const MOST_MEMBERS: usize = 1_024;

/// How a planner keeps books with others.
#[derive(Clone, Debug)]
pub struct BooksConf {
    pub settings: Settings,
    pub members: Vec<Member>,
    /// Where the other schedulers come in; nothing in virtual time.
    pub listen: Option<SocketAddr>,
    pub orders: Option<PathBuf>,
    /// By how much the clock that months count by is taken to be ahead of the system's, in milliseconds.
    pub ahead: i64,
    pub terms: BooksTerms,
}

fn loopback(text: &str) -> Option<SocketAddr> {
    text.parse::<SocketAddr>().ok().filter(|address| address.ip().is_loopback())
}

fn site_of(terms: &SiteTerms) -> Site {
    let name = |text: &Option<String>| text.as_deref().map(Name::from);
    Site { region: name(&terms.region), zone: name(&terms.zone) }
}

/// Reads a planner's `books` block. `me` is the planner's own name.
pub fn read(directive: &Directive, me: &str, faults: &mut Faults) -> Option<BooksConf> {
    let mut scope = Scope::of(directive);
    let mut terms = read_books(directive, &mut scope, faults);
    let mut members: Vec<Member> = Vec::new();
    for line in scope.each("member") {
        let mut args = Args::of(line);
        let (name, address) = (args.next::<NameValue>(faults), args.next::<String>(faults));
        let site = SiteTerms::read(&mut args, faults);
        args.finish(faults);
        let (Some(name), Some(address)) = (name, address) else { continue };
        if members.iter().any(|member| *member.name == *name.0) {
            faults.add(&line.place, format!("member {} stands here for the second time", name.0));
        }
        // In virtual time a member is behind a door.
        if loopback(&address).is_none() && !address.starts_with("door:") {
            faults.add(&line.place, "a member's loopback address and port are wanted, as 127.0.0.1:7300");
        }
        let name = Name::from(name.0.as_str());
        terms.sites.insert(name.to_string(), site);
        members.push(Member { name, address });
    }
    members.sort_by(|a, b| a.name.cmp(&b.name));
    if members.len() > MOST_MEMBERS {
        faults.add(&directive.place, format!("{} members, {MOST_MEMBERS} at most", members.len()));
    }
    let mine = members.iter().find(|member| *member.name == *me);
    if mine.is_none() {
        faults.add(&directive.place, format!("this planner, {me}, is none of the members"));
    }
    let listen = mine.and_then(|member| loopback(&member.address));
    let orders = scope.maybe::<String>("orders", faults).map(PathBuf::from);
    let ms = |span: mulleinhub_interface::Duration| (span.nanos() / 1_000_000) as i64;
    let ahead = scope.maybe("clock-ahead", faults).map_or(0, ms);
    let ahead = ahead - scope.maybe("clock-behind", faults).map_or(0, ms);
    scope.finish(faults);
    let months = match Calendar::in_zone(&terms.zone) {
        Ok(months) => months,
        Err(words) => {
            faults.add(&directive.place, format!("zone {:?}: {words}", terms.zone));
            return None;
        }
    };
    let name = |text: &String| Name::from(text.as_str());
    let teams = terms.teams.iter().map(|team| Team {
        name: name(&team.name),
        account: team.account.as_ref().map(name),
        tenants: team.tenants.iter().map(name).collect(),
        cap: team.cap,
    });
    let settings = Settings {
        me: me.into(),
        members: members.iter().map(|member| member.name.clone()).collect(),
        teams: teams.collect(),
        prices: Prices { core_second: terms.core_second, memory_second: terms.memory_second },
        calendar: months,
        open_millionths: terms.near,
        commitment: terms.stretch,
        catch_up_timeout: terms.catch_up,
        replicas: terms.replicas,
        locations: terms
            .sites
            .iter()
            .map(|(name, site)| (Name::from(name.as_str()), site_of(site)))
            .collect(),
    };
    Some(BooksConf { settings, members, listen, orders, ahead, terms })
}

/// Reads an orders file: `cap TEAM NUMBER AMOUNT`, `hold ACCOUNT NUMBER [finish-by SECONDS]`, `clear
/// ACCOUNT NUMBER`, a line each. The number is the order's own; amounts are micro-units, seconds are Unix
/// time.
///
/// # Errors
/// All faults, with line and cause, ready to print.
pub fn parse_orders(file: &str, text: &str) -> Result<Vec<Order>, String> {
    let mut faults = Faults::default();
    let directives = parse_text(file, text, &mut faults);
    let mut orders = Vec::new();
    for line in &directives {
        let mut args = Args::of(line);
        let word = line.name.text.as_str();
        if !["cap", "hold", "clear"].contains(&word) {
            faults.add(&line.name.place, format!("unknown order {word} (cap, hold or clear is wanted)"));
            continue;
        }
        let (name, number) = (args.next::<NameValue>(&mut faults), args.next::<u64>(&mut faults));
        let word = match word {
            "cap" => args.next(&mut faults).map(|amount| Word::Cap { amount }),
            "hold" if args.takes("finish-by") => {
                args.next(&mut faults).map(|by| Word::Held { finish_by: Some(by) })
            }
            "hold" => Some(Word::Held { finish_by: None }),
            _ => Some(Word::Cleared {}),
        };
        args.finish(&mut faults);
        let (Some(name), Some(number), Some(word)) = (name, number, word) else { continue };
        let name = Name::from(name.0.as_str());
        let subject =
            if matches!(word, Word::Cap { .. }) { Subject::Team(name) } else { Subject::Account(name) };
        orders.push(Order { subject, number, word });
    }
    if faults.is_empty() { Ok(orders) } else { Err(faults.render()) }
}

#[cfg(test)]
mod tests;
