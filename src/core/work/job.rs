//! Jobs: accepted, running, and ended ones that callers may still ask for.

use std::collections::VecDeque;

use slotmap::SlotMap;

use super::request::Phase;
use super::spec::{Id, Name, Spec};
use super::store::{Progress, Record, TaskProgress};
use super::task::{self, Task};
use crate::core::time::Instant;
use crate::hash::Map;

slotmap::new_key_type! {
    /// A job.
    pub struct Key;
}

/// Numbers of runs that each term has for itself, so that a later leader never repeats one.
const RUNS_PER_TERM: u32 = 1_000;

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Tasks by step.
    pub tasks: Vec<Vec<task::Key>>,
    /// Tasks by step that are not done.
    pub remaining: Vec<u32>,
}

/// A job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identity.
    pub id: Id,
    /// Name of its queue.
    pub queue: String,
    /// Service whose workers run it.
    pub service: String,
    /// What the caller asked for.
    pub spec: Spec,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// When it should be done.
    pub deadline: Instant,
    /// Place of its queue; 0 comes first.
    pub priority: u32,
    /// Failures of one task after which it has failed.
    pub max_attempts: u32,
    /// Released occurrences that are not done.
    pub open_occurrences: Map<u32, Occurrence>,
    /// Number of occurrences released.
    pub released_count: u32,
    /// State.
    pub phase: Phase,
    /// State that is stored, as far as it is final.
    pub is_final: bool,
    /// Whether the record of the job is in the store.
    pub is_stored: bool,
    /// Marks of earlier occurrences, and those read from the store.
    pub task_progress: Vec<TaskProgress>,
    /// When it ended, in milliseconds since the Unix epoch.
    pub finished_unix_ms: u64,
}

impl Job {
    /// Record for the store.
    pub fn record(&self) -> Record {
        Record {
            queue: self.queue.clone(),
            service: self.service.clone(),
            spec: self.spec.clone(),
            accepted_unix_ms: self.accepted_unix_ms,
        }
    }

    /// State as callers see it: an end is shown once it is stored.
    pub fn visible_phase(&self) -> Phase {
        if self.phase.has_ended() && !self.is_final { Phase::Running } else { self.phase }
    }
}

/// Tasks of one step of one occurrence that wait for workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Group {
    /// Job.
    pub job: Key,
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
}

/// Jobs of the deployment.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Jobs.
    pub all: SlotMap<Key, Job>,
    /// Jobs by identity.
    pub by_id: Map<Id, Key>,
    /// Tasks of jobs that have not ended.
    pub tasks: task::Table,
    /// Tasks that wait for a worker.
    pub ready: Map<Group, VecDeque<task::Key>>,
}

impl Table {
    /// The job with this identity.
    pub fn find(&self, id: Id) -> Option<Key> {
        self.by_id.get(&id).copied()
    }

    /// The task with this name, if its job has not ended and its occurrence is open.
    pub fn find_task(&self, name: Name) -> Option<task::Key> {
        let job = self.all.get(self.find(name.job)?)?;
        let step = job.open_occurrences.get(&name.occurrence)?.tasks.get(name.step as usize)?;
        step.get(name.index as usize).copied()
    }

    /// Creates the tasks of the next occurrence; those that the marks name as done are done.
    ///
    /// `term` is that of the leader if an earlier one may have started tasks of the job.
    pub fn release(&mut self, key: Key, term: Option<u64>, now: Instant) {
        let Some(job) = self.all.get_mut(key) else { return };
        let number = job.released_count;
        job.released_count += 1;
        let marks: Map<(u32, u32), TaskProgress> = job
            .task_progress
            .iter()
            .filter(|mark| mark.occurrence == number)
            .map(|mark| ((mark.step, mark.index), mark.clone()))
            .collect();
        let first_run = term.map_or(1, |term| (term as u32).saturating_mul(RUNS_PER_TERM));
        let mut occurrence = Occurrence { tasks: Vec::new(), remaining: Vec::new() };
        for (step, kind) in (0..).zip(&job.spec.steps) {
            let mut tasks = Vec::with_capacity(kind.count as usize);
            let mut left = 0;
            for index in 0..kind.count {
                let mark = marks.get(&(step, index));
                let is_done = mark.is_some_and(|mark| mark.done);
                left += u32::from(!is_done);
                tasks.push(self.tasks.insert(Task {
                    name: Name { job: job.id, occurrence: number, step, index },
                    job: key,
                    phase: if is_done { task::Phase::Done } else { task::Phase::Blocked },
                    runs: Vec::new(),
                    next_run: first_run,
                    failed_runs: mark.map_or_else(Vec::new, |mark| mark.failed_runs.clone()),
                    checkpoint: String::new(),
                    avoid_worker: None,
                    ready_at: now,
                    not_before: Instant::default(),
                    may_have_unseen_run: term.is_some(),
                }));
            }
            occurrence.tasks.push(tasks);
            occurrence.remaining.push(left);
        }
        job.task_progress.retain(|mark| mark.occurrence != number);
        let is_done = occurrence.remaining.iter().all(|left| *left == 0);
        job.open_occurrences.insert(number, occurrence);
        if is_done {
            self.close_occurrence(key, number);
            return;
        }
        for step in 0..self.all[key].spec.steps.len() as u32 {
            self.unblock(Group { job: key, occurrence: number, step }, now);
        }
    }

    /// Makes the blocked tasks of a step ready if all steps before it are done.
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

    /// Lets a task wait for a worker.
    pub fn make_ready(&mut self, key: task::Key, now: Instant) {
        let Some(task) = self.tasks.get_mut(key) else { return };
        if task.phase == task::Phase::Done || task.phase == task::Phase::Ready {
            return;
        }
        task.phase = task::Phase::Ready;
        task.ready_at = now;
        self.ready.entry(task.group()).or_default().push_back(key);
    }

    /// Takes a task out of those that wait for a worker.
    pub fn dequeue(&mut self, key: task::Key) {
        let Some(task) = self.tasks.get(key) else { return };
        if let Some(tasks) = self.ready.get_mut(&task.group()) {
            tasks.retain(|other| *other != key);
        }
    }

    /// Marks a task as done and releases the steps after it. Whether all tasks of the job are done.
    pub fn finish_task(&mut self, key: task::Key, now: Instant) -> bool {
        let Some(task) = self.tasks.get_mut(key) else { return false };
        if task.phase == task::Phase::Done {
            return false;
        }
        task.phase = task::Phase::Done;
        let (job_key, name) = (task.job, task.name);
        let Some(job) = self.all.get_mut(job_key) else { return false };
        let Some(occurrence) = job.open_occurrences.get_mut(&name.occurrence) else { return false };
        let left = &mut occurrence.remaining[name.step as usize];
        *left = left.saturating_sub(1);
        if *left > 0 {
            return false;
        }
        if occurrence.remaining.iter().all(|left| *left == 0) {
            return self.close_occurrence(job_key, name.occurrence);
        }
        let steps = job.spec.steps.len() as u32;
        for step in name.step + 1..steps {
            self.unblock(Group { job: job_key, occurrence: name.occurrence, step }, now);
        }
        false
    }

    /// Closes an occurrence that is done. Whether it was the last one.
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
                });
            }
        }
        job.open_occurrences.is_empty() && job.released_count == job.spec.occurrences()
    }

    /// Drops the tasks of a job that has ended.
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

    /// Progress of a job for the store.
    pub fn progress(&self, key: Key) -> Option<Progress> {
        let job = self.all.get(key)?;
        let mut marks = job.task_progress.clone();
        for occurrence in job.open_occurrences.values() {
            for task in occurrence.tasks.iter().flatten().filter_map(|task| self.tasks.get(*task)) {
                let done = task.phase == task::Phase::Done;
                if done || !task.failed_runs.is_empty() {
                    let Name { occurrence, step, index, .. } = task.name;
                    let failed_runs = task.failed_runs.clone();
                    marks.push(TaskProgress { occurrence, step, index, done, failed_runs });
                }
            }
        }
        Some(Progress { phase: job.phase, task_progress: marks, finished_unix_ms: job.finished_unix_ms })
    }

    /// Accepted jobs of a queue of which nothing has started, without those that run at times.
    pub fn queued_count(&self, queue: &str) -> u64 {
        let waits = |job: &&Job| {
            job.queue == queue && job.is_stored && job.phase == Phase::Queued && job.spec.schedule.is_none()
        };
        self.all.values().filter(waits).count() as u64
    }
}
