//! Arena of jobs: accepted, running, and ended ones whose phase callers can still read.

use std::collections::VecDeque;
use std::time::Duration;

use slotmap::SlotMap;

use super::journal::Position;
use super::late;
use super::place::Need;
use super::request::Phase;
use super::spec::{Id, Name, Spec};
use super::store::{Progress, Record, TaskProgress};
use super::symbol;
use super::task::{self, Task};
use crate::core::time::Instant;
use crate::hash::{Map, Set};

slotmap::new_key_type! {
    /// Key of a job.
    pub struct Key;
}

/// Run numbers that are reserved for each term, so that a later leader never reuses the number of an earlier run.
const RUNS_PER_TERM: u32 = 1_000;

/// Number of the first run of a task in the term that has loaded its job, or that has accepted it.
pub fn first_run(loaded_in: Option<u64>) -> u32 {
    loaded_in.map_or(1, |term| (term as u32).saturating_mul(RUNS_PER_TERM))
}

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Tasks, by step and by number in the step.
    pub tasks: Vec<Vec<task::Key>>,
    /// Number of tasks that are not done, by step.
    pub remaining: Vec<u32>,
}

/// State of one job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identity chosen by the caller.
    pub id: Id,
    /// Name of the queue.
    pub queue: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Requirements of the tasks, by step.
    pub needs: Vec<Need>,
    /// Specification from the caller.
    pub spec: Spec,
    /// Time of acceptance in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Time by which the job should be completed.
    pub deadline: Instant,
    /// Time from its acceptance, or from the release of an occurrence, within which it should be completed.
    pub allowance: Duration,
    /// Estimated run time of the longest chain of dependent steps that begins with each step.
    pub chains: Vec<Duration>,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Released occurrences that are not done, by number.
    pub open_occurrences: Map<u32, Occurrence>,
    /// Number of released occurrences.
    pub released_count: u32,
    /// Current phase; a terminal one may not be stored yet.
    pub phase: Phase,
    /// Whether a terminal phase is durably stored.
    pub is_final: bool,
    /// Whether the record of the job is durably stored.
    pub is_stored: bool,
    /// Task progress of closed occurrences, and that loaded from the store for occurrences not yet released.
    pub task_progress: Vec<TaskProgress>,
    /// Time of the end in milliseconds since the Unix epoch; 0 if the job has not ended.
    pub finished_unix_ms: u64,
    /// Term in which the job was loaded from the store, so that an earlier leader may have started its tasks; `None` if
    /// this term accepted it.
    pub inherited_in: Option<u64>,
    /// Position of the change that stores the record.
    pub acceptance: Position,
    /// Time until which an order to start a task of the ended job may be carried out.
    pub late_until: Instant,
    /// Sequence number of the newest change of the job in the journal; 0 if this process has changed nothing.
    pub newest_change: u64,
}

impl Job {
    /// Record of the job for the store.
    pub fn record(&self) -> Record {
        Record {
            queue: self.queue.clone(),
            service: self.service.clone(),
            spec: self.spec.clone(),
            accepted_unix_ms: self.accepted_unix_ms,
        }
    }

    /// Time by which an occurrence should be completed, at `now` with the time of day `unix_ms`.
    pub fn occurrence_deadline(&self, number: u32, now: Instant, unix_ms: u64) -> Instant {
        let Some(schedule) = self.spec.schedule else { return self.deadline };
        let elapsed = schedule.interval_ms.saturating_mul(u64::from(number));
        let due = schedule.start_unix_ms.saturating_add(elapsed);
        now - Duration::from_millis(unix_ms.saturating_sub(due)) + self.allowance
    }

    /// Changes the service whose workers run the tasks.
    pub fn set_service(&mut self, service: &str) {
        self.service = service.to_owned();
        for need in &mut self.needs {
            need.service = symbol::Key::of(service);
        }
    }

    /// Phase as callers see it: a terminal phase is visible only once it is durably stored.
    pub fn visible_phase(&self) -> Phase {
        if self.phase.has_ended() && !self.is_final { Phase::Running } else { self.phase }
    }
}

/// Identifies the tasks of one step in one occurrence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group {
    /// Job that the tasks belong to.
    pub job: Key,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

/// Jobs, their tasks, and the queues of ready tasks.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Arena of jobs.
    pub all: SlotMap<Key, Job>,
    /// Jobs by identity.
    pub by_id: Map<Id, Key>,
    /// Tasks of open occurrences.
    pub tasks: task::Table,
    /// Ready tasks by group, in the order in which they became ready.
    pub ready: Map<Group, VecDeque<task::Key>>,
    /// Tasks that have become ready since the last placement pass.
    pub newly_ready: Vec<task::Key>,
}

impl Table {
    /// Removes all jobs. Their keys are not used again, since timers that name them are not cancelled.
    pub fn clear(&mut self) {
        self.all.clear();
        self.by_id.clear();
        self.tasks.clear();
        self.ready.clear();
        self.newly_ready.clear();
    }

    /// Job with this identity.
    pub fn find(&self, id: Id) -> Option<Key> {
        self.by_id.get(&id).copied()
    }

    /// Task with this name; `None` if the job has ended or the occurrence is not open.
    pub fn find_task(&self, name: Name) -> Option<task::Key> {
        let job = self.all.get(self.find(name.job)?)?;
        let step = job.open_occurrences.get(&name.occurrence)?.tasks.get(name.step as usize)?;
        step.get(name.index as usize).copied()
    }

    /// Releases the next occurrence: creates its tasks with the progress that was loaded from the store. They start at
    /// `not_before` or later.
    pub fn release(&mut self, key: Key, not_before: Instant, now: Instant) {
        let Some(job) = self.all.get_mut(key) else { return };
        let (number, term) = (job.released_count, job.inherited_in);
        job.released_count += 1;
        let loaded: Map<(u32, u32), TaskProgress> = job
            .task_progress
            .iter()
            .filter(|progress| progress.occurrence == number)
            .map(|progress| ((progress.step, progress.index), progress.clone()))
            .collect();
        let first_run = first_run(term);
        let mut occurrence = Occurrence { tasks: Vec::new(), remaining: Vec::new() };
        for (step, step_spec) in (0..).zip(&job.spec.steps) {
            let mut tasks = Vec::with_capacity(step_spec.count as usize);
            let mut remaining = 0;
            for index in 0..step_spec.count {
                let progress = loaded.get(&(step, index));
                let is_done = progress.is_some_and(|progress| progress.done);
                remaining += u32::from(!is_done);
                tasks.push(self.tasks.insert(Task {
                    name: Name { job: job.id, occurrence: number, step, index },
                    job: key,
                    phase: if is_done { task::Phase::Done } else { task::Phase::Blocked },
                    runs: Vec::new(),
                    next_run: first_run,
                    failed_runs: progress.map_or_else(Vec::new, |progress| progress.failed_runs.clone()),
                    crashed_runs: progress.map_or_else(Vec::new, |progress| progress.crashed_runs.clone()),
                    sole_crashes: progress.map_or_else(Vec::new, |progress| progress.sole_crashes.clone()),
                    awaited_change: 0,
                    checkpoint: String::new(),
                    avoid_worker: None,
                    kept_on: None,
                    ready_at: now,
                    not_before,
                    lost_at: None,
                    last_exit: None,
                    is_inherited: term.is_some(),
                    may_have_unseen_run: term.is_some(),
                }));
            }
            occurrence.tasks.push(tasks);
            occurrence.remaining.push(remaining);
        }
        job.task_progress.retain(|progress| progress.occurrence != number);
        let is_done = occurrence.remaining.iter().all(|remaining| *remaining == 0);
        job.open_occurrences.insert(number, occurrence);
        if is_done {
            self.close_occurrence(key, number);
            return;
        }
        for step in 0..self.all[key].spec.steps.len() as u32 {
            self.unblock(Group { job: key, occurrence: number, step }, now);
        }
    }

    /// Makes the blocked tasks of a step ready if all steps that it depends on are done.
    pub fn unblock(&mut self, group: Group, now: Instant) {
        let Some(job) = self.all.get(group.job) else { return };
        let Some(occurrence) = job.open_occurrences.get(&group.occurrence) else { return };
        let step = &job.spec.steps[group.step as usize];
        if step.depends_on.iter().any(|before| occurrence.remaining[*before as usize] > 0) {
            return;
        }
        let blocked: Vec<task::Key> = occurrence.tasks[group.step as usize]
            .iter()
            .copied()
            .filter(|task| self.tasks[*task].phase == task::Phase::Blocked)
            .collect();
        for task in blocked {
            self.make_ready(task, now);
        }
    }

    /// Puts a task into the ready queue of its group, unless it is done or there already.
    pub fn make_ready(&mut self, key: task::Key, now: Instant) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        if task.phase == task::Phase::Done || task.phase == task::Phase::Ready {
            return;
        }
        task.phase = task::Phase::Ready;
        task.ready_at = now;
        self.ready.entry(task.group()).or_default().push_back(key);
        self.newly_ready.push(key);
    }

    /// Removes the tasks that have started from the ready queue of their group.
    pub fn remove_started(&mut self, group: Group) {
        let Some(waiting) = self.ready.get_mut(&group) else { return };
        waiting.retain(|key| self.tasks.get(*key).is_some_and(|task| task.phase == task::Phase::Ready));
        if waiting.is_empty() {
            self.ready.remove(&group);
        }
    }

    /// Removes a task from the ready queue of its group; does not change its phase.
    pub fn dequeue(&mut self, key: task::Key) {
        let Some(task) = self.tasks.get(key) else { return };
        let group = task.group();
        if let Some(tasks) = self.ready.get_mut(&group) {
            tasks.retain(|other| *other != key);
            if tasks.is_empty() {
                self.ready.remove(&group);
            }
        }
    }

    /// Marks a task as done and makes ready the steps that depended on it. Returns whether the whole job is done.
    pub fn finish_task(&mut self, key: task::Key, now: Instant) -> bool {
        let Some(task) = self.tasks.get_mut(key) else { return false };
        if task.phase == task::Phase::Done {
            return false;
        }
        task.phase = task::Phase::Done;
        let (job_key, name) = (task.job, task.name);
        let Some(job) = self.all.get_mut(job_key) else { return false };
        let Some(occurrence) = job.open_occurrences.get_mut(&name.occurrence) else { return false };
        let remaining = &mut occurrence.remaining[name.step as usize];
        *remaining = remaining.saturating_sub(1);
        if *remaining > 0 {
            return false;
        }
        if occurrence.remaining.iter().all(|remaining| *remaining == 0) {
            return self.close_occurrence(job_key, name.occurrence);
        }
        let steps = job.spec.steps.len() as u32;
        for step in name.step + 1..steps {
            self.unblock(Group { job: job_key, occurrence: name.occurrence, step }, now);
        }
        false
    }

    /// Closes an occurrence that is done, and removes its tasks. Returns whether it was the last occurrence.
    fn close_occurrence(&mut self, key: Key, number: u32) -> bool {
        let job = &mut self.all[key];
        let Some(occurrence) = job.open_occurrences.remove(&number) else { return false };
        for task in occurrence.tasks.into_iter().flatten() {
            if let Some(task) = self.tasks.remove(task) {
                let Name { occurrence, step, index, .. } = task.name;
                job.task_progress.push(TaskProgress {
                    occurrence,
                    step,
                    index,
                    done: true,
                    failed_runs: task.failed_runs,
                    crashed_runs: Vec::new(),
                    sole_crashes: Vec::new(),
                    late_on: Vec::new(),
                });
            }
        }
        job.open_occurrences.is_empty() && job.released_count == job.spec.occurrences()
    }

    /// Removes the tasks and the task progress of a job that has ended.
    pub fn remove_tasks(&mut self, key: Key) {
        let Some(job) = self.all.get_mut(key) else { return };
        for (_, occurrence) in job.open_occurrences.drain() {
            for task in occurrence.tasks.into_iter().flatten() {
                self.tasks.remove(task);
            }
        }
        job.task_progress.clear();
        self.ready.retain(|group, _| group.job != key);
    }

    /// Progress of a job for the store, with the orders to start its tasks that may still be carried out; `None` if the job is not
    /// known.
    pub fn progress(&self, key: Key, late: &late::Table) -> Option<Progress> {
        let job = self.all.get(key)?;
        let mut task_progress = job.task_progress.clone();
        for occurrence in job.open_occurrences.values() {
            for task in occurrence.tasks.iter().flatten().filter_map(|task| self.tasks.get(*task)) {
                let done = task.phase == task::Phase::Done;
                if done || !task.failed_runs.is_empty() || task.is_suspect() || late.contains(task.name) {
                    let Name { occurrence, step, index, .. } = task.name;
                    task_progress.push(TaskProgress {
                        occurrence,
                        step,
                        index,
                        done,
                        failed_runs: task.failed_runs.clone(),
                        crashed_runs: task.crashed_runs.clone(),
                        sole_crashes: task.sole_crashes.clone(),
                        late_on: Vec::new(),
                    });
                }
            }
        }
        for progress in &mut task_progress {
            let TaskProgress { occurrence, step, index, .. } = *progress;
            progress.late_on = late.worker_ids(Name { job: job.id, occurrence, step, index });
        }
        let has_late_start = job.late_until > Instant::default();
        Some(Progress {
            phase: job.phase,
            task_progress,
            finished_unix_ms: job.finished_unix_ms,
            has_late_start,
        })
    }

    /// Tasks of the gang that a task belongs to, or the task alone if its step is no gang.
    pub fn gang_of(&self, key: task::Key) -> Vec<task::Key> {
        let gang = || {
            let task = self.tasks.get(key)?;
            let job = self.all.get(task.job)?;
            let step = task.name.step as usize;
            let occurrence = job.open_occurrences.get(&task.name.occurrence)?;
            job.spec.steps[step].is_gang.then(|| occurrence.tasks[step].clone())
        };
        gang().unwrap_or_else(|| vec![key])
    }

    /// Number of failed runs of a task or of its gang, whose members share the numbers of their runs.
    pub fn count_failed_runs(&self, key: task::Key) -> usize {
        let members = self.gang_of(key);
        let tasks = members.iter().filter_map(|task| self.tasks.get(*task));
        tasks.flat_map(|task| task.failed_runs.iter().copied()).collect::<Set<u32>>().len()
    }

    /// Number of tasks of a group that are not done.
    pub fn count_unfinished(&self, group: Group) -> usize {
        let occurrence = self.all.get(group.job).and_then(|job| job.open_occurrences.get(&group.occurrence));
        let remaining = occurrence.and_then(|occurrence| occurrence.remaining.get(group.step as usize));
        remaining.map_or(0, |remaining| *remaining as usize)
    }

    /// Number of tasks of a job with at least one run that may still exist.
    pub fn count_tasks_with_runs(&self, key: Key) -> usize {
        let occurrences = self.all.get(key).into_iter().flat_map(|job| job.open_occurrences.values());
        let tasks = occurrences.flat_map(|occurrence| occurrence.tasks.iter().flatten());
        tasks.filter(|task| self.tasks.get(**task).is_some_and(|task| !task.runs.is_empty())).count()
    }

    /// Notes that a worker has begun a task of a job. An order to start does not show that: it may be refused or get no answer.
    pub fn note_begun(&mut self, id: Id) {
        let job = self.find(id).and_then(|key| self.all.get_mut(key));
        if let Some(job) = job.filter(|job| job.phase == Phase::Queued) {
            job.phase = Phase::Running;
        }
    }

    /// Number of accepted jobs of a queue that no worker has begun, without jobs that have a schedule.
    pub fn queued_count(&self, queue: &str) -> u64 {
        let is_counted = |job: &&Job| {
            job.queue == queue && job.is_stored && job.phase == Phase::Queued && job.spec.schedule.is_none()
        };
        self.all.values().filter(is_counted).count() as u64
    }
}
