//! The reducer: every decision of an entry VM.
//!
//! [`reduce`] takes one [`event::Input`] and adds [`effect::Effect`]s to a list. It has no clock, randomness, I/O,
//! async or lock of its own: time and a random number come with the input. Each area is a module with plain functions
//! over [`State`]; state lives in arenas and is named by small `Copy` keys.

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

/// Reduces one input: changes `state` and adds what is to be done to `out`.
pub fn reduce(state: &mut State, input: Input, out: &mut Vec<Effect>) {
    state.advance(input.at, input.entropy);
    run_timers(state, out);
    if let Some(work) = &mut state.work {
        work::advance(work, input.at, input.unix_ms, input.entropy, out);
    }
    match input.event {
        Event::Wake => {}
        Event::Request(request) => exchange::open(state, request, out),
        Event::Abandoned(ticket) => exchange::abandon(state, ticket, out),
        Event::Attempt { exchange, attempt, outcome } => {
            exchange::attempt_ended(state, exchange, attempt, outcome, out);
        }
        Event::Parcel { from, address, message } => receive(state, from, address, message, out),
        Event::Store { call, reply } => store::handle_reply(state, call, reply, out),
        Event::Worker { worker, sequence, reply, .. } => {
            lease::handle_reply(state, worker, sequence, reply, out)
        }
        Event::Listing(vms) => {
            member::listed(state, &vms, out);
            worker::handle_listing(state, &vms, out);
        }
        Event::Admin { ticket, command } => admin::command(state, ticket, command, out),
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
            Timer::Heartbeat => member::beat(state, out),
            Timer::ReadIndex => config::poll(state, out),
            Timer::GrantAsk => grant::ask(state, out),
            Timer::Ownership => cell::review_ownership(state, out),
            Timer::Renew(worker) => lease::renew(state, worker, out),
            Timer::Append(cell) => journal::flush(state, cell, out),
            Timer::Recover(cell) => recovery::resume(state, cell, out),
            Timer::Place(cell) => place::pass(state, cell, out),
            Timer::Deadline(exchange) => exchange::expire(state, exchange, out),
            Timer::Apply => apply::retry(state, out),
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
    member::introduce(state, from, address, out);
    match message {
        Message::Heartbeat { beat, version, others } => {
            member::heard(state, from, beat, version, &others);
            config::heard_version(state, version, address, out);
        }
        Message::Leave => member::left(state, from, out),
        Message::ConfigAsk { have, documents } => config::asked(state, have, &documents, address, out),
        Message::ConfigOffer { index, documents } => config::offered(state, index, documents, out),
        Message::GrantAsk { cell, held, asked_us, routes } => {
            grant::asked(state, grant::Ask { from, address, cell, held, asked_us, routes }, out);
        }
        Message::Grant { cell, epoch, slot, asked_us, ttl_ms } => {
            grant::granted(state, cell, grant::Offer { epoch, slot, asked_us, ttl_ms }, out);
        }
        Message::Routes { cell, epoch, version, replicas } => {
            route::update(state, cell, (epoch, version), &replicas, out);
        }
        Message::Handover { cell, epoch, next, snapshot } => {
            recovery::accept_handover(state, cell, epoch, next, snapshot, out);
        }
    }
}
