//! Time of single steps that depend on the size of the whole fleet.

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

/// Rounds of each step; the fastest counts.
const ROUNDS: usize = 5;

/// Measures all steps.
pub fn run() -> Vec<Slope> {
    vec![compiling(), installing(), decoding(), listed(), replying()]
}

fn time(name: &'static str, role: &'static str, per: &'static str, points: Vec<(f64, f64)>) -> Slope {
    Slope::new(Label { name, role, per, unit: "µs", source: Source::Time }, points)
}

/// Shortest time of `step`, in microseconds.
fn fastest(mut step: impl FnMut()) -> f64 {
    let once = |_| {
        let start = Instant::now();
        step();
        start.elapsed()
    };
    (0..ROUNDS).map(once).min().unwrap_or(Duration::ZERO).as_secs_f64() * 1e6
}

/// Compiling a stored configuration, as every process does after each change.
fn compiling() -> Slope {
    let point = |jobs: usize| {
        let text = encoding::sealed(jobs);
        let sources = [Text { name: "bench", text: &text, is_stored: true }];
        let spent = fastest(|| drop(black_box(compile(black_box(&sources)))));
        (jobs as f64, spent)
    };
    time("compile", "reader", "job", [10, 150, 2_000].map(point).to_vec())
}

/// Taking over a new version of the configuration: compiling it, and comparing it with the state of the process.
fn installing() -> Slope {
    let point = |jobs: usize| {
        let mut state = trial::run(Shape { away_jobs: jobs, ..SMALL }).state;
        let mut install = || {
            let index = Index { version: state.config.index.version + 1, ..state.config.index.clone() };
            let message = Message::ConfigOffer { index, documents: Vec::new() };
            let (from, address) = (member::Id(1), site::entry_address(1));
            let event = Event::Peer { from, address, message };
            let input = Input { at: state.now, unix_ms: 0, entropy: 1, event };
            let (mut out, begin) = (Vec::new(), Instant::now());
            reduce(&mut state, input, &mut out);
            begin.elapsed().as_secs_f64() * 1e6
        };
        (jobs as f64, (0..ROUNDS).map(|_| install()).fold(f64::MAX, f64::min))
    };
    time("install", "reader", "job", [10, 150, 2_000].map(point).to_vec())
}

const LISTS: [usize; 3] = [65, 1_300, 30_000];

/// Decoding the VM list.
fn decoding() -> Slope {
    let point = |vms: usize| {
        let text = serde_json::to_vec(&encoding::list(vms)).unwrap_or_default();
        let read = || serde_json::from_slice::<Vec<crate::wire::listing::Vm>>(black_box(&text));
        (vms as f64, fastest(|| drop(black_box(read()))))
    };
    time("list-decode", "member", "VM in the list", LISTS.map(point).to_vec())
}

/// Reducing a VM list of which one zone in 23 is this process's.
fn listed() -> Slope {
    let shape = Shape { zones: 23, away: 1_300, cells: 21, ..SMALL };
    let start = trial::run(shape).state;
    let point = |vms: usize| {
        let list: Vec<listing::Vm> = encoding::list(vms).into_iter().map(Into::into).collect();
        let mut state = start.clone();
        let mut read = || {
            let input = Input { at: state.now, unix_ms: 0, entropy: 1, event: Event::Listing(list.clone()) };
            let (mut out, begin) = (Vec::new(), Instant::now());
            reduce(&mut state, input, &mut out);
            begin.elapsed().as_secs_f64() * 1e6
        };
        let spent = (0..ROUNDS).map(|_| read()).fold(f64::MAX, f64::min);
        (vms as f64, spent)
    };
    time("list-reduce", "member", "VM in the list", LISTS.map(point).to_vec())
}

/// Decoding a worker's reply.
fn replying() -> Slope {
    let point = |running: usize| {
        let text = serde_json::to_vec(&encoding::reply(running, 0, 0)).unwrap_or_default();
        let read = || serde_json::from_slice::<crate::wire::control::Reply>(black_box(&text));
        let many = || (0..MANY).for_each(|_| drop(black_box(read())));
        (running as f64, fastest(many) / MANY as f64)
    };
    time("reply-decode", "owner", "running task in the reply", [1, 8, 64].map(point).to_vec())
}

/// Repetitions of a step that is too short to be timed alone.
const MANY: usize = 1_000;
