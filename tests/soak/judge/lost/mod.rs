//! Judge of the rule that nothing is lost, from what callers and workers see.
//!
//! - An accepted job that nobody has cancelled ends or goes on. It is shown as `completed` or `failed` only if its runs
//!   explain that, and at the end of the day its state is told.
//! - A task that lasts is at work, and so is some task of each other job that has not ended, while a worker has room.
//! - Each request gets an answer that says what became of it, if only that it is rejected.
//!
//! A state without a cause counts at any time. All else counts only in the calm, which begins [`SETTLING`] after the end of the last
//! fault. The faults of a day overlap, so there is no other span that none of them reaches.

mod cases;

use std::fmt;
use std::time::Duration;

use nutmegfold::hash::Map;
use slotmap::{SecondaryMap, SlotMap, new_key_type};

use super::{Event, Run, RunKey};
use crate::caller::MAX_ATTEMPTS;

/// Time from the end of the last fault to the calm, in which VMs meet again and take note of what has ended.
pub const SETTLING: Duration = Duration::from_secs(4);

/// Longest time in the calm for which a task that can run is not at work.
pub const MAX_WAIT: Duration = Duration::from_secs(3);

/// Time after the last run of a lasting task before its wait counts.
pub const AFTER_RUN: Duration = Duration::from_secs(6);

/// How often a task has to fit into a worker that has room for it. Between one and two, requests of several resources and pending
/// starts may still be in the way.
const ROOM_FACTOR: u32 = 2;

new_key_type! {
    struct JobKey;
    struct TaskKey;
    struct WorkerKey;
}

/// Step of a job, as its caller submits it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    pub tasks: u32,
    pub cpu_millicores: u32,
    /// Whether the tasks run until the job is cancelled.
    pub lasts: bool,
}

/// State in which a job is shown to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    Open,
    Completed,
    Failed,
    Cancelled,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    Submit,
    Ask,
    Cancel,
}

/// Call of a caller that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub verb: Verb,
    pub job: String,
    /// VM that was called.
    pub vm: usize,
    pub sent: Duration,
    /// `None` if no complete answer came in time.
    pub status: Option<u16>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// An accepted job is not known.
    UnknownJob,
    /// The state of an accepted job can't be had at the end of the day.
    UntoldState,
    /// A job is shown in a state that its runs don't explain.
    Unexplained(Phase),
    /// A task that lasts is not at work.
    IdleTask,
    /// Nothing of a job is at work, and it has not ended.
    IdleJob,
    /// A request got no answer, or one that doesn't say what became of it.
    Unanswered(Request),
}

/// Something that was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    pub kind: Kind,
    /// When it was known.
    pub at: Duration,
    /// Job or task.
    pub name: String,
}

#[derive(Debug)]
struct Job {
    name: String,
    steps: Vec<Step>,
    tasks: Vec<TaskKey>,
    is_accepted: bool,
    /// Whether a cancellation was sent.
    is_cancelled: bool,
    /// Whether it was shown as ended.
    has_ended: bool,
    wait: Wait,
}

#[derive(Debug)]
struct Task {
    name: String,
    job: JobKey,
    step: Step,
    running: u32,
    last_end: Option<Duration>,
    is_done: bool,
    /// Whether an end as `done` was taken note of.
    is_noted: bool,
    /// Runs that have ended `failed`.
    failed: u32,
    wait: Wait,
}

#[derive(Debug)]
struct Worker {
    cpu_millicores: u32,
    used_millicores: u32,
}

#[derive(Debug, Clone, Copy)]
struct Placement {
    task: TaskKey,
    worker: Option<WorkerKey>,
    is_done: bool,
}

/// Time since which something waits in the calm. One that waits too long is reported once.
#[derive(Debug, Clone, Copy, Default)]
struct Wait {
    since: Option<Duration>,
    is_reported: bool,
}

/// What workers have to offer.
#[derive(Debug, Clone, Copy)]
struct Room {
    /// Largest free share of one worker.
    largest_millicores: u32,
    /// Whether less than half of all is in use.
    is_half_free: bool,
}

/// What was seen of jobs and workers, and what was lost.
#[derive(Debug, Default)]
pub struct State {
    jobs: SlotMap<JobKey, Job>,
    jobs_by_name: Map<String, JobKey>,
    tasks: SlotMap<TaskKey, Task>,
    tasks_by_name: Map<String, TaskKey>,
    /// Workers that are up and not draining.
    workers: SlotMap<WorkerKey, Worker>,
    workers_by_name: Map<String, WorkerKey>,
    runs: SecondaryMap<RunKey, Placement>,
    calm_from: Option<Duration>,
    losses: Vec<Loss>,
}

impl Wait {
    /// Whether a wait has just become too long.
    fn exceeds(&mut self, now: Duration, is_waiting: bool) -> bool {
        if !is_waiting {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let is_new = now - since >= MAX_WAIT && !self.is_reported;
        self.is_reported |= is_new;
        is_new
    }
}

impl Job {
    /// Whether it has to go on.
    fn is_owed(&self) -> bool {
        self.is_accepted && !self.is_cancelled && !self.has_ended
    }

    fn lasts(&self) -> bool {
        self.steps.iter().any(|step| step.lasts)
    }
}

impl Request {
    /// Whether the caller knows what became of it. After a 502 or 504 it does not.
    fn is_answered(&self) -> bool {
        self.status.is_some_and(|status| status != 502 && status != 504)
    }
}

impl State {
    /// Applies what a caller or a worker saw.
    pub fn reduce(&mut self, now: Duration, event: &Event) {
        match event {
            Event::Started { key, run, .. } => self.start(*key, run),
            Event::Ended { run, how } => self.end(now, *run, how),
            Event::Lapsed { .. } => {}
            Event::Acknowledged { run } => self.acknowledge(*run),
            Event::Entered { worker, cpu_millicores } => self.enter(worker, *cpu_millicores),
            Event::Left { worker } => {
                if let Some(key) = self.workers_by_name.remove(worker) {
                    self.workers.remove(key);
                }
            }
            Event::Submitted { job, steps } => self.submit(job, steps),
            Event::Accepted { job } => self.update(job, |job| job.is_accepted = true),
            Event::Cancelling { job } => self.update(job, |job| job.is_cancelled = true),
            Event::Called(request) => self.judge_request(now, request),
            Event::Shown { job, phase } => self.show(now, job, *phase),
            Event::Untold { job } => self.add(Kind::UntoldState, now, job),
            Event::FaultsEnded => self.calm_from = Some(now + SETTLING),
            Event::Tick => self.judge_waits(now),
        }
    }

    pub fn losses(&self) -> &[Loss] {
        &self.losses
    }

    /// Names of the accepted jobs whose cancellation was not sent.
    pub fn uncancelled(&self) -> Vec<String> {
        let is_kept = |job: &&Job| job.is_accepted && !job.is_cancelled;
        self.jobs.values().filter(is_kept).map(|job| job.name.clone()).collect()
    }

    fn submit(&mut self, name: &str, steps: &[Step]) {
        let key = self.jobs.insert(Job {
            name: name.to_owned(),
            steps: steps.to_vec(),
            tasks: Vec::new(),
            is_accepted: false,
            is_cancelled: false,
            has_ended: false,
            wait: Wait::default(),
        });
        self.jobs_by_name.insert(name.to_owned(), key);
        for (index, step) in steps.iter().enumerate() {
            for task in 0..step.tasks {
                self.add_task(key, *step, format!("{name}.0.{index}.{task}"));
            }
        }
    }

    fn add_task(&mut self, job: JobKey, step: Step, name: String) {
        let key = self.tasks.insert(Task {
            name: name.clone(),
            job,
            step,
            running: 0,
            last_end: None,
            is_done: false,
            is_noted: false,
            failed: 0,
            wait: Wait::default(),
        });
        self.tasks_by_name.insert(name, key);
        self.jobs[job].tasks.push(key);
    }

    fn update(&mut self, job: &str, change: impl FnOnce(&mut Job)) {
        if let Some(key) = self.jobs_by_name.get(job) {
            change(&mut self.jobs[*key]);
        }
    }

    fn enter(&mut self, name: &str, cpu_millicores: u32) {
        let key = self.workers.insert(Worker { cpu_millicores, used_millicores: 0 });
        self.workers_by_name.insert(name.to_owned(), key);
    }

    fn start(&mut self, key: RunKey, run: &Run) {
        let Some(&task) = self.tasks_by_name.get(&run.task) else { return };
        let worker = self.workers_by_name.get(&run.worker).copied();
        self.tasks[task].running += 1;
        if let Some(worker) = worker.and_then(|worker| self.workers.get_mut(worker)) {
            worker.used_millicores += self.tasks[task].step.cpu_millicores;
        }
        self.runs.insert(key, Placement { task, worker, is_done: false });
    }

    fn end(&mut self, now: Duration, key: RunKey, how: &str) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.is_done = how == "done";
        let task = &mut self.tasks[run.task];
        task.running -= 1;
        task.last_end = Some(now);
        task.is_done |= run.is_done;
        task.failed += u32::from(how == "failed");
        if let Some(worker) = run.worker.and_then(|worker| self.workers.get_mut(worker)) {
            worker.used_millicores -= task.step.cpu_millicores;
        }
    }

    fn acknowledge(&mut self, key: RunKey) {
        if let Some(run) = self.runs.get(key).filter(|run| run.is_done) {
            self.tasks[run.task].is_noted = true;
        }
    }

    fn is_calm(&self, at: Duration) -> bool {
        self.calm_from.is_some_and(|from| at >= from)
    }

    fn judge_request(&mut self, now: Duration, request: &Request) {
        if !self.is_calm(request.sent) {
            return;
        }
        if !request.is_answered() {
            self.add(Kind::Unanswered(request.clone()), now, &request.job);
        }
        let is_owed = |key: &JobKey| self.jobs[*key].is_accepted && !self.jobs[*key].is_cancelled;
        let is_unknown = request.verb == Verb::Ask && request.status == Some(410);
        if is_unknown && self.jobs_by_name.get(&request.job).is_some_and(is_owed) {
            self.add(Kind::UnknownJob, now, &request.job);
        }
    }

    fn show(&mut self, now: Duration, name: &str, phase: Phase) {
        let Some(&key) = self.jobs_by_name.get(name) else { return };
        let job = &self.jobs[key];
        let mut tasks = job.tasks.iter().map(|task| &self.tasks[*task]);
        let is_explained = match phase {
            Phase::Open => true,
            Phase::Completed => tasks.all(|task| task.is_done),
            Phase::Failed => tasks.any(|task| task.failed >= MAX_ATTEMPTS),
            Phase::Cancelled => job.is_cancelled,
        };
        if !is_explained {
            self.add(Kind::Unexplained(phase), now, name);
        }
        self.jobs[key].has_ended |= phase != Phase::Open;
    }

    /// Finds what has waited too long while a worker had room for it.
    fn judge_waits(&mut self, now: Duration) {
        if !self.is_calm(now) {
            return;
        }
        let room = self.room();
        let mut found = Vec::new();
        for task in self.tasks.values_mut().filter(|task| task.step.lasts) {
            let is_waiting = self.jobs[task.job].is_owed()
                && task.running == 0
                && task.last_end.is_none_or(|end| now >= end + AFTER_RUN)
                && room.fits(task.step.cpu_millicores);
            if task.wait.exceeds(now, is_waiting) {
                found.push((Kind::IdleTask, task.name.clone()));
            }
        }
        for job in self.jobs.values_mut().filter(|job| !job.lasts()) {
            let largest = job.steps.iter().map(|step| step.cpu_millicores).max().unwrap_or_default();
            let is_waiting = job.is_owed()
                && job.tasks.iter().all(|task| self.tasks[*task].running == 0)
                && !job.tasks.iter().all(|task| self.tasks[*task].is_noted)
                && room.is_half_free
                && room.fits(largest);
            if job.wait.exceeds(now, is_waiting) {
                found.push((Kind::IdleJob, job.name.clone()));
            }
        }
        for (kind, name) in found {
            self.add(kind, now, &name);
        }
    }

    fn room(&self) -> Room {
        let free = |worker: &Worker| worker.cpu_millicores.saturating_sub(worker.used_millicores);
        let used: u32 = self.workers.values().map(|worker| worker.used_millicores).sum();
        let total: u32 = self.workers.values().map(|worker| worker.cpu_millicores).sum();
        Room {
            largest_millicores: self.workers.values().map(free).max().unwrap_or_default(),
            is_half_free: used * 2 < total,
        }
    }

    fn add(&mut self, kind: Kind, at: Duration, name: &str) {
        self.losses.push(Loss { kind, at, name: name.to_owned() });
    }
}

impl Room {
    fn fits(self, cpu_millicores: u32) -> bool {
        self.largest_millicores >= ROOM_FACTOR * cpu_millicores
    }
}

impl fmt::Display for Loss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Loss { kind, at, name } = self;
        match kind {
            Kind::UnknownJob => write!(formatter, "accepted job {name} is not known"),
            Kind::UntoldState => write!(formatter, "the state of accepted job {name} is not told"),
            Kind::Unexplained(phase) => {
                write!(formatter, "job {name} is shown as {phase:?}, which its runs don't explain")
            }
            Kind::IdleTask => {
                write!(formatter, "lasting task {name} is not at work, though a worker has room")
            }
            Kind::IdleJob => {
                write!(formatter, "nothing of job {name} is at work, though a worker has room")
            }
            Kind::Unanswered(Request { verb, vm, sent, status, .. }) => {
                write!(formatter, "{verb:?} of job {name} at vm-{vm}, sent {sent:.3?}, has ")?;
                match status {
                    Some(status) => write!(formatter, "status {status}"),
                    None => write!(formatter, "no answer"),
                }
            }
        }?;
        write!(formatter, ", known {at:.3?}")
    }
}
