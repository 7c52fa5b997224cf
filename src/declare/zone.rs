//! Regions, availability zones and the links between regions.

use std::time::Duration;

/// Index of a zone in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// Stable identity of a zone: a hash of its name, the same in every version of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u32);

impl Id {
    /// Identity of the zone with the name `name`.
    pub fn of(name: impl AsRef<str>) -> Self {
        Self(crate::hash::name(name) as u32)
    }
}

/// Index of a region in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Region(pub u16);

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Zone {
    /// Stable identity.
    pub id: Id,
    /// Name in documents and settings; unique over all documents.
    pub name: String,
    /// Region it belongs to.
    pub region: Region,
    /// Number of cells that its workers are divided into.
    pub cells: u16,
    /// Number of entry VMs. Only `local` uses it, since elsewhere the platform starts them.
    pub entry_vms: u16,
    /// Whether it is declared as permanently lost: its VMs are stopped and its tasks may move.
    pub is_retired: bool,
}

/// A link between two regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Link {
    /// The two regions, lower key first.
    pub between: (Region, Region),
    /// Bandwidth in each direction, in bits per second.
    pub bits_per_second: u64,
    /// One-way delay.
    pub delay: Duration,
}
