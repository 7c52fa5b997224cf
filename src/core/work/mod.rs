//! Scheduling of the jobs that callers hand in.
//!
//! One entry VM leads: it accepts jobs, stores them, and starts their tasks on workers. The others hand requests on to
//! it, and one of them takes its place when it is gone. `reduce` takes one event; all decisions are here, and time, the
//! time of day and randomness come with the input.

pub mod ask;
mod book;
pub mod config;
mod control;
pub mod effect;
pub mod event;
mod follow;
pub mod front;
pub mod headroom;
pub mod image;
pub mod job;
pub mod journal;
pub mod lead;
pub mod load;
pub mod order;
mod pace;
pub mod place;
mod renewal;
mod roster;
pub mod run;
pub mod spec;
pub mod state;
mod stop;
pub mod store;
pub mod task;
pub mod timer;
pub mod tuning;
pub mod worker;

use event::Event;
pub use state::State;
use state::{Pending, Purpose};
use store::{Call, Reply};
use timer::Timer;

use super::effect::Effect;
use super::time::Instant;

/// Reduces one event.
pub(super) fn reduce(state: &mut State, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Ask { ticket, ask, forwarded } => front::asked(state, ticket, ask, forwarded, out),
        Event::Forwarded { ticket, result } => front::forwarded(state, ticket, result, out),
        Event::Store { call, reply } => stored(state, call, reply, out),
        Event::Held { worker, sent, result } => renewal::handle_reply(state, worker, sent, result, out),
        Event::Started { run, result } => control::handle_start_reply(state, run, result, out),
        Event::Stopped { run, result } => control::handle_stop_reply(state, run, result, out),
        Event::Paced { run, percent, result } => pace::handle_reply(state, run, percent, result, out),
    }
}

/// Starts a graceful stop.
pub(super) fn stop(state: &mut State, out: &mut Vec<Effect>) {
    stop::begin(state, out);
}

/// Takes over time and randomness of an input, and runs the timers that are due.
pub(super) fn advance(state: &mut State, at: Instant, unix_ms: u64, entropy: u64, out: &mut Vec<Effect>) {
    state.advance(at, unix_ms, entropy);
    while let Some(timer) = state.timers.pop(state.now) {
        match timer {
            Timer::Watch(range) => follow::step(state, range, out),
            Timer::Campaign => lead::campaign(state, out),
            Timer::Renew(term) => lead::renew(state, term, out),
            Timer::Load => load::retry(state, out),
            Timer::Commit => journal::flush(state, out),
            Timer::RenewWorker(worker) => renewal::run_timer(state, worker, out),
            Timer::StoreImages(term) => pace::store_images(state, term),
            Timer::Place => place::run_timer(state, out),
            Timer::Release(job) => book::release_due(state, job, None),
            Timer::Forget(job) => book::forget(state, job),
            Timer::Stop => stop::advance(state, out),
        }
    }
}

fn stored(state: &mut State, call: Call, reply: Reply, out: &mut Vec<Effect>) {
    let Some(Pending { purpose, sent }) = state.take_call(call) else { return };
    state.note_store(&reply, out);
    match purpose {
        Purpose::Follow(range) => {
            state.lead.round_trip = state.now.since(sent);
            follow::listed(state, range, reply, out);
        }
        Purpose::Watch(range) => follow::changed(state, range, reply, out),
        Purpose::Lease => lead::leased(state, reply, out),
        Purpose::Campaign => lead::elected(state, sent, reply, out),
        Purpose::Renew => lead::renewed(state, sent, &reply, out),
        Purpose::Load(part) => load::answered(state, part, reply, out),
        Purpose::Commit => journal::answered(state, reply, out),
        Purpose::Resign => lead::step_down(state, "it resigned", out),
    }
}
