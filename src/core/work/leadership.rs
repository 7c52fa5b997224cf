//! Leadership: which entry VM schedules.
//!
//! The leader holds a key in the store that is bound to a lease, and each leader has a higher term. Safety does not rest
//! on the lease: records are written only while the key has the revision that the leader wrote, workers refuse terms
//! below the highest they have seen, and a leader acts only for [`super::tuning::Tuning::validity`] after its last
//! confirmed renewal, which a successor waits for where it cannot reach a worker.

use std::time::Duration;

use super::state::{self, Purpose};
use super::store::{Change, Item, Key, Leader, Removed, Reply, Request, Revision, Transaction, Value};
use super::timer::Timer;
use super::tuning::Tuning;
use super::{handler, hold, load};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Longest random wait before a campaign, so that candidates do not collide.
const CAMPAIGN_JITTER_MAX: Duration = Duration::from_millis(25);

/// Waits of a candidate in round trips to the store, so that one near the store wins.
const CAMPAIGN_ROUND_TRIPS: u32 = 3;

/// Time that a VM gives stronger ones to campaign first.
const WEAK_CAMPAIGN_DELAY: Duration = Duration::from_millis(300);

/// Time after which a VM takes the leadership over from one with at most half of its processor time; long enough for a
/// new leader to read the records and settle what it found.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// What this process does about the leadership.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// Another process leads, or none.
    #[default]
    Follower,
    /// It waits for the lease or the transaction of its campaign.
    Candidate {
        /// Lease, once it is granted.
        lease: Option<u64>,
        /// Term it asks for.
        term: u64,
    },
    /// It leads, once the records are loaded.
    Leader {
        /// Lease of its key.
        lease: u64,
        /// Its term.
        term: u64,
        /// Revision of its key.
        revision: Revision,
        /// When the newest confirmed renewal was sent.
        confirmed: Instant,
    },
}

/// What is known of the leadership.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// What this process does.
    pub role: Role,
    /// Leader as the store names it, with the revision of its key.
    pub holder: Option<(Leader, Revision)>,
    /// Newest term and the revision of its key.
    pub newest_term: (u64, Revision),
    /// Processor time of the newest leader's VM in thousandths of a core; 0 if it is not known.
    pub newest_cpu_millicores: u32,
    /// Time of the newest answer of the store to a call.
    pub store_round_trip: Duration,
    /// Revision of a leader's key whose process does not listen any more.
    pub dead_revision: Option<Revision>,
}

impl State {
    /// Term of this leader; 0 if it does not lead.
    pub fn term(&self) -> u64 {
        if let Role::Leader { term, .. } = self.role { term } else { 0 }
    }

    /// Until when orders may be written.
    pub fn valid_until(&self, tuning: &Tuning) -> Instant {
        match self.role {
            Role::Leader { confirmed, .. } => confirmed + tuning.validity,
            _ => Instant::default(),
        }
    }

    /// Whether this process may act as the leader now.
    pub fn may_act(&self, now: Instant, tuning: &Tuning) -> bool {
        now < self.valid_until(tuning)
    }

    /// Condition for every record that this leader writes.
    pub fn condition(&self) -> Option<(Key, Revision)> {
        let Role::Leader { revision, .. } = self.role else { return None };
        Some((Key::Leader, revision))
    }

    fn record_key(&mut self, value: Value, key: Key, revision: Revision) {
        let Value::Leader(leader) = value else { return };
        match key {
            Key::Leader => self.holder = Some((leader, revision)),
            Key::Term => {
                self.newest_term = (leader.term, revision);
                self.newest_cpu_millicores = leader.cpu_millicores;
            }
            _ => {}
        }
    }
}

/// Takes over a whole list of the leadership's keys.
pub(super) fn handle_list(state: &mut super::State, items: Vec<(Item, Revision)>, out: &mut Vec<Effect>) {
    state.leadership.holder = None;
    for (item, revision) in items {
        if let Item::Own(key, value) = item {
            state.leadership.record_key(value, key, revision);
        }
    }
    reconcile(state, out);
}

/// Takes over changes of the leadership's keys.
pub(super) fn handle_changes(state: &mut super::State, changes: Vec<Change>, out: &mut Vec<Effect>) {
    for change in changes {
        match change {
            Change::Set(Item::Own(key, value), revision) => state.leadership.record_key(value, key, revision),
            Change::Removed(Removed::Own(Key::Leader)) => state.leadership.holder = None,
            _ => {}
        }
    }
    reconcile(state, out);
}

/// Compares the store's word with this process's role.
fn reconcile(state: &mut super::State, out: &mut Vec<Effect>) {
    if let Role::Leader { revision, .. } = state.leadership.role {
        match &state.leadership.holder {
            Some((_, held)) if *held == revision => {}
            // A watch can be behind the transaction that made this process the leader.
            Some((_, held)) if *held < revision => {}
            _ => step_down(state, "the store names another leader, or none", out),
        }
    }
    handler::fail_stale_forwards(state, out);
    if state.leadership.role != Role::Follower || state.is_stopping {
        return;
    }
    let spread = state.leadership.store_round_trip * CAMPAIGN_ROUND_TRIPS + state.jitter(CAMPAIGN_JITTER_MAX);
    if is_vacant(state) {
        let wait = if is_weak(state) { WEAK_CAMPAIGN_DELAY } else { Duration::ZERO };
        state.timers.set(state.now + spread + wait, Timer::Campaign);
    } else if is_stronger(state) {
        state.timers.set(state.now + spread + TAKEOVER_DELAY, Timer::Campaign);
    }
}

/// Whether one VM has at most half of the processor time of another; unknown times are taken as equal.
fn has_at_most_half(one: u32, other: u32) -> bool {
    one > 0 && one.saturating_mul(2) <= other
}

/// Whether the newest leader was much stronger than this VM, so that others like it may campaign first.
fn is_weak(state: &super::State) -> bool {
    has_at_most_half(state.identity.cpu_millicores, state.leadership.newest_cpu_millicores)
}

/// Whether this VM is much stronger than the leader's.
fn is_stronger(state: &super::State) -> bool {
    state
        .leadership
        .holder
        .as_ref()
        .is_some_and(|(holder, _)| has_at_most_half(holder.cpu_millicores, state.identity.cpu_millicores))
}

/// Whether this VM may take the leadership.
fn can_campaign(state: &super::State) -> bool {
    is_vacant(state) || is_stronger(state)
}

/// Whether nobody leads: there is no key, or its process is known to be gone.
fn is_vacant(state: &super::State) -> bool {
    let Some((holder, revision)) = &state.leadership.holder else { return true };
    let was_me = holder.vm == state.identity.vm && holder.nonce != state.identity.nonce;
    was_me || state.leadership.dead_revision == Some(*revision)
}

/// Notes that nothing listens at the leader's address any more, so that its process has ended.
pub(super) fn mark_leader_dead(
    state: &mut super::State,
    address: std::net::SocketAddr,
    out: &mut Vec<Effect>,
) {
    let Some((holder, revision)) = &state.leadership.holder else { return };
    if holder.address == address && state.leadership.dead_revision != Some(*revision) {
        let reason = format!("nothing listens at {address} of {}", holder.vm);
        state.leadership.dead_revision = Some(*revision);
        state::record(out, Subject::Process, "leader-dead", reason);
        reconcile(state, out);
    }
}

/// Starts a campaign if nobody leads, or a much weaker VM does.
pub(super) fn campaign(state: &mut super::State, out: &mut Vec<Effect>) {
    let is_known =
        state.watches.get(&super::store::Range::Leadership).is_some_and(|follow| follow.was_listed);
    if state.leadership.role != Role::Follower || !can_campaign(state) || state.is_stopping || !is_known {
        return;
    }
    let term = state.leadership.newest_term.0 + 1;
    state.leadership.role = Role::Candidate { lease: None, term };
    state.call_store(Purpose::GrantLease, Request::Lease { ttl: state.tuning.leader_ttl }, out);
}

/// Goes on with the campaign once its lease is granted.
pub(super) fn handle_lease(state: &mut super::State, reply: Reply, out: &mut Vec<Effect>) {
    let Role::Candidate { term, .. } = state.leadership.role else { return };
    let Reply::Leased(lease) = reply else { return abandon_campaign(state) };
    // A watch may have named a leader since the campaign began.
    if !can_campaign(state) || state.leadership.newest_term.0 >= term {
        return abandon_campaign(state);
    }
    state.leadership.role = Role::Candidate { lease: Some(lease), term };
    let leader = state.identity.leader(term);
    let held = state.leadership.holder.as_ref().map_or(0, |(_, revision)| *revision);
    let transaction = Transaction {
        expect: vec![(Key::Leader, held), (Key::Term, state.leadership.newest_term.1)],
        put: vec![
            (Key::Leader, Value::Leader(leader.clone()), Some(lease)),
            (Key::Term, Value::Leader(leader), None),
        ],
        delete: Vec::new(),
    };
    state.call_store(Purpose::Campaign, Request::Commit(transaction), out);
}

/// Ends a campaign without a result; the list that follows says who leads.
fn abandon_campaign(state: &mut super::State) {
    state.leadership.role = Role::Follower;
    let wait = state.tuning.store_retry + state.jitter(CAMPAIGN_JITTER_MAX);
    super::watch::relist(state, super::store::Range::Leadership, wait);
}

/// Ends a campaign.
///
/// A lost answer is a defeat: if the transaction took effect after all, the key names this process with its current
/// identity, lapses without renewals, and is taken like any vacant one.
pub(super) fn handle_campaign(state: &mut super::State, sent: Instant, reply: Reply, out: &mut Vec<Effect>) {
    let Role::Candidate { lease: Some(lease), term } = state.leadership.role else { return };
    let Reply::Committed(revision) = reply else { return abandon_campaign(state) };
    state.leadership.role = Role::Leader { lease, term, revision, confirmed: sent };
    let leader = state.identity.leader(term);
    state.leadership.holder = Some((leader, revision));
    state.leadership.newest_term = (term, revision);
    state.timers.set(state.now + state.tuning.leader_renewal, Timer::Renew(term));
    state::record(out, Subject::Process, "lead", format!("term {term}, revision {revision}"));
    load::load_records(state, out);
}

/// Renews the leader's lease.
pub(super) fn renew(state: &mut super::State, due: u64, out: &mut Vec<Effect>) {
    let Role::Leader { lease, term, .. } = state.leadership.role else { return };
    if term != due {
        return;
    }
    state.call_store(Purpose::Renew, Request::Renew { lease }, out);
    state.timers.set(state.now + state.tuning.leader_renewal, Timer::Renew(term));
}

/// Notes the answer to a renewal.
pub(super) fn handle_renewal(state: &mut super::State, sent: Instant, reply: &Reply, out: &mut Vec<Effect>) {
    let could_act = state.leadership.may_act(state.now, &state.tuning);
    let Role::Leader { confirmed, .. } = &mut state.leadership.role else { return };
    match reply {
        Reply::Renewed => {
            *confirmed = (*confirmed).max(sent);
            if !could_act && state.leadership.may_act(state.now, &state.tuning) {
                resume_leading(state, out);
            }
        }
        Reply::Gone => step_down(state, "the lease has ended", out),
        _ => {}
    }
}

/// Goes on as the leader after a time in which it could not act.
fn resume_leading(state: &mut super::State, out: &mut Vec<Effect>) {
    state::record(out, Subject::Process, "resume", format!("term {}", state.leadership.term()));
    for worker in state.workers.all.keys().collect::<Vec<_>>() {
        hold::soon(state, worker);
    }
    state.schedule_placement();
}

/// Stops to act as the leader, and forgets what only a leader knows.
pub(super) fn step_down(state: &mut super::State, reason: &str, out: &mut Vec<Effect>) {
    let Role::Leader { term, .. } = state.leadership.role else { return };
    state::record(out, Subject::Process, "step-down", format!("term {term}: {reason}"));
    state.leadership.role = Role::Follower;
    state.load = None;
    state.drop_term_calls();
    state.workers = Default::default();
    state.runs.clear();
    state.jobs = Default::default();
    state.journal = Default::default();
    handler::fail_pending(state, out);
    super::watch::stop_watching(state, super::store::Range::Workers);
    super::watch::relist(state, super::store::Range::Leadership, Duration::ZERO);
}

/// Gives the leadership up, so that another process can take it at once.
pub(super) fn resign(state: &mut super::State, out: &mut Vec<Effect>) {
    let Role::Leader { revision, .. } = state.leadership.role else { return };
    let transaction =
        Transaction { expect: vec![(Key::Leader, revision)], put: Vec::new(), delete: vec![Key::Leader] };
    state.call_store(Purpose::Resign, Request::Commit(transaction), out);
}
