//! Interference: filling tasks give way while a serving task beside them misses its target.

use super::control::step_of;
use super::order::{Order, Refusal, Reply};
use super::run::{self, Phase};
use super::worker::Key;
use super::{event::Fault, lead, state};
use crate::core::effect::Effect;
use crate::core::trace::Subject;

/// Share of its target that a serving task may reach before filling tasks give way, in percent.
const ALARM_PERCENT: u128 = 100;

/// Whether response times on a worker are of interest: it has serving tasks and filling ones.
pub(super) fn is_observed(state: &super::State, key: Key) -> bool {
    state.workers.all.get(key).is_some_and(|worker| worker.serving > 0 && worker.filling > 0)
}

/// Paces the filling tasks of a worker by the response times of its serving ones.
pub(super) fn review(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    if !is_observed(state, key) {
        return;
    }
    let now = state.now;
    let is_missed = state.workers.all[key].runs.iter().any(|run| misses(state, *run));
    let worker = &mut state.workers.all[key];
    if is_missed {
        worker.calm_since = now;
    }
    let is_calm = now.since(worker.calm_since) >= state.tuning.unpace;
    let percent = match (is_missed, is_calm) {
        (true, _) => state.tuning.paced,
        (false, true) => 100,
        (false, false) => return,
    };
    for run in worker.runs.clone() {
        set(state, run, percent, out);
    }
}

/// Whether a run serves and is over its target.
fn misses(state: &super::State, key: run::Key) -> bool {
    let Some(run) = state.runs.get(key) else { return false };
    let Some(target) = step_of(state, run.name).and_then(|step| step.target) else { return false };
    let observed = run.observed.map_or(0, u128::from);
    run.percent == 100 && observed * 100 > target.as_millis() * ALARM_PERCENT
}

/// Lets a filling run work at a share of its speed.
fn set(state: &mut super::State, key: run::Key, percent: u32, out: &mut Vec<Effect>) {
    let Some(run) = state.runs.get(key) else { return };
    let fills = step_of(state, run.name).is_some_and(|step| step.fills);
    if !fills || run.pace == percent || !matches!(run.phase, Phase::Active { .. }) {
        return;
    }
    let order = Order::Pace { run: key, name: run.name, number: run.number, percent };
    let reason = format!("run {} of {}: {} to {percent}%", run.number, run.name, run.pace);
    let (job, worker) = (run.name.job, run.worker);
    state.runs[key].pace = percent;
    state::record(out, Subject::Job(job), "pace", reason);
    state.order(worker, order, out);
}

/// Takes over the answer to a change of pace; one that failed is tried again at the next review.
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
                // No share that is ever asked for, so that the next review sends the order again.
                run.pace = u32::MAX;
            }
        }
    }
}
