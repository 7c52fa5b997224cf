//! Preemption: a task of priority 0 that has waited longer than a limit stops runs of lower priority.

use super::Pass;
use super::memory::add_need;
use super::need::Need;
use crate::core::effect::Effect;
use crate::core::trace::Subject;
use crate::core::work::job::Group;
use crate::core::work::run::{self, Phase, Run};
use crate::core::work::spec::{Resources, Step};
use crate::core::work::state::State;
use crate::core::work::worker::{Key, Worker};
use crate::core::work::{control, request, state, task};
use crate::hash::Map;

/// Priority of the tasks that preempt.
pub(super) const PREEMPTING_PRIORITY: u32 = 0;

/// Number of worker visits that a search for victims among the runs of one worker counts as.
const VISITS_PER_VICTIM_SEARCH: u64 = 4;

/// Preempts runs of lower priority for a task of the highest priority that has waited longer than a limit.
///
/// Resources that stopping runs will release are counted first, unless they are promised to another task of this pass,
/// so that no more runs are stopped than necessary. Returns whether the task will get room in this way.
pub(super) fn preempt(
    state: &mut State,
    key: task::Key,
    need: &Need,
    priority: u32,
    pass: &mut Pass,
    out: &mut Vec<Effect>,
) -> bool {
    let task = &state.jobs.tasks[key];
    let waited = state.now.since(task.ready_at);
    if priority > PREEMPTING_PRIORITY || waited < state.tuning.preempt_after {
        return false;
    }
    let (name, group) = (task.name, task.group());
    if pass.has_no_victims(group, need) {
        return false;
    }
    pass.tally.workers += pass.freed(state).len() as u64;
    let freed = pass.freed(state);
    let promised = freed.iter().find(|(worker, resources)| {
        let Some(worker) = state.workers.all.get(**worker) else { return false };
        is_schedulable(state, worker, need)
            && worker.offered_resources(None, state.now).saturating_add(**resources).covers(need.charged)
    });
    if let Some((worker, resources)) = promised.map(|(worker, resources)| (*worker, *resources)) {
        freed.insert(worker, resources.saturating_sub(need.charged));
        return true;
    }
    if !pass.found.survey.may_preempt(need) {
        pass.found.without_victims.insert(group);
        return false;
    }
    let Some((worker, runs)) = choose_victims(state, group, need, pass) else {
        pass.found.without_victims.insert(group);
        add_need(&mut pass.found.unpreemptable, *need);
        return false;
    };
    let reason = format!("stops {} runs to free resources for {name}", runs.len());
    state::record(out, Subject::Job(name.job), "preempt", reason);
    let freed = pass.freed(state);
    for run in runs {
        let charged = state.runs[run].charged;
        let resources = freed.entry(worker).or_default();
        *resources = resources.saturating_add(charged);
        control::stop(state, run, "a task of higher priority needs its resources", out);
    }
    let resources = freed.entry(worker).or_default();
    *resources = resources.saturating_sub(need.charged);
    true
}

/// Returns the worker on which stopping runs for a task loses the least work, with these runs.
fn choose_victims(state: &State, group: Group, need: &Need, pass: &mut Pass) -> Option<(Key, Vec<run::Key>)> {
    let victims = |(key, worker): (Key, &Worker)| {
        is_schedulable(state, worker, need).then_some(())?;
        let (cost, runs) = find_victims(state, worker, need)?;
        Some((cost, key, runs))
    };
    let workers = &state.workers.all;
    let best = if pass.memory.has_no_victims(group, need) {
        let changed = &pass.found.survey.changed;
        pass.visits += changed.len() as u64 * VISITS_PER_VICTIM_SEARCH;
        pass.tally.workers += changed.len() as u64 * VISITS_PER_VICTIM_SEARCH;
        let changed = changed.iter().filter_map(|key| Some((*key, workers.get(*key)?)));
        changed.filter_map(victims).min_by_key(|(cost, ..)| *cost)
    } else {
        pass.visits += workers.len() as u64 * VISITS_PER_VICTIM_SEARCH;
        pass.tally.workers += workers.len() as u64 * VISITS_PER_VICTIM_SEARCH;
        workers.iter().filter_map(victims).min_by_key(|(cost, ..)| *cost)
    };
    best.map(|(_, worker, runs)| (worker, runs))
}

/// Returns the free resources of a worker and those of the runs that may be preempted.
pub(super) fn preemptable(state: &State, worker: &Worker) -> Resources {
    let victims = worker.runs.iter().filter_map(|run| find_victim(state, *run));
    let sum = |sum: Resources, (run, _): (&Run, &Step)| sum.saturating_add(run.charged);
    victims.fold(worker.offered_resources(None, state.now), sum)
}

fn is_schedulable(state: &State, worker: &Worker, need: &Need) -> bool {
    worker.suits(need.service, need.required_label) && worker.is_schedulable(state.tenure())
}

/// Returns the resources of the runs that are being stopped, by worker.
pub(super) fn stopping_resources(state: &State) -> Map<Key, Resources> {
    let mut by_worker: Map<Key, Resources> = Map::default();
    for run in state.runs.values().filter(|run| matches!(run.phase, Phase::Stopping { .. })) {
        let resources = by_worker.entry(run.worker).or_default();
        *resources = resources.saturating_add(run.charged);
    }
    by_worker
}

/// Returns a run and its step if the run may be stopped for a task of the highest priority.
fn find_victim(state: &State, key: run::Key) -> Option<(&Run, &Step)> {
    let run = state.runs.get(key).filter(|run| matches!(run.phase, Phase::Active { .. }))?;
    let job = state.jobs.all.get(state.jobs.find(run.name.job)?)?;
    let step = job.spec.steps.get(run.name.step as usize)?;
    let is_victim = job.priority > PREEMPTING_PRIORITY
        && !step.is_long_running
        && !step.is_gang
        && job.phase == request::Phase::Running;
    is_victim.then_some((run, step))
}

/// Returns runs on a worker that would release enough resources for a task if stopped, with the total cost of stopping
/// them.
fn find_victims(state: &State, worker: &Worker, need: &Need) -> Option<(u64, Vec<run::Key>)> {
    let mut candidates: Vec<(u64, run::Key, Resources)> = worker
        .runs
        .iter()
        .filter_map(|key| {
            let (run, step) = find_victim(state, *key)?;
            Some((preemption_cost(state, run, step), *key, run.charged))
        })
        .collect();
    candidates.sort_unstable_by_key(|(cost, ..)| *cost);
    let mut resources = worker.offered_resources(None, state.now);
    let mut total_cost = 0;
    let mut runs = Vec::new();
    for (cost, key, charged) in candidates {
        if resources.covers(need.charged) {
            break;
        }
        if charged.cpu_millicores == 0
            && resources.cpu_millicores < need.charged.cpu_millicores
            && resources.memory_mb >= need.charged.memory_mb
        {
            continue;
        }
        resources = resources.saturating_add(charged);
        total_cost += cost;
        runs.push(key);
    }
    (resources.covers(need.charged) && !runs.is_empty()).then_some((total_cost, runs))
}

/// Returns the work lost by stopping a run, in thousandths of a core-millisecond: its run time and the restart, or only
/// the restart if the task saves checkpoints.
fn preemption_cost(state: &State, run: &Run, step: &Step) -> u64 {
    const RESTORE_MS: u64 = 300;
    let ran_ms = state.now.since(run.started_at).as_millis() as u64;
    u64::from(step.resources.cpu_millicores)
        * if step.is_checkpointable { RESTORE_MS } else { RESTORE_MS + ran_ms }
}
