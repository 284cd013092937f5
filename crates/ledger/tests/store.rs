//! The store on disk: what is kept comes back, and every kind of broken store is told in words.

#![cfg(not(feature = "explored"))]

use mulleinhub_ledger::Store;
use mulleinhub_replicated_log::{
    Balance, Digest, Entry, LogChange, LogChanges, LogId, LogState, LogStore, PersistedEntry, PersistedLogs,
};
use std::path::Path;

/// A row as it lies on disk.
type Place = (&'static str, u64, u64);
type Bytes = (&'static [u8; 16], &'static [u8]);

fn row(number: u64) -> LogChange {
    let id = LogId { writer: "one".into(), incarnation: 7 };
    LogChange::Append { id, number, before: Digest([number as u8; 16]), bytes: vec![number as u8; 40].into() }
}

fn numbers(kept: &[PersistedEntry]) -> Vec<u64> {
    kept.iter().map(|kept| kept.number).collect()
}

fn begun(dir: &Path) -> Store {
    Store::open(dir).expect("a fresh one").0
}

#[test]
fn what_is_kept_comes_back_without_what_was_trimmed_and_dropped() {
    let dir = tempfile::tempdir().expect("a directory");
    let store = begun(dir.path());
    let other = LogId { writer: "two".into(), incarnation: 1 };
    let of_other = LogChange::Append {
        id: other.clone(),
        number: 1,
        before: Digest::default(),
        bytes: [1, 2][..].into(),
    };
    store.keep(&vec![row(1), row(2), row(3), of_other.clone()].into()).expect("there is room");
    let id = LogId { writer: "one".into(), incarnation: 7 };
    store
        .keep(&vec![row(4), LogChange::Trim { id, below: 3 }, LogChange::Drop { id: other }].into())
        .expect("there is room");
    drop(store);
    let (store, PersistedLogs { fleet: kept, work }) = Store::open(dir.path()).expect("it is whole");
    assert!(work.is_empty());
    assert_eq!(numbers(&kept), [3, 4]);
    assert_eq!((kept[0].before, &kept[0].bytes), (Digest([3; 16]), &vec![3; 40]));
    store.keep(&vec![of_other].into()).expect("there is room");
}

/// Rows of work logs stand apart from those of fleet logs, of the same writer and life, too; a version that
/// knows no work logs reads and writes the others beside them.
#[test]
fn rows_of_both_kinds_of_logs_are_kept_apart() {
    let dir = tempfile::tempdir().expect("a directory");
    let store = begun(dir.path());
    let id = LogId { writer: "one".into(), incarnation: 7 };
    let changes = LogChanges { fleet: vec![row(1), row(2)], work: vec![row(1), row(2), row(3)] };
    store.keep(&changes).expect("there is room");
    let trims = vec![LogChange::Trim { id: id.clone(), below: 3 }];
    store.keep(&LogChanges { fleet: Vec::new(), work: trims }).expect("there is room");
    drop(store);
    let database = redb::Database::open(dir.path().join("books")).expect("it is whole");
    let writing = database.begin_write().expect("it is ours");
    let rows: redb::TableDefinition<'_, Place, Bytes> = redb::TableDefinition::new("rows");
    writing.open_table(rows).expect("a table").insert(("one", 7, 3), (&[3; 16], &[3; 40][..])).expect("room");
    writing.commit().expect("there is room");
    drop(database);
    let (store, kept) = Store::open(dir.path()).expect("it is whole");
    assert_eq!((numbers(&kept.fleet), numbers(&kept.work)), (vec![1, 2, 3], vec![3]));
    store.keep(&LogChanges { fleet: Vec::new(), work: vec![LogChange::Drop { id }] }).expect("there is room");
    drop(store);
    let (_, kept) = Store::open(dir.path()).expect("it is whole");
    assert_eq!((numbers(&kept.fleet), numbers(&kept.work)), (vec![1, 2, 3], vec![]));
}

#[test]
fn a_store_that_another_process_has_open_is_told() {
    let dir = tempfile::tempdir().expect("a directory");
    let _store = begun(dir.path());
    let words = Store::open(dir.path()).err().expect("it is locked");
    assert!(words.contains("another process has these books open"), "{words}");
}

#[test]
fn a_store_of_a_later_format_is_told_and_not_touched() {
    let dir = tempfile::tempdir().expect("a directory");
    let path = dir.path().join("books");
    let database = redb::Database::create(&path).expect("a fresh one");
    let writing = database.begin_write().expect("it is ours");
    let about: redb::TableDefinition<'_, &str, u64> = redb::TableDefinition::new("about");
    writing.open_table(about).expect("a table").insert("format", 9).expect("there is room");
    writing.commit().expect("there is room");
    drop(database);
    for _ in 0..2 {
        let words = Store::open(dir.path()).err().expect("it is later");
        assert!(words.contains("of format 9") && words.contains("start the version"), "{words}");
    }
}

#[test]
fn a_store_that_is_none_and_a_directory_that_is_not_there_are_told() {
    let dir = tempfile::tempdir().expect("a directory");
    std::fs::write(dir.path().join("books"), [7; 9_000]).expect("a file");
    let words = Store::open(dir.path()).err().expect("it is none");
    assert!(words.contains("damaged") && words.contains("move the file away"), "{words}");
    let words = Store::open(&dir.path().join("nowhere")).err().expect("it is not there");
    assert!(words.contains("can't be opened"), "{words}");
}

/// Wherever a store is cut or changed: what it opens with chains to what was written, or it says that it is
/// damaged.
#[test]
fn a_damaged_store_opens_with_true_rows_or_is_told() {
    let dir = tempfile::tempdir().expect("a directory");
    let store = begun(dir.path());
    let id = LogId { writer: "one".into(), incarnation: 7 };
    let mut library = LogStore::new(id.clone());
    library.open(LogState::default());
    for spent in 1..=30 {
        let purse = Balance { spent, ..Balance::default() };
        library.write(&Entry::Balance { team: "pay".into(), month: 1, balance: purse });
        store.keep(&library.take_changes().into()).expect("there is room");
    }
    drop(store);
    let path = dir.path().join("books");
    let whole = std::fs::read(&path).expect("it is there");
    let (mut told, mut opened) = (0, 0);
    let mut look = |bytes: &[u8], what: String| {
        let dir = tempfile::tempdir().expect("a directory");
        std::fs::write(dir.path().join("books"), bytes).expect("a file");
        let looked = std::panic::catch_unwind(|| Store::open(dir.path()).map(|(_, kept)| kept.fleet));
        match looked.unwrap_or_else(|_| panic!("{what}: it must not panic")) {
            Ok(kept) => {
                let mut again = LogStore::new(LogId { incarnation: 8, ..id.clone() });
                again.restore(kept);
                let (number, digest) = again.known_head(&id);
                let written = library.log(&id).and_then(|column| column.digest_at(number));
                assert_eq!(written, Some(digest), "{what}: row {number} was never written");
                opened += 1;
            }
            Err(words) => {
                assert!(words.contains("move the file away"), "{what}: {words}");
                told += 1;
            }
        }
    };
    for at in (0..whole.len()).step_by(whole.len() / 60) {
        look(&whole[..at], format!("cut at {at}"));
    }
    for at in (0..whole.len()).step_by(whole.len() / 400) {
        let mut bytes = whole.clone();
        bytes[at] ^= 0x55;
        look(&bytes, format!("byte {at} changed"));
    }
    assert!(told > 0 && opened > 0, "{told} told, {opened} opened");
}
