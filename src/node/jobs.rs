//! Controller of an entry VM that schedules the jobs that callers hand in.
//!
//! An actor owns the [`State`], feeds events to the reducer, and hands effects to the adapters. It makes no decision.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use actix::{Actor, Addr, AsyncContext, Context, SpawnHandle, StreamHandler};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::oneshot;
use tokio_stream::wrappers::UnboundedReceiverStream;

use super::start::{ADMIN_DEADLINE, listen, open_timeline};
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
use crate::port::{self, Clock, Inbox, pending};
use crate::settings::Settings;
use crate::telemetry::metric::Metrics;
use crate::timeline::writer::Writer;

/// Adapters of one process.
struct Ports {
    table: pending::Table,
    front: front::Handle,
    store: store::Port,
    worker: worker::Port,
    peer: port::job::Port,
}

/// Actor of one entry VM.
struct Node {
    state: State,
    clock: Clock,
    random: SmallRng,
    ports: Ports,
    timeline: Writer,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
    requests: Map<Ticket, Instant>,
    wake: Option<(Instant, SpawnHandle)>,
    ended: Option<oneshot::Sender<()>>,
}

/// A running entry VM.
pub struct Running {
    inbox: Inbox,
    _node: Addr<Node>,
    ended: oneshot::Receiver<()>,
}

impl Running {
    /// Asks for a graceful stop, which [`Running::ended`] waits for.
    pub fn stop(&self) {
        self.inbox.send(Event::Stop);
    }

    /// Returns when the process has finished its graceful stop.
    pub async fn ended(&mut self) {
        // An error says that the actor is gone, which is an end as well.
        let _ = (&mut self.ended).await;
    }
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        self.step(Event::Wake, context);
    }
}

impl StreamHandler<Event> for Node {
    fn handle(&mut self, event: Event, context: &mut Context<Self>) {
        if let Event::Work(WorkEvent::Request { ticket, .. }) = &event {
            self.requests.insert(*ticket, self.clock.now());
        }
        self.step(event, context);
    }
}

impl Node {
    /// Reduces one event and performs its effects.
    fn step(&mut self, event: Event, context: &mut Context<Self>) {
        let (at, unix_ms) = (self.clock.now(), port::unix_ms());
        let input = Input { at, unix_ms, entropy: self.random.random(), event };
        let mut effects = Vec::new();
        reduce(&mut self.state, input, &mut effects);
        for effect in effects {
            self.perform(effect, at, context);
        }
        self.schedule_wake(context);
    }

    fn perform(&mut self, effect: Effect, at: Instant, context: &mut Context<Self>) {
        match effect {
            Effect::Work(WorkEffect::Answer { ticket, answer }) => {
                if let Some(since) = self.requests.remove(&ticket) {
                    self.metrics.record_request(answer.name(), at.since(since));
                }
                self.ports.table.answer(ticket, answer);
            }
            Effect::Work(WorkEffect::Forward { ticket, to, request }) => {
                self.ports.peer.forward(ticket, to, request)
            }
            Effect::Work(WorkEffect::Store { call, request }) => self.ports.store.call(call, request),
            Effect::Work(WorkEffect::Worker { id, address, fence, order, sent, not_after }) => {
                self.ports.worker.send(worker::Parcel { id, address, fence, order, sent, not_after });
            }
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
            // The end of the process stops listening; the rest belongs to declared work.
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

    /// Sleeps until the reducer wants to be woken, or until an event arrives.
    fn schedule_wake(&mut self, context: &mut Context<Self>) {
        let Some(due) = self.state.next_due() else { return };
        if let Some((at, handle)) = self.wake {
            if at <= due {
                return;
            }
            context.cancel_future(handle);
        }
        let wait = due.since(self.clock.now());
        let handle = context.run_later(wait, |node, context| {
            node.wake = None;
            node.step(Event::Wake, context);
        });
        self.wake = Some((due, handle));
    }

    /// Ends once answers in flight are written.
    fn exit(&mut self, context: &mut Context<Self>) {
        let (front, peer, ended) = (self.ports.front.clone(), self.ports.peer.clone(), self.ended.take());
        context.spawn(actix::fut::wrap_future(async move {
            tokio::join!(front.stop(), peer.stop());
            if let Some(ended) = ended {
                // Nobody waits when the process ends for another reason.
                let _ = ended.send(());
            }
        }));
    }
}

/// Starts an entry VM; must be called inside an actix system.
///
/// # Errors
///
/// The settings are not those of a process that schedules jobs, or an address cannot be used.
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
    let table = pending::Table::new(inbox.clone());
    let metrics = Metrics::new()?;
    let timeline = open_timeline(settings, id)?;
    let setup = front::Setup {
        caller: settings.listen.caller,
        ready: jobs.readiness_address,
        body: settings.limits.body_bytes as usize,
    };
    let admin = port::admin::Port::new(port::admin::Context {
        inbox: inbox.clone(),
        timeline: timeline.clone(),
        metrics: metrics.clone(),
        ready: Arc::clone(&ready),
        deadline: ADMIN_DEADLINE,
    });
    listen(&admin, settings.listen.admin)?;
    let ports = Ports {
        front: front::serve(setup, table.clone(), Arc::clone(&ready))?,
        store: store::Port::new(settings.platform.store, tuning.store_timeout, inbox.clone()),
        worker: worker::Port::new(tuning.worker_timeout, clock, inbox.clone()),
        peer: port::job::Port::start(settings.listen.peer, inbox.clone(), table.clone())?,
        table,
    };
    let identity = Identity {
        vm: settings.name.clone(),
        address: settings.listen.peer,
        nonce,
        cpu_millicores: jobs.cpu_millicores,
    };
    let me = member::Identity {
        id,
        name: settings.name.clone(),
        zone: zone::Id::of(&settings.zone),
        address: settings.listen.peer,
        counter: 0,
    };
    let now = clock.now();
    let (done, ended) = oneshot::channel();
    let node = Node {
        state: State::with_work(me, work::State::new(identity, tuning, now), now),
        clock,
        random: SmallRng::from_rng(&mut rand::rng()),
        ports,
        timeline,
        metrics,
        ready,
        requests: Map::default(),
        wake: None,
        ended: Some(done),
    };
    let node = Node::create(|context| {
        context.add_stream(UnboundedReceiverStream::new(events));
        node
    });
    Ok(Running { inbox, _node: node, ended })
}
