//! What can be wrong with a trace, what is done about it, and how often it was.

use serde::Serialize;
use std::collections::BTreeMap;

/// Kinds of faults, by what a reader sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A row ends before a field that is needed.
    MissingField,
    /// A field that is needed is empty.
    EmptyField,
    /// No number where one stands.
    BadNumber,
    /// A value that the published table doesn't list.
    UnknownValue,
    Negative,
    /// Beyond anything that the published units allow.
    Absurd,
    /// The same event of the same task or machine at the same instant.
    Duplicate,
    /// The end of a task that was never wanted.
    EndWithoutStart,
    UsageWithoutTask,
    UsageBeforeStart,
    /// A task runs on a machine that no row declared.
    UndeclaredMachine,
    /// Out of order, and put right.
    OutOfOrder,
    /// Out of order by more than the window.
    TooLate,
    /// A file ends in the middle of a row or of its gzip.
    CutShort,
    /// Bytes that are no text.
    NoText,
}

impl Fault {
    pub const ALL: [Self; 15] = [
        Self::MissingField,
        Self::EmptyField,
        Self::BadNumber,
        Self::UnknownValue,
        Self::Negative,
        Self::Absurd,
        Self::Duplicate,
        Self::EndWithoutStart,
        Self::UsageWithoutTask,
        Self::UsageBeforeStart,
        Self::UndeclaredMachine,
        Self::OutOfOrder,
        Self::TooLate,
        Self::CutShort,
        Self::NoText,
    ];

    /// As settings and reports call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::MissingField => "missing-field",
            Self::EmptyField => "empty-field",
            Self::BadNumber => "bad-number",
            Self::UnknownValue => "unknown-value",
            Self::Negative => "negative",
            Self::Absurd => "absurd",
            Self::Duplicate => "duplicate",
            Self::EndWithoutStart => "end-without-start",
            Self::UsageWithoutTask => "usage-without-task",
            Self::UsageBeforeStart => "usage-before-start",
            Self::UndeclaredMachine => "undeclared-machine",
            Self::OutOfOrder => "out-of-order",
            Self::TooLate => "too-late",
            Self::CutShort => "cut-short",
            Self::NoText => "no-text",
        }
    }

    /// What a repair of it is, in words; nothing where it can only be kept out.
    pub fn repair(self) -> Option<&'static str> {
        match self {
            Self::MissingField | Self::EmptyField | Self::BadNumber => {
                Some("the stated default stands for it")
            }
            Self::UnknownValue => Some("the commonest value stands for it"),
            Self::Negative => Some("nothing stands for it"),
            Self::Absurd => Some("the greatest allowed figure stands for it"),
            Self::UsageBeforeStart => Some("it counts from the task's start"),
            Self::UndeclaredMachine => Some("the machine is taken as one of the commonest size"),
            Self::OutOfOrder => Some("it is put in its place"),
            Self::CutShort => Some("what was whole is used"),
            Self::Duplicate
            | Self::EndWithoutStart
            | Self::UsageWithoutTask
            | Self::TooLate
            | Self::NoText => None,
        }
    }
}

/// What is done about a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Repair,
    /// The row is kept out.
    Skip,
    /// Reading ends with an error that says where.
    Stop,
}

/// A policy for each kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policies(BTreeMap<Fault, Policy>);

impl Default for Policies {
    fn default() -> Self {
        let usual = |fault: Fault| match fault.repair() {
            Some(_) => Policy::Repair,
            None => Policy::Skip,
        };
        Self(Fault::ALL.into_iter().map(|fault| (fault, usual(fault))).collect())
    }
}

impl Policies {
    /// # Errors
    /// Where a repair is wanted of what can't be repaired.
    pub fn set(&mut self, fault: Fault, policy: Policy) -> Result<(), String> {
        if policy == Policy::Repair && fault.repair().is_none() {
            return Err(format!("{} can't be repaired: skip or stop", fault.name()));
        }
        self.0.insert(fault, policy);
        Ok(())
    }

    pub fn of(&self, fault: Fault) -> Policy {
        self.0.get(&fault).copied().unwrap_or(Policy::Skip)
    }
}

/// Why a row, or the whole of reading, goes no further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Out {
    Skip,
    Stop(String),
}

/// How often each fault was met, and what was done.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Tally {
    pub repaired: BTreeMap<Fault, u64>,
    pub skipped: BTreeMap<Fault, u64>,
    /// The first place of each kind.
    pub first: BTreeMap<Fault, String>,
    #[serde(skip)]
    policies: Policies,
}

impl Tally {
    pub fn new(policies: Policies) -> Self {
        Self { policies, ..Self::default() }
    }

    /// Counts a fault at a place; says whether to repair it.
    ///
    /// # Errors
    /// Where the row is kept out, or reading is to stop.
    pub fn meet(&mut self, fault: Fault, place: impl FnOnce() -> String) -> Result<(), Out> {
        let policy = self.policies.of(fault);
        self.do_as(fault, policy, place)
    }

    /// The same for what can't be repaired here, whatever the policy says: a row without an instant, say.
    ///
    /// # Errors
    /// Always: the row is kept out, or reading is to stop.
    pub fn meet_fatal<T>(&mut self, fault: Fault, place: impl FnOnce() -> String) -> Result<T, Out> {
        let policy = match self.policies.of(fault) {
            Policy::Repair => Policy::Skip,
            other => other,
        };
        self.do_as(fault, policy, place)?;
        Err(Out::Skip)
    }

    fn do_as(&mut self, fault: Fault, policy: Policy, place: impl FnOnce() -> String) -> Result<(), Out> {
        if policy == Policy::Stop {
            return Err(Out::Stop(format!("{}: {}", place(), fault.name())));
        }
        self.first.entry(fault).or_insert_with(place);
        let (counts, done) = match policy {
            Policy::Repair => (&mut self.repaired, Ok(())),
            _ => (&mut self.skipped, Err(Out::Skip)),
        };
        *counts.entry(fault).or_default() += 1;
        done
    }

    /// Of all kinds together.
    pub fn all(&self) -> u64 {
        self.repaired.values().chain(self.skipped.values()).sum()
    }

    /// How often one kind was met, whatever was done.
    pub fn of(&self, fault: Fault) -> u64 {
        let of = |counts: &BTreeMap<Fault, u64>| counts.get(&fault).copied().unwrap_or(0);
        of(&self.repaired) + of(&self.skipped)
    }

    /// Adds what another reader met.
    pub fn join(&mut self, other: &Self) {
        for (into, from) in [(&mut self.repaired, &other.repaired), (&mut self.skipped, &other.skipped)] {
            from.iter().for_each(|(fault, count)| *into.entry(*fault).or_default() += count);
        }
        for (fault, place) in &other.first {
            self.first.entry(*fault).or_insert_with(|| place.clone());
        }
    }
}
