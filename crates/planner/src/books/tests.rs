use super::*;

#[test]
fn orders_are_read_and_faults_are_told_with_line_and_cause() {
    let text = "cap pay 3 500000\nhold acme 4 finish-by 1790000000 # till spring\nclear acme 5\n";
    let orders = parse_orders("orders", text).expect("they are fine");
    assert_eq!(orders.len(), 3);
    assert_eq!(orders[1].word, Word::Held { finish_by: Some(1_790_000_000) });
    let words =
        parse_orders("orders", "cap pay 3\nhodl acme 4\nclear acme 5 6\n").expect_err("they are faulty");
    for part in ["orders:1:", "cap lacks an argument", "orders:2:", "unknown order hodl", "orders:3:"] {
        assert!(words.contains(part), "{part}: {words}");
    }
}
