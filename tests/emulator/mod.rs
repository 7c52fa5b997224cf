//! Emulator of a deployment in virtual time: the platform's store, its workers, and entry VMs that schedule jobs.
//!
//! The entry VMs run the real reducer; the store, the workers and the network are emulated. An observer detects
//! violated guarantees from the runs on the workers, independently of the state of the scheduler.

#![allow(dead_code)]

pub mod link;
pub mod processor;
pub mod site;
pub mod store;
pub mod worker;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmegfold::core::effect::Effect;
use nutmegfold::core::event::{Event, Input};
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::config::{Config, Queue, Service};
use nutmegfold::core::work::effect::Effect as WorkEffect;
use nutmegfold::core::work::event::{Event as WorkEvent, Fault};
use nutmegfold::core::work::meter::Report;
use nutmegfold::core::work::order::Order;
use nutmegfold::core::work::place::Tally;
use nutmegfold::core::work::request::{self, Answer, Ticket, Verb};
use nutmegfold::core::work::run::{self, Run};
use nutmegfold::core::work::spec::{Id, Name, Resources, Spec, Step};
use nutmegfold::core::work::state::Identity;
use nutmegfold::core::work::store::{Call, Change, Item, Reply, Request};
use nutmegfold::core::work::timer::Timer;
use nutmegfold::core::work::tuning::Tuning;
use nutmegfold::core::{State, member, reduce, work};
use nutmegfold::declare::zone;
use nutmegfold::hash::{self, Map, Set};

use link::Link;
use processor::{Processor, Waiting};
use store::Store;
use worker::{Observer, Worker};

/// Network delay of a message in one direction.
const ONE_WAY_DELAY: Duration = Duration::from_millis(2);

/// Interval at which a call without a reply is tried again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a call without a reply counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// An order on its way to a worker.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Port of the address that the order was sent to.
    pub port: u16,
    pub fence: u64,
    pub order: Order,
    pub sent: Instant,
    /// Incarnation of the worker that has received the order; `None` before that. A restart of the worker breaks the
    /// connection, so the reply is lost if the incarnation has changed.
    pub receiver: Option<u64>,
}

#[derive(Debug)]
enum Action {
    Event {
        vm: usize,
        incarnation: u64,
        input: Box<Waiting>,
    },
    /// The processor of an entry VM has handled an input and takes the next one.
    Serve {
        vm: usize,
        incarnation: u64,
    },
    Wake {
        vm: usize,
        incarnation: u64,
        at: Instant,
    },
    Store {
        vm: usize,
        incarnation: u64,
        call: Call,
        request: Request,
        began: Instant,
        deadline: Instant,
    },
    /// The transfer of a large answer of the store over the link.
    Transfer {
        vm: usize,
        incarnation: u64,
        call: Call,
        event: Box<Event>,
    },
    Order {
        vm: usize,
        incarnation: u64,
        worker: usize,
        envelope: Envelope,
        deadline: Instant,
    },
    /// A request for a newer configuration times out, unless it was answered.
    LoseAsk(Ticket),
    /// A worker carries out an order that it has left without an answer.
    LateOrder {
        worker: usize,
        envelope: Envelope,
    },
}

/// Numbers of calls and events of the entry VMs.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub starts: u64,
    pub stops: u64,
    pub renewals: u64,
    pub paces: u64,
    pub key_reads: u64,
    pub commits: u64,
    pub watches: u64,
    pub events: u64,
}

impl From<Event> for Waiting {
    fn from(event: Event) -> Self {
        Self { event, call: None, arrived: Instant::default() }
    }
}

/// An entry VM.
pub struct Vm {
    pub state: State,
    incarnation: u64,
    is_up: bool,
    wake: Option<Instant>,
    pub processor: Processor,
}

/// An emulated deployment and the queue of its pending actions.
pub struct Emulator {
    pub now: Instant,
    pub store: Store,
    /// Link between the store and some of the entry VMs.
    pub link: Link,
    pub workers: Vec<Worker>,
    pub observer: Observer,
    pub answers: Map<Ticket, Answer>,
    /// Entry VMs whose addresses refuse the connections of the others while their processes run.
    pub refusing_vms: Set<usize>,
    /// Entry VMs and the workers that their orders do not reach, while both work.
    pub cut_calls: Set<(usize, usize)>,
    /// Requests of callers: when each was sent, its job and its operation.
    requests: Map<Ticket, (Instant, Option<Id>, Verb)>,
    /// Entry VMs that wait for a newer configuration of another one, with the address of that one.
    config_requests: Map<Ticket, (usize, u64, SocketAddr)>,
    /// Delay with which the entry VMs handle replies and timers.
    pub lag: Duration,
    /// Additional delay with which single entry VMs handle requests, replies and changes.
    pub vm_lags: Map<usize, Duration>,
    /// Entry VMs that other entry VMs do not reach, while the store does.
    pub unreachable_vms: Set<usize>,
    /// Time by which the time of day of each entry VM is ahead.
    pub clock_leads: Vec<Duration>,
    /// Timeline entries of all entry VMs; tests search them for decisions and print them on failure.
    pub log: Vec<String>,
    /// Reports of the leaders for the metrics.
    pub reports: Vec<Report>,
    /// Number of events that the entry VMs have processed.
    pub event_count: u64,
    /// Numbers of their calls by kind.
    pub counts: Counts,
    /// Numbers of their timeline entries, by decision.
    pub decisions: Map<&'static str, u64>,
    /// When each request of a caller was answered.
    pub answered_at: Map<Ticket, Instant>,
    /// Interval at which all workers are advanced; zero to do so at each action. A worker that gets an order is always
    /// advanced.
    pub worker_step: Duration,
    workers_advanced_at: Instant,
    /// When the effects of the input that is being handled leave the entry VM.
    departs_at: Instant,
    /// Most placement passes in one event.
    pub most_passes: u64,
    /// Most workers that placement has examined in one event.
    pub most_visits: u64,
    /// Processor time of the events with a placement pass, which only the benchmark reads.
    pub pass_times: Vec<Duration>,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    actions: Map<u64, Action>,
    last_action: u64,
    seed: u64,
    cpu_millicores: Vec<u32>,
    zone_count: usize,
    copy_share_percent: u32,
    /// Factor by which tasks take longer outside the rack that holds their data, as the entry VMs know it.
    far_factor: f64,
    /// Longest lease that workers grant, as the entry VMs know it.
    lease_max: Duration,
}

/// Size of one queue of the configuration in an answer of the store, in bytes.
pub const QUEUE_BYTES: usize = 270;

/// Size of one queue of the configuration in a message between entry VMs, in bytes.
const RELAYED_QUEUE_BYTES: usize = 60;

/// Time beyond its wait after which a request for a newer configuration counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Path prefix of the only queue.
pub const PREFIX: &str = "/q/";

/// Host of the only queue.
pub const HOST: &str = "jobs.example";

impl Emulator {
    /// Creates a deployment of `vms` entry VMs of unknown CPU capacity and `workers` workers with 8 cores each.
    pub fn new(seed: u64, vms: usize, workers: usize) -> Self {
        Self::with_cpu_millicores(seed, &vec![0; vms], workers)
    }

    /// Creates a deployment whose entry VMs are divided into availability zones in runs of equal length.
    pub fn in_zones(seed: u64, vms: usize, zones: usize, workers: usize) -> Self {
        Self::build(seed, &vec![0; vms], zones, workers)
    }

    /// Creates a deployment with one entry VM for each CPU capacity in millicores, where 0 means unknown.
    pub fn with_cpu_millicores(seed: u64, cpu_millicores: &[u32], workers: usize) -> Self {
        Self::build(seed, cpu_millicores, 1, workers)
    }

    fn build(seed: u64, cpu_millicores: &[u32], zone_count: usize, workers: usize) -> Self {
        let mut emulator = Self {
            now: Instant(1_000_000),
            store: Store::new(config()),
            link: Link::default(),
            workers: (0..workers).map(Worker::new).collect(),
            observer: Observer::default(),
            answers: Map::default(),
            refusing_vms: Set::default(),
            cut_calls: Set::default(),
            requests: Map::default(),
            config_requests: Map::default(),
            lag: Duration::ZERO,
            vm_lags: Map::default(),
            unreachable_vms: Set::default(),
            clock_leads: vec![Duration::ZERO; cpu_millicores.len()],
            log: Vec::new(),
            reports: Vec::new(),
            event_count: 0,
            counts: Counts::default(),
            decisions: Map::default(),
            answered_at: Map::default(),
            worker_step: Duration::ZERO,
            workers_advanced_at: Instant::default(),
            departs_at: Instant::default(),
            most_passes: 0,
            most_visits: 0,
            pass_times: Vec::new(),
            vms: Vec::new(),
            queue: BinaryHeap::new(),
            actions: Map::default(),
            last_action: 0,
            seed,
            cpu_millicores: cpu_millicores.to_vec(),
            zone_count,
            copy_share_percent: Tuning::default().copy_share_percent,
            far_factor: 1.0,
            lease_max: Tuning::default().lease_max,
        };
        for worker in &emulator.workers {
            emulator.store.list_worker(worker);
        }
        for number in 0..cpu_millicores.len() {
            let state = emulator.new_state(number);
            let processor = Processor::default();
            emulator.vms.push(Vm { state, incarnation: 0, is_up: true, wake: None, processor });
            emulator.handle_event(number, Event::Wake);
        }
        emulator
    }

    /// CPU capacity of an entry VM in millicores; 0 if the test states none.
    fn vm_cpu_millicores(&self, vm: usize) -> u32 {
        self.cpu_millicores.get(vm).copied().unwrap_or_default()
    }

    /// Number of the availability zone of an entry VM.
    pub fn zone(&self, vm: usize) -> usize {
        vm * self.zone_count / self.cpu_millicores.len()
    }

    fn new_state(&mut self, vm: usize) -> State {
        let address = format!("10.0.0.{}:7000", vm + 1).parse().expect("address");
        let nonce = self.next_random();
        let zone = zone::Id::of(format!("z-{}", self.zone(vm)));
        let cpu_millicores = self.vm_cpu_millicores(vm);
        let identity = Identity { vm: format!("vm-{vm}"), zone, address, nonce, cpu_millicores };
        let me =
            member::Identity { id: member::Id(nonce), name: format!("vm-{vm}"), zone, address, counter: 0 };
        let Self { copy_share_percent, far_factor, lease_max, .. } = *self;
        let tuning = Tuning { copy_share_percent, far_factor, lease_max, ..Tuning::default() };
        State::with_work(me, work::State::new(identity, tuning, self.now), self.now)
    }

    /// Returns the next pseudo-random number.
    pub fn next_random(&mut self) -> u64 {
        self.seed = hash::numbers([self.seed, 0x9e37_79b9_7f4a_7c15]);
        self.seed
    }

    /// Executes all actions that are scheduled in the next `duration`, and advances the clock by it.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            self.store.expire_leases(self.now);
            if self.now >= self.workers_advanced_at + self.worker_step {
                self.workers_advanced_at = self.now;
                for worker in 0..self.workers.len() {
                    self.advance_worker(worker);
                }
            }
            if let Some(action) = self.actions.remove(&number) {
                self.execute_action(action);
            }
        }
        self.now = end;
    }

    /// Entry VM that is the leader and has loaded the state from the store, if there is one.
    pub fn leader(&self) -> Option<usize> {
        (0..self.vms.len()).find(|vm| self.leads(*vm))
    }

    fn leads(&self, vm: usize) -> bool {
        let vm = &self.vms[vm];
        let work = vm.state.work.as_ref().expect("entry VMs of the emulator schedule jobs");
        vm.is_up && work.leadership.term() > 0 && work.load.is_none()
    }

    /// Entry VM other than `vm` that is the leader and has loaded the state from the store, if there is one.
    pub fn leader_after(&self, vm: usize) -> Option<usize> {
        (0..self.vms.len()).find(|other| *other != vm && self.leads(*other))
    }

    /// Kills an entry VM; replies to its pending calls are dropped.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].is_up = false;
        self.vms[vm].incarnation += 1;
    }

    /// Asks an entry VM to stop, which resigns the leadership.
    pub fn stop(&mut self, vm: usize) {
        self.handle_event(vm, Event::Stop);
    }

    /// Starts an entry VM that was killed or stopped, with empty state.
    pub fn start(&mut self, vm: usize) {
        let state = self.new_state(vm);
        let incarnation = self.vms[vm].incarnation;
        let processor = Processor { share: self.vms[vm].processor.share, ..Processor::default() };
        self.vms[vm] = Vm { state, incarnation, is_up: true, wake: None, processor };
        self.handle_event(vm, Event::Wake);
    }

    /// Configuration that is in force on an entry VM.
    pub fn config(&self, vm: usize) -> &Config {
        &self.vms[vm].state.work.as_ref().expect("entry VMs of the emulator schedule jobs").config
    }

    /// Its version.
    pub fn config_version(&self, vm: usize) -> u64 {
        self.config(vm).version
    }

    /// Whether an entry VM runs.
    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].is_up
    }

    /// Delay with which an entry VM takes itself to handle events.
    pub fn perceived_lag(&self, vm: usize) -> Duration {
        self.work(vm).lag.longest()
    }

    /// Number of workers that placement has examined, over all entry VMs.
    pub fn placement_visits(&self) -> u64 {
        (0..self.vms.len()).map(|vm| self.work(vm).placement_visits).sum()
    }

    /// Runs that a placement pass of an entry VM would plan now, if it relies on what earlier passes have found out, or if
    /// it has forgotten that.
    pub fn starts_of_pass(&mut self, vm: usize, is_forgetful: bool) -> Vec<(Name, u32)> {
        let mut state = self.vms[vm].state.clone();
        let work = state.work.as_mut().expect("entry VMs of the emulator schedule jobs");
        if is_forgetful {
            work.placement.forget_all();
        }
        let is_planned = |run: &Run| run.phase == run::Phase::Planned;
        let before: Vec<_> =
            work.runs.iter().filter(|(_, run)| is_planned(run)).map(|(key, _)| key).collect();
        work.next_placement = Some(self.now);
        work.placement_not_before = self.now;
        work.timers.set(self.now, Timer::Place);
        let unix_ms = (self.now + self.clock_leads[vm]).0 / 1_000;
        let mut effects = Vec::new();
        reduce(
            &mut state,
            Input { at: self.now, unix_ms, entropy: 0, spent: Duration::ZERO, event: Event::Wake },
            &mut effects,
        );
        let work = state.work.as_ref().expect("entry VMs of the emulator schedule jobs");
        let planned = work.runs.iter().filter(|(key, run)| is_planned(run) && !before.contains(key));
        planned.map(|(_, run)| (run.name, run.number)).collect()
    }

    /// Number of ready tasks, over all entry VMs.
    pub fn ready_count(&self) -> usize {
        (0..self.vms.len()).flat_map(|vm| self.work(vm).jobs.ready.values()).map(|tasks| tasks.len()).sum()
    }

    /// Whether a renewal of an entry VM to a worker has no answer yet.
    pub fn is_renewal_in_flight(&self, vm: usize, worker: usize) -> bool {
        let workers = &self.work(vm).workers;
        let key = workers.by_id.get(&self.workers[worker].id);
        key.is_some_and(|key| workers.all[*key].renewal_sent_at.is_some())
    }

    fn work(&self, vm: usize) -> &work::State {
        self.vms[vm].state.work.as_ref().expect("entry VMs of the emulator schedule jobs")
    }

    /// Sets the placement policy of all entry VMs.
    pub fn set_placement_policy(&mut self, policy: work::place::Policy) {
        for vm in &mut self.vms {
            vm.state.work.as_mut().expect("entry VMs of the emulator schedule jobs").policy = policy;
        }
    }

    /// Sets the share of the processor time that speculative copies may cost on all entry VMs, in percent.
    pub fn set_copy_share(&mut self, percent: u32) {
        self.copy_share_percent = percent;
        for vm in &mut self.vms {
            let work = vm.state.work.as_mut().expect("entry VMs of the emulator schedule jobs");
            work.tuning.copy_share_percent = percent;
        }
    }

    /// Sets the share of the workers that is kept free of long-running runs on all entry VMs, in percent.
    pub fn set_reserve(&mut self, percent: u32) {
        for vm in &mut self.vms {
            let work = vm.state.work.as_mut().expect("entry VMs of the emulator schedule jobs");
            work.tuning.reserve_percent = percent;
        }
    }

    /// Sets the order of waiting groups on all entry VMs.
    pub fn set_backlog_order(&mut self, order: work::backlog::Order) {
        for vm in &mut self.vms {
            vm.state.work.as_mut().expect("entry VMs of the emulator schedule jobs").order = order;
        }
    }

    /// Sets the longest lease that workers grant, as the entry VMs know it.
    pub fn set_lease_max(&mut self, lease_max: Duration) {
        self.lease_max = lease_max;
        for vm in &mut self.vms {
            let work = vm.state.work.as_mut().expect("entry VMs of the emulator schedule jobs");
            work.tuning.lease_max = lease_max;
        }
    }

    /// Sets the factor by which tasks take longer outside the rack that holds their data.
    pub fn set_far_factor(&mut self, far_factor: f64) {
        self.far_factor = far_factor;
        self.workers.iter_mut().for_each(|worker| worker.far_factor = far_factor);
        for vm in &mut self.vms {
            let work = vm.state.work.as_mut().expect("entry VMs of the emulator schedule jobs");
            work.tuning.far_factor = far_factor;
        }
    }

    /// Sets which submissions all entry VMs accept.
    pub fn set_admission(&mut self, mode: work::admission::Mode) {
        for vm in &mut self.vms {
            vm.state.work.as_mut().expect("entry VMs of the emulator schedule jobs").tuning.admission = mode;
        }
    }

    /// Restarts a worker after a crash and updates its report in the store.
    pub fn restart_worker(&mut self, worker: usize) {
        self.workers[worker].restart(self.now, &mut self.observer);
        self.store.list_worker(&self.workers[worker]);
    }

    /// Restarts a worker as one of another kind. Its report in the store stays that of the process before.
    pub fn restart_worker_as(&mut self, worker: usize, kind: &str) {
        self.workers[worker].restart(self.now, &mut self.observer);
        self.workers[worker].kind = kind.to_owned();
    }

    /// Lets a worker write its report to the store.
    pub fn report_worker(&mut self, worker: usize) {
        self.store.list_worker(&self.workers[worker]);
    }

    /// Sends a caller's request to an entry VM; its answer appears in `answers`.
    pub fn request(&mut self, vm: usize, path: &str, verb: Verb) -> Ticket {
        let ticket = Ticket(self.next_random());
        let request = request::Request {
            host: HOST.into(),
            path: path.into(),
            verb: verb.clone(),
            timeout: Duration::from_secs(3),
            min_config: 0,
        };
        self.requests.insert(ticket, (self.now, request.job(), verb));
        self.deliver(vm, Event::Work(WorkEvent::Request { ticket, request, is_forwarded: false }).into());
        ticket
    }

    /// Changes the CPU capacity of a worker and updates its report in the store.
    pub fn resize_worker(&mut self, worker: usize, cpu_millicores: u32) {
        self.workers[worker].resize(cpu_millicores, self.now);
        self.store.list_worker(&self.workers[worker]);
    }

    /// Lets a worker report that it is about to leave. Its runs go on until they end or are stopped.
    pub fn drain_worker(&mut self, worker: usize) {
        self.workers[worker].is_draining = true;
        self.store.list_worker(&self.workers[worker]);
    }

    /// Lets a worker that was to leave report again that it takes new runs.
    pub fn resume_worker(&mut self, worker: usize) {
        self.workers[worker].is_draining = false;
        self.store.list_worker(&self.workers[worker]);
    }

    /// Removes a worker's report from the store and lets calls to the worker time out, as when it has left. Runs that it
    /// still has go on until their lease expires, as on a worker that is cut off.
    pub fn remove_worker(&mut self, worker: usize) {
        self.workers[worker].is_unresponsive = true;
        self.store.unlist_worker(&self.workers[worker]);
    }

    /// Ends a worker for good: its runs end at once, its address refuses connections, and the store does not list it any more.
    pub fn end_worker(&mut self, worker: usize) {
        self.workers[worker].end_for_good(self.now, &mut self.observer);
        self.store.unlist_worker(&self.workers[worker]);
    }

    /// Advances the runs of a worker to the current time. One that is back after a crash writes its report.
    fn advance_worker(&mut self, worker: usize) {
        self.workers[worker].advance(self.now, &mut self.observer);
        if std::mem::take(&mut self.workers[worker].has_new_report) {
            self.store.list_worker(&self.workers[worker]);
        }
    }

    /// Crashes a worker; it is back after some seconds.
    pub fn crash_worker(&mut self, worker: usize) {
        self.workers[worker].crash(self.now, &mut self.observer);
    }

    /// Submits a job through an entry VM.
    pub fn submit(&mut self, vm: usize, id: u64, spec: Spec) -> Ticket {
        self.observer.record_submission(Id(id), &spec);
        self.request(vm, &format!("{PREFIX}{}", Id(id)), Verb::Submit(spec))
    }

    /// Cancels a job through an entry VM.
    pub fn cancel(&mut self, vm: usize, id: u64) -> Ticket {
        self.request(vm, &format!("{PREFIX}{}", Id(id)), Verb::Cancel)
    }

    /// Reads a job through an entry VM and waits 100 ms for the answer.
    pub fn read_job(&mut self, vm: usize, id: u64) -> Option<Answer> {
        let ticket = self.request(vm, &format!("{PREFIX}{}", Id(id)), Verb::Read);
        self.run_for(Duration::from_millis(100));
        self.answers.get(&ticket).cloned()
    }

    /// Limits the processor time of an entry VM to a share of a core.
    pub fn limit_processor(&mut self, vm: usize, share: f64) {
        self.vms[vm].processor.share = share;
    }

    /// Returns the longest time that an input of an entry VM has waited since this was last asked.
    pub fn take_longest_wait(&mut self, vm: usize) -> Duration {
        std::mem::take(&mut self.vms[vm].processor.longest_wait)
    }

    /// Processor of an entry VM.
    pub fn processor(&self, vm: usize) -> &Processor {
        &self.vms[vm].processor
    }

    /// What placement has examined, over all entry VMs.
    pub fn placement_tally(&self) -> Tally {
        let mut sum = Tally::default();
        (0..self.vms.len()).for_each(|vm| sum.add(&self.work(vm).placement_tally));
        sum
    }

    /// Number of groups of ready tasks, over all entry VMs.
    pub fn ready_group_count(&self) -> usize {
        (0..self.vms.len()).map(|vm| self.work(vm).jobs.ready.len()).sum()
    }

    /// Whether a worker leaves an order without an answer and carries it out late.
    fn is_order_left(&mut self, envelope: &Envelope, worker: usize) -> bool {
        let late_starts = &mut self.workers[worker].late_starts;
        if *late_starts > 0 && envelope.receiver.is_none() && matches!(envelope.order, Order::Start { .. }) {
            *late_starts -= 1;
            return true;
        }
        let share = self.workers[worker].late_share;
        share > 0.0
            && envelope.receiver.is_none()
            && !self.workers[worker].is_unresponsive
            && (self.next_random() % 1_000) as f64 / 1_000.0 < share
    }

    /// Hands an input to an entry VM. It waits if the processor of the VM is busy.
    fn deliver(&mut self, vm: usize, mut input: Waiting) {
        if !self.vms[vm].processor.is_limited() {
            return self.handle_event(vm, input.event);
        }
        input.arrived = self.now;
        self.vms[vm].processor.waiting.push_back(input);
        self.serve(vm);
    }

    /// Lets the processor of an entry VM handle the input that has waited longest, unless it is busy.
    fn serve(&mut self, vm: usize) {
        if self.vms[vm].processor.busy_until > self.now {
            return;
        }
        let Some(input) = self.vms[vm].processor.waiting.pop_front() else { return };
        let processor = &mut self.vms[vm].processor;
        processor.longest_wait = processor.longest_wait.max(self.now.since(input.arrived));
        self.handle_event(vm, input.read(self.now));
        let (busy_until, incarnation) = (self.vms[vm].processor.busy_until, self.vms[vm].incarnation);
        self.schedule(busy_until, Action::Serve { vm, incarnation });
    }

    /// Uses the processor time of an input, and returns when its effects leave.
    fn spend(&mut self, vm: usize, event: &Event, placed: &Tally, effects: &[Effect]) -> Instant {
        let mut calls = processor::Effects::default();
        for effect in effects {
            match effect {
                Effect::Work(WorkEffect::Worker { .. }) => calls.worker_calls += 1,
                Effect::Work(WorkEffect::Store { .. }) => calls.store_calls += 1,
                Effect::Work(WorkEffect::Answer { .. }) => calls.answers += 1,
                _ => {}
            }
        }
        let time = processor::handling_time(event, placed, calls);
        self.vms[vm].processor.spend(time, placed, self.now);
        self.vms[vm].processor.busy_until
    }

    fn handle_event(&mut self, vm: usize, event: Event) {
        self.event_count += 1;
        self.counts.events += 1;
        let entropy = self.next_random();
        let unix_ms = (self.now + self.clock_leads[vm]).0 / 1_000;
        let is_limited = self.vms[vm].processor.is_limited();
        let handled = is_limited.then(|| event.clone());
        let spent = self.vms[vm].processor.last_duration;
        let input = Input { at: self.now, unix_ms, entropy, spent, event };
        let mut effects = Vec::new();
        let tally = self.work(vm).placement_tally;
        let has_pass = self.work(vm).next_placement.is_some_and(|at| at <= self.now);
        let visits = self.work(vm).placement_visits;
        let begin = std::time::Instant::now();
        reduce(&mut self.vms[vm].state, input, &mut effects);
        self.most_visits = self.most_visits.max(self.work(vm).placement_visits - visits);
        let placed = self.work(vm).placement_tally.since(&tally);
        self.most_passes = self.most_passes.max(placed.passes);
        if has_pass {
            self.pass_times.push(begin.elapsed());
        }
        self.departs_at = self.now;
        if let Some(event) = handled {
            self.departs_at = self.spend(vm, &event, &placed, &effects);
        }
        for effect in effects {
            self.execute_effect(vm, effect);
        }
        let next_timer = self.vms[vm].state.next_due();
        if let Some(next_timer) = next_timer.filter(|at| self.vms[vm].wake.is_none_or(|wake| wake > *at)) {
            self.vms[vm].wake = Some(next_timer);
            let incarnation = self.vms[vm].incarnation;
            self.schedule(
                next_timer.max(self.now) + self.lag,
                Action::Wake { vm, incarnation, at: next_timer },
            );
        }
    }

    fn execute_effect(&mut self, vm: usize, effect: Effect) {
        let incarnation = self.vms[vm].incarnation;
        match effect {
            Effect::Work(WorkEffect::Answer { ticket, answer }) => {
                // The caller has its answer already if the VM that forwarded the request gives up on it later.
                if self.answers.contains_key(&ticket) {
                    return;
                }
                if let Some((sent, Some(job), verb)) = self.requests.get(&ticket) {
                    let is_by_leader = self.store.leader() == Some(format!("vm-{vm}"));
                    self.observer.record_answer(*job, (*sent, verb), &answer, is_by_leader, self.now);
                }
                self.answered_at.insert(ticket, self.departs_at);
                self.answers.insert(ticket, answer);
            }
            Effect::Work(WorkEffect::Forward { ticket, to, request }) => {
                self.forward(vm, ticket, to, request)
            }
            Effect::Work(WorkEffect::AskConfig { to, known, wait }) => {
                let other = self.vm_at(to);
                if !self.accepts_connections(other) {
                    let event = WorkEvent::ConfigUpdated { from: to, result: Err(Fault::Refused), bytes: 0 };
                    return self.schedule_event(vm, ONE_WAY_DELAY * 2, Event::Work(event));
                }
                let ticket = Ticket(self.next_random());
                self.config_requests.insert(ticket, (vm, incarnation, to));
                self.schedule(self.now + wait + ASK_TIMEOUT, Action::LoseAsk(ticket));
                if self.unreachable_vms.contains(&other) || self.unreachable_vms.contains(&vm) {
                    return;
                }
                let event = WorkEvent::ConfigAsked { ticket, known, wait };
                self.schedule_event(other, ONE_WAY_DELAY, Event::Work(event));
            }
            Effect::Work(WorkEffect::AnswerConfig { ticket, update }) => {
                let Some((other, incarnation, from)) = self.config_requests.remove(&ticket) else { return };
                if !self.is_alive(other, incarnation) {
                    return;
                }
                let bytes = update.as_ref().map_or(0, |update| update.queues.len() * RELAYED_QUEUE_BYTES);
                let event = Event::Work(WorkEvent::ConfigUpdated { from, result: Ok(update), bytes });
                if self.link.vms.contains(&vm) == self.link.vms.contains(&other) || bytes == 0 {
                    return self.schedule_event(other, ONE_WAY_DELAY, event);
                }
                let call = Call(ticket.0);
                self.link.start(other, call, bytes, self.now);
                let event = Box::new(event);
                self.schedule(
                    self.now + POLL_INTERVAL,
                    Action::Transfer { vm: other, incarnation, call, event },
                );
            }
            Effect::Work(WorkEffect::Store { call, request }) => {
                match &request {
                    Request::Read(_) => self.counts.key_reads += 1,
                    Request::Commit(_) => self.counts.commits += 1,
                    Request::Watch { .. } => self.counts.watches += 1,
                    _ => {}
                }
                let began = self.departs_at;
                let deadline = began + self.store_timeout(&request);
                let delay = ONE_WAY_DELAY + self.link_delay(vm);
                self.schedule(
                    self.departs_at + delay,
                    Action::Store { vm, incarnation, call, request, began, deadline },
                );
            }
            Effect::Work(WorkEffect::Worker { id, address, fence, order, sent, not_after }) => {
                match &order {
                    Order::Renew { .. } => self.counts.renewals += 1,
                    Order::Start { .. } => self.counts.starts += 1,
                    Order::Stop { .. } => self.counts.stops += 1,
                    Order::Pace { .. } => self.counts.paces += 1,
                }
                let worker = self
                    .workers
                    .iter()
                    .position(|worker| worker.id == id)
                    .expect("the order names an emulated worker");
                let envelope = Envelope { port: address.port(), fence, order, sent, receiver: None };
                let is_limited = self.vms[vm].processor.is_limited();
                if is_limited && self.departs_at > not_after {
                    let event = Event::Work(worker::failed_reply(&envelope, Fault::NotSent));
                    return self.schedule_event(vm, self.departs_at.since(self.now), event);
                }
                let timeout = if is_limited { processor::timeout(&envelope) } else { CALL_TIMEOUT };
                let deadline = self.departs_at + timeout;
                self.schedule(
                    self.departs_at + ONE_WAY_DELAY,
                    Action::Order { vm, incarnation, worker, envelope, deadline },
                );
            }
            Effect::Work(WorkEffect::Report(report)) => self.reports.push(*report),
            Effect::Record(entry) => {
                *self.decisions.entry(entry.decision).or_default() += 1;
                self.log.push(format!("{:?} vm-{vm} {entry:?}", self.now));
            }
            _ => {}
        }
    }

    /// Time after which a call to the store without a reply counts as lost.
    fn store_timeout(&self, request: &Request) -> Duration {
        match request {
            Request::Watch { wait, allowance, .. } if self.store.keeps_watch_waits => *wait + *allowance,
            _ => CALL_TIMEOUT,
        }
    }

    /// Delay of the link between the store and an entry VM.
    fn link_delay(&self, vm: usize) -> Duration {
        if self.link.vms.contains(&vm) { self.link.delay } else { Duration::ZERO }
    }

    /// Whether the address of an entry VM accepts the connections of the others.
    fn accepts_connections(&self, vm: usize) -> bool {
        self.vms[vm].is_up && !self.refusing_vms.contains(&vm)
    }

    /// Entry VM with this address.
    fn vm_at(&self, to: SocketAddr) -> usize {
        let address = |vm: &Vm| {
            vm.state.work.as_ref().expect("entry VMs of the emulator schedule jobs").identity.address
        };
        self.vms.iter().position(|vm| address(vm) == to).expect("the request names an emulated VM")
    }

    /// Forwards a request to another entry VM without network delay. A VM that is down refuses the connection.
    fn forward(&mut self, vm: usize, ticket: Ticket, to: SocketAddr, request: request::Request) {
        let other = self.vm_at(to);
        if !self.accepts_connections(other) {
            let event = WorkEvent::Forwarded { ticket, result: Err(Fault::Refused) };
            return self.schedule_event(vm, ONE_WAY_DELAY * 2, Event::Work(event));
        }
        self.deliver(other, Event::Work(WorkEvent::Request { ticket, request, is_forwarded: true }).into());
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Event { vm, incarnation, input } if self.is_alive(vm, incarnation) => {
                self.deliver(vm, *input)
            }
            Action::Serve { vm, incarnation } if self.is_alive(vm, incarnation) => self.serve(vm),
            // A wake-up that an earlier one has replaced is ignored.
            Action::Wake { vm, incarnation, at }
                if self.is_alive(vm, incarnation) && self.vms[vm].wake == Some(at) =>
            {
                self.vms[vm].wake = None;
                self.deliver(vm, Event::Wake.into());
            }
            Action::Store { vm, incarnation, call, request, began, deadline } => {
                let limit = match &request {
                    Request::List { limit, .. } | Request::Watch { limit, .. } => limit.unwrap_or(usize::MAX),
                    _ => usize::MAX,
                };
                let pending = store::Pending { vm, call, request: &request, began, deadline };
                let outcome = match self.store.execute(pending, self.now) {
                    store::Outcome::Reply(reply) if answer_bytes(&reply) > limit => {
                        store::Outcome::Reply(Reply::TooLarge)
                    }
                    outcome => outcome,
                };
                match outcome {
                    store::Outcome::Reply(reply)
                        if self.is_alive(vm, incarnation)
                            && self.link.vms.contains(&vm)
                            && answer_bytes(&reply) > 0 =>
                    {
                        self.link.start(vm, call, answer_bytes(&reply), self.now);
                        let event = Box::new(Event::Work(WorkEvent::Store { call, reply }));
                        self.schedule(
                            self.now + POLL_INTERVAL,
                            Action::Transfer { vm, incarnation, call, event },
                        );
                    }
                    store::Outcome::Reply(reply) if self.is_alive(vm, incarnation) => {
                        let is_commit = matches!(request, Request::Commit(_));
                        let delay = if is_commit { self.store.commit_delay } else { Duration::ZERO };
                        let timeout = deadline.since(self.now);
                        let reply = if delay > timeout { Reply::Lost } else { reply };
                        let event = Event::Work(WorkEvent::Store { call, reply });
                        let delay = ONE_WAY_DELAY + self.link_delay(vm) + delay.min(timeout);
                        self.schedule_event(vm, delay, event);
                    }
                    store::Outcome::Wait => {
                        self.schedule(
                            self.now + POLL_INTERVAL,
                            Action::Store { vm, incarnation, call, request, began, deadline },
                        );
                    }
                    store::Outcome::Reply(_) => {}
                }
            }
            Action::Order { vm, incarnation, worker, mut envelope, deadline } => {
                if self.is_order_left(&envelope, worker) {
                    let late_at = self.now + self.workers[worker].late_by;
                    self.schedule(late_at, Action::LateOrder { worker, envelope: envelope.clone() });
                    let event = Event::Work(worker::lost_reply(&envelope));
                    return self.schedule_event(vm, deadline.since(self.now), event);
                }
                self.advance_worker(worker);
                let outcome = if self.cut_calls.contains(&(vm, worker)) {
                    worker::lose(&envelope, self.now, deadline)
                } else {
                    self.workers[worker].execute(&mut envelope, self.now, deadline, &mut self.observer)
                };
                match outcome {
                    worker::Outcome::Event(event) if self.is_alive(vm, incarnation) => {
                        let call = self.vms[vm].processor.is_limited().then_some((envelope, deadline));
                        let input = Box::new(Waiting { call, ..Event::Work(event).into() });
                        let at = self.now + ONE_WAY_DELAY + self.lag;
                        self.schedule(at, Action::Event { vm, incarnation, input });
                    }
                    worker::Outcome::Wait => {
                        self.schedule(
                            self.now + POLL_INTERVAL,
                            Action::Order { vm, incarnation, worker, envelope, deadline },
                        );
                    }
                    worker::Outcome::Event(_) => {}
                }
            }
            Action::LoseAsk(ticket) => {
                let Some((vm, incarnation, from)) = self.config_requests.remove(&ticket) else { return };
                if self.is_alive(vm, incarnation) {
                    let event = WorkEvent::ConfigUpdated { from, result: Err(Fault::Lost), bytes: 0 };
                    self.schedule_event(vm, Duration::ZERO, Event::Work(event));
                }
            }
            Action::LateOrder { worker, mut envelope } => {
                let now = self.now;
                self.advance_worker(worker);
                self.workers[worker].execute(&mut envelope, now, now, &mut self.observer);
            }
            Action::Transfer { vm, incarnation, call, event } if self.is_alive(vm, incarnation) => {
                if !self.link.finish(vm, call, self.now) {
                    return self.schedule(
                        self.now + POLL_INTERVAL,
                        Action::Transfer { vm, incarnation, call, event },
                    );
                }
                self.schedule_event(vm, ONE_WAY_DELAY, *event);
            }
            Action::Event { .. } | Action::Serve { .. } | Action::Wake { .. } | Action::Transfer { .. } => {}
        }
    }

    fn is_alive(&self, vm: usize, incarnation: u64) -> bool {
        self.vms[vm].is_up && self.vms[vm].incarnation == incarnation
    }

    fn schedule_event(&mut self, vm: usize, delay: Duration, event: Event) {
        let incarnation = self.vms[vm].incarnation;
        let input = Box::new(event.into());
        let lag = self.lag + self.vm_lags.get(&vm).copied().unwrap_or_default();
        self.schedule(self.now + delay + lag, Action::Event { vm, incarnation, input });
    }

    fn schedule(&mut self, at: Instant, action: Action) {
        self.last_action += 1;
        self.queue.push(Reverse((at, self.last_action)));
        self.actions.insert(self.last_action, action);
    }
}

/// Size of the configurations in an answer of the store, in bytes as they are sent; the rest of an answer is small.
fn answer_bytes(reply: &Reply) -> usize {
    let config_bytes = |item: &Item| match item {
        Item::Config(config) => config.queues.len() * QUEUE_BYTES,
        _ => 0,
    };
    match reply {
        Reply::Page { items, .. } => items.iter().map(|(item, _)| config_bytes(item)).sum(),
        Reply::Changes { changes, .. } => changes
            .iter()
            .map(|change| match change {
                Change::Set(item, _) => config_bytes(item),
                Change::Removed(_) => 0,
            })
            .sum(),
        _ => 0,
    }
}

/// Configuration of the only queue.
pub fn config() -> Config {
    let queue = Queue {
        name: "jobs".into(),
        host: HOST.into(),
        prefix: PREFIX.into(),
        service: "desk".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        objective: Duration::from_secs(1),
    };
    let service = Service { name: "desk".into() };
    Config { version: 1, newest_until: 0, queues: vec![queue], services: vec![service] }
}

/// A step of `count` tasks that each need two cores and take one second.
pub fn step(count: u32) -> Step {
    Step {
        count,
        resources: Resources { cpu_millicores: 2_000, memory_mb: 1_000, gpu: 0 },
        estimate: Duration::from_secs(1),
        ..Step::default()
    }
}

/// A job with the given steps and no schedule.
pub fn job(steps: impl IntoIterator<Item = Step>) -> Spec {
    Spec { text: "work".into(), steps: steps.into_iter().collect(), schedule: None }
}
