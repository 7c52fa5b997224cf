//! List and watch of a range of the store: the range is listed once, and then its changes are watched.

use std::time::Duration;

use super::config::Config;
use super::state::{self, Purpose};
use super::store::{Change, Item, Range, Reply, Request, Revision};
use super::timer::Timer;
use super::{discovery, evacuation, handler, leadership, load, relay, silence};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Sends the next list or watch call for a range, unless a call is in flight.
pub(super) fn list_or_watch(state: &mut super::State, range: Range, out: &mut Vec<Effect>) {
    if is_for_leader(range) && state.leadership.term() == 0 {
        return;
    }
    if range == Range::Config && relay::holds_reads_back(state) {
        return;
    }
    let watch = state.watches.entry(range).or_default();
    if watch.call.is_some() {
        return;
    }
    if watch.watch_from == 0 {
        return list_page(state, range, None, out);
    }
    let (after, timeouts) = (watch.watch_from, watch.timeouts);
    // The watch of the leadership is the other one that every entry VM has.
    let other_sent = (range == Range::Config).then(|| state.watch_sent_at(Range::Leadership)).flatten();
    let wait = silence::wait(state.tuning.watch_wait, other_sent, state.now);
    let allowance = silence::allowance(timeouts, &state.tuning);
    let request = Request::Watch { range, after, wait, allowance, limit: relay::watch_limit(range) };
    let call = state.call_store(Purpose::Watch(range), request, out);
    let watch = state.watches.entry(range).or_default();
    watch.call = Some(call);
    watch.wait = wait;
}

/// Whether only the leader reads a range.
fn is_for_leader(range: Range) -> bool {
    matches!(range, Range::Workers | Range::Evacuations)
}

/// Reads the page of a range that begins after the key `after`; `None` reads the first page.
fn list_page(state: &mut super::State, range: Range, after: Option<String>, out: &mut Vec<Effect>) {
    let limit = relay::list_limit(state, range);
    let call = state.call_store(Purpose::List(range), Request::List { range, after, limit }, out);
    state.watches.entry(range).or_default().call = Some(call);
}

/// Lists a range again after a delay. The reply to a call in flight is ignored.
pub(super) fn relist(state: &mut super::State, range: Range, wait: Duration) {
    stop_watching(state, range);
    state.timers.set(state.now + wait, Timer::Watch(range));
}

/// Stops watching a range. The reply to a call in flight is ignored.
pub(super) fn stop_watching(state: &mut super::State, range: Range) {
    let watch = state.watches.entry(range).or_default();
    watch.watch_from = 0;
    watch.pages.clear();
    watch.list_revision = 0;
    drop_call(state, range);
}

/// Ignores the reply to the list or watch call of a range that is in flight.
pub(super) fn drop_call(state: &mut super::State, range: Range) {
    if let Some(call) = state.watches.entry(range).or_default().call.take() {
        state.remove_call(call);
    }
}

/// Handles a page of a list. The list is applied once all of its pages are read.
pub(super) fn handle_page(
    state: &mut super::State,
    range: Range,
    sent: Instant,
    reply: Reply,
    out: &mut Vec<Effect>,
) {
    let watch = state.watches.entry(range).or_default();
    watch.call = None;
    if reply == Reply::TooLarge {
        return relay::begin(state, false, out);
    }
    let Reply::Page { items, next, as_of, bytes } = reply else {
        record_failed_read(state, range, sent, &reply, out);
        let wait = state.tuning.store_retry + state.jitter(state.tuning.store_retry);
        return relist(state, range, wait);
    };
    // Pages are not a snapshot. The watch starts at the revision of the first page, so that it reports every change that
    // a later page may have missed.
    if watch.list_revision == 0 {
        watch.list_revision = as_of.max(1);
    }
    watch.pages.extend(items);
    if next.is_some() {
        return list_page(state, range, next, out);
    }
    let as_of = std::mem::take(&mut watch.list_revision);
    watch.watch_from = as_of;
    watch.was_listed = true;
    let items = std::mem::take(&mut watch.pages);
    let source = format!("from the store, {bytes} bytes in {} ms", state.now.since(sent).as_millis());
    apply_list(state, range, items, (sent, as_of), &source, out);
    list_or_watch(state, range, out);
}

/// Handles the reply to a watch.
pub(super) fn handle_changes(
    state: &mut super::State,
    range: Range,
    sent: Instant,
    reply: Reply,
    out: &mut Vec<Effect>,
) {
    let watch = state.watches.entry(range).or_default();
    watch.call = None;
    let is_lost = reply == Reply::Lost;
    let has_timed_out = is_lost && silence::is_timeout(state.now.since(sent), &state.tuning);
    watch.timeouts = silence::count_timeouts(watch.timeouts, has_timed_out);
    let is_first_failure =
        !std::mem::replace(&mut watch.has_failed, matches!(reply, Reply::Lost | Reply::Refused));
    match reply {
        Reply::Changes { changes, as_of, bytes } => {
            let after = watch.watch_from;
            watch.watch_from = as_of.max(after);
            let source = format!("from the store, {bytes} bytes in {} ms", state.now.since(sent).as_millis());
            // The store has no change to report until the end of the wait.
            let known_at = if changes.is_empty() { (sent + watch.wait).min(state.now) } else { sent };
            apply_changes(state, range, changes, (after, as_of), (known_at, &source), out);
            list_or_watch(state, range, out);
        }
        Reply::TooLarge => relay::begin(state, true, out),
        Reply::Gone => relist(state, range, Duration::ZERO),
        _ => {
            record_failed_read(state, range, sent, &reply, out);
            if is_lost && is_first_failure {
                return list_or_watch(state, range, out);
            }
            let wait = state.tuning.store_retry + state.jitter(state.tuning.store_retry);
            state.timers.set(state.now + wait, Timer::Watch(range));
        }
    }
}

/// Adds a failed read of the configuration to the timeline: until the next one succeeds, the configuration may be old.
fn record_failed_read(
    state: &super::State,
    range: Range,
    sent: Instant,
    reply: &Reply,
    out: &mut Vec<Effect>,
) {
    if range == Range::Config {
        let reason = format!("ended as {reply:?} after {} ms", state.now.since(sent).as_millis());
        state::record(out, Subject::Config(state.config.version), "config-not-read", reason);
    }
}

fn apply_list(
    state: &mut super::State,
    range: Range,
    items: Vec<(Item, Revision)>,
    (sent, as_of): (Instant, Revision),
    source: &str,
    out: &mut Vec<Effect>,
) {
    match range {
        Range::Leadership => {
            leadership::handle_list(state, items, out);
            state.timers.set(state.now, Timer::Watch(Range::Config));
        }
        Range::Config => {
            let is_read = accept_items(state, items, source, out);
            relay::end(state, out);
            relay::rest_after_read(state, sent);
            if is_read {
                confirm(state, as_of, sent, out);
            }
        }
        Range::Workers => {
            discovery::handle_list(state, items, out);
            load::range_listed(state, range, out);
        }
        Range::Evacuations => {
            evacuation::handle_list(state, items, out);
            load::range_listed(state, range, out);
        }
        Range::Jobs | Range::Progress => {}
    }
}

/// Applies the changes between two revisions of the store.
fn apply_changes(
    state: &mut super::State,
    range: Range,
    changes: Vec<Change>,
    (after, as_of): (Revision, Revision),
    (known_at, source): (Instant, &str),
    out: &mut Vec<Effect>,
) {
    match range {
        Range::Leadership => leadership::handle_changes(state, changes, out),
        Range::Config => {
            let was_newest = state.config.newest_until >= after;
            let items = changes.into_iter().filter_map(|change| match change {
                Change::Set(item, revision) => Some((item, revision)),
                Change::Removed(_) => None,
            });
            let is_read = accept_items(state, items, source, out);
            relay::end(state, out);
            if was_newest && is_read {
                confirm(state, as_of, known_at, out);
            }
        }
        Range::Workers => discovery::handle_changes(state, changes, out),
        Range::Evacuations => evacuation::handle_changes(state, changes, out),
        Range::Jobs | Range::Progress => {}
    }
}

/// Takes note that the active configuration is the newest one up to a revision of the store, which was the current one at
/// `known_at` or later.
fn confirm(state: &mut super::State, revision: Revision, known_at: Instant, out: &mut Vec<Effect>) {
    state.config.confirm(revision);
    state.confirm.confirm(known_at);
    handler::review_unconfirmed(state, out);
}

/// Begins a confirmation that the active configuration is the newest one.
pub(super) fn begin_confirmation(state: &mut super::State, out: &mut Vec<Effect>) {
    state.confirm.begin(state.now);
    send_confirmation(state, out);
}

fn send_confirmation(state: &mut super::State, out: &mut Vec<Effect>) {
    let after = state.config.newest_until;
    let allowance = silence::allowance(state.confirm.attempts() - 1, &state.tuning);
    let (range, wait) = (Range::Config, Duration::ZERO);
    let request = Request::Watch { range, after, wait, allowance, limit: relay::watch_limit(range) };
    state.call_store(Purpose::ConfirmConfig { after }, request, out);
}

/// Handles the reply to a confirmation, which has the changes after a revision.
pub(super) fn handle_confirmation(
    state: &mut super::State,
    (sent, after): (Instant, Revision),
    reply: Reply,
    out: &mut Vec<Effect>,
) {
    if reply == Reply::Lost && state.confirm.retry() {
        return send_confirmation(state, out);
    }
    let elapsed_ms = state.confirm.end(state.now).as_millis();
    let count = state.confirm.len();
    let decision =
        if matches!(reply, Reply::Changes { .. }) { "config-confirmed" } else { "config-unconfirmed" };
    let mut reason = format!("{count} requests, after {elapsed_ms} ms");
    if !matches!(reply, Reply::Changes { .. }) {
        reason += &format!(", {reply:?}");
    }
    state::record(out, Subject::Config(state.config.version), decision, reason);
    match reply {
        // Without a change the reply does not end a search that has begun since the call was sent.
        Reply::Changes { changes, as_of, .. } if changes.is_empty() => confirm(state, as_of, sent, out),
        Reply::Changes { changes, as_of, bytes } => {
            let source = format!("from the store, {bytes} bytes in {elapsed_ms} ms");
            apply_changes(state, Range::Config, changes, (after, as_of), (sent, &source), out);
        }
        Reply::TooLarge => relay::begin(state, true, out),
        _ => {}
    }
    handler::fail_unconfirmed(state, |_| true, out);
}

/// Sends the watches again that were sent before a call that timed out, or on connections of that age.
pub(super) fn handle_silence(
    state: &mut super::State,
    purpose: &Purpose,
    sent: Instant,
    out: &mut Vec<Effect>,
) {
    if !state.silence.note_timeout(sent, state.now) {
        return;
    }
    let is_old = |range: &Range| state.watch_sent_at(*range).is_some_and(|at| at < state.now);
    let mut ranges: Vec<Range> = state.watches.keys().copied().filter(is_old).collect();
    ranges.retain(|range| *range != Range::Config || !relay::holds_reads_back(state));
    ranges.sort_unstable();
    let elapsed_ms = state.now.since(sent).as_millis();
    let reason = format!("{purpose:?} has no answer after {elapsed_ms} ms, watches sent again: {ranges:?}");
    state::record(out, Subject::Process, "store-silent", reason);
    for range in ranges {
        drop_call(state, range);
        list_or_watch(state, range, out);
    }
}

/// Activates the last configuration among items that were read from the store, each with its revision; every version is
/// whole, so the earlier ones are not needed. Returns whether all items could be read.
fn accept_items(
    state: &mut super::State,
    items: impl IntoIterator<Item = (Item, Revision)>,
    source: &str,
    out: &mut Vec<Effect>,
) -> bool {
    let mut is_read = true;
    let mut newest = None;
    for (item, revision) in items {
        match item {
            Item::Config(config) => newest = Some(Config { newest_until: revision, ..config }),
            Item::Unreadable(reason) => {
                is_read = false;
                state::record(out, Subject::Config(state.config.version), "unreadable", reason);
            }
            _ => {}
        }
    }
    if let Some(config) = newest {
        accept_config(state, config, source, out);
    }
    is_read
}

/// Activates a configuration, unless it is older than the active one, as a stale reply may be.
pub(super) fn accept_config(state: &mut super::State, config: Config, source: &str, out: &mut Vec<Effect>) {
    if config.version <= state.config.version {
        return;
    }
    let version = config.version;
    let mut reason = format!("{} queues, {} services, {source}", config.queues.len(), config.services.len());
    if let Some(pending) = relay::pending_time(state) {
        reason += &format!(", {} ms after the first sign of a newer version", pending.as_millis());
    }
    state.config_history.record(&state.config, &config);
    state.config = config;
    relay::end(state, out);
    state::record(out, Subject::Config(version), "in-force", reason);
    super::lifecycle::apply_config(state);
    relay::answer(state, out);
    handler::review_outdated(state, out);
    handler::review_unconfirmed(state, out);
    if state.is_ready() {
        out.push(Effect::Ready(true));
    }
}
