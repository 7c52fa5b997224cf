//! Stand-ins and drivers of the cases of the second review.
//!
//! `rig CASE RECORD` runs a case and writes what was sent, answered and run to the file RECORD. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it leaves out the disruption.

mod cases;
mod cluster;
mod http;
mod json;
mod proxy;
mod store;
mod worker;

use std::fs::File;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// Time after which a case is given up.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if args.first().is_some_and(|verb| verb == "worker") {
        let Some(setup) = worker::Setup::parse(&args[1..]) else { return ExitCode::from(2) };
        worker::run(setup);
        return ExitCode::SUCCESS;
    }
    let [case, record] = args.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = File::create(record) else { return ExitCode::from(2) };
    thread::spawn(|| {
        thread::sleep(LIMIT);
        cluster::fail("it takes too long");
    });
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    match cases::run(case, record, has_trouble) {
        Some(true) => ExitCode::from(1),
        Some(false) => ExitCode::SUCCESS,
        None => ExitCode::from(2),
    }
}
