//! Pools: groups of equal workers in one zone.

use super::size::Size;
use super::zone;

/// Index of a pool in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// A group of equal workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Pool {
    /// Name, as in the platform's VM list; unique over all documents.
    pub name: String,
    /// Zone of its workers.
    pub zone: zone::Key,
    /// Racks of its workers.
    pub racks: Vec<String>,
    /// Expected number of workers, for capacity checks, job homes and `local`.
    pub count: u32,
    /// Capacity of each worker.
    pub size: Size,
    /// Number of connections that each worker accepts.
    pub connections: u16,
    /// Labels (key, value) that the filters of services and jobs can require.
    pub labels: Vec<(String, String)>,
}

/// Constraint on the VMs that may be used; empty lists allow all.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Filter {
    /// Allowed zones.
    pub zones: Vec<zone::Key>,
    /// Allowed racks.
    pub racks: Vec<String>,
    /// Labels (key, value) that the pool must have.
    pub labels: Vec<(String, String)>,
}

impl Filter {
    /// Whether workers of `pool` in `rack` may be used.
    pub fn allows(&self, pool: &Pool, rack: &str) -> bool {
        (self.racks.is_empty() || self.racks.iter().any(|r| r == rack)) && self.allows_pool(pool)
    }

    /// Whether any worker of `pool` may be used.
    pub fn allows_pool(&self, pool: &Pool) -> bool {
        (self.zones.is_empty() || self.zones.contains(&pool.zone))
            && (self.racks.is_empty() || self.racks.iter().any(|r| pool.racks.contains(r)))
            && self.labels.iter().all(|label| pool.labels.contains(label))
    }
}
