//! Reserve of a service: workers that are kept free of long-running runs, so that tasks that end find room.
//!
//! A long-running run holds its room until its job is cancelled. Without a limit such runs come to hold nearly all room, and what
//! is left is in pieces that are too small for most tasks. So the reserve consists of whole workers: a long-running task that
//! has never run starts on a worker without a long-running run only while more of these are left than the reserve. While less
//! than half of the processor time is reserved, it only prefers other workers.
//!
//! A long-running task that has run before may start in the reserve, as its users miss it while it waits. The room that its last
//! run has left is kept for a moment, since it would otherwise be taken by a task that waits, and the reserve would shrink with
//! each run that fails. Tasks that end may start in any other room.

use std::time::Duration;

use super::job::Group;
use super::place::Need;
use super::run::Run;
use super::symbol;
use super::task::{self, Task};
use super::worker::{self, KeptRoom, Readiness, Worker};

/// Time for which the room of a long-running run that has ended is kept for the next run of its task. That run waits for a
/// retry delay and for a commit, which take much less.
const KEEP_DURATION: Duration = Duration::from_secs(1);

/// Share of the processor time that must be reserved for the reserve to hold something back, in percent.
const RESERVED_MIN_PERCENT: u64 = 50;

/// Reserve of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Reserve {
    service: symbol::Key,
    /// Number of workers that may take new runs.
    worker_count: u64,
    /// Number of them without a long-running run.
    vacant_count: u64,
    /// Number of workers that are to stay without one.
    size: u64,
    capacity_millicores: u64,
    reserved_millicores: u64,
}

impl Reserve {
    /// Whether all vacant workers belong to the reserve, after `taken` of them are given away.
    fn is_whole_rest(&self, taken: u64) -> bool {
        self.vacant_count.saturating_sub(taken) <= self.size
    }

    /// Whether no new long-running task may start on a vacant worker, after `taken` of them are given away.
    fn is_closed(&self, taken: u64) -> bool {
        let is_in_use = self.reserved_millicores * 100 >= self.capacity_millicores * RESERVED_MIN_PERCENT;
        is_in_use && self.is_whole_rest(taken)
    }
}

/// Reserves of all services.
#[derive(Debug, Clone, Default)]
pub struct Table {
    all: Vec<Reserve>,
}

impl Table {
    /// Counts the workers of each service. A worker that is only silent or suspected counts, so that the reserve does not
    /// change with each of them; one that is about to leave, whose availability zone is evacuated, or whose report is of an
    /// earlier process, does not.
    pub fn survey(workers: &worker::Table, share_percent: u32) -> Self {
        let mut table = Self::default();
        for worker in workers.all.values() {
            let (Some(report), Some(service)) = (&worker.report, worker.service) else { continue };
            let is_ready = report.readiness == Readiness::Ready && worker.has_current_report();
            if !worker.is_listed || worker.is_evacuated || !is_ready {
                continue;
            }
            let reserve = table.get_or_insert(service);
            reserve.worker_count += 1;
            reserve.vacant_count += u64::from(worker.long_running_runs == 0);
            reserve.capacity_millicores +=
                u64::from(report.capacity.map_or(0, |capacity| capacity.cpu_millicores));
            reserve.reserved_millicores += u64::from(worker.used_resources.cpu_millicores);
        }
        for reserve in &mut table.all {
            reserve.size = reserve.worker_count * u64::from(share_percent) / 100;
        }
        table
    }

    fn get_or_insert(&mut self, service: symbol::Key) -> &mut Reserve {
        let index = self.all.iter().position(|reserve| reserve.service == service).unwrap_or_else(|| {
            self.all.push(Reserve {
                service,
                worker_count: 0,
                vacant_count: 0,
                size: 0,
                capacity_millicores: 0,
                reserved_millicores: 0,
            });
            self.all.len() - 1
        });
        &mut self.all[index]
    }

    /// Whether a worker is kept from a task of this need, after `taken` other vacant workers are given to its gang.
    pub fn keeps(&self, worker: &Worker, need: &Need, taken: u64) -> bool {
        need.must_leave_reserve && worker.long_running_runs == 0 && self.is_closed(worker.service, taken)
    }

    /// Whether a worker belongs to the reserve, so that a long-running task prefers any other.
    pub fn contains(&self, worker: &Worker) -> bool {
        worker.long_running_runs == 0
            && self.get(worker.service).is_some_and(|reserve| reserve.is_whole_rest(0))
    }

    fn is_closed(&self, service: Option<symbol::Key>, taken: u64) -> bool {
        self.get(service).is_some_and(|reserve| reserve.is_closed(taken))
    }

    fn get(&self, service: Option<symbol::Key>) -> Option<&Reserve> {
        self.all.iter().find(|reserve| Some(reserve.service) == service)
    }

    /// Records that a vacant worker of a service gets a long-running run.
    pub fn note_taken(&mut self, service: Option<symbol::Key>) {
        if let Some(reserve) = self.all.iter_mut().find(|reserve| Some(reserve.service) == service) {
            reserve.vacant_count = reserve.vacant_count.saturating_sub(1);
        }
    }

    /// Whether a service has room for new long-running tasks on vacant workers that it did not have in `earlier`.
    pub fn has_opened_since(&self, earlier: &Table) -> bool {
        self.all.iter().any(|reserve| !reserve.is_closed(0) && earlier.is_closed(Some(reserve.service), 0))
    }
}

/// Whether a task with this need must leave the reserve to others: it is long-running and has never run. What an earlier leader
/// has started is not stored, so a task of an earlier term counts as one that has run.
pub fn must_leave(need: &Need, task: &Task) -> bool {
    need.is_long_running && !need.is_filling && !task.is_inherited && task.last_exit.is_none()
}

/// What the waiting tasks of a group have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outline {
    /// Whether all of them must leave the reserve to others.
    pub all_must_leave: bool,
    /// Whether room may be kept for one of them.
    pub has_kept_room: bool,
}

/// Describes the waiting tasks of a group. They became ready together unless they have run, so those that have are the last.
pub(super) fn outline(state: &super::State, group: Group, need: &Need) -> Outline {
    let ready = state.jobs.ready.get(&group).into_iter().flatten().rev();
    let tasks = ready.filter_map(|key| Some((*key, state.jobs.tasks.get(*key)?)));
    let mut with_run =
        tasks.take_while(|(_, task)| need.is_long_running && !must_leave(need, task)).peekable();
    Outline {
        all_must_leave: need.is_long_running && !need.is_filling && with_run.peek().is_none(),
        has_kept_room: with_run.any(|(key, _)| has_kept_room(state, key)),
    }
}

/// Whether the room of the last run of a task is kept for it.
pub(super) fn has_kept_room(state: &super::State, key: task::Key) -> bool {
    let worker = state.jobs.tasks.get(key).and_then(|task| state.workers.all.get(task.kept_on?));
    worker.is_some_and(|worker| worker.keeps_room(key, state.now))
}

/// Keeps the room of a long-running run that has ended for the next run of its task. The members of a gang are placed
/// together, so they get no room of their own.
pub(super) fn keep_room(state: &mut super::State, key: task::Key, run: &Run) {
    let (Some(worker), Some(task)) = (state.workers.all.get_mut(run.worker), state.jobs.tasks.get_mut(key))
    else {
        return;
    };
    let is_gang = state.jobs.all[task.job].needs[task.name.step as usize].is_gang;
    if !run.profile.is_long_running || is_gang || task.phase != task::Phase::Ready {
        return;
    }
    let (now, until) = (state.now, state.now + KEEP_DURATION);
    worker.kept_rooms.retain(|room| room.until > now);
    worker.kept_rooms.push(KeptRoom { task: key, resources: run.charged, until });
    task.kept_on = Some(run.worker);
    state.placement.wake_at([until]);
}

/// Gives back the room that is kept for a task, which starts.
pub(super) fn release_room(state: &mut super::State, key: task::Key) {
    let kept_on = state.jobs.tasks.get_mut(key).and_then(|task| task.kept_on.take());
    if let Some(worker) = kept_on.and_then(|worker| state.workers.all.get_mut(worker)) {
        worker.kept_rooms.retain(|room| room.task != key);
    }
}
