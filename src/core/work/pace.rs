//! Interference: filling tasks are placed and paced so that the serving tasks beside them meet their targets.
//!
//! Placement asks for the [`super::headroom`] of a worker before it adds a filling task. Where a serving task comes near its
//! target all the same, the filling runs that disturb it most are slowed down as far as it needs, and speed up again once
//! there is room.

use super::control::{self, step_of};
use super::headroom::{LOAD_RESERVE, Urgency, load_at_target, max_interference, slack, slack_after};
use super::image::{self, Usage};
use super::order::{Order, Refusal, Reply};
use super::run::{self, Phase};
use super::timer::Timer;
use super::worker::Key;
use super::{event::Fault, journal, lead, place, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Distance of its load from that at the target at which a serving task counts as at risk.
const RISK_DISTANCE: f64 = 0.02;

/// Share of the distance by which one reading moves what is taken as the own load of a task.
const OWN_LOAD_GAIN: f64 = 0.5;

/// Change of the processor time of an image beside a serving task, in cores, that its readings are learned from.
const CHANGE_MIN_CORES: f64 = 0.1;

/// Load that a filling run must add to be slowed down for a serving task at risk.
const INTERFERENCE_MIN: f64 = 0.01;

/// Share that a slower pace keeps when all that disturbs a task that stays in danger is slowed down, in percent.
const SLOWER_PERCENT: u32 = 40;

/// Response time, in targets, above which nothing is learned: the worker may stand still, or be far beyond what the model
/// describes.
const STUCK_TARGETS: f64 = 20.0;

/// Smallest step to a faster pace, in percent.
const FASTER_STEP_PERCENT: u32 = 10;

/// Pace at which a filling run is better off elsewhere, in percent.
const SLOW_PACE_PERCENT: u32 = 40;

/// Pace that a filling run of a former leader is taken to have, in percent, so that it is sped up as soon as that is
/// bearable.
pub(super) const ADOPTED_PACE_PERCENT: u32 = 40;

/// Time that a reading needs to show a change of pace: the window that it covers.
const READING_WINDOW: std::time::Duration = std::time::Duration::from_millis(600);

/// Load that a filling run must add to be slowed down for a serving task that stays at risk.
const INTERFERENCE_MIN_LASTING: f64 = 0.004;

/// Whether response times on a worker are of interest: it has serving tasks and filling ones.
pub(super) fn needs_response_times(state: &super::State, key: Key) -> bool {
    state.workers.all.get(key).is_some_and(|worker| worker.serving_runs > 0 && worker.filling_runs > 0)
}

/// Learns from the readings of a worker, and paces its filling tasks.
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

/// Stops one filling run that was slowed down and can work at full speed elsewhere; it resumes from its saved progress.
fn move_away(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if now < state.workers.all[key].next_move_at {
        return;
    }
    let is_slow = |run: &run::Key| {
        let Some(run) = state.runs.get(*run) else { return false };
        run.profile.filling_cpu > 0
            && run.pace_percent <= SLOW_PACE_PERCENT
            && matches!(run.phase, Phase::Active { .. })
            && now.since(run.pace_changed_at) >= state.tuning.move_after
            && step_of(state, run.name).is_some_and(|step| step.checkpoint)
    };
    let slow = state.workers.all[key].runs.iter().copied().find(is_slow);
    let urgency = |run: run::Key| {
        let has_waited = now.since(state.runs[run].pace_changed_at) >= state.tuning.move_after * 2;
        if has_waited { Urgency::Urgent } else { Urgency::Deferrable }
    };
    let Some((run, urgency)) = slow.map(|run| (run, urgency(run))) else { return };
    state.workers.all[key].next_move_at = now + state.tuning.move_after;
    if !place::has_better_worker(state, run, urgency) {
        return;
    }
    if let Some(task) = state.runs[run].task.and_then(|task| state.jobs.tasks.get_mut(task)) {
        task.avoid = Some(key);
    }
    control::stop(state, run, "it works at full speed elsewhere", out);
}

fn learn(state: &mut super::State, key: Key) {
    let runs = state.workers.all[key].runs.clone();
    let usage = observed_usage(state, &runs);
    let changes = changes(&state.workers.all[key].filling_usage, &usage);
    for run_key in runs {
        let Some(run) = state.runs.get(run_key) else { continue };
        let (true, Some(image), Some(reading)) = (run.profile.serves, run.profile.image, run.observed) else {
            continue;
        };
        let is_settled = run.progress_percent == 100 && state.now.since(run.started_at) >= READING_WINDOW * 2;
        if !is_settled || reading == 0 {
            state.runs[run_key].last_load = None;
            continue;
        }
        let is_stuck = is_stuck(state, run_key);
        let run = &mut state.runs[run_key];
        let load =
            if is_stuck { image::LOAD_MAX } else { state.images.record_reading(image, f64::from(reading)) };
        let own = load - state.images.interference(image, usage.iter().copied());
        let own = run.own_load.map_or(own, |before| before + OWN_LOAD_GAIN * (own - before));
        let before = run.last_load.filter(|_| !changes.is_empty());
        (run.last_load, run.own_load) = (Some(load).filter(|_| !is_stuck), Some(own));
        if is_stuck {
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

/// Whether a serving task is so slow that its worker may stand still.
fn is_stuck(state: &super::State, key: run::Key) -> bool {
    let run = &state.runs[key];
    let target = step_of(state, run.name).and_then(|step| step.target).unwrap_or_default();
    f64::from(run.observed.unwrap_or_default()) > STUCK_TARGETS * target.as_secs_f64() * 1_000.0
}

/// Processor time that the filling runs among these used at their last reading, by image.
fn observed_usage(state: &super::State, runs: &[run::Key]) -> Vec<Usage> {
    let mut usage: Vec<Usage> = Vec::new();
    for run in runs.iter().filter_map(|run| state.runs.get(*run)).filter(|run| run.profile.filling_cpu > 0) {
        let Some(image) = run.profile.image else { continue };
        let cores = f64::from(run.observed.unwrap_or_default()) / 1_000.0;
        match usage.iter_mut().find(|(other, _)| *other == image) {
            Some((_, sum)) => *sum += cores,
            None => usage.push((image, cores)),
        }
    }
    usage
}

/// Differences between two readings, without those that are too small to show.
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

/// A serving task that is over its target or near it.
struct Risk {
    image: image::Key,
    /// Load that must go; not above zero if a single reading was high.
    excess: f64,
}

/// Slows down the filling runs that disturb a serving task in danger most, as far as it needs. Whether one was at risk.
///
/// A task that stays in danger slows down, and in the end pauses, everything that fills beside it.
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

/// Takes the excess of a serving task in danger off the filling runs that disturb it most.
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

/// Whether a run fills and works.
fn is_active_filling(state: &super::State, key: run::Key) -> bool {
    state.runs.get(key).is_some_and(|run| {
        run.profile.filling_cpu > 0 && run.pace_percent > 0 && matches!(run.phase, Phase::Active { .. })
    })
}

/// Load that a filling run adds to a serving task of an image.
fn interference(state: &super::State, serving: image::Key, key: run::Key) -> f64 {
    let Some(run) = state.runs.get(key) else { return 0.0 };
    let Some(image) = run.profile.image else { return 0.0 };
    let cores = f64::from(run.profile.filling_cpu) / 1_000.0 * f64::from(run.pace_percent.min(100)) / 100.0;
    state.images.weight(serving, image) * cores
}

/// Whether a serving run is over its target or near it, and by how much. Single readings are rough, so what has to go is
/// taken from the smoothed own load, with what was read beside it.
fn assess_risk(state: &super::State, key: run::Key) -> Option<Risk> {
    let run = state.runs.get(key)?;
    let image = run.profile.image?;
    let limit = load_at_target(state, run)?;
    let own = run.own_load.filter(|_| run.progress_percent == 100)?;
    let load =
        own + state.images.interference(image, state.workers.all[run.worker].filling_usage.iter().copied());
    let is_over = state.images.load_at(image, f64::from(run.observed.unwrap_or_default())) > limit;
    let is_near = load + RISK_DISTANCE > limit;
    (is_over || is_near).then_some(Risk { image, excess: load + LOAD_RESERVE + RISK_DISTANCE - limit })
}

/// Speeds the filling run up that disturbs least, as far as the serving tasks keep their reserve.
fn speed_up(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if now.since(state.workers.all[key].pace_changed_at) < READING_WINDOW {
        return;
    }
    let slack = slack(state, key);
    let slowed = |run: &run::Key| {
        let found = state.runs.get(*run)?;
        let is_slowed = found.profile.filling_cpu > 0 && found.pace_percent < 100;
        let image =
            found.profile.image.filter(|_| is_slowed && matches!(found.phase, Phase::Active { .. }))?;
        Some((max_interference(state, &slack, image, found.profile.filling_cpu), *run, image))
    };
    let slowed = state.workers.all[key].runs.iter().filter_map(slowed);
    let Some((_, run, image)) = slowed.min_by(|one, other| one.0.total_cmp(&other.0)) else { return };
    let (pace, cpu) = (state.runs[run].pace_percent, state.runs[run].profile.filling_cpu);
    let is_bearable =
        |faster: &u32| slack_after(state, &slack, image, cpu * (faster - pace) / 100, Urgency::Urgent) >= 0.0;
    let steps = (pace + FASTER_STEP_PERCENT..100).step_by(FASTER_STEP_PERCENT as usize).chain([100]);
    if let Some(faster) = steps.rev().find(is_bearable) {
        set_pace(state, run, faster, out);
        state.workers.all[key].pace_changed_at = now;
    }
}

/// Lets a filling run work at a share of its speed.
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
    state::record(out, Subject::Job(job), "pace", reason);
    state.order(worker, order, out);
}

/// Stores what is known of images, for the next leader.
pub(super) fn store_images(state: &mut super::State, term: u64) {
    if state.lead.term() != term {
        return;
    }
    journal::add(state, journal::Change::Images);
    state.timers.set(state.now + state.tuning.images_interval, Timer::StoreImages(term));
}

/// Takes over the answer to a change of pace. Whether one that failed took effect is not known, so the run counts as one
/// at full speed, and is slowed down again if need be.
pub(super) fn handle_reply(
    state: &mut super::State,
    key: run::Key,
    percent: u32,
    result: Result<Reply<()>, Fault>,
    out: &mut Vec<Effect>,
) {
    match result {
        Ok(Reply { outcome: Ok(()), .. }) => {}
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) => {
            lead::step_down(state, "a worker has seen a higher term", out);
        }
        _ => {
            if let Some(run) = state.runs.get_mut(key)
                && run.pace_percent == percent
            {
                run.pace_percent = 100;
                let worker = run.worker;
                if let Some(worker) = state.workers.all.get_mut(worker) {
                    worker.pace_changed_at = Instant::default();
                }
            }
        }
    }
}
