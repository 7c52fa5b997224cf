//! Memory: growth of the resident memory by copies of a state.
//!
//! Copies are made until the process has grown by a fixed amount, and the growth per copy is taken from the later part,
//! so that memory which earlier measurements left to the allocator does not count. The reading is the second field of
//! `/proc/self/statm`; elsewhere than on Linux all values are 0.

use std::fs;

use super::encoding;
use super::shape::{SMALL, Shape};
use super::slope::{Label, Slope, Source};
use super::trial;
use crate::core::State;
use crate::core::event::{Event, Input};
use crate::core::exchange::{Id, Request, Ticket};
use crate::core::reduce;
use crate::declare::check::{Source as Text, compile};

const PAGE: u64 = 4096;

/// Growth before the measured part, in bytes.
const SETTLE: u64 = 48 << 20;

/// Growth of the measured part, in bytes.
const MEASURED: u64 = 48 << 20;

/// Most copies of one value.
const MAX_COPIES: usize = 400_000;

/// Measures all sizes.
pub fn run() -> Vec<Slope> {
    vec![workers(), tasks(), members(), routes(), exchanges(), jobs()]
}

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or_default() * PAGE
}

/// Bytes that one copy of `value` takes.
fn bytes_of<T: Clone>(value: &T) -> f64 {
    let start = resident();
    let mut copies = Vec::with_capacity(MAX_COPIES);
    let mut settled = None;
    while copies.len() < MAX_COPIES {
        copies.push(value.clone());
        if copies.len() % 16 != 0 {
            continue;
        }
        let grown = resident().saturating_sub(start);
        match settled {
            None if grown >= SETTLE => settled = Some((copies.len(), grown)),
            Some((count, before)) if grown >= before + MEASURED => {
                return (grown - before) as f64 / (copies.len() - count) as f64;
            }
            _ => {}
        }
    }
    0.0
}

fn bytes(name: &'static str, role: &'static str, per: &'static str, points: Vec<(f64, f64)>) -> Slope {
    Slope::new(Label { name, role, per, unit: "bytes", source: Source::Memory }, points)
}

fn states(sizes: [usize; 3], shape: impl Fn(usize) -> Shape) -> Vec<(f64, f64)> {
    sizes.map(|size| (size as f64, bytes_of(&trial::run(shape(size)).state))).to_vec()
}

fn workers() -> Slope {
    let points = states([8, 64, 512], |workers| Shape { workers, busy: workers, ..SMALL });
    bytes("memory-workers", "owner", "worker of the zone", points)
}

fn tasks() -> Slope {
    let points = states([64, 512, 4_096], |tasks| Shape { workers: 64, busy: 1, tasks, ..SMALL });
    bytes("memory-tasks", "owner", "queued task", points)
}

fn members() -> Slope {
    let shape = |members: usize| Shape { zones: 2, live: 2, members: members / 2, ..SMALL };
    bytes("memory-members", "member", "member", states([2, 16, 128], shape))
}

fn routes() -> Slope {
    let points = states([4, 32, 256], |replicas| Shape { workers: 64, busy: 64, replicas, ..SMALL });
    bytes("memory-replicas", "router", "replica of the cell", points)
}

/// Requests that wait for an answer.
fn exchanges() -> Slope {
    let start = trial::run(Shape { workers: 64, busy: 64, replicas: 256, ..SMALL }).state;
    let points = [8, 64, 512].map(|count: usize| (count as f64, bytes_of(&with_requests(&start, count))));
    bytes("memory-exchanges", "router", "request in flight", points.to_vec())
}

fn with_requests(state: &State, count: usize) -> State {
    let mut state = state.clone();
    for number in 0..count as u64 {
        let request = Request {
            ticket: Ticket(1 << 40 | number),
            id: Id(0),
            service: super::shape::service(0),
            path: "/".into(),
            timeout: None,
            bytes: 200,
            forwarded: false,
        };
        let input = Input { at: state.now, unix_ms: 0, entropy: number, event: Event::Request(request) };
        reduce(&mut state, input, &mut Vec::new());
    }
    state
}

/// Text and plan of a job, which every process keeps.
fn jobs() -> Slope {
    let point = |jobs: usize| {
        let text = encoding::sealed(jobs);
        let plan = compile(&[Text { name: "bench", text: &text, is_stored: true }]).unwrap_or_default();
        (jobs as f64, bytes_of(&(text, plan)))
    };
    bytes("memory-jobs", "reader", "job in the plan", [10, 150, 2_000].map(point).to_vec())
}
