//! Values, positions and messages of errors in settings files, and arbitrary text.

use mulleinhub_interface::Duration;
use mulleinhub_settings::{Bytes, Diagnostics, Fraction, Range, Scope, parse_text};
use proptest::prelude::*;

fn read(text: &str) -> (Option<Duration>, Vec<u64>, Diagnostics) {
    let mut diagnostics = Diagnostics::default();
    let directives = parse_text("test.conf", text, &mut diagnostics);
    let file_start = mulleinhub_settings::SourceSpan { file: 0, bytes: 0..0 };
    let mut scope = Scope::new(&directives, file_start);
    let reconnect = scope.required("reconnect", &mut diagnostics);
    let mut sizes = Vec::new();
    for block in scope.each("machine") {
        let mut inner = Scope::of(block);
        sizes.extend(inner.required::<Bytes>("memory", &mut diagnostics).map(|bytes| bytes.0));
        inner.optional_or("share", Fraction(0.5), &mut diagnostics);
        inner.optional::<Range<Duration>>("life", &mut diagnostics);
        inner.finish(&mut diagnostics);
    }
    scope.finish(&mut diagnostics);
    (reconnect, sizes, diagnostics)
}

#[test]
fn parses_directives_and_values() {
    let (reconnect, sizes, diagnostics) =
        read("reconnect 600ms # soon\nmachine \"m 1\" {\n  memory 64GiB\n  share 50%\n  life 2s..1min\n}\n");
    assert!(diagnostics.is_empty(), "{}", diagnostics.render());
    assert_eq!((reconnect, sizes), (Some(Duration::from_nanos(600_000_000)), vec![64 << 30]));
}

#[test]
fn reports_all_errors_with_positions() {
    let (_, _, diagnostics) =
        read("reconect 5s\nmachine m1 {\n  memory 64Gib\n  share 1.5\n  life 3s..2s\n}\n}\n");
    let text = diagnostics.render();
    for (message, position) in [
        ("reconnect is missing", "test.conf:1:1"),
        ("unknown directive reconect", "test.conf:1:1"),
        ("did you mean reconnect?", ""),
        ("\"Gib\" is no unit of bytes", "test.conf:3:10"),
        ("a part from 0 to 1", "test.conf:4:9"),
        ("the range ends before it begins", "test.conf:5:8"),
        ("a closing brace too many", "test.conf:7:1"),
    ] {
        assert!(text.contains(message) && text.contains(position), "{message} at {position}:\n{text}");
    }
}

#[test]
fn rejects_malformed_lines_and_values() {
    for (text, message) in [
        ("reconnect \"5s\n", "a quote that is not closed"),
        ("reconnect 5s\nmachine m1 {\n memory 1GiB\n", "a block that is never closed"),
        ("reconnect 5\n", "needs a unit: 5ms or 5s?"),
        ("reconnect 5s 6s\n", "takes no more arguments"),
        ("reconnect 5s\nreconnect 6s\n", "for the second time"),
        ("reconnect\n", "lacks an argument"),
        ("reconnect 5s\ninclude \"nowhere.conf\"\n", "nowhere.conf"),
    ] {
        let rendered = read(text).2.render();
        assert!(rendered.contains(message), "{text:?}: {rendered}");
    }
}

proptest! {
    #[test]
    fn arbitrary_text_gives_errors_within_it(text in "[a-z0-9 {}\"#\\\\\n.%]{0,200}") {
        let (_, _, diagnostics) = read(&text);
        for diagnostic in &diagnostics.list {
            prop_assert!(diagnostic.span.file < diagnostics.sources.0.len());
            prop_assert!(diagnostic.span.bytes.end <= diagnostics.sources.0[diagnostic.span.file].1.len());
        }
        diagnostics.render();
    }
}
