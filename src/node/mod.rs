//! Actor of one entry VM.
//!
//! The actor owns the [`State`], passes each event to the reducer, and hands the effects to the ports. It makes no
//! decisions.

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

/// Interval between updates of the metric gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Labels of task phases in metrics, in the order of `admin::Cell::tasks`.
const PHASES: [&str; 6] = ["queued", "running", "unknown", "finished", "failed", "cancelled"];

/// Ports of one entry VM.
pub(crate) struct Ports {
    pub bodies: port::body::Table,
    pub caller: port::caller::Handle,
    pub upstream: port::upstream::Port,
    pub peer: port::peer::Port,
    pub store: port::store::Port,
    pub worker: port::worker::Port,
    pub admin: port::admin::Port,
    /// Reads the VM list until the port is dropped.
    pub _listing: port::listing::Port,
}

/// Actor that runs the reducer of one entry VM.
pub struct Node {
    state: State,
    clock: Clock,
    random: SmallRng,
    ports: Ports,
    timeline: Writer,
    metrics: Metrics,
    ready: Arc<AtomicBool>,
    /// Time of the scheduled wake-up, and the handle that cancels it.
    wake_timer: Option<(Instant, SpawnHandle)>,
    /// Arrival times of the requests in flight, for the latency metric.
    received_at: Map<Ticket, Instant>,
    /// Metric labels of the store calls in flight.
    store_call_kinds: Map<store::Call, &'static str>,
    /// Bytes sent to and received from peers, as of the last update of the metrics.
    last_peer_bytes: (u64, u64),
    /// Signals the end of the graceful shutdown; `None` once it has been used.
    end_sender: Option<oneshot::Sender<()>>,
}

impl Actor for Node {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Context<Self>) {
        context.run_interval(GAUGE_INTERVAL, |node, _| node.update_gauges());
        self.process_event(Event::Wake, context);
    }
}

impl StreamHandler<Event> for Node {
    fn handle(&mut self, event: Event, context: &mut Context<Self>) {
        match &event {
            Event::Request(request) => {
                self.received_at.insert(request.ticket, self.clock.now());
            }
            Event::Abandoned(ticket) => {
                self.received_at.remove(ticket);
            }
            Event::Store { call, reply } => {
                if let Some(kind) = self.store_call_kinds.remove(call) {
                    self.metrics.record_store_call(kind, reply);
                }
            }
            _ => {}
        }
        self.process_event(event, context);
    }
}

impl Node {
    /// Reduces one event and executes its effects.
    fn process_event(&mut self, event: Event, context: &mut Context<Self>) {
        let input = Input {
            at: self.clock.now(),
            unix_ms: port::unix_ms(),
            entropy: self.random.random(),
            // Only the scheduler of submitted jobs asks for it, which this process does not run.
            spent: Duration::ZERO,
            event,
        };
        let mut effects = Vec::new();
        reduce(&mut self.state, input, &mut effects);
        for effect in effects {
            self.execute_effect(effect, context);
        }
        self.schedule_wake(context);
    }

    fn execute_effect(&mut self, effect: Effect, context: &mut Context<Self>) {
        match effect {
            Effect::Send(send) => self.ports.upstream.send(send),
            Effect::Forward(forward) => self.ports.peer.forward(forward),
            Effect::Reply { ticket, completion } => self.reply(ticket, completion),
            Effect::Peer { to, message } => self.ports.peer.deliver(to, message),
            Effect::Store { call, request } => {
                self.store_call_kinds.insert(call, metric::request_kind(&request));
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
            // This process runs declared work only, so the reducer emits no effects of the job scheduler.
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
        if let Some(received_at) = self.received_at.remove(&ticket) {
            self.metrics.record_request(outcome, self.clock.now().since(received_at));
        }
        self.ports.bodies.complete(ticket, completion);
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
        let (caller, peer, end_sender) =
            (self.ports.caller.clone(), self.ports.peer.clone(), self.end_sender.take());
        context.spawn(actix::fut::wrap_future(async move {
            caller.stop(true).await;
            peer.stop().await;
            if let Some(sender) = end_sender {
                // The receiver is gone if the process ends for another reason.
                let _ = sender.send(());
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
        self.metrics.record_peer_bytes(Direction::Sent, sent - self.last_peer_bytes.0);
        self.metrics.record_peer_bytes(Direction::Received, received - self.last_peer_bytes.1);
        self.last_peer_bytes = (sent, received);
    }
}
