//! Placement of batch tasks on the workers of a cell, and eviction.
//!
//! Each decision scans all workers of the cell. Their number is bounded, so the cost does not grow with the deployment.
//! A placement pass places service replicas first, then batch tasks in the order of the queue.

use std::time::Duration;

use super::cell::{self, Role};
use super::control::Work;
use super::effect::Effect;
use super::journal::{self, Record};
use super::state::{State, record};
use super::task::{self, Reason, Stage};
use super::timer::Timer;
use super::trace::Subject;
use super::worker::{self, Reservation, Worker};
use super::{grant, replica};
use crate::declare::job::{self, Job};
use crate::declare::plan::Plan;
use crate::declare::pool::Filter;
use crate::declare::size::Size;
use crate::hash::{Map, Set};

/// Placement policy: how workers are compared for a task.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name of the policy in reports.
    pub name: &'static str,
    /// Cost of placing `size` on a worker; the worker with the lowest cost is chosen.
    pub cost: fn(&Worker, &Size) -> u64,
}

/// Chooses the worker with the lowest dominant share after placement, which spreads tasks.
pub const LEAST_LOADED: Policy = Policy { name: "least-loaded", cost: dominant_share };

/// Fills one worker after the other, in order of [`worker::Id`], the hash of their names.
pub const FIRST_FIT: Policy = Policy { name: "first-fit", cost: |worker, _| worker.id.0 };

/// Largest share of cores, memory and slots in use after placing `size`, in millionths of the capacity.
fn dominant_share(worker: &Worker, size: &Size) -> u64 {
    let share =
        |used: u32, added: u32, total: u32| u64::from(used + added) * 1_000_000 / u64::from(total.max(1));
    let (used, total) = (&worker.used, &worker.size);
    share(used.millicores, size.millicores, total.millicores)
        .max(share(used.memory_mib, size.memory_mib, total.memory_mib))
        .max(share(used.slots, size.slots, total.slots))
}

/// Lowest priority of a batch task that may evict tasks of lower priority.
pub const URGENT_PRIORITY: u8 = 200;

/// Interval between placement passes when no event schedules one.
const IDLE_PASS_INTERVAL: Duration = Duration::from_secs(1);

/// Delay of a scheduled pass, so that events that arrive together share one pass.
const COALESCE_DELAY: Duration = Duration::from_millis(2);

/// Schedules a placement pass of a cell, unless one is scheduled already.
pub(crate) fn schedule_pass(state: &mut State, key: cell::Key) {
    let at = state.now + COALESCE_DELAY;
    let Some(cell) = state.cells.get_mut(key) else { return };
    if !cell.place_scheduled {
        cell.place_scheduled = true;
        state.timers.set(at, Timer::Place(key));
    }
}

/// Schedules a placement pass of a cell, if this process acts for it.
pub(crate) fn schedule_pass_by_id(state: &mut State, id: cell::Id) {
    if let Some(key) = state.cells.key(id) {
        schedule_pass(state, key);
    }
}

/// Runs a placement pass of a cell.
///
/// Only the owner places and evicts batch tasks.
pub(crate) fn run_pass(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    cell.place_scheduled = false;
    let role = cell.role;
    if role == Role::Recovering {
        return;
    }
    replica::reconcile(state, key, out);
    grant::publish(state, key, out);
    if role == Role::Owner {
        evict_from_leaving_workers(state, key, out);
        place_queue(state, key, out);
    }
    schedule_idle_pass(state, key);
}

/// Schedules the next pass without an event, because the expiry of a lease raises no event.
fn schedule_idle_pass(state: &mut State, key: cell::Key) {
    let at = state.now + IDLE_PASS_INTERVAL;
    let Some(cell) = state.cells.get_mut(key) else { return };
    if cell.next_pass.is_none_or(|next| next <= state.now) {
        cell.next_pass = Some(at);
        state.timers.set(at, Timer::Place(key));
    }
}

/// Worker with the lowest cost among those of a cell that have room for `size` and that `is_allowed` accepts.
pub(crate) fn choose_worker(
    state: &State,
    cell: cell::Id,
    size: &Size,
    is_allowed: impl Fn(&Worker) -> bool,
    cost: impl Fn(&Worker) -> u64,
) -> Option<worker::Key> {
    state
        .workers
        .in_cell(cell)
        .filter(|(_, worker)| size.fits(&worker.free_capacity()) && is_allowed(worker))
        .min_by_key(|(_, worker)| (cost(worker), worker.id))
        .map(|(key, _)| key)
}

/// Whether the pool and rack of this worker match the filter.
pub(crate) fn matches_filter(plan: &Plan, filter: &Filter, worker: &Worker) -> bool {
    worker.pool.is_some_and(|pool| filter.allows(&plan.pools[usize::from(pool.0)], &worker.rack))
}

fn place_queue(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let Some(cell) = state.cells.get(key) else { return };
    let waiting: Vec<task::Key> = cell.queue.iter().collect();
    let mut usage = team_usage(state, key, &plan);
    // Tasks of one job have equal demands, so when one cannot be placed, the others cannot either.
    let mut blocked: Set<job::Id> = Set::default();
    for task in waiting {
        let Some(job) = state.tasks.get(task).map(|task| task.id.job) else { continue };
        if blocked.contains(&job) {
            continue;
        }
        let Some((_, job)) = plan.job(job) else { continue };
        let placed = !exceeds_quota(state, &plan, job, &usage) && place_task(state, key, task, &plan, job);
        if placed {
            *usage.entry(job.team.0).or_default() += job.size;
            continue;
        }
        blocked.insert(job.id);
        handle_blocked_job(state, key, task, &plan, job, out);
    }
}

/// Resources that the batch tasks of each team hold in a cell; empty if no team has a quota.
fn team_usage(state: &State, key: cell::Key, plan: &Plan) -> Map<u16, Size> {
    let mut usage: Map<u16, Size> = Map::default();
    if plan.teams.iter().all(|team| team.quota.is_none()) {
        return usage;
    }
    let Some(cell) = state.cells.get(key) else { return usage };
    for task in cell.tasks.values().filter_map(|task| state.tasks.get(*task)) {
        let is_holding = task.stage != Stage::Idle;
        if let Some((_, job)) = plan.job(task.id.job).filter(|_| is_holding) {
            *usage.entry(job.team.0).or_default() += job.size;
        }
    }
    usage
}

/// Whether one more task would exceed the team's quota in this cell, given the usage of each team.
fn exceeds_quota(state: &State, plan: &Plan, job: &Job, usage: &Map<u16, Size>) -> bool {
    let Some(quota) = plan.team(job.team).quota else { return false };
    let cells = cell::total(state).max(1);
    let share = quota_share(quota, cells);
    let after = usage.get(&job.team.0).copied().unwrap_or_default() + job.size;
    !after.fits(&share)
}

/// Whether one more task of a job would exceed its team's quota in a cell.
pub(crate) fn is_over_quota(state: &State, key: cell::Key, job: &Job) -> bool {
    let plan = &state.config.plan;
    exceeds_quota(state, plan, job, &team_usage(state, key, plan))
}

/// Share of a team's quota that one cell may use.
///
/// Equal shares need no agreement between cells, so the quota holds over all zones even during a network partition.
fn quota_share(quota: Size, cells: u32) -> Size {
    Size {
        millicores: quota.millicores / cells,
        memory_mib: quota.memory_mib / cells,
        accelerators: quota.accelerators / cells,
        slots: quota.slots / cells,
    }
}

fn place_task(state: &mut State, key: cell::Key, task: task::Key, plan: &Plan, job: &Job) -> bool {
    let now = state.now;
    let Some(id) = state.cells.get(key).map(|cell| cell.id) else { return false };
    let is_allowed = |worker: &Worker| worker.accepts_batch(now) && matches_filter(plan, &job.filter, worker);
    let cost = |worker: &Worker| (state.policy.cost)(worker, &job.size);
    let Some(target) = choose_worker(state, id, &job.size, is_allowed, cost) else { return false };
    assign(state, key, task, target, job);
    true
}

/// Reserves resources on a worker and proposes the assignment to the log.
fn assign(state: &mut State, key: cell::Key, task: task::Key, target: worker::Key, job: &Job) {
    let Some(worker) = state.workers.get(target) else { return };
    let (worker, instance) = (worker.id, worker.instance);
    task::dequeue(state, task);
    let Some(found) = state.tasks.get_mut(task) else { return };
    found.stage = Stage::Proposed(target);
    let (id, attempt, checkpoint) = (found.id, found.attempt + 1, found.checkpoint());
    worker::reserve(state, target, Work::Batch(id), Reservation::new(job.size, attempt));
    journal::push(state, key, Record::Assign { task: id, attempt, worker, instance, checkpoint });
}

/// Handles a task that no worker has room for: fails it if it fits no pool, or evicts tasks for it if it is urgent.
fn handle_blocked_job(
    state: &mut State,
    key: cell::Key,
    task: task::Key,
    plan: &Plan,
    job: &Job,
    out: &mut Vec<Effect>,
) {
    let Some(id) = state.cells.get(key).map(|cell| cell.id) else { return };
    let fits_somewhere = plan.pools.iter().any(|pool| {
        plan.zones[usize::from(pool.zone.0)].id == id.zone
            && job.filter.allows_pool(pool)
            && job.size.fits(&pool.size)
    });
    if !fits_somewhere {
        task::dequeue(state, task);
        let Some(task) = state.tasks.get(task).map(|task| task.id) else { return };
        journal::push(state, key, Record::Failed { task, reason: Reason::FitsNothing });
    } else if job.priority >= URGENT_PRIORITY {
        let now = state.now;
        let is_allowed =
            |worker: &Worker| worker.accepts_batch(now) && matches_filter(plan, &job.filter, worker);
        evict_for(state, key, &job.size, job.priority, is_allowed, out);
    }
}

/// A running batch task that can be evicted.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    task: task::Key,
    size: Size,
    /// Order of eviction: low priority first, then checkpointable tasks, which lose no work.
    order: (u8, bool),
}

/// Evicts batch tasks below `priority` on the worker where the fewest evictions free room for `size`.
///
/// Does nothing if stopping tasks already free enough room on a worker.
pub(crate) fn evict_for(
    state: &mut State,
    key: cell::Key,
    size: &Size,
    priority: u8,
    is_allowed: impl Fn(&Worker) -> bool,
    out: &mut Vec<Effect>,
) {
    let Some(cell) = state.cells.get(key).filter(|cell| cell.role == Role::Owner) else { return };
    let mut best: Option<(usize, worker::Id, Vec<Candidate>)> = None;
    for (_, worker) in state.workers.in_cell(cell.id).filter(|(_, worker)| is_allowed(worker)) {
        let (freeing, candidates) = eviction_candidates(state, cell, worker, priority);
        let mut room = worker.free_capacity() + freeing;
        if size.fits(&room) {
            return;
        }
        let mut chosen = Vec::new();
        for candidate in candidates {
            room += candidate.size;
            chosen.push(candidate);
            if size.fits(&room) {
                break;
            }
        }
        let rank = (chosen.len(), worker.id);
        if size.fits(&room) && best.as_ref().is_none_or(|(count, id, _)| rank < (*count, *id)) {
            best = Some((rank.0, rank.1, chosen));
        }
    }
    let Some((_, _, chosen)) = best else { return };
    for candidate in chosen {
        evict_task(state, candidate.task, "makes room for work of higher priority", out);
    }
}

/// Resources that stopping tasks free on a worker, and the tasks that can be evicted, in order of eviction.
fn eviction_candidates(
    state: &State,
    cell: &cell::Cell,
    worker: &Worker,
    priority: u8,
) -> (Size, Vec<Candidate>) {
    let plan = &state.config.plan;
    let mut freeing = Size::default();
    let mut candidates = Vec::new();
    for (work, load) in &worker.reservations {
        let Work::Batch(id) = work else { continue };
        let Some(key) = cell.tasks.get(id).copied() else { continue };
        let Some(task) = state.tasks.get(key) else { continue };
        match task.stage {
            Stage::Stopping | Stage::Reported => freeing += load.size,
            Stage::Running => {
                let Some((_, job)) = plan.job(id.job).filter(|(_, job)| job.priority < priority) else {
                    continue;
                };
                let order = (job.priority, !job.is_checkpointable);
                candidates.push(Candidate { task: key, size: load.size, order });
            }
            _ => {}
        }
    }
    candidates.sort_unstable_by_key(|candidate| (candidate.order, candidate.task));
    (freeing, candidates)
}

/// Stops a running task, with a checkpoint if its job is checkpointable.
///
/// The task is queued again once its release is committed.
fn evict_task(state: &mut State, key: task::Key, reason: &'static str, out: &mut Vec<Effect>) {
    let Some(task) = state.tasks.get_mut(key) else { return };
    let journal::TaskState::Assigned { .. } = task.committed_state else { return };
    task.stage = Stage::Stopping;
    record(out, Subject::Task(task.id), "evict", reason);
    task::send_stop(state, key);
}

/// Evicts checkpointable tasks from workers that are leaving; the others may finish there.
fn evict_from_leaving_workers(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let Some(cell) = state.cells.get(key) else { return };
    let mut leaving = Vec::new();
    for (_, worker) in state.workers.in_cell(cell.id).filter(|(_, worker)| worker.leaving) {
        let tasks = worker.reservations.keys().filter_map(|work| match work {
            Work::Batch(id) => cell.tasks.get(id).copied(),
            Work::Replica(_) => None,
        });
        leaving.extend(tasks);
    }
    leaving.sort_unstable();
    for key in leaving {
        let Some(task) = state.tasks.get(key).filter(|task| task.stage == Stage::Running) else { continue };
        if plan.job(task.id.job).is_some_and(|(_, job)| job.is_checkpointable) {
            evict_task(state, key, "the worker is leaving", out);
        }
    }
}
