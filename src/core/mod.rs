//! The reducer, which makes all decisions of an entry VM.
//!
//! [`reduce`] processes one [`event::Input`] and appends [`effect::Effect`]s to a list. It reads no clock, does no I/O,
//! takes no lock and is not async: each input carries the time and a random number. Each area is a module of plain
//! functions over [`State`]. State is stored in arenas and referenced by small `Copy` keys.

pub mod admin;
pub mod apply;
pub mod cell;
pub mod config;
pub mod control;
pub mod effect;
pub mod event;
pub mod exchange;
pub mod grant;
pub mod journal;
pub mod lease;
pub mod listing;
pub mod member;
pub mod peer;
pub mod place;
pub mod reconcile;
pub mod recovery;
pub mod replica;
pub mod route;
pub mod run;
pub mod shutdown;
pub mod state;
pub mod store;
pub mod task;
pub mod time;
pub mod timer;
pub mod trace;
pub mod tuning;
pub mod work;
pub mod worker;

use effect::Effect;
use event::{Event, Input};
pub use state::State;
use timer::Timer;

/// Updates `state` for one input and appends the resulting effects to `out`.
pub fn reduce(state: &mut State, input: Input, out: &mut Vec<Effect>) {
    state.advance(input.at, input.entropy);
    run_timers(state, out);
    if let Some(work) = &mut state.work {
        work::advance(work, input.at, input.unix_ms, input.entropy, input.spent, out);
    }
    match input.event {
        Event::Wake => {}
        Event::Request(request) => exchange::accept(state, request, out),
        Event::Abandoned(ticket) => exchange::abandon(state, ticket, out),
        Event::Attempt { exchange, attempt, outcome } => {
            exchange::finish_attempt(state, exchange, attempt, outcome, out);
        }
        Event::Peer { from, address, message } => receive(state, from, address, message, out),
        Event::Store { call, reply } => store::handle_reply(state, call, reply, out),
        Event::Worker { worker, sequence, reply, .. } => {
            lease::handle_reply(state, worker, sequence, reply, out)
        }
        Event::Listing(vms) => {
            member::handle_listing(state, &vms, out);
            worker::handle_listing(state, &vms, out);
        }
        Event::Admin { ticket, command } => admin::handle_command(state, ticket, command, out),
        Event::Work(event) => {
            if let Some(work) = &mut state.work {
                work::reduce(work, event, out);
            }
        }
        Event::Stop => match &mut state.work {
            Some(work) => work::stop(work, out),
            None => shutdown::begin(state, out),
        },
    }
    worker::flush(state, out);
}

fn run_timers(state: &mut State, out: &mut Vec<Effect>) {
    while let Some(timer) = state.timers.pop(state.now) {
        match timer {
            Timer::Heartbeat => member::send_heartbeats(state, out),
            Timer::ReadIndex => config::poll_index(state, out),
            Timer::RenewGrants => grant::request_all(state, out),
            Timer::ReviewOwnership => cell::review_ownership(state, out),
            Timer::RenewLease(worker) => lease::renew(state, worker, out),
            Timer::Append(cell) => journal::flush(state, cell, out),
            Timer::Recover(cell) => recovery::resume(state, cell, out),
            Timer::Place(cell) => place::run_pass(state, cell, out),
            Timer::Deadline(exchange) => exchange::expire(state, exchange, out),
            Timer::RetryApply => apply::retry(state, out),
            Timer::Shutdown => shutdown::advance(state, out),
        }
    }
}

fn receive(
    state: &mut State,
    from: member::Id,
    address: std::net::SocketAddr,
    message: peer::Message,
    out: &mut Vec<Effect>,
) {
    use peer::Message;
    member::update_identity(state, from, address, out);
    match message {
        Message::Heartbeat { counter, version, others } => {
            member::handle_heartbeat(state, from, counter, version, &others);
            config::request_if_newer(state, version, address, out);
        }
        Message::Leave => member::mark_leaving(state, from, out),
        Message::ConfigAsk { known_version, documents } => {
            config::handle_request(state, known_version, &documents, address, out)
        }
        Message::ConfigOffer { index, documents } => config::handle_offer(state, index, documents, out),
        Message::GrantAsk { cell, held, asked_us, routes_version: routes } => {
            grant::handle_request(state, grant::Request { from, address, cell, held, asked_us, routes }, out);
        }
        Message::Grant { cell, epoch, slot, asked_us, ttl_ms } => {
            grant::handle_grant(state, cell, grant::Offer { epoch, slot, asked_us, ttl_ms }, out);
        }
        Message::Routes { cell, epoch, version, replicas } => {
            route::update_cell(state, cell, (epoch, version), &replicas, out);
        }
        Message::Handover { cell, epoch, next, snapshot } => {
            recovery::accept_handover(state, cell, epoch, next, snapshot, out);
        }
    }
}
