//! Controller of one entry VM.
//!
//! An actor owns the [`State`], feeds events to the reducer, and hands effects to the ports. It makes no decision.

pub mod jobs;
pub mod start;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix::{Actor, AsyncContext, Context, SpawnHandle, StreamHandler};
use rand::RngExt;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;

use crate::core::effect::Effect;
use crate::core::event::{Event, Input};
use crate::core::exchange::{Completion, Ticket};
use crate::core::time::Instant;
use crate::core::{State, admin, reduce, store};
use crate::hash::Map;
use crate::port::{self, Clock};
use crate::telemetry::metric::{self, Direction, Metrics};
use crate::timeline::writer::Writer;

/// Interval between updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Phases of batch tasks in metrics, in the order of `admin::Cell::tasks`.
const PHASES: [&str; 6] = ["queued", "running", "unknown", "finished", "failed", "cancelled"];

/// Ports of one process.
pub(crate) struct Ports {
    pub bodies: port::body::Table,
    pub caller: port::caller::Handle,
    pub upstream: port::upstream::Port,
    pub peer: port::peer::Port,
    pub store: port::store::Port,
    pub worker: port::worker::Port,
    pub admin: port::admin::Port,
    /// Reads the VM list until it is dropped.
    pub _listing: port::listing::Port,
}

/// Actor of one entry VM.
pub struct Node {
    state: State,
    clock: Clock,
    random: SmallRng,
    ports: Ports,
    timeline: Writer,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
    wake: Option<(Instant, SpawnHandle)>,
    requests: Map<Ticket, Instant>,
    store_calls: Map<store::Call, &'static str>,
    peer_bytes: (u64, u64),
    ended: Option<oneshot::Sender<()>>,
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(GAUGE_INTERVAL, |node, _| node.update_gauges());
        self.step(Event::Wake, context);
    }
}

impl StreamHandler<Event> for Node {
    fn handle(&mut self, event: Event, context: &mut Context<Self>) {
        match &event {
            Event::Request(request) => {
                self.requests.insert(request.ticket, self.clock.now());
            }
            Event::Abandoned(ticket) => {
                self.requests.remove(ticket);
            }
            Event::Store { call, reply } => {
                if let Some(kind) = self.store_calls.remove(call) {
                    self.metrics.record_store_call(kind, reply);
                }
            }
            _ => {}
        }
        self.step(event, context);
    }
}

impl Node {
    /// Reduces one event and performs its effects.
    fn step(&mut self, event: Event, context: &mut Context<Self>) {
        let input =
            Input { at: self.clock.now(), unix_ms: port::unix_ms(), entropy: self.random.random(), event };
        let mut effects = Vec::new();
        reduce(&mut self.state, input, &mut effects);
        for effect in effects {
            self.perform(effect, context);
        }
        self.schedule_wake(context);
    }

    fn perform(&mut self, effect: Effect, context: &mut Context<Self>) {
        match effect {
            Effect::Send(send) => self.ports.upstream.send(send),
            Effect::Forward(forward) => self.ports.peer.forward(forward),
            Effect::Reply { ticket, completion } => self.reply(ticket, completion),
            Effect::Peer { to, message } => self.ports.peer.deliver(to, message),
            Effect::Store { call, request } => {
                self.store_calls.insert(call, metric::request_kind(&request));
                self.ports.store.call(call, request);
            }
            Effect::Worker { worker, address, call, not_after } => {
                self.ports.worker.call(worker, address, call, not_after);
            }
            Effect::Admin { ticket, answer } => self.ports.admin.answer(ticket, answer),
            Effect::Record(entry) => {
                self.metrics.record_decision(entry.decision);
                self.timeline.record(self.state.now, &entry);
            }
            // This process schedules declared work only.
            Effect::Work(_) => {}
            Effect::Ready(ready) => self.ready.store(ready, Ordering::Relaxed),
            Effect::StopListening => {
                let caller = self.ports.caller.clone();
                actix::spawn(async move { caller.stop(true).await });
            }
            Effect::Exit => self.exit(context),
        }
    }

    fn reply(&mut self, ticket: Ticket, completion: Completion) {
        let outcome = match completion {
            Completion::Deliver { .. } => "answered",
            Completion::NotRun { .. } => "not-run",
            Completion::Unknown => "unknown",
        };
        if let Some(since) = self.requests.remove(&ticket) {
            self.metrics.record_request(outcome, self.clock.now().since(since));
        }
        self.ports.bodies.reply(ticket, completion);
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
        let (caller, peer, ended) = (self.ports.caller.clone(), self.ports.peer.clone(), self.ended.take());
        context.spawn(actix::fut::wrap_future(async move {
            caller.stop(true).await;
            peer.stop().await;
            if let Some(ended) = ended {
                // Nobody waits when the process ends for another reason.
                let _ = ended.send(());
            }
        }));
    }

    fn update_gauges(&mut self) {
        let status = admin::status(&self.state);
        let mut tasks = [0; PHASES.len()];
        for cell in &status.cells {
            for (sum, count) in tasks.iter_mut().zip(cell.tasks) {
                *sum += count;
            }
        }
        for (phase, count) in PHASES.into_iter().zip(tasks) {
            self.metrics.set_task_count(phase, count);
        }
        self.metrics.set_owned_cell_count(status.cells.len() as u64);
        let traffic = self.ports.peer.traffic();
        let (sent, received) = (traffic.sent(), traffic.received());
        self.metrics.record_peer_bytes(Direction::Sent, sent - self.peer_bytes.0);
        self.metrics.record_peer_bytes(Direction::Received, received - self.peer_bytes.1);
        self.peer_bytes = (sent, received);
    }
}
