//! Workers and their control leases.

use slotmap::new_key_type;

use crate::hash;

new_key_type! {
    /// Key of a worker in this process.
    pub struct Key;
}

/// Identity of a worker: a hash of its name, kept over replacements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl Id {
    /// Identity of the worker called `name`.
    pub fn of(name: impl AsRef<str>) -> Self {
        Self(hash::name(name))
    }
}
