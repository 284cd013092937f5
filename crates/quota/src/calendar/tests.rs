use super::*;

#[test]
fn months_end_at_midnight_of_their_zone() {
    let calendar = Calendar::in_zone("Africa/Windhoek").expect("there is such a zone");
    let last = calendar.parse_instant("2026-10-31T23:59:59").expect("an instant");
    let month = calendar.month_at(last);
    assert_eq!((month.number, month.ends), (2026 * 12 + 9, last + 1_000));
    let next = calendar.month_at(month.ends);
    assert_eq!((next.number, next.begins), (month.number + 1, month.ends));
    // 22:00 in UTC is midnight there.
    assert_eq!(month.ends % 86_400_000, 22 * 3_600_000);
    let december = calendar.parse_instant("2026-12-15T00:00:00").expect("an instant");
    assert_eq!(calendar.month_at(calendar.month_at(december).ends).number, 2027 * 12);
    assert!(Calendar::in_zone("Africa/Nowhere").is_err() && calendar.parse_instant("soon").is_err());
}
