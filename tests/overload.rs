//! Tests of a leader with little processor time on a day on which orders get no answer while workers leave: that its work
//! stays within its processor after the trouble, and what callers get.

mod emulator;

use std::sync::LazyLock;
use std::time::Duration;

use emulator::site::{CATCH_UP, PROCESSOR_SHARE, Play, Second, TROUBLE_END};
use nutmegfold::core::work::spec::Name;

/// Time that is examined once the scheduler has had the time to catch up, in milliseconds.
const EXAMINED_MS: u64 = 6_000;

/// Time for which a long-running task may wait with room for it (rule LOST of the users' bench).
const WAIT_MAX_MS: u64 = 3_000;

/// Largest share of the processor that placement may take: `Tuning::place_rest_per_visit` is meant to be several times, so at
/// least twice, as long as the visit before it.
const PLACEMENT_SHARE: f64 = 1.0 / 3.0;

/// Longest time that an input may wait for the processor. Starts need a proof that is younger than 0.3 s less twice the delay
/// of the leader, so one with a longer delay starts nothing.
const INPUT_WAIT_MAX: Duration = Duration::from_millis(150);

/// What is examined after the trouble.
struct Outcome {
    seconds: Vec<Second>,
    most_passes: u64,
    unanswered: (usize, usize),
    waiting: Vec<Name>,
    violations: Vec<String>,
}

static OUTCOME: LazyLock<Outcome> = LazyLock::new(|| {
    let mut play = Play::new(1, true);
    let from = (TROUBLE_END + CATCH_UP.as_millis() as u64).next_multiple_of(1_000);
    let to = from + EXAMINED_MS;
    play.run_until(from);
    play.emulator.most_passes = 0;
    play.run_until(to - WAIT_MAX_MS);
    let waiting = play.waiting_with_room();
    play.run_until(to);
    let still_waiting = play.waiting_with_room();
    Outcome {
        seconds: play.seconds[from as usize / 1_000..].to_vec(),
        most_passes: play.emulator.most_passes,
        unanswered: play.unanswered(play.at(from), play.at(to - WAIT_MAX_MS)),
        waiting: waiting.intersection(&still_waiting).copied().collect(),
        violations: play.emulator.observer.violations.clone(),
    }
});

/// Guards against a leader whose placement takes the processor from the answers of the store and the workers while
/// thousands of tasks wait, so that it stays behind after the trouble is over.
#[test]
fn placement_takes_the_processor_while_many_tasks_wait() {
    let count = OUTCOME.seconds.len() as u32;
    let placement: Duration = OUTCOME.seconds.iter().map(|second| second.used_by_placement).sum();
    let most = Duration::from_secs_f64(PROCESSOR_SHARE * PLACEMENT_SHARE);
    assert!(
        placement / count <= most,
        "placement takes {:?} in a second, at most {most:?}",
        placement / count
    );
}

/// Guards against a leader that is still behind when the trouble is over: it reads ends and proofs too late to start
/// tasks.
#[test]
fn inputs_wait_for_the_processor_after_the_trouble() {
    let waits = OUTCOME.seconds.iter().map(|second| second.longest_wait);
    let longest = waits.max().unwrap_or_default();
    assert!(longest <= INPUT_WAIT_MAX, "an input waited for {longest:?}");
}

/// Guards against passes that run one after the other in one event, without the rest between them in which other events are
/// handled.
#[test]
fn passes_run_without_a_rest_between_them() {
    assert!(OUTCOME.most_passes <= 1, "{} passes in one event", OUTCOME.most_passes);
}

/// Guards against requests that get no answer, and long-running tasks that do not run although there is room, after orders
/// went unanswered and workers have left.
#[test]
fn requests_or_long_running_tasks_wait_after_unanswered_orders() {
    let (unanswered, sent) = OUTCOME.unanswered;
    assert!(sent > 0 && unanswered == 0, "{unanswered} of {sent} requests got no answer in time");
    assert!(OUTCOME.waiting.is_empty(), "these have room and do not run: {:?}", OUTCOME.waiting);
    assert!(OUTCOME.violations.is_empty(), "{:#?}", OUTCOME.violations);
}
