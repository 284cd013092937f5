//! What a person is told about files that are wrong, and that no text can do harm.

use mulleinhub_interface::Duration;
use mulleinhub_settings::{Bytes, Faults, Range, Scope, Share, parse_text};
use proptest::prelude::*;

fn read(text: &str) -> (Option<Duration>, Vec<u64>, Faults) {
    let mut faults = Faults::default();
    let directives = parse_text("test.conf", text, &mut faults);
    let place = mulleinhub_settings::Place { file: 0, bytes: 0..0 };
    let mut scope = Scope::new(&directives, place);
    let reconnect = scope.must("reconnect", &mut faults);
    let mut sizes = Vec::new();
    for block in scope.each("machine") {
        let mut inner = Scope::of(block);
        sizes.extend(inner.must::<Bytes>("memory", &mut faults).map(|bytes| bytes.0));
        inner.or("share", Share(0.5), &mut faults);
        inner.maybe::<Range<Duration>>("life", &mut faults);
        inner.finish(&mut faults);
    }
    scope.finish(&mut faults);
    (reconnect, sizes, faults)
}

#[test]
fn directives_blocks_quotes_comments_and_units_are_read() {
    let (reconnect, sizes, faults) =
        read("reconnect 600ms # soon\nmachine \"m 1\" {\n  memory 64GiB\n  share 50%\n  life 2s..1min\n}\n");
    assert!(faults.is_empty(), "{}", faults.render());
    assert_eq!((reconnect, sizes), (Some(Duration::from_nanos(600_000_000)), vec![64 << 30]));
}

#[test]
fn all_faults_are_told_at_once_each_with_its_place() {
    let (_, _, faults) =
        read("reconect 5s\nmachine m1 {\n  memory 64Gib\n  share 1.5\n  life 3s..2s\n}\n}\n");
    let text = faults.render();
    for (words, place) in [
        ("reconnect is missing", "test.conf:1:1"),
        ("unknown directive reconect", "test.conf:1:1"),
        ("did you mean reconnect?", ""),
        ("\"Gib\" is no unit of bytes", "test.conf:3:10"),
        ("a part from 0 to 1", "test.conf:4:9"),
        ("the range ends before it begins", "test.conf:5:8"),
        ("a closing brace too many", "test.conf:7:1"),
    ] {
        assert!(text.contains(words) && text.contains(place), "{words} at {place}:\n{text}");
    }
}

#[test]
fn open_quotes_and_blocks_and_missing_units_are_faults() {
    for (text, words) in [
        ("reconnect \"5s\n", "a quote that is not closed"),
        ("reconnect 5s\nmachine m1 {\n memory 1GiB\n", "a block that is never closed"),
        ("reconnect 5\n", "needs a unit: 5ms or 5s?"),
        ("reconnect 5s 6s\n", "takes no more arguments"),
        ("reconnect 5s\nreconnect 6s\n", "for the second time"),
        ("reconnect\n", "lacks an argument"),
        ("reconnect 5s\ninclude \"nowhere.conf\"\n", "nowhere.conf"),
    ] {
        let told = read(text).2.render();
        assert!(told.contains(words), "{text:?}: {told}");
    }
}

proptest! {
    #[test]
    fn no_text_panics_and_every_fault_has_a_place_in_it(text in "[a-z0-9 {}\"#\\\\\n.%]{0,200}") {
        let (_, _, faults) = read(&text);
        for fault in &faults.list {
            prop_assert!(fault.place.file < faults.sources.0.len());
            prop_assert!(fault.place.bytes.end <= faults.sources.0[fault.place.file].1.len());
        }
        faults.render();
    }
}
