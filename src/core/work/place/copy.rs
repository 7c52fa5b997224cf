//! Placement of speculative copies, after the tasks that wait.
//!
//! A copy starts under the conditions of any other run, on a worker other than that of the first run, and preempts
//! nothing.

use super::Pass;
use super::need::Need;
use super::search::{self, Plan, Scope, Siblings};
use crate::core::effect::Effect;
use crate::core::trace::Subject;
use crate::core::work::speculate::{self, Case, Cause};
use crate::core::work::state::State;
use crate::core::work::{dispatch, run, state, worker};

/// Starts copies of the runs that need one, as far as workers have room.
pub(super) fn place(state: &mut State, pass: &mut Pass, out: &mut Vec<Effect>) {
    if state.tuning.copy_share_percent == 0 {
        return;
    }
    speculate::look_if_due(state);
    for run in state.speculation.take_candidates() {
        // The next look proposes again what this pass has no time for.
        if pass.is_exhausted() {
            break;
        }
        let waiting_priority = speculate::waiting_priority(state);
        let case = speculate::examine(state, run, waiting_priority);
        if let Some((case, cause)) = case.and_then(|case| Some((case, speculate::decide(&case)?))) {
            place_copy(state, run, &case, cause, pass, out);
        }
    }
    if let Some(at) = state.speculation.next_look() {
        state.schedule_placement_by(at);
    }
}

/// Starts a copy of a run on the best other worker, if one has room.
fn place_copy(
    state: &mut State,
    key: run::Key,
    case: &Case,
    cause: Cause,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) {
    let first = state.runs[key].clone();
    let Some(task_key) = first.task else { return };
    let task = &state.jobs.tasks[task_key];
    let (group, number, avoided) = (task.group(), task.next_run, task.avoid_worker);
    let need = state.jobs.all[group.job].needs[group.step as usize];
    let need = Need { avoid: Some(first.worker), ..need };
    let plan = Plan::default();
    let found = search::choose_worker(state, &need, Siblings { group, plan: &plan }, Scope::All, pass);
    // The search returns an avoided worker if no other one has room.
    let Some(worker) = found.filter(|worker| *worker != first.worker && Some(*worker) != avoided) else {
        return;
    };
    if !state.workers.all[worker].has_proof(state.tenure()) {
        pass.unproven.insert(worker);
        return state.speculation.keep_candidate(key);
    }
    let reason = describe(state, &first, case, cause, worker);
    if dispatch::start(state, task_key, worker, number) {
        state::record(out, Subject::Job(first.name.job), "copy", reason);
        state.meter.counts.copies += 1;
        pass.memory.note(state, worker);
        pass.starts += 1;
    }
}

/// Text of the timeline entry of a copy.
fn describe(state: &State, first: &run::Run, case: &Case, cause: Cause, worker: worker::Key) -> String {
    let [running, estimate, usual, long] =
        [case.running, case.estimate, case.usual, case.long.unwrap_or(case.usual)]
            .map(|time| time.as_millis());
    let [from, to] = [first.worker, worker].map(|key| state.workers.all[key].id.as_str());
    let costs = state.speculation.describe_costs();
    format!(
        "of run {} of {} on {from}, to {to}: {}; it has run for {running} ms, {} percent done; estimate {estimate} ms, \
         usual {usual} ms, long {long} ms; {costs}",
        first.number,
        first.name,
        cause.describe(),
        case.progress_percent,
    )
}
