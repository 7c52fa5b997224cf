//! Placement: which worker of a cell runs a task.
//!
//! A cell has a bounded number of workers, so a full scan per decision does not grow with the fleet. Services are placed
//! first; batch tasks follow in the order of the queue.

use std::time::Duration;

use super::cell::{self, Role};
use super::control::{Command, Work};
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

/// How candidates for a task are compared.
#[derive(Debug, Clone, Copy)]
pub struct Policy {
    /// Name in reports.
    pub name: &'static str,
    /// Cost of placing `size` on a worker; the lowest wins.
    pub cost: fn(&Worker, &Size) -> u64,
}

/// Spreads tasks by the share of the scarcest resource that would be used.
pub const LEAST_LOADED: Policy = Policy { name: "least-loaded", cost: dominant_share };

/// Fills one worker after the other, in the order of their names' hashes.
pub const FIRST_FIT: Policy = Policy { name: "first-fit", cost: |worker, _| worker.id.0 };

/// Share of the scarcest resource after placing `size`, in millionths.
fn dominant_share(worker: &Worker, size: &Size) -> u64 {
    let share =
        |used: u32, added: u32, total: u32| u64::from(used + added) * 1_000_000 / u64::from(total.max(1));
    let (used, total) = (&worker.used, &worker.size);
    share(used.millicores, size.millicores, total.millicores)
        .max(share(used.memory_mib, size.memory_mib, total.memory_mib))
        .max(share(used.slots, size.slots, total.slots))
}

/// Priority from which a batch task is urgent: it may evict tasks of lower priority.
pub const URGENT: u8 = 200;

/// Interval between passes when nothing happens.
const IDLE_PASS: Duration = Duration::from_secs(1);

/// Shortest wait before a pass, so that events that arrive together share one.
const COALESCE: Duration = Duration::from_millis(2);

/// Schedules a placement pass.
pub(crate) fn schedule(state: &mut State, key: cell::Key) {
    let at = state.now + COALESCE;
    let Some(cell) = state.cells.get_mut(key) else { return };
    if !cell.place_scheduled {
        cell.place_scheduled = true;
        state.timers.set(at, Timer::Place(key));
    }
}

/// Schedules a placement pass of a cell, if this process acts for it.
pub(crate) fn schedule_id(state: &mut State, id: cell::Id) {
    if let Some(key) = state.cells.key(id) {
        schedule(state, key);
    }
}

/// Places what can be placed.
pub(crate) fn pass(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    cell.place_scheduled = false;
    let role = cell.role;
    if role == Role::Recovering {
        return;
    }
    replica::reconcile(state, key, out);
    grant::publish(state, key, out);
    if role == Role::Owner {
        leave_workers(state, key, out);
        place_queue(state, key, out);
    }
    keep_passing(state, key);
}

/// Passes go on at a slow pace without events, since leases lapse silently.
fn keep_passing(state: &mut State, key: cell::Key) {
    let at = state.now + IDLE_PASS;
    let Some(cell) = state.cells.get_mut(key) else { return };
    if cell.next_pass.is_none_or(|next| next <= state.now) {
        cell.next_pass = Some(at);
        state.timers.set(at, Timer::Place(key));
    }
}

/// Best worker of a cell for `size`, among those that `is_allowed` admits.
pub(crate) fn choose(
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

/// Whether the declared VMs of a filter include this worker.
pub(crate) fn is_admitted(plan: &Plan, filter: &Filter, worker: &Worker) -> bool {
    worker.pool.is_some_and(|pool| filter.allows(&plan.pools[usize::from(pool.0)], &worker.rack))
}

fn place_queue(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let Some(cell) = state.cells.get(key) else { return };
    let waiting: Vec<task::Key> = cell.queue.iter().collect();
    let mut held = team_usage(state, key, &plan);
    // Tasks of one job are equal: when one finds no place, the others find none either.
    let mut blocked: Set<job::Id> = Set::default();
    for task in waiting {
        let Some(job) = state.tasks.get(task).map(|task| task.id.job) else { continue };
        if blocked.contains(&job) {
            continue;
        }
        let Some((_, job)) = plan.job(job) else { continue };
        let placed = !exceeds_quota(state, &plan, job, &held) && place_one(state, key, task, &plan, job);
        if placed {
            *held.entry(job.team.0).or_default() += job.size;
            continue;
        }
        blocked.insert(job.id);
        blocked_job(state, key, task, &plan, job, out);
    }
}

/// Resources that the batch tasks of each team hold in a cell.
fn team_usage(state: &State, key: cell::Key, plan: &Plan) -> Map<u16, Size> {
    let mut held: Map<u16, Size> = Map::default();
    if plan.teams.iter().all(|team| team.quota.is_none()) {
        return held;
    }
    let Some(cell) = state.cells.get(key) else { return held };
    for task in cell.tasks.values().filter_map(|task| state.tasks.get(*task)) {
        let is_holding = task.stage != Stage::Idle;
        if let Some((_, job)) = plan.job(task.id.job).filter(|_| is_holding) {
            *held.entry(job.team.0).or_default() += job.size;
        }
    }
    held
}

/// Whether one more task would exceed the team's quota in this cell.
fn exceeds_quota(state: &State, plan: &Plan, job: &Job, held: &Map<u16, Size>) -> bool {
    let Some(quota) = plan.team(job.team).quota else { return false };
    let cells = cell::total(state).max(1);
    let share = quota_share(quota, cells);
    let after = held.get(&job.team.0).copied().unwrap_or_default() + job.size;
    !after.fits(&share)
}

/// Whether one more task of a job would exceed its team's quota in a cell.
pub(crate) fn is_over_quota(state: &State, key: cell::Key, job: &Job) -> bool {
    let plan = &state.config.plan;
    exceeds_quota(state, plan, job, &team_usage(state, key, plan))
}

/// Part of a team's quota that one cell may use. Equal shares need no agreement between cells, so the quota holds over
/// all zones even while they are cut off from each other.
fn quota_share(quota: Size, cells: u32) -> Size {
    Size {
        millicores: quota.millicores / cells,
        memory_mib: quota.memory_mib / cells,
        accelerators: quota.accelerators / cells,
        slots: quota.slots / cells,
    }
}

fn place_one(state: &mut State, key: cell::Key, task: task::Key, plan: &Plan, job: &Job) -> bool {
    let now = state.now;
    let Some(id) = state.cells.get(key).map(|cell| cell.id) else { return false };
    let is_allowed = |worker: &Worker| worker.accepts_batch(now) && is_admitted(plan, &job.filter, worker);
    let cost = |worker: &Worker| (state.policy.cost)(worker, &job.size);
    let Some(target) = choose(state, id, &job.size, is_allowed, cost) else { return false };
    assign(state, key, task, target, job);
    true
}

/// Reserves room on a worker and proposes the assignment to the log.
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

/// No worker has room: gives up tasks that fit nowhere, and makes room for urgent ones.
fn blocked_job(
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
    } else if job.priority >= URGENT {
        let now = state.now;
        let is_allowed =
            |worker: &Worker| worker.accepts_batch(now) && is_admitted(plan, &job.filter, worker);
        make_room(state, key, &job.size, job.priority, is_allowed, out);
    }
}

/// A batch task that can be evicted.
#[derive(Debug, Clone, Copy)]
struct Victim {
    task: task::Key,
    size: Size,
    /// Order of eviction: low priority first, then tasks that lose no work.
    order: (u8, bool),
}

/// Evicts the fewest batch tasks below `priority` that make room for `size`, unless room is being made already.
pub(crate) fn make_room(
    state: &mut State,
    key: cell::Key,
    size: &Size,
    priority: u8,
    is_allowed: impl Fn(&Worker) -> bool,
    out: &mut Vec<Effect>,
) {
    let Some(cell) = state.cells.get(key).filter(|cell| cell.role == Role::Owner) else { return };
    let mut best: Option<(usize, worker::Id, Vec<Victim>)> = None;
    for (_, worker) in state.workers.in_cell(cell.id).filter(|(_, worker)| is_allowed(worker)) {
        let (coming, victims) = victims(state, cell, worker, priority);
        let mut room = worker.free_capacity() + coming;
        if size.fits(&room) {
            return;
        }
        let mut chosen = Vec::new();
        for victim in victims {
            room += victim.size;
            chosen.push(victim);
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
    for victim in chosen {
        evict(state, victim.task, "makes room for work of higher priority", out);
    }
}

/// Room that stopping tasks will free on a worker, and the tasks that could be evicted, in order.
fn victims(state: &State, cell: &cell::Cell, worker: &Worker, priority: u8) -> (Size, Vec<Victim>) {
    let plan = &state.config.plan;
    let mut coming = Size::default();
    let mut victims = Vec::new();
    for (work, load) in &worker.reservations {
        let Work::Batch(id) = work else { continue };
        let Some(key) = cell.tasks.get(id).copied() else { continue };
        let Some(task) = state.tasks.get(key) else { continue };
        match task.stage {
            Stage::Stopping | Stage::Reported => coming += load.size,
            Stage::Running => {
                let Some((_, job)) = plan.job(id.job).filter(|(_, job)| job.priority < priority) else {
                    continue;
                };
                let order = (job.priority, !job.checkpointable);
                victims.push(Victim { task: key, size: load.size, order });
            }
            _ => {}
        }
    }
    victims.sort_unstable_by_key(|victim| (victim.order, victim.task));
    (coming, victims)
}

/// Stops a running task, with a checkpoint if it can take one; it is queued again once the worker confirms.
fn evict(state: &mut State, key: task::Key, reason: &'static str, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let Some(task) = state.tasks.get_mut(key) else { return };
    let journal::TaskState::Assigned { worker, .. } = task.standing else { return };
    let checkpoint = plan.job(task.id.job).is_some_and(|(_, job)| job.checkpointable);
    task.stage = Stage::Stopping;
    let stop = Command::Stop { work: Work::Batch(task.id), attempt: task.attempt, checkpoint };
    record(out, Subject::Task(task.id), "evict", reason);
    worker::queue_command(state, worker, stop);
}

/// Moves checkpointable tasks away from workers that are leaving; others may finish there.
fn leave_workers(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
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
        if plan.job(task.id.job).is_some_and(|(_, job)| job.checkpointable) {
            evict(state, key, "the worker is leaving", out);
        }
    }
}
