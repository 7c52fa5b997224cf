//! Loading of the stored records at the start of a term.
//!
//! Only the leader can commit records, so the pages that it reads one after the other are consistent with each other.

use super::job::Job;
use super::request::Phase;
use super::spec::Id;
use super::state::{self, Purpose};
use super::store::{Item, Key, Progress, Range, Record, Reply, Request, Roster, Start, Value};
use super::timer::Timer;
use super::{gate, handler, journal, late, lifecycle, renewal, watch};
use crate::core::effect::Effect;
use crate::core::time::Instant;
use crate::core::trace::Subject;
use crate::hash::Map;

/// A part of the records, which is read on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    /// Identity of the latest commit, and the orders to start that may be under way.
    Tip,
    /// Workers that may run tasks.
    Roster,
    /// Image estimates.
    Images,
    /// Records of accepted jobs.
    Jobs,
    /// Progress of jobs.
    Progress,
}

/// Ranges that the leader watches. It places nothing before it has listed them.
const RANGES: [Range; 2] = [Range::Workers, Range::Evacuations];

const PARTS: [Part; 5] = [Part::Tip, Part::Roster, Part::Images, Part::Jobs, Part::Progress];

/// Records that have been read so far.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// When the term began.
    pub started_at: Instant,
    missing_parts: Vec<Part>,
    /// Failed reads: the part, and the key after which to continue.
    retry: Vec<(Part, Option<String>)>,
    /// Ranges that have not been listed in this term.
    missing_ranges: Vec<Range>,
    tip_revision: u64,
    starts: Vec<Start>,
    roster: Roster,
    jobs: Map<Id, Record>,
    progress: Map<Id, Progress>,
}

/// Starts to read all parts, and lists the watched ranges again.
pub(super) fn load_records(state: &mut super::State, out: &mut Vec<Effect>) {
    state.load = Some(State {
        started_at: state.now,
        missing_parts: PARTS.to_vec(),
        missing_ranges: RANGES.to_vec(),
        ..State::default()
    });
    for part in PARTS {
        send_read(state, part, None, out);
    }
    for range in RANGES {
        watch::relist(state, range, std::time::Duration::ZERO);
    }
}

fn send_read(state: &mut super::State, part: Part, after: Option<String>, out: &mut Vec<Effect>) {
    let request = match part {
        Part::Tip => Request::Read(Key::Tip),
        Part::Roster => Request::Read(Key::Roster),
        Part::Images => Request::Read(Key::Images),
        Part::Jobs => Request::List { range: Range::Jobs, after, limit: None },
        Part::Progress => Request::List { range: Range::Progress, after, limit: None },
    };
    state.call_store(Purpose::Load(part), request, out);
}

/// Repeats the failed reads.
pub(super) fn retry(state: &mut super::State, out: &mut Vec<Effect>) {
    let Some(load) = &mut state.load else { return };
    for (part, after) in std::mem::take(&mut load.retry) {
        send_read(state, part, after, out);
    }
}

/// Handles the reply to the read of a part.
pub(super) fn handle_reply(state: &mut super::State, part: Part, reply: Reply, out: &mut Vec<Effect>) {
    let Some(load) = &mut state.load else { return };
    match reply {
        Reply::Read(found) => {
            match found {
                Some((Value::Tip(tip), revision)) => {
                    (load.tip_revision, load.starts) = (revision, tip.starts);
                }
                Some((Value::Roster(roster), _)) => load.roster = roster,
                Some((Value::Images(knowledge), _)) => state.images.restore(&knowledge),
                _ => {}
            }
            load.missing_parts.retain(|missing| *missing != part);
        }
        Reply::Page { items, next, .. } => {
            add_page(load, items, out);
            match next {
                Some(next) => send_read(state, part, Some(next), out),
                None => load.missing_parts.retain(|missing| *missing != part),
            }
        }
        _ => {
            // A failed list is repeated from its first page. Records that are read twice are equal.
            load.retry.push((part, None));
            state.timers.set(state.now + state.tuning.store_retry, Timer::Load);
        }
    }
    finish_if_read(state, out);
}

fn add_page(load: &mut State, items: Vec<(Item, u64)>, out: &mut Vec<Effect>) {
    for (item, _) in items {
        match item {
            Item::Own(Key::Job(id), Value::Job(record)) => {
                load.jobs.insert(id, *record);
            }
            Item::Own(Key::Progress(id), Value::Progress(progress)) => {
                load.progress.insert(id, progress);
            }
            Item::Unreadable(reason) => state::record(out, Subject::Process, "unreadable-record", reason),
            _ => {}
        }
    }
}

/// Records that a watched range has been listed in this term.
pub(super) fn range_listed(state: &mut super::State, range: Range, out: &mut Vec<Effect>) {
    if let Some(load) = &mut state.load {
        load.missing_ranges.retain(|missing| *missing != range);
        finish_if_read(state, out);
    }
}

/// Restores the state and starts to schedule once all parts are read and the watched ranges are listed.
fn finish_if_read(state: &mut super::State, out: &mut Vec<Effect>) {
    let is_read = |load: &State| load.missing_parts.is_empty() && load.missing_ranges.is_empty();
    if !state.load.as_ref().is_some_and(is_read) {
        return;
    }
    let Some(load) = state.load.take() else { return };
    state.journal.begin(load.tip_revision, state.now);
    for member in &load.roster.members {
        let key = state.workers.get_or_insert(&member.id, member.address, state.now);
        let worker = &mut state.workers.all[key];
        worker.remaining = member.remaining.clone().filter(|_| worker.is_closed());
        state.workers.enroll(member);
    }
    let enrolled_count = load.roster.members.len();
    let job_count = load.jobs.len();
    let (begun, tuning) = (load.started_at, state.tuning);
    state.earlier_orders_until = late::earlier_orders_until(state, begun);
    let start_count = load.starts.len();
    restore(state, load.jobs, load.progress);
    late::inherit(state, load.starts);
    if job_count > 0 {
        gate::close(state, &load.roster, begun, out);
    }
    let elapsed_ms = state.now.since(begun).as_millis();
    let reason = format!(
        "{job_count} jobs, {enrolled_count} known workers, {start_count} orders under way, read in {elapsed_ms} ms"
    );
    state::record(out, Subject::Process, "loaded", reason);
    journal::retire_vacated(state, out);
    journal::enroll(state, out);
    for key in state.workers.all.keys().collect::<Vec<_>>() {
        renewal::send_if_due(state, key, out);
    }
    state.timers.set(state.now + tuning.images_interval, Timer::StoreImages(state.leadership.term()));
    state.schedule_placement();
    handler::serve_deferred(state, out);
}

fn restore(state: &mut super::State, jobs: Map<Id, Record>, mut progress: Map<Id, Progress>) {
    for (id, record) in jobs {
        let progress = progress.remove(&id).unwrap_or_default();
        restore_job(state, id, record, progress);
    }
    for (id, progress) in progress {
        if progress.phase.has_ended() {
            let record = Record {
                queue: String::new(),
                service: String::new(),
                spec: Default::default(),
                accepted_unix_ms: progress.finished_unix_ms,
            };
            restore_job(state, id, record, progress);
        }
    }
}

fn restore_job(state: &mut super::State, id: Id, record: Record, progress: Progress) {
    late::restore(state, id, &progress.task_progress);
    let age = std::time::Duration::from_millis(state.unix_ms.saturating_sub(record.accepted_unix_ms));
    let job = Job {
        phase: if progress.task_progress.is_empty() {
            progress.phase
        } else {
            phase_with_progress(progress.phase)
        },
        is_final: progress.phase.has_ended(),
        task_progress: progress.task_progress,
        finished_unix_ms: progress.finished_unix_ms,
        late_until: if progress.has_late_start { state.earlier_orders_until } else { Instant::default() },
        is_stored: true,
        inherited_in: Some(state.leadership.term()),
        ..lifecycle::new_job(state, id, record)
    };
    let has_ended = job.phase.has_ended();
    let due = Instant(job.deadline.0.saturating_sub(age.as_micros() as u64));
    let key = state.jobs.all.insert(Job { deadline: due, ..job });
    state.jobs.by_id.insert(id, key);
    if has_ended {
        lifecycle::schedule_removal(state, key);
    } else {
        lifecycle::release_due(state, key);
    }
}

/// Phase of a job that has task progress: such a job has started, even if its stored phase is older.
fn phase_with_progress(phase: Phase) -> Phase {
    if phase == Phase::Queued { Phase::Running } else { phase }
}
