//! Placement of gangs: all tasks of a gang start, or none.

use super::need::Need;
use super::search::{self, Plan, Scope, Siblings};
use super::{Pass, dispatch, late, locality};
use crate::core::effect::Effect;
use crate::core::work::job::Group;
use crate::core::work::state::State;
use crate::core::work::worker::Key;
use crate::core::work::{symbol, task};

/// Starts all tasks of a gang, or none. Their runs share one number, and one rack if the step asks for it and some rack
/// has room for all.
pub(super) fn place(
    state: &mut State,
    group: Group,
    need: Need,
    tasks: &[task::Key],
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) {
    // Only a worker that has changed helps a gang that found too little room, but a suspect among its members waits for time.
    let has_changes = !pass.found.survey.workers_for(&need).is_empty();
    if !need.is_suspect && pass.memory.is_stuck(need.variant(group)) && !has_changes {
        pass.found.stuck.insert(need.variant(group));
        return;
    }
    let Some(first) = tasks.first().copied() else { return };
    let only: Vec<_> = tasks.iter().map(|key| late::bound_worker(state, &state.jobs.tasks[*key])).collect();
    let is_bound = only.iter().any(Option::is_some);
    for (key, worker) in tasks.iter().zip(&only) {
        worker.iter().for_each(|worker| late::seek_listing(state, *key, *worker));
    }
    if locality::is_waiting(state, first, pass) {
        return;
    }
    let step = &state.jobs.all[group.job].spec.steps[group.step as usize];
    let racks = if step.prefers_same_rack { racks(state) } else { Vec::new() };
    let plan = racks.iter().copied().map(Some).chain([None]).find_map(|rack| {
        let need = Need { affinity: rack, ..need };
        plan_gang(state, group, &need, &only, pass)
    });
    let Some(plan) = plan else {
        if !need.is_suspect && !is_bound {
            pass.found.stuck.insert(need.variant(group));
        }
        return;
    };
    let is_near = racks.is_empty() || is_on_one_rack(state, &plan);
    if !is_near && !is_bound && locality::gang_waits(state, tasks, &need, &racks, pass, out) {
        return;
    }
    let tenure = state.tenure();
    let is_unproven = |key: &Key| state.is_proof_late() && !state.workers.all[*key].has_proof(tenure);
    let unproven: Vec<Key> = plan.iter().copied().filter(is_unproven).collect();
    if !unproven.is_empty() {
        pass.unproven.extend(unproven);
        return;
    }
    let number = tasks.iter().map(|task| state.jobs.tasks[*task].next_run).max().unwrap_or(1);
    let checkpoint =
        tasks.iter().map(|task| state.jobs.tasks[*task].checkpoint.clone()).max().unwrap_or_default();
    for (key, worker) in tasks.iter().zip(plan) {
        state.jobs.tasks[*key].checkpoint.clone_from(&checkpoint);
        if dispatch::start(state, *key, worker, number) {
            pass.memory.note(state, worker);
            pass.racks.forget(&state.workers.all[worker]);
        }
    }
    locality::record_start(state, first, is_near, pass);
}

/// Whether all workers of a plan belong to one rack.
fn is_on_one_rack(state: &State, plan: &[Key]) -> bool {
    let mut racks = plan.iter().map(|key| state.workers.all[*key].rack());
    let first = racks.next().flatten();
    first.is_some() && racks.all(|rack| rack == first)
}

/// Returns the racks of the workers that take new runs.
fn racks(state: &State) -> Vec<symbol::Key> {
    let mut racks: Vec<symbol::Key> = state
        .workers
        .all
        .values()
        .filter(|worker| worker.is_schedulable(state.tenure()))
        .filter_map(|worker| worker.rack())
        .collect();
    racks.sort_unstable();
    racks.dedup();
    racks
}

/// Returns a worker for each task of a gang, all within the rack of the need if it names one; `None` if they do not all find
/// room. `only` has the worker of each task that may run on no other; these tasks come first.
fn plan_gang(
    state: &State,
    group: Group,
    need: &Need,
    only: &[Option<Key>],
    pass: &mut Pass,
) -> Option<Vec<Key>> {
    let mut plan = Plan::default();
    let mut workers = vec![Key::default(); only.len()];
    let mut order: Vec<usize> = (0..only.len()).collect();
    order.sort_by_key(|index| only[*index].is_none());
    for index in order {
        let siblings = Siblings { group, plan: &plan };
        let need = Need { only: only[index], ..*need };
        let key = search::choose_worker(state, &need, siblings, Scope::All, pass)?;
        if need.affinity.is_some() && state.workers.all[key].rack() != need.affinity {
            return None;
        }
        let (resources, count) = plan.entry(key).or_default();
        *resources = resources.saturating_add(need.charged);
        *count += 1;
        workers[index] = key;
    }
    Some(workers)
}
