//! Sessions in memory: real reducers with stand-in workers and a store, in virtual time.
//!
//! A session delivers the effects of each reducer as events to where they belong, after a delay or not at all. What is
//! cut off, and when, is a closure. The same seed gives the same session, event by event.

pub mod fault;
pub mod site;
pub mod store;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::admin::{Answer, Command, Ticket};
use crate::core::effect::Effect;
use crate::core::event::{Event, Input};
use crate::core::time::Instant;
use crate::core::tuning::Tuning;
use crate::core::{State, control, exchange, listing, member, peer, reduce, trace, worker};
use crate::declare::plan::Plan;
use crate::declare::zone;
use crate::hash::{self, Map};
use crate::standin::worker::{Poll, Service, Shared, Worker, profile::Profile};
use fault::Link;
use site::Site;
use store::Store;

/// An entry VM.
#[derive(Debug)]
pub struct Vm {
    /// Name in the VM list.
    pub name: String,
    /// Zone.
    pub zone: zone::Id,
    /// Address.
    pub address: SocketAddr,
    /// Its process; `None` while it is down.
    pub process: Option<State>,
    /// Number of the process's run; deliveries to an earlier one are dropped.
    run: u32,
    /// Deliveries wait until then, as for a process that the operating system does not schedule.
    paused_until: Instant,
    /// When the next wake-up is scheduled.
    wake: Option<Instant>,
}

/// A worker VM.
#[derive(Debug)]
pub struct Machine {
    /// The stand-in.
    pub worker: Worker,
    /// As the VM list names it.
    pub listed: listing::Vm,
    polls: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    poll: Poll,
    from: u16,
    run: u32,
    key: worker::Key,
    sequence: u64,
}

/// Something on its way.
#[derive(Debug)]
enum Delivery {
    Event { to: u16, run: u32, event: Box<Event> },
    Wake { to: u16, run: u32 },
    Store { from: u16, run: u32, call: crate::core::store::Call, request: crate::core::store::Request },
    Control { to: u16, from: u16, run: u32, key: worker::Key, call: control::Call },
    Machine { at: u16 },
    Execute { to: u16, from: u16, run: u32, send: exchange::Send },
    Executed { at: u16, from: u16, run: u32, send: exchange::Send, service: Service },
    List,
}

/// One line of the time line.
#[derive(Debug, Clone)]
pub struct Line {
    /// When.
    pub at: Instant,
    /// Name of the entry VM.
    pub vm: String,
    /// The entry.
    pub entry: trace::Entry,
}

/// Messages and calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Inputs reduced.
    pub inputs: u64,
    /// Messages between entry VMs.
    pub messages: u64,
    /// Calls of workers' control interfaces.
    pub controls: u64,
}

/// Reduces one input, as [`reduce`] does.
type Reducer = dyn FnMut(&mut State, Input, &mut Vec<Effect>);

/// A deployment in memory.
pub struct Session {
    /// Virtual time.
    pub now: Instant,
    /// Entry VMs.
    pub vms: Vec<Vm>,
    /// Worker VMs.
    pub machines: Vec<Machine>,
    /// The store.
    pub store: Store,
    /// Books of the stand-in workers.
    pub shared: Shared,
    /// Time line of all processes.
    pub lines: Vec<Line>,
    /// Messages and calls.
    pub counts: Counts,
    /// Verdicts on requests, by ticket.
    pub verdicts: Map<exchange::Ticket, exchange::Verdict>,
    /// Answers to operators, by ticket.
    pub answers: Map<Ticket, Answer>,
    /// What happens to something sent from one site to another.
    pub link: Box<dyn Fn(Instant, Site, Site) -> Link>,
    /// Called for every message between entry VMs, for measuring it.
    pub observe: Box<dyn FnMut(&peer::Message)>,
    /// Reduces every input; can be replaced by a function that measures around it.
    pub reducer: Box<Reducer>,
    queue: BinaryHeap<Reverse<(Instant, u64, Slot)>>,
    deliveries: Map<u64, Delivery>,
    sent: u64,
    seed: u64,
    requests: u64,
    tuning: Tuning,
}

/// Orders nothing by itself; deliveries are ordered by time and number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slot;

/// Interval between readings of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

impl Session {
    /// A deployment with the workers and entry VMs that a plan names, none of them configured yet.
    pub fn new(plan: &Plan, tuning: Tuning, seed: u64) -> Self {
        let mut session = Self {
            now: Instant(0),
            vms: Vec::new(),
            machines: Vec::new(),
            store: Store::default(),
            shared: Shared::default(),
            lines: Vec::new(),
            counts: Counts::default(),
            verdicts: Map::default(),
            answers: Map::default(),
            link: Box::new(fault::healthy),
            observe: Box::new(|_| {}),
            reducer: Box::new(reduce),
            queue: BinaryHeap::new(),
            deliveries: Map::default(),
            sent: 0,
            seed,
            requests: 0,
            tuning,
        };
        session.add_machines(plan);
        for zone in &plan.zones {
            for number in 0..zone.entry_vms {
                session.add_vm(format!("{}-entry-{number}", zone.name), zone.id);
            }
        }
        session.deliver(Duration::ZERO, Delivery::List);
        session
    }

    fn add_machines(&mut self, plan: &Plan) {
        for pool in &plan.pools {
            for number in 0..pool.count {
                let name = format!("{}-{number}", pool.name);
                let at = self.machines.len() as u16;
                let profile = Profile {
                    capacity: pool.size,
                    connections: u32::from(pool.connections),
                    clock_ms: 1 + hash::name(&name) % 1_000_000,
                    ..Profile::new(&name)
                };
                let listed = listing::Vm {
                    name,
                    instance: 1,
                    kind: listing::Kind::Worker,
                    zone: plan.zones[usize::from(pool.zone.0)].id,
                    rack: pool.racks[number as usize % pool.racks.len()].clone(),
                    pool: pool.name.clone(),
                    address: site::worker_address(at),
                    leaving: false,
                };
                let worker = Worker::new(profile, self.shared.clone());
                self.machines.push(Machine { worker, listed, polls: Vec::new() });
            }
        }
    }

    fn add_vm(&mut self, name: String, zone: zone::Id) {
        let at = self.vms.len() as u16;
        let address = site::entry_address(at);
        let vm = Vm { name, zone, address, process: None, run: 0, paused_until: Instant(0), wake: None };
        self.vms.push(vm);
        self.start(at);
    }

    /// Starts a process on an entry VM, in place of one that may run there.
    pub fn start(&mut self, at: u16) {
        let (now, entropy, tuning) = (self.now, self.draw(), self.tuning);
        let vm = &mut self.vms[usize::from(at)];
        vm.run += 1;
        let id = member::Id::fresh(u64::from(vm.run), entropy);
        let (name, zone, address) = (vm.name.clone(), vm.zone, vm.address);
        // The run counts in place of the time of day, which a session does not have.
        let beat = 0;
        let me = member::Identity { id, name, zone, address, beat };
        vm.process = Some(State::new(me, tuning, now));
        vm.wake = None;
        vm.paused_until = now;
        self.schedule_wake(at);
    }

    /// Ends a process at once.
    pub fn kill(&mut self, at: u16) {
        let vm = &mut self.vms[usize::from(at)];
        vm.process = None;
        vm.run += 1;
    }

    /// Holds a process for a while: what is sent to it waits.
    pub fn pause(&mut self, at: u16, span: Duration) {
        let now = self.now;
        self.vms[usize::from(at)].paused_until = now + span;
    }

    /// Ends a worker VM and lists a new instance under its name.
    pub fn replace_machine(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let machine = &mut self.machines[usize::from(at)];
        machine.listed.instance = machine.worker.restart(now_ms);
        machine.polls.clear();
    }

    /// Sends a request to an entry VM; its verdict appears in `verdicts`.
    pub fn request(&mut self, to: u16, service: &str, path: &str) -> exchange::Ticket {
        self.requests += 1;
        let ticket = exchange::Ticket(self.requests);
        let request = exchange::Request {
            ticket,
            id: exchange::Id(0),
            service: service.to_owned(),
            path: path.to_owned(),
            timeout: None,
            bytes: 200,
            forwarded: false,
        };
        self.event(to, Duration::from_millis(1), Event::Request(request));
        ticket
    }

    /// Sends an operator's command to an entry VM; its answer appears in `answers`.
    pub fn command(&mut self, to: u16, command: Command) -> Ticket {
        self.requests += 1;
        let ticket = Ticket(self.requests);
        self.event(to, Duration::from_millis(1), Event::Admin { ticket, command });
        ticket
    }

    /// Asks a process to stop gracefully.
    pub fn stop(&mut self, to: u16) {
        self.event(to, Duration::ZERO, Event::Stop);
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, number, _))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(at);
            if let Some(delivery) = self.deliveries.remove(&number) {
                self.handle(delivery);
            }
        }
        self.now = self.now.max(end);
    }

    /// Runs for `span`.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn draw(&mut self) -> u64 {
        self.seed = hash::numbers([self.seed, 1]);
        self.seed
    }

    fn deliver(&mut self, delay: Duration, delivery: Delivery) {
        self.sent += 1;
        self.queue.push(Reverse((self.now + delay, self.sent, Slot)));
        self.deliveries.insert(self.sent, delivery);
    }

    fn event(&mut self, to: u16, delay: Duration, event: Event) {
        let run = self.vms[usize::from(to)].run;
        self.deliver(delay, Delivery::Event { to, run, event: Box::new(event) });
    }

    fn schedule_wake(&mut self, at: u16) {
        let now = self.now;
        let vm = &mut self.vms[usize::from(at)];
        let Some(due) = vm.process.as_ref().and_then(State::next_due) else { return };
        let due = due.max(now);
        if vm.wake.is_some_and(|wake| wake <= due && wake >= now) {
            return;
        }
        vm.wake = Some(due);
        let run = vm.run;
        self.deliver(due.since(now), Delivery::Wake { to: at, run });
    }

    /// Whether a delivery has to wait for a paused process.
    fn is_paused(&self, at: u16) -> Option<Duration> {
        let until = self.vms[usize::from(at)].paused_until;
        (until > self.now).then(|| until.since(self.now))
    }

    fn handle(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event { to, run, event } => {
                if let Some(wait) = self.is_paused(to) {
                    self.deliver(wait, Delivery::Event { to, run, event });
                } else {
                    self.reduce(to, run, *event);
                }
            }
            Delivery::Wake { to, run } => {
                if let Some(wait) = self.is_paused(to) {
                    self.deliver(wait, Delivery::Wake { to, run });
                } else {
                    self.vms[usize::from(to)].wake = None;
                    self.reduce(to, run, Event::Wake);
                }
            }
            Delivery::Store { from, run, call, request } => self.call_store(from, run, call, request),
            Delivery::Control { to, from, run, key, call } => self.control(to, from, run, key, call),
            Delivery::Machine { at } => self.tend(at),
            Delivery::Execute { to, from, run, send } => self.execute(to, from, run, send),
            Delivery::Executed { at, from, run, send, service } => {
                self.executed(at, from, run, &send, service);
            }
            Delivery::List => self.publish_list(),
        }
    }

    fn reduce(&mut self, at: u16, run: u32, event: Event) {
        let input = Input { at: self.now, entropy: self.draw(), event };
        let vm = &mut self.vms[usize::from(at)];
        if vm.run != run {
            return;
        }
        let Some(state) = &mut vm.process else { return };
        let mut effects = Vec::new();
        (self.reducer)(state, input, &mut effects);
        self.counts.inputs += 1;
        for effect in effects {
            self.perform(at, effect);
        }
        self.schedule_wake(at);
    }

    fn perform(&mut self, at: u16, effect: Effect) {
        let run = self.vms[usize::from(at)].run;
        match effect {
            Effect::Record(entry) => {
                let line = Line { at: self.now, vm: self.vms[usize::from(at)].name.clone(), entry };
                self.lines.push(line);
            }
            Effect::Peer { to, message } => self.send_peer(at, to, message),
            Effect::Store { call, request } => self.send_store(at, run, call, request),
            Effect::Worker { worker, address, call, .. } => self.send_control(at, run, worker, address, call),
            Effect::Send(send) => self.send_request(at, run, send),
            Effect::Forward(forward) => {
                // Requests of a session are sent to the zone that serves them, so a forward finds nobody.
                let exchange::Forward { exchange, attempt, .. } = forward;
                let outcome = exchange::Outcome::NotWritten;
                self.event(at, fault::DELAY, Event::Attempt { exchange, attempt, outcome });
            }
            Effect::Reply { ticket, verdict } => {
                self.verdicts.insert(ticket, verdict);
            }
            Effect::Admin { ticket, answer } => {
                self.answers.insert(ticket, answer);
            }
            Effect::Exit => self.kill(at),
            Effect::Ready(_) | Effect::StopListening => {}
        }
    }

    fn send_peer(&mut self, at: u16, to: SocketAddr, message: peer::Message) {
        self.counts.messages += 1;
        (self.observe)(&message);
        let Some(to) = site::entry_of(to) else { return };
        let Some(state) = &self.vms[usize::from(at)].process else { return };
        let (from, address) = (state.me.id, state.me.address);
        let Link::Deliver(delay) = (self.link)(self.now, Site::Entry(at), Site::Entry(to)) else { return };
        self.event(to, delay, Event::Parcel { from, address, message });
    }

    fn send_store(
        &mut self,
        at: u16,
        run: u32,
        call: crate::core::store::Call,
        request: crate::core::store::Request,
    ) {
        use crate::core::store::Reply;
        match (self.link)(self.now, Site::Entry(at), Site::Store) {
            Link::Deliver(delay) => {
                self.deliver(delay, Delivery::Store { from: at, run, call, request });
            }
            Link::Refuse => self.event(at, fault::DELAY, Event::Store { call, reply: Reply::Refused }),
            Link::Drop => {
                let timeout = self.tuning.call_timeout;
                self.event(at, timeout, Event::Store { call, reply: Reply::Unknown });
            }
        }
    }

    fn call_store(
        &mut self,
        from: u16,
        run: u32,
        call: crate::core::store::Call,
        request: crate::core::store::Request,
    ) {
        use crate::core::store::Reply;
        let reply = self.store.execute(request);
        let (delay, reply) = match (self.link)(self.now, Site::Store, Site::Entry(from)) {
            Link::Deliver(delay) => (delay, reply),
            Link::Refuse | Link::Drop => (self.tuning.call_timeout, Reply::Unknown),
        };
        let event = Box::new(Event::Store { call, reply });
        self.deliver(delay, Delivery::Event { to: from, run, event });
    }

    fn send_control(
        &mut self,
        at: u16,
        run: u32,
        key: worker::Key,
        address: SocketAddr,
        call: control::Call,
    ) {
        self.counts.controls += 1;
        let Some(to) = site::worker_of(address) else { return };
        match (self.link)(self.now, Site::Entry(at), Site::Worker(to)) {
            Link::Deliver(delay) => {
                self.deliver(delay, Delivery::Control { to, from: at, run, key, call });
            }
            Link::Refuse | Link::Drop => self.lose_control(at, run, key, call.sequence),
        }
    }

    fn lose_control(&mut self, at: u16, run: u32, worker: worker::Key, sequence: u64) {
        let event = Event::Worker { worker, sequence, reply: None, unsent: false };
        let timeout = self.tuning.call_timeout;
        self.deliver(timeout, Delivery::Event { to: at, run, event: Box::new(event) });
    }

    fn control(&mut self, to: u16, from: u16, run: u32, key: worker::Key, call: control::Call) {
        let now_ms = self.now.0 / 1000;
        let sequence = call.sequence;
        let machine = &mut self.machines[usize::from(to)];
        if machine.worker.mode.frozen {
            return self.lose_control(from, run, key, sequence);
        }
        let poll = machine.worker.control(call, now_ms);
        machine.polls.push(Waiting { poll, from, run, key, sequence });
        self.tend(to);
    }

    /// Answers the calls of a worker that are due, and looks again when the next one is.
    fn tend(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let machine = &mut self.machines[usize::from(at)];
        machine.worker.advance(now_ms);
        let mut replies = Vec::new();
        machine.polls.retain(|waiting| {
            if !machine.worker.is_due(&waiting.poll, now_ms) {
                return true;
            }
            let reply = machine.worker.reply(&waiting.poll, now_ms);
            replies.push((waiting.from, waiting.run, waiting.key, waiting.sequence, reply));
            false
        });
        let due = machine.polls.iter().map(|waiting| waiting.poll.due_ms()).min();
        let change = machine.worker.next_due().filter(|_| !machine.polls.is_empty());
        for (from, run, worker, sequence, reply) in replies {
            self.reply_control(at, from, run, worker, sequence, reply);
        }
        if let Some(next) = due.into_iter().chain(change).min() {
            let wait = Duration::from_millis(next.saturating_sub(now_ms).max(1));
            self.deliver(wait, Delivery::Machine { at });
        }
    }

    fn reply_control(
        &mut self,
        at: u16,
        from: u16,
        run: u32,
        worker: worker::Key,
        sequence: u64,
        reply: Option<control::Reply>,
    ) {
        let Link::Deliver(delay) = (self.link)(self.now, Site::Worker(at), Site::Entry(from)) else {
            return self.lose_control(from, run, worker, sequence);
        };
        let event = Event::Worker { worker, sequence, reply, unsent: false };
        self.deliver(delay, Delivery::Event { to: from, run, event: Box::new(event) });
    }

    fn send_request(&mut self, at: u16, run: u32, send: exchange::Send) {
        let Some(to) = site::worker_of(send.address) else { return };
        match (self.link)(self.now, Site::Entry(at), Site::Worker(to)) {
            Link::Deliver(delay) => self.deliver(delay, Delivery::Execute { to, from: at, run, send }),
            Link::Refuse => self.end_attempt(at, run, &send, fault::DELAY, exchange::Outcome::NotWritten),
            Link::Drop => self.end_attempt(at, run, &send, send.timeout, exchange::Outcome::Lost),
        }
    }

    fn execute(&mut self, to: u16, from: u16, run: u32, send: exchange::Send) {
        let now_ms = self.now.0 / 1000;
        let worker = &mut self.machines[usize::from(to)].worker;
        if worker.mode.frozen {
            return self.end_attempt(from, run, &send, send.timeout, exchange::Outcome::Lost);
        }
        match worker.admit(send.run, None, now_ms) {
            Some(service) => {
                let takes = Duration::from_millis(service.takes_ms);
                self.deliver(takes, Delivery::Executed { at: to, from, run, send, service });
            }
            None => self.end_attempt(from, run, &send, fault::DELAY, exchange::Outcome::Refused),
        }
    }

    fn executed(&mut self, at: u16, from: u16, run: u32, send: &exchange::Send, service: Service) {
        let now_ms = self.now.0 / 1000;
        let is_answered = self.machines[usize::from(at)].worker.complete(service, now_ms);
        let link = (self.link)(self.now, Site::Worker(at), Site::Entry(from));
        match link {
            Link::Deliver(delay) if is_answered => {
                let outcome = exchange::Outcome::Answered { status: 200, bytes: 100 };
                self.end_attempt(from, run, send, delay, outcome);
            }
            _ => self.end_attempt(from, run, send, send.timeout, exchange::Outcome::Lost),
        }
    }

    fn end_attempt(
        &mut self,
        to: u16,
        run: u32,
        send: &exchange::Send,
        delay: Duration,
        outcome: exchange::Outcome,
    ) {
        let event = Event::Attempt { exchange: send.exchange, attempt: send.attempt, outcome };
        self.deliver(delay, Delivery::Event { to, run, event: Box::new(event) });
    }

    fn publish_list(&mut self) {
        let entries = self.vms.iter().map(|vm| listing::Vm {
            name: vm.name.clone(),
            instance: 1,
            kind: listing::Kind::Entry,
            zone: vm.zone,
            rack: String::new(),
            pool: String::new(),
            address: vm.address,
            leaving: false,
        });
        let list: Vec<listing::Vm> =
            entries.chain(self.machines.iter().map(|machine| machine.listed.clone())).collect();
        for at in 0..self.vms.len() as u16 {
            if let Link::Deliver(delay) = (self.link)(self.now, Site::List, Site::Entry(at)) {
                self.event(at, delay, Event::Listing(list.clone()));
            }
        }
        self.deliver(LIST_INTERVAL, Delivery::List);
    }
}
