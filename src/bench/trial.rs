//! Trials: one deployment in virtual time, of which one entry VM is measured.
//!
//! Counts and bytes are the same in each run. Processor time is the wall time of the calls of the reducer, which has
//! no I/O; it depends on the machine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::shape::{self, Shape};
use super::traffic::{self, Flow, HTTP_FRAME, PEER_FRAME};
use crate::core::admin::{Answer, Command};
use crate::core::effect::Effect;
use crate::core::event::{Event, Input};
use crate::core::tuning::Tuning;
use crate::core::{State, reduce};
use crate::declare::check::{self, Source};
use crate::declare::plan::Plan;
use crate::session::{Session, site};

/// What one entry VM did.
#[derive(Debug, Clone, Default)]
pub struct Tally {
    /// Events reduced.
    pub events: u64,
    /// Time in the reducer.
    pub spent: Duration,
    /// Messages sent, by kind.
    pub sent: BTreeMap<&'static str, Flow>,
    /// Messages received, by kind.
    pub received: BTreeMap<&'static str, Flow>,
    /// HTTP reads of the store.
    pub reads: u64,
    /// HTTP writes and deletions of the store.
    pub writes: u64,
    /// `Assign` records written.
    pub starts: u64,
    /// Requests answered.
    pub requests: u64,
}

/// Result of a trial.
#[derive(Debug, Clone)]
pub struct Trial {
    /// What was run.
    pub shape: Shape,
    /// Virtual time measured, in seconds.
    pub span_s: f64,
    /// What the first entry VM did.
    pub first: Tally,
    /// What all entry VMs did.
    pub all: Tally,
    /// State of the first entry VM at the end.
    pub state: State,
}

/// Virtual time before the measurement.
const WARM_UP: Duration = Duration::from_secs(12);

/// Virtual time measured.
const SPAN: Duration = Duration::from_secs(20);

const SEED: u64 = 7;

/// Runs a deployment and measures its steady state.
///
/// # Panics
///
/// If the document of the shape is not accepted, which is a fault of the shape.
pub fn run(shape: Shape) -> Trial {
    let document = shape.document();
    let source = [Source { name: "bench", text: &document, is_stored: false }];
    let plan = check::compile(&source).unwrap_or_else(|findings| panic!("{shape:?}: {}", findings[0]));
    let mut session = Session::new(&live(&plan, &shape), Tuning::default(), SEED);
    session.run_for(Duration::from_secs(4));
    apply(&mut session, document);
    session.run_for(WARM_UP);
    let tallies: Rc<RefCell<(Tally, Tally)>> = Rc::default();
    session.reducer = Box::new(measured(site::entry_address(0), tallies.clone()));
    work(&mut session, &shape);
    let state = session.vms[0].process.clone().unwrap_or_else(|| panic!("{shape:?}: the process ended"));
    let (first, all) = tallies.take();
    Trial { shape, span_s: SPAN.as_secs_f64(), first, all, state }
}

/// Runs a deployment `times` times and keeps the trial with the least processor time.
pub fn best(shape: Shape, times: usize) -> Trial {
    let first = run(shape);
    let keep_faster =
        |best: Trial, next: Trial| if next.first.spent < best.first.spent { next } else { best };
    (1..times).map(|_| run(shape)).fold(first, keep_faster)
}

/// The part of the plan that has VMs.
fn live(plan: &Plan, shape: &Shape) -> Plan {
    let mut live = plan.clone();
    live.zones.truncate(shape.live);
    live.pools.retain(|pool| usize::from(pool.zone.0) < shape.live);
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

/// Lets the measured time pass, with requests at an even rate.
fn work(session: &mut Session, shape: &Shape) {
    let Some(pause) = SPAN.checked_div(shape.requests as u32 * SPAN.as_secs() as u32) else {
        return session.run_for(SPAN);
    };
    for number in 0..shape.requests * SPAN.as_secs() as usize {
        session.request(0, &shape::service(number % shape.services), "/");
        session.run_for(pause);
    }
}

/// The reducer with a measurement of one process, and of all, around it.
fn measured(
    first: SocketAddr,
    tallies: Rc<RefCell<(Tally, Tally)>>,
) -> impl FnMut(&mut State, Input, &mut Vec<Effect>) {
    move |state, input, out| {
        let incoming = traffic::received(&input.event);
        let is_answer = matches!(input.event, Event::Attempt { .. });
        let before = out.len();
        let start = Instant::now();
        reduce(state, input, out);
        let spent = start.elapsed();
        let mut tallies = tallies.borrow_mut();
        let (one, all) = &mut *tallies;
        let is_first = state.me.address == first;
        for tally in std::iter::once(all).chain(is_first.then_some(one)) {
            tally.events += 1;
            tally.spent += spent;
            tally.requests += u64::from(is_answer);
            incoming.into_iter().for_each(|(kind, bytes)| count(&mut tally.received, kind, bytes));
            out[before..].iter().for_each(|effect| tally.effect(state, effect));
        }
    }
}

fn count(flows: &mut BTreeMap<&'static str, Flow>, kind: &'static str, bytes: u64) {
    let flow = flows.entry(kind).or_default();
    flow.count += 1;
    flow.bytes += bytes;
}

impl Tally {
    fn effect(&mut self, state: &State, effect: &Effect) {
        if let Some((kind, bytes)) = traffic::sent(state.me.id, effect) {
            count(&mut self.sent, kind, bytes);
        }
        if let Effect::Store { request, .. } = effect {
            let (reads, writes) = traffic::store_calls(request);
            self.reads += reads;
            self.writes += writes;
        }
        self.starts += traffic::starts(effect);
    }

    /// Messages of some kinds, sent and received.
    pub fn flow(&self, kinds: &[&str]) -> Flow {
        let flows = self.sent.iter().chain(&self.received);
        flows.filter(|(kind, _)| kinds.contains(kind)).fold(Flow::default(), |sum, (_, flow)| Flow {
            count: sum.count + flow.count,
            bytes: sum.bytes + flow.bytes,
        })
    }

    /// Bytes sent and received with worker control, with framing.
    pub fn control_bytes(&self) -> u64 {
        self.flow(&["control"]).bytes + self.sent.get("control").map_or(0, |flow| flow.count) * HTTP_FRAME
    }

    /// Bytes sent and received between entry VMs, with framing.
    pub fn peer_bytes(&self) -> u64 {
        let flow = self.flow(&PEER);
        flow.bytes + flow.count * PEER_FRAME
    }

    /// Bytes sent and received with the store, with framing.
    pub fn store_bytes(&self) -> u64 {
        self.flow(&STORE).bytes + (self.reads + self.writes) * HTTP_FRAME
    }
}

/// Kinds of messages between entry VMs.
pub const PEER: [&str; 8] =
    ["heartbeat", "leave", "config-ask", "config-offer", "grant-ask", "grant", "routes", "handover"];

const STORE: [&str; 9] = [
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
