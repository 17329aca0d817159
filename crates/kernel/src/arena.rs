//! Storage for values that are named by small keys.

use std::marker::PhantomData;

/// The place of a value in an [`Arena`]. A key of a removed value finds nothing, even when its
/// place is in use again.
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

#[derive(Clone, Debug)]
struct Cell<T> {
    generation: u32,
    value: Option<T>,
}

/// Values in one block of memory, named by keys.
#[derive(Clone, Debug)]
pub struct Arena<T> {
    cells: Vec<Cell<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            cells: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// How many values there are.
    pub fn len(&self) -> usize {
        self.cells.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a value.
    pub fn insert(&mut self, value: T) -> Key<T> {
        let index = self.free.pop().unwrap_or_else(|| self.grow());
        let cell = &mut self.cells[index as usize];
        cell.value = Some(value);
        Key {
            index,
            generation: cell.generation,
            marker: PhantomData,
        }
    }

    fn grow(&mut self) -> u32 {
        let index = u32::try_from(self.cells.len()).expect("an arena has at most 2^32 cells");
        self.cells.push(Cell {
            generation: 0,
            value: None,
        });
        index
    }

    /// Removes a value.
    pub fn remove(&mut self, key: Key<T>) -> Option<T> {
        let cell = self.cells.get_mut(key.index as usize)?;
        if cell.generation != key.generation {
            return None;
        }
        let value = cell.value.take()?;
        cell.generation = cell.generation.wrapping_add(1);
        self.free.push(key.index);
        Some(value)
    }

    /// The value of a key.
    pub fn get(&self, key: Key<T>) -> Option<&T> {
        let cell = self.cells.get(key.index as usize)?;
        if cell.generation != key.generation {
            return None;
        }
        cell.value.as_ref()
    }

    /// The value of a key, to be changed.
    pub fn get_mut(&mut self, key: Key<T>) -> Option<&mut T> {
        let cell = self.cells.get_mut(key.index as usize)?;
        if cell.generation != key.generation {
            return None;
        }
        cell.value.as_mut()
    }

    /// Every value with its key, in the order of their places.
    pub fn iter(&self) -> impl Iterator<Item = (Key<T>, &T)> {
        self.cells.iter().enumerate().filter_map(|(index, cell)| {
            let key = Key {
                index: u32::try_from(index).ok()?,
                generation: cell.generation,
                marker: PhantomData,
            };
            Some((key, cell.value.as_ref()?))
        })
    }
}
