//! The settings that a scenario gives its planners.

use crate::wires::ADDRESS_PREFIX;
use mulleinhub_planner::{LedgerText, PlannerSettings, SettingsText, parse_settings_text};
use mulleinhub_sans_io::ListenerId;
use mulleinhub_scenario::{Behind, Day, Stage, list_door};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

/// Planner seeds of one scenario start at its seed times this, so that seeds next to each other share none.
const SEED_STRIDE: u64 = 1_000_003;

/// The settings text of one planner of a scenario, by its index from 0.
///
/// `listen`, `list` (the address of the endpoint list) and `state_dir` come from whoever hosts the planner;
/// `ledger` is absent where the scenario has no ledger.
pub fn planner_settings_text<'a>(
    day: &'a Day,
    planner: usize,
    listen: Option<SocketAddr>,
    list: String,
    state_dir: Option<&'a Path>,
    ledger: Option<LedgerText<'a>>,
) -> SettingsText<'a> {
    SettingsText {
        name: planner_name(planner),
        number: planner,
        schedulers: day.planners,
        seed: day.seed.wrapping_mul(SEED_STRIDE).wrapping_add(planner as u64),
        zone: planner as u32 % day.halls,
        listen,
        list,
        state_dir,
        poll_for_list: day.list.asked,
        rules: &day.rules,
        kinds: &day.kinds,
        use_cases: day.cases.iter().map(|case| &case.case).collect(),
        accepts: (day.machine.accepts_cores, day.machine.accepts_memory),
        accepts_when_running: day.machine.yes_when_running,
        reports_pressure: day.machine.tells_pressure,
        prices: (day.machine_price, day.cross_hall_price),
        max_in_flight: day.most_in_hand,
        ledger,
    }
}

/// The settings of all planners of a scenario.
pub(crate) fn planner_settings<W: Write>(day: &Day, testbed: &Stage<W>) -> Vec<PlannerSettings> {
    let listeners = testbed.doors();
    let settings_of = |planner| {
        let ledger = day.books.as_ref().map(|ledger| LedgerText {
            terms: &ledger.terms,
            members: ledger_members(&listeners, planner),
            directives_file: None,
            clock_ahead_ms: 0,
        });
        let list = listener_address(list_door(planner));
        let text = planner_settings_text(day, planner, None, list, None, ledger).render();
        parse_settings_text(&text).unwrap_or_else(|faults| panic!("{faults}"))
    };
    (0..day.planners).map(settings_of).collect()
}

/// Under which address planners reach a listener of the testbed.
pub(crate) fn listener_address(listener: ListenerId) -> String {
    format!("{ADDRESS_PREFIX}{}", listener.0)
}

/// Names and addresses of the ledgers as this planner sees them; its own has no number, as none connects to
/// itself.
fn ledger_members(listeners: &[(ListenerId, usize, Behind)], planner: usize) -> Vec<(String, String)> {
    let peers =
        listeners.iter().filter(|(_, of, _)| *of == planner).filter_map(
            |(listener, _, behind)| match behind {
                Behind::Books(peer) => Some((planner_name(*peer), listener_address(*listener))),
                _ => None,
            },
        );
    peers.chain([(planner_name(planner), ADDRESS_PREFIX.to_owned())]).collect()
}

fn planner_name(planner: usize) -> String {
    format!("planner-{}", planner + 1)
}
