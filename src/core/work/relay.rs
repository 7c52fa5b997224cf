//! Relay of large configurations between entry VMs.
//!
//! The platform's store sends a whole configuration for each change. If every entry VM read a large one from the store, the
//! copies would fill the link between two regions for longer than a configuration may take to be in force. So an entry VM
//! other than the leader gives up a read of the configuration whose answer is large, and asks the leader for the changes.
//! It reads the whole configuration itself if it gets none in time.

use std::net::SocketAddr;
use std::time::Duration;

use super::config::Update;
use super::effect::Effect as WorkEffect;
use super::event::Fault;
use super::leadership::Role;
use super::request::Ticket;
use super::state;
use super::store::Range;
use super::timer::Timer;
use super::{leadership, watch};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Size of an answer of the store up to which an entry VM reads the configuration itself, in bytes.
const DIRECT_BYTES_MAX: usize = 32 << 10;

/// Longest time for which an entry VM delays its answer until it has a newer configuration.
const UPDATE_WAIT: Duration = Duration::from_millis(800);

/// Time without a newer configuration from the leader after which the whole configuration is read from the store.
const PATIENCE: Duration = Duration::from_millis(1_800);

/// Pause after which the leader is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after an update until the store is watched again. In a series of changes each such watch transfers the first
/// part of an answer that is given up.
const WATCH_PAUSE: Duration = Duration::from_millis(1_000);

/// A request of another entry VM that waits for a newer configuration.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    /// Version that the other VM has.
    known: u64,
    until: Instant,
}

/// Requests for updates, in both directions.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Requests of other entry VMs.
    waiting: Vec<Waiting>,
    /// Address that an update was requested from; `None` if no request is in flight.
    asked: Option<SocketAddr>,
    /// When that request was sent.
    asked_at: Instant,
    /// Since when the store is known to have a newer configuration that is too large to be read directly.
    wanted_since: Option<Instant>,
}

/// Size limit for a read of the configuration; `None` if this process reads a configuration of any size.
pub(super) fn read_limit(state: &super::State, range: Range) -> Option<usize> {
    let has_patience = state.relay.wanted_since.is_none_or(|since| state.now.since(since) < PATIENCE);
    let is_relayed = range == Range::Config && has_patience && leader(state).is_some();
    is_relayed.then_some(DIRECT_BYTES_MAX)
}

/// Address of the leader, if another process leads.
fn leader(state: &super::State) -> Option<SocketAddr> {
    let (leader, revision) = state.leadership.holder.as_ref()?;
    let is_alive = state.leadership.dead_revision != Some(*revision);
    let is_other = leader.nonce != state.identity.nonce && state.leadership.role == Role::Follower;
    (is_alive && is_other).then_some(leader.address)
}

/// Handles an answer of the store that is too large to be read directly.
pub(super) fn begin(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.relay.wanted_since.is_none() {
        state.relay.wanted_since = Some(state.now);
        let reason = format!("the answer of the store exceeds {DIRECT_BYTES_MAX} bytes");
        state::record(out, Subject::Config(state.config.version), "config-newer", reason);
        out.push(Effect::Work(WorkEffect::ConfigPending(Some(state.now))));
    }
    ask(state, out);
}

/// Whether a request to the leader is in flight, so that the store is not read at the same time.
pub(super) fn is_asking(state: &super::State) -> bool {
    state.relay.asked.is_some()
}

/// Asks the new leader if the one that was asked has been replaced.
pub(super) fn handle_leader(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.relay.asked.is_some() && state.relay.asked != leader(state) {
        state.relay.asked = None;
        ask(state, out);
    }
}

/// Asks the leader for an update, or reads the whole configuration if there is no leader or the patience has ended.
pub(super) fn ask(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.relay.wanted_since.is_none() || state.relay.asked.is_some() {
        return;
    }
    let target = leader(state).filter(|_| read_limit(state, Range::Config).is_some());
    let Some(to) = target else {
        state::record(
            out,
            Subject::Config(state.config.version),
            "config-direct",
            "no update from the leader",
        );
        watch::stop_watching(state, Range::Config);
        return watch::list_or_watch(state, Range::Config, out);
    };
    state.relay.asked = Some(to);
    state.relay.asked_at = state.now;
    out.push(Effect::Work(WorkEffect::AskConfig { to, known: state.config.version, wait: UPDATE_WAIT }));
}

/// Handles the answer of the leader; `None` means that it has an older configuration than this process.
pub(super) fn handle_update(
    state: &mut super::State,
    from: SocketAddr,
    result: Result<Option<Update>, Fault>,
    bytes: usize,
    out: &mut Vec<Effect>,
) {
    if state.relay.asked != Some(from) {
        return;
    }
    state.relay.asked = None;
    let known = state.config.version;
    let elapsed_ms = state.now.since(state.relay.asked_at).as_millis();
    let update = result.unwrap_or_else(|fault| {
        let reason = format!("{from}: {fault:?} after {elapsed_ms} ms");
        state::record(out, Subject::Config(known), "update-not-read", reason);
        if fault == Fault::Refused {
            leadership::mark_leader_dead(state, from, out);
        }
        None
    });
    if let Some(update) = update.as_ref().filter(|update| update.version <= known) {
        let (version, until) = (update.version, update.newest_until);
        let reason =
            format!("{from}: version {version}, newest until revision {until}, after {elapsed_ms} ms");
        state::record(out, Subject::Config(known), "update-not-newer", reason);
    }
    let Some(update) = update.filter(|update| update.version >= known) else {
        return state.timers.set(state.now + RETRY_INTERVAL, Timer::AskConfig);
    };
    let is_newer = update.version > known;
    let pause = if is_newer { WATCH_PAUSE } else { RETRY_INTERVAL };
    if is_newer {
        let (base, version) = (update.base, update.version);
        let Some(config) = update.apply(&state.config) else {
            let reason = format!("{from}: changes from version {base} to {version}");
            state::record(out, Subject::Config(known), "update-not-applied", reason);
            return state.timers.set(state.now + RETRY_INTERVAL, Timer::AskConfig);
        };
        watch::accept_config(state, config, &format!("from {from}, {bytes} bytes in {elapsed_ms} ms"), out);
    } else {
        state.config.confirm(update.newest_until);
    }
    let watch = state.watches.entry(Range::Config).or_default();
    watch.watch_from = watch.watch_from.max(state.config.newest_until);
    watch.was_listed = true;
    state.timers.set(state.now + pause, Timer::Watch(Range::Config));
}

/// Handles a request of another entry VM for the changes since the version `known`.
pub(super) fn handle_request(
    state: &mut super::State,
    ticket: Ticket,
    known: u64,
    wait: Duration,
    out: &mut Vec<Effect>,
) {
    let until = state.now + wait;
    state.relay.waiting.push(Waiting { ticket, known, until });
    state.timers.set(until, Timer::AnswerConfig);
    answer(state, out);
}

/// Answers the requests for which there is a newer configuration, or whose wait is over.
pub(super) fn answer(state: &mut super::State, out: &mut Vec<Effect>) {
    let (now, version) = (state.now, state.config.version);
    let is_due = |waiting: &mut Waiting| waiting.known < version || waiting.until <= now;
    let due: Vec<Waiting> = state.relay.waiting.extract_if(.., is_due).collect();
    for Waiting { ticket, known, .. } in due {
        let update = (known <= version).then(|| state.config_history.update_since(known, &state.config));
        out.push(Effect::Work(WorkEffect::AnswerConfig { ticket, update }));
    }
}

/// Time since the first sign of a newer configuration that is not in force; `None` without such a sign.
pub(super) fn pending_time(state: &super::State) -> Option<Duration> {
    state.relay.wanted_since.map(|since| state.now.since(since))
}

/// Ends the search for a newer configuration, which is in force now.
pub(super) fn end(state: &mut super::State, out: &mut Vec<Effect>) {
    if state.relay.wanted_since.take().is_some() {
        out.push(Effect::Work(WorkEffect::ConfigPending(None)));
    }
}
