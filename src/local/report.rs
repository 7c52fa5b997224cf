//! Report of a local run.

use serde::Serialize;

use super::sample::Counters;
use crate::error::{Error, Result};
use crate::standin::audit::Counts;

/// Latency of the sample requests.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Latency {
    /// Median in milliseconds.
    pub p50: f64,
    /// 99th percentile in milliseconds.
    pub p99: f64,
}

/// What was declared and what happened. The violations are counted by the stand-ins, not by the scheduler.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Sample requests sent.
    pub requests_sent: u64,
    /// Sample requests answered in full.
    pub requests_answered: u64,
    /// Refusals as "not run"; the caller tried again.
    pub requests_refused: u64,
    /// Sample requests without an answer.
    pub requests_lost: u64,
    /// Answers that belong to another request or are damaged.
    pub wrong_answers: u64,
    /// Batch tasks declared.
    pub tasks_declared: u64,
    /// Batch tasks finished.
    pub tasks_finished: u64,
    /// Batch attempts stopped before their end.
    pub evictions: u64,
    /// Violations: tasks that ran in two places, or again after they finished.
    pub tasks_run_twice: u64,
    /// Violations: starts beyond what a worker can hold.
    pub slots_overcommitted: u64,
    /// Violations: requests beyond a worker's connections.
    pub connections_overcommitted: u64,
    /// Violations: non-idempotent requests that ran more than once.
    pub requests_run_twice: u64,
    /// Latency of answered sample requests.
    pub latency_ms: Latency,
}

impl Report {
    /// Report of a run that declared `tasks_declared` tasks.
    pub fn new(tasks_declared: u64, counters: Counters, counts: Counts) -> Self {
        let latency_ms = |quantile| counters.latency_us.value_at_quantile(quantile) as f64 / 1000.0;
        Self {
            requests_sent: counters.sent,
            requests_answered: counters.answered,
            requests_refused: counters.refused,
            requests_lost: counters.lost,
            wrong_answers: counters.wrong,
            tasks_declared,
            tasks_finished: counts.tasks_finished,
            evictions: counts.tasks_evicted,
            tasks_run_twice: counts.tasks_run_twice,
            slots_overcommitted: counts.slots_overcommitted,
            connections_overcommitted: counts.connections_overcommitted,
            requests_run_twice: counts.requests_run_twice,
            latency_ms: Latency { p50: latency_ms(0.5), p99: latency_ms(0.99) },
        }
    }

    /// Checks that everything declared happened and that no promise was broken.
    ///
    /// # Errors
    ///
    /// All that is missing or was violated.
    pub fn verify(&self) -> Result<()> {
        let violations = self.tasks_run_twice
            + self.slots_overcommitted
            + self.connections_overcommitted
            + self.requests_run_twice
            + self.wrong_answers;
        let mut unmet = Vec::new();
        if violations > 0 {
            unmet.push(format!("{violations} violation(s)"));
        }
        if self.tasks_finished != self.tasks_declared {
            unmet.push(format!("{} of {} tasks finished", self.tasks_finished, self.tasks_declared));
        }
        if self.requests_answered != self.requests_sent {
            unmet.push(format!("{} of {} requests answered", self.requests_answered, self.requests_sent));
        }
        if unmet.is_empty() { Ok(()) } else { Err(Error::Unmet(unmet.join("; "))) }
    }
}
