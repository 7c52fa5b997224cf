//! Election of the leader: the entry VM that schedules jobs.
//!
//! The leader owns a key in the store that is bound to a lease, and each leader has a higher term than the one before.
//! Safety does not depend on the lease: commits are conditional on the revision of the leader's key, workers refuse terms
//! below the highest that they have seen, and a leader acts only for [`super::tuning::Tuning::leader_validity`] after its
//! key was last known to be unchanged. A successor waits for the end of that time if it cannot reach a worker.
//!
//! A commit, whose condition is the key, or a read of the key shows that it is unchanged. The renewal of the lease does not: a
//! successor writes the key with its own lease, and the earlier one lives on.

use std::time::Duration;

use super::state::{self, Purpose};
use super::store::{
    Change, Item, Key, Leader, Removed, Reply, Request, Revision, Roster, Tip, Transaction, Value,
};
use super::timer::Timer;
use super::tuning::Tuning;
use super::worker::{self, Worker};
use super::{handler, journal, late, load, relay, renewal};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Largest random delay of a campaign, which keeps candidates from campaigning at the same time.
const CAMPAIGN_JITTER_MAX: Duration = Duration::from_millis(25);

/// Delay of a campaign in round trips to the store, so that a candidate with low latency to the store wins.
const CAMPAIGN_ROUND_TRIPS: u32 = 3;

/// Additional delay of a campaign on a VM with little CPU capacity, so that VMs with more can campaign first.
const WEAK_CAMPAIGN_DELAY: Duration = Duration::from_millis(300);

/// Delay after which a VM takes over the leadership from one with at most half of its CPU capacity. It is long enough
/// for a new leader to load the records and to reconcile them with the workers.
const TAKEOVER_DELAY: Duration = Duration::from_millis(1_500);

/// Role of this process in the election.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Role {
    /// Another process leads, or none.
    #[default]
    Follower,
    /// This process waits for the lease or the transaction of its campaign.
    Candidate {
        /// Lease for the leader's key; `None` until it is granted.
        lease: Option<u64>,
        /// Term of the campaign.
        term: u64,
    },
    /// This process leads; it schedules once the records are loaded.
    Leader {
        /// Lease that the leader's key is bound to.
        lease: u64,
        /// Term of the leadership.
        term: u64,
        /// Revision of the leader's key, the condition of all commits.
        revision: Revision,
        /// When the latest call was sent that found the leader's key unchanged.
        confirmed: Instant,
    },
}

/// State of the election as this process knows it.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Role of this process.
    pub role: Role,
    /// Leader according to the store, with the revision of the leader's key; `None` if the key does not exist.
    pub holder: Option<(Leader, Revision)>,
    /// Highest term and the revision of the term's key.
    pub newest_term: (u64, Revision),
    /// CPU capacity of the VM that led the highest term, in thousandths of a core; 0 if it is not known.
    pub newest_cpu_millicores: u32,
    /// VM that led the highest term; empty if it is not known.
    pub newest_vm: String,
    /// Whether the leader of the term before this one is known to send no orders any more.
    pub has_predecessor_ended: bool,
    /// Whether this process gives up its leadership, and grants no leases any more.
    pub is_resigning: bool,
    /// Duration of the latest list of the leadership's keys; the lists of other ranges may be large.
    pub store_round_trip: Duration,
    /// Revision of the leader's key whose process is known to have ended.
    pub dead_revision: Option<Revision>,
}

impl State {
    /// Term of this process; 0 if it does not lead.
    pub fn term(&self) -> u64 {
        if let Role::Leader { term, .. } = self.role { term } else { 0 }
    }

    /// When the newest call was sent that found the leader's key unchanged.
    pub fn led_at(&self) -> Instant {
        if let Role::Leader { confirmed, .. } = self.role { confirmed } else { Instant::default() }
    }

    /// End of the time in which this process may send orders as the leader.
    pub fn valid_until(&self, tuning: &Tuning) -> Instant {
        match self.role {
            Role::Leader { confirmed, .. } if !self.is_resigning => confirmed + tuning.leader_validity,
            _ => Instant::default(),
        }
    }

    /// Whether this process may act as the leader now.
    pub fn may_act(&self, now: Instant, tuning: &Tuning) -> bool {
        now < self.valid_until(tuning)
    }

    /// Condition for every commit of this leader: its key is unchanged. `None` if this process does not lead.
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
                self.newest_vm = leader.vm;
            }
            _ => {}
        }
    }
}

/// Handles a complete list of the leadership's keys.
pub(super) fn handle_list(state: &mut super::State, items: Vec<(Item, Revision)>, out: &mut Vec<Effect>) {
    state.leadership.holder = None;
    for (item, revision) in items {
        if let Item::Own(key, value) = item {
            relay::record_key(state, key, &value, revision);
            state.leadership.record_key(value, key, revision);
        }
    }
    reconcile(state, out);
}

/// Handles changes of the leadership's keys.
pub(super) fn handle_changes(state: &mut super::State, changes: Vec<Change>, out: &mut Vec<Effect>) {
    for change in changes {
        match change {
            Change::Set(Item::Own(key, value), revision) => {
                relay::record_key(state, key, &value, revision);
                state.leadership.record_key(value, key, revision);
            }
            Change::Removed(Removed::Own(Key::Leader)) => state.leadership.holder = None,
            Change::Removed(Removed::Own(key)) => relay::remove_key(state, key),
            _ => {}
        }
    }
    reconcile(state, out);
}

/// Compares the leader in the store with the role of this process: steps down or schedules a campaign if they require it.
fn reconcile(state: &mut super::State, out: &mut Vec<Effect>) {
    if let Role::Leader { revision, .. } = state.leadership.role {
        match &state.leadership.holder {
            Some((_, held)) if *held == revision => {}
            // The watch can lag behind the transaction that made this process the leader.
            Some((_, held)) if *held < revision => {}
            _ => step_down(state, "the store has another leader, or none", out),
        }
    }
    handler::fail_stale_forwards(state, out);
    relay::advance(state, out);
    if state.leadership.role != Role::Follower || state.is_stopping {
        return;
    }
    let delay = state.leadership.store_round_trip * CAMPAIGN_ROUND_TRIPS + state.jitter(CAMPAIGN_JITTER_MAX);
    if is_vacant(state) {
        let extra_delay = if is_weak(state) { WEAK_CAMPAIGN_DELAY } else { Duration::ZERO };
        state.timers.set(state.now + delay + extra_delay, Timer::Campaign);
    } else if is_stronger(state) {
        state.timers.set(state.now + delay + TAKEOVER_DELAY, Timer::Campaign);
    }
}

/// Whether one VM has at most half of the CPU capacity of another; false if either capacity is not known.
pub(super) fn has_at_most_half(one: u32, other: u32) -> bool {
    one > 0 && one.saturating_mul(2) <= other
}

/// Whether this VM has at most half of the latest leader's CPU capacity, so that it lets larger VMs campaign first.
pub(super) fn is_weak(state: &super::State) -> bool {
    has_at_most_half(state.identity.cpu_millicores, state.leadership.newest_cpu_millicores)
}

/// Whether the leader's VM has at most half of this VM's CPU capacity.
fn is_stronger(state: &super::State) -> bool {
    state
        .leadership
        .holder
        .as_ref()
        .is_some_and(|(holder, _)| has_at_most_half(holder.cpu_millicores, state.identity.cpu_millicores))
}

/// Whether this process may campaign.
fn can_campaign(state: &super::State) -> bool {
    is_vacant(state) || is_stronger(state)
}

/// Whether there is no leader: the leader's key does not exist, or its process is known to have ended.
fn is_vacant(state: &super::State) -> bool {
    let Some((holder, revision)) = &state.leadership.holder else { return true };
    let is_earlier_process = holder.vm == state.identity.vm && holder.nonce != state.identity.nonce;
    is_earlier_process || state.leadership.dead_revision == Some(*revision)
}

/// Records that the leader's address refuses connections, so that its process has ended.
pub(super) fn mark_leader_dead(
    state: &mut super::State,
    address: std::net::SocketAddr,
    out: &mut Vec<Effect>,
) {
    let Some((holder, revision)) = &state.leadership.holder else { return };
    if holder.address == address && state.leadership.dead_revision != Some(*revision) {
        let reason = format!("{address} of {} refuses connections", holder.vm);
        state.leadership.dead_revision = Some(*revision);
        state::record(out, Subject::Process, "leader-dead", reason);
        reconcile(state, out);
    }
}

/// Starts a campaign if there is no leader, or the leader's VM has much less CPU capacity.
pub(super) fn campaign(state: &mut super::State, out: &mut Vec<Effect>) {
    let is_known = state.watches.get(&super::store::Range::Leadership).is_some_and(|watch| watch.was_listed);
    if state.leadership.role != Role::Follower || !can_campaign(state) || state.is_stopping || !is_known {
        return;
    }
    // Limits and priorities of jobs come from the configuration.
    if state.config.version == 0 {
        return state.timers.set(state.now + state.tuning.store_retry, Timer::Campaign);
    }
    let term = state.leadership.newest_term.0 + 1;
    state.leadership.role = Role::Candidate { lease: None, term };
    state.call_store(Purpose::GrantLease, Request::Lease { ttl: state.tuning.leader_ttl }, out);
}

/// Continues a campaign with the transaction that writes the leader's key once the lease is granted.
pub(super) fn handle_lease(state: &mut super::State, reply: Reply, out: &mut Vec<Effect>) {
    let Role::Candidate { term, .. } = state.leadership.role else { return };
    let Reply::Leased(lease) = reply else { return abandon_campaign(state) };
    // A watch may have reported a leader since the campaign began.
    if !can_campaign(state) || state.leadership.newest_term.0 >= term {
        return abandon_campaign(state);
    }
    state.leadership.role = Role::Candidate { lease: Some(lease), term };
    let leader = state.identity.leader(term);
    // This process has the address of its VM, so an earlier one there is gone, and it has sent its own last orders before.
    state.leadership.has_predecessor_ended = state.leadership.newest_vm == leader.vm;
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

/// Ends a campaign without success and lists the leadership's keys again to learn the current leader.
fn abandon_campaign(state: &mut super::State) {
    state.leadership.role = Role::Follower;
    let wait = state.tuning.store_retry + state.jitter(CAMPAIGN_JITTER_MAX);
    super::watch::relist(state, super::store::Range::Leadership, wait);
}

/// Handles the outcome of a campaign's transaction.
///
/// A lost reply counts as a failure. If the transaction took effect after all, the key has the nonce of this process, so
/// it counts as held until it expires without renewals.
pub(super) fn handle_campaign(state: &mut super::State, sent: Instant, reply: Reply, out: &mut Vec<Effect>) {
    let Role::Candidate { lease: Some(lease), term } = state.leadership.role else { return };
    let Reply::Committed(revision) = reply else { return abandon_campaign(state) };
    state.leadership.role = Role::Leader { lease, term, revision, confirmed: sent };
    let leader = state.identity.leader(term);
    state.leadership.is_resigning = false;
    state.leadership.holder = Some((leader, revision));
    state.leadership.newest_term = (term, revision);
    state.timers.set(state.now + state.tuning.leader_renewal, Timer::Renew(term));
    state::record(out, Subject::Process, "lead", format!("term {term}, revision {revision}"));
    load::load_records(state, out);
}

/// Renews the lease of the leader's key, reads the key unless a commit shows that it is unchanged, and reviews the roster at
/// the same interval. `due` is the term that set the timer; a timer of an earlier term is ignored.
pub(super) fn renew(state: &mut super::State, due: u64, out: &mut Vec<Effect>) {
    let Role::Leader { lease, term, confirmed, .. } = state.leadership.role else { return };
    if term != due {
        return;
    }
    journal::retire_vacated(state, out);
    late::prune(state);
    journal::review_tip(state);
    state.call_store(Purpose::Renew, Request::Renew { lease }, out);
    if state.now.since(confirmed) >= state.tuning.leader_renewal {
        read_key(state, out);
    }
    state.timers.set(state.now + state.tuning.leader_renewal, Timer::Renew(term));
}

/// Reads the leader's key, unless a read is in flight.
pub(super) fn read_key(state: &mut super::State, out: &mut Vec<Effect>) {
    if !state.has_call_in_flight(&Purpose::Confirm) {
        state.meter.counts.key_reads += 1;
        state.call_store(Purpose::Confirm, Request::Read(Key::Leader), out);
    }
}

/// Handles the reply to a renewal of the leader's lease.
pub(super) fn handle_renewal(state: &mut super::State, reply: &Reply, out: &mut Vec<Effect>) {
    if *reply == Reply::Gone {
        step_down(state, "the lease has ended", out);
    }
}

/// Handles the reply to a read of the leader's key.
pub(super) fn handle_key(state: &mut super::State, sent: Instant, reply: &Reply, out: &mut Vec<Effect>) {
    let Role::Leader { revision, .. } = state.leadership.role else { return };
    match reply {
        Reply::Read(Some((_, found))) if *found == revision => confirm(state, sent, out),
        Reply::Read(_) => step_down(state, "the store has another leader, or none", out),
        _ => {}
    }
}

/// Records that a call that was sent at `sent` found the leader's key unchanged.
pub(super) fn confirm(state: &mut super::State, sent: Instant, out: &mut Vec<Effect>) {
    let could_act = state.leadership.may_act(state.now, &state.tuning);
    let Role::Leader { confirmed, .. } = &mut state.leadership.role else { return };
    *confirmed = (*confirmed).max(sent);
    if !could_act && state.leadership.may_act(state.now, &state.tuning) {
        resume_leading(state, out);
    }
    if !state.jobs.ready.is_empty() {
        state.schedule_placement();
    }
}

/// Resumes scheduling after the validity of the leadership had run out and the leadership was confirmed.
///
/// All workers are called at once, since their leases were not renewed in that time.
fn resume_leading(state: &mut super::State, out: &mut Vec<Effect>) {
    state::record(out, Subject::Process, "resume", format!("term {}", state.leadership.term()));
    for worker in state.workers.all.keys().collect::<Vec<_>>() {
        renewal::schedule_now(state, worker);
    }
    state.schedule_placement();
}

/// Ends the leadership of this process and discards the state that only a leader has.
pub(super) fn step_down(state: &mut super::State, reason: &str, out: &mut Vec<Effect>) {
    let Role::Leader { term, .. } = state.leadership.role else { return };
    state::record(out, Subject::Process, "step-down", format!("term {term}: {reason}"));
    state.leadership.role = Role::Follower;
    state.leadership.is_resigning = false;
    state.load = None;
    // The journal tells which requests wait and which of them are in flight, so they are answered before it is discarded.
    handler::fail_pending(state, out);
    state.drop_term_calls();
    state.evacuations = Default::default();
    state.workers = Default::default();
    state.late = Default::default();
    state.dispatch = Default::default();
    state.runs.clear();
    state.runtimes = Default::default();
    state.speculation = Default::default();
    state.admission = Default::default();
    state.jobs.clear();
    state.placement = Default::default();
    state.journal = Default::default();
    super::watch::stop_watching(state, super::store::Range::Workers);
    super::watch::stop_watching(state, super::store::Range::Evacuations);
    super::watch::relist(state, super::store::Range::Leadership, Duration::ZERO);
}

/// Deletes the leader's key, so that another process can campaign at once, and writes how long the leases of each worker last.
/// No lease is granted from now on.
pub(super) fn resign(state: &mut super::State, out: &mut Vec<Effect>) {
    let Role::Leader { revision, term, .. } = state.leadership.role else { return };
    let mut transaction =
        Transaction { expect: vec![(Key::Leader, revision)], put: Vec::new(), delete: vec![Key::Leader] };
    if state.load.is_none() {
        state.workers.review_remaining(&state.runs);
        let gate = state.workers.gate.as_ref();
        let wait = |key: worker::Key, worker: &Worker| {
            let earlier = gate.and_then(|gate| gate.wait_for(key, state.now)).unwrap_or_default();
            Some(worker.lease_wait(&state.runs, state.now, &state.tuning).max(earlier))
        };
        let roster = Roster { members: journal::members(state, wait), resigned_in: term };
        transaction.put.push((Key::Roster, Value::Roster(roster), None));
        let tip = Tip { write: state.next_random(), starts: late::under_way(state) };
        transaction.put.push((Key::Tip, Value::Tip(tip), None));
    }
    state.leadership.is_resigning = true;
    state.call_store(Purpose::Resign, Request::Commit(transaction), out);
}
