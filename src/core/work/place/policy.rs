//! Policies that select the worker of a task among those with room for it.

use super::locality::{self, Decision, Outlook};
use super::need::Need;
use crate::core::work::worker::Worker;

/// Score penalty of a worker outside the rack that holds the data of a task.
const REMOTE_DATA_SCORE: i64 = -100_000_000;

/// Score penalty for each serving run of another image: filling tasks often interfere with one image and not with
/// another, so serving tasks of an image are kept together.
const MIXED_IMAGE_SCORE: i64 = -30_000;

/// Score penalties of a worker for a serving task, each larger than the free cores of any worker in thousandths: for a run of
/// the same group on it, whose crash both would share; for having no serving run yet; and for each serving run of another image.
/// Serving tasks run for long and are not preempted, so they share few workers, and others stay whole for tasks that need
/// most of a worker.
const SIBLING_SCORE: i64 = -1_000_000;
const EMPTY_WORKER_SCORE: i64 = -2_500_000;
const MIXED_SERVING_SCORE: i64 = -10_000_000;

/// Score penalty for the load that a filling task adds to a serving task, per load of 1, which saturates the serving
/// task.
const INTERFERENCE_SCORE: f64 = -100_000.0;

/// Score penalty of a worker that tolerates all filling images: its resources are kept for images that few other
/// workers tolerate.
const COMPATIBLE_SHARE_SCORE: f64 = -8_000.0;

/// How the worker of a task is chosen.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Returns the score of a worker with room for the task; the worker with the highest score is chosen.
    pub score: fn(&Need, &Offer<'_>) -> i64,
    /// Decides whether a task that has room only outside its rack waits.
    pub wait: fn(&Outlook) -> Decision,
}

/// A worker with room for a task, as input of its score.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// The worker.
    pub worker: &'a Worker,
    /// Number of serving runs on the worker whose image is not that of the task.
    pub other_serving: u32,
    /// Number of runs of the same group on the worker, if the task serves users.
    pub siblings: u32,
    /// Conditions for a filling task on the worker; zero for other tasks.
    pub filling: Filling,
}

/// Conditions that a filling task finds on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Filling {
    /// Processor time that is expected to be left, in thousandths of a core.
    pub spare_cpu_millicores: i64,
    /// Load that the task adds to the serving task on the worker that it interferes with most.
    pub interference: f64,
    /// Share of the filling images whose interference with all serving tasks on the worker is low, from 0 to 1.
    pub compatible_share: f64,
}

/// Packs batch tasks onto few workers, keeps serving tasks of an image together, and puts filling tasks where most
/// processor time is unused.
pub const PACKED: Policy = Policy { score: packed, wait: locality::decide };

/// Puts each task on the worker with most free cores; the baseline that [`PACKED`] is compared with.
pub const SPREAD: Policy = Policy {
    score: |_, offer| i64::from(offer.worker.free_resources().cpu_millicores),
    wait: |_| Decision::Start,
};

fn packed(need: &Need, offer: &Offer<'_>) -> i64 {
    let worker = offer.worker;
    let free = i64::from(worker.free_resources().cpu_millicores);
    let base = if need.is_filling {
        let Filling { spare_cpu_millicores, interference, compatible_share } = offer.filling;
        spare_cpu_millicores
            + (INTERFERENCE_SCORE * interference + COMPATIBLE_SHARE_SCORE * compatible_share) as i64
    } else if need.is_serving {
        let empty = if worker.serving_runs == 0 { EMPTY_WORKER_SCORE } else { 0 };
        empty
            + SIBLING_SCORE * i64::from(offer.siblings)
            + MIXED_SERVING_SCORE * i64::from(offer.other_serving)
            - free
    } else if need.is_long_running {
        free + MIXED_IMAGE_SCORE * i64::from(offer.other_serving)
    } else {
        -free
    };
    base + if need.is_remote(worker) { REMOTE_DATA_SCORE } else { 0 }
}
