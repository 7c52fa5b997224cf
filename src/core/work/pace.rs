//! Pacing of filling runs, so that the serving tasks beside them meet their response time targets.
//!
//! Placement checks the [`super::headroom`] of a worker before it adds a filling task. If a serving task comes near its
//! target nevertheless, the filling runs that interfere with it most are throttled as far as necessary, and speed up
//! again once the serving tasks have slack.

use super::control::{self, step_of};
use super::headroom::{LOAD_RESERVE, Urgency, load_at_target, max_interference, slack, slack_after};
use super::image::{self, Usage};
use super::order::{Order, Refusal, Reply};
use super::run::{self, Phase};
use super::timer::Timer;
use super::worker::Key;
use super::{event::Fault, journal, leadership, place, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Distance below the load at its target from which on a serving task counts as at risk.
const RISK_DISTANCE: f64 = 0.02;

/// Smoothing factor of the own load of a task, per reading.
const OWN_LOAD_GAIN: f64 = 0.5;

/// Smallest change of the processor time of a filling image, in cores, from which its interference is learned.
const CHANGE_MIN_CORES: f64 = 0.1;

/// Lowest load that a filling run must add to a serving task at risk to be slowed down.
const INTERFERENCE_MIN: f64 = 0.01;

/// Share of their pace, in percent, that all interfering runs keep when they are slowed down for a task that stays at
/// risk.
const SLOWER_PERCENT: u32 = 40;

/// Ratio of the response time to its target above which nothing is learned, since the worker may have stalled, or its
/// load is outside the range of the model.
const STALL_TARGET_RATIO: f64 = 20.0;

/// Smallest increase of the pace, in percent of full speed.
const FASTER_STEP_PERCENT: u32 = 10;

/// Pace in percent at or below which a filling run is moved if another worker can run it at full speed.
const SLOW_PACE_PERCENT: u32 = 40;

/// Pace in percent that is assumed for a filling run started by an earlier leader, so that it is sped up as soon as the
/// serving tasks tolerate that.
pub(super) const ADOPTED_PACE_PERCENT: u32 = 40;

/// Window that a reading covers; it shows a change of pace only after this time.
const READING_WINDOW: std::time::Duration = std::time::Duration::from_millis(600);

/// Lowest load that a filling run must add to a serving task that stays at risk to be slowed down.
const INTERFERENCE_MIN_LASTING: f64 = 0.004;

/// Returns whether a worker has both serving and filling runs, so that its response times decide the pace.
pub(super) fn needs_response_times(state: &super::State, key: Key) -> bool {
    state.workers.all.get(key).is_some_and(|worker| worker.serving_runs > 0 && worker.filling_runs > 0)
}

/// Updates the estimates from the newest readings of a worker, and the pace of its filling runs.
pub(super) fn update(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    if state.workers.all[key].serving_runs == 0 {
        return;
    }
    learn(state, key);
    if state.workers.all[key].filling_runs == 0 {
        return;
    }
    if !slow_down(state, key, out) {
        speed_up(state, key, out);
    }
    move_away(state, key, out);
}

/// Stops one slowed filling run that another worker can run at full speed; its task resumes there from its checkpoint.
fn move_away(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if now < state.workers.all[key].next_move_at {
        return;
    }
    let is_slow = |run: &run::Key| {
        let Some(run) = state.runs.get(*run) else { return false };
        run.profile.filling_cpu_millicores > 0
            && run.pace_percent <= SLOW_PACE_PERCENT
            && matches!(run.phase, Phase::Active { .. })
            && now.since(run.pace_changed_at) >= state.tuning.move_after
            && step_of(state, run.name).is_some_and(|step| step.is_checkpointable)
    };
    let slowed = state.workers.all[key].runs.iter().copied().find(is_slow);
    let urgency = |run: run::Key| {
        let has_waited = now.since(state.runs[run].pace_changed_at) >= state.tuning.move_after * 2;
        if has_waited { Urgency::Urgent } else { Urgency::Deferrable }
    };
    let Some((run, urgency)) = slowed.map(|run| (run, urgency(run))) else { return };
    state.workers.all[key].next_move_at = now + state.tuning.move_after;
    if !place::has_better_worker(state, run, urgency) {
        return;
    }
    if let Some(task) = state.runs[run].task.and_then(|task| state.jobs.tasks.get_mut(task)) {
        task.avoid_worker = Some(key);
    }
    control::stop(state, run, "another worker can run it at full speed", out);
}

fn learn(state: &mut super::State, key: Key) {
    let runs = state.workers.all[key].runs.clone();
    let usage = observed_usage(state, &runs);
    let changes = changes(&state.workers.all[key].filling_usage, &usage);
    for run_key in runs {
        let Some(run) = state.runs.get(run_key) else { continue };
        let (true, Some(image), Some(reading)) = (run.profile.is_serving, run.profile.image, run.reading)
        else {
            continue;
        };
        let is_settled = run.progress_percent == 100 && state.now.since(run.started_at) >= READING_WINDOW * 2;
        if !is_settled || reading == 0 {
            state.runs[run_key].last_load = None;
            continue;
        }
        let is_stalled = is_stalled(state, run_key);
        let run = &mut state.runs[run_key];
        let load =
            if is_stalled { image::LOAD_MAX } else { state.images.record_reading(image, f64::from(reading)) };
        let own = load - state.images.interference(image, usage.iter().copied());
        let own = run.own_load.map_or(own, |before| before + OWN_LOAD_GAIN * (own - before));
        let before = run.last_load.filter(|_| !changes.is_empty());
        (run.last_load, run.own_load) = (Some(load).filter(|_| !is_stalled), Some(own));
        if is_stalled {
            continue;
        }
        if let Some(before) = before {
            state.images.learn_change(image, &changes, load - before);
        }
        state.images.learn_level(image, &usage, load);
        state.images.learn_own_load(image, own);
    }
    state.workers.all[key].filling_usage = usage;
}

/// Returns whether a serving task is so slow that its worker may have stalled.
fn is_stalled(state: &super::State, key: run::Key) -> bool {
    let run = &state.runs[key];
    let target = step_of(state, run.name).and_then(|step| step.latency_target).unwrap_or_default();
    f64::from(run.reading.unwrap_or_default()) > STALL_TARGET_RATIO * target.as_secs_f64() * 1_000.0
}

/// Returns the processor time that the filling runs among `runs` used at their last reading, by image.
fn observed_usage(state: &super::State, runs: &[run::Key]) -> Vec<Usage> {
    let mut usage: Vec<Usage> = Vec::new();
    for run in runs
        .iter()
        .filter_map(|run| state.runs.get(*run))
        .filter(|run| run.profile.filling_cpu_millicores > 0)
    {
        let Some(image) = run.profile.image else { continue };
        let cores = f64::from(run.reading.unwrap_or_default()) / 1_000.0;
        match usage.iter_mut().find(|(other, _)| *other == image) {
            Some((_, sum)) => *sum += cores,
            None => usage.push((image, cores)),
        }
    }
    usage
}

/// Returns the changes of processor time by image, without those too small to affect a reading measurably.
fn changes(before: &[Usage], after: &[Usage]) -> Vec<Usage> {
    let cores = |usage: &[Usage], image| {
        usage.iter().find(|(other, _)| *other == image).map_or(0.0, |(_, cores)| *cores)
    };
    let gone = before.iter().filter(|(image, _)| after.iter().all(|(other, _)| other != image));
    after
        .iter()
        .chain(gone)
        .map(|(image, _)| (*image, cores(after, *image) - cores(before, *image)))
        .filter(|(_, change)| change.abs() >= CHANGE_MIN_CORES)
        .collect()
}

/// Risk that a serving task misses its target.
struct Risk {
    /// Image of the serving task.
    image: image::Key,
    /// Load that must be removed; zero or less if only a single reading was high.
    excess: f64,
}

/// Slows down the filling runs that interfere most with the serving task at the highest risk, as far as necessary.
/// Returns whether a serving task is at risk.
///
/// If a task stays at risk, every filling run that interferes with it is slowed down further, and in the end all are
/// paused.
fn slow_down(state: &mut super::State, key: Key, out: &mut Vec<Effect>) -> bool {
    let now = state.now;
    let runs = state.workers.all[key].runs.clone();
    let mut worst: Option<Risk> = None;
    let mut longest = std::time::Duration::ZERO;
    for run in runs.iter().copied() {
        let risk = assess_risk(state, run);
        let Some(found) = state.runs.get_mut(run) else { continue };
        let Some(risk) = risk else {
            found.at_risk_since = None;
            continue;
        };
        let since = *found.at_risk_since.get_or_insert(now);
        longest = longest.max(now.since(since));
        if worst.as_ref().is_none_or(|worst| worst.excess < risk.excess) {
            worst = Some(risk);
        }
    }
    let Some(worst) = worst else { return false };
    let filling: Vec<run::Key> = runs.into_iter().filter(|run| is_active_filling(state, *run)).collect();
    if longest >= state.tuning.pause_after {
        for run in filling {
            set_pace(state, run, 0, out);
        }
        state.workers.all[key].pace_changed_at = now;
        return true;
    }
    if now.since(state.workers.all[key].pace_changed_at) < READING_WINDOW {
        return true;
    }
    if longest >= state.tuning.slow_down_after {
        for run in filling {
            if interference(state, worst.image, run) >= INTERFERENCE_MIN_LASTING {
                let slower = state.runs[run].pace_percent.min(100) * SLOWER_PERCENT / 100;
                set_pace(state, run, slower, out);
            }
        }
        state.workers.all[key].pace_changed_at = now;
        return true;
    }
    reduce_interference(state, key, &worst, filling, out);
    true
}

/// Removes the excess load of a serving task at risk by slowing down the filling runs that interfere with it most.
fn reduce_interference(
    state: &mut super::State,
    key: Key,
    risk: &Risk,
    mut filling: Vec<run::Key>,
    out: &mut Vec<Effect>,
) {
    filling.sort_by(|one, other| {
        interference(state, risk.image, *other).total_cmp(&interference(state, risk.image, *one))
    });
    let mut excess = risk.excess;
    for run in filling {
        let interference = interference(state, risk.image, run);
        if excess <= 0.0 || interference < INTERFERENCE_MIN {
            break;
        }
        let kept_share = (1.0 - excess / interference).max(0.0);
        let slower = (f64::from(state.runs[run].pace_percent.min(100)) * kept_share) as u32;
        set_pace(state, run, slower, out);
        state.workers.all[key].pace_changed_at = state.now;
        excess -= interference;
    }
}

/// Returns whether a run is an active filling run that is not paused.
fn is_active_filling(state: &super::State, key: run::Key) -> bool {
    state.runs.get(key).is_some_and(|run| {
        run.profile.filling_cpu_millicores > 0
            && run.pace_percent > 0
            && matches!(run.phase, Phase::Active { .. })
    })
}

/// Returns the load that a filling run adds to a serving task of an image at its current pace.
fn interference(state: &super::State, serving: image::Key, key: run::Key) -> f64 {
    let Some(run) = state.runs.get(key) else { return 0.0 };
    let Some(image) = run.profile.image else { return 0.0 };
    let cores = f64::from(run.profile.filling_cpu_millicores) / 1_000.0
        * f64::from(run.pace_percent.min(100))
        / 100.0;
    state.images.weight(serving, image) * cores
}

/// Returns the risk of a serving run that is near or over its target. The excess is computed from the smoothed own load
/// and the last usage of the filling runs, since a single reading of the response time is inaccurate.
fn assess_risk(state: &super::State, key: run::Key) -> Option<Risk> {
    let run = state.runs.get(key)?;
    let image = run.profile.image?;
    let limit = load_at_target(state, run)?;
    let own = run.own_load.filter(|_| run.progress_percent == 100)?;
    let load =
        own + state.images.interference(image, state.workers.all[run.worker].filling_usage.iter().copied());
    let is_over = state.images.load_at(image, f64::from(run.reading.unwrap_or_default())) > limit;
    let is_near = load + RISK_DISTANCE > limit;
    (is_over || is_near).then_some(Risk { image, excess: load + LOAD_RESERVE + RISK_DISTANCE - limit })
}

/// Speeds up the slowed filling run that interferes least, as far as the serving tasks keep their reserve.
fn speed_up(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if now.since(state.workers.all[key].pace_changed_at) < READING_WINDOW {
        return;
    }
    let slack = slack(state, key);
    let slowed = |run: &run::Key| {
        let found = state.runs.get(*run)?;
        let is_slowed = found.profile.filling_cpu_millicores > 0 && found.pace_percent < 100;
        let image =
            found.profile.image.filter(|_| is_slowed && matches!(found.phase, Phase::Active { .. }))?;
        Some((max_interference(state, &slack, image, found.profile.filling_cpu_millicores), *run, image))
    };
    let slowed = state.workers.all[key].runs.iter().filter_map(slowed);
    let Some((_, run, image)) = slowed.min_by(|one, other| one.0.total_cmp(&other.0)) else { return };
    let (pace, cpu) = (state.runs[run].pace_percent, state.runs[run].profile.filling_cpu_millicores);
    let is_tolerable =
        |faster: &u32| slack_after(state, &slack, image, cpu * (faster - pace) / 100, Urgency::Urgent) >= 0.0;
    let steps = (pace + FASTER_STEP_PERCENT..100).step_by(FASTER_STEP_PERCENT as usize).chain([100]);
    if let Some(faster) = steps.rev().find(is_tolerable) {
        set_pace(state, run, faster, out);
        state.workers.all[key].pace_changed_at = now;
    }
}

/// Orders a filling run to work at `percent` of its full speed, if that differs from its current pace.
fn set_pace(state: &mut super::State, key: run::Key, percent: u32, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get_mut(key) else { return };
    if run.pace_percent == percent {
        return;
    }
    let order = Order::Pace { run: key, name: run.name, number: run.number, percent };
    let reason = format!("run {} of {}: {} to {percent}%", run.number, run.name, run.pace_percent);
    let (job, worker) = (run.name.job, run.worker);
    run.pace_percent = percent;
    run.pace_changed_at = state.now;
    state.workers.touch(worker);
    state::record(out, Subject::Job(job), "pace", reason);
    state.send_order(worker, order, out);
}

/// Queues the image estimates for the store, from which the next leader restores them.
pub(super) fn store_images(state: &mut super::State, term: u64) {
    if state.leadership.term() != term {
        return;
    }
    journal::enqueue(state, journal::Change::Images);
    state.timers.set(state.now + state.tuning.images_interval, Timer::StoreImages(term));
}

/// Handles the answer to an order to change the pace. Whether a failed order took effect is unknown, so the run is
/// assumed to be at full speed, and is slowed down again if necessary.
pub(super) fn handle_reply(
    state: &mut super::State,
    key: run::Key,
    percent: u32,
    result: Result<Reply<()>, Fault>,
    out: &mut Vec<Effect>,
) {
    let worker = state.runs.get(key).and_then(|run| state.workers.all.get(run.worker));
    // After a restart of the worker, the token of an earlier order is refused without a higher term.
    let may_be_stale = worker.is_none_or(|worker| worker.restart_count > 0);
    match result {
        Ok(Reply { outcome: Ok(()), .. }) => {}
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) if !may_be_stale => {
            leadership::step_down(state, "a worker has seen a higher term", out);
        }
        _ => {
            if let Some(run) = state.runs.get_mut(key)
                && run.pace_percent == percent
            {
                run.pace_percent = 100;
                let worker = run.worker;
                state.workers.touch(worker);
                if let Some(worker) = state.workers.all.get_mut(worker) {
                    worker.pace_changed_at = Instant::default();
                }
            }
        }
    }
}
