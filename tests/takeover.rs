//! Simulated sessions of one zone in which a cell changes its owner or its declaration while its tasks run.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use nutmegfold::core::admin::{Answer, Command};
use nutmegfold::core::cell::Role;
use nutmegfold::core::control::Work;
use nutmegfold::core::effect::Effect;
use nutmegfold::core::event::{Event, Input};
use nutmegfold::core::grant::Slot;
use nutmegfold::core::journal::Record;
use nutmegfold::core::peer::Message;
use nutmegfold::core::time::Instant;
use nutmegfold::core::tuning::Tuning;
use nutmegfold::core::{State, cell, member, reduce};
use nutmegfold::declare::check::{self, Source};
use nutmegfold::session::Session;
use nutmegfold::session::fault::{self, Fault};
use nutmegfold::session::site::{self, Site};

/// The zone, its pool and a team. Documents of the tests add jobs.
const BASE: &str = r#"
name = "base"
[[region]]
name = "south"
[[zone]]
name = "a"
region = "south"
entry_vms = 3
[[pool]]
name = "wa"
zone = "a"
racks = ["r1"]
count = 2
cores = 16
memory = "60 GB"
[[team]]
name = "desk"
"#;

/// Virtual time `seconds` after the start of the session.
fn at(seconds: f64) -> Instant {
    Instant((seconds * 1e6) as u64)
}

fn job(settings: &str) -> String {
    format!(
        "name = \"jobs\"\n[[job]]\nname = \"plan\"\nteam = \"desk\"\ncores = 2\nmemory = \"4 GB\"\n{settings}\n"
    )
}

/// Session of a deployment without jobs, stopped when its document is in force and the cell has an owner.
fn started(base: &str, tuning: Tuning, seed: u64) -> Session {
    let plan = check::compile(&[Source { name: "base", text: base, is_stored: false }]).expect("valid");
    let mut session = Session::new(&plan, tuning, seed);
    session.run_for(Duration::from_secs(3));
    apply(&mut session, "base", base);
    session.run_until(at(10.0));
    session
}

/// Applies a document at the first entry VM whose process runs, and checks that it is accepted.
fn apply(session: &mut Session, name: &str, text: &str) {
    let to = session.entry_vms.iter().position(|vm| vm.process.is_some()).expect("a process") as u16;
    apply_at(session, to, name, text);
}

/// Applies a document at an entry VM, and checks that it is accepted.
fn apply_at(session: &mut Session, to: u16, name: &str, text: &str) {
    // The author identifies the change, so each change needs its own.
    let author = format!("operator-{}", session.now.0);
    let (name, text) = (name.into(), text.into());
    let ticket = session.command(to, Command::Apply { name, text, base: None, author, applied_s: 0 });
    let answered = run_while(session, |session| !session.answers.contains_key(&ticket));
    assert!(matches!(answered.then(|| &session.answers[&ticket]), Some(Answer::Accepted { .. })));
}

/// Runs the session until the condition is false, for at most 30 s; returns whether it became false.
fn run_while(session: &mut Session, condition: impl Fn(&Session) -> bool) -> bool {
    let end = session.now + Duration::from_secs(30);
    while condition(session) && session.now < end {
        session.run_for(Duration::from_millis(1));
    }
    !condition(session)
}

/// Number and state of the process that owns the only cell of the zone.
fn owner(session: &Session) -> Option<(u16, &State)> {
    let is_owner = |state: &State| state.cells.iter().any(|(_, cell)| cell.role == Role::Owner);
    let mut states = session.entry_vms.iter().enumerate();
    states.find_map(|(at, vm)| vm.process.as_ref().filter(|state| is_owner(state)).map(|s| (at as u16, s)))
}

fn owner_vm(session: &Session) -> u16 {
    owner(session).expect("an owner").0
}

fn records(session: &Session) -> Vec<Record> {
    let (_, state) = owner(session).expect("an owner");
    let cell = state.cells.iter().next().expect("a cell").1.id;
    session.store.log(cell).iter().flat_map(|segment| segment.records.clone()).collect()
}

fn running_tasks(session: &Session) -> usize {
    let running = session.worker_vms.iter().flat_map(|vm| vm.worker.running());
    running.filter(|running| matches!(running.work, Work::Batch(_))).count()
}

/// Cuts an entry VM off from all workers for a period.
fn cut_from_workers(session: &mut Session, entry: u16, span: Duration) {
    let workers = (0..session.worker_vms.len() as u16).map(Site::Worker).collect();
    let period = (session.now, session.now + span);
    session.link = Box::new(fault::faulty_link(vec![Fault::cut(period, vec![Site::Entry(entry)], workers)]));
}

/// Kills the owner, lets another process take the cell over while `withheld` keeps the newest configuration from it, and
/// then delivers that configuration.
fn take_over_with_an_older_plan(session: &mut Session, former: u16, withheld: &RefCell<bool>) {
    session.kill(former);
    assert!(run_while(session, |session| owner(session).is_none()));
    session.run_for(Duration::from_secs(5));
    assert_eq!(owner(session).expect("an owner").1.config.index.version, 1);
    *withheld.borrow_mut() = false;
    session.store.index_lag_writes = 0;
    session.run_for(Duration::from_secs(40));
}

/// Applies a document at the owner and withholds it from the other processes. Returns the number of the owner, and the
/// flag that withholds the document.
fn apply_at_the_owner_only(session: &mut Session, text: &str) -> (u16, Rc<RefCell<bool>>) {
    let withheld = Rc::new(RefCell::new(true));
    let is_withheld = Rc::clone(&withheld);
    session.reducer = Box::new(move |state, mut input, out| {
        if let Event::Peer { message: Message::ConfigOffer { .. }, .. } = &input.event
            && *is_withheld.borrow()
        {
            input.event = Event::Wake;
        }
        reduce(state, input, out);
    });
    let owner = owner_vm(session);
    apply_at(session, owner, "jobs", text);
    session.store.index_lag_writes = 1;
    (owner, withheld)
}

/// Slots of a cell for which other processes than the owner hold grants.
fn granted_slots(session: &Session, cell: cell::Id, owner: u16) -> Vec<Slot> {
    let others = session.entry_vms.iter().enumerate().filter(|(at, _)| *at != usize::from(owner));
    let states = others.filter_map(|(_, vm)| vm.process.as_ref());
    states.filter_map(|state| state.grants.valid(cell, session.now)).map(|held| held.slot).collect()
}

/// Number of the entry VM whose process owns the cell with this index.
fn owner_of(session: &Session, index: u16) -> Option<u16> {
    let is_owner = |state: &State| {
        state.cells.iter().any(|(_, cell)| cell.id.index == index && cell.role == Role::Owner)
    };
    let position = session.entry_vms.iter().position(|vm| vm.process.as_ref().is_some_and(is_owner));
    position.map(|at| at as u16)
}

/// Guards against a task that stays in the queue under its former priority while it runs.
#[test]
fn task_is_not_assigned_twice_after_its_priority_changes() {
    let mut session = started(BASE, Tuning::default(), 1);
    let settings = |priority| format!("tasks = 20\nrun_time = \"10 s\"\npriority = {priority}");
    apply(&mut session, "jobs", &job(&settings(50)));
    session.run_for(Duration::from_secs(2));
    apply(&mut session, "jobs", &job(&settings(60)));
    session.run_for(Duration::from_secs(60));
    assert_eq!(session.violations(), Vec::<String>::new());
    assert_eq!(session.shared.audit.counts().tasks_finished, 20);
    assert_eq!(session.shared.audit.counts().tasks_started, 20);
}

/// Guards against a successor that starts what its predecessor had assigned but could not start.
#[test]
fn task_of_a_cancelled_job_is_not_started_after_a_takeover() {
    let tuning = Tuning { segments_per_snapshot: 1, ..Tuning::default() };
    for seed in 1..5 {
        let mut session = started(BASE, tuning, seed);
        let former = owner_vm(&session);
        cut_from_workers(&mut session, former, Duration::from_secs(60));
        let settings = "tasks = 3\nrun_time = \"600 s\"";
        apply(&mut session, "jobs", &job(settings));
        let is_assigned = |record: &Record| matches!(record, Record::Assign { .. });
        assert!(run_while(&mut session, |session| !records(session).iter().any(is_assigned)));
        apply(&mut session, "jobs", &job(&format!("{settings}\ncancelled = true")));
        let is_cancelled = |record: &Record| matches!(record, Record::Cancel { .. });
        assert!(run_while(&mut session, |session| !records(session).iter().any(is_cancelled)));
        session.run_for(Duration::from_millis(20));
        session.kill(former);
        session.run_for(Duration::from_secs(20));
        assert_eq!(session.shared.audit.counts().tasks_started, 0, "seed {seed}");
    }
}

/// Guards against a successor that lets a task of a cancelled job run on.
#[test]
fn task_of_a_cancelled_job_is_stopped_after_a_takeover() {
    let tuning = Tuning { segments_per_snapshot: 1, ..Tuning::default() };
    for seed in 1..5 {
        let mut session = started(BASE, tuning, seed);
        let former = owner_vm(&session);
        let settings = "tasks = 3\nrun_time = \"600 s\"";
        apply(&mut session, "jobs", &job(settings));
        assert!(run_while(&mut session, |session| running_tasks(session) < 3));
        cut_from_workers(&mut session, former, Duration::from_secs(60));
        apply(&mut session, "jobs", &job(&format!("{settings}\ncancelled = true")));
        let is_cancelled = |record: &Record| matches!(record, Record::Cancel { .. });
        assert!(run_while(&mut session, |session| !records(session).iter().any(is_cancelled)));
        session.run_for(Duration::from_millis(20));
        session.kill(former);
        session.run_for(Duration::from_secs(20));
        assert_eq!(running_tasks(&session), 0, "seed {seed}");
    }
}

/// Guards against a task of a cancelled job that runs on after its stop command was lost.
#[test]
fn lost_stop_command_is_repeated() {
    for seed in 1..5 {
        let mut session = started(BASE, Tuning::default(), seed);
        let owner = owner_vm(&session);
        apply(&mut session, "jobs", &job("tasks = 3\nrun_time = \"600 s\""));
        assert!(run_while(&mut session, |session| running_tasks(session) < 3));
        cut_from_workers(&mut session, owner, Duration::from_secs(1));
        apply(&mut session, "jobs", "name = \"jobs\"\n");
        session.run_for(Duration::from_secs(20));
        assert_eq!(running_tasks(&session), 0, "seed {seed}");
    }
}

/// Guards against an attempt too many when the record of the task's end is not in the log yet.
#[test]
fn task_that_used_up_its_retries_is_not_started_after_a_takeover() {
    let mut session = started(BASE, Tuning::default(), 1);
    session.worker_vms.iter_mut().for_each(|vm| vm.worker.faults.is_failing = true);
    apply(&mut session, "jobs", &job("tasks = 1\nrun_time = \"1 s\"\nretries = 0"));
    let is_done = |record: &Record| matches!(record, Record::Done { .. });
    assert!(run_while(&mut session, |session| !records(session).iter().any(is_done)));
    let is_given_up = |record: &Record| matches!(record, Record::Failed { .. });
    assert!(!records(&session).iter().any(is_given_up), "the record of the end is in the log already");
    let former = owner_vm(&session);
    session.kill(former);
    session.run_for(Duration::from_secs(20));
    assert_eq!(session.shared.audit.counts().tasks_started, 1);
    assert!(records(&session).iter().any(is_given_up));
}

/// Guards against a successor that takes the retries of a job it does not know for none.
#[test]
fn task_keeps_its_retries_when_the_successor_has_an_older_configuration() {
    let mut session = started(BASE, Tuning::default(), 1);
    let workers = vec![Site::Worker(0), Site::Worker(1)];
    let period = (session.now, session.now + Duration::from_secs(60));
    let lost = Fault::lose_answers(period, vec![Site::Entry(owner_vm(&session))], workers);
    session.link = Box::new(fault::faulty_link(vec![lost]));
    session.worker_vms.iter_mut().for_each(|vm| vm.worker.faults.is_failing = true);
    let text = job("tasks = 1\nrun_time = \"1 s\"\nretries = 2");
    let (former, withheld) = apply_at_the_owner_only(&mut session, &text);
    assert!(run_while(&mut session, |session| session.shared.audit.counts().tasks_failed == 0));
    session.worker_vms.iter_mut().for_each(|vm| vm.worker.faults.is_failing = false);
    take_over_with_an_older_plan(&mut session, former, &withheld);
    assert_eq!(session.shared.audit.counts().tasks_finished, 1);
}

/// Guards against a successor that reserves nothing for tasks of a job it does not know.
#[test]
fn worker_is_not_overcommitted_when_the_successor_has_an_older_configuration() {
    let mut session = started(BASE, Tuning::default(), 1);
    let text = job("tasks = 40\nrun_time = \"600 s\"");
    let (former, withheld) = apply_at_the_owner_only(&mut session, &text);
    session.run_for(Duration::from_secs(3));
    assert_eq!(running_tasks(&session), 16);
    take_over_with_an_older_plan(&mut session, former, &withheld);
    assert_eq!(session.violations(), Vec::<String>::new());
    assert_eq!(running_tasks(&session), 16);
}

/// Guards against a job that finished in the log and is then added anew from its declaration.
#[test]
fn finished_job_does_not_run_again_when_the_successor_has_an_older_configuration() {
    let mut session = started(BASE, Tuning::default(), 1);
    let text = job("tasks = 4\nrun_time = \"1 s\"");
    let (former, withheld) = apply_at_the_owner_only(&mut session, &text);
    session.run_for(Duration::from_secs(5));
    assert_eq!(session.shared.audit.counts().tasks_finished, 4);
    take_over_with_an_older_plan(&mut session, former, &withheld);
    assert_eq!(session.violations(), Vec::<String>::new());
    assert_eq!(session.shared.audit.counts().tasks_started, 4);
}

/// Guards against grants for more connections than a worker accepts.
#[test]
fn slots_of_a_predecessor_are_reserved_after_a_handover_under_the_first_epoch() {
    let mut session = started(BASE, Tuning::default(), 1);
    let former = owner_vm(&session);
    let (held, epoch) = {
        let (_, state) = owner(&session).expect("an owner");
        let cell = state.cells.iter().next().expect("a cell").1;
        (cell.id, cell.epoch)
    };
    assert_eq!(epoch, 1);
    let granted: Vec<Slot> = granted_slots(&session, held, former);
    assert!(!granted.is_empty());
    session.stop(former);
    assert!(run_while(&mut session, |session| owner(session).is_none_or(|(at, _)| at == former)));
    let (successor, state) = owner(&session).expect("an owner");
    assert_eq!(state.cells.iter().next().expect("a cell").1.epoch, 1);
    let (from, address) = (member::Id(7), site::entry_address(7));
    let message = Message::GrantAsk { cell: held, held: None, asked_us: 0, routes_version: 0 };
    let input = Input {
        at: session.now,
        unix_ms: 0,
        entropy: 1,
        spent: Duration::ZERO,
        event: Event::Peer { from, address, message },
    };
    let mut effects = Vec::new();
    let state = session.entry_vms[usize::from(successor)].process.as_mut().expect("a process");
    reduce(state, input, &mut effects);
    let is_grant = |effect: &Effect| matches!(effect, Effect::Peer { message: Message::Grant { .. }, .. });
    assert!(
        !effects.iter().any(is_grant),
        "a slot is given out that a predecessor may have given to another"
    );
}

/// Guards against tasks that wait for the end of a worker's quarantine although it works again and has the only room.
#[test]
fn tasks_wait_for_a_worker_in_quarantine_that_has_the_only_room() {
    let mut session = started(BASE, Tuning::default(), 1);
    session.worker_vms[1].worker.faults.is_failing = true;
    apply(&mut session, "jobs", &job("tasks = 16\nrun_time = \"300 s\"\nretries = 50"));
    let is_quarantined =
        |session: &Session| session.timeline.iter().any(|line| line.entry.decision == "quarantine");
    assert!(run_while(&mut session, |session| !is_quarantined(session)));
    session.worker_vms[1].worker.faults.is_failing = false;
    let mended = session.now;
    let is_started = run_while(&mut session, |session| running_tasks(session) < 16);
    let (running, waited) = (running_tasks(&session), session.now.since(mended));
    assert!(is_started, "{running} of 16 tasks run {waited:?} after the worker works again");
}

/// Guards against the owner of a new cell that stops the tasks of another cell on its workers.
#[test]
fn work_of_another_cell_is_kept_when_the_number_of_cells_changes() {
    let base = BASE.replace("count = 2", "count = 6");
    let mut tested = 0;
    for seed in 1..6 {
        let mut session = started(&base, Tuning::default(), seed);
        apply(&mut session, "jobs", &job("tasks = 48\nrun_time = \"30 s\""));
        assert!(run_while(&mut session, |session| running_tasks(session) < 48));
        apply(&mut session, "base", &base.replace("entry_vms = 3", "entry_vms = 3\ncells = 2"));
        assert!(run_while(&mut session, |session| owner_of(session, 1).is_none()));
        let former = owner_of(&session, 1).expect("an owner");
        if Some(former) == owner_of(&session, 0) {
            continue;
        }
        tested += 1;
        session.kill(former);
        session.run_for(Duration::from_secs(60));
        let counts = session.shared.audit.counts();
        assert_eq!((counts.tasks_run_twice, counts.tasks_evicted), (0, 0), "seed {seed}");
        assert_eq!((counts.tasks_started, counts.tasks_finished), (48, 48), "seed {seed}");
    }
    assert!(tested > 0, "no seed gives the cells to different processes");
}

/// Guards against finished tasks that run again since the owner of another cell acknowledged them.
#[test]
fn results_of_another_cell_are_not_acknowledged() {
    let base = BASE.replace("count = 2", "count = 6");
    let mut tested = 0;
    for seed in 1..6 {
        let mut session = started(&base, Tuning::default(), seed);
        apply(&mut session, "jobs", &job("tasks = 48\nrun_time = \"30 s\""));
        assert!(run_while(&mut session, |session| running_tasks(session) < 48));
        let started_at = session.now;
        apply(&mut session, "base", &base.replace("entry_vms = 3", "entry_vms = 3\ncells = 2"));
        assert!(run_while(&mut session, |session| owner_of(session, 1).is_none()));
        let (first, former) =
            (owner_of(&session, 0).expect("an owner"), owner_of(&session, 1).expect("an owner"));
        if former == first {
            continue;
        }
        // The successor of the new cell claims the workers just after their tasks finish.
        session.run_until(started_at + Duration::from_millis(28_500));
        session.kill(former);
        session.run_until(started_at + Duration::from_millis(29_500));
        cut_from_workers(&mut session, first, Duration::from_secs(10));
        session.run_for(Duration::from_secs(12));
        let successor = owner_of(&session, 1).expect("an owner");
        if successor == first {
            continue;
        }
        tested += 1;
        session.kill(successor);
        session.run_for(Duration::from_secs(60));
        let counts = session.shared.audit.counts();
        assert_eq!((counts.tasks_run_twice, counts.tasks_evicted), (0, 0), "seed {seed}");
        assert_eq!((counts.tasks_started, counts.tasks_finished), (48, 48), "seed {seed}");
    }
    assert!(tested > 0, "no seed gives the cells to different processes");
}

/// Guards against two owners under one epoch.
#[test]
fn repeated_handover_does_not_bring_back_a_former_owner() {
    let mut session = started(BASE, Tuning::default(), 1);
    let handovers: Rc<RefCell<Vec<Event>>> = Rc::default();
    let log = Rc::clone(&handovers);
    session.reducer = Box::new(move |state, input, out| {
        if let Event::Peer { message: Message::Handover { .. }, .. } = &input.event {
            log.borrow_mut().push(input.event.clone());
        }
        reduce(state, input, out);
    });
    let first = owner_vm(&session);
    session.stop(first);
    session.run_for(Duration::from_secs(5));
    let second = owner_vm(&session);
    // The cell moves on as soon as a process starts that ranks before its owner.
    while owner_vm(&session) == second {
        session.start(first);
        session.run_for(Duration::from_secs(10));
    }
    let repeated = handovers.borrow()[0].clone();
    let input = Input { at: session.now, unix_ms: 0, entropy: 1, spent: Duration::ZERO, event: repeated };
    let state = session.entry_vms[usize::from(second)].process.as_mut().expect("a process");
    reduce(state, input, &mut Vec::new());
    assert!(state.cells.iter().all(|(_, cell)| cell.role != Role::Owner));
}

/// Guards against other homes for a job that is declared again with the same run number.
#[test]
fn removed_job_does_not_run_again_in_other_cells() {
    let base = BASE.replace("count = 2", "count = 6");
    let mut session = started(&base, Tuning::default(), 1);
    let text = job("tasks = 8\nrun_time = \"1 s\"");
    apply(&mut session, "jobs", &text);
    session.run_for(Duration::from_secs(10));
    assert_eq!(session.shared.audit.counts().tasks_finished, 8);
    apply(&mut session, "jobs", "name = \"jobs\"\n");
    apply(&mut session, "base", &base.replace("entry_vms = 3", "entry_vms = 3\ncells = 2"));
    session.run_for(Duration::from_secs(10));
    apply(&mut session, "jobs", &text);
    session.run_for(Duration::from_secs(30));
    assert_eq!(session.violations(), Vec::<String>::new());
    assert_eq!(session.shared.audit.counts().tasks_started, 8);
}
