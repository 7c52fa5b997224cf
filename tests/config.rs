//! Tests of how configurations of the operator come into force on the entry VMs, on an emulated deployment.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, QUEUE_BYTES, config, job, step};
use nutmegfold::core::work::config::{Config, Queue};
use nutmegfold::core::work::request::{Answer, Verb};
use nutmegfold::core::work::spec::{Id, Name, Step};
use nutmegfold::core::work::tuning::Tuning;

const SECOND: Duration = Duration::from_secs(1);

/// Number of entry VMs in each of two regions.
const VMS_PER_REGION: usize = 22;

/// Capacity of the link between the regions in bytes per second: 60 Mbit/s.
const LINK_BYTES_PER_S: f64 = 7_500_000.0;

/// One-way delay of the link between the regions.
const LINK_DELAY: Duration = Duration::from_millis(12);

/// Size of the largest configuration in an answer of the store, in bytes: a value of 1 MB in base64.
const LARGEST_BYTES: usize = 1_400_000;

/// Time in which an acknowledged configuration must be in force on every entry VM.
const LIMIT: Duration = Duration::from_secs(4);

/// A configuration with as many queues as the store admits.
fn large_config(version: u64) -> Config {
    let base = config();
    let queue = |number| Queue {
        name: format!("jobs-{number}"),
        prefix: format!("/q{number}/"),
        ..base.queues[0].clone()
    };
    let queues = base.queues.iter().cloned().chain((1..LARGEST_BYTES / QUEUE_BYTES).map(queue));
    Config { version, queues: queues.collect(), ..base }
}

/// Two regions of which one has the store; the other one has a link of limited capacity to it.
fn two_regions(seed: u64) -> Emulator {
    let mut emulator = Emulator::new(seed, 2 * VMS_PER_REGION, 2);
    emulator.link.vms = (VMS_PER_REGION..2 * VMS_PER_REGION).collect();
    emulator.link.bytes_per_s = LINK_BYTES_PER_S;
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator
}

/// Entry VMs on which the version is not in force.
fn outdated(emulator: &Emulator, version: u64) -> Vec<usize> {
    (0..2 * VMS_PER_REGION).filter(|vm| emulator.config_version(*vm) < version).collect()
}

/// Guards against entry VMs that each read a large configuration through the link that they share.
#[test]
fn a_large_configuration_is_late_on_vms_behind_a_shared_link() {
    for seed in 0..3 {
        let mut emulator = two_regions(seed);
        emulator.store.set_config(large_config(2));
        emulator.run_for(SECOND / 2);
        emulator.store.set_config(large_config(3));
        emulator.run_for(LIMIT);
        assert_eq!(outdated(&emulator, 3), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Guards against a relayed change after which a queue is missing, outdated or left over.
#[test]
fn a_relayed_change_leaves_an_outdated_queue() {
    let mut emulator = two_regions(0);
    emulator.store.set_config(large_config(2));
    emulator.run_for(LIMIT);
    let mut changed = large_config(3);
    changed.queues.remove(7);
    changed.queues[9].max_attempts = 17;
    changed.queues.push(Queue {
        name: "added".into(),
        prefix: "/added/".into(),
        ..changed.queues[0].clone()
    });
    emulator.store.set_config(changed.clone());
    emulator.run_for(LIMIT);
    for vm in 0..2 * VMS_PER_REGION {
        let mut queues = emulator.config(vm).queues.clone();
        queues.sort_by(|one, other| one.name.cmp(&other.name));
        let mut expected = changed.queues.clone();
        expected.sort_by(|one, other| one.name.cmp(&other.name));
        assert_eq!(queues, expected, "VM {vm}");
    }
}

/// Guards against entry VMs that get no large configuration because the leader that they ask has ended.
#[test]
fn a_large_configuration_is_late_when_the_leader_is_killed() {
    for seed in 0..3 {
        let mut emulator = two_regions(seed);
        let leader = emulator.leader().expect("a leader");
        emulator.store.set_config(large_config(2));
        emulator.run_for(Duration::from_millis(20 * seed));
        emulator.kill(leader);
        emulator.run_for(LIMIT);
        let outdated = outdated(&emulator, 2);
        assert!(outdated.iter().all(|vm| *vm == leader), "seed {seed}: {outdated:?}");
    }
}

/// Guards against entry VMs that rely on a leader which does not hear of the change itself.
#[test]
fn a_configuration_is_late_when_the_watches_of_the_leader_are_silent() {
    for seed in 0..3 {
        let mut emulator = two_regions(seed);
        emulator.store.set_config(large_config(2));
        emulator.run_for(LIMIT);
        let leader = emulator.leader().expect("a leader");
        emulator.store.silent_watch_vms.insert(leader);
        emulator.store.set_config(Config { version: 3, ..config() });
        emulator.run_for(LIMIT);
        let outdated = outdated(&emulator, 3);
        assert!(outdated.iter().all(|vm| *vm == leader), "seed {seed}: {outdated:?}");
    }
}

/// Guards against a restarted entry VM that stays without a large configuration, whose last change is no longer watched.
#[test]
fn a_restarted_entry_vm_has_no_large_configuration() {
    let mut emulator = two_regions(0);
    emulator.store.set_config(large_config(2));
    emulator.run_for(LIMIT);
    let vm = VMS_PER_REGION + 1;
    emulator.kill(vm);
    emulator.start(vm);
    emulator.run_for(SECOND);
    assert_eq!(emulator.config_version(vm), 2);
    emulator.store.set_config(large_config(3));
    emulator.run_for(2 * SECOND);
    assert_eq!(emulator.config_version(vm), 3);
}

/// Three entry VMs without a shared link, on which the first large configuration is in force.
fn with_large_config(seed: u64) -> Emulator {
    let mut emulator = Emulator::new(seed, 3, 2);
    emulator.run_for(SECOND);
    emulator.store.set_config(large_config(2));
    emulator.run_for(LIMIT);
    assert_eq!((0..3).map(|vm| emulator.config_version(vm)).min(), Some(2), "seed {seed}");
    emulator
}

/// Guards against entry VMs that skip a version for good, since the leader answers them with the revision of a version that
/// it has read and not applied.
#[test]
fn a_large_configuration_is_skipped_when_the_leader_reads_two_versions_at_once() {
    for seed in 0..5 {
        let mut emulator = with_large_config(seed);
        let leader = emulator.leader().expect("a leader");
        emulator.store.refused_vms.insert(leader);
        emulator.store.set_config(large_config(3));
        emulator.run_for(SECOND * 6 / 10);
        emulator.store.set_config(large_config(4));
        emulator.run_for(SECOND * 9 / 10);
        emulator.store.refused_vms.clear();
        emulator.run_for(LIMIT);
        let versions: Vec<u64> = (0..3).map(|vm| emulator.config_version(vm)).collect();
        assert_eq!(versions, [4, 4, 4], "seed {seed}");
    }
}

/// Guards against a version that is skipped for good where a large configuration changes in quick pairs, while single entry
/// VMs are refused by the store, hear of no change, or are killed.
#[test]
fn a_large_configuration_is_skipped_under_random_faults() {
    for seed in 0..20 {
        let mut emulator = with_large_config(seed);
        let mut version = 2;
        for _ in 0..6 {
            let vm = emulator.next_random() as usize % 3;
            let fault = emulator.next_random() % 4;
            match fault {
                0 => emulator.store.refused_vms.extend(emulator.leader()),
                1 => emulator.store.refused_vms.extend([vm]),
                2 => emulator.store.silent_watch_vms.extend(emulator.leader()),
                _ => emulator.kill(vm),
            }
            for _ in 0..2 {
                let pause = SECOND * (emulator.next_random() % 10) as u32 / 10;
                emulator.run_for(pause);
                version += 1;
                emulator.store.set_config(large_config(version));
            }
            emulator.run_for(SECOND / 2);
            emulator.store.refused_vms.clear();
            emulator.store.silent_watch_vms.clear();
            (0..3).filter(|vm| !emulator.is_up(*vm)).collect::<Vec<_>>().into_iter().for_each(|vm| {
                emulator.start(vm);
            });
            emulator.run_for(LIMIT);
            let versions: Vec<u64> = (0..3).map(|vm| emulator.config_version(vm)).collect();
            assert_eq!(versions, [version; 3], "seed {seed}, fault {fault} of VM {vm}");
        }
    }
}

/// Guards against a leader that decides by defaults, since it has read the records before the configuration.
#[test]
fn a_leader_without_a_configuration_allows_too_many_attempts() {
    for seed in 0..5 {
        let mut emulator = Emulator::new(seed, 2, 4);
        let mut stricter = Config { version: 2, ..config() };
        stricter.queues[0].max_attempts = 2;
        emulator.observer.max_attempts = 2;
        emulator.store.set_config(stricter);
        emulator.run_for(SECOND);
        let task = Name { job: Id(1), occurrence: 0, step: 0, index: 0 };
        emulator.observer.injected_failures.insert(task, 100);
        emulator.submit(0, 1, job([Step { estimate: SECOND / 2, ..step(1) }]));
        emulator.run_for(SECOND * 4 / 5);
        emulator.kill(0);
        emulator.kill(1);
        emulator.store.silent_config_vms.insert(1);
        emulator.start(1);
        emulator.run_for(4 * SECOND);
        emulator.store.silent_config_vms.clear();
        emulator.run_for(12 * SECOND);
        assert!(emulator.leader().is_some(), "seed {seed}: no leader: {:#?}", emulator.log);
        assert!(emulator.observer.violations.is_empty(), "seed {seed}: {:#?}", emulator.observer.violations);
    }
}

/// Guards against a log that does not tell how long a version took to come into force, and from where.
#[test]
fn the_log_hides_how_late_a_large_configuration_is() {
    let mut emulator = with_large_config(0);
    let leader = emulator.leader().expect("a leader");
    let follower = (0..3).find(|vm| *vm != leader).expect("a follower");
    emulator.store.set_config(large_config(3));
    emulator.run_for(SECOND);
    let logged = |decision: &str, text: &str| {
        let is_logged = |line: &String| {
            line.contains(&format!("vm-{follower} ")) && line.contains(decision) && line.contains(text)
        };
        emulator.log.iter().any(is_logged)
    };
    assert!(logged("config-newer", "exceeds"), "{:#?}", emulator.log);
    assert!(logged("in-force", " bytes in "), "{:#?}", emulator.log);
    assert!(logged("in-force", "ms after the first sign of a newer version"), "{:#?}", emulator.log);
}

/// Time after which a version must be in force on calm entry VMs while a single one is in trouble: half of the users' bound
/// for deployments of this size.
const CALM_LIMIT: Duration = Duration::from_secs(2);

/// The same for deployments of few entry VMs, where the bound is 2.5 s.
const SMALL_CALM_LIMIT: Duration = Duration::from_millis(1_250);

/// Trouble of a single entry VM.
#[derive(Debug, Clone, Copy)]
enum Trouble {
    /// It handles everything late.
    Slow,
    /// Other entry VMs get no answer from it, while it keeps its connection to the store.
    CutOff,
    /// Its watches see no change.
    Behind,
    /// Its process ends for good.
    Killed,
}

const TROUBLES: [Trouble; 4] = [Trouble::Slow, Trouble::CutOff, Trouble::Behind, Trouble::Killed];

/// Brings trouble to an entry VM.
fn trouble(emulator: &mut Emulator, vm: usize, kind: Trouble) {
    match kind {
        Trouble::Slow => emulator.vm_lags.extend([(vm, 3 * SECOND)]),
        Trouble::CutOff => emulator.unreachable_vms.extend([vm]),
        Trouble::Behind => emulator.store.silent_watch_vms.extend([vm]),
        Trouble::Killed => emulator.kill(vm),
    }
}

/// Writes a series of versions, one each 500 ms, and returns the calm entry VMs on which one of them is late, each with the
/// version and the time at which it was not in force.
fn late_in_series(
    emulator: &mut Emulator,
    calm: &[usize],
    versions: std::ops::RangeInclusive<u64>,
    limit: Duration,
) -> Vec<(usize, u64)> {
    const STEP: Duration = Duration::from_millis(50);
    let mut written = Vec::new();
    let mut late = Vec::new();
    let end = emulator.now + SECOND / 2 * (versions.end() - versions.start()) as u32 + limit + SECOND;
    let mut next = versions.clone();
    let mut due = emulator.now;
    while emulator.now < end {
        if emulator.now >= due
            && let Some(version) = next.next()
        {
            emulator.store.set_config(large_config(version));
            written.push((version, emulator.now));
            due = emulator.now + SECOND / 2;
        }
        emulator.run_for(STEP);
        for (version, at) in &written {
            let is_late = emulator.now.since(*at) >= limit;
            let outdated = calm.iter().filter(|vm| is_late && emulator.config_version(**vm) < *version);
            late.extend(outdated.map(|vm| (*vm, *version)));
        }
    }
    late.sort_unstable();
    late.dedup();
    late
}

/// Deployment of two regions with three availability zones each, on which a first large configuration is in force.
fn six_zones(seed: u64) -> Emulator {
    let mut emulator = Emulator::in_zones(seed, 2 * VMS_PER_REGION, 6, 2);
    emulator.link.vms = (VMS_PER_REGION..2 * VMS_PER_REGION).collect();
    emulator.link.delay = LINK_DELAY;
    emulator.link.bytes_per_s = LINK_BYTES_PER_S;
    emulator.run_for(SECOND);
    emulator.store.set_config(large_config(2));
    emulator.run_for(LIMIT);
    assert_eq!(outdated(&emulator, 2), Vec::<usize>::new(), "seed {seed}");
    emulator
}

/// Guards against entry VMs that all wait for a leader which is slow, cut off, behind or gone.
#[test]
fn a_series_of_configurations_is_late_while_the_leader_is_in_trouble() {
    for kind in TROUBLES {
        for seed in 0..3 {
            let mut emulator = six_zones(seed);
            let leader = emulator.leader().expect("a leader");
            trouble(&mut emulator, leader, kind);
            let calm: Vec<usize> = (0..2 * VMS_PER_REGION).filter(|vm| *vm != leader).collect();
            let late = late_in_series(&mut emulator, &calm, 3..=8, CALM_LIMIT);
            assert_eq!(late, [], "{kind:?}, seed {seed}");
        }
    }
}

/// The same for any other entry VM, among them those that read the configuration for others.
#[test]
fn a_series_of_configurations_is_late_while_any_entry_vm_is_in_trouble() {
    for kind in TROUBLES {
        for vm in (0..2 * VMS_PER_REGION).step_by(3) {
            let mut emulator = six_zones(vm as u64);
            trouble(&mut emulator, vm, kind);
            let calm: Vec<usize> = (0..2 * VMS_PER_REGION).filter(|other| *other != vm).collect();
            emulator.link.bytes = 0;
            let late = late_in_series(&mut emulator, &calm, 3..=5, CALM_LIMIT);
            assert_eq!(late, [], "{kind:?} of VM {vm}");
            let copies = emulator.link.bytes as f64 / LARGEST_BYTES as f64;
            assert!(copies <= 9.0, "{copies} copies of 3 versions for 3 zones, {kind:?} of VM {vm}");
        }
    }
}

/// Guards against waits that add up beyond the shorter bound of a deployment of nine entry VMs.
#[test]
fn a_series_of_configurations_is_late_on_nine_entry_vms() {
    for kind in TROUBLES {
        for vm in 0..9 {
            let mut emulator = Emulator::in_zones(vm as u64, 9, 3, 2);
            emulator.link.vms = (6..9).collect();
            emulator.link.delay = LINK_DELAY;
            emulator.link.bytes_per_s = LINK_BYTES_PER_S / 2.0;
            emulator.run_for(SECOND);
            emulator.store.set_config(large_config(2));
            emulator.run_for(LIMIT);
            trouble(&mut emulator, vm, kind);
            let calm: Vec<usize> = (0..9).filter(|other| *other != vm).collect();
            let late = late_in_series(&mut emulator, &calm, 3..=6, SMALL_CALM_LIMIT);
            assert_eq!(late, [], "{kind:?} of VM {vm}");
        }
    }
}

/// Writes a version with a queue more, which does not reach the given entry VMs; on all others it is in force.
fn behind_a_new_version(emulator: &mut Emulator, vms: &[usize]) {
    emulator.link.vms = vms.iter().copied().collect();
    emulator.link.bytes_per_s = 1_000.0;
    emulator.unreachable_vms = vms.iter().copied().collect();
    let mut added = large_config(3);
    let queue = Queue { name: "added".into(), prefix: "/added/".into(), ..added.queues[0].clone() };
    added.queues.push(queue);
    emulator.store.set_config(added);
    // One of these VMs may be the relay, which the others replace.
    emulator.run_for(CALM_LIMIT);
    vms.iter().for_each(|vm| assert_eq!(emulator.config_version(*vm), 2));
}

/// Answer of an entry VM to a read of the queue that the new version adds.
fn read_added_queue(emulator: &mut Emulator, vm: usize) -> Option<Answer> {
    let ticket = emulator.request(vm, "/added/", Verb::Read);
    // The leader waits for a newer configuration for 500 ms.
    emulator.run_for(Duration::from_millis(600));
    emulator.answers.get(&ticket).cloned()
}

/// Guards against an entry VM that answers a queue as unknown while it knows that a newer configuration may have it.
#[test]
fn an_added_queue_is_unknown_while_a_newer_version_is_known() {
    for seed in 0..5 {
        let mut emulator = with_large_config(seed);
        let leader = emulator.leader().expect("a leader");
        let follower = (leader + 1) % 3;
        behind_a_new_version(&mut emulator, &[follower]);
        assert_eq!(read_added_queue(&mut emulator, follower), Some(Answer::Pending(0)), "seed {seed}");
    }
}

/// The same while the leader does not have the newer configuration either.
#[test]
fn an_added_queue_is_unknown_while_the_leader_is_outdated_too() {
    for seed in 0..5 {
        let mut emulator = with_large_config(seed);
        behind_a_new_version(&mut emulator, &[0, 1, 2]);
        for vm in 0..3 {
            let answer = read_added_queue(&mut emulator, vm);
            assert!(matches!(answer, Some(Answer::Refused(_))), "seed {seed}, VM {vm}: {answer:?}");
        }
    }
}

/// Guards against a request for a queue that no version has and that is forwarded, or refused, instead of answered.
#[test]
fn an_unknown_queue_is_not_answered_as_unknown() {
    let mut emulator = with_large_config(0);
    for vm in 0..3 {
        assert_eq!(read_added_queue(&mut emulator, vm), Some(Answer::UnknownQueue), "VM {vm}");
    }
}

/// Guards against an entry VM that campaigns late, since the list of a large configuration took long.
#[test]
fn an_election_is_late_after_a_large_configuration() {
    const TRANSFER: Duration = Duration::from_millis(1_500);
    for seed in 0..3 {
        let mut emulator = Emulator::in_zones(seed, 2, 2, 1);
        emulator.link.vms = (0..2).collect();
        emulator.link.bytes_per_s = LARGEST_BYTES as f64 / TRANSFER.as_secs_f64();
        emulator.run_for(SECOND);
        emulator.store.set_config(large_config(2));
        emulator.run_for(2 * LIMIT);
        assert_eq!((0..2).map(|vm| emulator.config_version(vm)).min(), Some(2), "seed {seed}");
        let leader = emulator.leader().expect("a leader");
        emulator.kill(leader);
        emulator.run_for(Tuning::default().leader_ttl + SECOND);
        assert_eq!(emulator.leader_after(leader), Some(1 - leader), "seed {seed}");
    }
}

/// Guards against whole configurations on the link between two regions while all entry VMs are well.
#[test]
fn a_series_of_configurations_fills_the_link_between_regions() {
    for seed in 0..3 {
        let mut emulator = six_zones(seed);
        emulator.link.bytes = 0;
        let all: Vec<usize> = (0..2 * VMS_PER_REGION).collect();
        let late = late_in_series(&mut emulator, &all, 3..=8, SMALL_CALM_LIMIT);
        assert_eq!(late, [], "seed {seed}");
        assert!(emulator.link.bytes < LARGEST_BYTES, "seed {seed}: {} bytes", emulator.link.bytes);
    }
}

/// Guards against a relay on a VM with little processor time while a strong VM of the zone could take over.
#[test]
fn a_weak_entry_vm_stays_the_relay() {
    let mut emulator = Emulator::with_cpu_millicores(0, &[120, 120, 500], 2);
    emulator.kill(2);
    emulator.run_for(SECOND);
    emulator.store.set_config(large_config(2));
    emulator.run_for(LIMIT);
    emulator.start(2);
    emulator.run_for(SECOND);
    for version in 3..5 {
        emulator.store.set_config(large_config(version));
        emulator.run_for(SECOND);
    }
    assert_eq!(emulator.store.relay().as_deref(), Some("vm-2"));
}

/// Guards against a leader that handles a request by an older configuration than the entry VM that forwarded it.
#[test]
fn a_removed_queue_is_served_by_an_outdated_leader() {
    for seed in 0..5 {
        let mut emulator = with_large_config(seed);
        let leader = emulator.leader().expect("a leader");
        let follower = (leader + 1) % 3;
        emulator.link.vms.insert(leader);
        emulator.link.bytes_per_s = 1_000.0;
        emulator.unreachable_vms.insert(leader);
        let mut removed = large_config(3);
        removed.queues.retain(|queue| queue.name != "jobs-7");
        emulator.store.set_config(removed);
        emulator.run_for(CALM_LIMIT);
        assert_eq!(
            (emulator.config_version(leader), emulator.config_version(follower)),
            (2, 3),
            "seed {seed}"
        );
        // The follower knows of a further version, so it takes the queue for one that may have been added.
        emulator.unreachable_vms.insert(follower);
        emulator.link.vms.insert(follower);
        emulator.store.set_config(Config { version: 4, ..large_config(4) });
        emulator.run_for(SECOND / 2);
        let removed = emulator.request(follower, "/q7/", Verb::Read);
        let kept = emulator.request(follower, "/q8/", Verb::Read);
        emulator.run_for(SECOND);
        for ticket in [removed, kept] {
            let answer = emulator.answers.get(&ticket);
            assert!(matches!(answer, Some(Answer::Refused(_))), "seed {seed}: {answer:?}");
        }
    }
}

/// Guards against a request that is refused although the leader is about to have the newer configuration of its forwarder.
#[test]
fn a_request_is_refused_while_the_leader_reads_the_newer_configuration() {
    let mut count = 0;
    for seed in 0..10 {
        let mut emulator = with_large_config(seed);
        let leader = emulator.leader().expect("a leader");
        let follower = (leader + 1) % 3;
        // The follower would not be ahead of a leader that is its relay.
        if emulator.store.relay() == Some(format!("vm-{leader}")) {
            continue;
        }
        count += 1;
        emulator.vm_lags.insert(leader, Duration::from_millis(60));
        emulator.store.set_config(large_config(3));
        while emulator.config_version(follower) < 3 {
            emulator.run_for(Duration::from_millis(2));
        }
        assert_eq!(emulator.config_version(leader), 2, "seed {seed}");
        let ticket = emulator.request(follower, "/q8/", Verb::Read);
        emulator.run_for(SECOND);
        assert_eq!(emulator.answers.get(&ticket), Some(&Answer::Pending(0)), "seed {seed}");
    }
    assert!(count > 0, "the leader is always the relay");
}

/// Guards against whole configurations on the link between two regions, and relays that are replaced, after the store has
/// dropped its history while the configuration did not change.
#[test]
fn a_dropped_history_fills_the_link_between_regions() {
    for seed in 0..3 {
        let mut emulator = six_zones(seed);
        emulator.link.bytes = 0;
        emulator.decisions.clear();
        emulator.store.drop_history();
        emulator.run_for(2 * LIMIT);
        let copies = emulator.link.bytes as f64 / LARGEST_BYTES as f64;
        assert!(copies <= 3.0, "seed {seed}: {copies} copies for 3 zones");
        assert_eq!(emulator.decisions.get("claim-relay"), None, "seed {seed}");
    }
}
