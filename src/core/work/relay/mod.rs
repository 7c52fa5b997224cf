//! Relay of large configurations between entry VMs.
//!
//! The platform's store sends a whole configuration for each change. If every entry VM read a large one from the store, the
//! copies would fill the link between two regions for longer than a configuration may take to be in force. So only one VM of
//! each availability zone, its relay, reads a large configuration from the store. All others, the leader among them, ask it
//! for the changes. If it has not answered soon, they ask the relay of another zone too, so that no single VM delays the
//! others, whether it is slow, silent, behind or gone.
//!
//! A key in the store names the relay of a zone. Any VM of the zone takes the key over from a relay that does not deliver
//! (`claim`), so that a zone gets few copies also when its VMs lose patience together. Two VMs that take themselves for the
//! relay do no harm but a copy more: an update names the versions that it applies to.
//!
//! A VM learns of a newer version by its own watch of the store, whose answer it gives up at its head if it is large
//! (`search`). `serve` answers the other VMs.

mod claim;
mod search;
mod serve;

use std::time::Duration;

pub(super) use claim::{handle_claim, record_key, remove_key};
pub(super) use search::{advance, begin, end, handle_update, pending_time};
pub(super) use serve::{answer, handle_request};

use super::store::Range;
use crate::core::time::Instant;

/// Size of an answer of the store up to which every entry VM reads the configuration itself, in bytes.
const DIRECT_BYTES_MAX: usize = 32 << 10;

/// Longest rest of a VM that reads whole configurations, after such a read. The rest is as long as the read took.
const READ_REST_MAX: Duration = Duration::from_millis(300);

/// Requests for updates, in both directions, and the relay of the own availability zone.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Requests of other entry VMs.
    waiting: Vec<serve::Waiting>,
    /// Requests to other entry VMs in flight, at most one to each.
    asks: Vec<search::Ask>,
    /// Search for a newer configuration; `None` without a sign of one.
    search: Option<search::Search>,
    /// When the next step of the search is due; `None` if none is scheduled.
    next_step: Option<Instant>,
    /// Relays of the availability zones according to the store, in the order of the zones.
    holders: Vec<claim::Holder>,
    /// When this process last tried to become the relay.
    claimed_at: Instant,
    /// End of the pause of the watch, in which the VM that sent the last update reports the next one.
    watch_not_before: Instant,
    /// End of the rest after the last whole configuration that was read.
    read_not_before: Instant,
}

/// Size limit for a list of a range; `None` if this process reads an answer of any size.
pub(super) fn list_limit(state: &super::State, range: Range) -> Option<usize> {
    let is_relayed = range == Range::Config && !reads_whole(state);
    is_relayed.then_some(DIRECT_BYTES_MAX)
}

/// Size limit for a watch of a range. A watch of a large configuration is only its sign: its answer has a copy of each
/// version since the last one, and a list has the newest one only.
pub(super) fn watch_limit(range: Range) -> Option<usize> {
    (range == Range::Config).then_some(DIRECT_BYTES_MAX)
}

/// Whether the configuration is not to be read or watched now, since it is expected from another entry VM.
pub(super) fn holds_reads_back(state: &super::State) -> bool {
    match &state.relay.search {
        Some(search) if search.is_reading => false,
        Some(_) => !state.relay.asks.is_empty(),
        None => state.now < state.relay.watch_not_before,
    }
}

/// Lets this process rest after it has read a whole configuration, which it asked for at `sent`, so that a series of
/// changes leaves half of the link to others.
pub(super) fn rest_after_read(state: &mut super::State, sent: Instant) {
    if reads_whole(state) {
        state.relay.read_not_before = state.now + state.now.since(sent).min(READ_REST_MAX);
    }
}

/// Whether this process reads a configuration of any size from the store.
fn reads_whole(state: &super::State) -> bool {
    claim::is_relay(state) || search::is_last_resort(state)
}
