//! Graceful shutdown of an entry VM.
//!
//! The readiness check fails first, so that the load balancer sends no new callers, and all cells are handed over at
//! once. After the drain wait the process stops listening, and it exits when no request is in flight.

use std::time::Duration;

use super::effect::Effect;
use super::peer::Message;
use super::state::{State, record};
use super::timer::Timer;
use super::trace::Subject;
use super::{cell, member, worker};

/// Stage of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Not shutting down.
    Running,
    /// Not ready; new requests are still accepted.
    Draining,
    /// Not listening; requests in flight finish.
    Finishing,
}

impl Stage {
    /// Whether the process is not shutting down.
    pub fn is_running(self) -> bool {
        self == Self::Running
    }
}

/// Interval between checks for requests in flight.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the shutdown unless it is already in progress.
pub(crate) fn begin(state: &mut State, out: &mut Vec<Effect>) {
    if !state.shutdown.is_running() {
        return;
    }
    state.shutdown = Stage::Draining;
    out.push(Effect::Ready(false));
    record(out, Subject::Process, "shutdown", "received a stop request");
    let addresses: Vec<_> = member::neighbours(state).map(|member| member.address).collect();
    out.extend(addresses.into_iter().map(|to| Effect::Peer { to, message: Message::Leave }));
    for key in state.cells.keys() {
        let Some(id) = state.cells.get(key).map(|cell| cell.id) else { continue };
        match member::rank_candidates(state, id.number()).first() {
            Some(successor) => cell::hand_over(state, key, *successor, out),
            None => {
                worker::release_leases(state, id, out);
                cell::step_down(state, key, "the last live member of the zone shuts down", out);
            }
        }
    }
    state.timers.set(state.now + state.tuning.drain_wait, Timer::Shutdown);
}

/// Advances the shutdown to its next stage, and exits once no request is in flight.
pub(crate) fn advance(state: &mut State, out: &mut Vec<Effect>) {
    match state.shutdown {
        Stage::Running => {}
        Stage::Draining => {
            state.shutdown = Stage::Finishing;
            out.push(Effect::StopListening);
            state.timers.set(state.now + CHECK_INTERVAL, Timer::Shutdown);
        }
        Stage::Finishing if state.exchanges.is_empty() => {
            record(out, Subject::Process, "exit", "no request is in flight");
            out.push(Effect::Exit);
        }
        Stage::Finishing => state.timers.set(state.now + CHECK_INTERVAL, Timer::Shutdown),
    }
}
