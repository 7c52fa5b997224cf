//! Tests of the evacuation of availability zones, on an emulated deployment whose workers are in several zones.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::{Id, Name, Step};

const SECOND: Duration = Duration::from_secs(1);

const ZONES: [&str; 3] = ["a", "b", "c"];

const WORKERS: usize = 9;

/// Jobs of a schedule with random faults, one each half second: a zone stays evacuated for longer than the bound in some.
const ROUNDS: u64 = 60;

/// Seeds of the random faults, unless the environment variable sets another number.
const SCHEDULES: u64 = 40;

fn name(job: u64, index: u32) -> Name {
    Name { job: Id(job), occurrence: 0, step: 0, index }
}

/// Emulated deployment with workers in three zones, after it has elected a leader and discovered its workers.
fn ready(seed: u64) -> Emulator {
    let mut emulator = Emulator::new(seed, 3, 0);
    for number in 0..WORKERS {
        let mut worker = emulator::worker::Worker::new(number);
        worker.zone = ZONES[number % ZONES.len()].into();
        emulator.store.list_worker(&worker);
        emulator.workers.push(worker);
    }
    emulator.run_for(2 * SECOND);
    assert!(emulator.leader().is_some(), "no leader after two seconds: {:#?}", emulator.log);
    emulator
}

fn evacuate(emulator: &mut Emulator, zone: &str) {
    emulator.store.evacuate(zone);
    emulator.observer.evacuated.insert(zone.into(), emulator.now);
}

fn end_evacuation(emulator: &mut Emulator, zone: &str) {
    emulator.store.end_evacuation(zone);
    emulator.observer.evacuated.remove(zone);
}

/// Number of starts on the workers of a zone.
fn starts_in(emulator: &Emulator, zone: &str) -> u32 {
    emulator.workers.iter().filter(|worker| worker.zone == zone).map(|worker| worker.start_count).sum()
}

fn count_entries(emulator: &Emulator, kind: &str) -> usize {
    emulator.log.iter().filter(|line| line.contains(&format!("{kind:?}"))).count()
}

fn assert_no_violation(emulator: &Emulator, seed: u64) {
    if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !emulator.observer.violations.is_empty() {
        println!("{}", emulator.log.join("\n"));
    }
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

/// Submits jobs for some seconds, each with more tasks than one zone has room for.
fn press(emulator: &mut Emulator, first_job: u64, seconds: u64) {
    for id in first_job..first_job + 2 * seconds {
        emulator.submit(0, id, job([step(16)]));
        emulator.run_for(SECOND / 2);
    }
}

/// Guards against tasks that start in an evacuated zone, runs there that are ended by it, and a zone that stays unused
/// after its evacuation.
#[test]
fn tasks_start_in_an_evacuated_zone() {
    for seed in 0..5 {
        let mut emulator = ready(seed);
        emulator.submit(0, 1, job([Step { is_long_running: true, ..step(9) }]));
        emulator.run_for(SECOND);
        evacuate(&mut emulator, "a");
        emulator.run_for(SECOND);
        let (starts, all_starts) = (starts_in(&emulator, "a"), emulator.observer.start_count);
        press(&mut emulator, 10, 8);
        assert_eq!(starts_in(&emulator, "a"), starts, "seed {seed}");
        assert!(
            emulator.observer.start_count > all_starts + 50,
            "seed {seed}: the other zones were not used"
        );
        assert!((0..9).all(|index| emulator.observer.is_running(name(1, index))), "seed {seed}");
        end_evacuation(&mut emulator, "a");
        press(&mut emulator, 30, 4);
        assert!(starts_in(&emulator, "a") > starts, "seed {seed}: the zone was not used again");
        assert_eq!(count_entries(&emulator, "evacuate"), 1, "seed {seed}");
        assert_eq!(count_entries(&emulator, "evacuation-ended"), 1, "seed {seed}");
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a new leader that places tasks before it knows the evacuated zones, and one that keeps a zone evacuated
/// whose evacuation ended between two leaders.
#[test]
fn a_new_leader_uses_an_evacuated_zone() {
    for seed in 0..10 {
        let mut emulator = ready(seed);
        evacuate(&mut emulator, "b");
        emulator.run_for(SECOND);
        press(&mut emulator, 10, 2);
        let starts = starts_in(&emulator, "b");
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        let vm = (leader + 1) % 3;
        for id in 20..30 {
            emulator.submit(vm, id, job([step(16)]));
            emulator.run_for(SECOND);
        }
        assert!(emulator.leader().is_some(), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(starts_in(&emulator, "b"), starts, "seed {seed}");
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        if let Some(vm) = (0..3).find(|vm| *vm != leader && !emulator.is_up(*vm)) {
            emulator.start(vm);
        }
        end_evacuation(&mut emulator, "b");
        emulator.run_for(12 * SECOND);
        let vm = emulator.leader().expect("a leader");
        for id in 30..34 {
            emulator.submit(vm, id, job([step(24)]));
            emulator.run_for(SECOND);
        }
        assert!(starts_in(&emulator, "b") > starts, "seed {seed}: the zone was not used again");
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a worker that joins an evacuated zone, or moves there, and takes runs.
#[test]
fn a_worker_that_joins_an_evacuated_zone_takes_runs() {
    let mut emulator = ready(1);
    evacuate(&mut emulator, "d");
    emulator.run_for(SECOND);
    emulator.workers[0].zone = "d".into();
    emulator.store.list_worker(&emulator.workers[0]);
    let mut worker = emulator::worker::Worker::new(WORKERS);
    worker.zone = "d".into();
    emulator.store.list_worker(&worker);
    emulator.workers.push(worker);
    emulator.run_for(SECOND);
    let starts = starts_in(&emulator, "d");
    press(&mut emulator, 10, 6);
    assert_eq!(starts_in(&emulator, "d"), starts);
    let unknown = emulator.log.iter().find(|line| line.contains("\"evacuate\"")).expect("an entry");
    assert!(unknown.contains("zones with workers: a, b, c"), "{unknown}");
    assert_no_violation(&emulator, 1);
}

/// Guards against starts in an evacuated zone, and lost jobs, that only a combination of faults causes: leaders are killed,
/// the store is down or drops its history, and workers are cut off while zones are evacuated and taken back.
#[test]
fn random_faults_cause_starts_in_an_evacuated_zone() {
    let seeds = std::env::var("NUTMEGFOLD_SCHEDULES").ok().and_then(|text| text.parse().ok());
    let mut checked = 0;
    for seed in 0..seeds.unwrap_or(SCHEDULES) {
        let mut emulator = ready(seed);
        for round in 0..ROUNDS {
            let vm = (0..3).find(|vm| emulator.is_up(*vm)).expect("a VM is up");
            emulator.submit(vm, round + 1, job([step(6), Step { depends_on: vec![0], ..step(2) }]));
            inject_random_fault(&mut emulator);
            emulator.run_for(SECOND / 2);
        }
        clear_faults(&mut emulator);
        emulator.run_for(40 * SECOND);
        assert_no_violation(&emulator, seed);
        checked += emulator.observer.starts_beside_evacuation;
        let vm = emulator.leader().expect("a leader");
        for id in 1..=ROUNDS {
            let answer = emulator.read_job(vm, id);
            let is_settled =
                matches!(answer, Some(Answer::Phase(Phase::Completed | Phase::Failed) | Answer::UnknownJob));
            assert!(is_settled, "seed {seed}, job {id}: {answer:?}");
        }
    }
    assert!(checked > 0, "no task started while a zone was evacuated for longer than the bound");
}

fn inject_random_fault(emulator: &mut Emulator) {
    let vm = (emulator.next_random() % 3) as usize;
    let worker = emulator.next_random() as usize % WORKERS;
    let zone = ZONES[emulator.next_random() as usize % ZONES.len()];
    match emulator.next_random() % 9 {
        0 | 1 if !emulator.observer.evacuated.contains_key(zone) => evacuate(emulator, zone),
        0..=2 => end_evacuation(emulator, zone),
        3 if (0..3).filter(|vm| emulator.is_up(*vm)).count() > 1 => emulator.kill(vm),
        4 => {
            if let Some(vm) = (0..3).find(|vm| !emulator.is_up(*vm)) {
                emulator.start(vm);
            }
        }
        5 => emulator.store.drop_history(),
        6 => emulator.workers[worker].is_unresponsive ^= true,
        7 => emulator.restart_worker(worker),
        _ => emulator.store.revoke_leases(),
    }
}

fn clear_faults(emulator: &mut Emulator) {
    for zone in ZONES {
        end_evacuation(emulator, zone);
    }
    emulator.workers.iter_mut().for_each(|worker| worker.is_unresponsive = false);
    for vm in 0..3 {
        if !emulator.is_up(vm) {
            emulator.start(vm);
        }
    }
}
