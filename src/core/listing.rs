//! VMs in the platform's list, which names live and leaving VMs.

use std::net::SocketAddr;

use crate::declare::zone;

/// Purpose of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Runs a process of this system.
    Entry,
    /// Runs tasks and replicas.
    Worker,
}

/// A VM of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name, which stays the same after a replacement.
    pub name: String,
    /// Number of the instance, which changes with each replacement or restart.
    pub instance: u64,
    /// Purpose.
    pub kind: Kind,
    /// Availability zone.
    pub zone: zone::Id,
    /// Name of the rack.
    pub rack: String,
    /// Name of a worker's pool; empty for an entry VM.
    pub pool: String,
    /// Address of a worker for control calls and requests, or of an entry VM for messages of peers.
    pub address: SocketAddr,
    /// Whether the platform is going to stop it.
    pub leaving: bool,
}
