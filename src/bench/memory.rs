//! Memory measurements: growth of the resident memory by copies of a state.
//!
//! Copies are made until the process has grown by a fixed amount. Only the later part of the growth counts, because the
//! first copies use memory that the allocator kept from earlier measurements. The resident size is the second field of
//! `/proc/self/statm`; on systems other than Linux all values are 0.

use std::fs;

use super::encoding;
use super::shape::{SMALL, Shape};
use super::slope::{Label, Slope, Source};
use super::trial;
use std::time::Duration;

use crate::core::State;
use crate::core::event::{Event, Input};
use crate::core::exchange::{Id, Request, Ticket};
use crate::core::reduce;
use crate::declare::check::{Source as Text, compile};

const PAGE_BYTES: u64 = 4096;

/// Growth of the resident memory before the measurement.
const WARM_UP_BYTES: u64 = 48 << 20;

/// Growth of the resident memory during the measurement.
const MEASURED_BYTES: u64 = 48 << 20;

/// Maximum number of copies of one value.
const MAX_COPIES: usize = 400_000;

/// Measures all memory slopes.
pub fn run() -> Vec<Slope> {
    vec![workers(), tasks(), members(), replicas(), exchanges(), jobs()]
}

fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or_default()
        * PAGE_BYTES
}

/// Resident bytes per copy of `value`; 0 if the growth is not reached within the maximum number of copies.
fn bytes_per_copy<T: Clone>(value: &T) -> f64 {
    let start = resident_bytes();
    let mut copies = Vec::with_capacity(MAX_COPIES);
    let mut warmed_up = None;
    while copies.len() < MAX_COPIES {
        copies.push(value.clone());
        if copies.len() % 16 != 0 {
            continue;
        }
        let grown = resident_bytes().saturating_sub(start);
        match warmed_up {
            None if grown >= WARM_UP_BYTES => warmed_up = Some((copies.len(), grown)),
            Some((count, before)) if grown >= before + MEASURED_BYTES => {
                return (grown - before) as f64 / (copies.len() - count) as f64;
            }
            _ => {}
        }
    }
    0.0
}

fn memory_slope(name: &'static str, role: &'static str, per: &'static str, points: Vec<(f64, f64)>) -> Slope {
    Slope::new(Label { name, role, per, unit: "bytes", source: Source::Memory }, points)
}

fn measure_states(sizes: [usize; 3], shape: impl Fn(usize) -> Shape) -> Vec<(f64, f64)> {
    sizes.map(|size| (size as f64, bytes_per_copy(&trial::run(shape(size)).state))).to_vec()
}

fn workers() -> Slope {
    let points = measure_states([8, 64, 512], |workers| Shape { workers, batch_workers: workers, ..SMALL });
    memory_slope("memory-workers", "owner", "worker of the zone", points)
}

fn tasks() -> Slope {
    let points =
        measure_states([64, 512, 4_096], |tasks| Shape { workers: 64, batch_workers: 1, tasks, ..SMALL });
    memory_slope("memory-tasks", "owner", "queued task", points)
}

fn members() -> Slope {
    let shape = |members: usize| Shape { zones: 2, live_zones: 2, members: members / 2, ..SMALL };
    memory_slope("memory-members", "member", "member", measure_states([2, 16, 128], shape))
}

fn replicas() -> Slope {
    let points =
        measure_states([4, 32, 256], |replicas| Shape { workers: 64, batch_workers: 64, replicas, ..SMALL });
    memory_slope("memory-replicas", "router", "replica of the cell", points)
}

/// Measures requests in flight, which wait for their response.
fn exchanges() -> Slope {
    let start = trial::run(Shape { workers: 64, batch_workers: 64, replicas: 256, ..SMALL }).state;
    let points =
        [8, 64, 512].map(|count: usize| (count as f64, bytes_per_copy(&with_requests(&start, count))));
    memory_slope("memory-exchanges", "router", "request in flight", points.to_vec())
}

fn with_requests(state: &State, count: usize) -> State {
    let mut state = state.clone();
    for number in 0..count as u64 {
        let request = Request {
            ticket: Ticket(1 << 40 | number),
            id: Id(0),
            service: super::shape::service_name(0),
            path: "/".into(),
            timeout: None,
            bytes: 200,
            forwarded: false,
        };
        let input = Input {
            at: state.now,
            unix_ms: 0,
            entropy: number,
            spent: Duration::ZERO,
            event: Event::Request(request),
        };
        reduce(&mut state, input, &mut Vec::new());
    }
    state
}

/// Measures the text and the plan of a job, which every process keeps.
fn jobs() -> Slope {
    let point = |jobs: usize| {
        let text = encoding::stored_text(jobs);
        let plan = compile(&[Text { name: "bench", text: &text, is_stored: true }]).unwrap_or_default();
        (jobs as f64, bytes_per_copy(&(text, plan)))
    };
    memory_slope("memory-jobs", "reader", "job in the plan", [10, 150, 2_000].map(point).to_vec())
}
