//! The operators' directives: given to any scheduler, replicated to all, and merged to the same result in
//! whatever order they arrive.
//!
//! The higher number wins. Of equal numbers with different actions the stricter action holds, and the two
//! stay marked as conflicting until a higher number comes: an operator who used a number twice learns of it,
//! and until then all follow the one reading that can do no harm. The join of two directives is a maximum
//! over (number, strictness), so it is commutative, associative and idempotent; `conflicting` is kept beside
//! it by the same rule.

use crate::error::LogError;
use crate::name::Name;
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// Whom a directive is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(flat)]
pub enum Subject {
    /// An account, which can be suspended and reinstated.
    #[n(0)]
    Account(#[n(0)] Name),
    /// A team, which has a monthly cap.
    #[n(1)]
    Team(#[n(0)] Name),
}

/// What a directive does. The later variant and the lower amount are the stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(flat)]
pub enum DirectiveAction {
    /// The account may submit again.
    #[n(0)]
    Reinstate {},
    /// New submissions of the account are rejected; what runs goes on.
    #[n(1)]
    Suspend {
        /// Where given, what runs ends at this instant, in seconds of Unix time.
        #[n(0)]
        finish_by: Option<u64>,
    },
    /// Sets a team's monthly cap.
    #[n(2)]
    Cap {
        /// In micro-units.
        #[n(0)]
        amount: u64,
    },
}

impl DirectiveAction {
    /// Higher is stricter.
    fn strictness(self) -> (u8, u64) {
        match self {
            Self::Reinstate {} => (0, 0),
            Self::Suspend { finish_by } => (1, u64::MAX - finish_by.unwrap_or(u64::MAX)),
            Self::Cap { amount } => (2, u64::MAX - amount),
        }
    }
}

/// A directive as an operator gave it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Directive {
    /// Whom it is about.
    #[n(0)]
    pub subject: Subject,
    /// Of the directives for a subject the one with the highest number holds.
    #[n(1)]
    pub number: u64,
    /// What it does.
    #[n(2)]
    pub action: DirectiveAction,
}

impl Directive {
    /// The directive as it takes effect where no other is known.
    pub fn effective(&self) -> EffectiveDirective {
        EffectiveDirective { number: self.number, action: self.action, conflicting: false }
    }

    /// Checks that the action suits the subject.
    ///
    /// # Errors
    /// Where it is a cap for an account, or a suspension or reinstatement of a team.
    pub fn check(&self) -> Result<(), LogError> {
        match (&self.subject, self.action) {
            (Subject::Account(_), DirectiveAction::Reinstate {} | DirectiveAction::Suspend { .. })
            | (Subject::Team(_), DirectiveAction::Cap { .. }) => Ok(()),
            (Subject::Account(name), _) => Err(LogError::CapForAccount(name.clone())),
            (Subject::Team(name), _) => Err(LogError::SuspensionOfTeam(name.clone())),
        }
    }
}

/// What holds of a subject, by all directives that are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EffectiveDirective {
    /// The highest number.
    #[n(0)]
    pub number: u64,
    /// The strictest action that was given with this number.
    #[n(1)]
    pub action: DirectiveAction,
    /// This number was given with different actions.
    #[n(2)]
    pub conflicting: bool,
}

impl EffectiveDirective {
    /// What holds where both are known.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        if self.number != other.number {
            return if self.number > other.number { self } else { other };
        }
        let stricter = if self.action.strictness() >= other.action.strictness() { self } else { other };
        let conflicting = self.conflicting || other.conflicting || self.action != other.action;
        Self { conflicting, ..stricter }
    }
}

/// What holds of each subject.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Directives(BTreeMap<Subject, EffectiveDirective>);

impl Directives {
    /// Merges a directive in; true where that changed anything.
    pub fn apply(&mut self, subject: &Subject, effective: EffectiveDirective) -> bool {
        let Some(known) = self.0.get_mut(subject) else {
            self.0.insert(subject.clone(), effective);
            return true;
        };
        let joined = known.join(effective);
        std::mem::replace(known, joined) != joined
    }

    /// What holds of a subject.
    pub fn get(&self, subject: &Subject) -> Option<EffectiveDirective> {
        self.0.get(subject).copied()
    }

    /// All subjects with what holds of them, in their order.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, &EffectiveDirective)> {
        self.0.iter()
    }

    /// The number of subjects.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// No directive is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<BTreeMap<Subject, EffectiveDirective>> for Directives {
    fn from(all: BTreeMap<Subject, EffectiveDirective>) -> Self {
        Self(all)
    }
}

impl From<Directives> for BTreeMap<Subject, EffectiveDirective> {
    fn from(directives: Directives) -> Self {
        directives.0
    }
}
