//! The reducer: every decision of an entry VM.
//!
//! [`reduce`] takes one [`event::Input`] and adds [`effect::Effect`]s to a list. It has no clock, randomness, I/O,
//! async or lock of its own: time and a random number come with the input. Each area is a module with plain functions
//! over [`State`]; state lives in arenas and is named by small `Copy` keys.

pub mod admin;
pub mod cell;
pub mod config;
pub mod control;
pub mod effect;
pub mod event;
pub mod exchange;
pub mod grant;
pub mod journal;
pub mod listing;
pub mod member;
pub mod peer;
pub mod run;
pub mod store;
pub mod task;
pub mod time;
pub mod timer;
pub mod trace;
pub mod tuning;
pub mod worker;

use effect::Effect;
use event::{Event, Input};
use time::Instant;

/// State of one entry VM.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Time of the input being reduced.
    pub now: Instant,
    /// What is due when.
    pub timers: timer::Queue,
    /// Times and limits.
    pub tuning: tuning::Tuning,
}

impl State {
    /// When the reducer next wants an [`Event::Wake`].
    pub fn next_due(&self) -> Option<Instant> {
        self.timers.next_due()
    }
}

/// Reduces one input: changes `state` and adds what is to be done to `out`.
pub fn reduce(state: &mut State, input: Input, out: &mut Vec<Effect>) {
    state.now = input.at;
    if let Event::Stop = input.event {
        out.push(Effect::Ready(false));
    }
}
