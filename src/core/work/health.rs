//! Health of workers, judged by the outcomes of their runs.
//!
//! A worker on which runs of several jobs have failed, with no completed run between them, is suspected for a while: tasks
//! with a limited number of attempts are not started there. Runs also fail for reasons of their own, and the worker may be
//! the only one with room. So a long-running task, which has no such limit, is started there if no other worker has room:
//! the first one as a trial, and others once that one has survived its start.

use std::time::Duration;

use super::order::{Ended, How};
use super::{run, state, worker};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Time after a failed run on a suspected worker until the next trial, which bounds the starts on a faulty worker.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1_000);

/// Suspicion that a worker fails what it starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspicion {
    /// When it ends.
    pub until: Instant,
    /// Earliest start of a trial.
    pub next_trial_at: Instant,
    /// Whether a run has survived its start, or has completed, since the last failure.
    pub has_passed_trial: bool,
}

impl Suspicion {
    /// Begins a suspicion at `now`.
    fn new(now: Instant, length: Duration) -> Self {
        Self { until: now + length, next_trial_at: now, has_passed_trial: false }
    }

    /// Whether a long-running task may be started on the worker.
    pub fn allows_long_running(&self, now: Instant) -> bool {
        self.has_passed_trial || self.next_trial_at <= now
    }
}

/// Records the end of a run as evidence for or against its worker.
pub(super) fn record_end(state: &mut super::State, key: worker::Key, end: &Ended, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    match end.how {
        How::Done => {
            worker.failed_jobs.clear();
            pass_trial(worker);
        }
        How::Failed => {
            if !worker.failed_jobs.contains(&end.name.job) {
                worker.failed_jobs.push(end.name.job);
            }
            if let Some(suspicion) = &mut worker.suspicion {
                suspicion.next_trial_at = now + TRIAL_INTERVAL;
                suspicion.has_passed_trial = false;
            }
        }
        _ => return,
    }
    let has_failed_repeatedly = worker.failed_jobs.len() >= state.tuning.suspect_failures as usize;
    if has_failed_repeatedly && !worker.is_suspected(now) {
        worker.suspicion = Some(Suspicion::new(now, state.tuning.suspect_duration));
        worker.failed_jobs.clear();
        let reason = format!("runs of several jobs failed on {}", worker.id);
        state::record(out, Subject::Process, "suspect-worker", reason);
    }
}

/// Records that a run has survived its start on a worker, which ends a trial.
pub(super) fn record_survival(worker: &mut worker::Worker, run: run::Key) {
    if worker.trial_run.take_if(|trial| *trial == run).is_some() {
        pass_trial(worker);
    }
}

fn pass_trial(worker: &mut worker::Worker) {
    if let Some(suspicion) = &mut worker.suspicion {
        suspicion.has_passed_trial = true;
    }
}
