//! Tests of connections to the store that go silent without an error while new ones work, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::store::Silence;
use emulator::{Emulator, config};
use nutmegfold::core::work::config::{Config, Queue};
use nutmegfold::core::work::request::{Answer, Verb};
use nutmegfold::core::work::tuning::Tuning;

const SECOND: Duration = Duration::from_secs(1);

/// Interval at which each entry VM is asked for the queue that the new version adds.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of entry VMs.
const VMS: usize = 6;

/// Time in which an acknowledged configuration must be in force on each entry VM of a small deployment.
const CONFIG_LIMIT: Duration = Duration::from_millis(2_500);

/// Age up to which a confirmation of the configuration allows the answer that a queue is unknown.
const CONFIRMATION_AGE_MAX: Duration = SECOND;

/// A deployment whose watches wait as long as they ask for.
fn deployment(seed: u64) -> Emulator {
    let mut emulator = Emulator::in_zones(seed, VMS, 3, 2);
    emulator.store.keeps_watch_waits = true;
    // The watches of the entry VMs are at any point of their waits.
    let start = Duration::from_millis(5_000 + emulator.next_random() % 2_000);
    emulator.run_for(start);
    assert!(emulator.leader().is_some(), "seed {seed}: no leader: {:#?}", emulator.log);
    emulator
}

/// A version with a queue that the first one does not have.
fn with_added_queue(version: u64) -> Config {
    let base = config();
    let added = Queue { name: "added".into(), prefix: "/added/".into(), ..base.queues[0].clone() };
    Config { version, queues: base.queues.iter().cloned().chain([added]).collect(), ..base }
}

/// What callers and operators see after a version was acknowledged.
#[derive(Debug, Default)]
struct Outcome {
    /// Entry VMs that answered the added queue as unknown to a request that arrived later than a confirmation allows,
    /// each with the time of arrival since the acknowledgement.
    late_unknown: Vec<(usize, Duration)>,
    /// Entry VMs on which the version was not in force in time.
    outdated: Vec<usize>,
    /// Requests that got no answer at all.
    unanswered: usize,
}

/// Writes a version with an added queue, and asks all entry VMs that run for the queue until 6 s later.
fn play_change(emulator: &mut Emulator) -> Outcome {
    let acknowledged = emulator.now;
    emulator.store.set_config(with_added_queue(2));
    let mut asked = Vec::new();
    let mut outcome = Outcome::default();
    while emulator.now < acknowledged + 6 * SECOND {
        for vm in (0..VMS).filter(|vm| emulator.is_up(*vm)).collect::<Vec<_>>() {
            asked.push((vm, emulator.now.since(acknowledged), emulator.request(vm, "/added/", Verb::Read)));
        }
        emulator.run_for(ASK_INTERVAL);
        if emulator.now == acknowledged + CONFIG_LIMIT {
            let is_outdated = |vm: &usize| emulator.is_up(*vm) && emulator.config_version(*vm) < 2;
            outcome.outdated = (0..VMS).filter(is_outdated).collect();
        }
    }
    emulator.run_for(3 * SECOND);
    for (vm, at, ticket) in asked {
        match emulator.answers.get(&ticket) {
            Some(Answer::UnknownQueue) if at > CONFIRMATION_AGE_MAX => outcome.late_unknown.push((vm, at)),
            Some(_) => {}
            None => outcome.unanswered += usize::from(emulator.is_up(vm)),
        }
    }
    outcome
}

/// Guards against an entry VM that answers a new queue as unknown, or uses the configuration late, since its connections to
/// the store went silent shortly before the change.
#[test]
fn a_new_queue_is_unknown_after_connections_went_silent() {
    for percent in [30, 90, 100] {
        for seed in 0..12 {
            let mut emulator = deployment(seed);
            let silence = Silence::new(emulator.now, percent);
            emulator.store.silences = (0..VMS).map(|vm| (vm, silence)).collect();
            emulator.run_for(Duration::from_millis(250 * seed));
            let outcome = play_change(&mut emulator);
            assert_eq!(outcome.late_unknown, [], "seed {seed}, {percent} percent");
            assert_eq!(outcome.outdated, [] as [usize; 0], "seed {seed}, {percent} percent");
            assert_eq!(outcome.unanswered, 0, "seed {seed}, {percent} percent");
        }
    }
}

/// The same when connections of some entry VMs go silent at any moment around the change, and the leader is killed.
#[test]
fn a_new_queue_is_unknown_while_the_leader_changes() {
    for seed in 0..60 {
        let mut emulator = deployment(seed);
        let percent = 30 + emulator.next_random() % 71;
        let vms: Vec<usize> = (0..VMS).filter(|_| emulator.next_random().is_multiple_of(2)).collect();
        let change_at = emulator.now + 3 * SECOND;
        let silent_at = emulator.now + Duration::from_millis(emulator.next_random() % 4_000);
        emulator.store.silences = vms.iter().map(|vm| (*vm, Silence::new(silent_at, percent))).collect();
        let kill_at = emulator.now + Duration::from_millis(emulator.next_random() % 3_000);
        emulator.run_for(kill_at.since(emulator.now));
        let leader = emulator.leader();
        leader.into_iter().for_each(|vm| emulator.kill(vm));
        emulator.run_for(change_at.since(emulator.now));
        let outcome = play_change(&mut emulator);
        let day = format!("seed {seed}, {percent} percent of VMs {vms:?}, leader {leader:?}");
        assert_eq!(outcome.late_unknown, [], "{day}");
        assert_eq!(outcome.outdated, [] as [usize; 0], "{day}");
        assert_eq!(outcome.unanswered, 0, "{day}");
    }
}

/// Guards against the answer that a queue is unknown while the store can be reached by no entry VM, so that none knows
/// whether there is a newer version.
#[test]
fn a_queue_is_unknown_while_the_store_is_down() {
    for seed in 0..5 {
        let mut emulator = deployment(seed);
        emulator.store.is_down = true;
        emulator.run_for(CONFIRMATION_AGE_MAX + SECOND / 10);
        let mut tickets = Vec::new();
        for _ in 0..20 {
            tickets.extend((0..VMS).map(|vm| emulator.request(vm, "/added/", Verb::Read)));
            emulator.run_for(ASK_INTERVAL);
        }
        emulator.run_for(3 * SECOND);
        for ticket in tickets {
            let answer = emulator.answers.get(&ticket);
            assert!(matches!(answer, Some(Answer::Refused(_))), "seed {seed}: {answer:?}");
        }
    }
}

/// Guards against a queue that exists nowhere and is not answered as unknown, and against a call to the store for each request.
#[test]
fn requests_for_an_unknown_queue_are_answered_by_one_call_a_second() {
    const SECONDS: u32 = 10;
    let mut emulator = deployment(0);
    let watches = emulator.counts.watches;
    emulator.run_for(SECONDS * SECOND);
    let calm = emulator.counts.watches - watches;
    let watches = emulator.counts.watches;
    let mut tickets = Vec::new();
    for _ in 0..SECONDS * 10 {
        tickets.extend((0..VMS).map(|vm| emulator.request(vm, "/added/", Verb::Read)));
        emulator.run_for(SECOND / 10);
    }
    let calls = emulator.counts.watches - watches;
    assert!(calls <= calm + VMS as u64 * u64::from(SECONDS), "{calls} calls, {calm} without requests");
    emulator.run_for(SECOND);
    for ticket in tickets {
        assert_eq!(emulator.answers.get(&ticket), Some(&Answer::UnknownQueue));
    }
}

/// Guards against more calls to the store while nothing happens: each one is priced.
#[test]
fn a_calm_deployment_watches_more_often() {
    const SECONDS: u64 = 100;
    // The leader also watches the workers and the evacuations.
    const WATCHES: u64 = 2 * VMS as u64 + 2;
    for seed in 0..3 {
        let mut emulator = deployment(seed);
        let before = emulator.counts.watches;
        emulator.run_for(Duration::from_secs(SECONDS));
        let calls = emulator.counts.watches - before;
        let expected = WATCHES * SECONDS / Tuning::default().watch_wait.as_secs();
        assert!(calls * 100 <= expected * 105, "seed {seed}: {calls} watches instead of {expected}");
    }
}

/// Guards against a watch that waits on although another call to the store has shown that connections went silent.
#[test]
fn a_watch_waits_on_after_another_call_timed_out() {
    // The calls of the leader time out after 800 ms in the emulator, and it makes one each 400 ms.
    const LIMIT: Duration = Duration::from_millis(1_300);
    for seed in 0..12 {
        let mut emulator = deployment(seed);
        let leader = emulator.leader().expect("a leader");
        emulator.store.silences.insert(leader, Silence::new(emulator.now, 100));
        emulator.store.set_config(with_added_queue(2));
        emulator.run_for(LIMIT);
        assert_eq!(emulator.config_version(leader), 2, "seed {seed}: {:#?}", emulator.log);
    }
}
