//! Columns between several schedulers: copied, summed up, forked, restored; and what a peer can't put into
//! one.

use mulleinhub_replicated_log::{
    Announced, Balance, Change, Entry, Kept, LogHead, LogId, LogStore, Name, Order, Parts, READS_WORK_LOGS,
    ShareTransfer, State, Subject, TAKEN_BACK, Word, Work,
};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const PIECE: usize = 64 * 1024;

fn id(writer: &str, life: u64) -> LogId {
    LogId { writer: writer.into(), life }
}

fn opened(writer: &str, life: u64) -> LogStore {
    let mut library = LogStore::new(id(writer, life));
    let state = library.taken_over();
    let number = library.open(state);
    library.is_durable(number);
    library
}

fn spent(library: &mut LogStore, spent: u64) -> u64 {
    let purse = Balance { drawn: Parts { open: spent + 10, last: 0 }, spent, ..Balance::default() };
    let number = library.write(&Entry::Balance { team: "pay".into(), month: 1, purse });
    library.is_durable(number);
    number
}

fn gave(library: &mut LogStore, to: &str, open: u64) -> u64 {
    let gift = ShareTransfer { team: "pay".into(), month: 1, to: to.into(), life: 1 };
    let number = library.write(&Entry::Gave { gift, parts: Parts { open, last: 0 } });
    library.is_durable(number);
    number
}

fn tips(library: &LogStore) -> Vec<LogHead> {
    library.tips_after(0).map(|(_, tip)| tip).collect()
}

/// One tells another all that it wants, as the exchange does.
fn tell(from: &LogStore, to: &mut LogStore) {
    for tip in tips(from) {
        while to.wants(&tip) {
            let (known, digest) = to.asks_after(&tip);
            let Some(piece) = from.rows_after(&tip.id, known, digest, PIECE) else { break };
            let rows: Vec<&[u8]> = piece.rows.iter().map(|row| &**row).collect();
            let taken = to.take(&tip.id, piece.after, piece.digest, &rows).expect("honest rows");
            if taken.new == 0 {
                break;
            }
        }
    }
}

/// What is on disk of a library.
fn kept(library: &mut LogStore, disk: &mut BTreeMap<(LogId, u64), Kept>) -> Vec<Kept> {
    for change in library.take_changes() {
        match change {
            Change::Row { id, number, before, bytes } => {
                let row = Kept { id: id.clone(), number, before, bytes: bytes.to_vec() };
                disk.insert((id, number), row);
            }
            Change::Trim { id, below } => disk.retain(|(of, number), _| *of != id || *number >= below),
            Change::Drop { id } => disk.retain(|(of, _), _| *of != id),
        }
    }
    disk.values().cloned().collect()
}

#[test]
fn what_is_not_on_disk_is_told_to_nobody() {
    let mut one = opened("one", 1);
    let mut two = opened("two", 1);
    let purse = Balance { spent: 7, ..Balance::default() };
    let number = one.write(&Entry::Balance { team: "pay".into(), month: 1, purse });
    tell(&one, &mut two);
    assert_eq!(two.purse(&"one".into(), &"pay".into(), 1).spent, 0);
    one.is_durable(number);
    tell(&one, &mut two);
    assert_eq!(two.purse(&"one".into(), &"pay".into(), 1).spent, 7);
}

#[test]
fn a_life_goes_on_from_what_is_known_of_the_one_before() {
    let mut one = opened("one", 1);
    let mut two = opened("two", 1);
    spent(&mut one, 40);
    tell(&one, &mut two);
    // It comes back without its disk, and learns from the other.
    let mut again = LogStore::new(id("one", 2));
    tell(&two, &mut again);
    let state = again.taken_over();
    assert_eq!(state.before.map(|before| (before.life, before.number)), Some((1, 2)));
    let number = again.open(state);
    again.is_durable(number);
    tell(&again, &mut two);
    assert_eq!(two.purse(&"one".into(), &"pay".into(), 1).spent, 40);
    // Rows of the former life that turn up later count, too.
    spent(&mut one, 65);
    tell(&one, &mut two);
    assert_eq!(two.purse(&"one".into(), &"pay".into(), 1).spent, 65);
    tell(&two, &mut again);
    assert_eq!(again.purse(&"one".into(), &"pay".into(), 1).spent, 65);
}

#[test]
fn a_former_life_that_sums_up_after_it_was_taken_over_counts_once() {
    let mut one = opened("one", 1);
    let mut two = opened("two", 1);
    spent(&mut one, 40);
    gave(&mut one, "two", 7);
    tell(&one, &mut two);
    let mut again = LogStore::new(id("one", 2));
    tell(&two, &mut again);
    let number = again.open(again.taken_over());
    again.is_durable(number);
    tell(&again, &mut two);
    let state = one.column(&id("one", 1)).expect("is its own").state().clone();
    let number = one.write(&Entry::Sum(Box::new(state)));
    one.is_durable(number);
    tell(&one, &mut two);
    let seen = |two: &LogStore| {
        let gave = two.gave(&"one".into(), &"pay".into(), 1).open;
        (
            two.purse(&"one".into(), &"pay".into(), 1).spent,
            gave,
            two.got(&"two".into(), 1, &"pay".into(), 1).open,
        )
    };
    assert_eq!(seen(&two), (40, 7, 7));
    spent(&mut one, 65);
    tell(&one, &mut two);
    assert_eq!(seen(&two), (65, 7, 7), "what it wrote since counts, too");
}

#[test]
fn a_fork_counts_in_both_branches_wherever_it_is_heard_of_first() {
    let mut one = opened("one", 1);
    gave(&mut one, "two", 100);
    let mut disk = BTreeMap::new();
    let copy = kept(&mut one, &mut disk);
    // The same life goes on twice from one copy.
    let mut twin = LogStore::new(id("one", 1));
    twin.restore(copy);
    twin.is_durable(2);
    gave(&mut one, "two", 150);
    gave(&mut twin, "three", 70);
    gave(&mut twin, "three", 90);
    let sum = |library: &LogStore| library.gave(&"one".into(), &"pay".into(), 1).open;
    let [mut four, mut five] = ["four", "five"].map(|name| opened(name, 1));
    for (first, second, library) in [(&one, &twin, &mut four), (&twin, &one, &mut five)] {
        tell(first, library);
        tell(second, library);
        assert!(library.column(&id("one", 1)).expect("is known").is_forked());
        assert_eq!(sum(library), 240);
        assert_eq!(library.got(&"two".into(), 1, &"pay".into(), 1).open, 150);
        assert_eq!(library.got(&"three".into(), 1, &"pay".into(), 1).open, 90);
    }
}

#[test]
fn rows_that_do_not_chain_or_take_back_what_was_said_enter_nothing() {
    let mut one = opened("one", 1);
    spent(&mut one, 40);
    let mut two = opened("two", 1);
    tell(&one, &mut two);
    let before = two.all();
    let of = id("one", 1);
    let (number, digest) = two.known_of(&of);
    let row = |spent| {
        let purse = Balance { spent, ..Balance::default() };
        Entry::Balance { team: "pay".into(), month: 1, purse }.bytes()
    };
    let (less, more) = (row(39), row(41));
    for (after, digest, rows, why) in [
        (number, digest, vec![&less[..]], "goes back"),
        (number, digest, vec![&[0, 3, 0xff][..]], "can't be read"),
        (number, mulleinhub_replicated_log::Digest::default(), vec![&more[..]], "don't chain"),
    ] {
        let bad = two.take(&of, after, digest, &rows).expect_err("it is wrong");
        assert!(bad.0.contains(why), "{bad}");
    }
    let unknown = id("nine", 1);
    assert!(two.take(&unknown, 0, digest, &[&more]).is_err(), "a column begins with its own name");
    let first = mulleinhub_replicated_log::Digest::first(&unknown);
    assert!(two.take(&unknown, 0, first, &[&more]).is_err(), "and with a sum");
    assert!(two.column(&unknown).is_none());
    assert!(two.take(&id("two", 1), 1, digest, &[&more]).is_err(), "rows of our own that we never wrote");
    assert_eq!(two.all(), before);
}

#[test]
fn rows_of_a_later_kind_are_kept_and_handed_on_unread() {
    let mut one = opened("one", 1);
    let number = one.write(&Entry::Unread(vec![0x7f, 0xff, 1, 2, 3]));
    one.is_durable(number);
    let number = spent(&mut one, 5);
    let mut two = opened("two", 1);
    let mut three = opened("three", 1);
    tell(&one, &mut two);
    tell(&two, &mut three);
    assert_eq!(three.known_of(&id("one", 1)).0, number);
    assert_eq!(three.known_of(&id("one", 1)), one.known_of(&id("one", 1)));
    assert_eq!(three.purse(&"one".into(), &"pay".into(), 1).spent, 5);
}

fn work(since: u64) -> Work {
    Work { team: "pay".into(), rate: 20, since }
}

fn announces(library: &mut LogStore, life: u64, number: u64, keys: &[u64]) {
    let work = keys.iter().map(|key| (*key, work(*key))).collect();
    let number = library.write(&Entry::Announced { of: id("dead", life), number, work });
    library.is_durable(number);
}

fn announced(library: &LogStore) -> Option<(u64, u64, Vec<u64>)> {
    let announced = library.state_of(&"one".into())?.announced.get("dead")?;
    Some((announced.life, announced.number, announced.work.keys().copied().collect()))
}

#[test]
fn what_was_announced_is_replaced_by_a_later_number_and_taken_back() {
    let mut one = opened("one", 1);
    let mut two = opened("two", 1);
    announces(&mut one, 4, 9, &[1, 2]);
    announces(&mut one, 4, 9, &[3]);
    tell(&one, &mut two);
    assert_eq!(announced(&two), Some((4, 9, vec![1, 2, 3])), "rows of one number go on");
    announces(&mut one, 4, 12, &[3, 5]);
    tell(&one, &mut two);
    assert_eq!(announced(&two), Some((4, 12, vec![3, 5])));
    // Summed up, and taken over by the next life.
    for n in 0..3_000 {
        spent(&mut one, n);
    }
    let mut late = opened("late", 1);
    tell(&one, &mut late);
    assert_eq!(announced(&late), Some((4, 12, vec![3, 5])));
    let mut next = LogStore::new(id("one", 2));
    tell(&late, &mut next);
    assert_eq!(next.taken_over().announced.len(), 1);
    announces(&mut one, 4, TAKEN_BACK, &[]);
    tell(&one, &mut two);
    assert_eq!(announced(&two), None);
}

/// A state as the version before the work logs reads it.
#[derive(Debug, PartialEq, minicbor::Decode)]
struct Earlier {
    #[n(3)]
    month: u32,
    #[n(12)]
    again: BTreeSet<u64>,
    #[n(13)]
    done: BTreeMap<u64, u64>,
}

#[test]
fn a_sum_is_read_by_the_version_before_and_one_of_that_version_by_us() {
    let mut state = State { month: 7, forms: READS_WORK_LOGS, ..State::default() };
    state.announced.insert("dead".into(), Announced { life: 4, number: 9, work: [(1, work(1))].into() });
    state.done.insert(3, 9);
    let bytes = minicbor::to_vec(&state).expect("a vector takes all");
    let earlier: Earlier = minicbor::decode(&bytes).expect("it leaves out what it doesn't know");
    assert_eq!(earlier, Earlier { month: 7, again: BTreeSet::new(), done: [(3, 9)].into() });
    // Fourteen fields, as it writes them.
    let fourteen =
        minicbor::to_vec(State { announced: BTreeMap::new(), forms: 0, ..state }).expect("is taken");
    let mut fourteen = fourteen[..fourteen.len() - 2].to_vec();
    assert_eq!(fourteen[0], 0x80 | 16, "an array of sixteen");
    fourteen[0] = 0x80 | 14;
    let read: State = minicbor::decode(&fourteen).expect("what is missing is nothing");
    assert_eq!((read.month, read.forms, read.reads_work_logs()), (7, 0, false));
}

#[test]
fn lives_that_are_taken_over_whole_are_dropped_and_others_are_kept() {
    let mut one = opened("one", 1);
    spent(&mut one, 5);
    let mut holder = opened("two", 1);
    tell(&one, &mut holder);
    // It knew all of its last life.
    let mut next = LogStore::new(id("one", 2));
    tell(&one, &mut next);
    let state = next.taken_over();
    let number = next.open(state);
    next.is_durable(number);
    next.drop_taken_over();
    assert!(next.column(&id("one", 1)).is_none() && next.column(&id("one", 2)).is_some());
    // A row that the next life didn't know of stays until one after it.
    let number = spent(&mut one, 6);
    tell(&one, &mut holder);
    tell(&next, &mut holder);
    holder.drop_taken_over();
    assert_eq!(holder.known_of(&id("one", 1)).0, number);
    let before = holder.all();
    holder.drop_writer(&"one".into());
    assert!(holder.column(&id("one", 1)).is_none() && holder.column(&id("one", 2)).is_none());
    assert!(holder.all() != before && holder.tips_after(0).all(|(_, tip)| &*tip.id.writer == "two"));
}

#[test]
fn many_rows_are_summed_up_and_whoever_comes_late_gets_the_sum() {
    let mut one = opened("one", 1);
    let mut two = opened("two", 1);
    let mut most = 0;
    for n in 0..6_000 {
        spent(&mut one, n);
        if n % 500 == 0 {
            tell(&one, &mut two);
        }
        most = most.max(one.column(&id("one", 1)).expect("is open").kept());
    }
    assert!(most <= 2_049, "{most} rows are kept");
    let mut late = opened("late", 1);
    tell(&one, &mut two);
    tell(&two, &mut late);
    for library in [&two, &late] {
        assert_eq!(library.known_of(&id("one", 1)), one.known_of(&id("one", 1)));
        assert_eq!(library.purse(&"one".into(), &"pay".into(), 1).spent, 5_999);
    }
}

#[test]
fn a_sum_that_says_otherwise_than_the_rows_before_it_is_not_taken() {
    let mut one = opened("one", 1);
    spent(&mut one, 40);
    let mut two = opened("two", 1);
    tell(&one, &mut two);
    let of = id("one", 1);
    let mut state = one.column(&of).expect("is open").state().clone();
    state.purses.values_mut().for_each(|purse| purse.spent = 90);
    let (number, digest) = two.known_of(&of);
    let bad = two.take(&of, number, digest, &[&Entry::Sum(Box::new(state)).bytes()]).expect_err("it lies");
    assert!(bad.0.contains("differs from the rows"), "{bad}");
}

/// Counted over a year of months: what is kept is bounded by teams, what runs, and open months.
#[test]
fn a_year_of_months_folds_away() {
    let mut one = opened("one", 1);
    let mut two = opened("two", 1);
    let mut sizes = Vec::new();
    for month in 1..=14u32 {
        one.write(&Entry::Month(month));
        for n in 0..1_500u64 {
            let work = vec![(u64::from(month) << 32 | n, Name::from("pay"), 3)];
            one.write(&Entry::Began { at: 0, work: work.clone() });
            one.write(&Entry::Over { at: 0, work: vec![(work[0].0, false)] });
            let purse = Balance { spent: n, ..Balance::default() };
            let number = one.write(&Entry::Balance { team: "pay".into(), month, purse });
            one.is_durable(number);
        }
        tell(&one, &mut two);
        let state = one.column(&id("one", 1)).expect("is open").state();
        let rows = two.column(&id("one", 1)).expect("is known").kept();
        sizes.push((state.purses.len(), state.running.len(), state.closed.len(), rows));
    }
    for (purses, running, closed, rows) in sizes {
        assert!(purses <= 2 && running == 0 && closed <= 13 && rows <= 2_049, "{purses} {closed} {rows}");
    }
    let closed = &two.state_of(&"one".into()).expect("is known").closed;
    assert_eq!(closed.get(&("pay".into(), 3)), Some(&1_499));
}

#[test]
fn what_was_kept_comes_back_and_a_damaged_row_ends_its_column_there() {
    let mut one = opened("one", 1);
    for n in 1..20 {
        spent(&mut one, n);
    }
    let mut disk = BTreeMap::new();
    let rows = kept(&mut one, &mut disk);
    let mut again = LogStore::new(id("one", 2));
    assert_eq!(again.restore(rows.clone()), Vec::<String>::new());
    assert_eq!(again.known_of(&id("one", 1)), one.known_of(&id("one", 1)));
    for at in 0..rows.len() {
        for flipped in 0..rows[at].bytes.len() {
            let mut rows = rows.clone();
            rows[at].bytes[flipped] ^= 0x10;
            let mut damaged = LogStore::new(id("one", 2));
            let words = damaged.restore(rows);
            let (known, _) = damaged.known_of(&id("one", 1));
            // A change in the last row alone can't be seen here: its digest is with the others.
            assert!(words.len() == 1 || at == 19, "row {}, byte {flipped}: {words:?}", at + 1);
            assert!(known <= at as u64 + 1, "{known} rows are known, row {} is damaged", at + 1);
        }
        let mut cut = rows.clone();
        cut.remove(at);
        let mut damaged = LogStore::new(id("one", 2));
        let words = damaged.restore(cut);
        assert!(words.len() == 1 || at == 19 || at == 0, "without row {}: {words:?}", at + 1);
    }
}

#[test]
fn orders_come_with_rows_and_are_taken_over_by_the_next_life() {
    let mut one = opened("one", 1);
    let subject = Subject::Team("pay".into());
    let order = Order { subject: subject.clone(), number: 4, word: Word::Cap { amount: 9 } };
    let number = one.write(&Entry::Heard(order.clone()));
    one.is_durable(number);
    let mut two = opened("two", 1);
    tell(&one, &mut two);
    assert_eq!(two.orders().get(&subject), Some(order.standing()));
    let mut again = LogStore::new(id("one", 2));
    tell(&two, &mut again);
    assert_eq!(again.taken_over().orders.get(&subject), Some(&order.standing()));
}

proptest! {
    /// Three write and tell each other in whatever order, with losses: once all have told all, they know
    /// the same.
    #[test]
    fn whatever_the_order_of_telling_all_come_to_the_same(
        steps in proptest::collection::vec((0usize..3, 0usize..4, any::<u8>()), 1..120),
    ) {
        let names = ["one", "two", "three"];
        let mut all = names.map(|name| opened(name, 1));
        let mut spents = [0u64; 3];
        let mut gifts = [0u64; 3];
        for (who, what, more) in steps {
            match what {
                0 => {
                    spents[who] += u64::from(more);
                    spent(&mut all[who], spents[who]);
                }
                1 => {
                    gifts[who] += u64::from(more);
                    gave(&mut all[who], names[(who + 1) % 3], gifts[who]);
                }
                _ => {
                    let to = (who + 1 + usize::from(more) % 2) % 3;
                    let [from, to] = all.get_disjoint_mut([who, to]).expect("two of them");
                    tell(from, to);
                }
            }
        }
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
                let [from, to] = all.get_disjoint_mut([from, to]).expect("two of them");
                tell(from, to);
            }
        }
        for library in &all {
            prop_assert_eq!(library.all(), all[0].all());
            for (at, name) in names.iter().enumerate() {
                let name = Name::from(*name);
                prop_assert_eq!(library.purse(&name, &"pay".into(), 1).spent, spents[at]);
                prop_assert_eq!(library.gave(&name, &"pay".into(), 1).open, gifts[at]);
            }
        }
    }
}
