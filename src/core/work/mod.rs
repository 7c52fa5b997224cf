//! Reducer of the scheduler for jobs that callers submit.
//!
//! One entry VM is the leader: it accepts jobs, stores them, and starts their tasks on workers. The other entry VMs
//! forward requests to the leader, and one of them is elected when the leader fails. `reduce` handles one event. All
//! decisions are made in this module; the monotonic time, the time of day and the random seed are part of the input.

pub mod admission;
pub mod backlog;
pub mod config;
pub mod confirm;
mod control;
pub mod crash;
mod discovery;
pub mod dispatch;
pub mod effect;
pub mod evacuation;
pub mod event;
pub mod gate;
pub mod handler;
pub mod headroom;
pub mod health;
pub mod image;
pub mod job;
pub mod journal;
pub mod lag;
pub mod late;
pub mod leadership;
mod lifecycle;
pub mod load;
pub mod meter;
pub mod occupancy;
pub mod order;
mod pace;
pub mod place;
pub mod relay;
mod renewal;
pub mod request;
pub mod reserve;
pub mod run;
pub mod runtime;
pub mod silence;
pub mod spec;
pub mod speculate;
pub mod state;
mod stop;
pub mod store;
pub mod symbol;
pub mod task;
pub mod timer;
pub mod tuning;
mod wait;
mod watch;
pub mod worker;

use std::time::Duration;

use event::Event;
pub use state::State;
use state::{Pending, Purpose};
use store::{Call, Range, Reply};
use timer::Timer;

use super::effect::Effect;
use super::time::Instant;

/// Updates the state with one event and appends the resulting effects to `out`.
pub(super) fn reduce(state: &mut State, event: Event, out: &mut Vec<Effect>) {
    match event {
        Event::Request { ticket, request, is_forwarded } => {
            handler::handle_request(state, ticket, request, is_forwarded, out)
        }
        Event::Forwarded { ticket, result } => handler::handle_forwarded(state, ticket, result, out),
        Event::ConfigAsked { ticket, known, wait } => {
            relay::handle_request(state, ticket, known, wait, out);
        }
        Event::ConfigUpdated { from, result, bytes } => {
            relay::handle_update(state, from, result, bytes, out);
        }
        Event::Store { call, reply } => handle_store_reply(state, call, reply, out),
        Event::LeaseRenewed { worker, sent, result } => {
            renewal::handle_reply(state, worker, sent, result, out)
        }
        Event::Started { run, result } => control::handle_start_reply(state, run, result, out),
        Event::Stopped { run, sent, result } => control::handle_stop_reply(state, run, sent, result, out),
        Event::PaceChanged { run, percent, result } => pace::handle_reply(state, run, percent, result, out),
    }
}

/// Starts a graceful shutdown.
pub(super) fn stop(state: &mut State, out: &mut Vec<Effect>) {
    stop::begin(state, out);
}

/// Sets the time and the random seed from an input, and runs all timers that have expired.
///
/// `spent` is the time that the process took for the previous input.
pub(super) fn advance(
    state: &mut State,
    at: Instant,
    unix_ms: u64,
    entropy: u64,
    spent: Duration,
    out: &mut Vec<Effect>,
) {
    let last_input_at = state.now;
    state.advance(at, unix_ms, entropy);
    place::extend_rest(state, last_input_at, spent);
    if let Some(due) = state.timers.next_due().filter(|due| *due <= state.now) {
        // A timer that the last input set for an earlier time was due no earlier than that input.
        let due = due.max(last_input_at);
        state.lag.record(due, state.now);
        state.meter.record_lag(state.now.since(due));
    }
    while let Some(timer) = state.timers.pop(state.now) {
        match timer {
            Timer::Watch(range) => watch::list_or_watch(state, range, out),
            Timer::AskConfig => relay::advance(state, out),
            Timer::AnswerConfig => relay::answer(state, out),
            Timer::RefuseOutdated => handler::review_outdated(state, out),
            Timer::EndConfirmWait => {
                let now = state.now;
                handler::fail_unconfirmed(state, |waiting| waiting.until() <= now, out);
            }
            Timer::Campaign => leadership::campaign(state, out),
            Timer::Renew(term) => leadership::renew(state, term, out),
            Timer::Load => load::retry(state, out),
            Timer::Commit => journal::flush(state, out),
            Timer::RenewWorker(worker) => renewal::run_timer(state, worker, out),
            Timer::StoreImages(term) => pace::store_images(state, term),
            Timer::Place => place::run_timer(state, out),
            Timer::ReportWaits => wait::run_timer(state, out),
            Timer::Release(job) => lifecycle::release_due(state, job),
            Timer::Forget(job) => lifecycle::remove_ended(state, job),
            Timer::Stop => stop::advance(state, out),
        }
    }
    meter::report(state, out);
}

fn handle_store_reply(state: &mut State, call: Call, reply: Reply, out: &mut Vec<Effect>) {
    let Some(Pending { purpose, sent }) = state.remove_call(call) else { return };
    state.track_store_health(&reply, out);
    if reply == Reply::Lost && silence::is_timeout(state.now.since(sent), &state.tuning) {
        watch::handle_silence(state, &purpose, sent, out);
    }
    match purpose {
        Purpose::List(range) => {
            if range == Range::Leadership {
                state.leadership.store_round_trip = state.now.since(sent);
            }
            watch::handle_page(state, range, sent, reply, out);
        }
        Purpose::Watch(range) => watch::handle_changes(state, range, sent, reply, out),
        Purpose::ConfirmConfig { after } => watch::handle_confirmation(state, (sent, after), reply, out),
        Purpose::GrantLease => leadership::handle_lease(state, reply, out),
        Purpose::Campaign => leadership::handle_campaign(state, sent, reply, out),
        Purpose::Renew => leadership::handle_renewal(state, &reply, out),
        Purpose::Confirm => leadership::handle_key(state, sent, &reply, out),
        Purpose::Load(part) => load::handle_reply(state, part, reply, out),
        Purpose::Commit => journal::handle_reply(state, reply, out),
        Purpose::ClaimRelay => relay::handle_claim(state, reply, out),
        Purpose::Resign => leadership::step_down(state, "the process shuts down", out),
    }
}
