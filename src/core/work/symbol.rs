//! Names as small keys, so that they are compared without looking at their text.

use crate::hash;

/// Key of a name: its stable hash. Equal names have equal keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    /// Returns the key of a name.
    pub fn of(name: &str) -> Self {
        Self(hash::name(name))
    }
}
