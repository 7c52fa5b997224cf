//! Renewal of worker leases, which also reads the runs and the ended runs of a worker.
//!
//! One renewal per worker is in flight at a time. It is a long poll: it extends the lease of the worker's runs,
//! acknowledges ends whose records are durable, and is answered once another run ends or the wait is over.

use std::time::Duration;

use super::event::Fault;
use super::journal::{self, Change};
use super::order::{Listing, Order, Refusal, Reply};
use super::run::{self, Loss, Phase, Run};
use super::timer::Timer;
use super::worker::{Key, Release};
use super::{control, crash, dispatch, leadership, pace, state};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;

/// Time without an answer after which a worker that the store does not list and that has no runs is removed.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Schedules the next renewal of a worker for now.
pub(super) fn schedule_now(state: &mut super::State, key: Key) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    worker.next_renewal_at = worker.next_renewal_at.min(now);
    set_timer(state, key);
}

/// Sets the timer of the next renewal, unless one is already set for that time or earlier.
fn set_timer(state: &mut super::State, key: Key) {
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.renewal_timer_at.is_none_or(|timer_at| timer_at > worker.next_renewal_at) {
        worker.renewal_timer_at = Some(worker.next_renewal_at);
        state.timers.set(worker.next_renewal_at, Timer::RenewWorker(key));
    }
}

/// Handles an expired renewal timer of a worker. A timer that has been replaced by another one is ignored.
pub(super) fn run_timer(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.renewal_timer_at.is_some_and(|timer_at| timer_at <= now) {
        worker.renewal_timer_at = None;
        send_if_due(state, key, out);
    }
}

/// Sends a renewal to a worker, unless one is in flight or the next one is not due yet. Runs whose leases have expired
/// are dropped first.
pub(super) fn send_if_due(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    if state.load.is_some() || !state.leadership.may_act(now, &state.tuning) {
        return;
    }
    drop_expired(state, key, out);
    let wait = poll_wait(state, key);
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.renewal_sent_at.is_some() {
        return;
    }
    if worker.next_renewal_at > now {
        return set_timer(state, key);
    }
    // The lease of a worker that does not answer is not renewed, so that it expires and its tasks can start elsewhere.
    let is_renewed = !worker.runs.is_empty() && worker.silent_since.is_none();
    let until_ms = if is_renewed { worker.grant_lease(now, &state.tuning) } else { None };
    worker.renewal_sent_at = Some(now);
    worker.renewal_address = worker.address;
    worker.renewal_timeout_at = now + wait + state.tuning.worker_timeout;
    worker.acknowledging_end = worker.next_acknowledgement(now);
    if worker.acknowledging_end > 0 {
        let (end, durable) = (worker.acknowledging_end, state.journal.durable_sequence);
        let reason = format!("ends of {} up to {end}, durable up to change {durable}", worker.id);
        state::record(out, Subject::Process, "acknowledge", reason);
    }
    let order = Order::Renew {
        worker: key,
        until_ms,
        acknowledged: worker.acknowledging_end,
        wait_ms: wait.as_millis() as u64,
    };
    state.send_order(key, order, out);
}

/// How long a worker may delay its answer to wait for the end of a run; zero while its state must be read at once, and
/// with an acknowledgement, which could cover later ends of a restarted worker while the order waits there.
fn poll_wait(state: &super::State, key: Key) -> Duration {
    let Some(worker) = state.workers.all.get(key) else { return Duration::ZERO };
    let is_settled = worker.last_answer_at.is_some()
        && !worker.has_unconfirmed_end()
        && worker.silent_since.is_none()
        && worker.pending_acknowledgements.is_empty()
        && !worker.runs.is_empty();
    let is_urgent = worker.runs.iter().filter_map(|run| state.runs.get(*run)).any(|run| {
        matches!(run.phase, Phase::Unconfirmed { .. } | Phase::Stopping { confirmed: Some(_), .. })
    });
    if !is_settled || is_urgent {
        return Duration::ZERO;
    }
    let wait = if pace::needs_response_times(state, key) {
        state.tuning.poll_wait_observed
    } else {
        state.tuning.poll_wait
    };
    // Nothing else starts on the worker until a renewal that was sent after the survival of the suspect is answered.
    crash::time_to_survival(state, worker).map_or(wait, |left| wait.min(left))
}

/// Handles the answer to the renewal sent at `sent`.
pub(super) fn handle_reply(
    state: &mut super::State,
    key: Key,
    sent: Instant,
    result: Result<Reply<Listing>, Fault>,
    out: &mut Vec<Effect>,
) {
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.renewal_sent_at != Some(sent) {
        return;
    }
    worker.renewal_sent_at = None;
    worker.refuses_connections = matches!(result, Err(Fault::Refused));
    match result {
        Ok(Reply { outcome: Ok(listing), clock_ms }) => {
            handle_listing(state, key, sent, clock_ms, listing, out);
        }
        // The token is that of an earlier process of the worker, so the refusal shows no higher term.
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) if worker.precedes_process(sent) => {
            worker.next_renewal_at = state.now;
        }
        Ok(Reply { outcome: Err(Refusal::Fence), .. }) => {
            return leadership::step_down(state, "a worker has seen a higher term", out);
        }
        Ok(Reply { outcome: Err(Refusal::Instance), .. }) => handle_other_process(state, key, sent, out),
        Err(Fault::Refused) => handle_refused(state, key, out),
        Err(Fault::Lost) => {
            note_unanswered(state, key, sent);
            mark_silent(state, key, out);
        }
        Ok(_) | Err(Fault::NotSent) => mark_silent(state, key, out),
    }
    set_timer(state, key);
}

/// Accounts for the lease in a renewal without an answer. A renewal sent to a silent worker has none.
fn note_unanswered(state: &mut super::State, key: Key, sent: Instant) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.silent_since.is_none() {
        worker.note_unanswered_lease(sent, now, &state.tuning);
    }
}

/// Handles the answer of another process to the renewal sent at `sent`: the worker's process at that address has ended, with
/// the runs that it had accepted before.
///
/// The worker may have started again at another address, so the runs there are kept. Those whose start or stop is in
/// doubt are kept, too, until their leases have expired.
fn handle_other_process(state: &mut super::State, key: Key, sent: Instant, out: &mut Vec<Effect>) {
    let worker = &state.workers.all[key];
    let (address, is_current) = (worker.renewal_address, worker.renewal_address == worker.address);
    let has_ended =
        |run: &Run| run.address == address && matches!(run.phase, Phase::Active { since } if since < sent);
    let is_ended = |run: &super::run::Key| state.runs.get(*run).is_some_and(has_ended);
    let ended: Vec<_> = worker.runs.iter().copied().filter(is_ended).collect();
    if is_current {
        mark_gone(state, key, "another process has its address", out);
        crash::record(state, key, |run| !has_ended(run), out);
    }
    for run in ended {
        control::drop_lost(state, run, Loss::AddressTaken, out);
    }
    mark_silent(state, key, out);
}

/// Handles a refused connection, which does not prove that the worker's process has ended: a cut can reset connections, and
/// the store does not list a worker that is cut off from it. The runs are kept until their leases have expired.
fn handle_refused(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let worker = &state.workers.all[key];
    if worker.seems_ended() && worker.runs.is_empty() {
        crash::record(state, key, |_| false, out);
    }
    mark_silent(state, key, out);
}

fn handle_listing(
    state: &mut super::State,
    key: Key,
    sent: Instant,
    clock_ms: Option<u64>,
    listing: Listing,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    state.meter.counts.listings += 1;
    state.meter.counts.listed_ends += listing.ended.len() as u64;
    let worker = &mut state.workers.all[key];
    let has_restarted = worker.started_unix_ms.is_some() && worker.started_unix_ms != listing.started_unix_ms;
    if has_restarted {
        worker.acknowledging_end = 0;
        handle_restart(state, key, sent, &listing, out);
    }
    let worker = &mut state.workers.all[key];
    worker.started_unix_ms = listing.started_unix_ms;
    worker.confirmed_end = worker.confirmed_end.max(worker.acknowledging_end);
    worker.record_clock(clock_ms, sent, now, &state.tuning);
    worker.record_listing(sent, clock_ms, now);
    let answered_before = worker.last_answer_at.replace(now).is_some();
    worker.lost_starts.clear();
    worker.reset_at = None;
    let is_young = worker.is_young(clock_ms, state.unix_ms);
    worker.note_answer(now, state.leadership.term(), is_young, &state.tuning);
    if worker.silent_since.take().is_some() {
        state::record(out, Subject::Process, "worker-back", worker.id.clone());
    }
    worker.has_unread_ends = listing.has_more_ends;
    if !listing.has_more_ends {
        state.workers.mark_reached(key);
    }
    let mut sequence = 0;
    let previous_end = state.workers.all[key].last_end_read;
    if answered_before {
        record_missing_ends(state, key, &listing, out);
    }
    for end in listing.ended.iter().filter(|end| end.number > previous_end) {
        sequence = control::record_end(state, key, end, out).max(sequence);
        if state.leadership.term() == 0 {
            return;
        }
        state.workers.all[key].last_end_read = end.number;
    }
    let worker = &mut state.workers.all[key];
    if worker.last_end_read > previous_end {
        let last = worker.pending_acknowledgements.back().map_or(0, |(sequence, _)| *sequence);
        worker.pending_acknowledgements.push_back((sequence.max(last), worker.last_end_read));
    }
    for row in &listing.running {
        control::record_running(state, key, row, sent, out);
    }
    control::reconcile(state, key, sent, &listing, out);
    state.workers.touch(key);
    control::resend_stops(state, key, out);
    mark_durable_ends(state, key);
    confirm_if_new(state, key);
    schedule_next(state, key);
    if has_restarted {
        // Only an order with the higher token makes the new process refuse late orders to the earlier one.
        state.workers.all[key].next_renewal_at = now;
    }
    state.schedule_placement();
}

/// Adds ends to the timeline that the worker has discarded although this process has not read them, which a late
/// acknowledgement of an earlier process of the worker causes. The tasks of these runs may be done.
fn record_missing_ends(state: &super::State, key: Key, listing: &Listing, out: &mut Vec<Effect>) {
    let worker = &state.workers.all[key];
    let expected = worker.last_end_read + 1;
    let first = listing.ended.iter().map(|end| end.number).find(|number| *number >= expected);
    if let Some(first) = first.filter(|first| *first > expected) {
        let reason = format!("ends {expected} to {} of {} were not read", first - 1, worker.id);
        state::record(out, Subject::Process, "ends-missing", reason);
    }
}

/// Queues a commit that confirms the leadership if none was sent since the worker's process became known.
fn confirm_if_new(state: &mut super::State, key: Key) {
    let Some(at) = state.workers.all.get(key).and_then(|worker| worker.process_known_at) else { return };
    if at > state.journal.confirmed_at {
        journal::enqueue(state, Change::Confirm);
    }
}

/// Sets the time of the next renewal from the state of the worker.
fn schedule_next(state: &mut super::State, key: Key) {
    let now = state.now;
    let is_urgent = state.workers.all[key]
        .runs
        .iter()
        .filter_map(|run| state.runs.get(*run))
        .any(|run| matches!(run.phase, Phase::Unconfirmed { .. } | Phase::Stopping { .. }));
    let worker = &mut state.workers.all[key];
    let wait = if !worker.pending_acknowledgements.is_empty() {
        // The completion of the commit that these ends wait for schedules an earlier renewal.
        state.tuning.poll_wait
    } else if worker.runs.is_empty() && worker.confirmed_end >= worker.last_end_read {
        state.tuning.idle_interval
    } else if is_urgent || worker.held_ends.iter().any(|end| matches!(end.release, Release::RunGone(_))) {
        state.tuning.worker_retry / 4
    } else if !worker.held_ends.is_empty() {
        // A worker with ends to list answers at once, whatever wait it is asked for.
        if worker.runs.is_empty() { state.tuning.worker_retry } else { state.tuning.worker_retry / 2 }
    } else {
        Duration::ZERO
    };
    worker.next_renewal_at = now + wait;
}

/// Marks a worker whose process has ended as one that the gate does not wait for.
fn mark_gone(state: &mut super::State, key: Key, reason: &str, out: &mut Vec<Effect>) {
    if state.workers.mark_reached(key) {
        let text = format!("{} counts as answered: {reason}", state.workers.all[key].id);
        state::record(out, Subject::Process, "worker-gone", text);
    }
}

/// Marks a worker as not answering, and schedules a retry.
fn mark_silent(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    if worker.silent_since.is_none() {
        worker.silent_since = Some(now);
        worker.reset_at = Some(now).filter(|at| *at < worker.renewal_timeout_at);
        state::record(out, Subject::Process, "worker-silent", worker.evidence(now));
        state.meter.counts.silent_workers += 1;
    }
    worker.next_renewal_at = now + state.tuning.worker_retry;
    dispatch::withdraw_from(state, key, out);
}

/// Drops the runs of a silent worker whose leases have expired, and removes a silent worker that the store does not
/// list.
fn drop_expired(state: &mut super::State, key: Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(worker) = state.workers.all.get(key) else { return };
    let Some(silent_since) = worker.silent_since else { return };
    let has_expired = |run: &&run::Key| state.runs.get(**run).is_some_and(|run| worker.has_expired(run, now));
    let expired: Vec<run::Key> = worker.runs.iter().filter(has_expired).copied().collect();
    if worker.renewal_sent_at.is_none() && !expired.is_empty() {
        if worker.seems_ended() {
            crash::record(state, key, |_| false, out);
        } else {
            crash::keep_possible_causes(state, key);
        }
        for run in expired {
            control::drop_lost(state, run, Loss::LeaseExpired, out);
        }
    }
    let worker = &state.workers.all[key];
    // A worker that is not retired may matter to the next leader, so it stays in the roster.
    if !worker.is_listed && worker.is_retired && now.since(silent_since) > FORGET_AFTER {
        state.workers.remove(key);
    }
}

/// Handles a restart of the worker process: drops the runs of its previous incarnation.
///
/// Runs that the new incarnation lists, or may list later, are kept, since they were started in it. A start or a stop in flight may still
/// reach the new incarnation, so such a run becomes unconfirmed, or its stop is sent again.
fn handle_restart(
    state: &mut super::State,
    key: Key,
    sent: Instant,
    listing: &Listing,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let worker = &state.workers.all[key];
    let (before, after) = (worker.started_unix_ms, listing.started_unix_ms);
    let [before, after] = [before, after]
        .map(|start_ms| start_ms.map_or("unknown".to_owned(), |start_ms| start_ms.to_string()));
    let reason = format!("{}, start time {before} before and {after} now", worker.evidence(now));
    state::record(out, Subject::Process, "worker-reborn", reason);
    let is_there = |run: &Run| {
        listing.running.iter().any(|row| row.name == run.name && row.number == run.number)
            || listing.ended.iter().any(|end| end.name == run.name && end.run == run.number)
    };
    crash::record(state, key, is_there, out);
    for run_key in state.workers.all[key].runs.clone() {
        let Some(run) = state.runs.get_mut(run_key) else { continue };
        let is_there = is_there(run);
        match run.phase {
            _ if is_there || listing.has_more_ends => {}
            Phase::Planned => {}
            Phase::Active { since } if since < sent => {
                control::drop_lost(state, run_key, Loss::Restarted, out);
            }
            Phase::Stopping { .. } => {
                run.phase = Phase::Stopping { sent: Instant::default(), confirmed: None };
                run.is_confirmed = false;
            }
            Phase::Starting | Phase::Unconfirmed { .. } | Phase::Active { .. } => {
                run.phase = Phase::Unconfirmed { since: now };
                run.is_confirmed = false;
            }
        }
    }
    state.workers.all[key].reset_for_restart(listing.started_unix_ms, now, &state.tuning);
}

/// Sends renewals to the workers with ends whose records have become durable, which acknowledge these ends.
pub(super) fn acknowledge_durable(state: &mut super::State, out: &mut Vec<Effect>) {
    let durable = state.journal.durable_sequence;
    let keys: Vec<Key> = state
        .workers
        .all
        .iter()
        .filter(|(_, worker)| worker.pending_acknowledgements.front().is_some_and(|(at, _)| *at <= durable))
        .map(|(key, _)| key)
        .collect();
    for key in keys {
        mark_durable_ends(state, key);
        schedule_now(state, key);
        send_if_due(state, key, out);
    }
}

fn mark_durable_ends(state: &mut super::State, key: Key) {
    let durable = state.journal.durable_sequence;
    let (now, runs) = (state.now, &state.runs);
    let Some(worker) = state.workers.all.get_mut(key) else { return };
    worker.held_ends.retain(|end| match end.release {
        Release::RunGone(run) => runs.contains_key(run),
        Release::At(at) => at > now,
    });
    while let Some((sequence, number)) = worker.pending_acknowledgements.front().copied() {
        if sequence > durable {
            break;
        }
        worker.durable_end = number;
        worker.pending_acknowledgements.pop_front();
    }
}
