//! Headroom of workers for filling tasks: the load that their serving tasks tolerate, and the processor time that is
//! left.
//!
//! Loads follow the model of [`super::image`]. A deferrable filling task starts only on a worker whose serving tasks
//! meet their targets with it even at their peak load; an urgent one also where they do so at their current load.

use super::control::step_of;
use super::image::{self, Usage};
use super::run::{self, Phase};
use super::worker::Key;

/// Load of a serving task that a placement or a faster pace must leave unused below the load at its target.
pub(super) const LOAD_RESERVE: f64 = 0.02;

/// Expected rise of a serving task's own load while an urgent filling task runs beside it.
const OWN_LOAD_RISE: f64 = 0.06;

/// Lowest pace in percent at which the processor time of a slowed filling run is counted, since it may speed up again.
const COUNTED_PACE_MIN_PERCENT: u32 = 30;

/// Share of its requested processor time that a filling task is assumed to use, as its actual use is unknown.
const REQUEST_USE_SHARE: f64 = 0.9;

/// Load that can be added to a serving task until it reaches its target; negative if it is over the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slack {
    /// Image of the serving task.
    pub image: image::Key,
    /// Load left at the peak of its own load.
    pub at_peak: f64,
    /// Load left at its current own load plus the expected rise.
    pub at_present: f64,
}

/// Headroom of a worker for filling tasks, beside its current runs.
#[derive(Debug, Clone, PartialEq)]
pub struct Headroom {
    /// Slack of each serving task on the worker.
    pub slack: Vec<Slack>,
    /// Processor time that is expected to be left, in thousandths of a core; can be negative.
    pub spare_cpu_millicores: i64,
    /// Share of the filling images with low interference, from 0 to 1; that of the most sensitive serving task.
    pub compatible_share: f64,
}

/// Whether a filling task can wait for a worker whose serving tasks tolerate it at their peak load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Urgency {
    /// The task can wait.
    Deferrable,
    /// The task has waited long enough, and starts where the current loads allow it.
    Urgent,
}

/// Processor time that the filling runs on a worker are expected to use at their current pace, by image. Runs that are
/// being stopped do not count.
fn expected_usage(state: &super::State, key: Key) -> Vec<Usage> {
    let load = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        let is_stopping = matches!(run.phase, Phase::Stopping { .. });
        let cores = f64::from(run.profile.filling_cpu_millicores) / 1_000.0
            * f64::from(run.pace_percent.min(100))
            / 100.0
            * REQUEST_USE_SHARE;
        (run.profile.filling_cpu_millicores > 0 && !is_stopping).then_some((run.profile.image?, cores))
    };
    state.workers.all[key].runs.iter().filter_map(load).collect()
}

/// Estimates the headroom of a worker for filling tasks.
pub(super) fn estimate(state: &super::State, key: Key) -> Headroom {
    let worker = &state.workers.all[key];
    let used = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        Some(
            i64::from(run.profile.filling_cpu_millicores)
                * i64::from(run.pace_percent.clamp(COUNTED_PACE_MIN_PERCENT, 100))
                / 100,
        )
    };
    let used: i64 = worker.runs.iter().filter_map(used).sum();
    let slack = slack(state, key);
    let compatible_share =
        slack.iter().map(|slack| state.images.compatible_share(slack.image)).fold(1.0, f64::min);
    Headroom { slack, spare_cpu_millicores: worker.fillable_cpu_millicores() - used, compatible_share }
}

/// Returns the slack of the serving tasks on a worker, beside its current filling runs.
pub(super) fn slack(state: &super::State, key: Key) -> Vec<Slack> {
    let usage = expected_usage(state, key);
    let run_slack = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        let image = run.profile.image?;
        let estimate = state.images.image(image);
        let own = run.own_load.unwrap_or(estimate.mean);
        let left = load_at_target(state, run)? - state.images.interference(image, usage.iter().copied());
        Some(Slack { image, at_peak: left - own.max(estimate.peak), at_present: left - own - OWN_LOAD_RISE })
    };
    state.workers.all[key].runs.iter().filter_map(run_slack).collect()
}

/// Returns the load at which the response time of a serving run equals its target; `None` if it has no target or image.
pub(super) fn load_at_target(state: &super::State, run: &run::Run) -> Option<f64> {
    let target = step_of(state, run.name)?.latency_target?;
    Some(state.images.load_at(run.profile.image?, (target.as_secs_f64() * 1_000.0).max(1.0)))
}

/// Returns the smallest slack of the serving tasks, less [`LOAD_RESERVE`], after a filling task that requests `cpu`
/// thousandths of a core is added; negative if the reserve is used.
pub(super) fn slack_after(
    state: &super::State,
    slack: &[Slack],
    image: image::Key,
    cpu: u32,
    urgency: Urgency,
) -> f64 {
    let cores = f64::from(cpu) / 1_000.0 * REQUEST_USE_SHARE;
    let left = |slack: &Slack| {
        let left = match urgency {
            Urgency::Deferrable => slack.at_peak,
            Urgency::Urgent => slack.at_present,
        };
        left - state.images.weight(slack.image, image) * cores
    };
    slack.iter().map(left).fold(f64::INFINITY, f64::min) - LOAD_RESERVE
}

/// Returns the load that a filling task adds to the serving task that it disturbs most.
pub(super) fn max_interference(state: &super::State, slack: &[Slack], image: image::Key, cpu: u32) -> f64 {
    let cores = f64::from(cpu) / 1_000.0 * REQUEST_USE_SHARE;
    slack.iter().map(|slack| state.images.weight(slack.image, image) * cores).fold(0.0, f64::max)
}
