//! Emulator of the users' platform in virtual time: a store, workers and entry VMs that schedule jobs.
//!
//! The reducers are the real ones. An observer counts broken promises from what the workers saw, never from the view of
//! the scheduler.

#![allow(dead_code)]

pub mod store;
pub mod worker;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use nutmegfold::core::effect::Effect;
use nutmegfold::core::event::{Event, Input};
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::config::{Config, Queue, Service};
use nutmegfold::core::work::effect::Effect as WorkEffect;
use nutmegfold::core::work::event::{Event as WorkEvent, Fault};
use nutmegfold::core::work::order::Order;
use nutmegfold::core::work::request::{self, Answer, Ticket, Verb};
use nutmegfold::core::work::spec::{Id, Resources, Spec, Step};
use nutmegfold::core::work::state::Identity;
use nutmegfold::core::work::store::{Call, Request};
use nutmegfold::core::work::tuning::Tuning;
use nutmegfold::core::{State, member, reduce, work};
use nutmegfold::declare::zone;
use nutmegfold::hash::{self, Map};

use store::Store;
use worker::{Observer, Worker};

/// One way between two processes.
const DELAY: Duration = Duration::from_millis(2);

/// How often a waiting call looks again.
const LOOK: Duration = Duration::from_millis(10);

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(800);

/// An order on its way to a worker.
#[derive(Debug, Clone)]
pub struct Parcel {
    pub fence: u64,
    pub order: Order,
    pub sent: Instant,
    /// Life of the worker that has read it; a crash breaks the connection.
    pub reader: Option<u64>,
}

#[derive(Debug)]
enum Action {
    Event { vm: usize, life: u64, event: Box<Event> },
    Wake { vm: usize, life: u64, at: Instant },
    Store { vm: usize, life: u64, call: Call, request: Request, until: Instant },
    Order { vm: usize, life: u64, worker: usize, parcel: Parcel, until: Instant },
}

/// An entry VM.
pub struct Vm {
    pub state: State,
    life: u64,
    is_up: bool,
    wake: Option<Instant>,
}

/// A whole deployment.
pub struct Emulator {
    pub now: Instant,
    pub store: Store,
    pub workers: Vec<Worker>,
    pub observer: Observer,
    pub answers: Map<Ticket, Answer>,
    /// Decisions of all entry VMs, for messages of failed tests.
    pub log: Vec<String>,
    /// Events reduced so far.
    pub events: u64,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    actions: Map<u64, Action>,
    last: u64,
    seed: u64,
    cpus: Vec<u32>,
}

/// Path of the one queue.
pub const PREFIX: &str = "/q/";

/// Host of the one queue.
pub const HOST: &str = "jobs.example";

impl Emulator {
    /// A deployment of `vms` entry VMs and `workers` workers with 8 cores each.
    pub fn new(seed: u64, vms: usize, workers: usize) -> Self {
        Self::with_cpus(seed, &vec![0; vms], workers)
    }

    /// The same with entry VMs of these processor times, in thousandths of a core.
    pub fn with_cpus(seed: u64, cpus: &[u32], workers: usize) -> Self {
        let mut emulator = Self {
            now: Instant(1_000_000),
            store: Store::new(config()),
            workers: (0..workers).map(Worker::new).collect(),
            observer: Observer::default(),
            answers: Map::default(),
            log: Vec::new(),
            events: 0,
            vms: Vec::new(),
            queue: BinaryHeap::new(),
            actions: Map::default(),
            last: 0,
            seed,
            cpus: cpus.to_vec(),
        };
        for worker in &emulator.workers {
            emulator.store.list_worker(worker);
        }
        for number in 0..cpus.len() {
            let state = emulator.fresh(number);
            emulator.vms.push(Vm { state, life: 0, is_up: true, wake: None });
            emulator.step(number, Event::Wake);
        }
        emulator
    }

    /// Processor time of an entry VM; unknown unless the test states it.
    fn cpu(&self, vm: usize) -> u32 {
        self.cpus.get(vm).copied().unwrap_or_default()
    }

    fn fresh(&mut self, vm: usize) -> State {
        let address = format!("10.0.0.{}:7000", vm + 1).parse().expect("address");
        let nonce = self.draw();
        let identity = Identity { vm: format!("vm-{vm}"), address, nonce, cpu_millicores: self.cpu(vm) };
        let me = member::Identity {
            id: member::Id(nonce),
            name: format!("vm-{vm}"),
            zone: zone::Id::of("z"),
            address,
            counter: 0,
        };
        State::with_work(me, work::State::new(identity, Tuning::default(), self.now), self.now)
    }

    /// Next pseudo-random number.
    pub fn draw(&mut self) -> u64 {
        self.seed = hash::numbers([self.seed, 0x9e37_79b9_7f4a_7c15]);
        self.seed
    }

    /// Runs for a while.
    pub fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            self.store.expire(self.now);
            for worker in &mut self.workers {
                worker.advance(self.now, &mut self.observer);
            }
            if let Some(action) = self.actions.remove(&number) {
                self.act(action);
            }
        }
        self.now = end;
    }

    /// Entry VM that leads, if one does.
    pub fn leader(&self) -> Option<usize> {
        let leads = |vm: &Vm| {
            let work = vm.state.work.as_ref().expect("it schedules jobs");
            vm.is_up && work.leadership.term() > 0 && work.load.is_none()
        };
        self.vms.iter().position(leads)
    }

    /// Kills an entry VM.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].is_up = false;
        self.vms[vm].life += 1;
    }

    /// Starts an entry VM that was killed.
    pub fn start(&mut self, vm: usize) {
        let state = self.fresh(vm);
        let life = self.vms[vm].life;
        self.vms[vm] = Vm { state, life, is_up: true, wake: None };
        self.step(vm, Event::Wake);
    }

    /// Whether an entry VM runs.
    pub fn is_up(&self, vm: usize) -> bool {
        self.vms[vm].is_up
    }

    /// Workers that placement has looked at in all entry VMs.
    pub fn visits(&self) -> u64 {
        self.vms.iter().map(|vm| vm.state.work.as_ref().expect("it schedules jobs").placement_visits).sum()
    }

    /// Lets the entry VMs choose workers by another policy.
    pub fn place_by(&mut self, policy: work::place::Policy) {
        for vm in &mut self.vms {
            vm.state.work.as_mut().expect("it schedules jobs").policy = policy;
        }
    }

    /// Lets a worker crash and start anew under its identity.
    pub fn restart_worker(&mut self, worker: usize) {
        self.workers[worker].restart(self.now, &mut self.observer);
        self.store.list_worker(&self.workers[worker]);
    }

    /// Asks an entry VM, as a caller does.
    pub fn ask(&mut self, vm: usize, path: &str, verb: Verb) -> Ticket {
        let ticket = Ticket(self.draw());
        let request =
            request::Request { host: HOST.into(), path: path.into(), verb, timeout: Duration::from_secs(3) };
        self.step(vm, Event::Work(WorkEvent::Request { ticket, request, is_forwarded: false }));
        ticket
    }

    /// Submits a job.
    pub fn submit(&mut self, vm: usize, id: u64, spec: Spec) -> Ticket {
        self.observer.submitted(Id(id), &spec);
        self.ask(vm, &format!("{PREFIX}{}", Id(id)), Verb::Submit(spec))
    }

    /// Answer to a question about a job, asked now.
    pub fn phase(&mut self, vm: usize, id: u64) -> Option<Answer> {
        let ticket = self.ask(vm, &format!("{PREFIX}{}", Id(id)), Verb::Read);
        self.run_for(Duration::from_millis(100));
        self.answers.get(&ticket).cloned()
    }

    fn step(&mut self, vm: usize, event: Event) {
        self.events += 1;
        let entropy = self.draw();
        let input = Input { at: self.now, unix_ms: self.now.0 / 1_000, entropy, event };
        let mut effects = Vec::new();
        reduce(&mut self.vms[vm].state, input, &mut effects);
        for effect in effects {
            self.perform(vm, effect);
        }
        let due = self.vms[vm].state.next_due();
        if let Some(due) = due.filter(|due| self.vms[vm].wake.is_none_or(|wake| wake > *due)) {
            self.vms[vm].wake = Some(due);
            let life = self.vms[vm].life;
            self.at(due.max(self.now), Action::Wake { vm, life, at: due });
        }
    }

    fn perform(&mut self, vm: usize, effect: Effect) {
        let life = self.vms[vm].life;
        match effect {
            Effect::Work(WorkEffect::Answer { ticket, answer }) => {
                self.answers.insert(ticket, answer);
            }
            Effect::Work(WorkEffect::Forward { ticket, to, request }) => {
                self.forward(vm, ticket, to, request)
            }
            Effect::Work(WorkEffect::Store { call, request }) => {
                let until = self.now + TIMEOUT;
                self.at(self.now + DELAY, Action::Store { vm, life, call, request, until });
            }
            Effect::Work(WorkEffect::Worker { id, fence, order, sent, .. }) => {
                let worker = self.workers.iter().position(|worker| worker.id == id).expect("known worker");
                let until = self.now + TIMEOUT;
                let parcel = Parcel { fence, order, sent, reader: None };
                self.at(self.now + DELAY, Action::Order { vm, life, worker, parcel, until });
            }
            Effect::Record(entry) => self.log.push(format!("{:?} vm-{vm} {entry:?}", self.now)),
            _ => {}
        }
    }

    /// The answer of the other VM is taken at once; a VM that is down refuses.
    fn forward(&mut self, vm: usize, ticket: Ticket, to: std::net::SocketAddr, request: request::Request) {
        let address = |vm: &Vm| vm.state.work.as_ref().expect("it schedules jobs").identity.address;
        let other = self.vms.iter().position(|vm| address(vm) == to).expect("known VM");
        if !self.vms[other].is_up {
            let event = WorkEvent::Forwarded { ticket, result: Err(Fault::Refused) };
            return self.event(vm, DELAY * 2, Event::Work(event));
        }
        self.step(other, Event::Work(WorkEvent::Request { ticket, request, is_forwarded: true }));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Event { vm, life, event } if self.is_alive(vm, life) => self.step(vm, *event),
            // An earlier one may have replaced it.
            Action::Wake { vm, life, at } if self.is_alive(vm, life) && self.vms[vm].wake == Some(at) => {
                self.vms[vm].wake = None;
                self.step(vm, Event::Wake);
            }
            Action::Store { vm, life, call, request, until } => {
                match self.store.execute(&request, self.now, until) {
                    store::Outcome::Reply(reply) if self.is_alive(vm, life) => {
                        self.event(vm, DELAY, Event::Work(WorkEvent::Store { call, reply }));
                    }
                    store::Outcome::Wait => {
                        self.at(self.now + LOOK, Action::Store { vm, life, call, request, until });
                    }
                    store::Outcome::Reply(_) => {}
                }
            }
            Action::Order { vm, life, worker, mut parcel, until } => {
                let outcome = self.workers[worker].take(&mut parcel, self.now, until, &mut self.observer);
                match outcome {
                    worker::Outcome::Event(event) if self.is_alive(vm, life) => {
                        self.event(vm, DELAY, Event::Work(event));
                    }
                    worker::Outcome::Wait => {
                        self.at(self.now + LOOK, Action::Order { vm, life, worker, parcel, until });
                    }
                    worker::Outcome::Event(_) => {}
                }
            }
            Action::Event { .. } | Action::Wake { .. } => {}
        }
    }

    fn is_alive(&self, vm: usize, life: u64) -> bool {
        self.vms[vm].is_up && self.vms[vm].life == life
    }

    fn event(&mut self, vm: usize, delay: Duration, event: Event) {
        let life = self.vms[vm].life;
        self.at(self.now + delay, Action::Event { vm, life, event: Box::new(event) });
    }

    fn at(&mut self, at: Instant, action: Action) {
        self.last += 1;
        self.queue.push(Reverse((at, self.last)));
        self.actions.insert(self.last, action);
    }
}

fn config() -> Config {
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
    Config { version: 1, queues: vec![queue], services: vec![service] }
}

/// A step of `count` tasks of two cores and one second.
pub fn step(count: u32) -> Step {
    Step {
        count,
        resources: Resources { cpu_millicores: 2_000, memory_mb: 1_000, gpu: 0 },
        estimate: Duration::from_secs(1),
        ..Step::default()
    }
}

/// A job with these steps.
pub fn job(steps: impl IntoIterator<Item = Step>) -> Spec {
    Spec { text: "work".into(), steps: steps.into_iter().collect(), schedule: None }
}
