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

fn read_block(lines: &str) -> Result<BooksConf, String> {
    let text = format!("books {{\n    member planner-1 127.0.0.1:7301 zone a region east\n{lines}\n}}\n");
    let mut faults = Faults::default();
    let directives = parse_text("planner.conf", &text, &mut faults);
    let read = read(&directives[0], "planner-1", &mut faults);
    read.filter(|_| faults.is_empty()).ok_or_else(|| faults.render())
}

#[test]
fn replicas_and_sites_are_read_and_shown_and_off_where_nothing_is_said() {
    let others = "    member planner-2 127.0.0.1:7302 region west\n    member planner-3 127.0.0.1:7303";
    let plain = read_block(others).expect("it is fine");
    assert_eq!(plain.settings.replicas, None);
    let conf = read_block(&format!("{others}\n    replicas 2")).expect("it is fine");
    assert_eq!(conf.settings.replicas, Some(2));
    let site = |zone: Option<&str>, region: Option<&str>| Site {
        zone: zone.map(Name::from),
        region: region.map(Name::from),
    };
    let wanted = [site(Some("a"), Some("east")), site(None, Some("west")), site(None, None)];
    assert!(conf.settings.locations.values().eq(&wanted), "{:?}", conf.settings.locations);
    assert!(conf.terms.show().contains("    replicas 2\n") && !plain.terms.show().contains("replicas"));
    assert_eq!(conf.terms.sites["planner-1"].show(), " zone a region east");
}

#[test]
fn faults_of_replicas_and_sites_are_told_with_line_and_cause() {
    let words =
        read_block("    member planner-2 127.0.0.1:7302 zone\n    replicas 9").expect_err("it is faulty");
    for part in ["planner.conf:3:", "member lacks an argument", "replicas must be 1 to 8"] {
        assert!(words.contains(part), "{part}: {words}");
    }
    let words =
        read_block("    member planner-2 127.0.0.1:7302 rack 4\n    replicas 0").expect_err("it is faulty");
    for part in ["planner.conf:3:", "takes no more arguments", "replicas must be 1 to 8"] {
        assert!(words.contains(part), "{part}: {words}");
    }
}
