//! List and watch of a range of the store: the range is listed once, and then its changes are watched.

use std::time::Duration;

use super::config::Config;
use super::state::{self, Purpose};
use super::store::{Change, Item, Range, Reply, Request, Revision};
use super::timer::Timer;
use super::{discovery, evacuation, leadership, load, relay};
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
    let (after, wait) = (watch.watch_from, state.tuning.watch_wait);
    let request = Request::Watch { range, after, wait, limit: relay::watch_limit(range) };
    let call = state.call_store(Purpose::Watch(range), request, out);
    state.watches.entry(range).or_default().call = Some(call);
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
    match reply {
        Reply::Changes { changes, as_of, bytes } => {
            let after = watch.watch_from;
            watch.watch_from = as_of.max(after);
            let source = format!("from the store, {bytes} bytes in {} ms", state.now.since(sent).as_millis());
            apply_changes(state, range, changes, (after, as_of), &source, out);
            list_or_watch(state, range, out);
        }
        Reply::TooLarge => relay::begin(state, true, out),
        Reply::Gone => relist(state, range, Duration::ZERO),
        _ => {
            record_failed_read(state, range, sent, &reply, out);
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
                state.config.confirm(as_of);
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
    source: &str,
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
                state.config.confirm(as_of);
            }
        }
        Range::Workers => discovery::handle_changes(state, changes, out),
        Range::Evacuations => evacuation::handle_changes(state, changes, out),
        Range::Jobs | Range::Progress => {}
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
    super::handler::review_outdated(state, out);
    if state.is_ready() {
        out.push(Effect::Ready(true));
    }
}
