//! Takeover of a cell: the new owner reads the log to its end, then appends a takeover record.
//!
//! While the store cannot be reached, the process acts as caretaker: it keeps services and running tasks alive under
//! the epoch that the workers report, and starts no batch task. A process that receives a handover from the previous
//! owner skips the recovery.

use std::cmp::Ordering;
use std::time::Duration;

use super::cell::{self, Role};
use super::effect::Effect;
use super::journal::{self, Record, Segment, Snapshot};
use super::state::{State, record};
use super::store::{self, Purpose, Reply, Request};
use super::timer::Timer;
use super::trace::Subject;
use super::{place, task};

/// Duration of an unfinished recovery after which the process acts as caretaker.
const CARETAKER_DELAY: Duration = Duration::from_secs(1);

/// Starts the recovery of a cell.
pub(crate) fn begin(state: &mut State, id: cell::Id, out: &mut Vec<Effect>) {
    let key = cell::insert(state, id);
    record(out, Subject::Cell(id), "recover", "this member ranks first for the cell");
    store::call(state, Purpose::Recovery(key), Request::ReadSnapshot { cell: id }, out);
}

/// Continues the recovery after a retry delay.
pub(crate) fn resume(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key).filter(|cell| cell.role != Role::Owner) else { return };
    let (is_snapshot_read, cell, position) = (cell.is_snapshot_read, cell.id, cell.log.next);
    let request = match is_snapshot_read {
        false => Request::ReadSnapshot { cell },
        true => Request::ReadSegment { cell, position },
    };
    store::call(state, Purpose::Recovery(key), request, out);
}

/// Continues the recovery with a reply of the store.
pub(crate) fn handle_reply(state: &mut State, key: cell::Key, reply: Reply, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key).filter(|cell| cell.role != Role::Owner) else { return };
    let id = cell.id;
    match reply {
        Reply::Snapshot(snapshot) => {
            load_snapshot(state, key, snapshot);
            read_next(state, key, out);
        }
        Reply::Segment { revision, segment } => {
            let position = cell.log.next;
            if let Some(cell) = state.cells.get_mut(key) {
                cell.log.set_revision(position, revision);
            }
            handle_segment(state, key, segment, out);
        }
        Reply::Missing if !cell.is_snapshot_read => {
            mark_snapshot_read(state, key);
            read_next(state, key, out);
        }
        Reply::Missing => {
            let position = cell.log.next;
            if let Some(cell) = state.cells.get_mut(key) {
                cell.log.set_revision(position, 0);
            }
            append_takeover(state, key);
        }
        Reply::Corrupt(reason) => {
            record(out, Subject::Cell(id), "corrupt-log", reason);
            retry_later(state, key, out);
        }
        _ => retry_later(state, key, out),
    }
}

fn mark_snapshot_read(state: &mut State, key: cell::Key) {
    if let Some(cell) = state.cells.get_mut(key) {
        cell.is_snapshot_read = true;
    }
}

fn read_next(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get(key) else { return };
    let request = Request::ReadSegment { cell: cell.id, position: cell.log.next };
    store::call(state, Purpose::Recovery(key), request, out);
}

/// Handles the segment in the slot of the next position. A segment of an earlier pass over the ring marks the end of
/// the log.
pub(crate) fn handle_segment(state: &mut State, key: cell::Key, segment: Segment, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    match segment.position.cmp(&cell.log.next) {
        Ordering::Less => append_takeover(state, key),
        Ordering::Equal => {
            cell.log.next += 1;
            replay(state, key, segment, out);
            read_next(state, key, out);
        }
        // The writer has advanced by a whole pass over the ring since the snapshot was read.
        Ordering::Greater => restart(state, key, out),
    }
}

/// Applies a segment of the log without timeline entries, since the process that made the decisions has recorded them.
fn replay(state: &mut State, key: cell::Key, segment: Segment, out: &mut Vec<Effect>) {
    let mut effects = Vec::new();
    for record in segment.records {
        task::apply_record(state, key, record, &mut effects);
    }
    out.extend(effects.into_iter().filter(|effect| !matches!(effect, Effect::Record(_))));
}

/// Restarts the recovery from the newest snapshot.
fn restart(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let Some(id) = state.cells.get(key).map(|cell| cell.id) else { return };
    cell::step_down(state, key, "the log wrapped around the ring during recovery", out);
    begin(state, id, out);
}

/// Queues the takeover record under the next epoch, once the log is read to its end.
fn append_takeover(state: &mut State, key: cell::Key) {
    let member = state.me.id;
    let Some(cell) = state.cells.get(key) else { return };
    let takeover = Record::Takeover { epoch: cell.epoch + 1, member };
    journal::push(state, key, takeover);
}

/// Schedules another attempt after a failed store call, and becomes caretaker if recovery has taken too long.
fn retry_later(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let delay = state.tuning.store_backoff.0 * 5;
    state.timers.set(state.now + delay, Timer::Recover(key));
    become_caretaker(state, key, out);
}

/// Becomes caretaker if recovery has taken longer than [`CARETAKER_DELAY`].
pub(crate) fn become_caretaker(state: &mut State, key: cell::Key, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(cell) = state.cells.get_mut(key) else { return };
    if cell.role != Role::Recovering || now.since(cell.acting_since) < CARETAKER_DELAY {
        return;
    }
    cell.role = Role::Caretaker;
    record(out, Subject::Cell(cell.id), "caretaker", "the store cannot be reached");
    place::schedule_pass(state, key);
}

/// Becomes the owner once the takeover record is in the log.
pub(crate) fn complete_takeover(state: &mut State, key: cell::Key, epoch: u64, out: &mut Vec<Effect>) {
    let Some(cell) = state.cells.get_mut(key) else { return };
    cell.role = Role::Owner;
    let reason = format!("epoch {epoch}, {} task(s), {} job(s)", cell.tasks.len(), cell.jobs.len());
    record(out, Subject::Cell(cell.id), "take-over", reason);
    begin_as_owner(state, key);
}

fn begin_as_owner(state: &mut State, key: cell::Key) {
    super::worker::owner_changed(state, key);
    task::end_exhausted(state, key);
    cell::reconcile_jobs(state, key);
    place::schedule_pass(state, key);
}

/// Becomes the owner through a handover message. The epoch stays the same, since the previous owner never acts under it
/// again.
pub(crate) fn accept_handover(
    state: &mut State,
    id: cell::Id,
    epoch: u64,
    next: u64,
    snapshot: Snapshot,
    out: &mut Vec<Effect>,
) {
    let is_repeated = state.cells.has_left(id, epoch, next);
    if id.zone != state.me.zone || !state.shutdown.is_running() || is_repeated {
        return;
    }
    let key = match state.cells.key(id) {
        None => cell::insert(state, id),
        // This process has neither read nor appended anything, so the snapshot of the previous owner is complete.
        Some(key) if state.cells.get(key).is_some_and(|cell| cell.is_log_unread()) => key,
        Some(_) => return,
    };
    let stored = snapshot.stored_position;
    load_snapshot(state, key, snapshot);
    let Some(cell) = state.cells.get_mut(key) else { return };
    // The snapshot of the message is not in the store, which has an earlier one.
    cell.log.snapshot_positions = (stored, stored);
    cell.log.next = next;
    cell.epoch = epoch;
    cell.role = Role::Owner;
    cell.is_handed_over = true;
    record(out, Subject::Cell(id), "handed-over", format!("epoch {epoch}, position {next}"));
    begin_as_owner(state, key);
}

/// Loads the jobs and tasks of a snapshot into a cell.
fn load_snapshot(state: &mut State, key: cell::Key, snapshot: Snapshot) {
    for adoption in &snapshot.jobs {
        task::adopt(state, key, *adoption);
    }
    for task in &snapshot.tasks {
        task::restore(state, key, task);
    }
    if let Some(cell) = state.cells.get_mut(key) {
        cell.log.next = snapshot.next;
        cell.epoch = snapshot.epoch;
        cell.log.snapshot_positions = (snapshot.next, snapshot.stored_position);
        cell.is_snapshot_read = true;
    }
}
