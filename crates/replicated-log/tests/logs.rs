//! Logs replicated between several stores: copied, compacted, forked, restored; and entries of a peer that
//! are refused.

use mulleinhub_replicated_log::{
    ANNOUNCEMENT_WITHDRAWN, AnnouncedWork, Balance, DamagedLog, Digest, Directive, DirectiveAction, Entry,
    LogChange, LogError, LogHead, LogId, LogState, LogStore, Name, PersistedEntry, READS_WORK_LOGS,
    RunningWork, ShareTransfer, SplitAmount, Subject,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const MAX_BATCH_BYTES: usize = 64 * 1024;

fn id(writer: &str, incarnation: u64) -> LogId {
    LogId { writer: writer.into(), incarnation }
}

fn opened_store(writer: &str, incarnation: u64) -> LogStore {
    let mut store = LogStore::new(id(writer, incarnation));
    let state = store.inherited_state();
    let number = store.open(state);
    store.mark_durable(number);
    store
}

fn write_spent(store: &mut LogStore, spent: u64) -> u64 {
    let reserved = SplitAmount { open: spent + 10, running_only: 0 };
    let balance = Balance { reserved, spent, ..Balance::default() };
    let number = store.write(&Entry::Balance { team: "pay".into(), month: 1, balance });
    store.mark_durable(number);
    number
}

fn write_transfer(store: &mut LogStore, to: &str, open: u64) -> u64 {
    let transfer = ShareTransfer { team: "pay".into(), month: 1, to: to.into(), incarnation: 1 };
    let total = SplitAmount { open, running_only: 0 };
    let number = store.write(&Entry::Transferred { transfer, total });
    store.mark_durable(number);
    number
}

fn heads(store: &LogStore) -> Vec<LogHead> {
    store.heads_changed_since(0).map(|(_, head)| head).collect()
}

/// Sends a store all entries that it wants, as the exchange between schedulers does.
fn replicate(from: &LogStore, to: &mut LogStore) {
    for head in heads(from) {
        while to.wants(&head) {
            let (known, digest) = to.fetch_position(&head);
            let Some(batch) = from.entries_after(&head.id, known, digest, MAX_BATCH_BYTES) else { break };
            let entries: Vec<&[u8]> = batch.entries.iter().map(|entry| &**entry).collect();
            let appended = to.append_entries(&head.id, batch.after, batch.digest, &entries);
            let appended = appended.expect("entries of an honest writer");
            if appended.new == 0 {
                break;
            }
        }
    }
}

/// Applies the changes of a store to its disk; all that is on disk then.
fn persisted(store: &mut LogStore, disk: &mut BTreeMap<(LogId, u64), PersistedEntry>) -> Vec<PersistedEntry> {
    for change in store.take_changes() {
        match change {
            LogChange::Append { id, number, before, bytes } => {
                let entry = PersistedEntry { id: id.clone(), number, before, bytes: bytes.to_vec() };
                disk.insert((id, number), entry);
            }
            LogChange::Trim { id, below } => disk.retain(|(of, number), _| *of != id || *number >= below),
            LogChange::Drop { id } => disk.retain(|(of, _), _| *of != id),
        }
    }
    disk.values().cloned().collect()
}

#[test]
fn unpersisted_entry_is_not_announced() {
    let mut one = opened_store("one", 1);
    let mut two = opened_store("two", 1);
    let balance = Balance { spent: 7, ..Balance::default() };
    let number = one.write(&Entry::Balance { team: "pay".into(), month: 1, balance });
    replicate(&one, &mut two);
    assert_eq!(two.balance(&"one".into(), &"pay".into(), 1).spent, 0);
    one.mark_durable(number);
    replicate(&one, &mut two);
    assert_eq!(two.balance(&"one".into(), &"pay".into(), 1).spent, 7);
}

#[test]
fn new_incarnation_inherits_known_state() {
    let mut one = opened_store("one", 1);
    let mut two = opened_store("two", 1);
    write_spent(&mut one, 40);
    replicate(&one, &mut two);
    // It restarts without its disk, and learns from the other.
    let mut restarted = LogStore::new(id("one", 2));
    replicate(&two, &mut restarted);
    let state = restarted.inherited_state();
    assert_eq!(state.predecessor.map(|earlier| (earlier.incarnation, earlier.number)), Some((1, 2)));
    let number = restarted.open(state);
    restarted.mark_durable(number);
    replicate(&restarted, &mut two);
    assert_eq!(two.balance(&"one".into(), &"pay".into(), 1).spent, 40);
    // Entries of the earlier incarnation that arrive later count, too.
    write_spent(&mut one, 65);
    replicate(&one, &mut two);
    assert_eq!(two.balance(&"one".into(), &"pay".into(), 1).spent, 65);
    replicate(&two, &mut restarted);
    assert_eq!(restarted.balance(&"one".into(), &"pay".into(), 1).spent, 65);
}

#[test]
fn compacted_earlier_incarnation_is_counted_once() {
    let mut one = opened_store("one", 1);
    let mut two = opened_store("two", 1);
    write_spent(&mut one, 40);
    write_transfer(&mut one, "two", 7);
    replicate(&one, &mut two);
    let mut restarted = LogStore::new(id("one", 2));
    replicate(&two, &mut restarted);
    let number = restarted.open(restarted.inherited_state());
    restarted.mark_durable(number);
    replicate(&restarted, &mut two);
    let state = one.log(&id("one", 1)).expect("is its own").state().clone();
    let number = one.write(&Entry::Snapshot(Box::new(state)));
    one.mark_durable(number);
    replicate(&one, &mut two);
    let seen = |two: &LogStore| {
        let transferred_out = two.transferred_out(&"one".into(), &"pay".into(), 1).open;
        (
            two.balance(&"one".into(), &"pay".into(), 1).spent,
            transferred_out,
            two.transferred_in(&"two".into(), 1, &"pay".into(), 1).open,
        )
    };
    assert_eq!(seen(&two), (40, 7, 7));
    write_spent(&mut one, 65);
    replicate(&one, &mut two);
    assert_eq!(seen(&two), (65, 7, 7), "what it wrote since counts, too");
}

#[test]
fn forked_branches_both_count_in_any_order() {
    let mut one = opened_store("one", 1);
    write_transfer(&mut one, "two", 100);
    let mut disk = BTreeMap::new();
    let copy = persisted(&mut one, &mut disk);
    // The same incarnation continues twice from one copy.
    let mut twin = LogStore::new(id("one", 1));
    twin.restore(copy);
    twin.mark_durable(2);
    write_transfer(&mut one, "two", 150);
    write_transfer(&mut twin, "three", 70);
    write_transfer(&mut twin, "three", 90);
    let sum = |store: &LogStore| store.transferred_out(&"one".into(), &"pay".into(), 1).open;
    let [mut four, mut five] = ["four", "five"].map(|name| opened_store(name, 1));
    for (first, second, store) in [(&one, &twin, &mut four), (&twin, &one, &mut five)] {
        replicate(first, store);
        replicate(second, store);
        assert!(store.log(&id("one", 1)).expect("is known").is_forked());
        assert_eq!(sum(store), 240);
        assert_eq!(store.transferred_in(&"two".into(), 1, &"pay".into(), 1).open, 150);
        assert_eq!(store.transferred_in(&"three".into(), 1, &"pay".into(), 1).open, 90);
    }
}

#[test]
fn invalid_entries_are_refused_and_change_nothing() {
    let mut one = opened_store("one", 1);
    write_spent(&mut one, 40);
    let mut two = opened_store("two", 1);
    replicate(&one, &mut two);
    let before = two.heads_digest();
    let of = id("one", 1);
    let (number, digest) = two.known_head(&of);
    let entry = |spent| {
        let balance = Balance { spent, ..Balance::default() };
        Entry::Balance { team: "pay".into(), month: 1, balance }.bytes()
    };
    let (less, more) = (entry(39), entry(41));
    let refused = |two: &mut LogStore, digest: Digest, entry: &[u8], message: &str| {
        let error = two.append_entries(&of, number, digest, &[entry]).expect_err("it is invalid");
        assert!(error.to_string().contains(message), "{error}");
        error
    };
    assert_eq!(
        refused(&mut two, digest, &less, "goes back"),
        LogError::SpendingRegresses { team: "pay".into(), spent: 39, known: 40 }
    );
    assert!(matches!(refused(&mut two, digest, &[0, 3, 0xff], "can't be read"), LogError::Malformed(_)));
    assert_eq!(
        refused(&mut two, Digest::default(), &more, "don't chain"),
        LogError::BrokenChain { after: number }
    );
    let unknown = id("nine", 1);
    assert_eq!(two.append_entries(&unknown, 0, digest, &[&more]), Err(LogError::WrongFirstDigest));
    let first = Digest::first(&unknown);
    assert_eq!(
        two.append_entries(&unknown, 0, first, &[&more]),
        Err(LogError::MissingSnapshot { number: 1 })
    );
    assert!(two.log(&unknown).is_none());
    assert_eq!(
        two.append_entries(&id("two", 1), 1, digest, &[&more]),
        Err(LogError::UnknownOwnEntries),
        "entries of our own that we never wrote"
    );
    assert_eq!(two.heads_digest(), before);
}

#[test]
fn unknown_entry_kinds_are_stored_and_forwarded() {
    let mut one = opened_store("one", 1);
    let number = one.write(&Entry::Unknown(vec![0x7f, 0xff, 1, 2, 3]));
    one.mark_durable(number);
    let number = write_spent(&mut one, 5);
    let mut two = opened_store("two", 1);
    let mut three = opened_store("three", 1);
    replicate(&one, &mut two);
    replicate(&two, &mut three);
    assert_eq!(three.known_head(&id("one", 1)).0, number);
    assert_eq!(three.known_head(&id("one", 1)), one.known_head(&id("one", 1)));
    assert_eq!(three.balance(&"one".into(), &"pay".into(), 1).spent, 5);
}

fn work(since: u64) -> RunningWork {
    RunningWork { team: "pay".into(), rate: 20, since }
}

fn announces(store: &mut LogStore, incarnation: u64, number: u64, keys: &[u64]) {
    let work = keys.iter().map(|key| (*key, work(*key))).collect();
    let number = store.write(&Entry::Announced { of: id("dead", incarnation), number, work });
    store.mark_durable(number);
}

fn announced(store: &LogStore) -> Option<(u64, u64, Vec<u64>)> {
    let announced = store.latest_state(&"one".into())?.announced.get("dead")?;
    Some((announced.incarnation, announced.number, announced.work.keys().copied().collect()))
}

#[test]
fn announcement_is_extended_replaced_and_withdrawn() {
    let mut one = opened_store("one", 1);
    let mut two = opened_store("two", 1);
    announces(&mut one, 4, 9, &[1, 2]);
    announces(&mut one, 4, 9, &[3]);
    replicate(&one, &mut two);
    assert_eq!(announced(&two), Some((4, 9, vec![1, 2, 3])), "announcements of one number add to each other");
    announces(&mut one, 4, 12, &[3, 5]);
    replicate(&one, &mut two);
    assert_eq!(announced(&two), Some((4, 12, vec![3, 5])));
    // Compacted, and inherited by the next incarnation.
    for n in 0..3_000 {
        write_spent(&mut one, n);
    }
    let mut late = opened_store("late", 1);
    replicate(&one, &mut late);
    assert_eq!(announced(&late), Some((4, 12, vec![3, 5])));
    let mut next = LogStore::new(id("one", 2));
    replicate(&late, &mut next);
    assert_eq!(next.inherited_state().announced.len(), 1);
    announces(&mut one, 4, ANNOUNCEMENT_WITHDRAWN, &[]);
    replicate(&one, &mut two);
    assert_eq!(announced(&two), None);
}

/// Some fields of a state as the version before the work logs reads them.
#[derive(Debug, PartialEq, minicbor::Decode)]
struct PreviousState {
    #[n(3)]
    month: u32,
    #[n(12)]
    replacements: BTreeSet<u64>,
    #[n(13)]
    finished_replacements: BTreeMap<u64, u64>,
}

#[test]
fn snapshot_is_compatible_with_previous_version() {
    let mut state = LogState { month: 7, capabilities: READS_WORK_LOGS, ..LogState::default() };
    let announced = AnnouncedWork { incarnation: 4, number: 9, work: [(1, work(1))].into() };
    state.announced.insert("dead".into(), announced);
    state.finished_replacements.insert(3, 9);
    let bytes = minicbor::to_vec(&state).expect("writing to a vector can't fail");
    let previous: PreviousState = minicbor::decode(&bytes).expect("unknown fields are ignored");
    assert_eq!(
        previous,
        PreviousState { month: 7, replacements: BTreeSet::new(), finished_replacements: [(3, 9)].into() }
    );
    // Fourteen fields, as the previous version writes them.
    let state = LogState { announced: BTreeMap::new(), capabilities: 0, ..state };
    let bytes = minicbor::to_vec(state).expect("writing to a vector can't fail");
    let mut bytes = bytes[..bytes.len() - 2].to_vec();
    assert_eq!(bytes[0], 0x80 | 16, "an array of sixteen");
    bytes[0] = 0x80 | 14;
    let read: LogState = minicbor::decode(&bytes).expect("missing fields have defaults");
    assert_eq!((read.month, read.capabilities, read.reads_work_logs()), (7, 0, false));
}

#[test]
fn superseded_incarnations_are_dropped() {
    let mut one = opened_store("one", 1);
    write_spent(&mut one, 5);
    let mut holder = opened_store("two", 1);
    replicate(&one, &mut holder);
    // The new incarnation knew all of the last one.
    let mut next = LogStore::new(id("one", 2));
    replicate(&one, &mut next);
    let state = next.inherited_state();
    let number = next.open(state);
    next.mark_durable(number);
    next.drop_superseded();
    assert!(next.log(&id("one", 1)).is_none() && next.log(&id("one", 2)).is_some());
    // An entry that the next incarnation didn't know of stays until the one after it.
    let number = write_spent(&mut one, 6);
    replicate(&one, &mut holder);
    replicate(&next, &mut holder);
    holder.drop_superseded();
    assert_eq!(holder.known_head(&id("one", 1)).0, number);
    let before = holder.heads_digest();
    holder.drop_writer(&"one".into());
    assert!(holder.log(&id("one", 1)).is_none() && holder.log(&id("one", 2)).is_none());
    assert!(holder.heads_digest() != before);
    assert!(holder.heads_changed_since(0).all(|(_, head)| &*head.id.writer == "two"));
}

#[test]
fn long_log_is_compacted_and_late_copy_gets_snapshot() {
    let mut one = opened_store("one", 1);
    let mut two = opened_store("two", 1);
    let mut most = 0;
    for n in 0..6_000 {
        write_spent(&mut one, n);
        if n % 500 == 0 {
            replicate(&one, &mut two);
        }
        most = most.max(one.log(&id("one", 1)).expect("is open").retained());
    }
    assert!(most <= 2_049, "{most} entries are retained");
    let mut late = opened_store("late", 1);
    replicate(&one, &mut two);
    replicate(&two, &mut late);
    for store in [&two, &late] {
        assert_eq!(store.known_head(&id("one", 1)), one.known_head(&id("one", 1)));
        assert_eq!(store.balance(&"one".into(), &"pay".into(), 1).spent, 5_999);
    }
}

#[test]
fn snapshot_that_differs_from_entries_is_refused() {
    let mut one = opened_store("one", 1);
    write_spent(&mut one, 40);
    let mut two = opened_store("two", 1);
    replicate(&one, &mut two);
    let of = id("one", 1);
    let mut state = one.log(&of).expect("is open").state().clone();
    state.balances.values_mut().for_each(|balance| balance.spent = 90);
    let (number, digest) = two.known_head(&of);
    let snapshot = Entry::Snapshot(Box::new(state)).bytes();
    let error = two.append_entries(&of, number, digest, &[&snapshot]).expect_err("it is invalid");
    assert_eq!(error, LogError::SnapshotDiffers);
    assert!(error.to_string().contains("differs from the entries"), "{error}");
}

/// Over a year of months the state is bounded by teams, running work and open months.
#[test]
fn year_of_months_is_compacted() {
    let mut one = opened_store("one", 1);
    let mut two = opened_store("two", 1);
    let mut sizes = Vec::new();
    for month in 1..=14u32 {
        one.write(&Entry::Month(month));
        for n in 0..1_500u64 {
            let work = vec![(u64::from(month) << 32 | n, Name::from("pay"), 3)];
            one.write(&Entry::Started { at: 0, work: work.clone() });
            one.write(&Entry::Ended { at: 0, work: vec![(work[0].0, false)] });
            let balance = Balance { spent: n, ..Balance::default() };
            let number = one.write(&Entry::Balance { team: "pay".into(), month, balance });
            one.mark_durable(number);
        }
        replicate(&one, &mut two);
        let state = one.log(&id("one", 1)).expect("is open").state();
        let entries = two.log(&id("one", 1)).expect("is known").retained();
        sizes.push((state.balances.len(), state.running.len(), state.closed_months.len(), entries));
    }
    for (balances, running, closed_months, entries) in sizes {
        assert!(balances <= 2 && running == 0 && closed_months <= 13, "{balances} {closed_months}");
        assert!(entries <= 2_049, "{entries}");
    }
    let closed_months = &two.latest_state(&"one".into()).expect("is known").closed_months;
    assert_eq!(closed_months.get(&("pay".into(), 3)), Some(&1_499));
}

#[test]
fn restore_stops_at_damaged_entry() {
    let mut one = opened_store("one", 1);
    for n in 1..20 {
        write_spent(&mut one, n);
    }
    let mut disk = BTreeMap::new();
    let entries = persisted(&mut one, &mut disk);
    let mut restarted = LogStore::new(id("one", 2));
    assert_eq!(restarted.restore(entries.clone()), Vec::<DamagedLog>::new());
    assert_eq!(restarted.known_head(&id("one", 1)), one.known_head(&id("one", 1)));
    for at in 0..entries.len() {
        for flipped in 0..entries[at].bytes.len() {
            let mut entries = entries.clone();
            entries[at].bytes[flipped] ^= 0x10;
            let mut damaged = LogStore::new(id("one", 2));
            let reports = damaged.restore(entries);
            let (known, _) = damaged.known_head(&id("one", 1));
            // A change in the last entry can't be seen here: only other stores have its digest.
            assert!(reports.len() == 1 || at == 19, "entry {}, byte {flipped}: {reports:?}", at + 1);
            assert!(known <= at as u64 + 1, "{known} entries are known, entry {} is damaged", at + 1);
        }
        let mut cut = entries.clone();
        cut.remove(at);
        let mut damaged = LogStore::new(id("one", 2));
        let reports = damaged.restore(cut);
        assert!(reports.len() == 1 || at == 19 || at == 0, "without entry {}: {reports:?}", at + 1);
    }
}

#[test]
fn directives_are_replicated_and_inherited() {
    let mut one = opened_store("one", 1);
    let subject = Subject::Team("pay".into());
    let directive =
        Directive { subject: subject.clone(), number: 4, action: DirectiveAction::Cap { amount: 9 } };
    let number = one.write(&Entry::Directive(directive.clone()));
    one.mark_durable(number);
    let mut two = opened_store("two", 1);
    replicate(&one, &mut two);
    assert_eq!(two.directives().get(&subject), Some(directive.effective()));
    let mut restarted = LogStore::new(id("one", 2));
    replicate(&two, &mut restarted);
    assert_eq!(restarted.inherited_state().directives.get(&subject), Some(&directive.effective()));
}

proptest! {
    /// Three stores write and exchange entries in any order: once each has sent all to all, they know the
    /// same.
    #[test]
    fn stores_converge_in_any_exchange_order(
        steps in proptest::collection::vec((0usize..3, 0usize..4, any::<u8>()), 1..120),
    ) {
        let names = ["one", "two", "three"];
        let mut all = names.map(|name| opened_store(name, 1));
        let mut spent = [0u64; 3];
        let mut transferred = [0u64; 3];
        for (writer, action, amount) in steps {
            match action {
                0 => {
                    spent[writer] += u64::from(amount);
                    write_spent(&mut all[writer], spent[writer]);
                }
                1 => {
                    transferred[writer] += u64::from(amount);
                    write_transfer(&mut all[writer], names[(writer + 1) % 3], transferred[writer]);
                }
                _ => {
                    let to = (writer + 1 + usize::from(amount) % 2) % 3;
                    let [from, to] = all.get_disjoint_mut([writer, to]).expect("two different stores");
                    replicate(from, to);
                }
            }
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let [from, to] = all.get_disjoint_mut([from, to]).expect("two different stores");
                replicate(from, to);
            }
        }
        for store in &all {
            prop_assert_eq!(store.heads_digest(), all[0].heads_digest());
            for (at, name) in names.iter().enumerate() {
                let name = Name::from(*name);
                prop_assert_eq!(store.balance(&name, &"pay".into(), 1).spent, spent[at]);
                prop_assert_eq!(store.transferred_out(&name, &"pay".into(), 1).open, transferred[at]);
            }
        }
    }
}
