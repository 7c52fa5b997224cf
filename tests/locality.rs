//! Tests of waits for the rack that holds the data of a task: the decision, and its effect in an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, job, step};
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::place::locality::{Decision, Outlook, Room, WAIT_MAX, decide, remaining_time};
use nutmegfold::core::work::place::{PACKED, Policy};
use nutmegfold::core::work::request::{Answer, Phase};
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};
use nutmegfold::hash;
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

/// Number of seeds that each test plays.
const SEEDS: u64 = 5;

/// Workers of each rack of the emulator.
const WORKERS_PER_RACK: u32 = 3;

/// All cores of a worker.
const WHOLE_WORKER: Resources = Resources { cpu_millicores: 8_000, memory_mb: 1_000, gpu: 0 };

const FAR_FACTOR: f64 = 2.0;

/// Longest time for which a task with room may wait, by the rule of the users.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn name(job: u64, index: u32) -> Name {
    Name { job: Id(job), occurrence: 0, step: 0, index }
}

/// Outlook of a task that takes a second near and two seconds far, with ample slack.
fn outlook(room_in: Option<u64>) -> Outlook {
    Outlook {
        room_in: room_in.map(ms),
        near: SECOND,
        far: SECOND * 2,
        ready_for: Duration::ZERO,
        waited: Duration::ZERO,
        slack: 60 * SECOND,
    }
}

/// Guards against waits that cost more than they save, or that exceed the limits of the callers.
#[test]
fn decisions_follow_the_table() {
    let base = outlook(Some(400));
    let long = Outlook { near: 10 * SECOND, far: 30 * SECOND, ..outlook(Some(1_500)) };
    let cases = [
        ("room soon", base, Decision::Wait(SECOND)),
        ("room at once", outlook(Some(0)), Decision::Wait(SECOND)),
        ("room as late as the gain", outlook(Some(1_000)), Decision::Start),
        ("room later than the gain", outlook(Some(1_400)), Decision::Start),
        ("no usable worker", outlook(None), Decision::Start),
        ("factor 1", Outlook { far: SECOND, ..base }, Decision::Start),
        ("no slack", Outlook { slack: Duration::ZERO, ..base }, Decision::Start),
        ("slack below the wait", Outlook { slack: ms(300), ..base }, Decision::Start),
        ("slack below the gain", Outlook { slack: ms(600), ..base }, Decision::Wait(ms(600))),
        ("part of the gain used", Outlook { waited: ms(500), ..base }, Decision::Wait(ms(500))),
        ("gain used", Outlook { waited: ms(700), ..base }, Decision::Start),
        ("long tasks", long, Decision::Wait(WAIT_MAX)),
        ("long tasks, ready for long", Outlook { ready_for: SECOND, ..long }, Decision::Start),
        ("ready for longer than any wait", Outlook { ready_for: 3 * SECOND, ..base }, Decision::Start),
    ];
    for (case, outlook, expected) in cases {
        assert_eq!(decide(&outlook), expected, "{case}");
    }
}

/// Guards against a straggler that is expected to end at once for as long as it runs.
#[test]
fn an_overdue_run_is_expected_to_go_on() {
    let remaining = |elapsed| remaining_time(ms(elapsed), ms(1_000), ms(3_000));
    assert_eq!([0, 400, 1_000, 2_500].map(remaining), [ms(1_000), ms(600), ms(2_000), ms(500)]);
    assert_eq!([3_000, 7_000].map(remaining), [ms(3_000), ms(7_000)]);
}

/// Guards against slack that leaves out the steps after that of the task, or counts steps that do not depend on it.
#[test]
fn remaining_chains_cover_the_dependent_steps() {
    let after = |before: &[u32], seconds: u32| Step {
        depends_on: before.to_vec(),
        estimate: SECOND * seconds,
        ..step(1)
    };
    let spec = job([after(&[], 1), after(&[], 10), after(&[0], 2), after(&[1, 2], 3), after(&[0], 4)]);
    let paths = spec.remaining_chains();
    assert_eq!(paths, [6, 13, 5, 3, 4].map(|seconds| SECOND * seconds));
}

fn any_outlook() -> impl Strategy<Value = Outlook> {
    let time = || (0..5_000_u64).prop_map(ms);
    (proptest::option::of(time()), time(), time(), time(), time(), time()).prop_map(
        |(room_in, near, longer, ready_for, waited, slack)| Outlook {
            room_in,
            near,
            far: near + longer,
            ready_for: ready_for.max(waited),
            waited,
            slack,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a rule that waits for a later room, but not for an earlier one.
    #[test]
    fn a_longer_expected_wait_never_makes_waiting_more_likely(outlook in any_outlook(), more in 0..3_000_u64) {
        let later = Outlook { room_in: outlook.room_in.map(|time| time + ms(more)), ..outlook };
        if decide(&outlook) == Decision::Start {
            prop_assert_eq!(decide(&later), Decision::Start);
        }
    }

    /// Guards against waits without a gain or beyond the deadline, and against tasks that wait for longer than callers accept.
    #[test]
    fn waits_are_bounded(outlook in any_outlook()) {
        prop_assert_eq!(decide(&Outlook { slack: Duration::ZERO, ..outlook }), Decision::Start);
        prop_assert_eq!(decide(&Outlook { far: outlook.near, ..outlook }), Decision::Start);
        prop_assert_eq!(decide(&Outlook { room_in: None, ..outlook }), Decision::Start);
        if let Decision::Wait(time) = decide(&outlook) {
            prop_assert!(time <= outlook.slack && outlook.ready_for + time <= WAIT_MAX);
            prop_assert!(outlook.waited + time <= outlook.far - outlook.near);
        }
    }

    /// Guards against tasks that wait for the same room, or start far although they would end earlier on the rack. With known
    /// ends the best is to give each task the earliest room that is left, unless it ends earlier elsewhere.
    #[test]
    fn a_queue_of_equal_tasks_ends_as_early_as_possible(
        mut ends in proptest::collection::vec(0..3_000_u64, 1..6),
        count in 1..20_usize,
        near in 200..1_900_u64,
    ) {
        ends.sort_unstable();
        let far = near * 2;
        let mut room = Room {
            free: Resources::default(),
            since: Instant(0),
            ends: ends.iter().map(|end| (Instant(end * 1_000), WHOLE_WORKER)).collect(),
        };
        let mut found = 0;
        for _ in 0..count {
            let room_in = room.next(WHOLE_WORKER).map(|at| at.since(Instant(0)));
            let outlook = Outlook { room_in, near: ms(near), far: ms(far), ..outlook(None) };
            found += match decide(&outlook) {
                Decision::Start => far,
                Decision::Wait(_) => {
                    room.reserve(WHOLE_WORKER, ms(near));
                    room_in.expect("a wait has a time").as_millis() as u64 + near
                }
            };
        }
        let mut slots: Vec<u64> =
            ends.iter().flat_map(|end| (0..count as u64).map(move |turn| end + turn * near)).collect();
        slots.sort_unstable();
        let best: u64 = slots.iter().take(count).map(|slot| (slot + near).min(far)).sum();
        prop_assert_eq!(found, best);
    }
}

/// Emulated deployment of two racks after one second, in which it has elected a leader and discovered its workers.
fn ready(seed: u64, vms: usize) -> Emulator {
    let mut emulator = Emulator::new(seed, vms, 2 * WORKERS_PER_RACK as usize);
    emulator.set_far_factor(FAR_FACTOR);
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator
}

/// Tasks that each take a whole worker of a rack.
fn occupying(rack: &str, count: u32, estimate: Duration) -> Step {
    Step { resources: WHOLE_WORKER, required_label: Some(rack.into()), estimate, ..step(count) }
}

/// Tasks of a second that each take a whole worker, and whose data is on the first rack.
fn local(count: u32) -> Step {
    Step { resources: WHOLE_WORKER, affinity: Some("r-0".into()), ..step(count) }
}

fn rack_of(emulator: &Emulator, name: Name) -> Option<u32> {
    let worker = emulator.observer.worker_of(name)?;
    let number: u32 = worker.trim_start_matches("w-").parse().expect("number of a worker");
    Some(number / WORKERS_PER_RACK)
}

fn assert_no_violation(emulator: &Emulator, seed: u64) {
    assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
}

fn count(emulator: &Emulator, decision: &str) -> u64 {
    emulator.decisions.get(decision).copied().unwrap_or_default()
}

/// Waits until a task runs, and returns the time and its rack.
fn wait_for_start(emulator: &mut Emulator, name: Name, limit: Duration) -> Option<(Duration, u32)> {
    let begin = emulator.now;
    while emulator.now.since(begin) < limit {
        if let Some(rack) = rack_of(emulator, name) {
            return Some((emulator.now.since(begin), rack));
        }
        emulator.run_for(MILLISECOND * 5);
    }
    None
}

/// Guards against a task that takes twice as long elsewhere, although its rack would have had room soon.
#[test]
fn a_task_starts_far_shortly_before_its_rack_has_room() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 1);
        emulator.submit(0, 1, job([occupying("r-0", WORKERS_PER_RACK, SECOND / 2)]));
        emulator.run_for(SECOND / 5);
        emulator.submit(0, 2, job([local(1)]));
        let (waited, rack) = wait_for_start(&mut emulator, name(2, 0), LONGEST_WAIT).expect("a start");
        assert!(
            rack == 0 && waited < SECOND / 2,
            "seed {seed}: rack {rack} after {waited:?}: {:#?}",
            emulator.log
        );
        assert_eq!(count(&emulator, "waits-for-rack"), 1, "seed {seed}: {:#?}", emulator.log);
        emulator.run_for(2 * SECOND);
        let paid: u64 = emulator.reports.iter().map(|report| report.counts.rack_waits_paid).sum();
        assert_eq!(paid, 1, "seed {seed}");
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a wait for a run that lasts for longer than the wait saves, or until its job is cancelled, and against waits
/// of long-running tasks.
#[test]
fn a_task_waits_although_it_would_end_earlier_elsewhere() {
    let lasting = |estimate| occupying("r-0", WORKERS_PER_RACK, estimate);
    let endless = Step { is_long_running: true, ..lasting(SECOND / 2) };
    let cases = [
        (lasting(3 * SECOND), local(1)),
        (endless, local(1)),
        (lasting(SECOND / 2), Step { is_long_running: true, ..local(1) }),
    ];
    for (case, (before, waiting)) in cases.into_iter().enumerate() {
        let mut emulator = ready(case as u64, 1);
        emulator.submit(0, 1, job([before]));
        emulator.run_for(SECOND / 5);
        emulator.submit(0, 2, job([waiting]));
        let (waited, rack) = wait_for_start(&mut emulator, name(2, 0), LONGEST_WAIT).expect("a start");
        assert!(rack == 1 && waited < SECOND / 10, "case {case}: rack {rack} after {waited:?}");
        assert_eq!(count(&emulator, "waits-for-rack"), 0, "case {case}: {:#?}", emulator.log);
        assert_no_violation(&emulator, case as u64);
    }
}

/// Guards against waits in a deployment whose settings state no factor.
#[test]
fn nothing_waits_with_a_factor_of_one() {
    let mut emulator = ready(1, 1);
    emulator.set_far_factor(1.0);
    emulator.submit(0, 1, job([occupying("r-0", WORKERS_PER_RACK, SECOND / 2)]));
    emulator.run_for(SECOND / 5);
    emulator.submit(0, 2, job([local(1)]));
    let (waited, rack) = wait_for_start(&mut emulator, name(2, 0), LONGEST_WAIT).expect("a start");
    assert!(rack == 1 && waited < SECOND / 10, "rack {rack} after {waited:?}");
    assert_eq!(count(&emulator, "waits-for-rack"), 0, "{:#?}", emulator.log);
}

/// Guards against several tasks that wait for the same room, of which all but one wait in vain.
#[test]
fn no_more_tasks_wait_than_room_is_expected_for() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 1);
        let lasting = occupying("r-0", WORKERS_PER_RACK - 1, 20 * SECOND);
        emulator.submit(0, 1, job([lasting, occupying("r-0", 1, SECOND / 2)]));
        emulator.run_for(SECOND / 5);
        emulator.submit(0, 2, job([local(2)]));
        emulator.run_for(SECOND / 10);
        assert_eq!(count(&emulator, "waits-for-rack"), 1, "seed {seed}: {:#?}", emulator.log);
        assert!(emulator.observer.is_running(name(2, 1)), "seed {seed}: {:#?}", emulator.log);
        // A job that comes later does not wait for that room either.
        emulator.submit(0, 3, job([local(1)]));
        emulator.run_for(SECOND / 10);
        assert!(emulator.observer.is_running(name(3, 0)), "seed {seed}: {:#?}", emulator.log);
        emulator.run_for(SECOND / 2);
        assert_eq!(rack_of(&emulator, name(2, 0)), Some(0), "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator, seed);
    }
}

/// Plays a task that waits for a rack while something happens to the rack, and returns how long it waits after that. It must
/// start elsewhere.
fn wait_after(seed: u64, happens: fn(&mut Emulator, usize)) -> Duration {
    let mut emulator = ready(seed, 1);
    let before = Step { estimate: SECOND, ..occupying("r-0", WORKERS_PER_RACK, SECOND) };
    emulator.submit(0, 1, job([before]));
    emulator.run_for(SECOND / 5);
    emulator.submit(0, 2, job([Step { estimate: 4 * SECOND, ..local(1) }]));
    emulator.run_for(SECOND / 5);
    assert_eq!(count(&emulator, "waits-for-rack"), 1, "seed {seed}: {:#?}", emulator.log);
    (0..WORKERS_PER_RACK as usize).for_each(|worker| happens(&mut emulator, worker));
    let (waited, rack) = wait_for_start(&mut emulator, name(2, 0), LONGEST_WAIT).expect("a start");
    assert_eq!(rack, 1, "seed {seed}: {:#?}", emulator.log);
    emulator.run_for(2 * SECOND);
    let abandoned: u64 = emulator.reports.iter().map(|report| report.counts.rack_waits_abandoned).sum();
    assert_eq!(abandoned, 1, "seed {seed}");
    assert_no_violation(&emulator, seed);
    waited
}

/// Guards against passes that search all workers for each task that waits for its rack, although nothing has changed there.
#[test]
fn each_pass_searches_all_workers_for_each_waiting_task() {
    const RACKS: u32 = 20;
    let mut emulator = Emulator::new(1, 1, (RACKS * WORKERS_PER_RACK) as usize);
    emulator.set_far_factor(FAR_FACTOR);
    emulator.run_for(SECOND);
    let racks: Vec<String> = (0..RACKS / 2).map(|rack| format!("r-{rack}")).collect();
    for (id, rack) in (0..).zip(&racks) {
        emulator.submit(0, id, job([occupying(rack, WORKERS_PER_RACK, SECOND)]));
    }
    emulator.run_for(SECOND / 5);
    for (id, rack) in (100..).zip(&racks) {
        let waiting = Step { affinity: Some(rack.clone()), estimate: 4 * SECOND, ..local(WORKERS_PER_RACK) };
        emulator.submit(0, id, job([waiting]));
    }
    emulator.run_for(SECOND / 10);
    let waits = u64::from(RACKS / 2 * WORKERS_PER_RACK);
    assert_eq!(count(&emulator, "waits-for-rack"), waits, "{:#?}", emulator.log);
    let (visits, tally) = (emulator.placement_visits(), emulator.placement_tally());
    // Other jobs start in the free half of the workers meanwhile, so that there are passes.
    for id in 200..230 {
        emulator.submit(0, id, job([Step { resources: Resources::default(), ..step(1) }]));
        emulator.run_for(MILLISECOND * 10);
    }
    let visits = emulator.placement_visits() - visits;
    let passes = emulator.placement_tally().since(&tally).passes;
    assert_eq!(emulator.ready_count() as u64, waits, "{:#?}", emulator.log);
    // A pass compares all workers with how the last one saw them, and searches them for each of the other jobs.
    let most = (passes + 30) * u64::from(RACKS * WORKERS_PER_RACK);
    assert!(passes > 0 && visits <= most, "{visits} workers examined in {passes} passes");
}

/// Guards against a task that goes on waiting for a rack that takes no runs any more.
#[test]
fn a_task_waits_for_a_rack_that_drains() {
    for seed in 0..SEEDS {
        let waited = wait_after(seed, |emulator, worker| emulator.drain_worker(worker));
        assert!(waited < SECOND / 10, "seed {seed}: {waited:?}");
    }
}

/// Guards against a task that waits for longer than two seconds since the workers of its rack do not answer any more, or run
/// their tasks for longer than expected.
#[test]
fn a_task_waits_for_a_rack_for_too_long() {
    let silent = |emulator: &mut Emulator, worker: usize| emulator.workers[worker].is_unresponsive = true;
    for seed in 0..SEEDS {
        let waited = wait_after(seed, silent);
        assert!(waited < WAIT_MAX, "seed {seed}: {waited:?}");
    }
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 1);
        // The runs take up to twice the time that is expected.
        emulator.workers.iter_mut().for_each(|worker| worker.far_factor = 6.0);
        let mut before = occupying("r-0", WORKERS_PER_RACK, SECOND / 2);
        before.affinity = Some("r-1".into());
        emulator.submit(0, 1, job([before]));
        emulator.run_for(SECOND / 5);
        emulator.submit(0, 2, job([Step { estimate: 4 * SECOND, ..local(1) }]));
        let (waited, rack) = wait_for_start(&mut emulator, name(2, 0), LONGEST_WAIT).expect("a start");
        assert!(rack == 1 && waited <= WAIT_MAX + SECOND / 10, "seed {seed}: rack {rack} after {waited:?}");
        assert_eq!(count(&emulator, "waits-for-rack"), 1, "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a task that waits without a reason that an operator can read, or one that counts as delayed by the leader.
#[test]
fn a_report_on_waiting_tasks_leaves_out_the_wait_for_a_rack() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 1);
        emulator.submit(0, 1, job([occupying("r-0", WORKERS_PER_RACK, SECOND * 9 / 5)]));
        emulator.run_for(SECOND / 10);
        emulator.submit(0, 2, job([Step { estimate: 4 * SECOND, ..local(1) }]));
        emulator.run_for(SECOND * 3 / 2);
        let is_reported = |entry: &String| entry.contains("held: rack 1; candidates: 0");
        emulator.run_for(SECOND);
        assert!(emulator.log.iter().any(is_reported), "seed {seed}: {:#?}", emulator.log);
        assert_eq!(count(&emulator, "leader-saturated"), 0, "seed {seed}: {:#?}", emulator.log);
        assert_eq!(rack_of(&emulator, name(2, 0)), Some(0), "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against run times outside the rack that count as run times on it, so that waits seem to pay less or more than
/// they do.
#[test]
fn run_times_elsewhere_are_taken_for_those_on_the_rack() {
    let mut emulator = ready(1, 1);
    emulator.submit(0, 1, job([occupying("r-0", WORKERS_PER_RACK, 4 * SECOND)]));
    emulator.run_for(SECOND / 5);
    let resources = Resources { cpu_millicores: 500, memory_mb: 100, gpu: 0 };
    emulator.submit(0, 2, job([Step { resources, estimate: SECOND / 2, ..local(40) }]));
    emulator.run_for(SECOND * 18 / 5);
    assert_eq!(count(&emulator, "waits-for-rack"), 0, "{:#?}", emulator.log);
    emulator.submit(0, 3, job([local(1)]));
    emulator.run_for(SECOND / 10);
    let entry = emulator.log.iter().find(|entry| entry.contains("waits-for-rack")).expect("a wait");
    let near = entry.split("run time there ").nth(1).and_then(|text| text.split(' ').next());
    let near_ms: u64 = near.and_then(|text| text.parse().ok()).expect("the run time in the entry");
    assert!((900..1_300).contains(&near_ms), "{entry}");
}

/// Guards against a wait that a new leader goes on with for longer than one leader may, or a job that is lost in it.
#[test]
fn a_waiting_task_is_lost_with_its_leader() {
    for seed in 0..SEEDS {
        let mut emulator = ready(seed, 3);
        emulator.submit(0, 1, job([occupying("r-0", WORKERS_PER_RACK, SECOND)]));
        emulator.run_for(SECOND / 5);
        emulator.submit(0, 2, job([Step { estimate: 4 * SECOND, ..local(1) }]));
        emulator.run_for(SECOND / 5);
        assert_eq!(count(&emulator, "waits-for-rack"), 1, "seed {seed}: {:#?}", emulator.log);
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        while emulator.leader_after(leader).is_none() {
            emulator.run_for(MILLISECOND);
        }
        let next = emulator.leader_after(leader).expect("the next leader");
        emulator.run_for(LONGEST_WAIT + 8 * SECOND);
        let answer = emulator.read_job(next, 2);
        assert_eq!(answer, Some(Answer::Phase(Phase::Completed)), "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against a gang that is spread over racks shortly before one rack has room for it, or that waits for a rack that has
/// none soon enough.
#[test]
fn a_gang_is_spread_shortly_before_a_rack_has_room() {
    let gang =
        Step { resources: WHOLE_WORKER, is_gang: true, prefers_same_rack: true, ..step(WORKERS_PER_RACK) };
    for (seed, estimate) in [(0, SECOND / 2), (1, SECOND / 2), (2, 3 * SECOND)] {
        let mut emulator = ready(seed, 1);
        let lasting = occupying("r-1", 1, 20 * SECOND);
        emulator.submit(0, 1, job([occupying("r-0", 1, estimate), lasting]));
        emulator.run_for(SECOND / 5);
        emulator.submit(0, 2, job([gang.clone()]));
        let (waited, _) = wait_for_start(&mut emulator, name(2, 0), LONGEST_WAIT).expect("a start");
        emulator.run_for(SECOND / 10);
        let racks: Vec<_> = (0..WORKERS_PER_RACK).map(|index| rack_of(&emulator, name(2, index))).collect();
        let is_near = racks.iter().all(|rack| *rack == Some(0));
        let waits = count(&emulator, "waits-for-rack");
        assert_eq!((is_near, waits), (seed < 2, u64::from(seed < 2)), "seed {seed}: {waited:?}, {racks:?}");
        assert!(waited < SECOND / 2, "seed {seed}: {waited:?}");
        assert_no_violation(&emulator, seed);
    }
}

/// Guards against violated promises, and jobs that never end, where tasks wait for racks while workers and leaders fail.
#[test]
fn waits_under_faults_break_promises() {
    for seed in 0..4 {
        let mut emulator = Emulator::new(seed, 3, 12);
        emulator.set_far_factor(FAR_FACTOR);
        emulator.run_for(SECOND);
        for id in 0..40 {
            let step = random_step(&mut emulator);
            emulator.submit((id % 3) as usize, id, job([step]));
            let worker = emulator.next_random() as usize % 12;
            match emulator.next_random() % 8 {
                0 => emulator.crash_worker(worker),
                1 => emulator.drain_worker(worker),
                2 => (0..12).for_each(|worker| emulator.resume_worker(worker)),
                3 if id % 10 == 0 => {
                    let vm = emulator.leader().unwrap_or_default();
                    emulator.kill(vm);
                    emulator.run_for(SECOND);
                    emulator.start(vm);
                }
                _ => {}
            }
            let pause = MILLISECOND * (emulator.next_random() % 200) as u32;
            emulator.run_for(pause);
        }
        (0..12).for_each(|worker| emulator.resume_worker(worker));
        emulator.run_for(30 * SECOND);
        assert!(count(&emulator, "waits-for-rack") > 0, "seed {seed}: no task waited");
        assert_eq!(emulator.ready_count(), 0, "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator, seed);
    }
}

fn random_step(emulator: &mut Emulator) -> Step {
    let mut pick = |values: &[u32]| values[emulator.next_random() as usize % values.len()];
    let resources = Resources { cpu_millicores: pick(&[2_000, 4_000]), memory_mb: 500, gpu: 0 };
    let rack = format!("r-{}", pick(&[0, 0, 0, 1, 2, 3]));
    let estimate = MILLISECOND * pick(&[400, 800, 1_600]);
    Step { resources, affinity: Some(rack), estimate, ..step(pick(&[1, 2, 4])) }
}

/// Deployment and load of the comparison.
const COMPARED_WORKERS: usize = 12;
const COMPARED_JOBS: u64 = 250;

/// Waits a fixed time for the rack, as delay scheduling does, if its workers are usable.
fn fixed<const MS: u64>(outlook: &Outlook) -> Decision {
    let left = ms(MS).saturating_sub(outlook.waited);
    if outlook.room_in.is_none() || left.is_zero() { Decision::Start } else { Decision::Wait(left) }
}

/// Rule by which tasks wait.
type Rule = fn(&Outlook) -> Decision;

/// Policies of the comparison.
const POLICIES: [(&str, Rule); 4] = [
    ("no wait", |_| Decision::Start),
    ("rule", decide),
    ("fixed 0.3 s", fixed::<300>),
    ("fixed 1 s", fixed::<1_000>),
];

/// Mean and slowest hundredth of the job times of a policy, in milliseconds. Jobs arrive at random times, so that the tasks
/// use a share of `load` of the cores if all run on their racks; two of three jobs have their data on the first two racks.
fn job_times(seed: u64, wait: Rule, load: f64, far_factor: f64, error: f64) -> (u64, u64) {
    let mut emulator = Emulator::new(seed, 1, COMPARED_WORKERS);
    emulator.set_far_factor(far_factor);
    emulator.set_placement_policy(Policy { wait, ..PACKED });
    emulator.workers.iter_mut().for_each(|worker| worker.estimate_error = error);
    emulator.run_for(2 * SECOND);
    // A job has 2.5 tasks of 4 cores on average, which take 0.9 s.
    let pause_ms = 2.5 * 4.0 * 0.9 / (COMPARED_WORKERS as f64 * 8.0 * load) * 1_000.0;
    let mut open: Vec<(u64, u32, Instant)> = Vec::new();
    let mut times: Vec<u64> = Vec::new();
    let mut submitted = 0;
    let mut next = emulator.now;
    // The emulator draws random numbers as well, and how many depends on the policy.
    let mut random = seed;
    while submitted < COMPARED_JOBS || !open.is_empty() {
        while submitted < COMPARED_JOBS && emulator.now >= next {
            let mut pick = |count: u64| {
                random = hash::numbers([random, 1]);
                random % count
            };
            let rack = if pick(3) < 2 { pick(2) } else { pick(4) };
            let tasks = 1 + pick(4) as u32;
            let estimate = ms(300 + pick(1_201));
            let share = pick(2_000) as f64 / 1_000.0;
            let resources = Resources { cpu_millicores: 4_000, memory_mb: 500, gpu: 0 };
            let affinity = Some(format!("r-{rack}"));
            emulator.submit(0, submitted, job([Step { resources, affinity, estimate, ..step(tasks) }]));
            open.push((submitted, tasks, emulator.now));
            submitted += 1;
            next = next + Duration::from_secs_f64(pause_ms * share / 1_000.0);
        }
        emulator.run_for(MILLISECOND * 10);
        let (now, completed) = (emulator.now, &emulator.observer.completed);
        open.retain(|(id, tasks, at)| {
            let is_done = (0..*tasks).all(|index| completed.contains(&name(*id, index)));
            times.extend(is_done.then(|| now.since(*at).as_millis() as u64));
            !is_done
        });
    }
    assert_no_violation(&emulator, seed);
    times.sort_unstable();
    (times.iter().sum::<u64>() / times.len() as u64, times[times.len() * 99 / 100])
}

/// Loads, factors and errors of the estimates in the comparison.
const COMPARED: [(f64, f64, f64); 7] = [
    (0.4, 1.5, 0.0),
    (0.4, 3.0, 0.0),
    (0.6, 1.5, 0.0),
    (0.6, 2.0, 0.0),
    (0.6, 3.0, 0.0),
    (0.6, 2.0, 0.9),
    (0.8, 2.0, 0.5),
];

/// Guards against a rule that makes jobs slower than no wait does. Prints the table of the design page.
#[test]
fn jobs_end_later_with_the_rule_than_without_waits() {
    println!("| load | factor | error | policy | mean ms | p99 ms |");
    println!("|---|---|---|---|---|---|");
    let mut slower = Vec::new();
    for (load, far_factor, error) in COMPARED {
        let means = POLICIES.map(|(policy, wait)| {
            let times = (0..SEEDS).map(|seed| job_times(seed, wait, load, far_factor, error));
            let (mean, slowest) = times.fold((0, 0), |sum, times| (sum.0 + times.0, sum.1 + times.1));
            let (mean, slowest) = (mean / SEEDS, slowest / SEEDS);
            println!("| {load} | {far_factor} | {error} | {policy} | {mean} | {slowest} |");
            mean
        });
        if means[1] > means[0] {
            slower.push((load, far_factor, error, means));
        }
    }
    assert!(slower.is_empty(), "load, factor, error, means by policy: {slower:?}");
}
