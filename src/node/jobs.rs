//! Actor of an entry VM that schedules jobs submitted by callers.
//!
//! The actor owns the [`State`], passes each event to the reducer, and hands the effects to the ports. It makes no
//! decisions.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix::{Actor, Addr, AsyncContext, Context, SpawnHandle, StreamHandler};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::oneshot;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::start::{ADMIN_TIMEOUT, open_timeline, serve_admin};
use crate::core::effect::Effect;
use crate::core::event::{Event, Input};
use crate::core::time::Instant;
use crate::core::work::effect::Effect as WorkEffect;
use crate::core::work::event::Event as WorkEvent;
use crate::core::work::request::Ticket;
use crate::core::work::{self, state::Identity};
use crate::core::{State, member, reduce};
use crate::declare::zone;
use crate::error::{Error, Result};
use crate::hash::Map;
use crate::platform::{front, store, worker};
use crate::port::admission::Gate;
use crate::port::{self, Clock, Inbox, pending};
use crate::settings::Settings;
use crate::telemetry::metric::Metrics;
use crate::timeline::writer::Writer;

/// Ports of one entry VM.
struct Ports {
    pending: pending::Table,
    updates: port::job::Updates,
    front: front::Handle,
    store: store::Port,
    worker: worker::Port,
    peer: port::job::Port,
}

/// Actor that runs the reducer of one entry VM.
struct Node {
    state: State,
    clock: Clock,
    random: SmallRng,
    ports: Ports,
    timeline: Writer,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
    /// Arrival times of the requests in flight, for the latency metric.
    received_at: Map<Ticket, Instant>,
    /// Time that the last event and its effects took.
    spent: Duration,
    /// Time of the scheduled wake-up, and the handle that cancels it.
    wake_timer: Option<(Instant, SpawnHandle)>,
    /// Signals the end of the graceful shutdown; `None` once it has been used.
    end_sender: Option<oneshot::Sender<()>>,
}

/// A running entry VM.
pub struct Running {
    inbox: Inbox,
    _node: Addr<Node>,
    ended: oneshot::Receiver<()>,
}

impl Running {
    /// Requests a graceful shutdown; [`Running::ended`] waits until it is complete.
    pub fn stop(&self) {
        self.inbox.send(Event::Stop);
    }

    /// Waits until the graceful shutdown is complete.
    pub async fn ended(&mut self) {
        // An error means that the actor has been dropped, so it has ended too.
        let _ = (&mut self.ended).await;
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.process_event(Event::Wake, context);
    }
}

impl StreamHandler<Event> for Node {
    fn handle(&mut self, event: Event, context: &mut Context<Self>) {
        if let Event::Work(WorkEvent::Request { ticket, .. }) = &event {
            self.received_at.insert(*ticket, self.clock.now());
        }
        self.process_event(event, context);
    }
}

impl Node {
    /// Reduces one event and executes its effects.
    fn process_event(&mut self, event: Event, context: &mut Context<Self>) {
        let (at, unix_ms) = (self.clock.now(), port::unix_ms());
        let input = Input { at, unix_ms, entropy: self.random.random(), spent: self.spent, event };
        let mut effects = Vec::new();
        reduce(&mut self.state, input, &mut effects);
        for effect in effects {
            self.execute_effect(effect, at, context);
        }
        self.spent = self.clock.now().since(at);
        self.schedule_wake(context);
    }

    fn execute_effect(&mut self, effect: Effect, at: Instant, context: &mut Context<Self>) {
        match effect {
            Effect::Work(WorkEffect::Answer { ticket, answer }) => {
                if let Some(received_at) = self.received_at.remove(&ticket) {
                    self.metrics.record_request(answer.name(), at.since(received_at));
                }
                self.ports.pending.answer(ticket, answer);
            }
            Effect::Work(WorkEffect::Forward { ticket, to, request }) => {
                self.ports.peer.forward(ticket, to, request)
            }
            Effect::Work(WorkEffect::AskConfig { to, known, wait }) => {
                self.ports.peer.ask_config(to, known, wait);
            }
            Effect::Work(WorkEffect::AnswerConfig { ticket, update }) => {
                self.ports.updates.answer(ticket, update);
            }
            Effect::Work(WorkEffect::ConfigPending(since)) => self.metrics.record_config_pending(since),
            Effect::Work(WorkEffect::Store { call, request }) => self.ports.store.call(call, request),
            Effect::Work(WorkEffect::Worker { id, address, fence, order, sent, not_after }) => {
                self.ports.worker.send(worker::Envelope { id, address, fence, order, sent, not_after });
            }
            Effect::Work(WorkEffect::Report(report)) => self.metrics.record_leader(&report),
            Effect::Record(entry) => {
                self.metrics.record_decision(entry.decision);
                self.timeline.record(at, &entry);
            }
            Effect::Ready(ready) => {
                self.ready.store(ready, Ordering::Relaxed);
                if !ready {
                    self.ports.front.close_connections();
                }
            }
            Effect::Exit => self.exit(context),
            // `Effect::Exit` also stops the servers, so `StopListening` needs no action. The other effects belong to
            // declared work.
            Effect::StopListening
            | Effect::Send(_)
            | Effect::Forward(_)
            | Effect::Reply { .. }
            | Effect::Peer { .. }
            | Effect::Store { .. }
            | Effect::Worker { .. }
            | Effect::Admin { .. } => {}
        }
    }

    /// Schedules a wake-up for the next deadline of the reducer, unless one is already scheduled no later than that.
    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let Some(due) = self.state.next_due() else { return };
        if let Some((scheduled_at, handle)) = self.wake_timer {
            if scheduled_at <= due {
                return;
            }
            context.cancel_future(handle);
        }
        let wait = due.since(self.clock.now());
        let handle = context.run_later(wait, |node, context| {
            node.wake_timer = None;
            node.process_event(Event::Wake, context);
        });
        self.wake_timer = Some((due, handle));
    }

    /// Stops the servers, and signals the end once the answers in flight are written.
    fn exit(&mut self, context: &mut Context<Self>) {
        let (front, peer, end_sender) =
            (self.ports.front.clone(), self.ports.peer.clone(), self.end_sender.take());
        context.spawn(actix::fut::wrap_future(async move {
            tokio::join!(front.stop(), peer.stop());
            if let Some(sender) = end_sender {
                // The receiver is gone if the process ends for another reason.
                let _ = sender.send(());
            }
        }));
    }
}

/// Starts an entry VM that schedules jobs; must be called inside an actix system.
///
/// # Errors
///
/// The settings have no section `[jobs]`, an address cannot be bound, or a file named in the settings cannot be opened.
pub fn start(settings: &Settings) -> Result<Running> {
    let Some(jobs) = settings.jobs else {
        return Err(Error::call("start", "the settings have no section [jobs]"));
    };
    let (inbox, events) = Inbox::new();
    let clock = Clock::start();
    let tuning = jobs.tuning();
    let nonce = rand::random();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = member::Id::generate(since_epoch.as_millis() as u64, nonce);
    let ready = Arc::new(AtomicBool::new(false));
    let requests = pending::Table::new(inbox.clone());
    let updates = port::job::Updates::new(inbox.clone());
    let metrics = Metrics::new()?;
    let timeline = open_timeline(settings, id)?;
    metrics.observe_lost_entries(timeline.lost_counter());
    metrics.observe_config_pending(move || clock.now());
    let setup =
        front::Setup { caller_address: settings.listen.caller, readiness_address: jobs.readiness_address };
    let gate = Gate::new(settings.limits.admission());
    metrics.observe_admission(&gate);
    let admin = port::admin::Port::new(port::admin::Context {
        inbox: inbox.clone(),
        timeline: timeline.clone(),
        metrics: metrics.clone(),
        ready: Arc::clone(&ready),
        timeout: ADMIN_TIMEOUT,
    });
    serve_admin(&admin, settings.listen.admin)?;
    let ports = Ports {
        front: front::serve(setup, gate, requests.clone(), Arc::clone(&ready))?,
        store: store::Port::new(settings.platform.store, tuning.store_timeout, inbox.clone()),
        worker: worker::Port::new(tuning.worker_timeout, clock, inbox.clone()),
        peer: port::job::Port::start(settings.listen.peer, inbox.clone(), requests.clone(), updates.clone())?,
        pending: requests,
        updates,
    };
    let identity = Identity {
        vm: settings.name.clone(),
        zone: zone::Id::of(&settings.zone),
        address: settings.listen.peer,
        nonce,
        cpu_millicores: jobs.cpu_millicores,
    };
    let member = member::Identity {
        id,
        name: settings.name.clone(),
        zone: identity.zone,
        address: settings.listen.peer,
        counter: 0,
    };
    let now = clock.now();
    let (end_sender, ended) = oneshot::channel();
    let node = Node {
        state: State::with_work(member, work::State::new(identity, tuning, now), now),
        clock,
        random: SmallRng::from_rng(&mut rand::rng()),
        ports,
        timeline,
        metrics,
        ready,
        received_at: Map::default(),
        spent: Duration::ZERO,
        wake_timer: None,
        end_sender: Some(end_sender),
    };
    let node = Node::create(|context| {
        context.add_stream(UnboundedReceiverStream::new(events));
        node
    });
    Ok(Running { inbox, _node: node, ended })
}
