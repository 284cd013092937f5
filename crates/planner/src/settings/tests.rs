//! Tests of the ledger's block and of operators' directives.

use super::*;
use mulleinhub_replicated_log::{DirectiveAction, Location, Name};

#[test]
fn directives_are_parsed_and_faults_have_line_and_cause() {
    let text = "cap pay 3 500000\nhold acme 4 finish-by 1790000000 # till spring\nclear acme 5\n";
    let directives = parse_operator_directives("orders", text).expect("no faults");
    assert_eq!(directives.len(), 3);
    assert_eq!(directives[1].action, DirectiveAction::Suspend { finish_by: Some(1_790_000_000) });
    let report = parse_operator_directives("orders", "cap pay 3\nhodl acme 4\nclear acme 5 6\n")
        .expect_err("faults")
        .to_string();
    for part in ["orders:1:", "cap lacks an argument", "orders:2:", "unknown order hodl", "orders:3:"] {
        assert!(report.contains(part), "{part}: {report}");
    }
}

fn read_ledger(lines: &str) -> Result<LedgerSettings, String> {
    let text = format!("books {{\n    member planner-1 127.0.0.1:7301 zone a region east\n{lines}\n}}\n");
    let mut faults = Diagnostics::default();
    let directives = parse_text("planner.conf", &text, &mut faults);
    let settings = ledger::read(&directives[0], "planner-1", &mut faults);
    settings.filter(|_| faults.is_empty()).ok_or_else(|| faults.render())
}

#[test]
fn ledger_replicas_and_sites_are_read_and_written_and_optional() {
    let others = "    member planner-2 127.0.0.1:7302 region west\n    member planner-3 127.0.0.1:7303";
    let plain = read_ledger(others).expect("no faults");
    assert_eq!(plain.settings.replicas, None);
    let replicated = read_ledger(&format!("{others}\n    replicas 2")).expect("no faults");
    assert_eq!(replicated.settings.replicas, Some(2));
    let site = |zone: Option<&str>, region: Option<&str>| Location {
        zone: zone.map(Name::from),
        region: region.map(Name::from),
    };
    let expected = [site(Some("a"), Some("east")), site(None, Some("west")), site(None, None)];
    let sites = &replicated.settings.locations;
    assert!(sites.values().eq(&expected), "{sites:?}");
    assert!(
        replicated.terms.to_text().contains("    replicas 2\n")
            && !plain.terms.to_text().contains("replicas")
    );
    assert_eq!(replicated.terms.sites["planner-1"].to_text(), " zone a region east");
}

#[test]
fn faulty_ledger_replicas_and_sites_have_line_and_cause() {
    let cases = [
        ("    member planner-2 127.0.0.1:7302 zone\n    replicas 9", "member lacks an argument"),
        ("    member planner-2 127.0.0.1:7302 rack 4\n    replicas 0", "takes no more arguments"),
    ];
    for (lines, fault) in cases {
        let report = read_ledger(lines).expect_err("faults");
        for part in ["planner.conf:3:", fault, "replicas must be 1 to 8"] {
            assert!(report.contains(part), "{part}: {report}");
        }
    }
}
