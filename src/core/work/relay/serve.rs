//! Answers to other entry VMs that ask for a newer configuration.

use std::time::Duration;

use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::work::State;
use crate::core::work::effect::Effect as WorkEffect;
use crate::core::work::request::Ticket;
use crate::core::work::timer::Timer;

/// A request of another entry VM that waits for a newer configuration.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    ticket: Ticket,
    /// Version that the other VM has.
    known: u64,
    until: Instant,
}

/// Handles a request of another entry VM for the changes since the version `known`.
pub fn handle_request(state: &mut State, ticket: Ticket, known: u64, wait: Duration, out: &mut Vec<Effect>) {
    let until = state.now + wait;
    state.relay.waiting.push(Waiting { ticket, known, until });
    state.timers.set(until, Timer::AnswerConfig);
    answer(state, out);
}

/// Answers the requests for which there is a newer configuration, or whose wait is over.
pub fn answer(state: &mut State, out: &mut Vec<Effect>) {
    let (now, version) = (state.now, state.config.version);
    let is_due = |waiting: &mut Waiting| waiting.known < version || waiting.until <= now;
    let due: Vec<Waiting> = state.relay.waiting.extract_if(.., is_due).collect();
    for Waiting { ticket, known, .. } in due {
        let update = (known <= version).then(|| state.config_history.update_since(known, &state.config));
        out.push(Effect::Work(WorkEffect::AnswerConfig { ticket, update }));
    }
}
