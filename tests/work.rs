//! Scheduling of jobs under failures, on the emulator.

mod emulator;

use std::time::Duration;

use emulator::worker::Disturbance;
use emulator::{Emulator, job, step};
use nutmegfold::core::work::place::{PACKED, Policy, SPREAD};
use nutmegfold::core::work::request::{Answer, Phase, Verb};
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};
use nutmegfold::core::work::tuning::Tuning;

const SECOND: Duration = Duration::from_secs(1);

/// Time on end for which users bear a serving task over its target.
const OVER_TARGET_LIMIT: Duration = Duration::from_secs(4);

fn name(job: u64, step: u32, index: u32) -> Name {
    Name { job: Id(job), occurrence: 0, step, index }
}

/// A deployment that has a leader and knows its workers.
fn ready(seed: u64, vms: usize, workers: usize) -> Emulator {
    let mut emulator = Emulator::new(seed, vms, workers);
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator
}

fn assert_no_violation(emulator: &Emulator) {
    assert!(emulator.observer.broken.is_empty(), "{:#?}", emulator.observer.broken);
}

fn completed(emulator: &mut Emulator, vm: usize, id: u64) -> bool {
    emulator.phase(vm, id) == Some(Answer::Phase(Phase::Completed))
}

/// Guards against candidates that depose one another: a watch names the leader while a campaign waits for its lease.
#[test]
fn one_campaign_wins() {
    for seed in 0..30 {
        let emulator = ready(seed, 7, 1);
        let leaders = emulator.log.iter().filter(|line| line.contains("\"lead\"")).count();
        assert_eq!(leaders, 1, "seed {seed}: {:#?}", emulator.log);
    }
}

/// Guards against a leader on a small VM that cannot keep up while larger ones are idle.
#[test]
fn the_strongest_vms_lead() {
    for seed in 0..10 {
        let mut emulator = Emulator::with_cpus(seed, &[120, 120, 500, 120, 500, 120], 4);
        emulator.run_for(4 * SECOND);
        let first = emulator.leader().expect("a leader");
        assert!([2, 4].contains(&first), "seed {seed}: {:#?}", emulator.log);
        emulator.submit(0, 1, job([Step { is_long_running: true, ..step(4) }]));
        emulator.run_for(SECOND);
        emulator.kill(first);
        emulator.run_for(4 * SECOND);
        let second = emulator.leader().expect("another leader");
        assert_eq!(first + second, 6, "seed {seed}: {:#?}", emulator.log);
        emulator.kill(second);
        emulator.run_for(5 * SECOND);
        let weak = emulator.leader().expect("a weak leader");
        emulator.start(first);
        emulator.run_for(4 * SECOND);
        assert_eq!(emulator.leader(), Some(first), "seed {seed}: {weak} led before: {:#?}", emulator.log);
        assert!((0..4).all(|index| emulator.observer.is_running(name(1, 0, index))));
        assert_eq!(emulator.observer.starts, 4, "seed {seed}");
        assert_no_violation(&emulator);
    }
}

/// Guards against a path that does not work without any failure, from every entry VM.
#[test]
fn jobs_run_in_the_order_of_their_steps() {
    let mut emulator = ready(1, 3, 4);
    for vm in 0..3 {
        let id = vm as u64 + 1;
        let last = Step { depends_on: vec![0], ..step(2) };
        let ticket = emulator.submit(vm, id, job([step(3), last]));
        emulator.run_for(SECOND / 10);
        assert_eq!(emulator.answers.get(&ticket), Some(&Answer::Accepted));
    }
    emulator.run_for(3 * SECOND);
    for vm in 0..3 {
        assert!(completed(&mut emulator, 2 - vm, vm as u64 + 1));
    }
    assert_eq!(emulator.observer.starts, 15);
    assert_no_violation(&emulator);
}

/// Guards against a second job from a request that is repeated, and against an answer to a job that was never accepted.
#[test]
fn a_repeated_request_names_the_same_job() {
    let mut emulator = ready(2, 2, 2);
    let first = emulator.submit(0, 7, job([step(1)]));
    let second = emulator.submit(1, 7, job([step(1)]));
    emulator.run_for(2 * SECOND);
    let third = emulator.submit(1, 7, job([step(1)]));
    emulator.run_for(SECOND);
    for ticket in [first, second, third] {
        assert_eq!(emulator.answers.get(&ticket), Some(&Answer::Accepted));
    }
    assert_eq!(emulator.observer.starts, 1);
    assert_eq!(emulator.phase(0, 8), Some(Answer::UnknownJob));
}

/// Guards against a new leader that starts tasks anew while the old runs go on, and stops runs whose earlier steps it has
/// not read as done yet.
#[test]
fn a_new_leader_adopts_what_runs() {
    for seed in 0..20 {
        let mut emulator = ready(seed, 3, 6);
        for id in 1..=5 {
            let last = Step { depends_on: vec![0], ..step(2) };
            emulator.submit(0, id, job([step(2), last]));
        }
        emulator.run_for(SECOND / 2 + Duration::from_millis(seed * 50));
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        emulator.run_for(12 * SECOND);
        let other = emulator.leader().expect("another leader");
        assert_ne!(other, leader);
        for id in 1..=5 {
            assert!(completed(&mut emulator, other, id), "seed {seed}, job {id}: {:#?}", emulator.log);
        }
        assert_no_violation(&emulator);
    }
}

/// Guards against an unread end of an earlier run that lets a new leader start a task whose later run it has not seen.
#[test]
fn an_old_end_does_not_hide_a_later_run() {
    let mut emulator = ready(3, 2, 4);
    let long = Step { estimate: 4 * SECOND, ..step(1) };
    emulator.observer.failing.insert(name(1, 0, 0), 1);
    emulator.submit(0, 1, job([long]));
    // The first run fails after four seconds, and the second one goes on while the leader is killed.
    emulator.run_for(5 * SECOND);
    let running = emulator.workers.iter().position(|worker| {
        emulator.log.iter().any(|line| line.contains("run 2 of") && line.contains(&worker.id))
    });
    let running = running.expect("a second run");
    emulator.workers[running].is_silent = true;
    let leader = emulator.leader().expect("a leader");
    emulator.kill(leader);
    emulator.run_for(3 * SECOND);
    emulator.workers[running].is_silent = false;
    emulator.run_for(15 * SECOND);
    assert_no_violation(&emulator);
}

/// Guards against failures that are forgotten, or counted twice, when the leader changes: a task that always fails is
/// started exactly as often as its queue allows.
#[test]
fn failures_count_once_over_all_leaders() {
    for seed in 0..20 {
        let mut emulator = ready(seed, 3, 4);
        let short = Step { estimate: SECOND / 2, ..step(1) };
        emulator.observer.failing.insert(name(1, 0, 0), 100);
        emulator.submit(0, 1, job([short]));
        emulator.run_for(SECOND / 2 + Duration::from_millis(seed * 40));
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        emulator.run_for(15 * SECOND);
        let other = emulator.leader().expect("another leader");
        assert_eq!(emulator.phase(other, 1), Some(Answer::Phase(Phase::Failed)), "seed {seed}");
        assert_eq!(emulator.observer.starts, 3, "seed {seed}: {:#?}", emulator.log);
        assert_no_violation(&emulator);
    }
}

/// Guards against renewals that keep the lease of a silent worker alive for ever, so that its tasks are never given up.
#[test]
fn tasks_of_a_silent_worker_start_elsewhere() {
    let mut emulator = ready(4, 2, 2);
    let lasting = Step { is_long_running: true, ..step(1) };
    emulator.submit(0, 1, job([lasting]));
    emulator.run_for(2 * SECOND);
    assert!(emulator.observer.is_running(name(1, 0, 0)));
    let first = emulator.workers.iter().position(|worker| {
        emulator.log.iter().any(|line| line.contains("run 1 of") && line.contains(&worker.id))
    });
    emulator.workers[first.expect("a first run")].is_silent = true;
    emulator.run_for(8 * SECOND);
    assert_eq!(emulator.observer.starts, 2, "{:#?}", emulator.log);
    assert!(emulator.observer.is_running(name(1, 0, 0)));
    assert_no_violation(&emulator);
}

/// Guards against a task that runs twice because the order to start it was carried out without an answer.
#[test]
fn an_unanswered_start_is_settled_before_another_one() {
    let mut emulator = ready(5, 2, 3);
    for worker in &mut emulator.workers {
        worker.lost_starts = 1;
    }
    emulator.submit(0, 1, job([step(6)]));
    emulator.run_for(8 * SECOND);
    assert!(completed(&mut emulator, 0, 1), "{:#?}", emulator.log);
    assert_no_violation(&emulator);
}

/// Guards against an acknowledgement that reaches the next life of a worker and makes it forget an end that nobody read.
#[test]
fn a_restarted_worker_keeps_its_new_ends() {
    let mut emulator = ready(10, 2, 1);
    let short = |count| job([Step { estimate: SECOND / 10, ..step(count) }]);
    emulator.submit(0, 1, short(3));
    emulator.run_for(SECOND);
    emulator.restart_worker(0);
    // The ends of the new life begin at 1, below those that were acknowledged.
    emulator.submit(0, 2, short(2));
    emulator.run_for(5 * SECOND);
    assert!(completed(&mut emulator, 0, 2), "{:#?}", emulator.log);
    assert_eq!(emulator.observer.starts, 5, "{:#?}", emulator.log);
    assert_no_violation(&emulator);
}

/// Guards against a lost answer to a commit that is taken for a failure, or written twice.
#[test]
fn a_commit_without_an_answer_is_settled() {
    let mut emulator = ready(6, 2, 2);
    emulator.store.lost_answers = 1;
    let ticket = emulator.submit(0, 1, job([step(1)]));
    emulator.run_for(4 * SECOND);
    assert_eq!(emulator.answers.get(&ticket), Some(&Answer::Accepted), "{:#?}", emulator.log);
    assert!(completed(&mut emulator, 1, 1));
    assert_no_violation(&emulator);
}

/// Guards against leaders that both act when the store takes their keys away without a word.
#[test]
fn a_revoked_leader_does_no_harm() {
    for seed in 0..20 {
        let mut emulator = ready(seed, 3, 4);
        for id in 1..=6 {
            emulator.submit(0, id, job([step(3)]));
        }
        emulator.run_for(Duration::from_millis(300 + seed * 30));
        emulator.store.revoke();
        emulator.run_for(14 * SECOND);
        for id in 1..=6 {
            assert!(completed(&mut emulator, 1, id), "seed {seed}, job {id}: {:#?}", emulator.log);
        }
        assert_no_violation(&emulator);
    }
}

/// Guards against jobs that are lost, and refused requests that run, in an outage of the store.
#[test]
fn an_outage_of_the_store_loses_nothing() {
    let mut emulator = ready(7, 2, 3);
    emulator.submit(0, 1, job([step(4)]));
    emulator.run_for(SECOND / 2);
    emulator.store.is_down = true;
    emulator.run_for(3 * SECOND);
    let refused = emulator.submit(0, 2, job([step(1)]));
    emulator.run_for(2 * SECOND);
    emulator.store.is_down = false;
    emulator.run_for(10 * SECOND);
    assert!(completed(&mut emulator, 0, 1), "{:#?}", emulator.log);
    if matches!(emulator.answers.get(&refused), Some(Answer::Refused(_))) {
        assert_eq!(emulator.phase(0, 2), Some(Answer::UnknownJob));
    }
    assert_no_violation(&emulator);
}

/// Guards against a leader that may act again after an outage and does not call the workers that wait for nothing, so that
/// their leases lapse.
#[test]
fn a_leader_that_may_act_again_renews_all_leases() {
    let mut emulator = ready(16, 2, 3);
    emulator.store.pauses_leases = true;
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(9) }]));
    emulator.run_for(SECOND);
    emulator.store.is_down = true;
    emulator.run_for(7 * SECOND);
    emulator.store.is_down = false;
    emulator.run_for(8 * SECOND);
    let running = (0..9).filter(|index| emulator.observer.is_running(name(1, 0, *index))).count();
    assert_eq!((running, emulator.observer.starts), (9, 9), "{:#?}", emulator.log);
    assert_no_violation(&emulator);
}

/// Guards against callers that are held until their deadline although the store does not answer.
#[test]
fn callers_are_not_held_in_an_outage() {
    let mut emulator = ready(12, 2, 2);
    emulator.store.is_down = true;
    let first = emulator.submit(0, 1, job([step(1)]));
    emulator.run_for(SECOND / 10);
    let second = emulator.submit(0, 2, job([step(1)]));
    emulator.run_for(SECOND);
    let has_line = |id: u64, decision: &str| {
        emulator.log.iter().any(|line| line.contains(&format!("Job(Id({id}))")) && line.contains(decision))
    };
    assert!(
        has_line(1, "answer-unknown") && has_line(2, "refuse"),
        "no line names a job: {:#?}",
        emulator.log
    );
    assert!(emulator.log.iter().any(|line| line.contains("store-lost")), "{:#?}", emulator.log);
    // The first one is in flight and may still be stored; the second one surely is not.
    assert_eq!(emulator.answers.get(&first), Some(&Answer::Unknown), "{:#?}", emulator.log);
    assert!(matches!(emulator.answers.get(&second), Some(Answer::Refused(_))), "{:#?}", emulator.log);
    emulator.store.is_down = false;
    emulator.run_for(6 * SECOND);
    assert!(emulator.log.iter().any(|line| line.contains("store-back")), "{:#?}", emulator.log);
    assert!(!emulator.observer.is_running(name(2, 0, 0)));
    assert_eq!(emulator.phase(0, 2), Some(Answer::UnknownJob));
    assert_no_violation(&emulator);
}

/// Guards against jobs that can never run and would exhaust the memory of an entry VM.
#[test]
fn impossible_jobs_are_refused_with_a_reason() {
    let mut emulator = ready(13, 1, 1);
    let faulty = [
        job([]),
        job([step(0)]),
        job([step(u32::MAX)]),
        job([Step { depends_on: vec![0], ..step(1) }]),
        job([Step { depends_on: vec![5], ..step(1) }]),
        job((0..300).map(|_| step(1))),
    ];
    for (id, spec) in (1..).zip(faulty) {
        let ticket = emulator.submit(0, id, spec);
        emulator.run_for(SECOND / 10);
        let answer = emulator.answers.get(&ticket);
        assert!(matches!(answer, Some(Answer::Malformed(_))), "job {id}: {answer:?}");
    }
    assert_eq!(emulator.observer.starts, 0);
}

/// Guards against a new leader that takes the room of a run for free because its job has ended and only the run is left.
#[test]
fn runs_of_ended_jobs_take_their_room() {
    for seed in 0..5 {
        let mut emulator = ready(seed, 2, 1);
        emulator.workers[0].stop_time = SECOND / 2;
        emulator.submit(0, 1, job([Step { is_long_running: true, ..step(4) }]));
        emulator.run_for(SECOND);
        let leader = emulator.leader().expect("a leader");
        emulator.workers[0].is_silent = true;
        emulator.ask(leader, &format!("{}{}", emulator::PREFIX, Id(1)), Verb::Cancel);
        emulator.run_for(SECOND / 10);
        emulator.kill(leader);
        emulator.run_for(SECOND / 10);
        let other = 1 - leader;
        emulator.submit(other, 2, job([Step { is_long_running: true, ..step(4) }]));
        emulator.workers[0].is_silent = false;
        for _ in 0..40 {
            emulator.submit(other, 2, job([Step { is_long_running: true, ..step(4) }]));
            emulator.run_for(SECOND / 10);
        }
        assert_no_violation(&emulator);
        emulator.run_for(10 * SECOND);
        assert!((0..4).all(|index| emulator.observer.is_running(name(2, 0, index))), "{:#?}", emulator.log);
    }
}

/// Guards against runs that go on after their job was cancelled.
#[test]
fn a_cancelled_job_stops() {
    let mut emulator = ready(8, 2, 2);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(3) }]));
    emulator.run_for(SECOND);
    let ticket = emulator.ask(1, &format!("{}{}", emulator::PREFIX, Id(1)), Verb::Cancel);
    emulator.run_for(SECOND / 2);
    assert_eq!(emulator.answers.get(&ticket), Some(&Answer::Cancelled));
    assert!((0..3).all(|index| !emulator.observer.is_running(name(1, 0, index))));
    emulator.run_for(3 * SECOND);
    assert_eq!(emulator.observer.starts, 3);
    assert_eq!(emulator.phase(0, 1), Some(Answer::Phase(Phase::Cancelled)));
}

/// Guards against a filling task that a former leader slowed down and that nobody speeds up again.
#[test]
fn a_new_leader_speeds_adopted_work_up() {
    let mut emulator = ready(11, 2, 1);
    let target = Some(Duration::from_millis(50));
    let serving = Step { is_long_running: true, latency_target: target, image: "desk".into(), ..step(1) };
    let filling = Step { is_filling: true, image: "test".into(), estimate: 60 * SECOND, ..step(1) };
    emulator.submit(0, 1, job([serving]));
    emulator.submit(0, 2, job([filling]));
    emulator.run_for(2 * SECOND);
    emulator.workers[0].response_ms = 200;
    emulator.run_for(2 * SECOND);
    let slowed = emulator.workers[0].pace(name(2, 0, 0)).expect("it runs");
    assert!(slowed < 100, "{:#?}", emulator.log);
    emulator.workers[0].response_ms = 10;
    let leader = emulator.leader().expect("a leader");
    emulator.kill(leader);
    emulator.run_for(12 * SECOND);
    assert_eq!(emulator.workers[0].pace(name(2, 0, 0)), Some(100), "{:#?}", emulator.log);
    assert_no_violation(&emulator);
}

/// Guards against a list of workers in several pages of which only the last one counts, or of which a page is missing when
/// one gets no answer.
#[test]
fn a_list_in_pages_names_every_worker() {
    for lost_pages in 0..3 {
        let mut emulator = Emulator::new(14, 2, 9);
        emulator.store.page = 2;
        emulator.store.lost_pages = lost_pages;
        emulator.run_for(3 * SECOND);
        // Nine workers of eight cores hold 36 tasks of two cores, and no fewer.
        emulator.submit(0, 1, job([Step { is_long_running: true, ..step(36) }]));
        emulator.run_for(SECOND);
        let running = (0..36).filter(|index| emulator.observer.is_running(name(1, 0, *index))).count();
        assert_eq!(running, 36, "{lost_pages} lost pages: {:#?}", emulator.log);
        assert_no_violation(&emulator);
    }
}

/// What a load of serving and filling tasks led to.
struct Colocation {
    /// Time of serving tasks over their targets.
    over: Duration,
    /// Filling jobs that were done in time.
    done: usize,
}

/// Plays 20 s of a load in which each filling image disturbs one of two serving images, under a policy.
fn colocate(seed: u64, policy: Policy) -> Colocation {
    const DISTURBANCES: [Disturbance; 4] = [
        ("desk", "rope", 0.08),
        ("desk", "fibre", 0.005),
        ("ledger", "rope", 0.005),
        ("ledger", "fibre", 0.08),
    ];
    let mut emulator = ready(seed, 2, 8);
    emulator.place_by(policy);
    for worker in &mut emulator.workers {
        worker.disturbances = DISTURBANCES.to_vec();
    }
    for (id, image) in (1..).zip(["desk", "ledger", "desk", "ledger"]) {
        let room = Resources { cpu_millicores: 3_000, memory_mb: 1_000, gpu: 0 };
        let target = Some(Duration::from_millis(50));
        emulator.submit(
            0,
            id,
            job([Step {
                is_long_running: true,
                latency_target: target,
                image: image.into(),
                resources: room,
                ..step(4)
            }]),
        );
    }
    emulator.run_for(3 * SECOND);
    emulator.observer.over = Duration::ZERO;
    for (id, image) in (10..50).zip(["rope", "fibre"].into_iter().cycle()) {
        let filling = Step { is_filling: true, is_checkpointable: true, image: image.into(), ..step(5) };
        emulator.submit(0, id, job([filling]));
        emulator.run_for(SECOND / 2);
    }
    let over = emulator.observer.over;
    assert!(
        emulator.observer.longest_over < OVER_TARGET_LIMIT,
        "seed {seed}: {:?}",
        emulator.observer.longest_over
    );
    let done = (10..50).filter(|id| completed(&mut emulator, 0, *id)).count();
    assert_no_violation(&emulator);
    Colocation { over, done }
}

/// Guards against batch work that is spread by free cores only and disturbs serving tasks, and against one that spares
/// them by not running.
#[test]
fn filling_work_goes_where_it_disturbs_least() {
    for seed in 0..3 {
        let (packed, spread) = (colocate(seed, PACKED), colocate(seed, SPREAD));
        assert!(spread.over > SECOND, "seed {seed}: the load disturbs nobody: {:?}", spread.over);
        assert!(packed.over * 2 <= spread.over, "seed {seed}: {:?} against {:?}", packed.over, spread.over);
        assert!(packed.done >= spread.done, "seed {seed}: {} against {}", packed.done, spread.done);
    }
}

/// Guards against a task whose neighbours slow it down so much that it is taken for one on a worker that stands still, and
/// whose neighbours then work on.
#[test]
fn the_worst_disturbance_is_ended_in_time() {
    for seed in 0..5 {
        let mut emulator = ready(seed, 2, 1);
        emulator.workers[0].disturbances = vec![("desk", "rope", 0.4)];
        let target = Some(Duration::from_millis(50));
        let room = Resources { cpu_millicores: 1_000, memory_mb: 1_000, gpu: 0 };
        let serving = Step {
            is_long_running: true,
            latency_target: target,
            image: "desk".into(),
            resources: room,
            ..step(3)
        };
        let estimate = 60 * SECOND;
        let filling =
            Step { is_filling: true, is_checkpointable: true, image: "rope".into(), estimate, ..step(1) };
        emulator.submit(0, 1, job([serving]));
        // The filling tasks come before anything is known of the serving ones.
        emulator.submit(0, 2, job([filling.clone()]));
        emulator.submit(0, 3, job([filling]));
        emulator.run_for(20 * SECOND);
        let longest = emulator.observer.longest_over;
        assert!(longest > Duration::ZERO, "seed {seed}: the load disturbs nobody");
        assert!(
            longest < OVER_TARGET_LIMIT,
            "seed {seed}: over its target for {longest:?}: {:#?}",
            emulator.log
        );
        assert_no_violation(&emulator);
    }
}

/// Guards against a long queue that takes all processor time: each answer of a worker let a pass follow that looked at
/// every worker for every waiting task.
#[test]
fn a_long_queue_leaves_time_for_other_work() {
    let mut emulator = ready(15, 1, 60);
    let mut id = 0;
    let mut submit = |emulator: &mut Emulator, step: Step| {
        id += 1;
        emulator.submit(0, id, job([step]));
        emulator.run_for(SECOND / 100);
    };
    for _ in 0..12 {
        submit(&mut emulator, Step { is_long_running: true, ..step(20) });
    }
    // Sizes differ, so that no waiting task stands for all others.
    for number in 0..60 {
        let room = Resources { cpu_millicores: 2_000 + number, memory_mb: 1_000 - number, gpu: 0 };
        submit(&mut emulator, Step { resources: room, ..step(20) });
        let room = Resources { cpu_millicores: 1_000, memory_mb: 20_000 - number, gpu: 0 };
        submit(
            &mut emulator,
            Step { is_filling: true, resources: room, image: format!("f{number}"), ..step(20) },
        );
    }
    let before = emulator.visits();
    emulator.run_for(5 * SECOND);
    let visits = emulator.visits() - before;
    let most = (5 * SECOND).as_nanos() / Tuning::default().place_rest.as_nanos();
    assert!(u128::from(visits) <= most, "{visits} looks at workers in 5 s, of at most {most}");
    assert_no_violation(&emulator);
}

/// Guards against filling tasks that do not say what they run and all go to one worker.
#[test]
fn filling_work_without_an_image_is_spread() {
    let mut emulator = ready(17, 1, 4);
    emulator.submit(0, 1, job([Step { is_filling: true, ..step(8) }]));
    emulator.run_for(SECOND / 2);
    for worker in &emulator.workers {
        let is_start = |line: &&String| line.contains("\"start\"") && line.contains(&worker.id);
        let starts = emulator.log.iter().filter(is_start).count();
        assert_eq!(starts, 2, "{}: {:#?}", worker.id, emulator.log);
    }
}

/// Guards against timers that arm one another: an idle deployment must not work more and more.
#[test]
fn an_idle_deployment_stays_idle() {
    let mut emulator = ready(9, 3, 20);
    let before = emulator.events;
    emulator.run_for(10 * SECOND);
    let first = emulator.events - before;
    emulator.run_for(10 * SECOND);
    let second = emulator.events - before - first;
    assert!(second <= first + first / 4, "{first} events in ten seconds, then {second}");
}

/// Guards against faults that only come together: workers and entry VMs that fail by turns while jobs arrive.
#[test]
fn random_faults_break_no_promise() {
    let seeds = std::env::var("NUTMEGFOLD_SCHEDULES").ok().and_then(|text| text.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        let mut emulator = ready(seed, 4, 6);
        let mut tickets = Vec::new();
        for round in 0..12 {
            let id = round + 1;
            let last = Step { depends_on: vec![0], ..step(2) };
            let vm = (0..4).find(|vm| emulator.is_up(*vm)).expect("a VM is up");
            tickets.push(emulator.submit(vm, id, job([step(3), last])));
            inject_random_fault(&mut emulator);
            emulator.run_for(Duration::from_millis(400));
        }
        clear_faults(&mut emulator);
        emulator.run_for(40 * SECOND);
        if std::env::var_os("NUTMEGFOLD_TRACE").is_some() && !emulator.observer.broken.is_empty() {
            println!("{}", emulator.log.join("\n"));
        }
        assert!(emulator.observer.broken.is_empty(), "seed {seed}: {:#?}", emulator.observer.broken);
        for (ticket, id) in tickets.iter().zip(1..) {
            if matches!(emulator.answers.get(ticket), Some(Answer::Refused(_))) {
                assert!(!emulator.observer.has_started(Id(id)), "seed {seed}: job {id} was refused and ran");
            }
        }
        let vm = emulator.leader().expect("a leader");
        for id in 1..=12 {
            let answer = emulator.phase(vm, id);
            let is_settled =
                matches!(answer, Some(Answer::Phase(Phase::Completed | Phase::Failed) | Answer::UnknownJob));
            assert!(is_settled, "seed {seed}, job {id}: {answer:?}");
        }
    }
}

fn inject_random_fault(emulator: &mut Emulator) {
    let worker = (emulator.draw() % 6) as usize;
    match emulator.draw() % 9 {
        0 => {
            let vm = (emulator.draw() % 4) as usize;
            if emulator.is_up(vm) && (0..4).filter(|vm| emulator.is_up(*vm)).count() > 1 {
                emulator.kill(vm);
            }
        }
        1 => {
            if let Some(vm) = (0..4).find(|vm| !emulator.is_up(*vm)) {
                emulator.start(vm);
            }
        }
        2 => emulator.workers[worker].is_silent = true,
        3 => emulator.workers.iter_mut().for_each(|worker| worker.is_silent = false),
        4 => emulator.workers[worker].lost_starts = 2,
        5 => emulator.restart_worker(worker),
        6 => emulator.store.revoke(),
        7 => emulator.store.lost_answers = 2,
        _ => emulator.store.is_down = !emulator.store.is_down,
    }
}

fn clear_faults(emulator: &mut Emulator) {
    emulator.store.is_down = false;
    emulator.workers.iter_mut().for_each(|worker| worker.is_silent = false);
    for vm in 0..4 {
        if !emulator.is_up(vm) {
            emulator.start(vm);
        }
    }
}
