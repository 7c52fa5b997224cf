//! Report of a local run.

use serde::Serialize;

use super::sample::Counters;
use crate::error::{Error, Result};
use crate::standin::audit::Counts;

/// Latency of the answered sample requests.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Latency {
    /// Median in milliseconds.
    pub p50: f64,
    /// 99th percentile in milliseconds.
    pub p99: f64,
}

/// Declared and completed work of a run. Violations are counted by the stand-ins, not by the scheduler.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Sample requests sent, each counted once.
    pub requests_sent: u64,
    /// Sample requests with a correct answer.
    pub requests_answered: u64,
    /// Refusals without execution, after which the caller retries the request.
    pub requests_refused: u64,
    /// Sample requests that failed, or that were refused at every attempt.
    pub requests_lost: u64,
    /// Answers that are corrupt or belong to another request.
    pub wrong_answers: u64,
    /// Batch tasks declared.
    pub tasks_declared: u64,
    /// Batch tasks finished.
    pub tasks_finished: u64,
    /// Batch attempts stopped before they finished.
    pub evictions: u64,
    /// Violations: attempts of a task that was already executing or had finished.
    pub tasks_run_twice: u64,
    /// Violations: start commands over the free resources of a worker.
    pub slots_overcommitted: u64,
    /// Violations: requests over the connection limit of a worker.
    pub connections_overcommitted: u64,
    /// Violations: repeated executions of non-idempotent requests.
    pub requests_run_twice: u64,
    /// Latency of the answered sample requests, in milliseconds.
    pub latency_ms: Latency,
}

impl Report {
    /// Builds the report of a run with `tasks_declared` declared tasks.
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

    /// Checks that all declared tasks finished, all sample requests were answered and no violation was counted.
    ///
    /// # Errors
    ///
    /// Lists the violations and the incomplete work.
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
