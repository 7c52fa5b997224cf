//! Tests of the timeline entries that lead from a task's name to the reason why it ran again, or why it does not run.

mod emulator;

use std::time::Duration;

use emulator::{Emulator, PREFIX, job, step};
use nutmegfold::core::work::request::{Answer, Verb};
use nutmegfold::core::work::spec::{Id, Name, Resources, Step};
use nutmegfold::core::work::tuning::Tuning;
use nutmegfold::hash::{Map, Set};

const SECOND: Duration = Duration::from_secs(1);

/// Emulated deployment of two entry VMs after one second, in which it has elected a leader and discovered its workers.
fn ready(seed: u64, workers: usize) -> Emulator {
    let mut emulator = Emulator::new(seed, 2, workers);
    emulator.run_for(SECOND);
    assert!(emulator.leader().is_some(), "no leader after a second: {:#?}", emulator.log);
    emulator
}

/// Entries with this decision, in the order of the log.
fn entries(emulator: &Emulator, decision: &str) -> Vec<String> {
    let mark = format!("decision: \"{decision}\"");
    emulator.log.iter().filter(|line| line.contains(&mark)).cloned().collect()
}

/// The only entry with this decision.
fn only_entry(emulator: &Emulator, decision: &str) -> String {
    let found = entries(emulator, decision);
    assert_eq!(found.len(), 1, "{decision}: {:#?}", emulator.log);
    found.into_iter().next().expect("one entry")
}

/// Number that follows `label` in an entry.
fn number_after(line: &str, label: &str) -> u64 {
    let Some((_, rest)) = line.split_once(label) else { panic!("no {label:?} in {line}") };
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

fn cancel(emulator: &mut Emulator, vm: usize, id: u64) {
    emulator.request(vm, &format!("{PREFIX}{}", Id(id)), Verb::Cancel);
    emulator.run_for(SECOND / 10);
}

/// Kills the leader and returns the entry VM that leads after `wait`.
fn replace_leader(emulator: &mut Emulator, wait: Duration) -> usize {
    let leader = emulator.leader().expect("a leader");
    emulator.kill(leader);
    emulator.run_for(wait);
    emulator.leader().expect("another leader")
}

/// Guards against an acknowledgement that cannot be compared with the change that its end waits for, and against an
/// entry for each renewal.
#[test]
fn an_acknowledged_end_cannot_be_traced_to_its_change() {
    let mut emulator = ready(1, 1);
    emulator.submit(0, 1, job([step(1)]));
    emulator.run_for(2 * SECOND);
    let ended = only_entry(&emulator, "ended");
    assert!(
        ended.contains("on w-0: done, end 1 waits for change") && ended.contains("job Running"),
        "{ended}"
    );
    let acknowledged = only_entry(&emulator, "acknowledge");
    assert!(acknowledged.contains("ends of w-0 up to 1,"), "{acknowledged}");
    let durable = number_after(&acknowledged, "durable up to change ");
    assert!(number_after(&ended, "waits for change ") <= durable, "{ended}\n{acknowledged}");
    emulator.run_for(10 * SECOND);
    assert_eq!(entries(&emulator, "acknowledge").len(), 1, "{:#?}", emulator.log);
}

/// Guards against an end of a cancelled job whose entry hides that the cancellation is not durable.
#[test]
fn an_end_of_a_cancelled_job_hides_whether_the_cancellation_is_stored() {
    let mut emulator = ready(2, 1);
    emulator.workers[0].stop_duration = SECOND / 2;
    let long_running = || job([Step { is_long_running: true, ..step(1) }]);
    for id in 1..=2 {
        emulator.submit(0, id, long_running());
    }
    emulator.run_for(SECOND);
    let leader = emulator.leader().expect("a leader");
    cancel(&mut emulator, leader, 1);
    emulator.run_for(SECOND);
    emulator.store.is_down = true;
    cancel(&mut emulator, leader, 2);
    emulator.run_for(SECOND);
    let [stored, lost] = &entries(&emulator, "ended")[..] else { panic!("{:#?}", emulator.log) };
    assert!(stored.contains("Job(Id(1))") && stored.contains("job Cancelled\""), "{stored}");
    assert!(lost.contains("Job(Id(2))") && lost.contains("job Cancelled, not durable\""), "{lost}");
    let ends = entries(&emulator, "end");
    let changes: Vec<u64> = ends.iter().map(|line| number_after(line, "Cancelled, change ")).collect();
    assert!(changes.len() == 2 && changes[0] < changes[1], "{ends:#?}");
}

/// Guards against an end of an unknown job that looks like any other in the log.
#[test]
fn an_end_of_an_unknown_job_looks_like_any_other() {
    let mut emulator = ready(3, 1);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    emulator.workers[0].is_unresponsive = true;
    cancel(&mut emulator, 0, 1);
    emulator.run_for(Tuning::default().retention + SECOND);
    emulator.workers[0].is_unresponsive = false;
    emulator.run_for(2 * SECOND);
    let ended = only_entry(&emulator, "ended");
    assert!(ended.contains("end 1 waits for change ") && ended.contains(", job not known"), "{ended}");
}

/// Guards against a job that is withdrawn in an outage of the store without an entry that tells whether it was stored
/// and had runs.
#[test]
fn a_withdrawn_job_leaves_no_entry() {
    let mut emulator = ready(4, 1);
    emulator.store.is_down = true;
    let in_flight = emulator.submit(0, 1, job([step(1)]));
    emulator.run_for(SECOND / 10);
    let queued = emulator.submit(0, 2, job([step(1)]));
    emulator.run_for(SECOND);
    let withdrawn = only_entry(&emulator, "withdraw");
    let refused = only_entry(&emulator, "refuse");
    let acceptance = number_after(&refused, "commits to the store fail: acceptance ");
    let expected = format!("acceptance {acceptance}, the job is not stored, 0 of its tasks have runs");
    assert!(withdrawn.contains("Job(Id(2))") && withdrawn.contains(&expected), "{withdrawn}\n{refused}");
    assert_eq!(emulator.answers.get(&in_flight), Some(&Answer::Unknown));
    assert!(matches!(emulator.answers.get(&queued), Some(Answer::Refused(_))));
}

/// Guards against a gate after a change of the leader of which the log does not tell why it opened.
#[test]
fn a_gate_opens_without_a_reason() {
    let mut emulator = ready(5, 3);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    assert!(entries(&emulator, "gate-close").is_empty(), "{:#?}", emulator.log);
    replace_leader(&mut emulator, 4 * SECOND);
    let closed = only_entry(&emulator, "gate-close");
    assert!(closed.contains("3 workers have to answer, for at most "), "{closed}");
    let opened = only_entry(&emulator, "gate-open");
    assert!(opened.contains("all 3 workers have answered, after "), "{opened}");
    assert!(number_after(&opened, "after ") < number_after(&closed, "at most "), "{closed}\n{opened}");
}

/// Guards against a task that starts again because the leases of earlier terms have expired, when neither the gate nor
/// the start shows that, or which worker had not answered.
#[test]
fn a_start_after_expired_leases_shows_no_cause() {
    let mut emulator = ready(6, 3);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    let first = only_entry(&emulator, "start");
    assert!(!first.contains("inherited"), "{first}");
    let silent = emulator.workers.iter().position(|worker| first.contains(&worker.id)).expect("a worker");
    emulator.workers[silent].is_unresponsive = true;
    replace_leader(&mut emulator, 14 * SECOND);
    let (closed, opened) = (only_entry(&emulator, "gate-close"), only_entry(&emulator, "gate-open"));
    let cause = "all leases of earlier terms have expired, 1 of 3 workers unanswered: ";
    let expected = format!("{cause}{}, after ", emulator.workers[silent].id);
    assert!(opened.contains(&expected), "{opened}");
    assert!(number_after(&opened, "after ") >= number_after(&closed, "at most "), "{closed}\n{opened}");
    let starts = entries(&emulator, "start");
    assert_eq!(starts.len(), 2, "{starts:#?}");
    assert!(starts[1].ends_with(", inherited from an earlier term\" }"), "{starts:#?}");
}

/// Guards against a task that starts without the gate, since its run was adopted and lost, when its start looks like
/// that of any other task.
#[test]
fn a_start_after_a_lost_adopted_run_shows_no_cause() {
    let mut emulator = ready(7, 1);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    replace_leader(&mut emulator, 4 * SECOND);
    assert_eq!(entries(&emulator, "adopt").len(), 1, "{:#?}", emulator.log);
    emulator.restart_worker(0);
    emulator.run_for(3 * SECOND);
    let starts = entries(&emulator, "start");
    assert_eq!(starts.len(), 2, "{starts:#?}");
    assert!(starts[1].contains("inherited from an earlier term, a run was adopted"), "{starts:#?}");
}

/// Guards against a task that starts again after its run was given up, when the log does not show by which sign, how old
/// the last answer of the worker was, or how long its lease had expired.
#[test]
fn a_run_that_is_given_up_shows_no_sign() {
    let mut emulator = ready(9, 2);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    let first = only_entry(&emulator, "start");
    let silent = emulator.workers.iter().position(|worker| first.contains(&worker.id)).expect("a worker");
    emulator.workers[silent].is_unresponsive = true;
    emulator.run_for(8 * SECOND);
    let lost = only_entry(&emulator, "lost-lease");
    assert!(lost.contains(&format!("run 1 of 0000000000000001.0.0.0 on w-{silent}: last answer ")), "{lost}");
    assert!(number_after(&lost, "last answer ") >= 4_500, "{lost}");
    assert!(lost.contains(" ms, leases expired ") && lost.contains(" ms ago, listed"), "{lost}");
    assert!(number_after(&lost, "; active for ") >= 4_500, "{lost}");
    let starts = entries(&emulator, "start");
    assert!(starts[1].contains(" (after run 1: lost, lease expired) on "), "{starts:#?}");
}

/// Asserts that no reason has the debug form of a value of the program.
fn assert_readable(emulator: &Emulator) {
    for line in &emulator.log {
        let (_, reason) = line.split_once("reason: ").expect("an entry has a reason");
        let reason = reason.strip_suffix(" }").expect("the reason is the last field");
        let is_readable =
            ["Some(", "None", "Instant(", "{", "Id(", "::"].iter().all(|form| !reason.contains(form));
        assert!(is_readable, "{line}");
    }
}

/// Guards against a run that is given up while it is stopped or started, when its entry shows the phase as the program
/// prints it, with times that an operator cannot relate to the log.
#[test]
fn a_run_that_is_given_up_shows_its_phase_without_ages() {
    let mut emulator = ready(18, 1);
    for id in 1..=3 {
        emulator.submit(0, id, job([Step { is_long_running: true, ..step(1) }]));
    }
    emulator.run_for(SECOND);
    emulator.workers[0].is_unresponsive = true;
    cancel(&mut emulator, 0, 1);
    emulator.submit(0, 4, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND * 14);
    let lost = entries(&emulator, "lost-lease");
    assert!(lost.len() >= 3, "{:#?}", emulator.log);
    for line in &lost {
        if line.contains("Job(Id(1))") {
            let age = number_after(line, "; stop sent ");
            assert!(
                age < number_after(line, "last answer ") && line.contains(" ms ago, not confirmed\""),
                "{line}"
            );
        } else {
            assert!(line.contains("; active for ") || line.contains("; start unconfirmed for "), "{line}");
        }
    }
    emulator.workers[0].is_unresponsive = false;
    emulator.run_for(SECOND * 5);
    emulator.restart_worker(0);
    emulator.run_for(SECOND * 3);
    assert!(!entries(&emulator, "worker-reborn").is_empty(), "{:#?}", emulator.log);
    assert_readable(&emulator);
}

/// Guards against a refused start of which the log does not tell why, neither at the refusal nor at the next start.
#[test]
fn a_refused_start_shows_no_reason() {
    let mut emulator = ready(19, 2);
    emulator.workers[0].is_replaced = true;
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(4) }]));
    emulator.run_for(SECOND * 3);
    let refused = entries(&emulator, "start-refused");
    assert!(!refused.is_empty(), "{:#?}", emulator.log);
    for line in &refused {
        assert!(line.ends_with(": another process has its address\" }"), "{line}");
    }
    let starts = entries(&emulator, "start");
    let again = " (after run 1: start refused, another process has its address) on w-1";
    assert!(starts.iter().any(|line| line.contains(again)), "{starts:#?}");
    assert_readable(&emulator);
}

/// Guards against a restart of a worker that is not told apart from a cut in the log.
#[test]
fn a_run_of_a_restarted_worker_shows_no_start_times() {
    let mut emulator = ready(10, 1);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    emulator.restart_worker(0);
    emulator.run_for(3 * SECOND);
    let reborn = only_entry(&emulator, "worker-reborn");
    assert!(reborn.contains("start time 1 before and 2 now"), "{reborn}");
    let starts = entries(&emulator, "start");
    assert!(starts[1].contains(" (after run 1: lost, worker restarted) on "), "{starts:#?}");
}

/// Guards against ends that a worker has discarded before they were read, when no entry names them.
#[test]
fn ends_that_were_discarded_unread_show_no_sign() {
    let mut emulator = ready(11, 1);
    emulator.submit(0, 1, job([Step { estimate: SECOND * 2, ..step(1) }]));
    emulator.submit(0, 2, job([Step { estimate: SECOND * 3, ..step(1) }]));
    emulator.run_for(SECOND);
    emulator.workers[0].is_unresponsive = true;
    emulator.run_for(SECOND * 3 / 2);
    emulator.workers[0].discard_ends();
    emulator.run_for(SECOND);
    emulator.workers[0].is_unresponsive = false;
    emulator.run_for(SECOND);
    let missing = only_entry(&emulator, "ends-missing");
    assert!(missing.contains("ends 1 to 1 of w-0 were not read"), "{missing}");
}

/// Guards against a worker that the gate does not wait for, although it sent no listing, without an entry that tells
/// why, and against an entry for each of its refusals.
#[test]
fn a_worker_counts_as_answered_without_a_reason() {
    let mut emulator = ready(8, 3);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(12) }]));
    emulator.run_for(SECOND);
    emulator.workers[0].is_replaced = true;
    replace_leader(&mut emulator, 4 * SECOND);
    let gone = only_entry(&emulator, "worker-gone");
    assert!(gone.contains("w-0 counts as answered: another process has its address"), "{gone}");
    let opened = only_entry(&emulator, "gate-open");
    assert!(opened.contains("all 3 workers have answered"), "{opened}");
}

/// Guards against a gate that opens before the leases have expired, since an unlisted worker that refuses connections counts
/// as answered, and against a gate that such a worker keeps closed for longer.
#[test]
fn an_unlisted_worker_that_refuses_connections_counts_as_answered() {
    let mut emulator = ready(8, 3);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(12) }]));
    emulator.run_for(SECOND);
    emulator.workers[0].is_refusing = true;
    emulator.store.unlist_worker(&emulator.workers[0]);
    replace_leader(&mut emulator, 14 * SECOND);
    assert_eq!(entries(&emulator, "worker-gone"), Vec::<String>::new());
    let opened = only_entry(&emulator, "gate-open");
    let expected = "all leases of earlier terms have expired, 1 of 3 workers unanswered: w-0, after ";
    assert!(opened.contains(expected), "{opened}");
}

/// Guards against a stored job that is answered as unknown without an entry, and against a log that callers flood by
/// asking for the same unknown job, or for many.
#[test]
fn an_answer_that_a_job_is_unknown_leaves_no_entry_or_too_many() {
    let mut emulator = ready(9, 1);
    let leader = emulator.leader().expect("a leader");
    for _ in 0..5 {
        assert_eq!(emulator.read_job(leader, 1), Some(Answer::UnknownJob));
    }
    let read = only_entry(&emulator, "unknown-job");
    assert!(
        read.contains("Job(Id(1))") && read.contains("read of a job that is not known, term 1"),
        "{read}"
    );
    cancel(&mut emulator, 1 - leader, 2);
    let lines = entries(&emulator, "unknown-job");
    assert_eq!(lines.len(), 2, "{lines:#?}");
    assert!(lines[1].contains("cancellation of a job that is not known, term 1"), "{lines:#?}");
    emulator.run_for(10 * SECOND);
    emulator.read_job(leader, 1);
    assert_eq!(entries(&emulator, "unknown-job").len(), 3, "{:#?}", emulator.log);
    for id in 10..1_000 {
        emulator.request(leader, &format!("{PREFIX}{}", Id(id)), Verb::Read);
    }
    assert_eq!(entries(&emulator, "unknown-job").len(), 66, "{:#?}", emulator.log);
}

/// A long-running step of one task that takes a whole worker.
fn whole_worker() -> Step {
    let resources = Resources { cpu_millicores: 8_000, ..step(1).resources };
    Step { is_long_running: true, resources, ..step(1) }
}

/// Entries `waits` of a job.
fn waits_of(emulator: &Emulator, id: u64) -> Vec<String> {
    let subject = format!("subject: Job({:?}),", Id(id));
    entries(emulator, "waits").into_iter().filter(|line| line.contains(&subject)).collect()
}

/// Guards against a task that the gate holds back when its entry is missing, or looks like that of a task for which no
/// worker has room.
#[test]
fn a_task_that_the_gate_holds_back_looks_like_one_without_room() {
    let mut emulator = ready(10, 3);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    let start = only_entry(&emulator, "start");
    let silent = emulator.workers.iter().position(|worker| start.contains(&worker.id)).expect("a worker");
    emulator.workers[silent].is_unresponsive = true;
    replace_leader(&mut emulator, 9 * SECOND);
    let lines = waits_of(&emulator, 1);
    assert!(lines.len() >= 3, "{:#?}", emulator.log);
    for line in &lines {
        assert!(line.contains("held: gate 1 (1 of 3 workers unanswered); candidates: 0;"), "{line}");
        assert!(
            line.contains("workers that take runs: room on 2 of 2, most free 8000 millicores;"),
            "{line}"
        );
    }
    emulator.run_for(6 * SECOND);
    assert_eq!(entries(&emulator, "start").len(), 2, "{:#?}", emulator.log);
    let count = waits_of(&emulator, 1).len();
    emulator.run_for(3 * SECOND);
    assert_eq!(waits_of(&emulator, 1).len(), count, "the task has started: {:#?}", emulator.log);
}

/// Guards against a full deployment that cannot be told from one with room that is not used.
#[test]
fn a_task_without_room_looks_like_one_that_is_held_back() {
    let mut emulator = ready(11, 2);
    for id in 1..=2 {
        emulator.submit(0, id, job([whole_worker()]));
    }
    emulator.run_for(SECOND);
    assert!(entries(&emulator, "waits").is_empty(), "{:#?}", emulator.log);
    emulator.submit(0, 3, job([Step { is_long_running: true, ..step(3) }]));
    emulator.run_for(4 * SECOND);
    let lines = waits_of(&emulator, 3);
    assert!(lines.len() >= 2, "{:#?}", emulator.log);
    let first = format!("3 ready, the first {}.0.0.0 for ", Id(3));
    for line in &lines {
        assert!(line.contains(&first), "{line}");
        assert!(
            line.contains("each long-running task needs 2000 millicores, 1000 MB; held: none;"),
            "{line}"
        );
        let room = "candidates: 3; workers that take runs: room on 0 of 2, most free 0 millicores; \
                    excluded workers: room on 0 of 0,";
        assert!(line.contains(room), "{line}");
    }
    let total = entries(&emulator, "waits-total");
    assert!(
        total[0].contains("ready tasks: 3, groups: 1, groups without an entry: 0; held: none;"),
        "{total:#?}"
    );
}

/// Guards against a task for which only workers have room that take no new runs, when its entry looks like that of a task
/// for which no worker has room, or hides why they take none.
#[test]
fn a_task_with_room_only_on_an_excluded_worker_looks_like_one_without_room() {
    let mut emulator = ready(12, 2);
    emulator.submit(0, 1, job([whole_worker()]));
    emulator.run_for(SECOND);
    for id in 2..=3 {
        let name = Name { job: Id(id), occurrence: 0, step: 0, index: 0 };
        emulator.observer.injected_failures.insert(name, 1);
        emulator.submit(0, id, job([step(1)]));
    }
    emulator.run_for(5 * SECOND);
    only_entry(&emulator, "suspect-worker");
    let lines: Vec<_> = (2..=3).flat_map(|id| waits_of(&emulator, id)).collect();
    assert!(lines.len() >= 2, "{:#?}", emulator.log);
    for line in &lines {
        let room = "candidates: 1; workers that take runs: room on 0 of 1, most free 0 millicores; \
                    excluded workers: room on 1 of 1, most free 8000 millicores: suspected 1 (1 with room)";
        assert!(line.contains(room), "{line}");
    }
}

/// Guards against a task that waits for the store without an entry, since an outage of the store causes no placement passes.
#[test]
fn a_task_that_waits_for_the_store_leaves_no_entry() {
    let mut emulator = ready(14, 1);
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(1) }]));
    emulator.run_for(SECOND);
    emulator.store.is_down = true;
    emulator.restart_worker(0);
    emulator.run_for(4 * SECOND);
    let line = waits_of(&emulator, 1).pop().expect("an entry");
    assert!(line.contains("held: lost run not confirmed 1; candidates: 0;"), "{line}");
    assert!(line.contains(": process not confirmed 1 (1 with room)"), "{line}");
    emulator.run_for(4 * SECOND);
    let line = waits_of(&emulator, 1).pop().expect("an entry");
    assert!(line.contains("candidates: 0, but the leadership is not confirmed;"), "{line}");
}

/// Sum of the numbers that follow `label` in entries.
fn sum_after(lines: &[String], label: &str) -> u64 {
    lines.iter().map(|line| number_after(line, label)).sum()
}

/// Entries `leader-behind`, which only the leader may make, at most one in a second.
fn checked_behind_entries(emulator: &Emulator) -> Vec<String> {
    let leader = emulator.leader().expect("a leader");
    let lines = entries(emulator, "leader-behind");
    for line in &lines {
        assert!(line.contains(&format!(" vm-{leader} ")), "an entry of a follower: {line}");
        assert!(number_after(line, "\"in ") >= 1_000, "{line}");
    }
    lines
}

/// Guards against a leader that is behind without an entry that shows how far and with what work, against a flood of such
/// entries, and against one from a follower.
#[test]
fn a_leader_that_is_behind_leaves_no_entry_or_too_many() {
    const SECONDS: usize = 10;
    let mut emulator = ready(15, 3);
    emulator.lag = SECOND * 3 / 20;
    for id in 1..=4 {
        emulator.submit(0, id, job([step(3)]));
        emulator.run_for(SECOND / 2);
    }
    emulator.run_for(SECOND * (SECONDS as u32 - 2));
    let lines = checked_behind_entries(&emulator);
    assert!((SECONDS - 2..=SECONDS).contains(&lines.len()), "{lines:#?}");
    for line in &lines {
        let (longest, last) = (number_after(line, "longest lag "), number_after(line, " ms, last "));
        assert!((100..=150).contains(&longest) && last <= longest, "{line}");
    }
    let renewals = sum_after(&lines, "renew ");
    assert!((1..=renewals).contains(&sum_after(&lines, "listings: ")), "{lines:#?}");
    let starts = entries(&emulator, "start").len() as u64;
    assert!(starts >= 12, "{:#?}", emulator.log);
    assert_eq!(sum_after(&lines, "start "), starts, "{lines:#?}");
    assert!(sum_after(&lines, "candidates: ") >= starts, "{lines:#?}");
    assert!(sum_after(&lines, "tasks visited: ") >= sum_after(&lines, "candidates: "), "{lines:#?}");
    assert!(sum_after(&lines, "groups visited: ") >= 4, "{lines:#?}");
    let passes = sum_after(&lines, "placement passes: ");
    assert!(passes > 0, "{lines:#?}");
    let (seen, all) = (sum_after(&lines, "worker visits: "), emulator.placement_visits());
    assert!(passes <= seen && seen <= all, "{seen} of {all} visits: {lines:#?}");
    assert!(sum_after(&lines, "; commits: ") > 0, "{lines:#?}");
    assert!(sum_after(&lines, ", changes: ") >= sum_after(&lines, "; commits: "), "{lines:#?}");
    assert!(lines.iter().all(|line| number_after(line, "longest in flight ") < 800), "{lines:#?}");
    assert!(sum_after(&lines, "ends in them: ") >= 12, "{lines:#?}");
}

/// Guards against entries of a leader that is not behind, also after it was. Stops that workers confirm in their polls set
/// renewal timers for times that have passed, which shows no lateness.
#[test]
fn a_leader_that_keeps_up_looks_like_one_that_is_behind() {
    let mut emulator = ready(16, 3);
    emulator.submit(0, 1, job([step(12)]));
    emulator.run_for(SECOND * 5);
    for id in 10..22 {
        emulator.submit(0, id, job([Step { is_long_running: true, ..step(1) }]));
        emulator.run_for(SECOND / 3);
    }
    for id in 10..22 {
        cancel(&mut emulator, 0, id);
    }
    emulator.run_for(SECOND);
    assert_eq!(checked_behind_entries(&emulator), Vec::<String>::new());
    emulator.lag = SECOND / 5;
    emulator.run_for(SECOND * 3);
    emulator.lag = Duration::ZERO;
    emulator.run_for(SECOND * 2);
    let count = checked_behind_entries(&emulator).len();
    assert!(count > 0, "{:#?}", emulator.log);
    emulator.submit(0, 2, job([step(12)]));
    emulator.run_for(SECOND * 5);
    assert_eq!(checked_behind_entries(&emulator).len(), count, "{:#?}", emulator.log);
}

/// Guards against an entry that does not tell the causes of lateness apart: starts without an answer and silent workers, a
/// slow commit, and proofs that tasks wait for.
#[test]
fn an_entry_of_a_late_leader_shows_no_cause() {
    let mut emulator = ready(17, 2);
    emulator.lag = SECOND / 5;
    emulator.run_for(SECOND * 2);
    let calm = checked_behind_entries(&emulator);
    assert!(!calm.is_empty(), "{:#?}", emulator.log);
    assert_eq!(sum_after(&calm, "starts without an answer: "), 0, "{calm:#?}");
    assert_eq!(sum_after(&calm, "workers that became silent: "), 0, "{calm:#?}");
    emulator.store.commit_delay = SECOND / 2;
    for worker in &mut emulator.workers {
        worker.is_unresponsive = true;
    }
    emulator.submit(0, 1, job([Step { is_long_running: true, ..step(2) }]));
    // The commits that store the starts without an answer take effect before the next job is submitted.
    emulator.run_for(SECOND * 7);
    emulator.submit(0, 2, job([Step { is_long_running: true, ..step(5) }]));
    emulator.run_for(SECOND * 4);
    let lines = checked_behind_entries(&emulator);
    let doubtful = entries(&emulator, "start-doubtful").len() as u64;
    let silent = entries(&emulator, "worker-silent").len() as u64;
    assert!(silent > 0, "{:#?}", emulator.log);
    assert_eq!(sum_after(&lines, "starts without an answer: "), doubtful, "{lines:#?}");
    assert_eq!(sum_after(&lines, "workers that became silent: "), silent, "{lines:#?}");
    let unsent = entries(&emulator, "start-not-sent").len() as u64;
    assert_eq!(sum_after(&lines, "starts not sent: "), unsent, "{lines:#?}");
    assert!(lines.iter().any(|line| number_after(line, "longest in flight ") >= 500), "{lines:#?}");
    assert!(lines.iter().any(|line| line.contains("; ready tasks: 5, groups: 1\"")), "{lines:#?}");
}

/// Guards against a leader that has too little processor time for the starts that are asked for, while no entry says that
/// tasks wait beside room, and against such an entry where there is no room.
#[test]
fn a_saturated_leader_looks_like_a_full_deployment() {
    const SECONDS: u32 = 6;
    let mut emulator = ready(18, 4);
    emulator.submit(0, 1, job([Step { count: 4, ..whole_worker() }]));
    emulator.run_for(SECOND);
    emulator.submit(0, 2, job([Step { is_long_running: true, ..step(2) }]));
    emulator.run_for(SECOND * 4);
    assert!(!entries(&emulator, "waits").is_empty(), "{:#?}", emulator.log);
    assert_eq!(entries(&emulator, "leader-saturated"), Vec::<String>::new());
    cancel(&mut emulator, 0, 1);
    emulator.run_for(SECOND);
    let leader = emulator.leader().expect("a leader");
    emulator.limit_processor(leader, 0.02);
    let little = Resources { cpu_millicores: 10, memory_mb: 10, gpu: 0 };
    for id in 10..30 {
        emulator.submit(0, id, job([Step { resources: little, estimate: SECOND * 60, ..step(60) }]));
    }
    emulator.run_for(SECOND * SECONDS);
    let lines = entries(&emulator, "leader-saturated");
    assert!((2..=SECONDS as usize).contains(&lines.len()), "{lines:#?}");
    for line in &lines {
        assert!(number_after(line, "has had room for ") >= 1_000, "{line}");
        assert!(number_after(line, "now room on ") > 0, "{line}");
    }
}

/// Guards against a log that a long queue floods, and against entries for the groups that have waited least.
#[test]
fn hundreds_of_waiting_groups_flood_the_log() {
    const SECONDS: usize = 6;
    let mut emulator = ready(13, 1);
    emulator.submit(0, 1, job([whole_worker()]));
    emulator.run_for(SECOND);
    for (ids, wait) in [(100..130, SECOND / 2), (200..600, (SECONDS as u32) * SECOND)] {
        for id in ids {
            emulator.submit(0, id, job([Step { is_long_running: true, ..step(1) }]));
        }
        emulator.run_for(wait);
    }
    let mut reports: Map<String, Set<u64>> = Map::default();
    for line in entries(&emulator, "waits") {
        let time = line.split(' ').next().expect("a time").to_owned();
        let id = number_after(&line, "Job(Id(");
        assert!((100..130).contains(&id), "a group that has waited less: {line}");
        assert!(reports.entry(time).or_default().insert(id), "a second entry of one report: {line}");
    }
    assert!((SECONDS - 2..=SECONDS).contains(&reports.len()), "{} reports", reports.len());
    assert!(reports.values().all(|ids| ids.len() <= 20), "{reports:?}");
    // Few groups have waited for a second at the time of the first report.
    let full_count = reports.values().filter(|ids| ids.len() == 20).count();
    assert!(full_count + 1 >= reports.len(), "{reports:?}");
    let totals = entries(&emulator, "waits-total");
    assert_eq!(totals.len(), reports.len(), "{totals:#?}");
    let last = totals.last().expect("an entry");
    assert!(
        last.contains("ready tasks: 430, groups: 430, groups without an entry: 410; held: none;"),
        "{last}"
    );
}
