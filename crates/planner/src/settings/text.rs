//! Writes settings files, for planners that a scenario or a load test starts.

use mulleinhub_workload_settings::{
    MachineKind, RuleSettings, SharedLedgerSettings, SiteSettings, UseCaseSettings,
};
use std::net::SocketAddr;
use std::path::Path;

/// What a settings file is written from.
#[derive(Clone, Debug)]
pub struct SettingsText<'a> {
    /// The planner's unique name.
    pub name: String,
    /// Its number among the schedulers, from 0.
    pub number: usize,
    /// How many schedulers there are.
    pub schedulers: usize,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Its zone.
    pub zone: u32,
    /// Address for clients; `None` in virtual time.
    pub listen: Option<SocketAddr>,
    /// Address of the list service.
    pub list: String,
    /// The state directory; `None` keeps no state.
    pub state_dir: Option<&'a Path>,
    /// The list service notifies nobody and must be polled.
    pub poll_for_list: bool,
    /// Rules of the workload.
    pub rules: &'a RuleSettings,
    /// Kinds of machines.
    pub kinds: &'a [MachineKind],
    /// Use cases.
    pub use_cases: Vec<&'a UseCaseSettings>,
    /// Factors by which machines accept more cores and memory than they have.
    pub accepts: (f64, f64),
    /// Machines accept a task only once it runs.
    pub accepts_when_running: bool,
    /// Machines report memory pressure.
    pub reports_pressure: bool,
    /// Prices of another machine and of another zone.
    pub prices: (f64, f64),
    /// Tasks without a final answer at a time; `None` leaves the default.
    pub max_in_flight: Option<usize>,
    /// The shared ledger; `None` keeps none.
    pub ledger: Option<LedgerText<'a>>,
}

/// What the `books` block of such a file is written from.
#[derive(Clone, Debug)]
pub struct LedgerText<'a> {
    /// Teams, prices and replication.
    pub terms: &'a SharedLedgerSettings,
    /// Names and addresses of the members.
    pub members: Vec<(String, String)>,
    /// The operators' directives file.
    pub directives_file: Option<&'a Path>,
    /// By how many milliseconds the planner's clock is ahead of the system's.
    pub clock_ahead_ms: i64,
}

impl LedgerText<'_> {
    fn render(&self) -> String {
        let mut text = "books {\n".to_owned();
        for (name, address) in &self.members {
            let site = self.terms.sites.get(name).map_or(String::new(), SiteSettings::to_text);
            text += &format!("    member {name} {address:?}{site}\n");
        }
        if let Some(file) = self.directives_file {
            text += &format!("    orders {:?}\n", file.display().to_string());
        }
        let keyword = if self.clock_ahead_ms < 0 { "clock-behind" } else { "clock-ahead" };
        text += &format!("    {keyword} {}ms\n", self.clock_ahead_ms.unsigned_abs());
        text + &self.terms.to_text() + "}\n"
    }
}

impl SettingsText<'_> {
    /// The text of the settings file.
    pub fn render(&self) -> String {
        let mut text = self.render_identity();
        if let Some(listen) = self.listen {
            text += &format!("listen {listen}\n");
        }
        if let Some(dir) = self.state_dir {
            text += &format!("state-dir {:?}\n", dir.display().to_string());
        }
        text += &self.rules.to_text();
        self.kinds.iter().for_each(|kind| text += &kind.to_text());
        self.use_cases.iter().for_each(|use_case| text += &use_case.to_text());
        text += &self.render_acceptance();
        if let Some(limit) = self.max_in_flight {
            text += &format!("links {{\n    most-in-hand {limit}\n}}\n");
        }
        if let Some(ledger) = &self.ledger {
            text += &ledger.render();
        }
        let (machine, zone) = self.prices;
        text + &format!("prices {{\n    machine {machine}\n    cross-hall {zone}\n}}\n")
    }

    fn render_identity(&self) -> String {
        format!(
            "name {}\nnumber {}\nschedulers {}\nseed {}\nhall {}\nlist {:?}\nlist-must-be-asked {}\n",
            self.name,
            self.number,
            self.schedulers,
            self.seed,
            self.zone,
            self.list,
            yes_or_no(self.poll_for_list)
        )
    }

    fn render_acceptance(&self) -> String {
        let (cores, memory) = self.accepts;
        format!(
            "taking {{\n    accepts-cores {cores}\n    accepts-memory {memory}\n    \
             yes-when-running {}\n    tells-pressure {}\n}}\n",
            yes_or_no(self.accepts_when_running),
            yes_or_no(self.reports_pressure)
        )
    }
}

fn yes_or_no(is: bool) -> &'static str {
    if is { "yes" } else { "no" }
}
