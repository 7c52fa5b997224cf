//! Graceful stop: no new callers, answers for those that wait, and the leadership for another process.

use super::timer::Timer;
use super::{leadership, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Wait between two looks at what is left to do.
const LOOK: std::time::Duration = std::time::Duration::from_millis(50);

/// Starts a graceful stop.
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

/// Ends the process when nothing is left to do, or after the longest wait.
pub(super) fn step(state: &mut super::State, out: &mut Vec<Effect>) {
    let is_idle = state.requests.is_empty() && state.journal.is_idle() && state.leadership.term() == 0;
    if state.now < state.stop_deadline && !is_idle {
        state.timers.set(state.now + LOOK, Timer::Stop);
        return;
    }
    out.push(Effect::StopListening);
    out.push(Effect::Exit);
    state.stop_deadline = Instant(u64::MAX);
}
