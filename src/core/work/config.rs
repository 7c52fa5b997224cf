//! Configuration of the job scheduler: queues and services.

use std::collections::VecDeque;
use std::time::Duration;

use super::store::Revision;
use crate::hash::{Map, Set};

/// Number of changes that are kept to describe a newer configuration by its differences.
const HISTORY_LENGTH: usize = 8;

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

/// A version of the configuration, with the revision of the store up to which it is known to be the newest.
///
/// A reader that continues after that revision misses no later version, so the two are kept together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Config {
    /// Version; 0 until a configuration is received.
    pub version: u64,
    /// Revision of the store up to which no newer version exists.
    pub newest_until: Revision,
    /// Configured queues.
    pub queues: Vec<Queue>,
    /// Configured services.
    pub services: Vec<Service>,
}

impl Config {
    /// Records that the store has no newer version up to a revision.
    pub fn confirm(&mut self, revision: Revision) {
        self.newest_until = self.newest_until.max(revision);
    }

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

/// Difference between two versions of the configuration.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Update {
    /// Version that the changes apply to; 0 if they are the whole configuration.
    pub base: u64,
    /// Version after the changes.
    pub version: u64,
    /// Queues that are new or have changed.
    pub queues: Vec<Queue>,
    /// Names of the queues that were removed.
    pub removed: Vec<String>,
    /// All services.
    pub services: Vec<Service>,
    /// Revision of the store up to which `version` is the newest.
    pub newest_until: Revision,
}

impl Update {
    /// Configuration after the changes; `None` if they do not apply to `config`.
    pub fn apply(self, config: &Config) -> Option<Config> {
        let Self { base, version, queues, removed, services, newest_until } = self;
        if version <= config.version || (base > 0 && base != config.version) {
            return None;
        }
        if base == 0 {
            return Some(Config { version, newest_until, queues, services });
        }
        let replaced: Set<&str> = queues
            .iter()
            .map(|queue| queue.name.as_str())
            .chain(removed.iter().map(String::as_str))
            .collect();
        let kept = config.queues.iter().filter(|queue| !replaced.contains(queue.name.as_str())).cloned();
        let kept: Vec<Queue> = kept.collect();
        let queues = kept.into_iter().chain(queues).collect();
        Some(Config { version, newest_until, queues, services })
    }
}

/// Names of the queues that differ between a version and the one before it.
#[derive(Debug, Clone)]
struct Change {
    base: u64,
    names: Vec<String>,
}

/// Newest changes of the configuration, from which updates for other entry VMs are made.
#[derive(Debug, Clone, Default)]
pub struct History {
    changes: VecDeque<Change>,
}

impl History {
    /// Records the change from one configuration to the next.
    pub fn record(&mut self, old: &Config, new: &Config) {
        let old_queues: Map<&str, &Queue> =
            old.queues.iter().map(|queue| (queue.name.as_str(), queue)).collect();
        let new_names: Set<&str> = new.queues.iter().map(|queue| queue.name.as_str()).collect();
        let changed = new.queues.iter().filter(|queue| old_queues.get(queue.name.as_str()) != Some(queue));
        let removed = old.queues.iter().filter(|queue| !new_names.contains(queue.name.as_str()));
        let names = changed.chain(removed).map(|queue| queue.name.clone()).collect();
        self.changes.push_back(Change { base: old.version, names });
        if self.changes.len() > HISTORY_LENGTH {
            self.changes.pop_front();
        }
    }

    /// Update from the version `base` to `config`, which is the newest version; the whole configuration if the changes
    /// since `base` are not known.
    pub fn update_since(&self, base: u64, config: &Config) -> Update {
        let Config { version, newest_until, .. } = *config;
        if base == version {
            return Update { base, version, newest_until, ..Update::default() };
        }
        let services = config.services.clone();
        let first = self.changes.iter().position(|change| change.base == base && base > 0);
        let Some(first) = first else {
            let queues = config.queues.clone();
            return Update { base: 0, version, queues, removed: Vec::new(), services, newest_until };
        };
        let mut names: Set<&str> =
            self.changes.iter().skip(first).flat_map(|change| &change.names).map(String::as_str).collect();
        let changed = config.queues.iter().filter(|queue| names.remove(queue.name.as_str()));
        let queues: Vec<Queue> = changed.cloned().collect();
        let mut removed: Vec<String> = names.into_iter().map(str::to_owned).collect();
        removed.sort_unstable();
        Update { base, version, queues, removed, services, newest_until }
    }
}
