//! A deployment of three zones in two regions for tests of whole sessions.

use std::time::Duration;

use nutmegfold::core::admin::{Answer, Command};
use nutmegfold::core::time::Instant;
use nutmegfold::core::tuning::Tuning;
use nutmegfold::declare::check::{self, Source};
use nutmegfold::session::Session;

/// The first document: the zones, pools, a service and two jobs.
pub const DOCUMENT: &str = r#"
name = "base"
[[region]]
name = "south"
[[region]]
name = "north"
[[link]]
between = ["south", "north"]
delay = "12 ms"
bandwidth = "30 Mbit/s"
[[zone]]
name = "a"
region = "south"
entry_vms = 3
[[zone]]
name = "b"
region = "south"
entry_vms = 2
[[zone]]
name = "c"
region = "north"
entry_vms = 2
[[pool]]
name = "wa"
zone = "a"
racks = ["r1", "r2"]
count = 4
cores = 16
memory = "60 GB"
[[pool]]
name = "wb"
zone = "b"
racks = ["r3"]
count = 3
cores = 16
memory = "60 GB"
[[pool]]
name = "wc"
zone = "c"
racks = ["r4", "r5"]
count = 3
cores = 16
memory = "60 GB"
[[team]]
name = "desk"
[[service]]
name = "quotes"
team = "desk"
replicas = { min = 6, max = 8 }
cores = 2
memory = "2 GB"
latency_target = "50 ms"
timeout = "2 s"
[[service.route]]
path = "/quote"
idempotent = true
[[service.route]]
path = "/advance"
idempotent = false
[[job]]
name = "plan"
team = "desk"
tasks = 120
cores = 2
memory = "4 GB"
run_time = "20 s"
retries = 50
checkpointable = true
[[job]]
name = "roster"
team = "desk"
tasks = 60
cores = 3
memory = "4 GB"
run_time = "7 s"
retries = 50
checkpointable = false
"#;

/// A second document, which the tests apply and change.
pub const EXTRA: &str = r#"
name = "extra"
[[service]]
name = "rates"
team = "desk"
replicas = { min = 3, max = 8 }
cores = 1
memory = "1 GB"
latency_target = "50 ms"
timeout = "2 s"
[[service.route]]
path = "/"
idempotent = true
"#;

/// Virtual time `seconds` after the start of the session.
pub fn at(seconds: f64) -> Instant {
    Instant((seconds * 1e6) as u64)
}

/// Command that applies a document. The author is added to the text, so that the texts of two authors differ.
pub fn apply(name: &str, text: &str, author: &str) -> Command {
    let (name, text, author) = (name.into(), format!("# {author}\n{text}"), author.into());
    Command::Apply { name, text, base: None, author, applied_s: 0 }
}

/// Session of the deployment, stopped at second 4, when the first configuration is accepted.
pub fn started(seed: u64) -> Session {
    let plan = check::compile(&[Source { name: "base", text: DOCUMENT, is_stored: false }]).expect("valid");
    let mut session = Session::new(&plan, Tuning::default(), seed);
    session.run_for(Duration::from_secs(3));
    let ticket = session.command(0, apply("base", DOCUMENT, "first"));
    session.run_for(Duration::from_secs(1));
    assert_eq!(session.answers.get(&ticket), Some(&Answer::Accepted { version: 1 }));
    session
}
