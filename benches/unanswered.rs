//! Work of a leader of 490 workers with and without orders that get no answer, by second.
//!
//! `cargo bench --bench unanswered` plays the day of `tests/emulator/site.rs` once without and once with its trouble, which
//! lasts from second 10 to 27. Counts and modelled times are the same in each run; the times of passes are those of the machine.

#[path = "../tests/emulator/mod.rs"]
mod emulator;

use std::time::Duration;

use emulator::processor::placement_time;
use emulator::site::{Play, Second};

/// Length of the play in seconds.
const LENGTH_S: u64 = 40;

fn print_second(number: u64, second: &Second, pass_times: &[Duration]) {
    let Second { counts, tally, .. } = second;
    let passes = pass_times.len().max(1) as u32;
    let mean = pass_times.iter().sum::<Duration>() / passes;
    println!(
        "{number:>3} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>6} {:>6} | {:>6} {:>8} {:>8} {:>7} {:>8} {:>9} {:>8} | {:>6} {:>6} {:>6} {:>6} {:>6} {:>5.0} {:>5.0} | {:>7.3} {:>7.3}",
        counts.starts,
        counts.stops,
        counts.renewals,
        counts.paces,
        counts.key_reads,
        counts.commits,
        counts.events,
        second.ended,
        second.doubtful,
        second.not_sent,
        second.lost,
        second.silent,
        tally.passes,
        second.visits,
        tally.workers,
        tally.groups,
        tally.tasks,
        tally.needs,
        tally.runs,
        second.ready_tasks,
        second.ready_groups,
        second.waiting_inputs,
        second.longest_wait.as_millis(),
        pass_times.len(),
        second.used.as_secs_f64() * 1_000.0,
        second.used_by_placement.as_secs_f64() * 1_000.0,
        mean.as_secs_f64() * 1_000.0,
        if tally.passes == 0 {
            0.0
        } else {
            placement_time(tally).as_secs_f64() * 1_000.0 / tally.passes as f64
        },
    );
}

fn measure(has_trouble: bool) {
    println!("trouble: {has_trouble}; per second, times in milliseconds");
    println!(
        "  s starts  stops renewal  paces keyrds commit  events  ended doubtf notsnt   lost silent | passes   visits  workers  groups    tasks     needs     runs |  ready groups  queue wait_ms  timed  used place |   pass  model"
    );
    let mut play = Play::new(1, has_trouble);
    for number in 1..=LENGTH_S {
        play.emulator.pass_times.clear();
        play.run_until(number * 1_000);
        let second = play.seconds[number as usize - 1];
        print_second(number, &second, &play.emulator.pass_times);
    }
    let (unanswered, sent) = play.unanswered(play.at(0), play.at((LENGTH_S - 3) * 1_000));
    println!("{unanswered} of {sent} requests without an answer in time; answers: {:?}", play.answers());
    println!("violations: {}", play.emulator.observer.violations.len());
}

fn main() {
    measure(false);
    measure(true);
}
