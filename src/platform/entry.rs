//! Decoding of workers' entries in the store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::core::work::spec::Resources;
use crate::core::work::worker::{Readiness, Report};

/// Resources of a worker in the platform's format.
#[derive(Deserialize)]
pub(super) struct Capacity {
    /// Thousandths of a core.
    #[serde(default)]
    cpu: u32,
    #[serde(default)]
    mem_mb: u32,
    #[serde(default)]
    gpu: u32,
}

impl From<Capacity> for Resources {
    fn from(capacity: Capacity) -> Self {
        Self { cpu_millicores: capacity.cpu, memory_mb: capacity.mem_mb, gpu: capacity.gpu }
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

#[derive(Deserialize)]
struct Entry {
    service: String,
    address: SocketAddr,
    zone: String,
    state: State,
    capacity: Option<Capacity>,
    #[serde(default)]
    labels: Vec<String>,
    /// Start of the worker process in milliseconds since the Unix epoch.
    born: Option<u64>,
}

/// Decodes a worker's report; `None` if the entry was written by something else and does not describe a worker.
pub(super) fn decode(bytes: &[u8]) -> Option<Report> {
    let entry: Entry = serde_json::from_slice(bytes).ok()?;
    Some(Report {
        service: entry.service,
        address: entry.address,
        zone: entry.zone,
        readiness: match entry.state {
            State::Ready => Readiness::Ready,
            State::Draining => Readiness::Draining,
        },
        capacity: entry.capacity.map(Resources::from),
        labels: entry.labels,
        started_unix_ms: entry.born,
    })
}
