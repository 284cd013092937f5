//! The operators' orders: given to any scheduler, heard by all, and merged alike whatever the order of
//! hearing.
//!
//! The higher number wins. Of equal numbers with different words the stricter word holds, and the two stay
//! marked as differing until a higher number comes: an operator who used a number twice learns of it, and
//! until then the one reading that can do no harm is followed by all. The join of two standings is a
//! maximum over (number, strictness), so it is commutative, associative and idempotent; `differs` is kept
//! beside it by the same rule.

use crate::Bad;
use crate::name::Name;
use minicbor::{Decode, Encode};
use std::collections::BTreeMap;

/// Whom an order is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(flat)]
pub enum Subject {
    #[n(0)]
    Account(#[n(0)] Name),
    #[n(1)]
    Team(#[n(0)] Name),
}

/// What an order says. The later variant and the lower figure are the stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(flat)]
pub enum Word {
    #[n(0)]
    Cleared {},
    /// New submissions are held back; what ran goes on, until that instant where one is given (seconds of
    /// Unix time).
    #[n(1)]
    Held {
        #[n(0)]
        finish_by: Option<u64>,
    },
    /// A team's monthly cap, in micro-units.
    #[n(2)]
    Cap {
        #[n(0)]
        amount: u64,
    },
}

impl Word {
    /// Higher is stricter.
    fn strictness(self) -> (u8, u64) {
        match self {
            Self::Cleared {} => (0, 0),
            Self::Held { finish_by } => (1, u64::MAX - finish_by.unwrap_or(u64::MAX)),
            Self::Cap { amount } => (2, u64::MAX - amount),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Order {
    #[n(0)]
    pub subject: Subject,
    #[n(1)]
    pub number: u64,
    #[n(2)]
    pub word: Word,
}

/// What holds of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Standing {
    #[n(0)]
    pub number: u64,
    #[n(1)]
    pub word: Word,
    /// This number was given with different words.
    #[n(2)]
    pub differs: bool,
}

impl Standing {
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        if self.number != other.number {
            return if self.number > other.number { self } else { other };
        }
        let stricter = if self.word.strictness() >= other.word.strictness() { self } else { other };
        Self { differs: self.differs || other.differs || self.word != other.word, ..stricter }
    }
}

/// All orders that are known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Orders(BTreeMap<Subject, Standing>);

impl Orders {
    /// True where this told something new.
    pub fn hear(&mut self, subject: &Subject, standing: Standing) -> bool {
        let Some(known) = self.0.get_mut(subject) else {
            self.0.insert(subject.clone(), standing);
            return true;
        };
        let joined = known.join(standing);
        std::mem::replace(known, joined) != joined
    }

    pub fn get(&self, subject: &Subject) -> Option<Standing> {
        self.0.get(subject).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (&Subject, &Standing)> {
        self.0.iter()
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl From<BTreeMap<Subject, Standing>> for Orders {
    fn from(all: BTreeMap<Subject, Standing>) -> Self {
        Self(all)
    }
}

impl From<Orders> for BTreeMap<Subject, Standing> {
    fn from(orders: Orders) -> Self {
        orders.0
    }
}

impl Order {
    pub fn standing(&self) -> Standing {
        Standing { number: self.number, word: self.word, differs: false }
    }

    /// # Errors
    /// Where the word is none for its subject.
    pub fn check(&self) -> Result<(), Bad> {
        match (&self.subject, self.word) {
            (Subject::Account(_), Word::Cleared {} | Word::Held { .. })
            | (Subject::Team(_), Word::Cap { .. }) => Ok(()),
            (Subject::Account(name), _) => Err(Bad(format!("a cap for account {name}: caps are teams'"))),
            (Subject::Team(name), _) => Err(Bad(format!("a hold of team {name}: holds are accounts'"))),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn word() -> impl Strategy<Value = Word> {
        prop_oneof![
            Just(Word::Cleared {}),
            prop::option::of(0u64..4).prop_map(|finish_by| Word::Held { finish_by }),
        ]
    }

    fn orders() -> impl Strategy<Value = Vec<Order>> {
        let order = (0usize..2, 0u64..4, word()).prop_map(|(who, number, word)| Order {
            subject: Subject::Account(["one", "two"][who].into()),
            number,
            word,
        });
        prop::collection::vec(order, 0..12)
    }

    fn heard(orders: &[Order]) -> Orders {
        let mut all = Orders::default();
        for order in orders {
            all.hear(&order.subject, order.standing());
        }
        all
    }

    fn joined(one: &Orders, other: &Orders) -> Orders {
        let mut all = one.clone();
        for (subject, standing) in other.iter() {
            all.hear(subject, *standing);
        }
        all
    }

    proptest! {
        #[test]
        fn any_order_of_hearing_and_any_grouping_of_merges_comes_to_the_same(
            one in orders(), two in orders(), three in orders(), shuffle in any::<u64>(),
        ) {
            let [a, b, c] = [&one, &two, &three].map(|orders| heard(orders));
            prop_assert_eq!(joined(&a, &b), joined(&b, &a));
            prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
            prop_assert_eq!(&joined(&a, &a), &a);
            let mut all: Vec<Order> = [one, two, three].concat();
            let in_order = heard(&all);
            prop_assert_eq!(&in_order, &joined(&joined(&a, &b), &c));
            all.sort_by_key(|order| (order.number ^ shuffle).wrapping_mul(0x9e37_79b9_7f4a_7c15));
            prop_assert_eq!(heard(&all), in_order);
        }

        /// Said without the join: the highest number holds; of its words the strictest; it differs if they
        /// do.
        #[test]
        fn the_highest_number_holds_and_of_its_words_the_strictest(all in orders()) {
            for (subject, standing) in heard(&all).iter() {
                let of: Vec<&Order> = all.iter().filter(|order| order.subject == *subject).collect();
                let highest = of.iter().map(|order| order.number).max().expect("it was heard of");
                let words: Vec<Word> = of.iter().filter(|o| o.number == highest).map(|o| o.word).collect();
                prop_assert_eq!(standing.number, highest);
                prop_assert_eq!(standing.differs, words.iter().any(|word| *word != words[0]));
                let held: Vec<u64> = words.iter().filter_map(|word| match word {
                    Word::Held { finish_by } => Some(finish_by.unwrap_or(u64::MAX)),
                    _ => None,
                }).collect();
                let strictest = match held.iter().min() {
                    Some(by) => Word::Held { finish_by: (*by < u64::MAX).then_some(*by) },
                    None => Word::Cleared {},
                };
                prop_assert_eq!(standing.word, strictest);
            }
        }
    }

    #[test]
    fn of_two_caps_with_one_number_the_lower_holds_until_a_higher_number_comes() {
        let order = |number, amount| Order {
            subject: Subject::Team("payments".into()),
            number,
            word: Word::Cap { amount },
        };
        let mut all = heard(&[order(3, 500), order(3, 400)]);
        let standing = all.get(&order(0, 0).subject).expect("it was heard of");
        assert_eq!((standing.word, standing.differs), (Word::Cap { amount: 400 }, true));
        assert!(!all.hear(&order(0, 0).subject, order(2, 1).standing()));
        assert!(all.hear(&order(0, 0).subject, order(4, 900).standing()));
        let standing = all.get(&order(0, 0).subject).expect("it was heard of");
        assert_eq!((standing.word, standing.differs), (Word::Cap { amount: 900 }, false));
    }
}
