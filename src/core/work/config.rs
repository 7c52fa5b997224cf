//! Configuration of the job scheduler: queues and services.

use std::time::Duration;

/// A queue to which callers submit jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name by which jobs refer to the queue.
    pub name: String,
    /// Host of the requests that belong to the queue; compared without regard to case.
    pub host: String,
    /// Prefix of the paths that belong to the queue.
    pub prefix: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Priority of the jobs; 0 is the highest, and only tasks of priority 0 may preempt others.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor by which the critical path of a job is multiplied to get its time to completion.
    pub stretch: f64,
    /// Fixed part of the time to completion, added to the stretched critical path.
    pub objective: Duration,
}

impl Queue {
    /// Time from its acceptance within which a job with this critical path should be completed.
    pub fn deadline(&self, critical_path: Duration) -> Duration {
        self.objective + critical_path.mul_f64(self.stretch.max(0.0))
    }
}

/// A group of workers that run the tasks of the same queues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name by which queues and workers refer to the service.
    pub name: String,
}

/// The active configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Version; 0 until a configuration is received.
    pub version: u64,
    /// Configured queues.
    pub queues: Vec<Queue>,
    /// Configured services.
    pub services: Vec<Service>,
}

impl Config {
    /// Queue of `host` with the longest prefix of `path`.
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
