//! Time measurements of single steps, such as decoding a VM list, at several sizes.

use std::hint::black_box;
use std::time::{Duration, Instant};

use super::encoding;
use super::shape::{SMALL, Shape};
use super::slope::{Label, Slope, Source};
use super::trial;
use crate::core::config::Index;
use crate::core::event::{Event, Input};
use crate::core::peer::Message;
use crate::core::{listing, member, reduce};
use crate::declare::check::{Source as Text, compile};
use crate::session::site;

/// Number of rounds of each step. The fastest counts.
const ROUNDS: usize = 5;

/// Measures all steps.
pub fn run() -> Vec<Slope> {
    vec![compile_time(), install_time(), list_decode_time(), list_reduce_time(), reply_decode_time()]
}

fn time_slope(name: &'static str, role: &'static str, per: &'static str, points: Vec<(f64, f64)>) -> Slope {
    Slope::new(Label { name, role, per, unit: "µs", source: Source::Time }, points)
}

/// Shortest time of `step` over all rounds, in microseconds.
fn fastest(mut step: impl FnMut()) -> f64 {
    let time_once = |_| {
        let start = Instant::now();
        step();
        start.elapsed()
    };
    (0..ROUNDS).map(time_once).min().unwrap_or(Duration::ZERO).as_secs_f64() * 1e6
}

/// Time to compile a stored configuration, which every process does after each change.
fn compile_time() -> Slope {
    let point = |jobs: usize| {
        let text = encoding::stored_text(jobs);
        let sources = [Text { name: "bench", text: &text, is_stored: true }];
        let spent = fastest(|| drop(black_box(compile(black_box(&sources)))));
        (jobs as f64, spent)
    };
    time_slope("compile", "reader", "job", [10, 150, 2_000].map(point).to_vec())
}

/// Time to install a new version of the configuration: to compile it and to compare it with the state of the process.
fn install_time() -> Slope {
    let point = |jobs: usize| {
        let mut state = trial::run(Shape { remote_jobs: jobs, ..SMALL }).state;
        let mut install = || {
            let index = Index { version: state.config.index.version + 1, ..state.config.index.clone() };
            let message = Message::ConfigOffer { index, documents: Vec::new() };
            let (from, address) = (member::Id(1), site::entry_address(1));
            let event = Event::Peer { from, address, message };
            let input = Input { at: state.now, unix_ms: 0, entropy: 1, spent: Duration::ZERO, event };
            let (mut out, start_time) = (Vec::new(), Instant::now());
            reduce(&mut state, input, &mut out);
            start_time.elapsed().as_secs_f64() * 1e6
        };
        (jobs as f64, (0..ROUNDS).map(|_| install()).fold(f64::MAX, f64::min))
    };
    time_slope("install", "reader", "job", [10, 150, 2_000].map(point).to_vec())
}

const LIST_SIZES: [usize; 3] = [65, 1_300, 30_000];

/// Time to decode the VM list.
fn list_decode_time() -> Slope {
    let point = |vms: usize| {
        let text = serde_json::to_vec(&encoding::vm_list(vms)).unwrap_or_default();
        let read = || serde_json::from_slice::<Vec<crate::wire::listing::Vm>>(black_box(&text));
        (vms as f64, fastest(|| drop(black_box(read()))))
    };
    time_slope("list-decode", "member", "VM in the list", LIST_SIZES.map(point).to_vec())
}

/// Time to reduce a VM list. One of its 23 zones is the zone of the process.
fn list_reduce_time() -> Slope {
    let shape = Shape { zones: 23, remote_workers: 1_300, cells: 21, ..SMALL };
    let initial = trial::run(shape).state;
    let point = |vms: usize| {
        let list: Vec<listing::Vm> = encoding::vm_list(vms).into_iter().map(Into::into).collect();
        let mut state = initial.clone();
        let mut read = || {
            let input = Input {
                at: state.now,
                unix_ms: 0,
                entropy: 1,
                spent: Duration::ZERO,
                event: Event::Listing(list.clone()),
            };
            let (mut out, start_time) = (Vec::new(), Instant::now());
            reduce(&mut state, input, &mut out);
            start_time.elapsed().as_secs_f64() * 1e6
        };
        let spent = (0..ROUNDS).map(|_| read()).fold(f64::MAX, f64::min);
        (vms as f64, spent)
    };
    time_slope("list-reduce", "member", "VM in the list", LIST_SIZES.map(point).to_vec())
}

/// Time to decode a worker's reply.
fn reply_decode_time() -> Slope {
    let point = |running: usize| {
        let text = serde_json::to_vec(&encoding::reply(running, 0, 0)).unwrap_or_default();
        let read = || serde_json::from_slice::<crate::wire::control::Reply>(black_box(&text));
        let repeat = || (0..REPETITIONS).for_each(|_| drop(black_box(read())));
        (running as f64, fastest(repeat) / REPETITIONS as f64)
    };
    time_slope("reply-decode", "owner", "running task in the reply", [1, 8, 64].map(point).to_vec())
}

/// Repetitions of a step that is too short to be timed on its own.
const REPETITIONS: usize = 1_000;
