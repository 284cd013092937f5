use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_nanos(ms * 1_000_000)
}

#[test]
fn what_was_read_after_a_standstill_lay_for_all_of_it_and_what_comes_later_did_not() {
    let mut stood = PauseDetector::default();
    assert!(!stood.begin(at(0)));
    stood.end(Some(at(100)));
    let read = (at(3_100), stood.turns());
    assert!(stood.begin(at(3_100)));
    assert_eq!(stood.lay(at(3_100), read), Duration::from_secs(3));
    stood.end(Some(at(3_200)));
    let read = (at(3_110), stood.turns());
    assert!(!stood.begin(at(3_110)));
    assert_eq!(stood.lay(at(3_115), read), Duration::from_nanos(5_000_000));
}
