//! Interference: filling tasks are placed and paced so that the serving tasks beside them meet their targets.
//!
//! Placement asks for the [`Slack`] of a worker's serving tasks before it adds a filling one. Where a serving task comes
//! near its target all the same, the filling run that disturbs it most is slowed down step by step, and speeds up again
//! once there is room.

use super::control::{self, step_of};
use super::image::{self, Load};
use super::order::{Order, Refusal, Reply};
use super::run::{self, Phase};
use super::timer::Timer;
use super::worker::Key;
use super::{event::Fault, journal, lead, place, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Distance to its target, as a logarithm, at which a serving task counts as in danger.
const DANGER: f64 = 0.1;

/// Distance to its target, as a logarithm, that a placement or a faster pace must leave.
const RESERVE: f64 = 0.3;

/// Share of a reading's error that is taken as the current load of the task.
const EXCESS_STEP: f64 = 0.3;

/// Share that a slower pace keeps, and what a faster one adds, in percent.
const SLOWER: u32 = 40;
const FASTER: u32 = 25;

/// Pace at which a filling run is better off elsewhere, in percent.
const SLOW: u32 = 40;

/// Pace that a filling run of a former leader is taken to have, in percent, so that it is sped up as soon as that is
/// bearable.
pub(super) const ADOPTED: u32 = 40;

/// Paces below this are no work worth its disturbance, in percent.
const SLOWEST: u32 = 10;

/// Time that a reading needs to show a change of pace: the window that it covers.
const WINDOW: std::time::Duration = std::time::Duration::from_millis(600);

/// Part of its request that a filling task uses, as far as nothing is known.
const USE: f64 = 0.9;

/// How far a serving task is from its target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slack {
    /// Image of the task.
    pub image: image::Key,
    /// Logarithm of the target over the expected response time.
    pub left: f64,
}

/// Whether response times on a worker are of interest: it has serving tasks and filling ones.
pub(super) fn is_observed(state: &super::State, key: Key) -> bool {
    state.workers.all.get(key).is_some_and(|worker| worker.serving > 0 && worker.filling > 0)
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

/// Distances of the serving tasks on a worker from their targets, with what runs there now.
pub(super) fn slack(state: &super::State, key: Key) -> Vec<Slack> {
    let loads = expected_loads(state, key);
    let serving = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        let target = step_of(state, run.name)?.target?;
        let image = run.share.image?;
        let expected = state.images.expect(image, loads.iter().copied()) + run.excess;
        Some(Slack { image, left: (target.as_secs_f64() * 1_000.0).max(1.0).ln() - expected })
    };
    state.workers.all[key].runs.iter().filter_map(serving).collect()
}

/// Worst distance that is left when a filling task is added, above the reserve; negative if the reserve is touched.
pub(super) fn after(state: &super::State, slack: &[Slack], image: image::Key, cpu: u32) -> f64 {
    let cores = f64::from(cpu) / 1_000.0 * USE;
    let left = |slack: &Slack| slack.left - state.images.weight(slack.image, image) * cores;
    slack.iter().map(left).fold(f64::INFINITY, f64::min) - RESERVE
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
    let is_slow = |run: &run::Key| {
        let Some(run) = state.runs.get(*run) else { return false };
        run.share.filling_cpu > 0
            && run.pace <= SLOW
            && matches!(run.phase, Phase::Active { .. })
            && now.since(run.paced_at) >= state.tuning.slow_patience
            && step_of(state, run.name).is_some_and(|step| step.checkpoint)
    };
    let slow = state.workers.all[key].runs.iter().copied().find(is_slow);
    let Some(run) = slow.filter(|run| place::has_better(state, *run)) else { return };
    if let Some(task) = state.runs[run].task.and_then(|task| state.jobs.tasks.get_mut(task)) {
        task.avoid = Some(key);
    }
    control::stop(state, run, "it works at full speed elsewhere", out);
}

fn learn(state: &mut super::State, key: Key) {
    let runs = &state.workers.all[key].runs;
    let used = |run: &run::Key| {
        let run = state.runs.get(*run)?;
        let cores = f64::from(run.observed.unwrap_or_default()) / 1_000.0;
        (run.share.filling_cpu > 0).then_some((run.share.image?, cores))
    };
    let loads: Vec<Load> = runs.iter().filter_map(used).collect();
    for run_key in runs.clone() {
        let Some(run) = state.runs.get_mut(run_key) else { continue };
        let (true, Some(image), Some(reading)) = (run.share.serves, run.share.image, run.observed) else {
            continue;
        };
        if run.percent < 100 || reading == 0 || state.now.since(run.started) < WINDOW * 2 {
            continue;
        }
        let error = state.images.learn(image, &loads, run.excess, f64::from(reading).ln());
        run.excess += EXCESS_STEP * error;
    }
}

/// Slows down the filling run that disturbs a serving task in danger most. Whether one was in danger.
///
/// A task that stays in danger slows down, and in the end pauses, everything that fills beside it.
fn slow_down(state: &mut super::State, key: Key, out: &mut Vec<Effect>) -> bool {
    let now = state.now;
    let runs = state.workers.all[key].runs.clone();
    let mut in_danger = Vec::new();
    let mut longest = std::time::Duration::ZERO;
    for run in runs.iter().copied() {
        let danger = endangered(state, run);
        let Some(found) = state.runs.get_mut(run) else { continue };
        let Some(image) = danger else {
            found.over_since = None;
            continue;
        };
        let since = *found.over_since.get_or_insert(now);
        longest = longest.max(now.since(since));
        in_danger.push(image);
    }
    if in_danger.is_empty() {
        return false;
    }
    let mut filling: Vec<run::Key> = runs.into_iter().filter(|run| is_filling(state, *run)).collect();
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
    let count = if longest >= state.tuning.harm_patience { filling.len() } else { 1 };
    filling.sort_by(|one, other| harm(state, &in_danger, *other).total_cmp(&harm(state, &in_danger, *one)));
    for run in filling.into_iter().take(count) {
        let slower = state.runs[run].pace.min(100) * SLOWER / 100;
        set(state, run, if slower < SLOWEST { 0 } else { slower }, out);
        state.workers.all[key].paced_at = now;
    }
    true
}

/// Whether a run fills and works.
fn is_filling(state: &super::State, key: run::Key) -> bool {
    state.runs.get(key).is_some_and(|run| {
        run.share.filling_cpu > 0 && run.pace > 0 && matches!(run.phase, Phase::Active { .. })
    })
}

/// What a filling run adds to the logarithms of the response times in danger.
fn harm(state: &super::State, in_danger: &[image::Key], key: run::Key) -> f64 {
    let Some(run) = state.runs.get(key) else { return 0.0 };
    let Some(image) = run.share.image else { return 0.0 };
    let cores = f64::from(run.share.filling_cpu) / 1_000.0 * f64::from(run.pace.min(100)) / 100.0;
    in_danger.iter().map(|serving| state.images.weight(*serving, image)).sum::<f64>() * cores
}

/// Image of a serving run that is over its target or near it.
fn endangered(state: &super::State, key: run::Key) -> Option<image::Key> {
    let run = state.runs.get(key)?;
    let target = step_of(state, run.name)?.target?;
    let observed = f64::from(run.observed.filter(|observed| *observed > 0)?);
    let is_near = observed.ln() + DANGER > (target.as_secs_f64() * 1_000.0).ln();
    (run.percent == 100 && is_near).then_some(run.share.image?)
}

/// Speeds up the slowest filling run if the serving tasks keep their reserve.
fn speed_up(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if now.since(state.workers.all[key].paced_at) < WINDOW {
        return;
    }
    let paced = |run: &run::Key| {
        let found = state.runs.get(*run)?;
        let is_paced = found.share.filling_cpu > 0 && found.pace < 100;
        (is_paced && matches!(found.phase, Phase::Active { .. })).then_some((found.started, *run))
    };
    let Some((_, run)) = state.workers.all[key].runs.iter().filter_map(paced).min() else { return };
    let found = &state.runs[run];
    let Some(image) = found.share.image else { return };
    let pace = (found.pace + FASTER).min(100);
    let more = found.share.filling_cpu * (pace - found.pace) / 100;
    if after(state, &slack(state, key), image, more) >= 0.0 {
        set(state, run, pace, out);
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
    state.order(worker, order, out);
}

/// Stores what is known of images, for the next leader.
pub(super) fn store(state: &mut super::State, term: u64) {
    if state.lead.term() != term {
        return;
    }
    journal::add(state, journal::Change::Images);
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
            lead::step_down(state, "a worker has seen a higher term", out);
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
