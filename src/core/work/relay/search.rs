//! Search for a newer configuration, from the first sign of it until it is in force.

use std::net::SocketAddr;
use std::time::Duration;

use super::{claim, reads_whole};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::core::work::config::Update;
use crate::core::work::effect::Effect as WorkEffect;
use crate::core::work::event::Fault;
use crate::core::work::state;
use crate::core::work::store::Range;
use crate::core::work::timer::Timer;
use crate::core::work::{State, leadership, watch};

/// Longest time for which another entry VM delays its answer until it has a newer configuration.
const UPDATE_WAIT: Duration = Duration::from_millis(500);

/// Time without a newer configuration after which a further relay is asked.
const HEDGE_DELAY: Duration = Duration::from_millis(400);

/// Most relays that are asked for a version.
const RELAYS_MAX: u32 = 3;

/// Pause after which a VM is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Pause after an update until the store is watched again. The VM that sent the update is asked for the next one
/// meanwhile: in a series of changes each watch would transfer the first part of an answer that is given up.
const WATCH_PAUSE: Duration = Duration::from_millis(300);

/// Time after which a VM reads the whole configuration although it is not the relay, and the random part of that time.
const LAST_RESORT_DELAY: Duration = Duration::from_millis(3_000);
const LAST_RESORT_JITTER_MAX: Duration = Duration::from_millis(1_000);

/// A request to another entry VM.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ask {
    to: SocketAddr,
    sent: Instant,
}

/// A newer configuration than the one in force exists, or may exist.
#[derive(Debug, Clone, Copy)]
pub(super) struct Search {
    /// When its first sign was seen.
    pub since: Instant,
    /// Delay of the claims to be the relay.
    pub claim_delay: Duration,
    /// Delay until this VM reads the whole configuration in any case.
    last_resort_delay: Duration,
    /// Whether the whole configuration is being read from the store.
    pub is_reading: bool,
    /// Whether a newer version exists. A list that is too large to be read does not show that.
    is_certain: bool,
}

/// Time since the first sign of a newer configuration that is not in force; `None` without such a sign.
pub fn pending_time(state: &State) -> Option<Duration> {
    state.relay.search.map(|search| state.now.since(search.since))
}

/// Whether the search has lasted so long that the whole configuration is read, whoever else does.
pub(super) fn is_last_resort(state: &State) -> bool {
    state.relay.search.is_some_and(|search| state.now >= search.since + search.last_resort_delay)
}

/// Handles an answer of the store that is too large to be read: the sign of a newer configuration, which is certain after a
/// watch.
pub fn begin(state: &mut State, is_certain: bool, out: &mut Vec<Effect>) {
    match &mut state.relay.search {
        Some(search) => {
            search.is_reading = false;
            search.is_certain |= is_certain;
        }
        None => {
            let claim_delay = claim::draw_delay(state);
            let last_resort_delay = LAST_RESORT_DELAY + state.jitter(LAST_RESORT_JITTER_MAX);
            let since = state.now;
            let search = Search { since, claim_delay, last_resort_delay, is_reading: false, is_certain };
            state.relay.search = Some(search);
            let reason = format!("the answer of the store exceeds {} bytes", super::DIRECT_BYTES_MAX);
            state::record(out, Subject::Config(state.config.version), "config-newer", reason);
            out.push(Effect::Work(WorkEffect::ConfigPending(Some(since))));
        }
    }
    advance(state, out);
}

/// Takes the steps of the search that are due, and schedules the next one.
pub fn advance(state: &mut State, out: &mut Vec<Effect>) {
    if state.relay.next_step.is_some_and(|at| at <= state.now) {
        state.relay.next_step = None;
    }
    let Some(search) = state.relay.search else { return };
    if reads_whole(state) {
        return advance_reader(state, search, out);
    }
    let hedge_at = ask_relays(state, &search, out);
    let claim_at = claim::due(state, &search);
    if state.now >= claim_at {
        claim::send(state, &format!("no update for {} ms", state.now.since(search.since).as_millis()), out);
    }
    let retry_at = state.now + RETRY_INTERVAL;
    schedule_step(state, hedge_at.min(claim_at.max(retry_at)).min(search.since + search.last_resort_delay));
}

/// Asks the relay, and further ones the longer the search lasts. Returns when the next one is due.
fn ask_relays(state: &mut State, search: &Search, out: &mut Vec<Effect>) -> Instant {
    let elapsed = state.now.since(search.since);
    let count = 1 + (elapsed.as_millis() / HEDGE_DELAY.as_millis()) as u32;
    for to in claim::relays(state).into_iter().take(count.min(RELAYS_MAX) as usize) {
        ask(state, to, UPDATE_WAIT, out);
    }
    search.since + HEDGE_DELAY * count
}

/// Takes the steps of a VM that reads whole configurations: it does so unless a relay that is nearer to the store has the
/// changes soon.
fn advance_reader(state: &mut State, search: Search, out: &mut Vec<Effect>) {
    let read_at = search.since + HEDGE_DELAY;
    match claim::nearer_relay(state).filter(|_| state.now < read_at) {
        Some(nearer) => {
            ask(state, nearer, UPDATE_WAIT, out);
            schedule_step(state, read_at);
        }
        None => read_whole(state, search, out),
    }
}

/// Schedules the next step, unless an earlier one is scheduled.
fn schedule_step(state: &mut State, at: Instant) {
    if state.relay.next_step.is_none_or(|next| next > at) {
        state.relay.next_step = Some(at);
        state.timers.set(at, Timer::AskConfig);
    }
}

/// Asks another entry VM for a newer configuration, unless a request to it is in flight.
fn ask(state: &mut State, to: SocketAddr, wait: Duration, out: &mut Vec<Effect>) {
    if state.relay.asks.iter().any(|ask| ask.to == to) {
        return;
    }
    state.relay.asks.push(Ask { to, sent: state.now });
    out.push(Effect::Work(WorkEffect::AskConfig { to, known: state.config.version, wait }));
}

/// Reads the whole configuration from the store, unless that has begun; a failed read is repeated like any list.
fn read_whole(state: &mut State, search: Search, out: &mut Vec<Effect>) {
    if search.is_reading {
        return;
    }
    if state.now < state.relay.read_not_before {
        return schedule_step(state, state.relay.read_not_before);
    }
    state.relay.search = Some(Search { is_reading: true, ..search });
    let reason = format!("{} ms after the first sign", state.now.since(search.since).as_millis());
    state::record(out, Subject::Config(state.config.version), "config-direct", reason);
    watch::stop_watching(state, Range::Config);
    watch::list_or_watch(state, Range::Config, out);
}

/// Handles the answer of another entry VM; `None` means that it has an older configuration than this process.
pub fn handle_update(
    state: &mut State,
    from: SocketAddr,
    result: Result<Option<Update>, Fault>,
    bytes: usize,
    out: &mut Vec<Effect>,
) {
    let Some(position) = state.relay.asks.iter().position(|ask| ask.to == from) else { return };
    let ask = state.relay.asks.swap_remove(position);
    let elapsed_ms = state.now.since(ask.sent).as_millis();
    claim::mark_failed(state, from, result.is_err());
    match result {
        Err(fault) => handle_failure(state, ask, fault, out),
        Ok(Some(update)) if update.version > state.config.version => {
            apply(state, from, update, &format!("from {from}, {bytes} bytes in {elapsed_ms} ms"), out);
        }
        Ok(update) => handle_known(state, ask, update, out),
    }
}

/// Handles a request that failed.
fn handle_failure(state: &mut State, ask: Ask, fault: Fault, out: &mut Vec<Effect>) {
    let reason = format!("{}: {fault:?} after {} ms", ask.to, state.now.since(ask.sent).as_millis());
    state::record(out, Subject::Config(state.config.version), "update-not-read", reason);
    if fault == Fault::Refused {
        leadership::mark_leader_dead(state, ask.to, out);
    }
    if state.relay.search.is_some() {
        schedule_step(state, state.now + RETRY_INTERVAL);
    }
}

/// Handles an answer without a newer configuration. If the sign of one was a list, a watch shows whether there is one: all VMs
/// list the configuration again after the store has dropped its history.
fn handle_known(state: &mut State, ask: Ask, update: Option<Update>, out: &mut Vec<Effect>) {
    let known = state.config.version;
    let found = update.as_ref().map_or(0, |update| update.version);
    if state.relay.search.is_some() {
        let until = update.as_ref().map_or(0, |update| update.newest_until);
        let elapsed_ms = state.now.since(ask.sent).as_millis();
        let reason =
            format!("{}: version {found}, newest until revision {until}, after {elapsed_ms} ms", ask.to);
        state::record(out, Subject::Config(known), "update-not-newer", reason);
        schedule_step(state, state.now + RETRY_INTERVAL);
    }
    if let Some(update) = update.filter(|_| found == known) {
        state.config.confirm(update.newest_until);
        if state.relay.search.is_none_or(|search| !search.is_certain && !search.is_reading) {
            end(state, out);
            watch_on(state, RETRY_INTERVAL);
        }
    }
}

/// Brings a newer configuration into force, and asks its sender for the next one before the store is watched again.
fn apply(state: &mut State, from: SocketAddr, update: Update, source: &str, out: &mut Vec<Effect>) {
    let (base, version, known) = (update.base, update.version, state.config.version);
    let Some(config) = update.apply(&state.config) else {
        let reason = format!("{from}: changes from version {base} to {version}");
        state::record(out, Subject::Config(known), "update-not-applied", reason);
        return advance(state, out);
    };
    watch::accept_config(state, config, source, out);
    watch::drop_call(state, Range::Config);
    state.relay.watch_not_before = state.now + WATCH_PAUSE;
    watch_on(state, WATCH_PAUSE);
    ask(state, from, WATCH_PAUSE, out);
}

/// Watches the store again after a pause, from the revision up to which the active configuration is the newest.
fn watch_on(state: &mut State, pause: Duration) {
    let watch = state.watches.entry(Range::Config).or_default();
    watch.watch_from = watch.watch_from.max(state.config.newest_until);
    watch.was_listed = true;
    state.timers.set(state.now + pause, Timer::Watch(Range::Config));
}

/// Ends the search for a newer configuration, which is in force now.
pub fn end(state: &mut State, out: &mut Vec<Effect>) {
    if state.relay.search.take().is_some() {
        out.push(Effect::Work(WorkEffect::ConfigPending(None)));
    }
}
