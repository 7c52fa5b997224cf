//! Whole sessions: real reducers with stand-in workers in virtual time.

use std::time::Duration;

use nutmegfold::core::admin::{Answer, Command};
use nutmegfold::core::tuning::Tuning;
use nutmegfold::declare::check::{self, Source};
use nutmegfold::session::Session;

const DOCUMENT: &str = r#"
name = "desk"
[[region]]
name = "south"
[[zone]]
name = "a"
region = "south"
entry_vms = 2
[[zone]]
name = "b"
region = "south"
entry_vms = 2
[[pool]]
name = "pa"
zone = "a"
racks = ["r1", "r2"]
count = 4
cores = 16
memory = "60 GB"
[[pool]]
name = "pb"
zone = "b"
racks = ["r3"]
count = 3
cores = 16
memory = "60 GB"
[[team]]
name = "desk"
[[service]]
name = "quotes"
team = "desk"
replicas = { min = 4, max = 8 }
cores = 2
memory = "2 GB"
latency_target = "50 ms"
timeout = "2 s"
[[service.route]]
path = "/quote"
idempotent = true
[[job]]
name = "plan"
team = "desk"
tasks = 60
cores = 2
memory = "4 GB"
run_time = "3 s"
checkpointable = true
"#;

fn started(seed: u64) -> Session {
    let plan = check::compile(&[Source { name: "desk", text: DOCUMENT, stored: false }]).expect("valid");
    let mut session = Session::new(&plan, Tuning::default(), seed);
    session.run_for(Duration::from_secs(3));
    let ticket = session.command(
        0,
        Command::Apply {
            name: "desk".into(),
            text: DOCUMENT.into(),
            base: None,
            author: "operator".into(),
            applied_s: 0,
        },
    );
    session.run_for(Duration::from_secs(1));
    assert_eq!(session.answers.get(&ticket), Some(&Answer::Accepted { version: 1 }));
    session
}

/// Guards against a deployment that does not do what was declared.
#[test]
fn declared_work_runs() {
    let mut session = started(1);
    session.run_for(Duration::from_secs(60));
    for line in session.lines.iter().take(200) {
        println!("{:>10} {:<12} {:?}", line.at.0, line.vm, line.entry);
    }
    let counts = session.shared.audit.counts();
    println!("{counts:?}");
    assert_eq!(counts.tasks_finished, 60);
    assert_eq!(counts.tasks_run_twice, 0);
    assert_eq!(counts.slots_overcommitted, 0);
    let ticket = session.request(0, "quotes", "/quote");
    session.run_for(Duration::from_secs(1));
    assert!(session.verdicts.contains_key(&ticket));
    println!("{:?}", session.verdicts);
}
