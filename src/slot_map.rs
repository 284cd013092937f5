//! A map whose values stay in numbered slots, found by slot or by id.

use std::collections::HashMap;
use std::hash::Hash;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// The index of a slot, typed so that the slots of different maps cannot be mixed up.
pub trait Slot: Copy {
    /// The slot with this index.
    fn from_index(index: usize) -> Self;
    /// Its index.
    fn index(self) -> usize;
}

/// Values by slot; slots of removed values are used again, last freed first.
///
/// The index by id only answers look-ups. Iteration goes by slot, so nothing depends on the order of hashes.
#[derive(Debug)]
pub struct SlotMap<S, K, V> {
    entries: Vec<Option<(K, V)>>,
    free: Vec<usize>,
    by_id: HashMap<K, usize>,
    slot_type: PhantomData<S>,
}

impl<S: Slot, K: Copy + Eq + Hash, V> SlotMap<S, K, V> {
    /// An empty map with memory for `capacity` values.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            entries: Vec::with_capacity(capacity),
            free: Vec::with_capacity(capacity),
            by_id: HashMap::with_capacity(capacity),
            slot_type: PhantomData,
        }
    }

    /// Puts a value into a free slot.
    pub fn insert(&mut self, id: K, value: V) -> S {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(None);
            self.entries.len() - 1
        });
        self.entries[index] = Some((id, value));
        self.by_id.insert(id, index);
        S::from_index(index)
    }

    /// Takes the value out of a slot, if it holds one.
    pub fn remove(&mut self, slot: S) -> Option<V> {
        let (id, value) = self.entries.get_mut(slot.index())?.take()?;
        self.by_id.remove(&id);
        self.free.push(slot.index());
        Some(value)
    }

    /// The slot of the value with this id.
    pub fn slot(&self, id: K) -> Option<S> {
        self.by_id.get(&id).copied().map(S::from_index)
    }

    /// All values, by slot.
    pub fn iter(&self) -> impl Iterator<Item = (S, &V)> {
        let entries = self.entries.iter().enumerate();
        entries.filter_map(|(index, entry)| Some((S::from_index(index), &entry.as_ref()?.1)))
    }

    /// All values, by slot, for changing them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (S, &mut V)> {
        let entries = self.entries.iter_mut().enumerate();
        entries.filter_map(|(index, entry)| Some((S::from_index(index), &mut entry.as_mut()?.1)))
    }
}

impl<S: Slot, K, V> Index<S> for SlotMap<S, K, V> {
    type Output = V;
    fn index(&self, slot: S) -> &V {
        &self.entries[slot.index()].as_ref().expect("a slot in use").1
    }
}

impl<S: Slot, K, V> IndexMut<S> for SlotMap<S, K, V> {
    fn index_mut(&mut self, slot: S) -> &mut V {
        &mut self.entries[slot.index()].as_mut().expect("a slot in use").1
    }
}
