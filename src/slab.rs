//! A slab: values in places that are used again, found by place or by the id that the wire gave.

use std::collections::HashMap;
use std::hash::Hash;
use std::ops::{Index, IndexMut};

/// The index of ids only ever answers look-ups; walks go by place, so nothing hangs on the order of hashes.
#[derive(Debug)]
pub struct Slab<K, V> {
    places: Vec<Option<(K, V)>>,
    free: Vec<usize>,
    by_id: HashMap<K, usize>,
}

impl<K: Copy + Eq + Hash, V> Slab<K, V> {
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            places: Vec::with_capacity(capacity),
            free: Vec::with_capacity(capacity),
            by_id: HashMap::with_capacity(capacity),
        }
    }

    pub fn insert(&mut self, id: K, value: V) -> usize {
        let place = self.free.pop().unwrap_or_else(|| {
            self.places.push(None);
            self.places.len() - 1
        });
        self.places[place] = Some((id, value));
        self.by_id.insert(id, place);
        place
    }

    pub fn remove(&mut self, place: usize) -> Option<V> {
        let (id, value) = self.places.get_mut(place)?.take()?;
        self.by_id.remove(&id);
        self.free.push(place);
        Some(value)
    }

    pub fn place(&self, id: K) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (usize, &V)> {
        self.places.iter().enumerate().filter_map(|(place, slot)| Some((place, &slot.as_ref()?.1)))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (usize, &mut V)> {
        self.places.iter_mut().enumerate().filter_map(|(place, slot)| Some((place, &mut slot.as_mut()?.1)))
    }
}

impl<K, V> Index<usize> for Slab<K, V> {
    type Output = V;
    fn index(&self, place: usize) -> &V {
        &self.places[place].as_ref().expect("a place in use").1
    }
}

impl<K, V> IndexMut<usize> for Slab<K, V> {
    fn index_mut(&mut self, place: usize) -> &mut V {
        &mut self.places[place].as_mut().expect("a place in use").1
    }
}
