//! All columns that a scheduler knows: its own, which it alone writes, and copies of the others'.

use crate::Bad;
use crate::log::{Log, Pushed};
use crate::name::Name;
use crate::orders::{Orders, Standing, Subject};
use crate::row::{Digest, Entry, LogId};
use crate::state::{Balance, Before, Parts, ShareTransfer, State};
use crate::touched::{Touch, TouchedTeams, took_all_over};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;

/// Rows of a column since its last sum, after which its writer sums up again.
const MOST_ROWS: usize = 2048;

/// What is to be kept on disk, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    Row {
        id: LogId,
        number: u64,
        before: Digest,
        bytes: Arc<[u8]>,
    },
    /// Rows below this number are not wanted any more.
    Trim {
        id: LogId,
        below: u64,
    },
    Drop {
        id: LogId,
    },
}

/// A row as it was kept, with the digest before it.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    pub id: LogId,
    pub number: u64,
    pub before: Digest,
    pub bytes: Vec<u8>,
}

/// How far a column is known.
#[derive(Clone, Debug, PartialEq, Eq, minicbor::Encode, minicbor::Decode)]
pub struct LogHead {
    #[n(0)]
    pub id: LogId,
    #[n(1)]
    pub number: u64,
    #[n(2)]
    pub digest: Digest,
}

/// What rows of a peer brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Taken {
    pub new: usize,
    /// They leave the chain that is known here: their writer wrote two rows of one number.
    pub forked: bool,
}

#[derive(Debug, Default)]
struct StoredLog {
    column: Option<Log>,
    /// When it changed last, as a count of changes.
    stamp: u64,
    /// What others may be told of it, folded into the figure of all tips.
    told: Option<Digest>,
}

/// Columns by writer and life, and what they come to.
#[derive(Debug)]
pub struct LogStore {
    own: LogId,
    columns: BTreeMap<LogId, StoredLog>,
    by_stamp: BTreeMap<u64, LogId>,
    stamps: u64,
    all: Digest,
    /// Our own rows up to this one are on disk: no other may be told.
    durable: u64,
    orders: Orders,
    orders_stamp: u64,
    changes: Vec<Change>,
    /// Teams of which something new was said.
    touched: TouchedTeams,
}

impl LogStore {
    /// Of a scheduler in a life that has not begun to write.
    pub fn new(own: LogId) -> Self {
        Self {
            own,
            columns: BTreeMap::new(),
            by_stamp: BTreeMap::new(),
            stamps: 0,
            all: Digest::default(),
            durable: 0,
            orders: Orders::default(),
            orders_stamp: 0,
            changes: Vec::new(),
            touched: TouchedTeams::default(),
        }
    }

    pub fn own(&self) -> &LogId {
        &self.own
    }

    /// Our life is a later one than this: clocks may have been set back since.
    pub fn live_after(&mut self, life: u64) {
        assert!(!self.is_open(), "a life that has begun stays what it is");
        self.own.life = self.own.life.max(life + 1);
    }

    /// Takes in what an earlier life kept, in the order of numbers. Gives back, in words, where a column is
    /// damaged: what follows there is left out, and comes back from the others.
    pub fn restore(&mut self, kept: Vec<Kept>) -> Vec<String> {
        let mut words = Vec::new();
        let mut damaged: Option<LogId> = None;
        for Kept { id, number, before, bytes } in kept {
            if damaged.as_ref() == Some(&id) {
                continue;
            }
            let shelf = self.columns.entry(id.clone()).or_default();
            let column = shelf.column.get_or_insert_with(|| Log::from_base(number - 1, before));
            let chains = column.tip() == (number - 1, before);
            let pushed = if chains { column.push(&bytes) } else { Err(Bad("it doesn't chain".into())) };
            if let Err(bad) = pushed {
                words
                    .push(format!("column {} life {} is damaged at row {number}: {bad}", id.writer, id.life));
                if column.kept() == 0 {
                    self.columns.remove(&id);
                }
                damaged = Some(id);
            }
        }
        self.touched.add_all();
        let ids: Vec<LogId> = self.columns.keys().cloned().collect();
        for id in ids {
            self.orders_of(&id);
            self.changed(&id);
        }
        words
    }

    /// What changed since the last call and is to be kept.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Teams of whose balances anything new was said since the last call: by others, or of gifts by us. What
    /// we ourselves draw and spend in this life isn't among it.
    pub fn take_touched(&mut self) -> TouchedTeams {
        std::mem::take(&mut self.touched)
    }

    /// The same, without taking it.
    pub fn touched(&self) -> &TouchedTeams {
        &self.touched
    }

    fn touch(&mut self, id: &LogId, touch: Touch) {
        match touch {
            Touch::Nothing => {}
            Touch::Balance(_) if *id == self.own => {}
            Touch::Balance(team) | Touch::ShareTransfer(team) => self.touched.add(team),
            Touch::All => self.touched.add_all(),
        }
    }

    /// A life begins: of balances only that is new in which it differs from the one before.
    fn touch_by_life(&mut self, id: &LogId) {
        let mut lives = self.lives(&id.writer).rev();
        let (newest, earlier) = (lives.next(), lives.next());
        let mut touched = TouchedTeams::default();
        match (newest, earlier) {
            (Some((newest, column)), Some((earlier, before)))
                if newest == id
                    && took_all_over(column.state().before, earlier.life, before.tip().0)
                    && !before.is_forked() =>
            {
                touched.add_difference(before.state(), column.state());
            }
            _ => touched.add_all(),
        }
        drop(lives);
        self.touched.merge(touched);
    }

    /// Our own rows up to this one are kept for good.
    pub fn is_durable(&mut self, number: u64) {
        if number > self.durable {
            self.durable = number;
            let own = self.own.clone();
            self.changed(&own);
        }
    }

    pub fn durable(&self) -> u64 {
        self.durable
    }

    // Writing.

    /// The first row of our life: all that our earlier lives said. Nothing was written before.
    pub fn open(&mut self, state: State) -> u64 {
        let own = self.own.clone();
        self.columns.entry(own.clone()).or_default().column = Some(Log::new(&own));
        self.write(&Entry::Sum(Box::new(state)))
    }

    /// Writes the next row; its number.
    ///
    /// # Panics
    /// Where the row takes back what an earlier one said: a defect of ours, which must not be told to
    /// anybody.
    pub fn write(&mut self, entry: &Entry) -> u64 {
        let bytes = entry.bytes();
        let own = self.own.clone();
        let number = self.append(&own, &bytes).expect("our own rows go on");
        if let Entry::Heard(order) = entry {
            self.hear_order(&order.subject, order.standing());
        }
        let column = self.column(&own).expect("it is open");
        if column.kept() > MOST_ROWS && !matches!(entry, Entry::Sum(_)) {
            let state = column.state().clone();
            return self.write(&Entry::Sum(Box::new(state)));
        }
        number
    }

    /// We have begun to write in this life.
    pub fn is_open(&self) -> bool {
        self.column(&self.own).is_some()
    }

    fn append(&mut self, id: &LogId, bytes: &[u8]) -> Result<u64, Bad> {
        let column = self.columns.get_mut(id).and_then(|shelf| shelf.column.as_mut()).expect("is there");
        let (tip, before) = column.tip();
        let Pushed { is_sum, touch } = column.push(bytes)?;
        let number = tip + 1;
        self.changes.push(Change::Row { id: id.clone(), number, before, bytes: bytes.into() });
        if is_sum {
            self.changes.push(Change::Trim { id: id.clone(), below: number });
        }
        match touch {
            Touch::All if is_sum => self.touch_by_life(id),
            // What a life wrote beside what its successor took over is told by its rows, which a sum ends.
            _ if is_sum && self.newest(&id.writer) != Some(id.life) => self.touch(id, Touch::All),
            touch => self.touch(id, touch),
        }
        self.changed(id);
        Ok(number)
    }

    /// A column changed: what is told of it is counted anew.
    fn changed(&mut self, id: &LogId) {
        let tip = self.told_tip(id);
        let Some(shelf) = self.columns.get_mut(id) else { return };
        let told = tip.map(|(number, digest)| Digest::of_tip(id, number, digest));
        if shelf.told == told {
            return;
        }
        let before = std::mem::replace(&mut shelf.told, told);
        self.all = [before, told].into_iter().flatten().fold(self.all, Digest::xor);
        self.stamps += 1;
        self.by_stamp.remove(&std::mem::replace(&mut shelf.stamp, self.stamps));
        self.by_stamp.insert(self.stamps, id.clone());
    }

    // Telling.

    pub fn column(&self, id: &LogId) -> Option<&Log> {
        self.columns.get(id)?.column.as_ref()
    }

    /// How far others may know a column: our own as far as it is on disk.
    pub fn told_tip(&self, id: &LogId) -> Option<(u64, Digest)> {
        let column = self.column(id)?;
        if *id != self.own {
            return Some(column.tip());
        }
        let number = column.tip().0.min(self.durable);
        // What was folded away is on disk: the sum that stands for it is.
        column.digest_at(number).map(|digest| (number, digest)).filter(|(number, _)| *number > 0)
    }

    /// One figure for the ends of all columns, equal where two schedulers know the same.
    pub fn all(&self) -> Digest {
        self.all
    }

    /// A count that grows with each change.
    pub fn stamp(&self) -> u64 {
        self.stamps
    }

    /// The ends of columns that changed after a stamp, oldest change first.
    pub fn tips_after(&self, stamp: u64) -> impl Iterator<Item = (u64, LogHead)> {
        self.by_stamp.range(stamp + 1..).filter_map(|(stamp, id)| {
            let (number, digest) = self.told_tip(id)?;
            Some((*stamp, LogHead { id: id.clone(), number, digest }))
        })
    }

    /// Whether a peer that knows a column so far knows rows that we want.
    pub fn wants(&self, tip: &LogHead) -> bool {
        if let Some(newest) = self.newest(&tip.id.writer)
            && tip.id.life < newest
        {
            // The life after it took all over that it says.
            let over = self.state_of(&tip.id.writer).and_then(|state| state.before);
            let taken = over
                .is_some_and(|b| b.life > tip.id.life || (b.life == tip.id.life && b.number >= tip.number));
            if taken {
                return false;
            }
        }
        match self.column(&tip.id) {
            None => tip.number > 0,
            Some(column) => {
                let (number, _) = column.tip();
                let branch = column.branch.as_deref();
                let other = column.digest_at(tip.number).is_some_and(|digest| digest != tip.digest);
                if other {
                    return branch.is_none_or(|branch| tip.number > branch.tip);
                }
                tip.number > number && branch.is_none_or(|b| (b.tip, b.digest) != (tip.number, tip.digest))
            }
        }
    }

    /// How far we know a column, and our digest there.
    pub fn known_of(&self, id: &LogId) -> (u64, Digest) {
        self.column(id).map_or((0, Digest::first(id)), Log::tip)
    }

    /// After which of its rows we ask a peer that knows a column so far, and our digest there: where it has
    /// fewer rows than we, and others, it sees by that which ones we lack.
    pub fn asks_after(&self, tip: &LogHead) -> (u64, Digest) {
        let (known, digest) = self.known_of(&tip.id);
        let at = self.column(&tip.id).and_then(|column| column.digest_at(tip.number));
        if tip.number < known { (tip.number, at.unwrap_or_default()) } else { (known, digest) }
    }

    /// Rows for a peer that knows a column so far: the number and digest before the first of them, and the
    /// rows, as many as fit into so many bytes, one at the least. Where the peer's digest isn't ours, all
    /// that is kept.
    pub fn rows_after(&self, id: &LogId, known: u64, digest: Digest, most: usize) -> Option<Piece> {
        let (last, _) = self.told_tip(id)?;
        let column = self.column(id)?;
        if known > last {
            return None;
        }
        let (base, base_digest) = column.base();
        let chains = column.digest_at(known) == Some(digest);
        let (after, digest) = if chains { (known, digest) } else { (base, base_digest) };
        let mut rows = Vec::new();
        let mut bytes = 0;
        for row in column.rows_after(after).take((last - after) as usize) {
            bytes += row.bytes.len();
            if bytes > most && !rows.is_empty() {
                break;
            }
            rows.push(row.bytes.clone());
        }
        let more = after + (rows.len() as u64) < last;
        Some(Piece { after, digest, rows, more })
    }

    // Hearing.

    /// Rows of a column, from a peer that says that they follow this number and digest.
    ///
    /// # Errors
    /// Where they can't be read, don't follow, or are rows of ours that we never wrote in this life:
    /// nothing of the first such row nor of any after it has entered.
    pub fn take(&mut self, id: &LogId, after: u64, digest: Digest, rows: &[&[u8]]) -> Result<Taken, Bad> {
        if *id == self.own {
            let known = self.column(id).and_then(|column| column.digest_at(after));
            if known != Some(digest) || after + rows.len() as u64 > self.durable {
                return Err(Bad("rows of our own life that we didn't write".into()));
            }
            return Ok(Taken::default());
        }
        let shelf = self.columns.entry(id.clone()).or_default();
        if shelf.column.is_none() {
            let first = Digest::first(id);
            if after == 0 && digest != first {
                self.columns.remove(id);
                return Err(Bad("a column that doesn't begin with its own name".into()));
            }
            shelf.column = Some(Log::from_base(after, digest));
            if rows.is_empty() {
                self.touched.add_all();
            }
        }
        let column = shelf.column.as_mut().expect("is there now");
        let (base, base_digest) = column.base();
        let (tip, _) = column.tip();
        if after > tip {
            return self.rebase(id, after, digest, rows);
        }
        if column.digest_at(after).is_some_and(|known| known != digest) {
            return Err(Bad(format!("rows after {after} that don't chain to what they are said to follow")));
        }
        let mut taken = Taken::default();
        let mut running = digest;
        for (n, bytes) in rows.iter().enumerate() {
            let number = after + 1 + n as u64;
            running = running.after(number, bytes);
            let column = self.columns.get_mut(id).and_then(|shelf| shelf.column.as_mut()).expect("is there");
            if number <= column.tip().0 {
                if column.digest_at(number).is_none_or(|known| known == running) {
                    continue;
                }
                if number <= base {
                    let words =
                        format!("rows up to {base} that don't come to {base_digest:?}, which is folded");
                    return Err(Bad(words));
                }
                taken.forked = true;
                taken.new += usize::from(column.fork(number - 1, &rows[n..])?);
                self.touched.add_all();
                break;
            }
            if let Err(bad) = self.append(id, bytes) {
                if self.columns[id].column.as_ref().is_some_and(|column| column.kept() == 0) {
                    self.columns.remove(id);
                }
                return Err(bad);
            }
            taken.new += 1;
        }
        if taken.new > 0 {
            self.orders_of(id);
        }
        Ok(taken)
    }

    /// Rows that begin with a sum, beyond what we know: whoever has them keeps the ones between no more.
    /// The sum has to say at least what we know.
    fn rebase(&mut self, id: &LogId, after: u64, digest: Digest, rows: &[&[u8]]) -> Result<Taken, Bad> {
        let mut column = Log::from_base(after, digest);
        for row in rows {
            column.push(row)?;
        }
        let known = self.columns.get_mut(id).and_then(|shelf| shelf.column.as_mut()).expect("is there");
        if !column.state().covers(known.state()) {
            return Err(Bad("a sum that takes back what earlier rows said".into()));
        }
        column.branch = known.branch.take();
        *known = column;
        self.touched.add_all();
        self.changes.push(Change::Drop { id: id.clone() });
        let (mut number, mut before) = (after, digest);
        for row in rows {
            number += 1;
            self.changes.push(Change::Row { id: id.clone(), number, before, bytes: (*row).into() });
            before = before.after(number, row);
        }
        self.changed(id);
        self.orders_of(id);
        Ok(Taken { new: rows.len(), forked: false })
    }

    fn orders_of(&mut self, id: &LogId) {
        let Some(column) = self.columns.get(id).and_then(|shelf| shelf.column.as_ref()) else { return };
        let branch = column.branch.iter().flat_map(|branch| &branch.state.orders);
        let all = column.state().orders.iter().chain(branch);
        let new = all.filter(|(subject, standing)| {
            self.orders.get(subject).is_none_or(|known| known.join(**standing) != known)
        });
        let new: Vec<(Subject, Standing)> =
            new.map(|(subject, standing)| (subject.clone(), *standing)).collect();
        for (subject, standing) in new {
            self.hear_order(&subject, standing);
        }
    }

    /// Columns of lives that a later one has taken over whole, once their months are closed.
    pub fn drop_old(&mut self) {
        let old = |id: &&LogId| {
            let Some(newest) = self.state_of(&id.writer) else { return false };
            let month = self.column(id).map_or(0, |column| column.state().month);
            Some(id.life) < self.newest(&id.writer) && month.saturating_add(1) < newest.month
        };
        let old: Vec<LogId> = self.columns.keys().filter(old).cloned().collect();
        for id in old {
            if let Some(shelf) = self.columns.remove(&id) {
                self.touched.add_all();
                self.by_stamp.remove(&shelf.stamp);
                self.all = shelf.told.into_iter().fold(self.all, Digest::xor);
            }
            self.changes.push(Change::Drop { id });
        }
    }

    /// Columns of lives that a later one is known to have taken over whole, whatever their months.
    pub fn drop_taken_over(&mut self) {
        let taken = |id: &&LogId| {
            let Some(before) = self.state_of(&id.writer).and_then(|state| state.before) else { return false };
            let tip = self.column(id).map_or(0, |column| column.tip().0);
            Some(id.life) < self.newest(&id.writer)
                && (before.life > id.life || (before.life == id.life && before.number >= tip))
        };
        let taken: Vec<LogId> = self.columns.keys().filter(taken).cloned().collect();
        taken.into_iter().for_each(|id| self.drop_column(id));
    }

    /// All columns of a writer, of which nothing is wanted any more.
    pub fn drop_writer(&mut self, writer: &Name) {
        let ids: Vec<LogId> = self.lives(writer).map(|(id, _)| id.clone()).collect();
        ids.into_iter().for_each(|id| self.drop_column(id));
    }

    fn drop_column(&mut self, id: LogId) {
        if let Some(shelf) = self.columns.remove(&id) {
            self.touched.add_all();
            self.by_stamp.remove(&shelf.stamp);
            self.all = shelf.told.into_iter().fold(self.all, Digest::xor);
            self.stamps += 1;
        }
        self.changes.push(Change::Drop { id });
    }

    // What all columns come to.

    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// An order, from whoever told it ahead of its row.
    pub fn hear_order(&mut self, subject: &Subject, standing: Standing) -> bool {
        let new = self.orders.hear(subject, standing);
        self.orders_stamp += u64::from(new);
        new
    }

    /// A count that grows with each order that is new.
    pub fn orders_stamp(&self) -> u64 {
        self.orders_stamp
    }

    /// The writers of all columns that are known.
    pub fn writers(&self) -> Vec<Name> {
        let mut all: Vec<Name> = self.columns.keys().map(|id| id.writer.clone()).collect();
        all.dedup();
        all
    }

    pub fn columns(&self) -> impl Iterator<Item = (&LogId, &Log)> {
        self.columns.iter().filter_map(|(id, shelf)| Some((id, shelf.column.as_ref()?)))
    }

    fn lives(&self, writer: &Name) -> impl DoubleEndedIterator<Item = (&LogId, &Log)> {
        let first = LogId { writer: writer.clone(), life: 0 };
        let last = LogId { writer: writer.clone(), life: u64::MAX };
        self.columns.range(first..=last).filter_map(|(id, shelf)| Some((id, shelf.column.as_ref()?)))
    }

    /// The newest life of a writer that is known here.
    pub fn newest(&self, writer: &Name) -> Option<u64> {
        self.lives(writer).next_back().map(|(id, _)| id.life)
    }

    /// What the newest life says, which took over what the earlier ones said.
    pub fn state_of(&self, writer: &Name) -> Option<&State> {
        self.lives(writer).next_back().map(|(_, column)| column.state())
    }

    /// What a life says of itself beside what its successor took over, and branches: states after and before.
    fn strays(&self, writer: &Name) -> Vec<(&State, State)> {
        let mut newest_first = self.lives(writer).rev();
        let newest = newest_first.next();
        if newest_first.next().is_none() && newest.is_none_or(|(_, column)| !column.is_forked()) {
            return Vec::new();
        }
        let all: Vec<(&LogId, &Log)> = self.lives(writer).collect();
        let mut strays: Vec<(&State, State)> = Vec::new();
        for (at, (id, column)) in all.iter().enumerate() {
            strays.extend(column.branch.iter().map(|branch| (&branch.state, branch.before.clone())));
            let Some((_, next)) = all.get(at + 1) else { continue };
            let Some(before) = next.state().before.filter(|before| before.life == id.life) else { continue };
            if column.tip().0 > before.number
                && let Some(taken) = column.state_at(before.number)
            {
                strays.push((column.state(), taken));
            }
        }
        strays
    }

    /// What a writer drew and spent, in all its lives and branches.
    pub fn purse(&self, writer: &Name, team: &Name, month: u32) -> Balance {
        let mut purse = self.state_of(writer).map_or_else(Balance::default, |state| state.purse(team, month));
        for (after, before) in self.strays(writer) {
            let (after, before) = (after.purse(team, month), before.purse(team, month));
            purse.drawn = purse.drawn.plus(after.drawn.less(before.drawn));
            purse.spent += after.spent.saturating_sub(before.spent);
            purse.beyond += after.beyond.saturating_sub(before.beyond);
        }
        purse
    }

    /// All that a writer gave away of its share.
    pub fn gave(&self, writer: &Name, team: &Name, month: u32) -> Parts {
        let first = ShareTransfer { team: team.clone(), month, to: Name::from(""), life: 0 };
        let next = ShareTransfer { month: month + 1, ..first.clone() };
        self.gifts(writer, &(first..next))
    }

    /// All gifts to a life of a receiver and its later ones.
    pub fn got(&self, to: &Name, from_life: u64, team: &Name, month: u32) -> Parts {
        let first = ShareTransfer { team: team.clone(), month, to: to.clone(), life: from_life };
        let last = ShareTransfer { life: u64::MAX, ..first.clone() };
        let gifts = first..last;
        self.writers().iter().fold(Parts::default(), |sum, writer| sum.plus(self.gifts(writer, &gifts)))
    }

    /// All gifts of a team's share in a month, by whoever gave them.
    pub fn gifts_of(&self, team: &Name, month: u32) -> impl Iterator<Item = (&ShareTransfer, &Parts)> {
        let first = ShareTransfer { team: team.clone(), month, to: Name::from(""), life: 0 };
        let next = ShareTransfer { month: month + 1, ..first.clone() };
        let newest = self.columns().filter(|(id, _)| self.newest(&id.writer) == Some(id.life));
        newest.flat_map(move |(_, column)| column.state().gave.range(first.clone()..next.clone()))
    }

    fn gifts(&self, writer: &Name, which: &Range<ShareTransfer>) -> Parts {
        let sum = |state: &State| {
            let gifts = state.gave.range(which.clone());
            gifts.fold(Parts::default(), |sum, (_, parts)| sum.plus(*parts))
        };
        let newest = self.state_of(writer).map_or_else(Parts::default, sum);
        self.strays(writer).iter().fold(newest, |all, (after, before)| all.plus(sum(after).less(sum(before))))
    }

    /// What a new life of ours begins with: all that our earlier lives are known to have said.
    pub fn taken_over(&self) -> State {
        let writer = &self.own.writer;
        let Some((id, column)) = self.lives(writer).rfind(|(id, _)| id.life < self.own.life) else {
            return State::default();
        };
        let (number, digest) = column.tip();
        State { before: Some(Before { life: id.life, number, digest }), ..column.state().clone() }
    }
}

/// Rows on their way to a peer.
#[derive(Clone, Debug, PartialEq)]
pub struct Piece {
    pub after: u64,
    pub digest: Digest,
    pub rows: Vec<Arc<[u8]>>,
    pub more: bool,
}
