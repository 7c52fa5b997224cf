//! Sessions in memory: real reducers with stand-in workers and a store, in virtual time.
//!
//! A session delivers the effects of each reducer as events to where they belong, after a delay or not at all. What is
//! cut off, and when, is a closure; what else happens to VMs is a list of actions. The same seed gives the same session,
//! event by event.

pub mod check;
pub mod fault;
pub mod ledger;
pub mod schedule;
pub mod script;
pub mod site;
pub mod store;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
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
use crate::standin::worker::{Execution, Poll, Shared, Worker, profile::Profile};
use fault::Link;
use ledger::{Ledger, Relay};
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
    /// The process pauses for this time between its next reduction and the execution of the effects.
    stall: Option<Duration>,
    /// Whether new requests are accepted.
    is_listening: bool,
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
    /// Whether the VM list names it.
    pub is_listed: bool,
    /// Whether the VM is stopped.
    pub is_off: bool,
    polls: Vec<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    poll: Poll,
    from: u16,
    token: Token,
    key: worker::Key,
    sequence: u64,
}

/// Names a call whose outcome its port has not reported yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Token(u64);

/// Something on its way.
#[derive(Debug)]
enum Delivery {
    Event {
        to: u16,
        run: u32,
        event: Box<Event>,
    },
    Wake {
        to: u16,
        run: u32,
    },
    Perform {
        at: u16,
        run: u32,
        effect: Box<Effect>,
    },
    /// The outcome of a call, or its time-out; the first one counts.
    Outcome {
        token: Token,
        event: Box<Event>,
    },
    Store {
        from: u16,
        token: Token,
        call: crate::core::store::Call,
        request: crate::core::store::Request,
    },
    Control {
        to: u16,
        from: u16,
        token: Token,
        key: worker::Key,
        call: control::Call,
    },
    Machine {
        at: u16,
    },
    Execute {
        to: u16,
        from: u16,
        token: Token,
        send: exchange::Send,
    },
    Executed {
        at: u16,
        from: u16,
        token: Token,
        send: exchange::Send,
        execution: Execution,
    },
    List,
    Act(script::Action),
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
    /// Completions of requests, by ticket.
    pub completions: Map<exchange::Ticket, exchange::Completion>,
    /// Answers to operators, by ticket.
    pub answers: Map<Ticket, Answer>,
    /// What happens to something sent from one site to another.
    pub link: Box<dyn Fn(Instant, Site, Site) -> Link>,
    /// Called for every message between entry VMs, for measuring it.
    pub observe: Box<dyn FnMut(&peer::Message)>,
    /// What callers and operators asked, and which promises to them were broken.
    pub ledger: Ledger,
    /// The VM list is read as it was up to this time ago, another time for each reading.
    pub list_lag: Duration,
    lists: VecDeque<Vec<listing::Vm>>,
    calls: Map<Token, (u16, u32)>,
    plan: Plan,
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

/// Readings of the VM list that are kept; the list lags by up to a minute.
const LISTS: usize = 61;

/// Time of a request alone on a worker, long enough that connections are in use at the same time.
const SERVICE_MS: u64 = 50;

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
            completions: Map::default(),
            answers: Map::default(),
            link: Box::new(fault::healthy),
            observe: Box::new(|_| {}),
            ledger: Ledger::default(),
            list_lag: Duration::ZERO,
            lists: VecDeque::new(),
            calls: Map::default(),
            plan: plan.clone(),
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
                    max_connections: u32::from(pool.connections),
                    clock_start_ms: 1 + hash::name(&name) % 1_000_000,
                    request_duration_ms: SERVICE_MS,
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
                self.machines.push(Machine {
                    worker,
                    listed,
                    is_listed: true,
                    is_off: false,
                    polls: Vec::new(),
                });
            }
        }
    }

    fn add_vm(&mut self, name: String, zone: zone::Id) {
        let at = self.vms.len() as u16;
        let address = site::entry_address(at);
        let vm = Vm {
            name,
            zone,
            address,
            process: None,
            run: 0,
            paused_until: Instant(0),
            stall: None,
            is_listening: true,
            wake: None,
        };
        self.vms.push(vm);
        self.start(at);
    }

    /// Starts a process on an entry VM, in place of one that may run there.
    pub fn start(&mut self, at: u16) {
        self.kill(at);
        let (now, entropy, tuning) = (self.now, self.draw(), self.tuning);
        let vm = &mut self.vms[usize::from(at)];
        let id = member::Id::generate(u64::from(vm.run), entropy);
        let (name, zone, address) = (vm.name.clone(), vm.zone, vm.address);
        // The run counts in place of the time of day, which a session does not have.
        let counter = 0;
        let me = member::Identity { id, name, zone, address, counter };
        vm.process = Some(State::new(me, tuning, now));
        vm.wake = None;
        vm.paused_until = now;
        vm.stall = None;
        vm.is_listening = true;
        self.schedule_wake(at);
    }

    /// Ends a process at once; its callers see their connections close.
    pub fn kill(&mut self, at: u16) {
        self.ledger.excuse_all(at, &self.completions);
        self.end(at);
    }

    fn end(&mut self, at: u16) {
        let vm = &mut self.vms[usize::from(at)];
        vm.process = None;
        vm.run += 1;
    }

    /// Holds a process for a while: what is sent to it waits.
    pub fn pause(&mut self, at: u16, span: Duration) {
        let now = self.now;
        self.vms[usize::from(at)].paused_until = now + span;
    }

    /// Pauses a process for a while between its next reduction and the execution of the effects.
    pub fn stall(&mut self, at: u16, span: Duration) {
        self.vms[usize::from(at)].stall = Some(span);
    }

    /// Ends a worker VM and lists a new instance under its name.
    pub fn replace_machine(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let machine = &mut self.machines[usize::from(at)];
        machine.listed.instance = machine.worker.restart(now_ms);
        machine.listed.leaving = false;
        machine.is_listed = true;
        machine.is_off = false;
        self.tend(at);
    }

    /// Sends a request to an entry VM; its completion appears in `completions`.
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
        let declared = self.plan.services.iter().find(|declared| declared.name == service);
        let once = declared.is_some_and(|declared| !declared.is_idempotent(path));
        self.ledger.ask(ticket, ledger::Asked { to, origin: ticket, request: request.clone(), once });
        self.event(to, Duration::from_millis(1), Event::Request(request));
        ticket
    }

    /// Sends an operator's command to an entry VM; its answer appears in `answers`.
    pub fn command(&mut self, to: u16, command: Command) -> Ticket {
        self.requests += 1;
        let ticket = Ticket(self.requests);
        self.ledger.command(ticket, &command);
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

    fn schedule_action(&mut self, at: Instant, action: script::Action) {
        self.deliver(at.since(self.now), Delivery::Act(action));
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
            Delivery::Event { to, run, event } => self.receive(to, run, event),
            Delivery::Wake { to, run } => {
                if let Some(wait) = self.is_paused(to) {
                    self.deliver(wait, Delivery::Wake { to, run });
                } else {
                    self.vms[usize::from(to)].wake = None;
                    self.reduce(to, run, Event::Wake);
                }
            }
            Delivery::Perform { at, run, effect } => {
                if self.vms[usize::from(at)].run == run {
                    self.perform(at, *effect);
                }
            }
            Delivery::Outcome { token, event } => {
                if let Some((to, run)) = self.calls.remove(&token) {
                    self.receive(to, run, event);
                }
            }
            Delivery::Store { from, token, call, request } => self.call_store(from, token, call, request),
            Delivery::Control { to, from, token, key, call } => self.control(to, from, token, key, call),
            Delivery::Machine { at } => self.tend(at),
            Delivery::Execute { to, from, token, send } => self.execute(to, from, token, send),
            Delivery::Executed { at, from, token, send, execution } => {
                self.executed(at, from, token, &send, execution);
            }
            Delivery::List => self.publish_list(),
            Delivery::Act(action) => self.act(action),
        }
    }

    fn receive(&mut self, to: u16, run: u32, event: Box<Event>) {
        if let Some(wait) = self.is_paused(to) {
            return self.deliver(wait, Delivery::Event { to, run, event });
        }
        let vm = &self.vms[usize::from(to)];
        if let Event::Request(request) = &*event
            && (vm.run != run || vm.process.is_none() || !vm.is_listening)
        {
            return self.refuse_connection(request.ticket);
        }
        self.reduce(to, run, *event);
    }

    fn reduce(&mut self, at: u16, run: u32, event: Event) {
        let input = Input { at: self.now, unix_ms: self.now.0 / 1_000, entropy: self.draw(), event };
        let vm = &mut self.vms[usize::from(at)];
        if vm.run != run {
            return;
        }
        let Some(state) = &mut vm.process else { return };
        let version = state.config.index.version;
        let mut effects = Vec::new();
        (self.reducer)(state, input, &mut effects);
        if state.config.index.version < version {
            self.ledger.fault(format!("{} went back from version {version}", vm.name));
        }
        self.counts.inputs += 1;
        let is_held = effects.iter().any(|effect| !matches!(effect, Effect::Record(_)));
        if let Some(span) = vm.stall.take_if(|_| is_held) {
            vm.paused_until = vm.paused_until.max(self.now + span);
            for effect in effects {
                self.deliver(span, Delivery::Perform { at, run, effect: Box::new(effect) });
            }
        } else {
            effects.into_iter().for_each(|effect| self.perform(at, effect));
        }
        self.schedule_wake(at);
    }

    fn perform(&mut self, at: u16, effect: Effect) {
        match effect {
            Effect::Record(entry) => {
                let line = Line { at: self.now, vm: self.vms[usize::from(at)].name.clone(), entry };
                self.lines.push(line);
            }
            Effect::Peer { to, message } => self.send_peer(at, to, message),
            Effect::Store { call, request } => self.send_store(at, call, request),
            Effect::Worker { worker, address, call, not_after } => {
                self.send_control(at, worker, address, call, not_after);
            }
            Effect::Send(send) => self.send_request(at, send),
            Effect::Forward(forward) => self.forward(at, &forward),
            Effect::Reply { ticket, completion } => self.conclude(ticket, completion),
            Effect::Admin { ticket, answer } => {
                self.answers.insert(ticket, answer);
            }
            Effect::Exit => self.end(at),
            Effect::StopListening => self.vms[usize::from(at)].is_listening = false,
            // Sessions have declared work only.
            Effect::Ready(_) | Effect::Work(_) => {}
        }
    }

    /// Begins a call whose port reports `late` after `timeout` unless an outcome comes first.
    fn begin(&mut self, at: u16, timeout: Duration, late: Event) -> Token {
        let token = Token(self.sent);
        self.calls.insert(token, (at, self.vms[usize::from(at)].run));
        self.deliver(timeout, Delivery::Outcome { token, event: Box::new(late) });
        token
    }

    fn outcome(&mut self, token: Token, delay: Duration, event: Event) {
        self.deliver(delay, Delivery::Outcome { token, event: Box::new(event) });
    }

    /// Hands a request to another entry VM, under a new ticket.
    fn forward(&mut self, at: u16, forward: &exchange::Forward) {
        let exchange::Forward { exchange, attempt, ticket, id, address, timeout } = *forward;
        let Some(to) = site::entry_of(address) else { return };
        let late = Event::Attempt { exchange, attempt, outcome: exchange::Outcome::Lost };
        let token = self.begin(at, timeout, late);
        let Some(asked) = self.ledger.asked(ticket).cloned() else { return };
        self.requests += 1;
        let inner = exchange::Ticket(self.requests);
        let request = exchange::Request {
            ticket: inner,
            id,
            timeout: Some(timeout),
            forwarded: true,
            ..asked.request.clone()
        };
        self.ledger.relay(inner, Relay { token, back: (to, at), outer: ticket, exchange, attempt });
        self.ledger.ask(inner, ledger::Asked { to, request: request.clone(), ..asked });
        match (self.link)(self.now, Site::Entry(at), Site::Entry(to)) {
            Link::Deliver(delay) => self.event(to, delay, Event::Request(request)),
            Link::Refuse => self.refuse_connection(inner),
            Link::Drop => self.ledger.excuse(inner),
        }
    }

    /// Nothing was written to a process that does not listen.
    fn refuse_connection(&mut self, ticket: exchange::Ticket) {
        self.ledger.excuse(ticket);
        let Some(relay) = self.ledger.relayed(ticket) else { return };
        let outcome = exchange::Outcome::NotWritten;
        let event = Event::Attempt { exchange: relay.exchange, attempt: relay.attempt, outcome };
        self.outcome(relay.token, fault::DELAY, event);
    }

    /// A caller, or the entry VM that forwarded the request, gets a completion.
    fn conclude(&mut self, ticket: exchange::Ticket, completion: exchange::Completion) {
        use exchange::{Completion, Outcome};
        self.ledger.concluded(ticket, completion, self.completions.insert(ticket, completion));
        let Some(relay) = self.ledger.relayed(ticket) else { return };
        let (from, to) = relay.back;
        let outcome = match completion {
            Completion::Deliver { .. } => Outcome::Answered { status: 200, bytes: 100 },
            Completion::NotRun { .. } => Outcome::Refused,
            Completion::Unknown => Outcome::Lost,
        };
        if let Link::Deliver(delay) = (self.link)(self.now, Site::Entry(from), Site::Entry(to)) {
            if let Completion::Deliver { .. } = completion {
                self.ledger.answered(relay.outer, relay.attempt);
            }
            let event = Event::Attempt { exchange: relay.exchange, attempt: relay.attempt, outcome };
            self.outcome(relay.token, delay, event);
        }
    }

    fn send_peer(&mut self, at: u16, to: SocketAddr, message: peer::Message) {
        self.counts.messages += 1;
        (self.observe)(&message);
        let Some(to) = site::entry_of(to) else { return };
        let Some(state) = &self.vms[usize::from(at)].process else { return };
        let (from, address) = (state.me.id, state.me.address);
        let Link::Deliver(delay) = (self.link)(self.now, Site::Entry(at), Site::Entry(to)) else { return };
        self.event(to, delay, Event::Peer { from, address, message });
    }

    fn send_store(&mut self, at: u16, call: crate::core::store::Call, request: crate::core::store::Request) {
        use crate::core::store::Reply;
        let token = self.begin(at, self.tuning.call_timeout, Event::Store { call, reply: Reply::Unknown });
        match (self.link)(self.now, Site::Entry(at), Site::Store) {
            Link::Deliver(delay) => self.deliver(delay, Delivery::Store { from: at, token, call, request }),
            Link::Refuse => self.outcome(token, fault::DELAY, Event::Store { call, reply: Reply::Refused }),
            Link::Drop => {}
        }
    }

    fn call_store(
        &mut self,
        from: u16,
        token: Token,
        call: crate::core::store::Call,
        request: crate::core::store::Request,
    ) {
        let reply = self.store.execute(request);
        if let Link::Deliver(delay) = (self.link)(self.now, Site::Store, Site::Entry(from)) {
            self.outcome(token, delay, Event::Store { call, reply });
        }
    }

    fn send_control(
        &mut self,
        at: u16,
        worker: worker::Key,
        address: SocketAddr,
        call: control::Call,
        not_after: Instant,
    ) {
        self.counts.controls += 1;
        let sequence = call.sequence;
        let lost = |is_unsent| Event::Worker { worker, sequence, reply: None, is_unsent };
        let timeout = self.tuning.call_timeout + Duration::from_millis(call.wait_ms);
        let token = self.begin(at, timeout, lost(false));
        let Some(to) = site::worker_of(address).filter(|_| self.now <= not_after) else {
            return self.outcome(token, fault::DELAY, lost(true));
        };
        match (self.link)(self.now, Site::Entry(at), Site::Worker(to)) {
            Link::Deliver(delay) => {
                self.deliver(delay, Delivery::Control { to, from: at, token, key: worker, call });
            }
            Link::Refuse => self.outcome(token, fault::DELAY, lost(true)),
            Link::Drop => {}
        }
    }

    fn control(&mut self, to: u16, from: u16, token: Token, key: worker::Key, call: control::Call) {
        let now_ms = self.now.0 / 1000;
        let sequence = call.sequence;
        let machine = &mut self.machines[usize::from(to)];
        if machine.worker.faults.is_frozen {
            return;
        }
        let poll = machine.worker.handle_call(call, now_ms);
        machine.polls.push(Waiting { poll, from, token, key, sequence });
        self.tend(to);
    }

    /// Answers the calls of a worker that are due, and looks again when the next one is.
    fn tend(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let machine = &mut self.machines[usize::from(at)];
        machine.worker.advance(now_ms);
        if machine.worker.faults.is_frozen {
            return;
        }
        let mut replies = Vec::new();
        machine.polls.retain(|waiting| {
            if !machine.worker.is_reply_due(&waiting.poll, now_ms) {
                return true;
            }
            let reply = machine.worker.reply(&waiting.poll, now_ms);
            let event =
                Event::Worker { worker: waiting.key, sequence: waiting.sequence, reply, is_unsent: false };
            replies.push((waiting.from, waiting.token, event));
            false
        });
        let due = machine.polls.iter().map(|waiting| waiting.poll.deadline_ms()).min();
        let change = machine.worker.next_change_ms().filter(|_| !machine.polls.is_empty());
        for (from, token, event) in replies {
            if let Link::Deliver(delay) = (self.link)(self.now, Site::Worker(at), Site::Entry(from)) {
                self.outcome(token, delay, event);
            }
        }
        if let Some(next) = due.into_iter().chain(change).min() {
            let wait = Duration::from_millis(next.saturating_sub(now_ms).max(1));
            self.deliver(wait, Delivery::Machine { at });
        }
    }

    fn send_request(&mut self, at: u16, send: exchange::Send) {
        use exchange::Outcome;
        let Some(to) = site::worker_of(send.address) else { return };
        let token = self.begin(at, send.timeout, ended(&send, Outcome::Lost));
        if self.now > send.not_after {
            return self.outcome(token, fault::DELAY, ended(&send, Outcome::NotWritten));
        }
        match (self.link)(self.now, Site::Entry(at), Site::Worker(to)) {
            Link::Deliver(delay) => self.deliver(delay, Delivery::Execute { to, from: at, token, send }),
            Link::Refuse => self.outcome(token, fault::DELAY, ended(&send, Outcome::NotWritten)),
            Link::Drop => {}
        }
    }

    fn execute(&mut self, to: u16, from: u16, token: Token, send: exchange::Send) {
        let now_ms = self.now.0 / 1000;
        let machine = &mut self.machines[usize::from(to)];
        if machine.worker.faults.is_frozen {
            return;
        }
        let once = self.ledger.once(send.ticket);
        match machine.worker.admit(send.run, once.as_deref(), now_ms) {
            Some(execution) => {
                self.ledger.executed(send.ticket);
                let takes = Duration::from_millis(execution.duration_ms);
                self.deliver(takes, Delivery::Executed { at: to, from, token, send, execution });
            }
            None => {
                if let Link::Deliver(delay) = (self.link)(self.now, Site::Worker(to), Site::Entry(from)) {
                    self.outcome(token, delay, ended(&send, exchange::Outcome::Refused));
                }
            }
        }
    }

    fn executed(&mut self, at: u16, from: u16, token: Token, send: &exchange::Send, execution: Execution) {
        let now_ms = self.now.0 / 1000;
        let worker = &mut self.machines[usize::from(at)].worker;
        let is_answered = worker.complete(execution, now_ms) && !worker.faults.is_frozen;
        let link = (self.link)(self.now, Site::Worker(at), Site::Entry(from));
        if let (Link::Deliver(delay), true) = (link, is_answered) {
            self.ledger.answered(send.ticket, send.attempt);
            self.outcome(token, delay, ended(send, exchange::Outcome::Answered { status: 200, bytes: 100 }));
        }
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
        let machines = self.machines.iter().filter(|machine| machine.is_listed);
        let list = entries.chain(machines.map(|machine| machine.listed.clone())).collect();
        self.lists.push_front(list);
        self.lists.truncate(LISTS);
        for at in 0..self.vms.len() as u16 {
            if let Link::Deliver(delay) = (self.link)(self.now, Site::List, Site::Entry(at)) {
                let age = self.draw() as usize % (self.list_lag.as_secs() as usize + 1);
                let list = self.lists[age.min(self.lists.len() - 1)].clone();
                self.event(at, delay, Event::Listing(list));
            }
        }
        self.deliver(LIST_INTERVAL, Delivery::List);
    }
}

fn ended(send: &exchange::Send, outcome: exchange::Outcome) -> Event {
    Event::Attempt { exchange: send.exchange, attempt: send.attempt, outcome }
}
