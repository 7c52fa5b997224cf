//! JSON of the platform's VM list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::core::listing;
use crate::declare::zone;

/// What a VM is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs a process of this system.
    Entry,
    /// Runs tasks.
    Worker,
}

/// Whether a VM is about to be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// In use.
    Live,
    /// The platform is about to stop it.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name, kept over replacements.
    pub name: String,
    /// Number of the instance.
    pub instance: u64,
    /// What it is for.
    pub kind: Kind,
    /// Name of the availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// Pool of a worker; empty for an entry VM.
    #[serde(default)]
    pub pool: String,
    /// Control and data address of a worker, peer address of an entry VM.
    pub address: SocketAddr,
    /// Live or leaving.
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
