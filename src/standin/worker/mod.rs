//! Stand-in of a worker: control interface, batch tasks and service replicas.
//!
//! [`Worker`] is the reducer, and [`http`] serves many of them over HTTP. Functions get the time in milliseconds since
//! the start of the stand-in's process. The worker's own clock has another origin, and a restart advances it by the
//! duration of a boot.

pub mod checkpoint;
pub mod http;
pub mod lease;
pub mod profile;

use std::collections::{BTreeMap, VecDeque};

use super::audit::{Audit, Ending};
use crate::core::control::{
    Call, Checkpoint, Command, Ended, Outcome, Reply, Running, Start, Status, Usage, Work,
};
use crate::core::run;
use crate::declare::service;
use crate::declare::size::Size;
use crate::hash::Map;
use lease::{Holder, Lease};
use profile::{Faults, Profile};

/// Duration of a boot. It is longer than a lease, so a call addressed to the former instance is too late for the new
/// one.
const BOOT_DURATION_MS: u64 = 60_000;
/// Maximum number of usage samples that are kept until the holder calls; older ones are dropped.
const MAX_USAGE_SAMPLES: usize = 4_096;

/// State shared by the workers of a run.
#[derive(Debug, Clone, Default)]
pub struct Shared {
    /// Counts of executed work and of violations.
    pub audit: Audit,
    /// Checkpoints that the platform stores.
    pub checkpoints: checkpoint::Table,
}

/// Unit of work on the worker that has not ended.
#[derive(Debug, Clone)]
struct Unit {
    attempt: u32,
    size: Size,
    service: Option<service::Id>,
    kind: String,
    /// Remaining run time, in milliseconds without interference and throttling.
    remaining_ms: f64,
    is_checkpointable: bool,
    throttle_percent: u8,
    concurrency: u32,
    in_flight: u32,
    /// Whether a replica accepts no further requests, and ends when those in flight are answered.
    is_stopping: bool,
}

/// State of one worker.
#[derive(Debug, Clone)]
pub struct Worker {
    profile: Profile,
    shared: Shared,
    /// Injected faults.
    pub faults: Faults,
    instance: u64,
    /// Difference between the worker's clock and the time of the process.
    clock_offset_ms: u64,
    /// Time up to which the state is computed, in the worker's clock.
    clock_ms: u64,
    lease: Lease,
    units: BTreeMap<Work, Unit>,
    /// Last attempt number of each unit of work that this instance has started or refused.
    last_attempts: Map<Work, u32>,
    ended: Vec<Ended>,
    /// Number of units of work that have ended or were refused.
    ended_count: u64,
    /// Value of `ended_count` at the last reply to the holder.
    reported_count: u64,
    samples: VecDeque<Usage>,
    connections_in_use: u32,
}

/// A control call that has been handled and waits for its reply.
#[derive(Debug, Clone, Copy)]
pub struct Poll {
    status: Status,
    holder: Holder,
    epoch: u64,
    sequence: u64,
    instance: u64,
    deadline_ms: u64,
}

impl Poll {
    /// Latest time of the reply, in milliseconds of the process.
    pub fn deadline_ms(&self) -> u64 {
        self.deadline_ms
    }
}

/// A request that a replica is executing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Execution {
    run: run::Id,
    instance: u64,
    /// Duration of the execution in milliseconds.
    pub duration_ms: u64,
}

impl Worker {
    /// Creates a worker without work.
    pub fn new(profile: Profile, shared: Shared) -> Self {
        Self {
            faults: Faults::default(),
            instance: profile.instance,
            clock_offset_ms: profile.clock_start_ms,
            clock_ms: profile.clock_start_ms,
            lease: Lease::default(),
            units: BTreeMap::new(),
            last_attempts: Map::default(),
            ended: Vec::new(),
            ended_count: 0,
            reported_count: 0,
            samples: VecDeque::new(),
            connections_in_use: 0,
            profile,
            shared,
        }
    }

    /// Name in the VM list.
    pub fn name(&self) -> &str {
        &self.profile.name
    }

    /// Number of the running instance.
    pub fn instance(&self) -> u64 {
        self.instance
    }

    /// Units of work that have not ended.
    pub fn running(&self) -> impl Iterator<Item = Running> {
        self.units.iter().map(|(work, unit)| unit.running(*work))
    }

    /// Time of the next change without a call, in milliseconds of the process; `None` if there is none.
    pub fn next_change_ms(&self) -> Option<u64> {
        self.next_change().map(|(at_ms, _)| at_ms.saturating_sub(self.clock_offset_ms))
    }

    /// Advances the state to `now_ms`.
    pub fn advance(&mut self, now_ms: u64) {
        let now_ms = now_ms + self.clock_offset_ms;
        while let Some((at_ms, change)) = self.next_change().filter(|(at_ms, _)| *at_ms <= now_ms) {
            self.progress_units(at_ms);
            match change {
                Change::LeaseExpired => self.stop_batch_tasks(),
                Change::Finished(work) => self.end_unit(work, Outcome::Finished),
            }
        }
        self.progress_units(now_ms);
    }

    /// Handles a control call: decides on the lease, and executes the commands if it is granted.
    pub fn handle_call(&mut self, call: Call, now_ms: u64) -> Poll {
        self.advance(now_ms);
        let is_addressed = call.instance == 0 || call.instance == self.instance;
        let status = if is_addressed { self.lease.claim(&call, self.clock_ms) } else { Status::Inquiry };
        let is_long_poll = status == Status::Granted && !call.release;
        let poll = Poll {
            status,
            holder: (call.holder, call.cell),
            epoch: call.epoch,
            sequence: call.sequence,
            instance: self.instance,
            deadline_ms: now_ms + if is_long_poll { call.wait_ms } else { 0 },
        };
        if status == Status::Granted {
            self.ended.retain(|ended| !call.acknowledge.contains(&(ended.work, ended.attempt)));
            call.commands.into_iter().for_each(|command| self.execute(command));
            if call.release {
                self.lease.release();
            }
        }
        poll
    }

    /// Whether the reply to a call must be sent: its wait is over, work has ended, the worker has restarted, or a later
    /// call has taken over the lease or the wait.
    pub fn is_reply_due(&mut self, poll: &Poll, now_ms: u64) -> bool {
        self.advance(now_ms);
        now_ms >= poll.deadline_ms
            || self.ended_count > self.reported_count
            || self.instance != poll.instance
            || self.lease.epoch() != poll.epoch
            || self.lease.holder(self.clock_ms) != Some(poll.holder)
            || self.lease.last_sequence(poll.holder) > poll.sequence
    }

    /// Builds the reply to a call; `None` if the worker has restarted since the call, which closes the connection.
    pub fn reply(&mut self, poll: &Poll, now_ms: u64) -> Option<Reply> {
        self.advance(now_ms);
        if poll.instance != self.instance {
            return None;
        }
        let is_granted = poll.status == Status::Granted;
        let holds_lease =
            self.lease.epoch() == poll.epoch && self.lease.holder(self.clock_ms) == Some(poll.holder);
        if is_granted {
            self.reported_count = self.ended_count;
        }
        Some(Reply {
            status: poll.status,
            instance: self.instance,
            clock_ms: self.clock_ms,
            // A caller that loses the lease during its wait must not mistake the expiry time of the next holder's lease
            // for its own.
            lease_until_ms: if is_granted && !holds_lease { 0 } else { self.lease.expiry_ms(self.clock_ms) },
            epoch: self.lease.epoch(),
            running: self.running().collect(),
            ended: self.ended.clone(),
            usage: if is_granted { self.collect_samples() } else { Vec::new() },
        })
    }

    /// Starts to execute a request at a replica; `non_idempotent_id` is its identity if it must not be executed twice.
    ///
    /// `None` means that the request is refused and not executed.
    pub fn admit(&mut self, run: run::Id, non_idempotent_id: Option<&str>, now_ms: u64) -> Option<Execution> {
        self.advance(now_ms);
        if self.connections_in_use >= self.profile.max_connections {
            self.shared.audit.record_excess_connection();
            self.shared.audit.record_refusal();
            return None;
        }
        let work = Work::Replica(run);
        let is_refusing = self.faults.is_refusing || self.faults.is_leaving;
        let unit = self
            .units
            .get_mut(&work)
            .filter(|unit| !is_refusing && !unit.is_stopping && unit.in_flight < unit.concurrency);
        let Some(unit) = unit else {
            self.shared.audit.record_refusal();
            return None;
        };
        unit.in_flight += 1;
        self.connections_in_use += 1;
        self.shared.audit.record_request(non_idempotent_id);
        let duration_ms = self.profile.request_duration_ms as f64 / self.unthrottled_speed(work).max(0.01);
        Some(Execution { run, instance: self.instance, duration_ms: duration_ms.round() as u64 })
    }

    /// Ends the execution of a request; false if the worker has restarted since its start, so that there is no answer.
    pub fn complete(&mut self, execution: Execution, now_ms: u64) -> bool {
        self.advance(now_ms);
        if execution.instance != self.instance {
            return false;
        }
        self.connections_in_use -= 1;
        let work = Work::Replica(execution.run);
        if let Some(unit) = self.units.get_mut(&work) {
            unit.in_flight -= 1;
            if unit.is_stopping && unit.in_flight == 0 {
                self.end_unit(work, Outcome::Stopped(None));
            }
        }
        true
    }

    /// Stops the VM: all work is lost, and no call or request is answered until a restart.
    pub fn power_off(&mut self, now_ms: u64) {
        self.advance(now_ms);
        for work in self.units.keys() {
            if let Work::Batch(task) = work {
                self.shared.audit.record_end(*task, Ending::Evicted);
            }
        }
        for ended in &self.ended {
            if let (Work::Batch(task), Outcome::Finished) = (ended.work, ended.outcome) {
                self.shared.audit.record_lost_result(task);
            }
        }
        let clock_start_ms = self.clock_offset_ms + BOOT_DURATION_MS;
        let profile = Profile { instance: self.instance + 1, clock_start_ms, ..self.profile.clone() };
        *self = Self::new(profile, self.shared.clone());
        self.faults.is_frozen = true;
    }

    /// Replaces the instance by a new one without work, faults or lease state; returns the number of the new instance.
    pub fn restart(&mut self, now_ms: u64) -> u64 {
        self.power_off(now_ms);
        self.faults = Faults::default();
        self.instance
    }

    fn execute(&mut self, command: Command) {
        match command {
            Command::Start(start) => self.start(start),
            Command::Stop { work, attempt, checkpoint } => self.stop(work, attempt, checkpoint),
            Command::Throttle { work, percent } => {
                if let Some(unit) = self.units.get_mut(&work) {
                    unit.throttle_percent = percent.min(100);
                }
            }
        }
    }

    fn start(&mut self, start: Start) {
        let (work, attempt) = (start.work, start.attempt);
        if self.last_attempts.get(&work).is_some_and(|last| attempt <= *last) {
            // A repeated start of an attempt that runs or has ended here is not reported as refused, since that would
            // contradict the report of the attempt itself.
            let is_reported = self.units.get(&work).is_some_and(|unit| unit.attempt == attempt)
                || self.ended.iter().any(|ended| (ended.work, ended.attempt) == (work, attempt));
            if !is_reported {
                self.record_end(work, attempt, Outcome::Refused);
            }
            return;
        }
        self.last_attempts.insert(work, attempt);
        if !self.accepts(&start) {
            self.record_end(work, attempt, Outcome::Refused);
            return;
        }
        if let Work::Batch(task) = work {
            self.shared.audit.record_start(task);
        }
        self.units.insert(work, self.new_unit(start));
        if self.faults.is_failing {
            self.end_unit(work, Outcome::Failed);
        }
    }

    fn accepts(&self, start: &Start) -> bool {
        let is_batch = matches!(start.work, Work::Batch(_));
        if self.faults.is_refusing
            || (is_batch && self.lease.is_caretaker())
            || self.units.contains_key(&start.work)
        {
            return false;
        }
        let used = self.units.values().fold(Size::default(), |sum, unit| sum + unit.size);
        let fits = start.size.fits(&self.profile.capacity.saturating_sub(used));
        if !fits {
            self.shared.audit.record_overcommit();
        }
        fits
    }

    fn new_unit(&self, start: Start) -> Unit {
        let is_replica = matches!(start.work, Work::Replica(_));
        let full_run_time_ms = start.run_time_ms as f64 * f64::from(self.profile.run_time_percent) / 100.0;
        let resumed = start.checkpoint.and_then(|checkpoint| self.shared.checkpoints.get(checkpoint));
        Unit {
            attempt: start.attempt,
            size: start.size,
            service: is_replica.then(|| service::Id::of(&start.name)),
            kind: start.kind,
            remaining_ms: resumed.unwrap_or(full_run_time_ms),
            is_checkpointable: start.run_time_ms > 0,
            throttle_percent: 100,
            concurrency: u32::from(start.concurrency),
            in_flight: 0,
            is_stopping: false,
        }
    }

    fn stop(&mut self, work: Work, attempt: u32, checkpoint: bool) {
        let Some(unit) = self.units.get_mut(&work).filter(|unit| unit.attempt == attempt) else { return };
        match work {
            // A caretaker may only renew batch tasks: it cannot commit to the log that one was stopped.
            Work::Batch(_) if self.lease.is_caretaker() => {}
            Work::Batch(_) => {
                let checkpoint = if checkpoint { self.save_checkpoint(work) } else { None };
                self.end_unit(work, Outcome::Stopped(checkpoint));
            }
            Work::Replica(_) => {
                unit.is_stopping = true;
                if unit.in_flight == 0 {
                    self.end_unit(work, Outcome::Stopped(None));
                }
            }
        }
    }

    fn stop_batch_tasks(&mut self) {
        let batch: Vec<Work> =
            self.units.keys().copied().filter(|work| matches!(work, Work::Batch(_))).collect();
        for work in batch {
            let checkpoint = self.save_checkpoint(work);
            self.end_unit(work, Outcome::Stopped(checkpoint));
        }
    }

    fn save_checkpoint(&self, work: Work) -> Option<Checkpoint> {
        let unit = self.units.get(&work).filter(|unit| unit.is_checkpointable)?;
        Some(self.shared.checkpoints.insert(unit.remaining_ms))
    }

    fn end_unit(&mut self, work: Work, outcome: Outcome) {
        let Some(unit) = self.units.remove(&work) else { return };
        if let Work::Batch(task) = work {
            let ending = match outcome {
                Outcome::Finished => Ending::Finished,
                Outcome::Failed => Ending::Failed,
                Outcome::Stopped(_) | Outcome::Refused => Ending::Evicted,
            };
            self.shared.audit.record_end(task, ending);
        }
        self.record_end(work, unit.attempt, outcome);
    }

    fn record_end(&mut self, work: Work, attempt: u32, outcome: Outcome) {
        self.ended.push(Ended { work, attempt, outcome });
        self.ended_count += 1;
    }

    fn next_change(&self) -> Option<(u64, Change)> {
        let finish_time = |(work, unit): (&Work, &Unit)| {
            let speed = self.throttled_speed(*work, unit);
            let duration_ms = (unit.remaining_ms / speed).ceil();
            (speed > 0.0).then(|| (self.clock_ms.saturating_add(duration_ms as u64), Change::Finished(*work)))
        };
        let batch = || self.units.iter().filter(|(work, _)| matches!(work, Work::Batch(_)));
        let lease_expiry = batch().next().map(|_| (self.lease.batch_deadline_ms(), Change::LeaseExpired));
        batch().filter_map(finish_time).chain(lease_expiry).min()
    }

    fn progress_units(&mut self, to_ms: u64) {
        let span_ms = to_ms.saturating_sub(self.clock_ms) as f64;
        if span_ms > 0.0 {
            let speeds: Vec<f64> =
                self.units.iter().map(|(work, unit)| self.throttled_speed(*work, unit)).collect();
            for (unit, speed) in self.units.values_mut().zip(speeds) {
                unit.remaining_ms = (unit.remaining_ms - span_ms * speed).max(0.0);
            }
        }
        self.clock_ms = self.clock_ms.max(to_ms);
    }

    /// Speed under interference and throttling, as a fraction of the full speed.
    fn throttled_speed(&self, work: Work, unit: &Unit) -> f64 {
        self.unthrottled_speed(work) * f64::from(unit.throttle_percent) / 100.0
    }

    /// Speed under interference without throttling, as a fraction of the full speed.
    fn unthrottled_speed(&self, work: Work) -> f64 {
        let Some(unit) = self.units.get(&work) else { return 1.0 };
        let others = self.units.iter().filter(|(other, _)| **other != work);
        self.profile.speed(&unit.kind, others.map(|(_, other)| other.kind.as_str()))
    }

    /// Takes a usage sample of each unit of work, and returns the samples that are old enough to be reported.
    fn collect_samples(&mut self) -> Vec<Usage> {
        let taken: Vec<Usage> =
            self.units.iter().map(|(work, unit)| self.measure_usage(*work, unit)).collect();
        self.samples.extend(taken);
        while self.samples.len() > MAX_USAGE_SAMPLES {
            self.samples.pop_front();
        }
        let (now_ms, lag_ms) = (self.clock_ms, self.profile.usage_lag_ms);
        let mut reportable = Vec::new();
        while let Some(sample) = self.samples.pop_front_if(|sample| sample.taken_ms + lag_ms <= now_ms) {
            reportable.push(sample);
        }
        reportable
    }

    fn measure_usage(&self, work: Work, unit: &Unit) -> Usage {
        let used = |amount: u32| {
            u32::try_from(u64::from(amount) * u64::from(self.profile.usage_percent) / 100).unwrap_or(u32::MAX)
        };
        Usage {
            work,
            taken_ms: self.clock_ms,
            millicores: used(unit.size.millicores) / 100 * u32::from(unit.throttle_percent),
            memory_mib: used(unit.size.memory_mib),
            speed_percent: (self.unthrottled_speed(work) * 100.0).round().min(100.0) as u8,
        }
    }
}

impl Unit {
    fn running(&self, work: Work) -> Running {
        Running { work, attempt: self.attempt, size: self.size, service: self.service }
    }
}

/// A change of state that happens without a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Change {
    /// The lease has expired, so batch tasks must stop. It sorts before a task that finishes at the same time.
    LeaseExpired,
    /// A batch task finishes.
    Finished(Work),
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;
    use crate::core::{cell, member, task};
    use crate::declare::{job, zone};
    use profile::Slowdown;

    /// Start of the worker's clock. It is not 0, so a function that uses the time of the process by mistake fails a
    /// test.
    const CLOCK_START_MS: u64 = 1_000;

    fn profile() -> Profile {
        let capacity = Size { millicores: 2_000, memory_mib: 2_000, accelerators: 1, slots: 2 };
        let slowdown = Slowdown { kind: "batch".into(), neighbour: "web".into(), speed_percent: 50 };
        let slowdowns = [slowdown].into();
        Profile {
            capacity,
            clock_start_ms: CLOCK_START_MS,
            max_connections: 3,
            slowdowns,
            ..Profile::new("w")
        }
    }

    fn worker() -> Worker {
        Worker::new(profile(), Shared::default())
    }

    fn batch(index: u32) -> Work {
        Work::Batch(task::Id { job: job::Id(1), index })
    }

    fn replica(run: u64) -> Work {
        Work::Replica(run::Id(run))
    }

    fn start(work: Work, attempt: u32) -> Command {
        let batch = matches!(work, Work::Batch(_));
        Command::Start(Start {
            work,
            attempt,
            size: Size { millicores: 1_000, memory_mib: 500, accelerators: 0, slots: 1 },
            checkpoint: None,
            name: "x".into(),
            kind: if batch { "batch" } else { "web" }.into(),
            run_time_ms: if batch { 1_000 } else { 0 },
            concurrency: if batch { 0 } else { 2 },
        })
    }

    fn call(sequence: u64, until_ms: u64, commands: Vec<Command>) -> Call {
        Call {
            holder: member::Id(1),
            cell: cell::Id { zone: zone::Id(1), index: 0 },
            epoch: 1,
            instance: 0,
            caretaker: false,
            sequence,
            until_ms: CLOCK_START_MS + until_ms,
            release: false,
            wait_ms: 0,
            acknowledge: vec![],
            commands,
        }
    }

    fn send_call(worker: &mut Worker, call: Call, now_ms: u64) -> Reply {
        let poll = worker.handle_call(call, now_ms);
        worker.reply(&poll, now_ms).expect("no restart in between")
    }

    fn outcomes(reply: &Reply) -> Vec<(Work, u32, Outcome)> {
        reply.ended.iter().map(|ended| (ended.work, ended.attempt, ended.outcome)).collect()
    }

    /// Guards against a result that is lost because the reply that contains it is lost.
    #[test]
    fn results_are_kept_until_acknowledged() {
        let mut worker = worker();
        send_call(&mut worker, call(1, 6_000, vec![start(batch(0), 1)]), 0);
        let reply = send_call(&mut worker, call(2, 6_000, vec![]), 1_000);
        assert_eq!(outcomes(&reply), [(batch(0), 1, Outcome::Finished)]);
        assert!(reply.running.is_empty());
        let again = send_call(&mut worker, call(3, 6_000, vec![]), 1_100);
        assert_eq!(outcomes(&again), outcomes(&reply));
        let stale = Call { epoch: 0, acknowledge: vec![(batch(0), 1)], ..call(9, 6_000, vec![]) };
        assert_eq!(send_call(&mut worker, stale, 1_150).status, Status::Stale);
        let acknowledged = Call { acknowledge: vec![(batch(0), 1)], ..call(4, 6_000, vec![]) };
        assert!(send_call(&mut worker, acknowledged, 1_200).ended.is_empty());
    }

    /// Guards against an overcommitted worker, and against an audit that does not count start commands over the
    /// capacity.
    #[test]
    fn starts_beyond_capacity_are_refused_and_counted() {
        let mut worker = worker();
        let starts = (0..3).map(|index| start(batch(index), 1)).collect();
        let reply = send_call(&mut worker, call(1, 6_000, starts), 0);
        assert_eq!(reply.running.len(), 2);
        assert_eq!(outcomes(&reply), [(batch(2), 1, Outcome::Refused)]);
        assert_eq!(worker.shared.audit.counts().slots_overcommitted, 1);
    }

    /// Guards against an attempt that runs twice, and against a repeated start that is reported as refused although the
    /// attempt is running.
    #[test]
    fn each_attempt_starts_at_most_once() {
        let mut worker = worker();
        send_call(&mut worker, call(1, 60_000, vec![start(batch(0), 2)]), 0);
        let repeated = send_call(&mut worker, call(2, 60_000, vec![start(batch(0), 2)]), 10);
        assert!(repeated.ended.is_empty());
        assert_eq!(repeated.running.len(), 1);
        let older = send_call(&mut worker, call(3, 60_000, vec![start(batch(0), 1)]), 20);
        assert_eq!(outcomes(&older), [(batch(0), 1, Outcome::Refused)]);
        let acknowledge = vec![(batch(0), 1), (batch(0), 2)];
        send_call(&mut worker, Call { acknowledge, ..call(4, 60_000, vec![]) }, 1_500);
        let after = send_call(&mut worker, call(5, 60_000, vec![start(batch(0), 2)]), 1_600);
        assert_eq!(outcomes(&after), [(batch(0), 2, Outcome::Refused)]);
        assert_eq!(worker.shared.audit.counts().tasks_started, 1);
    }

    /// Guards against batch tasks that continue after the lease has expired, and against replicas that stop with them.
    #[test]
    fn lease_expiry_stops_batch_tasks_with_a_checkpoint_and_keeps_replicas() {
        let mut worker = worker();
        send_call(&mut worker, call(1, 400, vec![start(batch(0), 1), start(replica(7), 1)]), 0);
        let reply = send_call(&mut worker, call(2, 60_000, vec![]), 5_000);
        let [(work, 1, Outcome::Stopped(Some(checkpoint)))] = outcomes(&reply)[..] else {
            panic!("{:?}", reply.ended)
        };
        assert_eq!(work, batch(0));
        assert_eq!(reply.running.iter().map(|unit| unit.work).collect::<Vec<_>>(), [replica(7)]);
        // The replica halves the speed of the task, so 200 of 1,000 ms are done when the lease expires after 400 ms.
        assert_eq!(worker.shared.checkpoints.get(checkpoint), Some(800.0));
        let Command::Start(resumed) = start(batch(0), 2) else { unreachable!() };
        let resumed = Command::Start(Start { checkpoint: Some(checkpoint), ..resumed });
        send_call(&mut worker, call(3, 60_000, vec![resumed]), 5_000);
        assert_eq!(worker.next_change_ms(), Some(6_600));
    }

    /// Guards against a caretaker that starts batch tasks, which it cannot commit to the log, and against batch tasks
    /// that continue after the expiry of its lease.
    #[test]
    fn caretakers_renew_but_start_no_batch_task() {
        let mut worker = worker();
        let Command::Start(long) = start(batch(0), 1) else { unreachable!() };
        let long = Command::Start(Start { run_time_ms: 600_000, ..long });
        send_call(&mut worker, call(1, 6_000, vec![long]), 0);
        let caretaker =
            |sequence, until_ms, commands| Call { caretaker: true, ..call(sequence, until_ms, commands) };
        let commands = vec![start(batch(1), 1), start(replica(7), 1)];
        let reply = send_call(&mut worker, caretaker(2, 12_000, commands), 5_000);
        assert_eq!(outcomes(&reply), [(batch(1), 1, Outcome::Refused)]);
        assert_eq!(reply.running.len(), 2);
        let acknowledge = vec![(batch(1), 1)];
        send_call(&mut worker, Call { acknowledge, ..caretaker(3, 100_000, vec![]) }, 11_000);
        worker.advance(99_999);
        assert_eq!(worker.units.len(), 2);
        let reply = send_call(&mut worker, caretaker(4, 200_000, vec![]), 100_000);
        assert!(matches!(outcomes(&reply)[..], [(_, 1, Outcome::Stopped(Some(_)))]), "{:?}", reply.ended);
        assert_eq!(reply.running.len(), 1);
    }

    /// Guards against a delayed call to the former instance that is executed by the new one.
    #[test]
    fn restart_loses_work_and_rejects_calls_to_the_former_instance() {
        let mut worker = worker();
        send_call(&mut worker, call(1, 6_000, vec![start(batch(0), 1)]), 0);
        assert_eq!(worker.restart(100), 2);
        let delayed = send_call(&mut worker, call(2, 6_000, vec![start(batch(0), 2)]), 200);
        assert_eq!((delayed.status, delayed.instance), (Status::Inquiry, 2));
        assert!(delayed.running.is_empty());
        assert_eq!(worker.shared.audit.counts().tasks_evicted, 1);
    }

    /// Guards against a replica that stops while it executes requests, and against requests over the limits of a
    /// replica or of the worker's connections.
    #[test]
    fn replicas_finish_their_requests_and_enforce_limits() {
        let mut worker = worker();
        send_call(&mut worker, call(1, 6_000, vec![start(replica(7), 1), start(replica(8), 1)]), 0);
        assert!(worker.admit(run::Id(9), None, 0).is_none());
        let first = worker.admit(run::Id(7), Some("a"), 0).expect("a free replica");
        let second = worker.admit(run::Id(7), None, 0).expect("a second place");
        assert!(worker.admit(run::Id(7), None, 0).is_none());
        assert!(worker.admit(run::Id(8), None, 0).is_some());
        assert!(worker.admit(run::Id(8), None, 0).is_none());
        assert_eq!(worker.shared.audit.counts().connections_overcommitted, 1);
        let stop = Command::Stop { work: replica(7), attempt: 1, checkpoint: false };
        assert!(send_call(&mut worker, call(2, 6_000, vec![stop]), 1).ended.is_empty());
        assert!(worker.complete(first, 2));
        assert!(worker.admit(run::Id(7), None, 2).is_none());
        assert!(worker.complete(second, 3));
        let reply = send_call(&mut worker, call(3, 6_000, vec![]), 4);
        assert_eq!(outcomes(&reply), [(replica(7), 1, Outcome::Stopped(None))]);
    }

    /// Guards against usage samples that are reported at once, unlike those of the platform's workers.
    #[test]
    fn usage_is_reported_after_the_lag() {
        let mut worker = worker();
        assert!(send_call(&mut worker, call(1, 60_000, vec![start(replica(7), 1)]), 0).usage.is_empty());
        assert!(send_call(&mut worker, call(2, 60_000, vec![]), 1_000).usage.is_empty());
        let usage = send_call(&mut worker, call(3, 60_000, vec![]), 2_500).usage;
        assert_eq!(usage.iter().map(|sample| sample.taken_ms - CLOCK_START_MS).collect::<Vec<_>>(), [0]);
    }

    fn any_command() -> impl Strategy<Value = Command> {
        let work = prop_oneof![(0u32..3).prop_map(batch), (0u64..3).prop_map(replica)];
        (work, 1u32..4, 0u8..4).prop_map(|(work, attempt, choice)| match choice {
            0 => Command::Stop { work, attempt, checkpoint: true },
            1 => Command::Throttle { work, percent: 30 },
            _ => start(work, attempt),
        })
    }

    fn any_call() -> impl Strategy<Value = (u64, Call)> {
        let commands = proptest::collection::vec(any_command(), 0..4);
        let lease = (1u64..3, 1u64..3, any::<bool>(), any::<bool>());
        (0u64..3_000, lease, 1u64..40, 0u64..60_000, commands).prop_map(
            |(step_ms, (holder, epoch, caretaker, release), sequence, until_ms, commands)| {
                let holder = member::Id(holder);
                (step_ms, Call { holder, epoch, caretaker, release, ..call(sequence, until_ms, commands) })
            },
        )
    }

    proptest! {
        /// Guards against an order of calls that overcommits the worker, runs an attempt twice, or lets a batch task
        /// continue after the expiry of the lease.
        #[test]
        fn invariants_hold_for_any_order_of_calls(calls in proptest::collection::vec(any_call(), 1..40)) {
            let mut worker = worker();
            let mut now_ms = 0;
            let mut started = crate::hash::Set::default();
            for (step_ms, call) in calls {
                now_ms += step_ms;
                worker.advance(now_ms);
                let before: Vec<_> = worker.units.iter().map(|(work, unit)| (*work, unit.attempt)).collect();
                let reply = send_call(&mut worker, call, now_ms);
                let used = reply.running.iter().fold(Size::default(), |sum, unit| sum + unit.size);
                prop_assert!(used.fits(&worker.profile.capacity));
                for unit in &reply.running {
                    let attempt = (unit.work, unit.attempt);
                    prop_assert!(before.contains(&attempt) || started.insert(attempt), "{attempt:?} again");
                    let is_batch = matches!(unit.work, Work::Batch(_));
                    prop_assert!(!is_batch || worker.lease.batch_deadline_ms() > reply.clock_ms);
                    prop_assert!(!reply.ended.iter().any(|ended| (ended.work, ended.attempt) == attempt));
                }
                prop_assert!(reply.lease_until_ms == 0 || reply.lease_until_ms > reply.clock_ms);
            }
        }
    }
}
