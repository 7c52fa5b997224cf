//! Log output of a process. The test has its own file, because logging can be started only once per process.

use nutmegfold::telemetry::log::start;

/// Guards against a log that loses its last lines, ignores the level, or lacks the process name.
#[test]
fn the_file_has_the_lines_of_the_level() {
    assert!(start("entry-1", "no such level", None).is_err());
    let path = std::env::temp_dir().join(format!("nutmegfold-log-{}.jsonl", std::process::id()));
    let handle = start("entry-1", "info", Some(&path)).expect("first start");
    log::info!(cell = 3; "owned");
    log::debug!("not wanted");
    log::warn!("last");
    drop(handle);
    let text = std::fs::read_to_string(&path).expect("the log file");
    std::fs::remove_file(&path).expect("the log file");
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    let messages: Vec<_> = lines.iter().map(|line| line["message"].as_str().expect("text")).collect();
    assert_eq!(messages, ["owned", "last"]);
    assert!(lines.iter().all(|line| line["process"] == "entry-1" && line["module"] == "log"), "{text}");
    assert_eq!(lines[0]["values"]["cell"], 3);
}
