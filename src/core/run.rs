//! Runs of service replicas.

/// Identity of one run of a replica; each start has a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);
