//! Graceful shutdown: reports not ready, resigns the leadership, and waits for the requests in progress before it
//! exits.

use super::timer::Timer;
use super::{leadership, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Interval between two checks whether requests or commits are still in progress.
const IDLE_CHECK_INTERVAL: std::time::Duration = std::time::Duration::from_millis(50);

/// Starts a graceful shutdown.
pub(super) fn begin(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.is_stopping {
        return;
    }
    state.is_stopping = true;
    state::record(out, Subject::Process, "stop", "asked to");
    out.push(Effect::Ready(false));
    leadership::resign(state, out);
    state.stop_deadline = state.now + state.tuning.stop_wait;
    state.timers.set(state.now, Timer::Stop);
}

/// Ends the process when no request or commit is in progress and the leadership is resigned, or when the wait is over.
pub(super) fn advance(state: &mut super::State, out: &mut Vec<Effect>) {
    let has_requests = !state.requests.is_empty() || !state.confirm.is_empty();
    let is_idle = !has_requests && state.journal.is_idle() && state.leadership.term() == 0;
    if state.now < state.stop_deadline && !is_idle {
        state.timers.set(state.now + IDLE_CHECK_INTERVAL, Timer::Stop);
        return;
    }
    out.push(Effect::StopListening);
    out.push(Effect::Exit);
    state.stop_deadline = Instant(u64::MAX);
}
