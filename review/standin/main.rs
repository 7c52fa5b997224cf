//! Driver of the review's scripts: starts the project's processes, plays clients, workers and the store around them,
//! and judges what these have seen.
//!
//! `review-standin SCENARIO FOLDER` writes `FOLDER/record.txt`. Exit codes: 0 the rule held, 1 it was broken, 2 the
//! scenario could not run.

mod deployment;
mod http;
mod json;
mod node;
mod record;
mod scenario;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin SCENARIO FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A panic of the driver means that the case couldn't run.
    let outcome = std::panic::catch_unwind(|| scenario::run(scenario, Path::new(folder), has_trouble));
    match outcome {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        _ => ExitCode::from(2),
    }
}
