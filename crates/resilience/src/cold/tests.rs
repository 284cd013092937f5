use super::*;

const FALL: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

#[test]
fn a_warm_machine_is_never_held_back() {
    let mut gate = SlowStartGate::default();
    gate.wrote(at(0), 1, 0);
    assert_eq!(gate.shut_until(at(5_000), FALL), None);
}

#[test]
fn a_silent_offer_shuts_the_gate_and_a_late_answer_keeps_it_shut_for_a_window() {
    let mut gate = SlowStartGate::default();
    gate.is_cold_until(at(60_000));
    gate.wrote(at(0), 1, 0);
    assert_eq!(gate.shut_until(at(500), FALL), None, "it may be late by half a window");
    assert!(gate.shut_until(at(501), FALL).is_some());
    gate.answered(at(2_000), FALL, 1, 0);
    assert_eq!(gate.shut_until(at(2_000), FALL), Some(at(3_000)));
    assert_eq!(gate.shut_until(at(3_000), FALL), None);
}

#[test]
fn an_answer_tells_that_what_was_written_before_has_arrived() {
    let mut gate = SlowStartGate::default();
    gate.is_cold_until(at(60_000));
    gate.wrote(at(0), 1, 0);
    gate.wrote(at(400), 2, 0);
    gate.answered(at(450), FALL, 2, 0);
    assert_eq!(gate.shut_until(at(5_000), FALL), None, "one use case may be left unanswered");
}
