//! Blocks of settings: errors of values at their directives, and text that reads back as it was written.

use mulleinhub_settings::{Diagnostics, Directive, Scope, parse_text};
use mulleinhub_workload_settings::{
    MachineKind, RuleSettings, SharedLedgerSettings, UseCaseSettings, read_ledger_settings,
    read_machine_kind, read_rules, read_use_case,
};

const USE_CASE: &str = "use-case web {
    soft-limit 500ms
    client-timeout 2s
    effect referenced rack 30s
    earnings 2.5
    start-seconds 4
    priority 1
    kind large
    spread hall 3
    full-up-to 0.75
    fade 0.5
}
";
const MACHINE_KIND: &str = "kind large {\n    cores 16\n    memory 68719476736B\n}\n";
const RULES: &str = "rules {
    drain-grace 2s
    answer-slack 250ms
    warm-after 14s
    fall 1s
    ask-within 10s
    young-limit 9
    most-sends 4
}
";
const LEDGER: &str = "    zone \"Europe/Berlin\"
    core-second 3
    memory-second 1
    near 0.8
    stretch 60s
    catch-up 10s
    replicas 2
    team pay {
        account acme
        tenants a b
        cap 500000
    }
";

fn parse_one(text: &str, diagnostics: &mut Diagnostics) -> Directive {
    parse_text("test.conf", text, diagnostics).remove(0)
}

fn use_case(text: &str) -> (Option<UseCaseSettings>, Diagnostics) {
    let mut diagnostics = Diagnostics::default();
    let directive = parse_one(text, &mut diagnostics);
    let mut scope = Scope::of(&directive);
    let use_case = read_use_case(&directive, &mut scope, &mut diagnostics);
    scope.finish(&mut diagnostics);
    (use_case, diagnostics)
}

fn machine_kind(text: &str) -> (Option<MachineKind>, Diagnostics) {
    let mut diagnostics = Diagnostics::default();
    let directive = parse_one(text, &mut diagnostics);
    (read_machine_kind(&directive, &mut diagnostics), diagnostics)
}

fn rules(text: &str) -> (RuleSettings, Diagnostics) {
    let mut diagnostics = Diagnostics::default();
    let directive = parse_one(text, &mut diagnostics);
    (read_rules(Some(&directive), &mut diagnostics), diagnostics)
}

fn ledger(lines: &str) -> (SharedLedgerSettings, Diagnostics) {
    let mut diagnostics = Diagnostics::default();
    let directive = parse_one(&format!("books {{\n{lines}}}\n"), &mut diagnostics);
    let mut scope = Scope::of(&directive);
    let ledger = read_ledger_settings(&directive, &mut scope, &mut diagnostics);
    scope.finish(&mut diagnostics);
    (ledger, diagnostics)
}

fn assert_reported(diagnostics: &Diagnostics, expected: &[(&str, &str)]) {
    let messages: Vec<&str> = diagnostics.list.iter().map(|diagnostic| diagnostic.message.as_str()).collect();
    let rendered = diagnostics.render();
    assert_eq!(messages.len(), expected.len(), "{rendered}");
    for (message, position) in expected {
        assert!(messages.iter().any(|text| text.starts_with(message)), "{message}:\n{rendered}");
        assert!(rendered.contains(position), "{message} at {position}:\n{rendered}");
    }
}

#[test]
fn blocks_read_back_as_written() {
    let (use_case, errors) = use_case(USE_CASE);
    assert!(errors.is_empty(), "{}", errors.render());
    assert_eq!(use_case.expect("no errors").to_text(), USE_CASE);
    let (kind, errors) = machine_kind(MACHINE_KIND);
    assert!(errors.is_empty(), "{}", errors.render());
    assert_eq!(kind.expect("no errors").to_text(), MACHINE_KIND);
    let (rules, errors) = rules(RULES);
    assert!(errors.is_empty(), "{}", errors.render());
    assert_eq!(rules.to_text(), RULES);
    let (ledger, errors) = ledger(LEDGER);
    assert!(errors.is_empty(), "{}", errors.render());
    assert_eq!(ledger.to_text(), LEDGER);
}

#[test]
fn use_case_errors_are_shown_at_directives() {
    let text = USE_CASE
        .replace("soft-limit 500ms", "soft-limit 5s")
        .replace("earnings 2.5", "earnings 2000000000")
        .replace("start-seconds 4", "start-seconds 2000000")
        .replace("priority 1", "priority 9")
        .replace("full-up-to 0.75", "full-up-to 11")
        .replace("fade 0.5", "fade 0");
    let expected = [
        ("the soft limit is longer than the client timeout", "test.conf:2:5"),
        ("earnings: ", "test.conf:5:5"),
        ("start-seconds: ", "test.conf:6:5"),
        ("priority: ", "test.conf:7:5"),
        ("full-up-to: ", "test.conf:10:5"),
        ("fade: ", "test.conf:11:5"),
    ];
    assert_reported(&use_case(&text).1, &expected);
    let text = USE_CASE.replace("client-timeout 2s", "client-timeout 0").replace("500ms", "0");
    assert_reported(&use_case(&text).1, &[("client-timeout: more than no time is wanted", "test.conf:3:5")]);
}

#[test]
fn rule_errors_are_shown_at_directives() {
    let text = "rules {\n warm-after 0\n fall 0\n ask-within 0\n young-limit 0\n most-sends 101\n}\n";
    let expected = [
        ("warm-after: more than no time is wanted", "test.conf:2:2"),
        ("fall: more than no time is wanted", "test.conf:3:2"),
        ("ask-within: more than no time is wanted", "test.conf:4:2"),
        ("young-limit: ", "test.conf:5:2"),
        ("most-sends: ", "test.conf:6:2"),
    ];
    assert_reported(&rules(text).1, &expected);
}

#[test]
fn misspelt_keywords_get_suggestions() {
    for (text, message, hint) in [
        ("effect replayabel", "replayable, referenced GROUP WINDOW or single-use is wanted", "replayable?"),
        ("effect referenced rak 30s", "rak is no group (machine, rack, hall and all are)", "rack?"),
    ] {
        let (_, errors) = use_case(&USE_CASE.replace("effect referenced rack 30s", text));
        let rendered = errors.render();
        assert!(rendered.contains(message) && rendered.contains(hint), "{rendered}");
    }
}
