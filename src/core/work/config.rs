//! Queues and services that the operator configured.

use std::time::Duration;

/// Queue that accepts jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Start of the paths that belong to the queue.
    pub prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// 0 comes first, and may preempt others.
    pub priority: u32,
    /// Failures of one task after which its job has failed.
    pub max_attempts: u32,
    /// Objective, in lengths of the longest chain of a job.
    pub stretch: f64,
    /// Added to the objective.
    pub objective: Duration,
}

impl Queue {
    /// Time within which a job with this estimated chain should be done.
    pub fn deadline(&self, chain: Duration) -> Duration {
        self.objective + chain.mul_f64(self.stretch.max(0.0))
    }
}

/// Workers of one kind of work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name.
    pub name: String,
}

/// Configuration in force.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Version; 0 before the first one is known.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
}

impl Config {
    /// Queue with the longest prefix that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Queue with this name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }
}
