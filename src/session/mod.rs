//! Simulation of a deployment in memory and in virtual time.
//!
//! A session runs the production reducers against simulated workers and a simulated store. It turns each effect of a
//! reducer into an event at its recipient, after a delay, or drops it. A closure decides the delay or the loss from the
//! time and the two sites; a script holds the other faults, as a list of actions on VMs. Sessions with the same seed
//! have the same sequence of events.

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
use ledger::{Forwarding, Ledger};
use site::Site;
use store::Store;

/// A simulated entry VM.
#[derive(Debug)]
pub struct EntryVm {
    /// Name in the VM list.
    pub name: String,
    /// Availability zone.
    pub zone: zone::Id,
    /// Address of its interfaces.
    pub address: SocketAddr,
    /// State of its process; `None` while no process runs.
    pub process: Option<State>,
    /// Incarnation of the process, increased at each start and end. Deliveries to an earlier one are dropped.
    incarnation: u32,
    /// Time until which deliveries are postponed. Simulates a process that the operating system does not schedule.
    paused_until: Instant,
    /// Length of a requested pause between the next reduction with side effects and the execution of these effects.
    pending_stall: Option<Duration>,
    /// Whether the process accepts new requests.
    is_listening: bool,
    /// Time of the earliest scheduled wake-up; `None` if none is scheduled.
    next_wake_at: Option<Instant>,
}

/// A simulated worker VM.
#[derive(Debug)]
pub struct WorkerVm {
    /// The simulated worker.
    pub worker: Worker,
    /// Its entry in the VM list.
    pub list_entry: listing::Vm,
    /// Whether the VM list contains the entry.
    pub is_listed: bool,
    /// Whether the VM is powered off.
    pub is_powered_off: bool,
    pending_polls: Vec<PendingPoll>,
}

/// A control call that the worker has not answered.
#[derive(Debug)]
struct PendingPoll {
    poll: Poll,
    from: u16,
    token: Token,
    key: worker::Key,
    sequence: u64,
}

/// Identifies a call until its outcome or its timeout is delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Token(u64);

/// A scheduled step of the simulation.
#[derive(Debug)]
enum Delivery {
    Event {
        to: u16,
        incarnation: u32,
        event: Box<Event>,
    },
    Wake {
        to: u16,
        incarnation: u32,
    },
    Perform {
        at: u16,
        incarnation: u32,
        effect: Box<Effect>,
    },
    /// The outcome or the timeout of a call. The first one to arrive is delivered, the other is dropped.
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
    AdvanceWorker {
        at: u16,
    },
    Execute {
        to: u16,
        from: u16,
        token: Token,
        send: exchange::Send,
    },
    FinishExecution {
        at: u16,
        from: u16,
        token: Token,
        send: exchange::Send,
        execution: Execution,
    },
    PublishList,
    Action(script::Action),
}

/// A timeline entry with its time and process.
#[derive(Debug, Clone)]
pub struct TimelineEntry {
    /// Time of the entry.
    pub at: Instant,
    /// Name of the entry VM that wrote it.
    pub vm: String,
    /// The entry.
    pub entry: trace::Entry,
}

/// Counts since the start of the session.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Inputs that reducers processed.
    pub inputs: u64,
    /// Messages sent between entry VMs.
    pub peer_messages: u64,
    /// Calls sent to the control interfaces of workers.
    pub control_calls: u64,
}

/// Processes one input; has the signature of [`reduce`].
type Reducer = dyn FnMut(&mut State, Input, &mut Vec<Effect>);

/// A simulated deployment.
pub struct Session {
    /// Current virtual time.
    pub now: Instant,
    /// Entry VMs, indexed by their number.
    pub entry_vms: Vec<EntryVm>,
    /// Worker VMs, indexed by their number.
    pub worker_vms: Vec<WorkerVm>,
    /// The simulated store.
    pub store: Store,
    /// Audit and checkpoints that all simulated workers share.
    pub shared: Shared,
    /// Timeline entries of all processes, in the order in which they were written.
    pub timeline: Vec<TimelineEntry>,
    /// Counts of inputs, messages and calls.
    pub counts: Counts,
    /// Latest completion of each request, by ticket.
    pub completions: Map<exchange::Ticket, exchange::Completion>,
    /// Answers to operators' commands, by ticket.
    pub answers: Map<Ticket, Answer>,
    /// Decides from the time, the sender and the recipient whether and when a message arrives.
    pub link: Box<dyn Fn(Instant, Site, Site) -> Link>,
    /// Observer that is called with every message that one entry VM sends to another.
    pub on_peer_message: Box<dyn FnMut(&peer::Message)>,
    /// Requests and changes that were sent, and the violations found.
    pub ledger: Ledger,
    /// Upper bound of the age of the VM list that an entry VM reads. The age is drawn anew for each reading.
    pub max_list_lag: Duration,
    list_history: VecDeque<Vec<listing::Vm>>,
    pending_calls: Map<Token, (u16, u32)>,
    plan: Plan,
    /// Function that processes every input; benchmarks replace it by one that measures each call.
    pub reducer: Box<Reducer>,
    queue: BinaryHeap<Reverse<(Instant, u64, Unordered)>>,
    deliveries: Map<u64, Delivery>,
    last_delivery: u64,
    random_state: u64,
    last_ticket: u64,
    tuning: Tuning,
}

/// Placeholder in the queue's entries that does not affect their order: time and number decide it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Unordered;

/// Interval at which the VM list is published.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Number of published VM lists that are kept: those of the last minute, which is the longest lag.
const LIST_HISTORY_LEN: usize = 61;

/// Service time of a request on an otherwise idle worker. It is long enough for connections to be in use concurrently.
const SERVICE_TIME_MS: u64 = 50;

impl Session {
    /// Creates a deployment with the workers and entry VMs of `plan`. No process has a configuration yet.
    pub fn new(plan: &Plan, tuning: Tuning, seed: u64) -> Self {
        let mut session = Self {
            now: Instant(0),
            entry_vms: Vec::new(),
            worker_vms: Vec::new(),
            store: Store::default(),
            shared: Shared::default(),
            timeline: Vec::new(),
            counts: Counts::default(),
            completions: Map::default(),
            answers: Map::default(),
            link: Box::new(fault::healthy_link),
            on_peer_message: Box::new(|_| {}),
            ledger: Ledger::default(),
            max_list_lag: Duration::ZERO,
            list_history: VecDeque::new(),
            pending_calls: Map::default(),
            plan: plan.clone(),
            reducer: Box::new(reduce),
            queue: BinaryHeap::new(),
            deliveries: Map::default(),
            last_delivery: 0,
            random_state: seed,
            last_ticket: 0,
            tuning,
        };
        session.add_worker_vms(plan);
        for zone in &plan.zones {
            for number in 0..zone.entry_vms {
                session.add_vm(format!("{}-entry-{number}", zone.name), zone.id);
            }
        }
        session.deliver(Duration::ZERO, Delivery::PublishList);
        session
    }

    fn add_worker_vms(&mut self, plan: &Plan) {
        for pool in &plan.pools {
            for number in 0..pool.count {
                let name = format!("{}-{number}", pool.name);
                let at = self.worker_vms.len() as u16;
                let profile = Profile {
                    capacity: pool.size,
                    max_connections: u32::from(pool.connections),
                    clock_start_ms: 1 + hash::name(&name) % 1_000_000,
                    request_duration_ms: SERVICE_TIME_MS,
                    ..Profile::new(&name)
                };
                let list_entry = listing::Vm {
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
                self.worker_vms.push(WorkerVm {
                    worker,
                    list_entry,
                    is_listed: true,
                    is_powered_off: false,
                    pending_polls: Vec::new(),
                });
            }
        }
    }

    fn add_vm(&mut self, name: String, zone: zone::Id) {
        let at = self.entry_vms.len() as u16;
        let address = site::entry_address(at);
        let vm = EntryVm {
            name,
            zone,
            address,
            process: None,
            incarnation: 0,
            paused_until: Instant(0),
            pending_stall: None,
            is_listening: true,
            next_wake_at: None,
        };
        self.entry_vms.push(vm);
        self.start(at);
    }

    /// Starts a process on an entry VM and kills the one that runs there, if any.
    pub fn start(&mut self, at: u16) {
        self.kill(at);
        let (now, entropy, tuning) = (self.now, self.next_random(), self.tuning);
        let vm = &mut self.entry_vms[usize::from(at)];
        // The incarnation takes the place of the start time, because a session has no time of day.
        let id = member::Id::generate(u64::from(vm.incarnation), entropy);
        let (name, zone, address) = (vm.name.clone(), vm.zone, vm.address);
        let counter = 0;
        let me = member::Identity { id, name, zone, address, counter };
        vm.process = Some(State::new(me, tuning, now));
        vm.next_wake_at = None;
        vm.paused_until = now;
        vm.pending_stall = None;
        vm.is_listening = true;
        self.schedule_wake(at);
    }

    /// Ends a process without a graceful shutdown. The connections of its callers close.
    pub fn kill(&mut self, at: u16) {
        self.ledger.exempt_pending(at, &self.completions);
        self.end_process(at);
    }

    fn end_process(&mut self, at: u16) {
        let vm = &mut self.entry_vms[usize::from(at)];
        vm.process = None;
        vm.incarnation += 1;
    }

    /// Pauses a process for `span`. Deliveries to it are postponed.
    pub fn pause(&mut self, at: u16, span: Duration) {
        let now = self.now;
        self.entry_vms[usize::from(at)].paused_until = now + span;
    }

    /// Pauses a process for `span` between its next reduction with side effects and the execution of these effects.
    pub fn stall(&mut self, at: u16, span: Duration) {
        self.entry_vms[usize::from(at)].pending_stall = Some(span);
    }

    /// Replaces a worker VM by a new instance of the same name, which the VM list then contains.
    pub fn replace_worker_vm(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let worker_vm = &mut self.worker_vms[usize::from(at)];
        worker_vm.list_entry.instance = worker_vm.worker.restart(now_ms);
        worker_vm.list_entry.leaving = false;
        worker_vm.is_listed = true;
        worker_vm.is_powered_off = false;
        self.advance_worker(at);
    }

    /// Sends a request to an entry VM. Its completion is stored in `completions` under the returned ticket.
    pub fn request(&mut self, to: u16, service: &str, path: &str) -> exchange::Ticket {
        self.last_ticket += 1;
        let ticket = exchange::Ticket(self.last_ticket);
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
        let is_at_most_once = declared.is_some_and(|declared| !declared.is_idempotent(path));
        self.ledger.record_request(
            ticket,
            ledger::SentRequest {
                entry_vm: to,
                original_ticket: ticket,
                request: request.clone(),
                is_at_most_once,
            },
        );
        self.deliver_event(to, Duration::from_millis(1), Event::Request(request));
        ticket
    }

    /// Sends an operator's command to an entry VM. The answer is stored in `answers` under the returned ticket.
    pub fn command(&mut self, to: u16, command: Command) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.ledger.record_command(ticket, &command);
        self.deliver_event(to, Duration::from_millis(1), Event::Admin { ticket, command });
        ticket
    }

    /// Requests a graceful shutdown of a process.
    pub fn stop(&mut self, to: u16) {
        self.deliver_event(to, Duration::ZERO, Event::Stop);
    }

    /// Runs the simulation until the virtual time `end`.
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

    /// Runs the simulation for `span` of virtual time.
    pub fn run_for(&mut self, span: Duration) {
        self.run_until(self.now + span);
    }

    fn next_random(&mut self) -> u64 {
        self.random_state = hash::numbers([self.random_state, 1]);
        self.random_state
    }

    fn deliver(&mut self, delay: Duration, delivery: Delivery) {
        self.last_delivery += 1;
        self.queue.push(Reverse((self.now + delay, self.last_delivery, Unordered)));
        self.deliveries.insert(self.last_delivery, delivery);
    }

    fn schedule_action(&mut self, at: Instant, action: script::Action) {
        self.deliver(at.since(self.now), Delivery::Action(action));
    }

    fn deliver_event(&mut self, to: u16, delay: Duration, event: Event) {
        let incarnation = self.entry_vms[usize::from(to)].incarnation;
        self.deliver(delay, Delivery::Event { to, incarnation, event: Box::new(event) });
    }

    fn schedule_wake(&mut self, at: u16) {
        let now = self.now;
        let vm = &mut self.entry_vms[usize::from(at)];
        let Some(due) = vm.process.as_ref().and_then(State::next_due) else { return };
        let due = due.max(now);
        if vm.next_wake_at.is_some_and(|wake| wake <= due && wake >= now) {
            return;
        }
        vm.next_wake_at = Some(due);
        let incarnation = vm.incarnation;
        self.deliver(due.since(now), Delivery::Wake { to: at, incarnation });
    }

    /// Time until the end of a process's pause; `None` if the process is not paused.
    fn remaining_pause(&self, at: u16) -> Option<Duration> {
        let until = self.entry_vms[usize::from(at)].paused_until;
        (until > self.now).then(|| until.since(self.now))
    }

    fn handle(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event { to, incarnation, event } => self.receive(to, incarnation, event),
            Delivery::Wake { to, incarnation } => {
                if let Some(wait) = self.remaining_pause(to) {
                    self.deliver(wait, Delivery::Wake { to, incarnation });
                } else {
                    self.entry_vms[usize::from(to)].next_wake_at = None;
                    self.reduce(to, incarnation, Event::Wake);
                }
            }
            Delivery::Perform { at, incarnation, effect } => {
                if self.entry_vms[usize::from(at)].incarnation == incarnation {
                    self.perform(at, *effect);
                }
            }
            Delivery::Outcome { token, event } => {
                if let Some((to, incarnation)) = self.pending_calls.remove(&token) {
                    self.receive(to, incarnation, event);
                }
            }
            Delivery::Store { from, token, call, request } => {
                self.execute_store_call(from, token, call, request)
            }
            Delivery::Control { to, from, token, key, call } => {
                self.execute_control_call(to, from, token, key, call)
            }
            Delivery::AdvanceWorker { at } => self.advance_worker(at),
            Delivery::Execute { to, from, token, send } => self.execute_request(to, from, token, send),
            Delivery::FinishExecution { at, from, token, send, execution } => {
                self.finish_execution(at, from, token, &send, execution);
            }
            Delivery::PublishList => self.publish_list(),
            Delivery::Action(action) => self.execute_action(action),
        }
    }

    fn receive(&mut self, to: u16, incarnation: u32, event: Box<Event>) {
        if let Some(wait) = self.remaining_pause(to) {
            return self.deliver(wait, Delivery::Event { to, incarnation, event });
        }
        let vm = &self.entry_vms[usize::from(to)];
        if let Event::Request(request) = &*event
            && (vm.incarnation != incarnation || vm.process.is_none() || !vm.is_listening)
        {
            return self.refuse_connection(request.ticket);
        }
        self.reduce(to, incarnation, *event);
    }

    fn reduce(&mut self, at: u16, incarnation: u32, event: Event) {
        let input = Input {
            at: self.now,
            unix_ms: self.now.0 / 1_000,
            entropy: self.next_random(),
            spent: Duration::ZERO,
            event,
        };
        let vm = &mut self.entry_vms[usize::from(at)];
        if vm.incarnation != incarnation {
            return;
        }
        let Some(state) = &mut vm.process else { return };
        let version = state.config.index.version;
        let mut effects = Vec::new();
        (self.reducer)(state, input, &mut effects);
        if state.config.index.version < version {
            self.ledger.record_violation(format!(
                "the configuration of {} went back from version {version}",
                vm.name
            ));
        }
        self.counts.inputs += 1;
        let has_side_effects = effects.iter().any(|effect| !matches!(effect, Effect::Record(_)));
        if let Some(span) = vm.pending_stall.take_if(|_| has_side_effects) {
            vm.paused_until = vm.paused_until.max(self.now + span);
            for effect in effects {
                self.deliver(span, Delivery::Perform { at, incarnation, effect: Box::new(effect) });
            }
        } else {
            effects.into_iter().for_each(|effect| self.perform(at, effect));
        }
        self.schedule_wake(at);
    }

    fn perform(&mut self, at: u16, effect: Effect) {
        match effect {
            Effect::Record(entry) => {
                let timeline_entry =
                    TimelineEntry { at: self.now, vm: self.entry_vms[usize::from(at)].name.clone(), entry };
                self.timeline.push(timeline_entry);
            }
            Effect::Peer { to, message } => self.send_peer(at, to, message),
            Effect::Store { call, request } => self.send_store(at, call, request),
            Effect::Worker { worker, address, call, not_after } => {
                self.send_control(at, worker, address, call, not_after);
            }
            Effect::Send(send) => self.send_request(at, send),
            Effect::Forward(forward) => self.forward(at, &forward),
            Effect::Reply { ticket, completion } => self.complete_request(ticket, completion),
            Effect::Admin { ticket, answer } => {
                self.answers.insert(ticket, answer);
            }
            Effect::Exit => self.end_process(at),
            Effect::StopListening => self.entry_vms[usize::from(at)].is_listening = false,
            // Sessions simulate declared work only.
            Effect::Ready(_) | Effect::Work(_) => {}
        }
    }

    /// Registers a call. `timeout_event` is delivered after `timeout` unless an outcome is delivered before.
    fn begin_call(&mut self, at: u16, timeout: Duration, timeout_event: Event) -> Token {
        let token = Token(self.last_delivery);
        self.pending_calls.insert(token, (at, self.entry_vms[usize::from(at)].incarnation));
        self.deliver(timeout, Delivery::Outcome { token, event: Box::new(timeout_event) });
        token
    }

    fn deliver_outcome(&mut self, token: Token, delay: Duration, event: Event) {
        self.deliver(delay, Delivery::Outcome { token, event: Box::new(event) });
    }

    /// Forwards a request to another entry VM under a new ticket.
    fn forward(&mut self, at: u16, forward: &exchange::Forward) {
        let exchange::Forward { exchange, attempt, ticket, id, address, timeout } = *forward;
        let Some(to) = site::entry_of(address) else { return };
        let timeout_event = Event::Attempt { exchange, attempt, outcome: exchange::Outcome::Lost };
        let token = self.begin_call(at, timeout, timeout_event);
        let Some(sent_request) = self.ledger.sent_request(ticket).cloned() else { return };
        self.last_ticket += 1;
        let inner_ticket = exchange::Ticket(self.last_ticket);
        let request = exchange::Request {
            ticket: inner_ticket,
            id,
            timeout: Some(timeout),
            forwarded: true,
            ..sent_request.request.clone()
        };
        self.ledger.record_forwarding(
            inner_ticket,
            Forwarding { token, return_path: (to, at), outer_ticket: ticket, exchange, attempt },
        );
        self.ledger.record_request(
            inner_ticket,
            ledger::SentRequest { entry_vm: to, request: request.clone(), ..sent_request },
        );
        match (self.link)(self.now, Site::Entry(at), Site::Entry(to)) {
            Link::Deliver(delay) => self.deliver_event(to, delay, Event::Request(request)),
            Link::Refuse => self.refuse_connection(inner_ticket),
            Link::Drop => self.ledger.exempt(inner_ticket),
        }
    }

    /// Ends a request to a process that does not listen. A forwarding entry VM gets [`exchange::Outcome::NotWritten`].
    fn refuse_connection(&mut self, ticket: exchange::Ticket) {
        self.ledger.exempt(ticket);
        let Some(forwarding) = self.ledger.forwarding(ticket) else { return };
        let outcome = exchange::Outcome::NotWritten;
        let event = Event::Attempt { exchange: forwarding.exchange, attempt: forwarding.attempt, outcome };
        self.deliver_outcome(forwarding.token, fault::ONE_WAY_DELAY, event);
    }

    /// Delivers the completion of a request to its caller or to the entry VM that forwarded it.
    fn complete_request(&mut self, ticket: exchange::Ticket, completion: exchange::Completion) {
        use exchange::{Completion, Outcome};
        self.ledger.check_completion(ticket, completion, self.completions.insert(ticket, completion));
        let Some(forwarding) = self.ledger.forwarding(ticket) else { return };
        let (from, to) = forwarding.return_path;
        let outcome = match completion {
            Completion::Deliver { .. } => Outcome::Answered { status: 200, bytes: 100 },
            Completion::NotRun { .. } => Outcome::Refused,
            Completion::Unknown => Outcome::Lost,
        };
        if let Link::Deliver(delay) = (self.link)(self.now, Site::Entry(from), Site::Entry(to)) {
            if let Completion::Deliver { .. } = completion {
                self.ledger.record_answer(forwarding.outer_ticket, forwarding.attempt);
            }
            let event =
                Event::Attempt { exchange: forwarding.exchange, attempt: forwarding.attempt, outcome };
            self.deliver_outcome(forwarding.token, delay, event);
        }
    }

    fn send_peer(&mut self, at: u16, to: SocketAddr, message: peer::Message) {
        self.counts.peer_messages += 1;
        (self.on_peer_message)(&message);
        let Some(to) = site::entry_of(to) else { return };
        let Some(state) = &self.entry_vms[usize::from(at)].process else { return };
        let (from, address) = (state.me.id, state.me.address);
        let Link::Deliver(delay) = (self.link)(self.now, Site::Entry(at), Site::Entry(to)) else { return };
        self.deliver_event(to, delay, Event::Peer { from, address, message });
    }

    fn send_store(&mut self, at: u16, call: crate::core::store::Call, request: crate::core::store::Request) {
        use crate::core::store::Reply;
        let token =
            self.begin_call(at, self.tuning.call_timeout, Event::Store { call, reply: Reply::Unknown });
        match (self.link)(self.now, Site::Entry(at), Site::Store) {
            Link::Deliver(delay) => self.deliver(delay, Delivery::Store { from: at, token, call, request }),
            Link::Refuse => self.deliver_outcome(
                token,
                fault::ONE_WAY_DELAY,
                Event::Store { call, reply: Reply::Refused },
            ),
            Link::Drop => {}
        }
    }

    fn execute_store_call(
        &mut self,
        from: u16,
        token: Token,
        call: crate::core::store::Call,
        request: crate::core::store::Request,
    ) {
        let reply = self.store.execute(request);
        if let Link::Deliver(delay) = (self.link)(self.now, Site::Store, Site::Entry(from)) {
            self.deliver_outcome(token, delay, Event::Store { call, reply });
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
        self.counts.control_calls += 1;
        let sequence = call.sequence;
        let failed = |is_unsent| Event::Worker { worker, sequence, reply: None, is_unsent };
        let timeout = self.tuning.call_timeout + Duration::from_millis(call.wait_ms);
        let token = self.begin_call(at, timeout, failed(false));
        let Some(to) = site::worker_of(address).filter(|_| self.now <= not_after) else {
            return self.deliver_outcome(token, fault::ONE_WAY_DELAY, failed(true));
        };
        match (self.link)(self.now, Site::Entry(at), Site::Worker(to)) {
            Link::Deliver(delay) => {
                self.deliver(delay, Delivery::Control { to, from: at, token, key: worker, call });
            }
            Link::Refuse => self.deliver_outcome(token, fault::ONE_WAY_DELAY, failed(true)),
            Link::Drop => {}
        }
    }

    fn execute_control_call(
        &mut self,
        to: u16,
        from: u16,
        token: Token,
        key: worker::Key,
        call: control::Call,
    ) {
        let now_ms = self.now.0 / 1000;
        let sequence = call.sequence;
        let worker_vm = &mut self.worker_vms[usize::from(to)];
        if worker_vm.worker.faults.is_frozen {
            return;
        }
        let poll = worker_vm.worker.handle_call(call, now_ms);
        worker_vm.pending_polls.push(PendingPoll { poll, from, token, key, sequence });
        self.advance_worker(to);
    }

    /// Advances a worker to the current time, answers its due control calls and schedules the next advance.
    fn advance_worker(&mut self, at: u16) {
        let now_ms = self.now.0 / 1000;
        let worker_vm = &mut self.worker_vms[usize::from(at)];
        worker_vm.worker.advance(now_ms);
        if worker_vm.worker.faults.is_frozen {
            return;
        }
        let mut replies = Vec::new();
        worker_vm.pending_polls.retain(|pending| {
            if !worker_vm.worker.is_reply_due(&pending.poll, now_ms) {
                return true;
            }
            let reply = worker_vm.worker.reply(&pending.poll, now_ms);
            let event =
                Event::Worker { worker: pending.key, sequence: pending.sequence, reply, is_unsent: false };
            replies.push((pending.from, pending.token, event));
            false
        });
        let due = worker_vm.pending_polls.iter().map(|pending| pending.poll.deadline_ms()).min();
        let next_change = worker_vm.worker.next_change_ms().filter(|_| !worker_vm.pending_polls.is_empty());
        for (from, token, event) in replies {
            if let Link::Deliver(delay) = (self.link)(self.now, Site::Worker(at), Site::Entry(from)) {
                self.deliver_outcome(token, delay, event);
            }
        }
        if let Some(next) = due.into_iter().chain(next_change).min() {
            let wait = Duration::from_millis(next.saturating_sub(now_ms).max(1));
            self.deliver(wait, Delivery::AdvanceWorker { at });
        }
    }

    fn send_request(&mut self, at: u16, send: exchange::Send) {
        use exchange::Outcome;
        let Some(to) = site::worker_of(send.address) else { return };
        let token = self.begin_call(at, send.timeout, attempt_event(&send, Outcome::Lost));
        if self.now > send.not_after {
            return self.deliver_outcome(
                token,
                fault::ONE_WAY_DELAY,
                attempt_event(&send, Outcome::NotWritten),
            );
        }
        match (self.link)(self.now, Site::Entry(at), Site::Worker(to)) {
            Link::Deliver(delay) => self.deliver(delay, Delivery::Execute { to, from: at, token, send }),
            Link::Refuse => {
                self.deliver_outcome(token, fault::ONE_WAY_DELAY, attempt_event(&send, Outcome::NotWritten))
            }
            Link::Drop => {}
        }
    }

    fn execute_request(&mut self, to: u16, from: u16, token: Token, send: exchange::Send) {
        let now_ms = self.now.0 / 1000;
        let worker_vm = &mut self.worker_vms[usize::from(to)];
        if worker_vm.worker.faults.is_frozen {
            return;
        }
        let audit_id = self.ledger.audit_id(send.ticket);
        match worker_vm.worker.admit(send.run, audit_id.as_deref(), now_ms) {
            Some(execution) => {
                self.ledger.record_execution(send.ticket);
                let execution_time = Duration::from_millis(execution.duration_ms);
                self.deliver(
                    execution_time,
                    Delivery::FinishExecution { at: to, from, token, send, execution },
                );
            }
            None => {
                if let Link::Deliver(delay) = (self.link)(self.now, Site::Worker(to), Site::Entry(from)) {
                    self.deliver_outcome(token, delay, attempt_event(&send, exchange::Outcome::Refused));
                }
            }
        }
    }

    fn finish_execution(
        &mut self,
        at: u16,
        from: u16,
        token: Token,
        send: &exchange::Send,
        execution: Execution,
    ) {
        let now_ms = self.now.0 / 1000;
        let worker = &mut self.worker_vms[usize::from(at)].worker;
        let is_answered = worker.complete(execution, now_ms) && !worker.faults.is_frozen;
        let link = (self.link)(self.now, Site::Worker(at), Site::Entry(from));
        if let (Link::Deliver(delay), true) = (link, is_answered) {
            self.ledger.record_answer(send.ticket, send.attempt);
            self.deliver_outcome(
                token,
                delay,
                attempt_event(send, exchange::Outcome::Answered { status: 200, bytes: 100 }),
            );
        }
    }

    fn publish_list(&mut self) {
        let entries = self.entry_vms.iter().map(|vm| listing::Vm {
            name: vm.name.clone(),
            instance: 1,
            kind: listing::Kind::Entry,
            zone: vm.zone,
            rack: String::new(),
            pool: String::new(),
            address: vm.address,
            leaving: false,
        });
        let worker_vms = self.worker_vms.iter().filter(|worker_vm| worker_vm.is_listed);
        let list = entries.chain(worker_vms.map(|worker_vm| worker_vm.list_entry.clone())).collect();
        self.list_history.push_front(list);
        self.list_history.truncate(LIST_HISTORY_LEN);
        for at in 0..self.entry_vms.len() as u16 {
            if let Link::Deliver(delay) = (self.link)(self.now, Site::List, Site::Entry(at)) {
                let age = self.next_random() as usize % (self.max_list_lag.as_secs() as usize + 1);
                let list = self.list_history[age.min(self.list_history.len() - 1)].clone();
                self.deliver_event(at, delay, Event::Listing(list));
            }
        }
        self.deliver(LIST_INTERVAL, Delivery::PublishList);
    }
}

fn attempt_event(send: &exchange::Send, outcome: exchange::Outcome) -> Event {
    Event::Attempt { exchange: send.exchange, attempt: send.attempt, outcome }
}
