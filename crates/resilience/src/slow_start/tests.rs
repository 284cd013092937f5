use super::*;

const WINDOW: Duration = Duration::from_secs(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

#[test]
fn gate_is_open_outside_slow_start() {
    let mut gate = SlowStartGate::default();
    gate.on_sent(at(0), 1, 0);
    assert_eq!(gate.closed_until(at(5_000), WINDOW), None);
}

#[test]
fn unanswered_offer_closes_gate_and_late_answer_extends_it_by_a_window() {
    let mut gate = SlowStartGate::default();
    gate.extend_slow_start(at(60_000));
    gate.on_sent(at(0), 1, 0);
    assert_eq!(gate.closed_until(at(500), WINDOW), None, "it may be late by half a window");
    assert!(gate.closed_until(at(501), WINDOW).is_some());
    gate.on_answered(at(2_000), WINDOW, 1, 0);
    assert_eq!(gate.closed_until(at(2_000), WINDOW), Some(at(3_000)));
    assert_eq!(gate.closed_until(at(3_000), WINDOW), None);
}

#[test]
fn answer_confirms_arrival_of_earlier_offers() {
    let mut gate = SlowStartGate::default();
    gate.extend_slow_start(at(60_000));
    gate.on_sent(at(0), 1, 0);
    gate.on_sent(at(400), 2, 0);
    gate.on_answered(at(450), WINDOW, 2, 0);
    assert_eq!(
        gate.closed_until(at(5_000), WINDOW),
        None,
        "an offer of another use case may stay unanswered"
    );
}
