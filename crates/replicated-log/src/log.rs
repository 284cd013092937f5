//! One column: rows that are chained, what they come to, and a second branch where its writer's chain has
//! forked.

use crate::Bad;
use crate::row::{Digest, Entry, LogId};
use crate::state::State;
use crate::touched::Touch;
use std::collections::VecDeque;
use std::sync::Arc;

/// A row, and the digest of all up to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub bytes: Arc<[u8]>,
    pub digest: Digest,
}

/// Rows that chain to a number of the column, but not to the row that we have there.
#[derive(Clone, Debug, PartialEq)]
pub struct Branch {
    /// The last number that both have.
    pub from: u64,
    pub before: State,
    pub state: State,
    pub tip: u64,
    pub digest: Digest,
}

/// What became of a column with a row that entered it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pushed {
    /// What stood before it was let go.
    pub is_sum: bool,
    pub touch: Touch,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The number before the first row that is kept.
    base: u64,
    base_digest: Digest,
    rows: VecDeque<Row>,
    state: State,
    pub(crate) branch: Option<Box<Branch>>,
}

impl Log {
    /// The column of a life that begins.
    pub fn new(id: &LogId) -> Self {
        Self::from_base(0, Digest::first(id))
    }

    /// One whose rows up to a number nobody keeps any more; the next one is a sum.
    pub fn from_base(base: u64, base_digest: Digest) -> Self {
        Self { base, base_digest, rows: VecDeque::new(), state: State::default(), branch: None }
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    pub fn base(&self) -> (u64, Digest) {
        (self.base, self.base_digest)
    }

    /// The number of the last row, and the digest of all.
    pub fn tip(&self) -> (u64, Digest) {
        (self.base + self.rows.len() as u64, self.rows.back().map_or(self.base_digest, |row| row.digest))
    }

    pub fn kept(&self) -> usize {
        self.rows.len()
    }

    pub fn is_forked(&self) -> bool {
        self.branch.is_some()
    }

    /// The digest up to a number; nothing where it is not kept, or not there yet.
    pub fn digest_at(&self, number: u64) -> Option<Digest> {
        if number == self.base {
            return Some(self.base_digest);
        }
        let at = number.checked_sub(self.base + 1)?;
        self.rows.get(usize::try_from(at).ok()?).map(|row| row.digest)
    }

    /// The rows after a number that is kept.
    pub fn rows_after(&self, number: u64) -> impl Iterator<Item = &Row> {
        self.rows.iter().skip((number - self.base) as usize)
    }

    /// Takes the next row in. Where it is a sum, what stands before it is let go.
    ///
    /// # Errors
    /// Where the row can't be read, or takes back what earlier ones said. Nothing of it has entered.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Pushed, Bad> {
        let entry = Entry::read(bytes)?;
        let is_sum = matches!(entry, Entry::Sum(_));
        let (tip, digest) = self.tip();
        if self.rows.is_empty() && !is_sum {
            return Err(Bad(format!("row {} has nothing before it and is no sum", tip + 1)));
        }
        let touch = Touch::of(&entry, is_sum && self.state == State::default());
        self.state.apply(&entry)?;
        if is_sum {
            self.rows.clear();
            (self.base, self.base_digest) = (tip, digest);
        }
        self.rows.push_back(Row { bytes: bytes.into(), digest: digest.after(tip + 1, bytes) });
        Ok(Pushed { is_sum, touch })
    }

    /// What the column said up to a number: read again from the sum on.
    pub fn state_at(&self, number: u64) -> Option<State> {
        let many =
            usize::try_from(number.checked_sub(self.base)?).ok().filter(|many| *many <= self.rows.len())?;
        // A sum says what all rows before it came to. Met: a column that was summed up right after a later
        // life had taken it over counted whole, once more, beside that life.
        let many = if self.base > 0 { many.max(1) } else { many };
        let mut state = State::default();
        for row in self.rows.iter().take(many) {
            let entry = Entry::read(&row.bytes).expect("it was read when it came");
            state.apply(&entry).expect("it was taken in when it came");
        }
        Some(state)
    }

    /// Rows that leave the chain after a number: the first that are told stay counted, and what goes on
    /// from them. A third branch isn't: a writer that forks once is trusted no further. True where this
    /// told something new.
    ///
    /// # Errors
    /// As `push`.
    pub fn fork(&mut self, from: u64, rows: &[&[u8]]) -> Result<bool, Bad> {
        let (Some(before), Some(mut digest)) = (self.state_at(from), self.digest_at(from)) else {
            return Err(Bad(format!("a fork at row {from}, which is folded away")));
        };
        let first = || Branch { from, state: before.clone(), before, tip: from, digest };
        let mut branch = self.branch.as_deref().cloned().unwrap_or_else(first);
        if branch.from != from {
            return Ok(false);
        }
        let known = branch.tip;
        for (number, bytes) in (from + 1..).zip(rows) {
            digest = digest.after(number, bytes);
            if number == known && digest != branch.digest {
                return Ok(false);
            }
            if number > known {
                branch.state.apply(&Entry::read(bytes)?)?;
                (branch.tip, branch.digest) = (number, digest);
            }
        }
        let told = branch.tip > known;
        self.branch = Some(Box::new(branch));
        Ok(told)
    }
}
