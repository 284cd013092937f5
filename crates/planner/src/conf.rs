//! The settings file of a planner.

use crate::books::{self, BooksConf};
use mulleinhub_engine::Settings;
use mulleinhub_interface::Duration;
use mulleinhub_interface::{AcceptanceRules, Discovery, LocalityCosts, SlowStart, ZoneId};
use mulleinhub_settings::{Bytes, Directive, Faults, Name, Place, Scope, parse, parse_text};
use mulleinhub_workload_settings::{
    BooksTerms, Case, Kind, Rules, SiteTerms, read_case, read_kind, read_rules,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    Text,
    Json,
}

/// All that a planner is started with.
#[derive(Clone, Debug)]
pub struct Conf {
    pub engine: Settings,
    /// Where clients come in; nothing in virtual time.
    pub listen: Option<SocketAddr>,
    /// Other processes listen at the same port; the system spreads connections over them.
    pub shared: bool,
    pub metrics: Option<SocketAddr>,
    /// Where the last list is kept; nothing keeps none.
    pub state_dir: Option<PathBuf>,
    pub log: LogFormat,
    /// Books that are kept with other schedulers; nothing keeps none.
    pub books: Option<BooksConf>,
}

/// Addresses are loopback ones alone.
fn loopback(scope: &mut Scope<'_>, name: &'static str, faults: &mut Faults) -> Option<SocketAddr> {
    let directive = scope.once(name, faults)?;
    let word = directive.args.first();
    let place = word.map_or(&directive.place, |word| &word.place).clone();
    let address = word.and_then(|word| word.text.parse::<SocketAddr>().ok());
    match address {
        Some(address) if address.ip().is_loopback() => Some(address),
        Some(_) => {
            faults.add(&place, format!("{name}: only loopback addresses are served"));
            None
        }
        None => {
            faults.add(&place, format!("{name}: an address and port is wanted, as 127.0.0.1:7000"));
            None
        }
    }
}

/// Reads a planner's directives.
pub fn parse_conf(directives: &[Directive], faults: &mut Faults) -> Option<Conf> {
    let place = Place { file: 0, bytes: 0..0 };
    let mut scope = Scope::new(directives, place.clone());
    let name = scope.must::<Name>("name", faults);
    let number = scope.or("number", 0u32, faults);
    let schedulers = scope.or("schedulers", 1u32, faults);
    let seed = scope.or("seed", 1u64, faults);
    let hall = scope.or("hall", 0u32, faults);
    let listen = loopback(&mut scope, "listen", faults);
    let shared = scope.or("listen-shared", false, faults);
    let metrics = loopback(&mut scope, "metrics", faults);
    let list_address = scope.must::<String>("list", faults);
    let state_dir = scope.maybe::<String>("state-dir", faults).map(PathBuf::from);
    let log = match scope.maybe::<String>("log", faults).as_deref() {
        None | Some("text") => LogFormat::Text,
        Some("json") => LogFormat::Json,
        Some(other) => {
            faults.add(&place, format!("log {other}: text or json is wanted"));
            LogFormat::Text
        }
    };
    let asked = scope.or("list-must-be-asked", false, faults);
    let rules = read_rules(scope.once("rules", faults), faults);
    let kinds: Vec<Kind> = scope.each("kind").into_iter().filter_map(|d| read_kind(d, faults)).collect();
    let mut cases: Vec<Case> = Vec::new();
    let mut for_module = Vec::new();
    for directive in scope.each("use-case") {
        let mut inner = Scope::of(directive);
        let case = read_case(directive, &mut inner, faults);
        inner.finish(faults);
        let Some(case) = case else { continue };
        match case.for_module(&kinds) {
            Some(of_module) => for_module.push(of_module),
            None => faults.add(&directive.place, "its kind of machine is not among the kinds"),
        }
        cases.push(case);
    }
    if cases.is_empty() {
        faults.add(&place, "a use case is missing: use-case NAME { ... }");
    }
    let none = Scope::new(&[], place.clone());
    let mut taking = scope.once("taking", faults).map_or(none, Scope::of);
    let taking_ = AcceptanceRules {
        cores_overcommit: taking.or("accepts-cores", 1.0, faults),
        memory_overcommit: taking.or("accepts-memory", 1.0, faults),
        accepts_when_running: taking.or("yes-when-running", false, faults),
        max_attempts: rules.most_sends,
        reports_pressure: taking.or("tells-pressure", true, faults),
        supports_cancel: taking.or("recalls", true, faults),
    };
    taking.finish(faults);
    let none = Scope::new(&[], place.clone());
    let mut prices = scope.once("prices", faults).map_or(none, Scope::of);
    let home = LocalityCosts {
        local_zone: ZoneId(hall),
        cross_zone_cost: prices.or("cross-hall", 0.0, faults),
        machine_cost: prices.or("machine", 0.0, faults),
    };
    prices.finish(faults);
    let none = Scope::new(&[], place.clone());
    let mut links = scope.once("links", faults).map_or(none, Scope::of);
    let ms = |ms: u64| Duration::from_nanos(ms * 1_000_000);
    let reconnect = links.or("reconnect", ms(200), faults);
    let lost_after = links.or("lost-after", ms(2_000), faults);
    let silence = links.or("silence", ms(2_000), faults);
    let remember = links.or("remember", Duration::from_secs(60), faults);
    let start_wait = links.or("start-wait", ms(1_000), faults);
    let most_in_hand = links.or("most-in-hand", 20_000, faults);
    let most_unwritten = links.or("most-unwritten", Bytes(4 << 20), faults).0 as usize;
    links.finish(faults);
    let none = Scope::new(&[], place.clone());
    let mut clients = scope.once("clients", faults).map_or(none, Scope::of);
    let usual = mulleinhub_limits::Settings::default();
    let of_clients = mulleinhub_limits::Settings {
        most: clients.or("most", usual.most, faults).max(1),
        most_of_a_tenant: clients.or("most-of-a-tenant", usual.most_of_a_tenant, faults).max(1),
        most_of_a_name: clients.or("most-of-a-name", usual.most_of_a_name, faults).max(1),
        most_strangers: clients.or("most-strangers", usual.most_strangers, faults).max(1),
        opens_a_turn: clients.or("opens-a-turn", usual.opens_a_turn, faults).max(1),
        greet_within: clients.or("greet-within", usual.greet_within, faults),
        frame_within: clients.or("frame-within", usual.frame_within, faults),
        idle_after: clients.or("idle-after", usual.idle_after, faults),
        sign_within: clients.or("sign-within", usual.sign_within, faults),
        steady_for: clients.or("steady-for", usual.steady_for, faults),
        may_speak: usual.may_speak,
        woken_a_turn: clients.or("woken-a-turn", usual.woken_a_turn, faults).max(1),
    };
    clients.finish(faults);
    let me = name.as_ref().map_or("", |name| name.0.as_str());
    let books = scope.once("books", faults).and_then(|directive| books::read(directive, me, faults));
    if books.as_ref().is_some_and(|books| books.listen.is_some()) && state_dir.is_none() {
        faults.add(&place, "books are kept in the state directory: state-dir is missing");
    }
    scope.finish(faults);
    for (name, span) in [("reconnect", reconnect), ("silence", silence), ("remember", remember)] {
        if span == Duration::ZERO {
            faults.add(&place, format!("links: {name} must be more than no time"));
        }
    }
    if number >= schedulers {
        faults.add(&place, format!("number {number} of {schedulers} schedulers: numbers count from 0"));
    }
    let engine = Settings {
        name: name?.0,
        seed,
        use_cases: for_module,
        machine_kinds: kinds.iter().map(|kind| kind.size).collect(),
        acceptance: taking_,
        slow_start: SlowStart {
            warm_after: rules.warm_after,
            fall: rules.fall,
            young_limit: f64::from(rules.young_limit),
            schedulers,
            number,
        },
        discovery: Discovery { asked, ask_within: rules.ask_within },
        locality: home,
        endpoint_list_address: list_address?,
        reconnect_backoff: reconnect,
        lost_after,
        ping_timeout: silence,
        answer_retention: remember,
        startup_grace: start_wait,
        client_limits: of_clients,
        max_open_tasks: most_in_hand,
        max_unsent_bytes: most_unwritten,
    };
    faults.is_empty().then_some(Conf { engine, listen, shared, metrics, state_dir, log, books })
}

/// Reads a settings file; what is wrong with it is the error, ready to print.
///
/// # Errors
/// All faults of the file, rendered.
pub fn read_conf(path: &Path) -> Result<Conf, String> {
    let mut faults = Faults::default();
    let directives =
        parse(path, &mut faults).map_err(|error| format!("error: {}: {error}\n", path.display()))?;
    parse_conf(&directives, &mut faults).ok_or_else(|| faults.render())
}

/// What a settings file is written from, for planners that a day starts.
#[derive(Clone, Debug)]
pub struct ConfText<'a> {
    pub name: String,
    pub number: usize,
    pub schedulers: usize,
    pub seed: u64,
    pub hall: u32,
    pub listen: Option<SocketAddr>,
    pub list: String,
    pub state_dir: Option<&'a Path>,
    pub asked: bool,
    pub rules: &'a Rules,
    pub kinds: &'a [Kind],
    pub cases: Vec<&'a Case>,
    pub accepts: (f64, f64),
    pub yes_when_running: bool,
    pub tells_pressure: bool,
    pub prices: (f64, f64),
    pub most_in_hand: Option<usize>,
    pub books: Option<BooksText<'a>>,
}

/// The `books` block of such a file.
#[derive(Clone, Debug)]
pub struct BooksText<'a> {
    pub terms: &'a BooksTerms,
    /// Names and addresses.
    pub members: Vec<(String, String)>,
    pub orders: Option<&'a Path>,
    /// By how much its clock is ahead of the system's, in milliseconds.
    pub ahead: i64,
}

impl BooksText<'_> {
    fn show(&self) -> String {
        let mut text = "books {\n".to_owned();
        for (name, address) in &self.members {
            let site = self.terms.sites.get(name).map_or(String::new(), SiteTerms::show);
            text += &format!("    member {name} {address:?}{site}\n");
        }
        if let Some(orders) = self.orders {
            text += &format!("    orders {:?}\n", orders.display().to_string());
        }
        let word = if self.ahead < 0 { "clock-behind" } else { "clock-ahead" };
        text += &format!("    {word} {}ms\n", self.ahead.unsigned_abs());
        text + &self.terms.show() + "}\n"
    }
}

impl ConfText<'_> {
    /// The text of the file.
    pub fn show(&self) -> String {
        let yes = |is: bool| if is { "yes" } else { "no" };
        let mut text = format!(
            "name {}\nnumber {}\nschedulers {}\nseed {}\nhall {}\nlist {:?}\nlist-must-be-asked {}\n",
            self.name,
            self.number,
            self.schedulers,
            self.seed,
            self.hall,
            self.list,
            yes(self.asked)
        );
        if let Some(listen) = self.listen {
            text += &format!("listen {listen}\n");
        }
        if let Some(dir) = self.state_dir {
            text += &format!("state-dir {:?}\n", dir.display().to_string());
        }
        text += &self.rules.show();
        self.kinds.iter().for_each(|kind| text += &kind.show());
        self.cases.iter().for_each(|case| text += &case.show());
        text += &format!(
            "taking {{\n    accepts-cores {}\n    accepts-memory {}\n    \
             yes-when-running {}\n    tells-pressure {}\n}}\n",
            self.accepts.0,
            self.accepts.1,
            yes(self.yes_when_running),
            yes(self.tells_pressure)
        );
        if let Some(most) = self.most_in_hand {
            text += &format!("links {{\n    most-in-hand {most}\n}}\n");
        }
        if let Some(books) = &self.books {
            text += &books.show();
        }
        text += &format!("prices {{\n    machine {}\n    cross-hall {}\n}}\n", self.prices.0, self.prices.1);
        text
    }
}

/// The conf of a text that stands in no file.
///
/// # Errors
/// All faults, rendered.
pub fn conf_of_text(text: &str) -> Result<Conf, String> {
    let mut faults = Faults::default();
    let directives = parse_text("planner.conf", text, &mut faults);
    parse_conf(&directives, &mut faults).ok_or_else(|| faults.render())
}
