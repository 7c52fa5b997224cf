//! Trials: runs of a deployment in virtual time that measure the first entry VM and the sum of all.
//!
//! Counts and bytes are the same in each run. Processor time is the wall time of the calls of the reducer, which does
//! no I/O, and depends on the machine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::shape::{self, Shape};
use super::traffic::{self, Flow, HTTP_OVERHEAD_BYTES, PEER_OVERHEAD_BYTES};
use crate::core::admin::{Answer, Command};
use crate::core::effect::Effect;
use crate::core::event::{Event, Input};
use crate::core::tuning::Tuning;
use crate::core::{State, reduce};
use crate::declare::check::{self, Source};
use crate::declare::plan::Plan;
use crate::session::{Session, site};

/// Counters of one entry VM, or of all together, over the measured time.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    /// Events that the reducer processed.
    pub events: u64,
    /// Wall time spent in the reducer.
    pub reducer_time: Duration,
    /// Messages sent, by kind.
    pub sent: BTreeMap<&'static str, Flow>,
    /// Messages received, by kind.
    pub received: BTreeMap<&'static str, Flow>,
    /// HTTP reads of the store.
    pub store_reads: u64,
    /// HTTP writes and deletions of the store.
    pub store_writes: u64,
    /// `Assign` records appended to the log.
    pub starts: u64,
    /// Attempts of requests whose outcome was received.
    pub requests: u64,
}

/// Result of a trial.
#[derive(Debug, Clone)]
pub struct Trial {
    /// Shape of the deployment.
    pub shape: Shape,
    /// Length of the measurement in virtual time, in seconds.
    pub span_s: f64,
    /// Counters of the first entry VM.
    pub first: Counters,
    /// Counters of all entry VMs together.
    pub all: Counters,
    /// State of the first entry VM at the end.
    pub state: State,
}

/// Virtual time between the acceptance of the configuration and the measurement.
const WARM_UP: Duration = Duration::from_secs(12);

/// Length of the measurement in virtual time.
const MEASURED_SPAN: Duration = Duration::from_secs(20);

const SEED: u64 = 7;

/// Runs a deployment and measures its steady state.
///
/// # Panics
///
/// Panics if the document of the shape is invalid or not accepted, which is a fault of the shape, or if the process of
/// the first entry VM ends.
pub fn run(shape: Shape) -> Trial {
    let document = shape.document();
    let source = [Source { name: "bench", text: &document, is_stored: false }];
    let plan = check::compile(&source).unwrap_or_else(|findings| panic!("{shape:?}: {}", findings[0]));
    let mut session = Session::new(&restrict_to_live_zones(&plan, &shape), Tuning::default(), SEED);
    session.run_for(Duration::from_secs(4));
    apply(&mut session, document);
    session.run_for(WARM_UP);
    let counters: Rc<RefCell<(Counters, Counters)>> = Rc::default();
    session.reducer = Box::new(measuring_reducer(site::entry_address(0), counters.clone()));
    run_measured_span(&mut session, &shape);
    let state =
        session.entry_vms[0].process.clone().unwrap_or_else(|| panic!("{shape:?}: the process ended"));
    let (first, all) = counters.take();
    Trial { shape, span_s: MEASURED_SPAN.as_secs_f64(), first, all, state }
}

/// Runs a deployment `times` times and returns the trial with the least processor time of the first entry VM.
pub fn run_fastest(shape: Shape, times: usize) -> Trial {
    let first = run(shape);
    let keep_faster = |fastest: Trial, next: Trial| {
        if next.first.reducer_time < fastest.first.reducer_time { next } else { fastest }
    };
    (1..times).map(|_| run(shape)).fold(first, keep_faster)
}

/// Removes the zones without VMs, and their pools, from a copy of the plan.
fn restrict_to_live_zones(plan: &Plan, shape: &Shape) -> Plan {
    let mut live = plan.clone();
    live.zones.truncate(shape.live_zones);
    live.pools.retain(|pool| usize::from(pool.zone.0) < shape.live_zones);
    live
}

fn apply(session: &mut Session, text: String) {
    let (name, author) = ("bench".to_owned(), "bench".to_owned());
    let command = Command::Apply { name, text, base: None, author, applied_s: 0 };
    let ticket = session.command(0, command);
    session.run_for(Duration::from_secs(2));
    let answer = session.answers.get(&ticket);
    assert!(matches!(answer, Some(Answer::Accepted { .. })), "{answer:?}");
}

/// Runs the session for the measured time and sends requests at a constant rate.
fn run_measured_span(session: &mut Session, shape: &Shape) {
    let Some(interval) = MEASURED_SPAN.checked_div(shape.requests as u32 * MEASURED_SPAN.as_secs() as u32)
    else {
        return session.run_for(MEASURED_SPAN);
    };
    for number in 0..shape.requests * MEASURED_SPAN.as_secs() as usize {
        session.request(0, &shape::service_name(number % shape.services), "/");
        session.run_for(interval);
    }
}

/// Creates a reducer that measures each call and adds it to the counters of the first process and of all.
fn measuring_reducer(
    first: SocketAddr,
    counters: Rc<RefCell<(Counters, Counters)>>,
) -> impl FnMut(&mut State, Input, &mut Vec<Effect>) {
    move |state, input, effects| {
        let incoming = traffic::received_message(&input.event);
        let is_answer = matches!(input.event, Event::Attempt { .. });
        let before = effects.len();
        let start = Instant::now();
        reduce(state, input, effects);
        let elapsed = start.elapsed();
        let mut counters = counters.borrow_mut();
        let (of_first, of_all) = &mut *counters;
        let is_first = state.me.address == first;
        for target in std::iter::once(of_all).chain(is_first.then_some(of_first)) {
            target.events += 1;
            target.reducer_time += elapsed;
            target.requests += u64::from(is_answer);
            incoming.into_iter().for_each(|(kind, bytes)| count_message(&mut target.received, kind, bytes));
            effects[before..].iter().for_each(|effect| target.record_effect(state, effect));
        }
    }
}

fn count_message(flows: &mut BTreeMap<&'static str, Flow>, kind: &'static str, bytes: u64) {
    let flow = flows.entry(kind).or_default();
    flow.count += 1;
    flow.bytes += bytes;
}

impl Counters {
    fn record_effect(&mut self, state: &State, effect: &Effect) {
        if let Some((kind, bytes)) = traffic::sent_message(state.me.id, effect) {
            count_message(&mut self.sent, kind, bytes);
        }
        if let Effect::Store { request, .. } = effect {
            let (reads, writes) = traffic::store_calls(request);
            self.store_reads += reads;
            self.store_writes += writes;
        }
        self.starts += traffic::count_assigns(effect);
    }

    /// Messages of the given kinds, sent and received.
    pub fn flow(&self, kinds: &[&str]) -> Flow {
        let flows = self.sent.iter().chain(&self.received);
        flows.filter(|(kind, _)| kinds.contains(kind)).fold(Flow::default(), |sum, (_, flow)| Flow {
            count: sum.count + flow.count,
            bytes: sum.bytes + flow.bytes,
        })
    }

    /// Bytes of control calls and replies, with framing.
    pub fn control_bytes(&self) -> u64 {
        self.flow(&["control"]).bytes
            + self.sent.get("control").map_or(0, |flow| flow.count) * HTTP_OVERHEAD_BYTES
    }

    /// Bytes sent and received between entry VMs, with framing.
    pub fn peer_bytes(&self) -> u64 {
        let flow = self.flow(&PEER_KINDS);
        flow.bytes + flow.count * PEER_OVERHEAD_BYTES
    }

    /// Bytes of store requests and replies, with framing.
    pub fn store_bytes(&self) -> u64 {
        self.flow(&STORE_KINDS).bytes + (self.store_reads + self.store_writes) * HTTP_OVERHEAD_BYTES
    }
}

/// Kinds of messages between entry VMs.
pub const PEER_KINDS: [&str; 8] =
    ["heartbeat", "leave", "config-ask", "config-offer", "grant-ask", "grant", "routes", "handover"];

const STORE_KINDS: [&str; 9] = [
    "store",
    "read-index",
    "read-document",
    "read-snapshot",
    "read-segment",
    "write-index",
    "write-document",
    "write-snapshot",
    "append",
];
