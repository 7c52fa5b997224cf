//! Following a range of the store: list it once, then watch its changes.

use std::time::Duration;

use super::state::{self, Purpose};
use super::store::{Change, Item, Range, Reply, Request, Revision};
use super::timer::Timer;
use super::{discovery, leadership, load};
use crate::core::effect::Effect;
use crate::core::trace::Subject;

/// Lists or watches a range, unless a call is in flight already.
pub(super) fn list_or_watch(state: &mut super::State, range: Range, out: &mut Vec<Effect>) {
    if range == Range::Workers && state.leadership.term() == 0 {
        return;
    }
    let follow = state.watches.entry(range).or_default();
    if follow.call.is_some() {
        return;
    }
    if follow.watch_from == 0 {
        return list_page(state, range, None, out);
    }
    let request = Request::Watch { range, after: follow.watch_from, wait: state.tuning.watch };
    let call = state.call_store(Purpose::Watch(range), request, out);
    state.watches.entry(range).or_default().call = Some(call);
}

/// Reads a page of a range, or the first one.
fn list_page(state: &mut super::State, range: Range, after: Option<String>, out: &mut Vec<Effect>) {
    let call = state.call_store(Purpose::List(range), Request::List { range, after }, out);
    state.watches.entry(range).or_default().call = Some(call);
}

/// Lists a range anew after a wait. An answer to an earlier call is ignored.
pub(super) fn relist(state: &mut super::State, range: Range, wait: Duration) {
    stop_watching(state, range);
    state.timers.set(state.now + wait, Timer::Follow(range));
}

/// Stops to follow a range.
pub(super) fn stop_watching(state: &mut super::State, range: Range) {
    let follow = state.watches.entry(range).or_default();
    follow.watch_from = 0;
    follow.pages.clear();
    follow.list_revision = 0;
    if let Some(call) = follow.call.take() {
        state.remove_call(call);
    }
}

/// Takes over a page; the list counts once all of its pages are read.
pub(super) fn handle_page(state: &mut super::State, range: Range, reply: Reply, out: &mut Vec<Effect>) {
    let follow = state.watches.entry(range).or_default();
    follow.call = None;
    let Reply::Page { items, next, as_of } = reply else {
        let wait = state.tuning.store_retry + state.jitter(state.tuning.store_retry);
        return relist(state, range, wait);
    };
    // Pages are not a snapshot: the watch begins at the first one, so that no change between them is missed.
    if follow.list_revision == 0 {
        follow.list_revision = as_of.max(1);
    }
    follow.pages.extend(items);
    if next.is_some() {
        return list_page(state, range, next, out);
    }
    follow.watch_from = std::mem::take(&mut follow.list_revision);
    follow.was_listed = true;
    let items = std::mem::take(&mut follow.pages);
    apply_list(state, range, items, out);
    list_or_watch(state, range, out);
}

/// Takes over the changes that a watch saw.
pub(super) fn handle_changes(state: &mut super::State, range: Range, reply: Reply, out: &mut Vec<Effect>) {
    let follow = state.watches.entry(range).or_default();
    follow.call = None;
    match reply {
        Reply::Changes { changes, as_of } => {
            follow.watch_from = as_of.max(follow.watch_from);
            apply_changes(state, range, changes, out);
            list_or_watch(state, range, out);
        }
        Reply::Gone => relist(state, range, Duration::ZERO),
        _ => {
            let wait = state.tuning.store_retry + state.jitter(state.tuning.store_retry);
            state.timers.set(state.now + wait, Timer::Follow(range));
        }
    }
}

fn apply_list(state: &mut super::State, range: Range, items: Vec<(Item, Revision)>, out: &mut Vec<Effect>) {
    match range {
        Range::Leadership => leadership::handle_list(state, items, out),
        Range::Config => {
            for (item, _) in items {
                accept_config(state, item, out);
            }
        }
        Range::Workers => {
            discovery::handle_list(state, items, out);
            load::workers_listed(state, out);
        }
        Range::Jobs | Range::Progress => {}
    }
}

fn apply_changes(state: &mut super::State, range: Range, changes: Vec<Change>, out: &mut Vec<Effect>) {
    match range {
        Range::Leadership => leadership::handle_changes(state, changes, out),
        Range::Config => {
            for change in changes {
                if let Change::Set(item, _) = change {
                    accept_config(state, item, out);
                }
            }
        }
        Range::Workers => discovery::handle_changes(state, changes, out),
        Range::Jobs | Range::Progress => {}
    }
}

/// Puts a configuration in force. An older one, which a stale answer may hold, is ignored.
fn accept_config(state: &mut super::State, item: Item, out: &mut Vec<Effect>) {
    match item {
        Item::Config(config) if config.version > state.config.version => {
            let version = config.version;
            let reason = format!("{} queues, {} services", config.queues.len(), config.services.len());
            state.config = config;
            state::record(out, Subject::Config(version), "in-force", reason);
            super::lifecycle::apply_config(state);
            if state.is_ready() {
                out.push(Effect::Ready(true));
            }
        }
        Item::Unreadable(reason) => {
            state::record(out, Subject::Config(state.config.version), "unreadable", reason);
        }
        _ => {}
    }
}
