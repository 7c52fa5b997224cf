//! Scheduling of the jobs that callers hand in.
//!
//! One entry VM leads: it accepts jobs, stores them, and starts their tasks on workers. The others hand requests on to
//! it, and one of them takes its place when it is gone. `reduce` takes one event; all decisions are here, and time, the
//! time of day and randomness come with the input.

pub mod config;
mod control;
mod discovery;
pub mod effect;
pub mod event;
pub mod handler;
mod hold;
pub mod image;
pub mod job;
pub mod journal;
pub mod leadership;
mod lifecycle;
pub mod load;
pub mod order;
pub mod outlook;
mod pace;
pub mod place;
pub mod request;
pub mod run;
pub mod spec;
pub mod state;
mod stop;
pub mod store;
pub mod task;
pub mod timer;
pub mod tuning;
mod watch;
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
        Event::Request { ticket, request: ask, is_forwarded: forwarded } => {
            handler::handle_request(state, ticket, ask, forwarded, out)
        }
        Event::Forwarded { ticket, result } => handler::handle_forwarded(state, ticket, result, out),
        Event::Store { call, reply } => handle_store_reply(state, call, reply, out),
        Event::LeaseRenewed { worker, sent, result } => hold::answered(state, worker, sent, result, out),
        Event::Started { run, result } => control::started(state, run, result, out),
        Event::Stopped { run, result } => control::stopped(state, run, result, out),
        Event::PaceChanged { run, percent, result } => pace::paced(state, run, percent, result, out),
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
            Timer::Follow(range) => watch::list_or_watch(state, range, out),
            Timer::Campaign => leadership::campaign(state, out),
            Timer::Renew(term) => leadership::renew(state, term, out),
            Timer::Load => load::retry(state, out),
            Timer::Commit => journal::flush(state, out),
            Timer::Hold(worker) => hold::due(state, worker, out),
            Timer::Images(term) => pace::store(state, term),
            Timer::Place => place::due(state, out),
            Timer::Release(job) => lifecycle::release_due(state, job, None),
            Timer::Forget(job) => lifecycle::remove_ended(state, job),
            Timer::Stop => stop::step(state, out),
        }
    }
}

fn handle_store_reply(state: &mut State, call: Call, reply: Reply, out: &mut Vec<Effect>) {
    let Some(Pending { purpose, sent }) = state.remove_call(call) else { return };
    state.track_store_health(&reply, out);
    match purpose {
        Purpose::List(range) => {
            state.leadership.store_round_trip = state.now.since(sent);
            watch::handle_page(state, range, reply, out);
        }
        Purpose::Watch(range) => watch::handle_changes(state, range, reply, out),
        Purpose::GrantLease => leadership::handle_lease(state, reply, out),
        Purpose::Campaign => leadership::handle_campaign(state, sent, reply, out),
        Purpose::Renew => leadership::handle_renewal(state, sent, &reply, out),
        Purpose::Load(part) => load::handle_reply(state, part, reply, out),
        Purpose::Commit => journal::handle_reply(state, reply, out),
        Purpose::Resign => leadership::step_down(state, "it resigned", out),
    }
}
