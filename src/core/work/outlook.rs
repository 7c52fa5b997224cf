//! What workers offer to filling tasks: how much their serving tasks bear, and how much processor time is left.
//!
//! The load of each serving task is that of [`super::image`]. A task that can wait starts only where the serving tasks bear
//! it even when their own load is high; one that has waited also where they bear it now.

use super::control::step_of;
use super::image::{self, Load};
use super::run::{self, Phase};
use super::worker::Key;

/// Distance of the load from that at the target that a placement or a faster pace must leave.
pub(super) const RESERVE: f64 = 0.02;

/// Rise of a task's own load that is expected while a filling task runs that cannot wait for a calmer place.
const RISE: f64 = 0.06;

/// Pace that a slowed filling run is counted with at least, since it may speed up again, in percent.
const PACE_COUNTED: u32 = 30;

/// Part of its request that a filling task uses, as far as nothing is known.
const USE: f64 = 0.9;

/// How much load a serving task bears until it is at its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slack {
    /// Image of the task.
    pub image: image::Key,
    /// What is left when its own load is high.
    pub at_peak: f64,
    /// What is left at its current own load.
    pub at_present: f64,
}

/// What a worker offers to filling tasks, with what runs there now.
#[derive(Debug, Clone, PartialEq)]
pub struct Outlook {
    /// What its serving tasks bear.
    pub slack: Vec<Slack>,
    /// Processor time that is expected to be left, in thousandths of a core.
    pub spare: i64,
    /// Share of the filling images that hardly disturb any of its serving tasks.
    pub openness: f64,
}

/// How long a filling task can wait for a place where it surely disturbs nobody.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// It can.
    Patient,
    /// It has waited long enough.
    Pressing,
}

/// Filling loads on a worker as far as they are expected soon.
fn expected_loads(state: &super::State, key: Key) -> Vec<Load> {
    let fills = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        let stops = matches!(run.phase, Phase::Stopping { .. });
        let cores = f64::from(run.share.filling_cpu) / 1_000.0 * f64::from(run.pace.min(100)) / 100.0 * USE;
        (run.share.filling_cpu > 0 && !stops).then_some((run.share.image?, cores))
    };
    state.workers.all[key].runs.iter().filter_map(fills).collect()
}

/// What a worker offers to filling tasks.
pub(super) fn of(state: &super::State, key: Key) -> Outlook {
    let worker = &state.workers.all[key];
    let used = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        Some(i64::from(run.share.filling_cpu) * i64::from(run.pace.clamp(PACE_COUNTED, 100)) / 100)
    };
    let used: i64 = worker.runs.iter().filter_map(used).sum();
    let slack = slack(state, key);
    let openness = slack.iter().map(|slack| state.images.openness(slack.image)).fold(1.0, f64::min);
    Outlook { slack, spare: worker.fillable() - used, openness }
}

/// What the serving tasks on a worker bear, with what runs there now.
pub(super) fn slack(state: &super::State, key: Key) -> Vec<Slack> {
    let loads = expected_loads(state, key);
    let serving = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        let image = run.share.image?;
        let known = state.images.image(image);
        let own = run.own.unwrap_or(known.mean);
        let left = limit(state, run)? - state.images.pressure(image, loads.iter().copied());
        Some(Slack { image, at_peak: left - own.max(known.peak), at_present: left - own - RISE })
    };
    state.workers.all[key].runs.iter().filter_map(serving).collect()
}

/// Load at which a serving run is at its target.
pub(super) fn limit(state: &super::State, run: &run::Run) -> Option<f64> {
    let target = step_of(state, run.name)?.latency_target?;
    Some(state.images.load(run.share.image?, (target.as_secs_f64() * 1_000.0).max(1.0)))
}

/// What the worst serving task bears when a filling task is added, above the reserve; negative if the reserve is touched.
pub(super) fn after(
    state: &super::State,
    slack: &[Slack],
    image: image::Key,
    cpu: u32,
    urgency: Urgency,
) -> f64 {
    let cores = f64::from(cpu) / 1_000.0 * USE;
    let left = |slack: &Slack| {
        let left = match urgency {
            Urgency::Patient => slack.at_peak,
            Urgency::Pressing => slack.at_present,
        };
        left - state.images.weight(slack.image, image) * cores
    };
    slack.iter().map(left).fold(f64::INFINITY, f64::min) - RESERVE
}

/// Load that a filling task adds to the serving task that it disturbs most.
pub(super) fn pressure(state: &super::State, slack: &[Slack], image: image::Key, cpu: u32) -> f64 {
    let cores = f64::from(cpu) / 1_000.0 * USE;
    slack.iter().map(|slack| state.images.weight(slack.image, image) * cores).fold(0.0, f64::max)
}
