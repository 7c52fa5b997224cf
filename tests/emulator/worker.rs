//! Emulated workers of the platform, and the observer that checks the guarantees on the runs of all workers.
//!
//! A worker executes tasks in virtual time. An order to a worker renews its lease, or starts, stops or paces a run. The
//! worker refuses orders with an old fencing token, and ends its runs when its lease expires.

use std::time::Duration;

use nutmegfold::core::time::Instant;
use nutmegfold::core::work::event::{Event, Fault};
use nutmegfold::core::work::order::{Ended, How, Listing, Order, Refusal, Reply, Running};
use nutmegfold::core::work::request::{Answer, Verb};
use nutmegfold::core::work::spec::{Id, Name, Resources, Spec, Step};
use nutmegfold::core::work::tuning::Tuning;
use nutmegfold::core::work::worker::{Readiness, Report};
use nutmegfold::hash::{self, Map, Set};

use super::Envelope;

/// CPU capacity of a worker in millicores.
const CPU_MILLICORES: u32 = 8_000;

/// Time after which the leader must know that the capacity of a worker has shrunk.
const SHRINK_GRACE: Duration = Duration::from_millis(500);

/// Most runs of a task of a speculative step at a time.
const SPECULATIVE_RUNS_MAX: usize = 2;

/// Most ends in the answer to one renewal; the others are listed once these are acknowledged.
const ENDS_PER_LISTING: usize = 500;

/// Longest lease that a worker grants, in milliseconds.
const LEASE_MAX_MS: u64 = 10_000;

/// Longest time from the answer to a cancellation to the last start of a task of the job.
const CANCELLATION_LIMIT: Duration = Duration::from_secs(4);

/// Longest time from the operator's request to evacuate a zone to the last start there.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);

/// Crashed workers after which starts of the task that crashed them are limited, and the number of starts allowed then.
const MAX_CRASHES: u32 = 3;
const MAX_STARTS_AFTER_CRASHES: u32 = 2;

/// Time that a deadly task runs before its worker crashes; a worker may list it in that time.
const DEADLY_DURATION: Duration = Duration::from_millis(10);

/// Time from the start of a run on a faulty worker to its failure.
const FAULTY_DURATION: Duration = Duration::from_millis(50);

/// Time from a crash until the worker is back.
const CRASH_DURATION: Duration = Duration::from_secs(3);

/// Mean load of a serving task by its own requests, as a share of its capacity. The load follows a sine wave with the
/// amplitude and the period below.
const MEAN_LOAD: f64 = 0.45;
const LOAD_AMPLITUDE: f64 = 0.2;
const LOAD_PERIOD_S: f64 = 14.0;

/// Response time of an idle serving task in milliseconds, used while interference is emulated.
const IDLE_RESPONSE_MS: f64 = 10.0;

/// Time after which a member of a gang ends if the others are not present.
const GANG_TIMEOUT: Duration = Duration::from_secs(3);

/// Interference between two images: serving image, filling image, and the load that one busy core of the filling image
/// adds to each serving task on the same worker.
pub type Interference = (&'static str, &'static str, f64);

/// Result of trying to execute an order.
#[derive(Debug)]
pub enum Outcome {
    Event(Event),
    /// The order has no result yet and is tried again later.
    Wait,
}

#[derive(Debug, Clone)]
struct Run {
    name: Name,
    number: u32,
    duration: Duration,
    is_long_running: bool,
    is_gang: bool,
    is_failing: bool,
    /// When the run fails before the end of its work; `None` if it does not.
    fails_at: Option<Instant>,
    is_serving: bool,
    pace_percent: u32,
    image: String,
    /// Cores that a filling task uses beside the serving tasks; 0 for other tasks.
    filling_cores: f64,
    target_ms: f64,
    started_at: Instant,
    /// Time of work done at full pace, updated at `counted_at`.
    work_done: Duration,
    counted_at: Instant,
    /// Time without a break for which the latency has been over the target.
    time_over_target: Duration,
    /// When the run stops; `None` unless a stop was ordered.
    stop_at: Option<Instant>,
}

impl Run {
    /// Load of a serving task by its own requests, as a share of its capacity. The phase differs between tasks.
    fn load(&self, now: Instant) -> f64 {
        let phase = f64::from(self.name.index) + self.name.job.0 as f64 * 0.7;
        MEAN_LOAD
            + LOAD_AMPLITUDE
                * (now.since(Instant(0)).as_secs_f64() / LOAD_PERIOD_S * std::f64::consts::TAU + phase).sin()
    }
}

/// What callers were told about a job.
#[derive(Debug, Default)]
struct Told {
    /// Number of submissions.
    submitted: u32,
    /// Number of submissions that have an answer.
    answered: u32,
    /// Number of submissions that were refused.
    refused: u32,
    /// When a submission was first answered as accepted.
    accepted_at: Option<Instant>,
    /// When a cancellation was first answered as effective, or as one of an unknown job.
    cancelled_at: Option<Instant>,
}

/// Checks the guarantees of the scheduler against the runs on all workers and the answers to callers.
#[derive(Debug)]
pub struct Observer {
    /// Failed runs of a task after which it is not started again.
    pub max_attempts: u32,
    jobs: Map<Id, Spec>,
    /// What callers were told about the jobs that they requested.
    told: Map<Id, Told>,
    /// Active runs by task: worker and number of the run.
    running: Map<Name, Set<(String, u32)>>,
    /// Tasks with at least one completed run.
    pub completed: Set<Name>,
    /// Tasks whose completion was acknowledged before the worker's lease expired.
    acknowledged: Set<Name>,
    /// Completed runs, by task.
    completed_runs: Map<Name, Vec<Execution>>,
    /// Completed runs whose task was started again later.
    repeated_runs: Set<(Name, Execution)>,
    failure_counts: Map<Name, u32>,
    /// Descriptions of all violated guarantees.
    pub violations: Vec<String>,
    /// Accepted jobs that were answered as unknown by an entry VM that is no longer the leader and does not know it.
    pub stale_answers: Vec<String>,
    /// Number of runs that have been started.
    pub start_count: u32,
    /// Runs of gangs that have ended otherwise than as done: name of a member with index 0, and number of the run.
    broken_gangs: Set<(Name, u32)>,
    /// Number of further runs of each task that fail.
    pub injected_failures: Map<Name, u32>,
    /// Factor by which the next run of a task takes longer than its estimate.
    pub slow_runs: Map<Name, u32>,
    /// Processor time of all ended runs in core-milliseconds.
    pub core_ms: u64,
    /// Ratios of the run times of tasks to their estimates, by job; 1 for the others.
    pub slowdowns: Map<Id, f64>,
    /// Evacuated availability zones, with the time of the operator's request.
    pub evacuated: Map<String, Instant>,
    /// Number of starts in other zones while a zone was evacuated for longer than [`EVACUATION_LIMIT`].
    pub starts_beside_evacuation: u64,
    /// Tasks that crash each worker that starts them.
    pub deadly: Set<Name>,
    /// Number of crashed workers, by the task that crashed them.
    crash_counts: Map<Name, u32>,
    /// Total time that serving tasks were over their latency targets.
    pub time_over_target: Duration,
    /// Longest time without a break that one serving task was over its latency target.
    pub longest_over_target: Duration,
}

/// A run in one process of a worker. The next process of the worker has no end of it, and may be ordered to start it again.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Execution {
    worker: String,
    incarnation: u64,
    number: u32,
}

impl Execution {
    fn new(worker: &str, incarnation: u64, number: u32) -> Self {
        Self { worker: worker.to_owned(), incarnation, number }
    }
}

impl Told {
    /// Whether every submission was refused.
    fn is_refused(&self) -> bool {
        self.submitted > 0 && self.refused == self.submitted
    }
}

impl Default for Observer {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            jobs: Map::default(),
            told: Map::default(),
            running: Map::default(),
            completed: Set::default(),
            acknowledged: Set::default(),
            completed_runs: Map::default(),
            repeated_runs: Set::default(),
            failure_counts: Map::default(),
            violations: Vec::new(),
            stale_answers: Vec::new(),
            start_count: 0,
            broken_gangs: Set::default(),
            injected_failures: Map::default(),
            slow_runs: Map::default(),
            core_ms: 0,
            slowdowns: Map::default(),
            evacuated: Map::default(),
            starts_beside_evacuation: 0,
            deadly: Set::default(),
            crash_counts: Map::default(),
            time_over_target: Duration::ZERO,
            longest_over_target: Duration::ZERO,
        }
    }
}

impl Observer {
    /// Records a job that a caller submitted, so that its steps are known when its tasks start.
    pub fn record_submission(&mut self, id: Id, spec: &Spec) {
        self.jobs.insert(id, spec.clone());
        let told = self.told.entry(id).or_default();
        told.submitted += 1;
        if told.accepted_at.is_none() {
            told.cancelled_at = None;
        }
    }

    /// Records the answer to a request about a job that was sent at `sent`, and whether it is that of the leader.
    pub(super) fn record_answer(
        &mut self,
        id: Id,
        (sent, verb): (Instant, &Verb),
        answer: &Answer,
        is_by_leader: bool,
        now: Instant,
    ) {
        let has_started = self.has_started(id);
        let Some(told) = self.told.get_mut(&id) else { return };
        if matches!(verb, Verb::Submit(_)) {
            told.answered += 1;
            told.refused += u32::from(matches!(answer, Answer::Refused(_)));
            if *answer == Answer::Accepted {
                told.accepted_at.get_or_insert(now);
            }
            if told.is_refused() && has_started {
                self.violations.push(format!("{id}: all submissions were refused after the job had started"));
            }
            return;
        }
        if *answer == Answer::UnknownJob
            && told.accepted_at.is_some_and(|at| at < sent && now < at + Tuning::default().retention)
        {
            let text = format!("{id}: answered as unknown at {now:?} after it was accepted");
            if is_by_leader { &mut self.violations } else { &mut self.stale_answers }.push(text);
        }
        let is_cancelled = match answer {
            Answer::Cancelled => true,
            Answer::UnknownJob => told.answered == told.submitted,
            _ => false,
        };
        if *verb == Verb::Cancel && is_cancelled {
            told.cancelled_at.get_or_insert(now);
        }
    }

    fn step(&self, name: Name) -> Option<&Step> {
        self.jobs.get(&name.job)?.steps.get(name.step as usize)
    }

    fn record_start(&mut self, worker: &str, name: Name, number: u32, now: Instant) {
        self.start_count += 1;
        let told = self.told.get(&name.job);
        if told.is_some_and(Told::is_refused) {
            self.violations
                .push(format!("{name}: run {number} started on {worker}, and the job was refused"));
        }
        if let Some(at) = told.and_then(|told| told.cancelled_at)
            && now.since(at) > CANCELLATION_LIMIT
        {
            self.violations.push(format!(
                "{name}: run {number} started on {worker} {:?} after the job's cancellation was answered",
                now.since(at)
            ));
        }
        let is_speculative = self.is_speculative(name);
        let runs_max = if is_speculative { SPECULATIVE_RUNS_MAX } else { 1 };
        let others = self.running.entry(name).or_default();
        if others.len() >= runs_max {
            self.violations
                .push(format!("{name}: run {number} started on {worker} while {others:?} are active"));
        }
        others.insert((worker.to_owned(), number));
        if self.acknowledged.contains(&name) {
            self.violations.push(format!(
                "{name}: run {number} started on {worker} after the task's completion was acknowledged"
            ));
        }
        // A copy may start before the end of the other run is read; none may start after its acknowledgement.
        let before = self.completed_runs.get(&name).into_iter().flatten().filter(|_| !is_speculative);
        self.repeated_runs.extend(before.map(|run| (name, run.clone())));
        if self.failure_counts.get(&name).is_some_and(|count| *count >= self.max_attempts) {
            self.violations.push(format!(
                "{name}: run {number} started on {worker} after {} failures",
                self.max_attempts
            ));
        }
        let crashes = self.crash_counts.get(&name).copied().unwrap_or_default();
        if crashes >= MAX_CRASHES + MAX_STARTS_AFTER_CRASHES {
            self.violations
                .push(format!("{name}: run {number} started on {worker} after {crashes} crashed workers"));
        }
        let steps = self.step(name).map(|step| step.depends_on.clone()).unwrap_or_default();
        for before in steps {
            let count = self.jobs[&name.job].steps[before as usize].count;
            let is_done =
                (0..count).all(|index| self.completed.contains(&Name { step: before, index, ..name }));
            if !is_done {
                self.violations.push(format!("{name}: started before step {before} was done"));
            }
        }
    }

    /// Records a violation if a run starts in a zone that was evacuated longer ago than [`EVACUATION_LIMIT`].
    fn check_zone(&mut self, zone: &str, name: Name, now: Instant) {
        let is_past_limit = self.evacuated.values().any(|at| now.since(*at) > EVACUATION_LIMIT);
        self.starts_beside_evacuation += u64::from(is_past_limit);
        let Some(at) = self.evacuated.get(zone) else { return };
        let elapsed = now.since(*at);
        if elapsed > EVACUATION_LIMIT {
            self.violations.push(format!("{name}: started in zone {zone} {elapsed:?} after its evacuation"));
        }
    }

    fn record_end(&mut self, execution: Execution, name: Name, how: How) {
        let number = execution.number;
        if let Some(others) = self.running.get_mut(&name) {
            others.remove(&(execution.worker.clone(), number));
        }
        match how {
            // One such end represents all members of a gang.
            How::Done => {
                for member in self.gang_of(name) {
                    self.completed.insert(member);
                    self.completed_runs.entry(member).or_default().push(execution.clone());
                }
            }
            _ if self.step(name).is_some_and(|step| step.is_gang) => {
                self.broken_gangs.insert((Name { index: 0, ..name }, number));
            }
            _ => {}
        }
        match how {
            // A long-running task is started again after any number of failures.
            How::Failed if self.step(name).is_some_and(|step| step.is_long_running) => {}
            How::Failed => {
                let count = self.failure_counts.entry(name).or_default();
                *count += 1;
                if *count > self.max_attempts {
                    self.violations
                        .push(format!("{name}: {count} failed runs, {} allowed", self.max_attempts));
                }
            }
            _ => {}
        }
    }

    /// Records the acknowledgement of an end. It does not count if the lease has expired since the end, because the
    /// task may then run again.
    fn record_acknowledgement(&mut self, execution: Execution, end: &Ended, has_lapsed: bool) {
        if end.how != How::Done || has_lapsed {
            return;
        }
        let is_repeated = |member| self.repeated_runs.contains(&(member, execution.clone()));
        if self.gang_of(end.name).into_iter().any(is_repeated) {
            self.violations.push(format!(
                "{}: run {} is acknowledged after the task was started again",
                end.name, end.run
            ));
        }
        self.acknowledged.extend(self.gang_of(end.name));
    }

    /// All members of the gang of a task, or the task alone if its step is no gang.
    fn gang_of(&self, name: Name) -> Vec<Name> {
        match self.step(name) {
            Some(step) if step.is_gang => (0..step.count).map(|index| Name { index, ..name }).collect(),
            _ => vec![name],
        }
    }

    /// Whether all members of the gang of a run are present, as they work only together; true for other runs. One that has
    /// ended as done in this run counts, since they end so together.
    fn is_complete(&self, run: &Run) -> bool {
        let is_present = |member: Name| {
            let mut active = self.running.get(&member).into_iter().flatten();
            active.any(|(_, number)| *number == run.number)
                || self
                    .completed_runs
                    .get(&member)
                    .is_some_and(|runs| runs.iter().any(|other| other.number == run.number))
        };
        !run.is_gang || self.gang_of(run.name).into_iter().all(is_present)
    }

    /// Whether another member of the gang has ended in this run, otherwise than as done.
    fn is_broken(&self, run: &Run) -> bool {
        run.is_gang && self.broken_gangs.contains(&(Name { index: 0, ..run.name }, run.number))
    }

    /// Whether a task may have two runs at a time.
    fn is_speculative(&self, name: Name) -> bool {
        self.step(name).is_some_and(|step| step.is_speculative && !step.is_gang && !step.is_long_running)
    }

    /// Number of active runs of a task.
    pub fn run_count(&self, name: Name) -> usize {
        self.running.get(&name).map_or(0, Set::len)
    }

    /// Number of failed runs of a task.
    pub fn failure_count(&self, name: Name) -> u32 {
        self.failure_counts.get(&name).copied().unwrap_or_default()
    }

    /// Whether the completion of a task has been acknowledged.
    pub fn is_acknowledged(&self, name: Name) -> bool {
        self.acknowledged.contains(&name)
    }

    /// Workers with active runs of a task, that of the first run first.
    pub fn workers_of(&self, name: Name) -> Vec<String> {
        let mut runs: Vec<_> = self.running.get(&name).into_iter().flatten().cloned().collect();
        runs.sort_unstable_by_key(|(_, number)| *number);
        runs.into_iter().map(|(worker, _)| worker).collect()
    }

    /// Whether any task of a job was ever started.
    pub fn has_started(&self, job: Id) -> bool {
        self.running.keys().any(|name| name.job == job)
    }

    /// Worker with an active run of the task.
    pub fn worker_of(&self, name: Name) -> Option<&str> {
        self.running.get(&name)?.iter().next().map(|(worker, _)| worker.as_str())
    }

    /// Whether a run of the task is active on any worker.
    pub fn is_running(&self, name: Name) -> bool {
        self.running.get(&name).is_some_and(|runs| !runs.is_empty())
    }
}

/// An emulated worker.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    /// Whether calls to the worker time out while its tasks keep running.
    pub is_unresponsive: bool,
    /// Whether connections to the worker are refused while its tasks keep running.
    pub is_refusing: bool,
    /// Whether another process has the worker's address.
    pub is_replaced: bool,
    /// Port that the worker has left; calls to it time out.
    pub left_port: Option<u16>,
    /// Whether another process has that port and answers the calls.
    pub is_left_port_reused: bool,
    /// Whether runs go on after their leases have expired.
    pub ignores_lease: bool,
    /// Delay with which the next acknowledgement is executed, whose renewal gets no answer.
    pub late_acknowledgement: Option<Duration>,
    /// When an acknowledgement is executed late, its fencing token, and the number of the last end that it covers.
    due_acknowledgement: Option<(Instant, u64, u64)>,
    /// Whether the worker reports that it is about to leave.
    pub(super) is_draining: bool,
    /// Whether every run that starts on the worker fails soon, long-running ones included.
    pub is_faulty: bool,
    /// Factor by which tasks take longer outside the rack that holds their data.
    pub far_factor: f64,
    /// Largest error of the estimated run times, as a share of them.
    pub estimate_error: f64,
    /// Number of runs that have been started on the worker.
    pub start_count: u32,
    /// Availability zone that it reports.
    pub zone: String,
    /// CPU capacity in millicores.
    cpu_millicores: u32,
    /// When the capacity last changed.
    resized_at: Instant,
    /// Whether a renewal is answered at once, whatever wait it asks for.
    pub answers_at_once: bool,
    /// Response time of the serving tasks in milliseconds while no interference is emulated.
    pub response_ms: u32,
    /// Time from a stop order to the end of the run.
    pub stop_duration: Duration,
    /// Interference between tasks; if empty, every serving task has the response time `response_ms`.
    pub interferences: Vec<Interference>,
    /// Number of further start orders that are executed but whose reply is lost.
    pub lost_start_replies: u32,
    /// Whether the worker refuses start orders as unhealthy.
    pub is_busy: bool,
    /// Kind in its report.
    pub kind: String,
    /// Whether it is about to write its report, being back after a crash.
    pub has_new_report: bool,
    /// Number of further start orders that are left without an answer, and carried out after `late_by`.
    pub late_starts: u32,
    /// Share of the orders that the worker leaves without an answer, and the time after which it carries these out.
    pub late_share: f64,
    pub late_by: Duration,
    /// Port of the worker's address.
    pub port: u16,
    /// Number of crashes, by a task or ordered by the test.
    pub crash_count: u32,
    /// When a task crashes the worker; `None` if none does.
    crash_at: Option<Instant>,
    /// When the worker is back after a crash; `None` if it runs.
    back_at: Option<Instant>,
    number: usize,
    incarnation: u64,
    started_at: Instant,
    fence: u64,
    lease_expiry_ms: u64,
    runs: Vec<Run>,
    /// Ends that are not acknowledged yet, and whether the lease has expired since each of them.
    ends: Vec<(Ended, bool)>,
    last_end_number: u64,
    /// Highest number of a run that has ended or was ordered to stop, by task. Starts up to this number are refused.
    highest_ended_run: Map<Name, u32>,
}

impl Worker {
    pub fn new(number: usize) -> Self {
        Self {
            id: format!("w-{number}"),
            is_unresponsive: false,
            is_refusing: false,
            is_replaced: false,
            left_port: None,
            is_left_port_reused: false,
            ignores_lease: false,
            late_acknowledgement: None,
            due_acknowledgement: None,
            is_draining: false,
            is_faulty: false,
            far_factor: 1.0,
            estimate_error: 0.0,
            start_count: 0,
            zone: "z".into(),
            cpu_millicores: CPU_MILLICORES,
            resized_at: Instant::default(),
            answers_at_once: false,
            response_ms: 10,
            stop_duration: Duration::ZERO,
            interferences: Vec::new(),
            lost_start_replies: 0,
            is_busy: false,
            kind: "a".to_owned(),
            has_new_report: false,
            late_starts: 0,
            late_share: 0.0,
            late_by: Duration::ZERO,
            port: 8_000,
            crash_count: 0,
            crash_at: None,
            back_at: None,
            number,
            incarnation: 1,
            started_at: Instant::default(),
            fence: 0,
            lease_expiry_ms: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end_number: 0,
            highest_ended_run: Map::default(),
        }
    }

    /// Report that the worker writes to the store.
    pub fn report(&self) -> Report {
        Report {
            service: "desk".into(),
            address: format!("10.1.{}.{}:{}", self.number / 250, self.number % 250 + 1, self.port)
                .parse()
                .expect("address"),
            zone: self.zone.clone(),
            readiness: if self.is_draining { Readiness::Draining } else { Readiness::Ready },
            capacity: Some(Resources { cpu_millicores: self.cpu_millicores, memory_mb: 32_000, gpu: 0 }),
            labels: vec![self.kind.clone(), format!("r-{}", self.number / 3)],
            started_unix_ms: Some(self.incarnation),
        }
    }

    /// Highest fencing token that its process has seen.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Discards the ends that it lists, as an acknowledgement that is carried out late does.
    pub fn discard_ends(&mut self) {
        self.ends.clear();
    }

    /// Restarts the worker after a crash: it keeps its identity and loses its runs, its ends, its fencing token and its
    /// lease.
    pub fn restart(&mut self, now: Instant, observer: &mut Observer) {
        for run in self.runs.drain(..) {
            let execution = Execution::new(&self.id, self.incarnation, run.number);
            observer.record_end(execution, run.name, How::Lapsed);
        }
        (self.incarnation, self.started_at) = (self.incarnation + 1, now);
        (self.fence, self.lease_expiry_ms, self.last_end_number) = (0, 0, 0);
        self.ends.clear();
        self.highest_ended_run.clear();
    }

    /// Changes the capacity; runs that exceed it go on.
    pub fn resize(&mut self, cpu_millicores: u32, now: Instant) {
        if cpu_millicores != self.cpu_millicores {
            (self.cpu_millicores, self.resized_at) = (cpu_millicores, now);
        }
    }

    /// Lets the runs of a task fail now.
    pub fn fail_runs(&mut self, name: Name, now: Instant) {
        self.runs.iter_mut().filter(|run| run.name == name).for_each(|run| run.fails_at = Some(now));
    }

    /// Ends the worker process. It refuses connections for some seconds and then starts again under the same identity.
    pub fn crash(&mut self, now: Instant, observer: &mut Observer) {
        for run in self.runs.drain(..) {
            let execution = Execution::new(&self.id, self.incarnation, run.number);
            observer.record_end(execution, run.name, How::Lapsed);
        }
        self.crash_at = None;
        self.crash_count += 1;
        self.incarnation += 1;
        self.back_at = Some(now + CRASH_DURATION);
    }

    /// Ends the worker process; it does not come back.
    pub(super) fn end_for_good(&mut self, now: Instant, observer: &mut Observer) {
        self.crash(now, observer);
        (self.back_at, self.is_refusing) = (None, true);
    }

    /// Pace of a task in percent of full speed, or `None` if the task does not run on this worker.
    pub fn pace_percent(&self, name: Name) -> Option<u32> {
        self.runs.iter().find(|run| run.name == name).map(|run| run.pace_percent)
    }

    fn clock_ms(&self, now: Instant) -> u64 {
        now.since(self.started_at).as_millis() as u64
    }

    fn extend_lease(&mut self, until_ms: u64, now: Instant) {
        let until_ms = until_ms.min(self.clock_ms(now) + LEASE_MAX_MS);
        self.lease_expiry_ms = self.lease_expiry_ms.max(until_ms);
    }

    /// Advances all runs to `now`, and ends those that are finished, stopped or without a valid lease.
    pub(super) fn advance(&mut self, now: Instant, observer: &mut Observer) {
        if self.crash_at.take_if(|at| *at <= now).is_some() {
            self.crash(now, observer);
        }
        if self.back_at.take_if(|at| *at <= now).is_some() {
            self.restart(now, observer);
            self.has_new_report = !self.is_refusing;
        }
        let clock_ms = self.clock_ms(now);
        let has_lapsed = clock_ms >= self.lease_expiry_ms && !self.ignores_lease;
        for (_, lapsed_since) in &mut self.ends {
            *lapsed_since |= has_lapsed;
        }
        if let Some((_, fence, last)) = self.due_acknowledgement.take_if(|(at, ..)| *at <= now)
            && fence >= self.fence
        {
            self.acknowledge(last, observer);
        }
        self.count_time_over_target(now, observer);
        for mut run in std::mem::take(&mut self.runs) {
            let is_complete = observer.is_complete(&run);
            if is_complete {
                run.work_done += now.since(run.counted_at) * run.pace_percent / 100;
            }
            run.counted_at = now;
            let is_finished = !run.is_long_running && run.work_done >= run.duration;
            let is_stopped = run.stop_at.is_some_and(|at| at <= now);
            let has_failed = run.fails_at.is_some_and(|at| at <= now);
            match (is_finished, has_lapsed) {
                _ if is_stopped => self.end(run, How::Stopped, observer),
                _ if has_failed => self.end(run, How::Failed, observer),
                _ if observer.is_broken(&run) => self.end(run, How::Broken, observer),
                _ if !is_complete && now.since(run.started_at) >= GANG_TIMEOUT => {
                    self.end(run, How::Alone, observer);
                }
                (true, _) if run.is_failing => self.end(run, How::Failed, observer),
                (true, _) => self.end(run, How::Done, observer),
                (_, true) => self.end(run, How::Lapsed, observer),
                _ => self.runs.push(run),
            }
        }
    }

    /// Adds the time that serving tasks were over their latency targets since the runs were last advanced.
    fn count_time_over_target(&mut self, now: Instant, observer: &mut Observer) {
        if self.interferences.is_empty() {
            return;
        }
        for index in 0..self.runs.len() {
            let is_over = self.runs[index].is_serving
                && self.response_time_ms(&self.runs[index], now) > self.runs[index].target_ms;
            let run = &mut self.runs[index];
            let duration = if is_over { now.since(run.counted_at) } else { Duration::ZERO };
            run.time_over_target = if is_over { run.time_over_target + duration } else { Duration::ZERO };
            observer.time_over_target += duration;
            observer.longest_over_target = observer.longest_over_target.max(run.time_over_target);
        }
    }

    /// Response time of a serving task in milliseconds.
    fn response_time_ms(&self, serving: &Run, now: Instant) -> f64 {
        if self.interferences.is_empty() {
            return f64::from(self.response_ms);
        }
        let weight = |filling: &Run| {
            let is_match = |(one, other, _): &&Interference| *one == serving.image && *other == filling.image;
            self.interferences.iter().find(is_match).map_or(0.0, |(.., weight)| *weight)
        };
        let interference: f64 = self
            .runs
            .iter()
            .map(|run| weight(run) * run.filling_cores * f64::from(run.pace_percent) / 100.0)
            .sum();
        IDLE_RESPONSE_MS / (1.0 - (serving.load(now) + interference).min(0.999))
    }

    fn end(&mut self, run: Run, how: How, observer: &mut Observer) {
        observer.record_end(Execution::new(&self.id, self.incarnation, run.number), run.name, how);
        let cpu_millicores = observer.step(run.name).map_or(0, |step| step.charged().cpu_millicores);
        let duration_ms = run.counted_at.since(run.started_at).as_millis() as u64;
        observer.core_ms += duration_ms * u64::from(cpu_millicores) / 1_000;
        self.last_end_number += 1;
        let highest_ended_run = self.highest_ended_run.entry(run.name).or_default();
        *highest_ended_run = (*highest_ended_run).max(run.number);
        let (number, checkpoint) = (self.last_end_number, String::new());
        self.ends.push((Ended { number, name: run.name, run: run.number, how, checkpoint }, false));
    }

    /// Executes an order. A renewal waits for an end to report, at most for its `wait_ms`; an unresponsive worker lets
    /// every order time out at `deadline`.
    pub(super) fn execute(
        &mut self,
        envelope: &mut Envelope,
        now: Instant,
        deadline: Instant,
        observer: &mut Observer,
    ) -> Outcome {
        if envelope.receiver.is_some_and(|incarnation| incarnation != self.incarnation) {
            return Outcome::Event(failed_reply(envelope, Fault::Lost));
        }
        if self.is_refusing || self.back_at.is_some() {
            let fault = if envelope.receiver.is_none() { Fault::Refused } else { Fault::Lost };
            return Outcome::Event(failed_reply(envelope, fault));
        }
        let is_left = self.left_port == Some(envelope.port);
        if self.is_unresponsive || is_left && !self.is_left_port_reused {
            return lose(envelope, now, deadline);
        }
        if self.is_replaced || is_left {
            return Outcome::Event(self.refuse(envelope, Refusal::Instance, now));
        }
        if envelope.fence < self.fence {
            return Outcome::Event(self.refuse(envelope, Refusal::Fence, now));
        }
        self.fence = envelope.fence;
        envelope.receiver = Some(self.incarnation);
        match &envelope.order {
            Order::Renew { worker, until_ms, acknowledged, wait_ms } => {
                self.extend_lease(until_ms.unwrap_or_default(), now);
                if *acknowledged > 0
                    && let Some(delay) = self.late_acknowledgement.take()
                {
                    self.due_acknowledgement = Some((now + delay, envelope.fence, *acknowledged));
                    return Outcome::Event(failed_reply(envelope, Fault::Lost));
                }
                self.acknowledge(*acknowledged, observer);
                let waited = now.since(envelope.sent) >= Duration::from_millis(*wait_ms);
                if self.ends.is_empty() && !waited && !self.answers_at_once {
                    return Outcome::Wait;
                }
                let result = Ok(Reply { clock_ms: Some(self.clock_ms(now)), outcome: Ok(self.list(now)) });
                Outcome::Event(Event::LeaseRenewed { worker: *worker, sent: envelope.sent, result })
            }
            Order::Start { .. } if self.is_busy => Outcome::Event(self.refuse(envelope, Refusal::Busy, now)),
            Order::Start { run, name, number, until_ms, .. } => {
                let outcome = self.start(*name, *number, *until_ms, now, observer);
                if self.lost_start_replies > 0 {
                    self.lost_start_replies -= 1;
                    return Outcome::Event(failed_reply(envelope, Fault::Lost));
                }
                let result = Ok(Reply { clock_ms: Some(self.clock_ms(now)), outcome });
                Outcome::Event(Event::Started { run: *run, result })
            }
            Order::Stop { run, name, number } => {
                let highest_ended_run = self.highest_ended_run.entry(*name).or_default();
                *highest_ended_run = (*highest_ended_run).max(*number);
                let index = self.runs.iter().position(|run| run.name == *name && run.number == *number);
                if let Some(index) = index {
                    let stop_at = now + self.stop_duration;
                    let run = &mut self.runs[index];
                    run.stop_at = Some(run.stop_at.map_or(stop_at, |at| at.min(stop_at)));
                    self.advance(now, observer);
                }
                let result = Ok(Reply { clock_ms: Some(self.clock_ms(now)), outcome: Ok(()) });
                Outcome::Event(Event::Stopped { run: *run, sent: envelope.sent, result })
            }
            Order::Pace { run, name, percent, .. } => {
                for run in self.runs.iter_mut().filter(|run| run.name == *name) {
                    run.pace_percent = *percent;
                }
                let result = Ok(Reply { clock_ms: Some(self.clock_ms(now)), outcome: Ok(()) });
                Outcome::Event(Event::PaceChanged { run: *run, percent: *percent, result })
            }
        }
    }

    /// Discards the ends up to this number.
    fn acknowledge(&mut self, last: u64, observer: &mut Observer) {
        for (end, has_lapsed) in self.ends.extract_if(.., |(end, _)| end.number <= last) {
            let execution = Execution::new(&self.id, self.incarnation, end.run);
            observer.record_acknowledgement(execution, &end, has_lapsed);
        }
    }

    fn start(
        &mut self,
        name: Name,
        number: u32,
        until_ms: u64,
        now: Instant,
        observer: &mut Observer,
    ) -> Result<(), Refusal> {
        if self.runs.iter().any(|run| run.name == name && run.number == number) {
            return Ok(());
        }
        if self.highest_ended_run.get(&name).is_some_and(|highest_ended_run| number <= *highest_ended_run) {
            return Err(Refusal::Old);
        }
        if until_ms <= self.clock_ms(now) {
            return Err(Refusal::Late);
        }
        self.extend_lease(until_ms, now);
        self.start_count += 1;
        observer.check_zone(&self.zone, name, now);
        observer.record_start(&self.id, name, number, now);
        if observer.deadly.contains(&name) {
            *observer.crash_counts.entry(name).or_default() += 1;
            self.crash_at.get_or_insert(now + DEADLY_DURATION);
        }
        let step = observer.step(name).cloned().unwrap_or_default();
        let failing = observer.injected_failures.get_mut(&name).filter(|left| **left > 0);
        let is_failing = failing.map(|left| *left -= 1).is_some();
        // The members of a gang end as done together, so one that fails does so before.
        let failure_delay = match (self.is_faulty, step.is_gang && is_failing) {
            (true, _) => Some(FAULTY_DURATION),
            (_, true) => Some(step.estimate / 2),
            _ => None,
        };
        self.runs.push(Run {
            name,
            number,
            duration: self
                .run_time(&step, name)
                .mul_f64(observer.slowdowns.get(&name.job).copied().unwrap_or(1.0))
                * observer.slow_runs.remove(&name).unwrap_or(1),
            is_long_running: step.is_long_running,
            is_gang: step.is_gang,
            is_failing,
            fails_at: failure_delay.map(|delay| now + delay),
            is_serving: step.serves(),
            pace_percent: 100,
            image: step.image.clone(),
            filling_cores: if step.is_filling {
                f64::from(step.resources.cpu_millicores) / 1_000.0
            } else {
                0.0
            },
            target_ms: step.latency_target.unwrap_or_default().as_secs_f64() * 1_000.0,
            started_at: now,
            work_done: Duration::ZERO,
            counted_at: now,
            time_over_target: Duration::ZERO,
            stop_at: None,
        });
        let used: u32 = self
            .runs
            .iter()
            .filter_map(|run| observer.step(run.name))
            .map(|step| step.charged().cpu_millicores)
            .sum();
        let is_recent = now.since(self.resized_at) < SHRINK_GRACE;
        let capacity = if is_recent { CPU_MILLICORES } else { self.cpu_millicores };
        if used > capacity {
            observer.violations.push(format!("{}: {used} millicores are in use", self.id));
        }
        Ok(())
    }

    /// Run time of a task, which differs from the estimate in the same way on all workers.
    fn run_time(&self, step: &Step, name: Name) -> Duration {
        let is_far = step.affinity.as_ref().is_some_and(|rack| !self.report().labels.contains(rack));
        let random = hash::numbers([name.job.0, u64::from(name.step), u64::from(name.index)]) % 1_000;
        let error = (random as f64 / 500.0 - 1.0) * self.estimate_error;
        step.estimate.mul_f64((1.0 + error) * if is_far { self.far_factor } else { 1.0 })
    }

    fn list(&self, now: Instant) -> Listing {
        let running = self.runs.iter().map(|run| Running {
            name: run.name,
            number: run.number,
            checkpoint: String::new(),
            progress_percent: if run.is_long_running { 100 } else { progress_percent(run) },
            reading: self.measure(run, now),
        });
        Listing {
            started_unix_ms: Some(self.incarnation),
            running: running.collect(),
            ended: self.ends.iter().take(ENDS_PER_LISTING).map(|(end, _)| end.clone()).collect(),
            has_more_ends: self.ends.len() > ENDS_PER_LISTING,
        }
    }

    fn measure(&self, run: &Run, now: Instant) -> Option<u32> {
        if run.is_serving {
            return Some(self.response_time_ms(run, now) as u32);
        }
        Some((run.filling_cores * f64::from(run.pace_percent) * 10.0) as u32)
    }

    fn refuse(&self, envelope: &Envelope, refusal: Refusal, now: Instant) -> Event {
        let clock_ms = Some(self.clock_ms(now));
        let result = Ok(Reply { clock_ms, outcome: Err(refusal) });
        match &envelope.order {
            Order::Renew { worker, .. } => Event::LeaseRenewed {
                worker: *worker,
                sent: envelope.sent,
                result: Ok(Reply { clock_ms, outcome: Err(refusal) }),
            },
            Order::Start { run, .. } => Event::Started { run: *run, result },
            Order::Stop { run, .. } => Event::Stopped { run: *run, sent: envelope.sent, result },
            Order::Pace { run, percent, .. } => Event::PaceChanged { run: *run, percent: *percent, result },
        }
    }
}

fn progress_percent(run: &Run) -> u32 {
    (run.work_done.as_millis() * 100 / run.duration.as_millis().max(1)).min(99) as u32
}

/// Outcome of an order that is not answered: its sender waits until `deadline`.
pub(super) fn lose(envelope: &Envelope, now: Instant, deadline: Instant) -> Outcome {
    if now >= deadline { Outcome::Event(failed_reply(envelope, Fault::Lost)) } else { Outcome::Wait }
}

/// Event for an order whose call got no answer in time.
pub(super) fn lost_reply(envelope: &Envelope) -> Event {
    failed_reply(envelope, Fault::Lost)
}

/// Event for an order whose call failed.
pub(super) fn failed_reply(envelope: &Envelope, fault: Fault) -> Event {
    match &envelope.order {
        Order::Renew { worker, .. } => {
            Event::LeaseRenewed { worker: *worker, sent: envelope.sent, result: Err(fault) }
        }
        Order::Start { run, .. } => Event::Started { run: *run, result: Err(fault) },
        Order::Stop { run, .. } => Event::Stopped { run: *run, sent: envelope.sent, result: Err(fault) },
        Order::Pace { run, percent, .. } => {
            Event::PaceChanged { run: *run, percent: *percent, result: Err(fault) }
        }
    }
}
