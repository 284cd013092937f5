use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

#[test]
fn input_read_after_a_pause_counts_the_pause_as_queueing_time() {
    let mut detector = PauseDetector::default();
    assert!(!detector.begin_iteration(at(0)));
    detector.end_iteration(Some(at(100)));
    let read = (at(3_100), detector.iterations());
    assert!(detector.begin_iteration(at(3_100)));
    assert_eq!(detector.queued_for(at(3_100), read), Duration::from_secs(3));
    detector.end_iteration(Some(at(3_200)));
    let read = (at(3_110), detector.iterations());
    assert!(!detector.begin_iteration(at(3_110)));
    assert_eq!(detector.queued_for(at(3_115), read), Duration::from_nanos(5_000_000));
}
