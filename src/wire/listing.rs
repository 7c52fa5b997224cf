//! JSON encoding of the platform's VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::listing;
use crate::declare::zone;

/// Purpose of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs a process of this system.
    Entry,
    /// Runs tasks and replicas.
    Worker,
}

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In use.
    Live,
    /// The platform is going to stop the VM.
    Leaving,
}

/// A VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, which stays the same after a replacement.
    pub name: String,
    /// Number of the instance, which changes with each replacement or restart.
    pub instance: u64,
    /// Purpose.
    pub kind: Kind,
    /// Name of the availability zone.
    pub zone: String,
    /// Name of the rack.
    pub rack: String,
    /// Name of a worker's pool; empty for an entry VM.
    #[serde(default)]
    pub pool: String,
    /// Address of a worker for control calls and requests, or of an entry VM for messages of peers.
    pub address: SocketAddr,
    /// Lifecycle state.
    pub state: State,
}

impl From<Vm> for listing::Vm {
    fn from(vm: Vm) -> Self {
        Self {
            name: vm.name,
            instance: vm.instance,
            kind: match vm.kind {
                Kind::Entry => listing::Kind::Entry,
                Kind::Worker => listing::Kind::Worker,
            },
            zone: zone::Id::of(vm.zone),
            rack: vm.rack,
            pool: vm.pool,
            address: vm.address,
            leaving: vm.state == State::Leaving,
        }
    }
}
