//! Members: the entry VMs of this system.
//!
//! The platform's VM list names the candidates; heartbeats say who is alive. Heartbeats go to a fixed number of members,
//! so traffic does not grow with the zone, and carry the newest counters of others, so that news spreads anyway.

use std::net::SocketAddr;

use slotmap::new_key_type;

use super::time::Instant;
use crate::declare::zone;
use crate::hash;

new_key_type! {
    /// Key of a member in this process.
    pub struct Key;
}

/// Identity of one instance of an entry VM; a restarted VM is another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl Id {
    /// Identity of instance `instance` of the VM called `name`.
    pub fn of(name: impl AsRef<str>, instance: u64) -> Self {
        Self(hash::numbers([hash::name(name), instance]))
    }
}

/// Health of a member as seen here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Heard of recently.
    Live,
    /// Silent; its cells are taken over.
    Suspect,
    /// Said that it is leaving.
    Leaving,
}

/// An entry VM.
#[derive(Debug, Clone)]
pub struct Member {
    /// Identity of the instance.
    pub id: Id,
    /// Name in the VM list.
    pub name: String,
    /// Availability zone.
    pub zone: zone::Id,
    /// Address for peers.
    pub address: SocketAddr,
    /// Heartbeat counter, highest seen.
    pub beat: u64,
    /// When the counter last rose.
    pub heard: Instant,
    /// Health.
    pub health: Health,
    /// Highest configuration version it said it has in force.
    pub version: u64,
}

/// Liveness of a member as it travels in heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Beat {
    /// The member.
    pub id: Id,
    /// Its heartbeat counter.
    pub beat: u64,
}
