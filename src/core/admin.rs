//! Operator commands and their answers.

use super::cell::Role;
use super::effect::Effect;
use super::journal::TaskState;
use super::member::Health;
use super::state::{State, record};
use super::task::Stage;
use super::trace::Subject;
use super::{apply, cell, member, place, replica, task, worker};
use crate::declare::job;

/// Handle of an operator's call at its port.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// Operator command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Validate a document and put it in force as a whole.
    Apply {
        /// Name of the document.
        name: String,
        /// Text of the document.
        text: String,
        /// Version of the document that the operator edited; `None` for the newest.
        base: Option<u64>,
        /// Operator who applies it.
        author: String,
        /// Time of day, in seconds since the Unix epoch.
        applied_s: u64,
    },
    /// Report the state of this process.
    Status,
    /// Explain the state of a task.
    Why {
        /// Name of the job.
        job: String,
        /// Index of the task.
        index: u32,
    },
    /// Place no new work on a VM.
    Drain {
        /// Name of the VM.
        vm: String,
    },
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The document is accepted.
    Accepted {
        /// Global version.
        version: u64,
    },
    /// Another operator changed the document in the meantime.
    Conflict {
        /// Version that the operator edited.
        expected: u64,
        /// Version found in the store.
        found: u64,
    },
    /// The document is invalid.
    Invalid(Vec<crate::finding::Finding>),
    /// Nothing was changed, for the reason given.
    NotAccepted(String),
    /// The change may have taken effect.
    Unknown {
        /// Identity of the write, which the configuration index has if the change took effect.
        write_id: u64,
    },
    /// State of this process.
    Status(Box<Status>),
    /// Explanation of a task's state.
    Why(String),
    /// The command succeeded.
    Done,
    /// The job, task or VM does not exist here; with a message.
    NotFound(String),
}

/// State of a process.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Configuration version in force.
    pub version: u64,
    /// Whether the process is ready for requests of callers.
    pub ready: bool,
    /// Other members: identity, name, health in words, configuration version in force.
    pub members: Vec<(member::Id, String, String, u64)>,
    /// Cells that this process acts for.
    pub cells: Vec<Cell>,
    /// Exchanges in flight.
    pub in_flight: u64,
    /// Exchanges answered since the start.
    pub answered: u64,
    /// Exchanges refused as "not run" since the start.
    pub refused: u64,
    /// Exchanges with an unknown outcome since the start.
    pub unknown: u64,
    /// Documents in force: name, version, author.
    pub documents: Vec<(String, u64, String)>,
}

/// State of a cell that this process acts for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cell {
    /// Identity.
    pub id: cell::Id,
    /// Role in words.
    pub role: &'static str,
    /// Epoch of the last takeover in the log.
    pub epoch: u64,
    /// Number of workers with a control lease, and of all known workers.
    pub workers: (u32, u32),
    /// Batch tasks by phase: queued, running, unknown, finished, failed, cancelled.
    pub tasks: [u64; 6],
    /// Number of running service replicas, and of declared ones.
    pub replicas: (u32, u32),
}

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Exchanges answered.
    pub answered: u64,
    /// Exchanges refused as "not run".
    pub refused: u64,
    /// Exchanges with an unknown outcome.
    pub unknown: u64,
}

pub(crate) fn handle_command(state: &mut State, ticket: Ticket, command: Command, out: &mut Vec<Effect>) {
    match command {
        Command::Apply { name, text, base, author, applied_s } => {
            let draft = apply::Draft { name, text, base, author, applied_s };
            apply::submit(state, ticket, draft, out);
        }
        Command::Status => send_answer(ticket, Answer::Status(Box::new(status(state))), out),
        Command::Why { job, index } => send_answer(ticket, explain_task(state, &job, index), out),
        Command::Drain { vm } => {
            let answer = drain_worker(state, &vm, out);
            send_answer(ticket, answer, out);
        }
    }
}

pub(crate) fn send_answer(ticket: Ticket, answer: Answer, out: &mut Vec<Effect>) {
    out.push(Effect::Admin { ticket, answer });
}

/// Reports the state of this process.
pub fn status(state: &State) -> Status {
    let plan = &state.config.plan;
    let health = |health: Health| match health {
        Health::Live => "live",
        Health::Suspect => "suspect",
        Health::Leaving => "leaving",
    };
    let mut members: Vec<_> = state
        .members
        .iter()
        .map(|m| (m.id, m.name.clone(), health(m.health).to_owned(), m.config_version))
        .collect();
    members.sort_unstable();
    let mut cells: Vec<Cell> =
        state.cells.keys().into_iter().filter_map(|key| cell_status(state, key)).collect();
    cells.sort_unstable_by_key(|cell| cell.id);
    let documents = &state.config.index.documents;
    Status {
        name: state.me.name.clone(),
        zone: plan.zone(state.me.zone).map(|(_, zone)| zone.name.clone()).unwrap_or_default(),
        version: state.config.index.version,
        ready: state.is_ready(),
        members,
        cells,
        in_flight: state.exchanges.len() as u64,
        answered: state.counters.answered,
        refused: state.counters.refused,
        unknown: state.counters.unknown,
        documents: documents.iter().map(|d| (d.name.clone(), d.version, d.author.clone())).collect(),
    }
}

fn cell_status(state: &State, key: cell::Key) -> Option<Cell> {
    let cell = state.cells.get(key)?;
    let role = match cell.role {
        Role::Recovering => "recovering",
        Role::Caretaker => "caretaker",
        Role::Owner => "owner",
    };
    let leased =
        state.workers.in_cell(cell.id).filter(|(_, worker)| worker.is_held(state.now)).count() as u32;
    let known = state.workers.in_cell(cell.id).count() as u32;
    let (id, epoch, tasks) = (cell.id, cell.epoch, task_counts(state, cell));
    Some(Cell { id, role, epoch, workers: (leased, known), tasks, replicas: replica::count(state, key) })
}

/// Batch tasks by phase: queued, running, unknown, finished, failed, cancelled.
fn task_counts(state: &State, cell: &cell::Cell) -> [u64; 6] {
    let mut counts = [0; 6];
    for task in cell.tasks.values().filter_map(|key| state.tasks.get(*key)) {
        let phase = match (task.committed_state, task.stage) {
            (TaskState::Queued { .. }, _) => 0,
            (TaskState::Assigned { .. }, Stage::Starting) => 2,
            (TaskState::Assigned { .. }, _) => 1,
            (TaskState::Finished, _) => 3,
            (TaskState::Failed(_), _) => 4,
            (TaskState::Cancelled, _) => 5,
        };
        counts[phase] += 1;
    }
    // Tasks of a closed job are not in the arena, so they are counted from its declaration.
    for (job, adopted) in cell.jobs.iter().filter(|(_, adopted)| adopted.count == 0) {
        let declared =
            state.config.plan.job(*job).map_or(0, |(_, job)| task::home_indices(job, cell.id).count());
        counts[if adopted.cancelled { 5 } else { 3 }] += declared as u64;
    }
    counts
}

/// Explains the state of a task.
fn explain_task(state: &State, name: &str, index: u32) -> Answer {
    let plan = &state.config.plan;
    let Some(job) = plan.jobs.iter().find(|job| job.name == name) else {
        return Answer::NotFound(format!("no job {name} is declared"));
    };
    if index >= job.tasks {
        return Answer::NotFound(format!("job {name} has tasks 0 to {}", job.tasks - 1));
    }
    let home = job.homes.get(index as usize % job.homes.len().max(1)).copied();
    let Some((key, cell)) =
        home.and_then(|home| state.cells.key(home)).and_then(|k| Some((k, state.cells.get(k)?)))
    else {
        return Answer::NotFound(format!(
            "the cell of task {index} is owned by another entry VM; query that VM"
        ));
    };
    let id = task::Id { job: job.id, index };
    let Some(task) = cell.tasks.get(&id).and_then(|key| state.tasks.get(*key)) else {
        return Answer::Why(explain_closed_job(cell, job.id));
    };
    Answer::Why(match task.committed_state {
        TaskState::Queued { .. } => explain_queued(state, key, job),
        standing => {
            format!("{standing:?}, {:?}, attempt {}, {} failure(s)", task.stage, task.attempt, task.failures)
        }
    })
}

fn explain_closed_job(cell: &cell::Cell, job: job::Id) -> String {
    match cell.jobs.get(&job) {
        Some(adopted) if adopted.cancelled => "cancelled".into(),
        Some(adopted) if adopted.count == 0 => "finished; all tasks of the job in this cell finished".into(),
        _ => "not adopted yet; the adoption is not in the log".into(),
    }
}

/// Counts the workers of a cell by the first reason why a queued task cannot be placed on them.
fn explain_queued(state: &State, key: cell::Key, job: &job::Job) -> String {
    let Some(cell) = state.cells.get(key) else { return String::new() };
    if cell.role != Role::Owner {
        return "queued; a batch start needs the log, and the store cannot be reached".into();
    }
    let now = state.now;
    let plan = &state.config.plan;
    let mut reasons: Vec<(&str, u32)> = Vec::new();
    for (_, worker) in state.workers.in_cell(cell.id) {
        let reason = match worker {
            w if !place::matches_filter(plan, &job.filter, w) => "not allowed by zones, racks or labels",
            w if w.leaving || w.absent_since.is_some() => "leaving",
            w if !w.is_held(now) => "no control lease",
            w if !w.accepts_batch(now) => "in quarantine",
            w if !job.size.fits(&w.free_capacity()) => "not enough free capacity",
            _ => "enough free capacity; waiting for the next placement pass",
        };
        match reasons.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, count)) => *count += 1,
            None => reasons.push((reason, 1)),
        }
    }
    if place::is_over_quota(state, key, job) {
        return format!("queued; one more task would exceed the quota of team {}", plan.team(job.team).name);
    }
    let listed: Vec<String> =
        reasons.iter().map(|(reason, count)| format!("{count} worker(s): {reason}")).collect();
    format!("queued with {} other(s); {}", cell.queue.len().saturating_sub(1), listed.join("; "))
}

/// Marks a worker of this zone as leaving, so that it gets no new work.
fn drain_worker(state: &mut State, vm: &str, out: &mut Vec<Effect>) -> Answer {
    let id = worker::Id::of(vm);
    let Some(key) = state.workers.key(id) else {
        return Answer::NotFound(format!("no worker {vm} is listed in this zone"));
    };
    let Some(worker) = state.workers.get_mut(key) else { return Answer::NotFound(vm.to_owned()) };
    let cell = worker.cell;
    if state.cells.key(cell).is_none() {
        return Answer::NotFound(format!(
            "the cell of worker {vm} is owned by another entry VM; send the command to that VM"
        ));
    }
    worker.leaving = true;
    record(out, Subject::Worker(id), "worker-leaving", "drained by an operator");
    place::schedule_pass_by_id(state, cell);
    Answer::Done
}
