//! Tests of the time of day, which may jump on any VM: no lease, wait, term or retention depends on it.

mod emulator;

use std::path::{Path, PathBuf};
use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::Step;

const SECOND: Duration = Duration::from_secs(1);

/// Time by which the time of day jumps: longer than any lease, wait and retention.
const JUMP: Duration = Duration::from_secs(300);

/// Files that read the time of day: as an input of the reducer, for new identities, for the timeline, and to date a document.
const READERS: [&str; 5] =
    ["node/jobs.rs", "node/start.rs", "port/admin.rs", "port/mod.rs", "timeline/writer.rs"];

/// Files of the scheduler for submitted jobs that use the time of day of an input: to date records, to release occurrences
/// at the times that callers gave and to rank them by these, and to tell the age of records and of worker processes.
const USERS: [&str; 6] =
    ["handler.rs", "lifecycle.rs", "load.rs", "place/locality.rs", "place/mod.rs", "renewal.rs"];

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder of the sources");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let (folders, files): (Vec<_>, Vec<_>) = paths.partition(|path| path.is_dir());
    let inner = folders.iter().flat_map(|folder| rust_files(folder));
    files.into_iter().filter(|path| path.extension().is_some_and(|it| it == "rs")).chain(inner).collect()
}

/// Names of the files below a folder that contain a text, in order.
fn files_with(folder: &Path, text: &str) -> Vec<String> {
    let contains = |path: &PathBuf| std::fs::read_to_string(path).expect("a source file").contains(text);
    let relative = |path: PathBuf| path.strip_prefix(folder).expect("below the folder").display().to_string();
    let mut names: Vec<String> = rust_files(folder).into_iter().filter(contains).map(relative).collect();
    names.sort();
    names
}

/// Guards against a new decision by the time of day: a file that reads or uses that clock and is not known to tolerate a jump.
#[test]
fn other_code_uses_the_time_of_day() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    assert_eq!(files_with(&source, "SystemTime::now"), READERS);
    assert_eq!(files_with(&source.join("core/work"), "state.unix_ms"), USERS);
}

/// Lets the time of day jump ahead or back on some entry VMs, and back again, while jobs run and the leader changes. The
/// leader at that time is among them, since its clock is the one that decisions could use.
fn run_with_jumps(seed: u64, jumps: impl Fn(&mut Emulator, bool)) {
    let mut emulator = Emulator::new(seed, 3, 4);
    emulator.clock_leads = vec![JUMP; 3];
    emulator.run_for(SECOND);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(2) }]));
    for id in 10..16 {
        emulator.submit(1, id, job([step(3), Step { depends_on: vec![0], ..step(2) }]));
        jumps(&mut emulator, id % 2 == 0);
        emulator.run_for(SECOND / 2);
    }
    let leader = emulator.leader().expect("a leader");
    emulator.kill(leader);
    jumps(&mut emulator, true);
    emulator.run_for(12 * SECOND);
    emulator.start(leader);
    jumps(&mut emulator, false);
    emulator.run_for(20 * SECOND);
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
    let vm = emulator.leader().expect("a leader");
    for id in 10..16 {
        let answer = emulator.read_job(vm, id);
        assert_eq!(answer, Some(Answer::Phase(Phase::Completed)), "seed {seed}, job {id}");
    }
    assert_eq!(emulator.read_job(vm, 1), Some(Answer::Phase(Phase::Running)), "seed {seed}");
}

/// Guards against leases, waits and retentions that end early because the time of day jumps ahead.
#[test]
fn a_jump_ahead_ends_a_lease_or_a_retention() {
    for seed in 0..10 {
        run_with_jumps(seed, |emulator, has_jumped| {
            let vm = emulator.leader().unwrap_or(0);
            emulator.clock_leads[vm] = if has_jumped { JUMP * 2 } else { JUMP };
        });
    }
}

/// Guards against leases, waits and timers that last too long because the time of day jumps back.
#[test]
fn a_jump_back_keeps_tasks_waiting() {
    for seed in 0..10 {
        run_with_jumps(seed, |emulator, has_jumped| {
            let vm = emulator.leader().unwrap_or(1);
            emulator.clock_leads[vm] = if has_jumped { Duration::ZERO } else { JUMP };
        });
    }
}

/// Guards against a change of the leader between VMs whose clocks have jumped in opposite directions.
#[test]
fn jumps_in_both_directions_lose_a_job() {
    for seed in 0..10 {
        run_with_jumps(seed, |emulator, has_jumped| {
            let leads = if has_jumped { [JUMP * 2, Duration::ZERO, JUMP] } else { [JUMP; 3] };
            emulator.clock_leads = leads.to_vec();
        });
    }
}
