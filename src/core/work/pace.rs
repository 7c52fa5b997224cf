//! Interference: filling tasks are placed and paced so that the serving tasks beside them meet their targets.
//!
//! Placement asks for the [`super::outlook`] of a worker before it adds a filling task. Where a serving task comes near its
//! target all the same, the filling runs that disturb it most are slowed down as far as it needs, and speed up again once
//! there is room.

use super::control::{self, step_of};
use super::image::{self, Load};
use super::order::{Order, Refusal, Reply};
use super::outlook::{RESERVE, Urgency, after, limit, pressure, slack};
use super::run::{self, Phase};
use super::timer::Timer;
use super::worker::Key;
use super::{event::Fault, journal, leadership, place, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Distance of its load from that at the target at which a serving task counts as in danger.
const DANGER: f64 = 0.02;

/// Share of the distance by which one reading moves what is taken as the own load of a task.
const OWN_STEP: f64 = 0.5;

/// Change of the processor time of an image beside a serving task, in cores, that its readings are learned from.
const CHANGE: f64 = 0.1;

/// Load that a filling run must add to be slowed down for a serving task in danger.
const HARM_MIN: f64 = 0.01;

/// Share that a slower pace keeps when all that disturbs a task that stays in danger is slowed down, in percent.
const SLOWER: u32 = 40;

/// Response time, in targets, above which nothing is learned: the worker may stand still, or be far beyond what the model
/// describes.
const STUCK: f64 = 20.0;

/// Smallest step to a faster pace, in percent.
const FASTER: u32 = 10;

/// Pace at which a filling run is better off elsewhere, in percent.
const SLOW: u32 = 40;

/// Pace that a filling run of a former leader is taken to have, in percent, so that it is sped up as soon as that is
/// bearable.
pub(super) const ADOPTED: u32 = 40;

/// Time that a reading needs to show a change of pace: the window that it covers.
const WINDOW: std::time::Duration = std::time::Duration::from_millis(600);

/// Load that a filling run must add to be slowed down for a serving task that stays in danger.
const HARM_SMALL: f64 = 0.004;

/// Whether response times on a worker are of interest: it has serving tasks and filling ones.
pub(super) fn is_observed(state: &super::State, key: Key) -> bool {
    state.workers.all.get(key).is_some_and(|worker| worker.serving > 0 && worker.filling > 0)
}

/// Learns from the readings of a worker, and paces its filling tasks.
pub(super) fn review(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    if state.workers.all[key].serving == 0 {
        return;
    }
    learn(state, key);
    if state.workers.all[key].filling == 0 {
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
    if now < state.workers.all[key].move_from {
        return;
    }
    let is_slow = |run: &run::Key| {
        let Some(run) = state.runs.get(*run) else { return false };
        run.share.filling_cpu > 0
            && run.pace <= SLOW
            && matches!(run.phase, Phase::Active { .. })
            && now.since(run.paced_at) >= state.tuning.slow_patience
            && step_of(state, run.name).is_some_and(|step| step.is_checkpointable)
    };
    let slow = state.workers.all[key].runs.iter().copied().find(is_slow);
    let urgency = |run: run::Key| {
        let has_waited = now.since(state.runs[run].paced_at) >= state.tuning.slow_patience * 2;
        if has_waited { Urgency::Pressing } else { Urgency::Patient }
    };
    let Some((run, urgency)) = slow.map(|run| (run, urgency(run))) else { return };
    state.workers.all[key].move_from = now + state.tuning.slow_patience;
    if !place::has_better(state, run, urgency) {
        return;
    }
    if let Some(task) = state.runs[run].task.and_then(|task| state.jobs.tasks.get_mut(task)) {
        task.avoid_worker = Some(key);
    }
    control::stop(state, run, "it works at full speed elsewhere", out);
}

fn learn(state: &mut super::State, key: Key) {
    let runs = state.workers.all[key].runs.clone();
    let loads = observed_loads(state, &runs);
    let changes = changes(&state.workers.all[key].loads, &loads);
    for run_key in runs {
        let Some(run) = state.runs.get(run_key) else { continue };
        let (true, Some(image), Some(reading)) = (run.share.serves, run.share.image, run.observed) else {
            continue;
        };
        let is_settled = run.percent == 100 && state.now.since(run.started) >= WINDOW * 2;
        if !is_settled || reading == 0 {
            state.runs[run_key].load = None;
            continue;
        }
        let is_stuck = is_stuck(state, run_key);
        let run = &mut state.runs[run_key];
        let load = if is_stuck { image::LOAD_MAX } else { state.images.read(image, f64::from(reading)) };
        let own = load - state.images.pressure(image, loads.iter().copied());
        let own = run.own.map_or(own, |before| before + OWN_STEP * (own - before));
        let before = run.load.filter(|_| !changes.is_empty());
        (run.load, run.own) = (Some(load).filter(|_| !is_stuck), Some(own));
        if is_stuck {
            continue;
        }
        if let Some(before) = before {
            state.images.learn_change(image, &changes, load - before);
        }
        state.images.learn_level(image, &loads, load);
        state.images.note_own(image, own);
    }
    state.workers.all[key].loads = loads;
}

/// Whether a serving task is so slow that its worker may stand still.
fn is_stuck(state: &super::State, key: run::Key) -> bool {
    let run = &state.runs[key];
    let target = step_of(state, run.name).and_then(|step| step.latency_target).unwrap_or_default();
    f64::from(run.observed.unwrap_or_default()) > STUCK * target.as_secs_f64() * 1_000.0
}

/// Processor time that the filling runs among these used at their last reading, by image.
fn observed_loads(state: &super::State, runs: &[run::Key]) -> Vec<Load> {
    let mut loads: Vec<Load> = Vec::new();
    for run in runs.iter().filter_map(|run| state.runs.get(*run)).filter(|run| run.share.filling_cpu > 0) {
        let Some(image) = run.share.image else { continue };
        let cores = f64::from(run.observed.unwrap_or_default()) / 1_000.0;
        match loads.iter_mut().find(|(other, _)| *other == image) {
            Some((_, sum)) => *sum += cores,
            None => loads.push((image, cores)),
        }
    }
    loads
}

/// Differences between two readings, without those that are too small to show.
fn changes(before: &[Load], after: &[Load]) -> Vec<Load> {
    let cores = |loads: &[Load], image| {
        loads.iter().find(|(other, _)| *other == image).map_or(0.0, |(_, cores)| *cores)
    };
    let gone = before.iter().filter(|(image, _)| after.iter().all(|(other, _)| other != image));
    after
        .iter()
        .chain(gone)
        .map(|(image, _)| (*image, cores(after, *image) - cores(before, *image)))
        .filter(|(_, change)| change.abs() >= CHANGE)
        .collect()
}

/// A serving task that is over its target or near it.
struct Danger {
    image: image::Key,
    /// Load that must go; not above zero if a single reading was high.
    excess: f64,
}

/// Slows down the filling runs that disturb a serving task in danger most, as far as it needs. Whether one was in danger.
///
/// A task that stays in danger slows down, and in the end pauses, everything that fills beside it.
fn slow_down(state: &mut super::State, key: Key, out: &mut Vec<Effect>) -> bool {
    let now = state.now;
    let runs = state.workers.all[key].runs.clone();
    let mut worst: Option<Danger> = None;
    let mut longest = std::time::Duration::ZERO;
    for run in runs.iter().copied() {
        let danger = danger(state, run);
        let Some(found) = state.runs.get_mut(run) else { continue };
        let Some(danger) = danger else {
            found.over_since = None;
            continue;
        };
        let since = *found.over_since.get_or_insert(now);
        longest = longest.max(now.since(since));
        if worst.as_ref().is_none_or(|worst| worst.excess < danger.excess) {
            worst = Some(danger);
        }
    }
    let Some(worst) = worst else { return false };
    let filling: Vec<run::Key> = runs.into_iter().filter(|run| is_filling(state, *run)).collect();
    if longest >= state.tuning.harm_limit {
        for run in filling {
            set(state, run, 0, out);
        }
        state.workers.all[key].paced_at = now;
        return true;
    }
    if now.since(state.workers.all[key].paced_at) < WINDOW {
        return true;
    }
    if longest >= state.tuning.harm_patience {
        for run in filling {
            if harm(state, worst.image, run) >= HARM_SMALL {
                let slower = state.runs[run].pace.min(100) * SLOWER / 100;
                set(state, run, slower, out);
            }
        }
        state.workers.all[key].paced_at = now;
        return true;
    }
    relieve(state, key, &worst, filling, out);
    true
}

/// Takes the excess of a serving task in danger off the filling runs that disturb it most.
fn relieve(
    state: &mut super::State,
    key: Key,
    danger: &Danger,
    mut filling: Vec<run::Key>,
    out: &mut Vec<Effect>,
) {
    filling
        .sort_by(|one, other| harm(state, danger.image, *other).total_cmp(&harm(state, danger.image, *one)));
    let mut excess = danger.excess;
    for run in filling {
        let harm = harm(state, danger.image, run);
        if excess <= 0.0 || harm < HARM_MIN {
            break;
        }
        let kept = (1.0 - excess / harm).max(0.0);
        let slower = (f64::from(state.runs[run].pace.min(100)) * kept) as u32;
        set(state, run, slower, out);
        state.workers.all[key].paced_at = state.now;
        excess -= harm;
    }
}

/// Whether a run fills and works.
fn is_filling(state: &super::State, key: run::Key) -> bool {
    state.runs.get(key).is_some_and(|run| {
        run.share.filling_cpu > 0 && run.pace > 0 && matches!(run.phase, Phase::Active { .. })
    })
}

/// Load that a filling run adds to a serving task of an image.
fn harm(state: &super::State, serving: image::Key, key: run::Key) -> f64 {
    let Some(run) = state.runs.get(key) else { return 0.0 };
    let Some(image) = run.share.image else { return 0.0 };
    let cores = f64::from(run.share.filling_cpu) / 1_000.0 * f64::from(run.pace.min(100)) / 100.0;
    state.images.weight(serving, image) * cores
}

/// Whether a serving run is over its target or near it, and by how much. Single readings are rough, so what has to go is
/// taken from the smoothed own load, with what was read beside it.
fn danger(state: &super::State, key: run::Key) -> Option<Danger> {
    let run = state.runs.get(key)?;
    let image = run.share.image?;
    let limit = limit(state, run)?;
    let own = run.own.filter(|_| run.percent == 100)?;
    let load = own + state.images.pressure(image, state.workers.all[run.worker].loads.iter().copied());
    let is_over = state.images.load(image, f64::from(run.observed.unwrap_or_default())) > limit;
    let is_near = load + DANGER > limit;
    (is_over || is_near).then_some(Danger { image, excess: load + RESERVE + DANGER - limit })
}

/// Speeds the filling run up that disturbs least, as far as the serving tasks keep their reserve.
fn speed_up(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if now.since(state.workers.all[key].paced_at) < WINDOW {
        return;
    }
    let slack = slack(state, key);
    let paced = |run: &run::Key| {
        let found = state.runs.get(*run)?;
        let is_paced = found.share.filling_cpu > 0 && found.pace < 100;
        let image = found.share.image.filter(|_| is_paced && matches!(found.phase, Phase::Active { .. }))?;
        Some((pressure(state, &slack, image, found.share.filling_cpu), *run, image))
    };
    let paced = state.workers.all[key].runs.iter().filter_map(paced);
    let Some((_, run, image)) = paced.min_by(|one, other| one.0.total_cmp(&other.0)) else { return };
    let (pace, cpu) = (state.runs[run].pace, state.runs[run].share.filling_cpu);
    let is_bearable =
        |faster: &u32| after(state, &slack, image, cpu * (faster - pace) / 100, Urgency::Pressing) >= 0.0;
    let steps = (pace + FASTER..100).step_by(FASTER as usize).chain([100]);
    if let Some(faster) = steps.rev().find(is_bearable) {
        set(state, run, faster, out);
        state.workers.all[key].paced_at = now;
    }
}

/// Lets a filling run work at a share of its speed.
fn set(state: &mut super::State, key: run::Key, percent: u32, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get_mut(key) else { return };
    if run.pace == percent {
        return;
    }
    let order = Order::Pace { run: key, name: run.name, number: run.number, percent };
    let reason = format!("run {} of {}: {} to {percent}%", run.number, run.name, run.pace);
    let (job, worker) = (run.name.job, run.worker);
    run.pace = percent;
    run.paced_at = state.now;
    state::record(out, Subject::Job(job), "pace", reason);
    state.send_order(worker, order, out);
}

/// Stores what is known of images, for the next leader.
pub(super) fn store(state: &mut super::State, term: u64) {
    if state.leadership.term() != term {
        return;
    }
    journal::enqueue(state, journal::Change::Images);
    state.timers.set(state.now + state.tuning.images_interval, Timer::Images(term));
}

/// Takes over the answer to a change of pace. Whether one that failed took effect is not known, so the run counts as one
/// at full speed, and is slowed down again if need be.
pub(super) fn paced(
    state: &mut super::State,
    key: run::Key,
    percent: u32,
    result: Result<Reply<()>, Fault>,
    out: &mut Vec<Effect>,
) {
    match result {
        Ok(Reply { outcome: Ok(()), .. }) => {}
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) => {
            leadership::step_down(state, "a worker has seen a higher term", out);
        }
        _ => {
            if let Some(run) = state.runs.get_mut(key)
                && run.pace == percent
            {
                run.pace = 100;
                let worker = run.worker;
                if let Some(worker) = state.workers.all.get_mut(worker) {
                    worker.paced_at = Instant::default();
                }
            }
        }
    }
}
