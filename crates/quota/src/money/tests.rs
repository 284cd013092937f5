use super::*;

#[test]
fn short_durations_accrue_as_much_as_a_long_one() {
    let (mut sum, mut carried) = (0, 0);
    for _ in 0..1_000 {
        let (more, left) = accrued(7, Duration::from_nanos(33_333_333), carried);
        (sum, carried) = (sum + more, left);
    }
    assert_eq!(sum, accrued(7, Duration::from_nanos(33_333_333_000), 0).0);
}

#[test]
fn worker_rate_is_rounded_up() {
    let prices = Prices { core_second: 10, memory_second: 3 };
    assert_eq!(prices.rate(Resources::new(0.5, 1.1)), 9);
    assert_eq!(Prices::default().rate(Resources::new(4.0, 4.0)), 1);
}
