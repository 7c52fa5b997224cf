//! Cells: the workers and tasks that one entry VM owns at a time.

use slotmap::new_key_type;

use crate::declare::zone;

new_key_type! {
    /// Key of a cell in this process.
    pub struct Key;
}

/// Identity of a cell over all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id {
    /// Its zone.
    pub zone: zone::Id,
    /// Its number in the zone.
    pub index: u16,
}

impl Id {
    /// Number for hashing.
    pub fn number(self) -> u64 {
        (u64::from(self.zone.0) << 16) | u64::from(self.index)
    }
}
