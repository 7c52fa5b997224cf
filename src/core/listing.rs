//! The platform's list of live and leaving VMs, as the reducer sees it.

use std::net::SocketAddr;

use crate::declare::zone;

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Runs a process of this system.
    Entry,
    /// Runs tasks.
    Worker,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Vm {
    /// Name, kept over replacements.
    pub name: String,
    /// Number of the instance; a replaced or restarted VM has another one.
    pub instance: u64,
    /// What it is for.
    pub kind: Kind,
    /// Availability zone.
    pub zone: zone::Id,
    /// Rack.
    pub rack: String,
    /// Pool of a worker; empty for an entry VM.
    pub pool: String,
    /// Control and data address of a worker, peer address of an entry VM.
    pub address: SocketAddr,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}
