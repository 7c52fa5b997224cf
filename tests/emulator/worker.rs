//! Workers of the platform, and the observer of what they run.

use std::time::Duration;

use nutmegfold::core::time::Instant;
use nutmegfold::core::work::event::{Event, Fault};
use nutmegfold::core::work::order::{Ended, How, Listing, Order, Refusal, Reply, Running};
use nutmegfold::core::work::spec::{Id, Name, Resources, Spec, Step};
use nutmegfold::core::work::worker::{Readiness, Report};
use nutmegfold::hash::{Map, Set};

use super::Parcel;

/// Cores of a worker, in thousandths.
const CPU: u32 = 8_000;

/// Own load of a serving task, its swing, and the period of the swing in seconds.
const OWN_LOAD: f64 = 0.45;
const OWN_SWING: f64 = 0.2;
const SWING_S: f64 = 14.0;

/// Response time of an idle serving task in milliseconds, where tasks disturb one another.
const FLOOR_MS: f64 = 10.0;

/// Load that a core of a filling image adds to serving tasks of an image: serving image, filling image, load.
pub type Disturbance = (&'static str, &'static str, f64);

/// What an order leads to.
#[derive(Debug)]
pub enum Outcome {
    Event(Event),
    /// Look again later.
    Wait,
}

#[derive(Debug, Clone)]
struct Run {
    name: Name,
    number: u32,
    length: Duration,
    lasts: bool,
    fails: bool,
    serves: bool,
    pace: u32,
    image: String,
    /// Cores that it uses beside serving tasks, if it fills.
    filling: f64,
    target_ms: f64,
    /// Work done, and when that was counted last.
    worked: Duration,
    counted: Instant,
    /// Time over its target until now.
    over: Duration,
    /// When an order to stop takes effect.
    stops_at: Option<Instant>,
}

impl Run {
    /// Own load of a serving task; it swings with its users.
    fn own(&self, now: Instant) -> f64 {
        let phase = f64::from(self.name.index) + self.name.job.0 as f64 * 0.7;
        OWN_LOAD
            + OWN_SWING
                * (now.since(Instant(0)).as_secs_f64() / SWING_S * std::f64::consts::TAU + phase).sin()
    }
}

/// Counts broken promises.
#[derive(Debug, Default)]
pub struct Observer {
    jobs: Map<Id, Spec>,
    /// Runs by task, with the worker.
    running: Map<Name, Set<(String, u32)>>,
    /// Tasks that were done.
    pub done: Set<Name>,
    /// Tasks whose end was acknowledged as done.
    noted: Set<Name>,
    /// Runs that were done, by task.
    done_runs: Map<Name, Vec<u32>>,
    /// Runs that were done before their task was started once more.
    repeated: Set<(Name, u32)>,
    failed: Map<Name, u32>,
    /// Every broken promise.
    pub broken: Vec<String>,
    /// Starts of tasks.
    pub starts: u32,
    /// Tasks that fail when they run, each this many times.
    pub failing: Map<Name, u32>,
    /// Time of serving tasks over their targets.
    pub over: Duration,
    /// Longest time on end of one of them.
    pub longest_over: Duration,
}

impl Observer {
    /// Notes a job that a caller submitted.
    pub fn submitted(&mut self, id: Id, spec: &Spec) {
        self.jobs.insert(id, spec.clone());
    }

    fn step(&self, name: Name) -> Option<&Step> {
        self.jobs.get(&name.job)?.steps.get(name.step as usize)
    }

    fn started(&mut self, worker: &str, name: Name, number: u32) {
        self.starts += 1;
        let others = self.running.entry(name).or_default();
        if !others.is_empty() {
            self.broken.push(format!("{name}: run {number} on {worker} beside {others:?}"));
        }
        others.insert((worker.to_owned(), number));
        if self.noted.contains(&name) {
            self.broken.push(format!("{name}: run {number} on {worker} after its end was acknowledged"));
        }
        let before = self.done_runs.get(&name).into_iter().flatten();
        self.repeated.extend(before.map(|run| (name, *run)));
        if self.failed.get(&name).is_some_and(|count| *count >= 3) {
            self.broken.push(format!("{name}: run {number} on {worker} after 3 failures"));
        }
        let steps = self.step(name).map(|step| step.depends_on.clone()).unwrap_or_default();
        for before in steps {
            let count = self.jobs[&name.job].steps[before as usize].count;
            let is_done = (0..count).all(|index| self.done.contains(&Name { step: before, index, ..name }));
            if !is_done {
                self.broken.push(format!("{name} started before step {before} was done"));
            }
        }
    }

    fn ended(&mut self, worker: &str, name: Name, number: u32, how: How) {
        if let Some(others) = self.running.get_mut(&name) {
            others.remove(&(worker.to_owned(), number));
        }
        match how {
            How::Done => {
                self.done.insert(name);
                self.done_runs.entry(name).or_default().push(number);
            }
            How::Failed => *self.failed.entry(name).or_default() += 1,
            _ => {}
        }
    }

    /// Notes that an end was acknowledged. One after which the lease lapsed does not count: its work may be repeated.
    fn acknowledged(&mut self, end: &Ended, has_lapsed: bool) {
        if end.how != How::Done || has_lapsed {
            return;
        }
        if self.repeated.contains(&(end.name, end.run)) {
            self.broken.push(format!("{}: run {} is acknowledged after a repetition", end.name, end.run));
        }
        self.noted.insert(end.name);
    }

    /// Whether any task of a job was ever started.
    pub fn has_started(&self, job: Id) -> bool {
        self.running.keys().any(|name| name.job == job)
    }

    /// Whether a run of the task is there.
    pub fn is_running(&self, name: Name) -> bool {
        self.running.get(&name).is_some_and(|runs| !runs.is_empty())
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    /// Whether it answers; its tasks go on if it does not.
    pub is_silent: bool,
    /// Response time of its serving tasks in milliseconds.
    pub response_ms: u32,
    /// Time that a stop takes.
    pub stop_time: Duration,
    /// How tasks disturb one another; where it is empty, response times are as stated.
    pub disturbances: Vec<Disturbance>,
    /// Orders to start that are carried out although nobody gets the answer.
    pub lost_starts: u32,
    number: usize,
    born: u64,
    born_at: Instant,
    fence: u64,
    deadline_ms: u64,
    runs: Vec<Run>,
    /// Ends, and whether the lease has lapsed since.
    ended: Vec<(Ended, bool)>,
    last_end: u64,
    /// Highest number of a run that was stopped or has ended, by task.
    past: Map<Name, u32>,
}

impl Worker {
    pub(super) fn new(number: usize) -> Self {
        Self {
            id: format!("w-{number}"),
            is_silent: false,
            response_ms: 10,
            stop_time: Duration::ZERO,
            disturbances: Vec::new(),
            lost_starts: 0,
            number,
            born: 1,
            born_at: Instant::default(),
            fence: 0,
            deadline_ms: 0,
            runs: Vec::new(),
            ended: Vec::new(),
            last_end: 0,
            past: Map::default(),
        }
    }

    /// What the worker writes to the store.
    pub fn report(&self) -> Report {
        Report {
            service: "desk".into(),
            address: format!("10.1.{}.{}:8000", self.number / 250, self.number % 250 + 1)
                .parse()
                .expect("address"),
            zone: "z".into(),
            readiness: Readiness::Ready,
            capacity: Some(Resources { cpu_millicores: CPU, memory_mb: 32_000, gpu: 0 }),
            labels: vec!["a".into(), format!("r-{}", self.number / 3)],
            started_unix_ms: Some(self.born),
        }
    }

    /// Crashes and starts anew under the same identity.
    pub fn restart(&mut self, now: Instant, observer: &mut Observer) {
        for run in self.runs.drain(..) {
            observer.ended(&self.id, run.name, run.number, How::Lapsed);
        }
        (self.born, self.born_at) = (self.born + 1, now);
        (self.fence, self.deadline_ms, self.last_end) = (0, 0, 0);
        self.ended.clear();
        self.past.clear();
    }

    /// Share at which a task works there, in percent.
    pub fn pace(&self, name: Name) -> Option<u32> {
        self.runs.iter().find(|run| run.name == name).map(|run| run.pace)
    }

    fn clock(&self, now: Instant) -> u64 {
        now.since(self.born_at).as_millis() as u64
    }

    /// Ends what is finished, or whose lease is over.
    pub(super) fn advance(&mut self, now: Instant, observer: &mut Observer) {
        let clock = self.clock(now);
        let has_lapsed = clock >= self.deadline_ms;
        for (_, lapsed_since) in &mut self.ended {
            *lapsed_since |= has_lapsed;
        }
        self.count_over(now, observer);
        for mut run in std::mem::take(&mut self.runs) {
            run.worked += now.since(run.counted) * run.pace / 100;
            run.counted = now;
            let is_over = !run.lasts && run.worked >= run.length;
            let is_stopped = run.stops_at.is_some_and(|at| at <= now);
            match (is_over, has_lapsed) {
                _ if is_stopped => self.end(run, How::Stopped, observer),
                (true, _) if run.fails => self.end(run, How::Failed, observer),
                (true, _) => self.end(run, How::Done, observer),
                (_, true) => self.end(run, How::Lapsed, observer),
                _ => self.runs.push(run),
            }
        }
    }

    /// Counts the time of serving tasks over their targets.
    fn count_over(&mut self, now: Instant, observer: &mut Observer) {
        if self.disturbances.is_empty() {
            return;
        }
        for index in 0..self.runs.len() {
            let is_over =
                self.runs[index].serves && self.response(&self.runs[index], now) > self.runs[index].target_ms;
            let run = &mut self.runs[index];
            let span = if is_over { now.since(run.counted) } else { Duration::ZERO };
            run.over = if is_over { run.over + span } else { Duration::ZERO };
            observer.over += span;
            observer.longest_over = observer.longest_over.max(run.over);
        }
    }

    /// Response time of a serving task in milliseconds.
    fn response(&self, serving: &Run, now: Instant) -> f64 {
        if self.disturbances.is_empty() {
            return f64::from(self.response_ms);
        }
        let weight = |filling: &Run| {
            let is_pair = |(one, other, _): &&Disturbance| *one == serving.image && *other == filling.image;
            self.disturbances.iter().find(is_pair).map_or(0.0, |(.., weight)| *weight)
        };
        let pressure: f64 =
            self.runs.iter().map(|run| weight(run) * run.filling * f64::from(run.pace) / 100.0).sum();
        FLOOR_MS / (1.0 - (serving.own(now) + pressure).min(0.999))
    }

    fn end(&mut self, run: Run, how: How, observer: &mut Observer) {
        observer.ended(&self.id, run.name, run.number, how);
        self.last_end += 1;
        let past = self.past.entry(run.name).or_default();
        *past = (*past).max(run.number);
        let (number, saved) = (self.last_end, String::new());
        self.ended.push((Ended { number, name: run.name, run: run.number, how, checkpoint: saved }, false));
    }

    /// Carries out an order; a renewal waits until there is an end.
    pub(super) fn take(
        &mut self,
        parcel: &mut Parcel,
        now: Instant,
        until: Instant,
        observer: &mut Observer,
    ) -> Outcome {
        if parcel.reader.is_some_and(|born| born != self.born) {
            return Outcome::Event(lost(parcel));
        }
        if self.is_silent {
            return if now >= until { Outcome::Event(lost(parcel)) } else { Outcome::Wait };
        }
        if parcel.fence < self.fence {
            return Outcome::Event(self.refuse(parcel, Refusal::Fence, now));
        }
        self.fence = parcel.fence;
        parcel.reader = Some(self.born);
        match &parcel.order {
            Order::Renew { worker, until_ms, acknowledged, wait_ms } => {
                self.deadline_ms = self.deadline_ms.max(until_ms.unwrap_or_default());
                for (end, has_lapsed) in self.ended.extract_if(.., |(end, _)| end.number <= *acknowledged) {
                    observer.acknowledged(&end, has_lapsed);
                }
                let waited = now.since(parcel.sent) >= Duration::from_millis(*wait_ms);
                if self.ended.is_empty() && !waited {
                    return Outcome::Wait;
                }
                let result = Ok(Reply { clock_ms: Some(self.clock(now)), outcome: Ok(self.list(now)) });
                Outcome::Event(Event::LeaseRenewed { worker: *worker, sent: parcel.sent, result })
            }
            Order::Start { run, name, number, until_ms, .. } => {
                let outcome = self.start(*name, *number, *until_ms, now, observer);
                if self.lost_starts > 0 {
                    self.lost_starts -= 1;
                    return Outcome::Event(lost(parcel));
                }
                let result = Ok(Reply { clock_ms: Some(self.clock(now)), outcome });
                Outcome::Event(Event::Started { run: *run, result })
            }
            Order::Stop { run, name, number } => {
                let past = self.past.entry(*name).or_default();
                *past = (*past).max(*number);
                let there = self.runs.iter().position(|run| run.name == *name && run.number == *number);
                if let Some(there) = there {
                    let stops_at = now + self.stop_time;
                    let run = &mut self.runs[there];
                    run.stops_at = Some(run.stops_at.map_or(stops_at, |at| at.min(stops_at)));
                    self.advance(now, observer);
                }
                let result = Ok(Reply { clock_ms: Some(self.clock(now)), outcome: Ok(()) });
                Outcome::Event(Event::Stopped { run: *run, result })
            }
            Order::Pace { run, name, percent, .. } => {
                for run in self.runs.iter_mut().filter(|run| run.name == *name) {
                    run.pace = *percent;
                }
                let result = Ok(Reply { clock_ms: Some(self.clock(now)), outcome: Ok(()) });
                Outcome::Event(Event::PaceChanged { run: *run, percent: *percent, result })
            }
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
        if self.past.get(&name).is_some_and(|past| number <= *past) {
            return Err(Refusal::Old);
        }
        if until_ms <= self.clock(now) {
            return Err(Refusal::Late);
        }
        self.deadline_ms = self.deadline_ms.max(until_ms);
        observer.started(&self.id, name, number);
        let step = observer.step(name).cloned().unwrap_or_default();
        let failing = observer.failing.get_mut(&name).filter(|left| **left > 0);
        let fails = failing.map(|left| *left -= 1).is_some();
        self.runs.push(Run {
            name,
            number,
            length: step.estimate,
            lasts: step.is_long_running,
            fails,
            serves: step.serves(),
            pace: 100,
            image: step.image.clone(),
            filling: if step.is_filling { f64::from(step.resources.cpu_millicores) / 1_000.0 } else { 0.0 },
            target_ms: step.latency_target.unwrap_or_default().as_secs_f64() * 1_000.0,
            worked: Duration::ZERO,
            counted: now,
            over: Duration::ZERO,
            stops_at: None,
        });
        let used: u32 = self
            .runs
            .iter()
            .filter_map(|run| observer.step(run.name))
            .map(|step| step.charged().cpu_millicores)
            .sum();
        if used > CPU {
            observer.broken.push(format!("{} runs {used} thousandths of a core", self.id));
        }
        Ok(())
    }

    fn list(&self, now: Instant) -> Listing {
        let running = self.runs.iter().map(|run| Running {
            name: run.name,
            number: run.number,
            checkpoint: String::new(),
            progress_percent: if run.lasts { 100 } else { progress(run) },
            reading: self.observe(run, now),
        });
        Listing {
            started_unix_ms: Some(self.born),
            running: running.collect(),
            ended: self.ended.iter().map(|(end, _)| end.clone()).collect(),
        }
    }

    fn observe(&self, run: &Run, now: Instant) -> Option<u32> {
        if run.serves {
            return Some(self.response(run, now) as u32);
        }
        Some((run.filling * f64::from(run.pace) * 10.0) as u32)
    }

    fn refuse(&self, parcel: &Parcel, refusal: Refusal, now: Instant) -> Event {
        let clock_ms = Some(self.clock(now));
        let plain = Ok(Reply { clock_ms, outcome: Err(refusal) });
        match &parcel.order {
            Order::Renew { worker, .. } => Event::LeaseRenewed {
                worker: *worker,
                sent: parcel.sent,
                result: Ok(Reply { clock_ms, outcome: Err(refusal) }),
            },
            Order::Start { run, .. } => Event::Started { run: *run, result: plain },
            Order::Stop { run, .. } => Event::Stopped { run: *run, result: plain },
            Order::Pace { run, percent, .. } => {
                Event::PaceChanged { run: *run, percent: *percent, result: plain }
            }
        }
    }
}

fn progress(run: &Run) -> u32 {
    (run.worked.as_millis() * 100 / run.length.as_millis().max(1)).min(99) as u32
}

fn lost(parcel: &Parcel) -> Event {
    match &parcel.order {
        Order::Renew { worker, .. } => {
            Event::LeaseRenewed { worker: *worker, sent: parcel.sent, result: Err(Fault::Lost) }
        }
        Order::Start { run, .. } => Event::Started { run: *run, result: Err(Fault::Lost) },
        Order::Stop { run, .. } => Event::Stopped { run: *run, result: Err(Fault::Lost) },
        Order::Pace { run, percent, .. } => {
            Event::PaceChanged { run: *run, percent: *percent, result: Err(Fault::Lost) }
        }
    }
}
