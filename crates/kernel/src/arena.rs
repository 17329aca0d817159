//! An arena that stores values under small generational keys.

use std::marker::PhantomData;

/// A handle to a value in an [`Arena`].
///
/// The key of a removed value finds nothing, even after its slot is reused, because each removal
/// changes the generation of the slot.
pub struct Key<T> {
    index: u32,
    generation: u32,
    marker: PhantomData<fn() -> T>,
}

impl<T> Clone for Key<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Key<T> {}

impl<T> PartialEq for Key<T> {
    fn eq(&self, other: &Self) -> bool {
        self.index == other.index && self.generation == other.generation
    }
}

impl<T> Eq for Key<T> {}

impl<T> std::hash::Hash for Key<T> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.index.hash(state);
        self.generation.hash(state);
    }
}

impl<T> PartialOrd for Key<T> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Key<T> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.index, self.generation).cmp(&(other.index, other.generation))
    }
}

impl<T> std::fmt::Debug for Key<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.index, self.generation)
    }
}

/// Storage for one value. The generation increases with each removal.
#[derive(Clone, Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Values stored contiguously and accessed by [`Key`].
#[derive(Clone, Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    /// Indices of the empty slots.
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Returns whether the arena holds no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a value and returns its key.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = self.free.pop().unwrap_or_else(|| self.add_slot());
        let slot = &mut self.slots[index as usize];
        slot.value = Some(value);
        Key {
            index,
            generation: slot.generation,
            marker: PhantomData,
        }
    }

    fn add_slot(&mut self) -> u32 {
        let index = u32::try_from(self.slots.len()).expect("an arena has at most 2^32 slots");
        self.slots.push(Slot {
            generation: 0,
            value: None,
        });
        index
    }

    /// Removes and returns the value of a key.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// Returns the value of a key.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let slot = self.slots.get(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_ref()
    }

    /// Returns a mutable reference to the value of a key.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.index as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        slot.value.as_mut()
    }

    /// Iterates over all values and their keys in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            let key = Key {
                index: u32::try_from(index).ok()?,
                generation: slot.generation,
                marker: PhantomData,
            };
            Some((key, slot.value.as_ref()?))
        })
    }
}
