//! Tests of the command line, which run the binary as a process.

use std::process::{Command, Output};

fn run(args: &[&str]) -> (i32, String, String) {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_nutmegfold")).args(args).output().expect("the binary runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (status.code().expect("exit code"), text(stdout), text(stderr))
}

fn write_temporary_file(name: &str, text: &str) -> String {
    let path = std::env::temp_dir().join(format!("nutmegfold-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("temporary file");
    path.display().to_string()
}

/// Guards against `check` accepting a malformed file, or reporting a finding without its file and line.
#[test]
fn check_reports_each_bad_file_with_its_position() {
    let one = write_temporary_file("one.toml", "name = \"one\"\n\nzone = = 3\n");
    let two = write_temporary_file("two.toml", "name = \"two\n");
    let (code, out, err) = run(&["check", &one, &two]);
    assert_eq!((code, out.as_str()), (1, ""));
    assert!(err.contains(&format!("{one}:3:")), "{err}");
    assert!(err.contains(&format!("{two}:1:")), "{err}");
    let (code, out, _) = run(&["check", "--json", &one, &two]);
    let list: Vec<serde_json::Value> = serde_json::from_str(&out).expect("JSON");
    assert_eq!(code, 1);
    assert!(list.iter().any(|finding| finding["file"] == one && finding["line"] == 3), "{out}");
    std::fs::remove_file(one).expect("temporary file");
    std::fs::remove_file(two).expect("temporary file");
}

/// Guards against a missing file that is reported with the exit code of a finding or of success.
#[test]
fn a_missing_file_has_the_exit_code_of_a_failed_call() {
    for command in ["check", "timeline"] {
        let (code, out, err) = run(&[command, "no-such-file"]);
        assert_eq!((code, out.as_str()), (2, ""), "{command}");
        assert!(err.contains("read no-such-file"), "{err}");
    }
}

/// Guards against a subcommand whose help is missing, is written to stderr or lacks an example.
#[test]
fn every_subcommand_has_help_with_an_example() {
    let (code, out, _) = run(&["--help"]);
    assert_eq!(code, 0);
    for command in ["apply", "check", "drain", "status", "timeline"] {
        assert!(out.contains(command), "{out}");
        let (code, out, err) = run(&[command, "--help"]);
        assert_eq!((code, err.as_str()), (0, ""), "{command}");
        assert!(out.contains(&format!("$ nutmegfold {command} ")) && out.contains("--json"), "{out}");
    }
}

/// Guards against usage errors whose exit code scripts mistake for findings or success.
#[test]
fn usage_errors_have_their_own_exit_code() {
    for args in [
        &["launch"][..],
        &[],
        &["check"],
        &["apply", "desk.toml"],
        &["drain", "w", "--admin", "nowhere"],
        &["status"],
        &["status", "--admin", "127.0.0.1:1", "--why", "roster"],
        &["timeline"],
    ] {
        let (code, out, err) = run(args);
        assert_eq!((code, out.as_str()), (2, ""), "{args:?}");
        assert!(!err.is_empty(), "{args:?}");
    }
}

/// Guards against malformed lines that are dropped without a finding, and against entries that are listed file by file
/// instead of in the order of their times.
#[test]
fn timeline_merges_files_and_reports_malformed_lines() {
    let line = |process: &str, sequence: u64, wall_us: u64| {
        format!(
            "{{\"wall_us\":{wall_us},\"mono_us\":1,\"process\":\"{process}\",\"instance\":1,\"zone\":\"z\",\
             \"sequence\":{sequence},\"subject\":\"cell:0000000a/0\",\"decision\":\"own\",\"reason\":\"r\"}}\n"
        )
    };
    let one = write_temporary_file("one.jsonl", &(line("a", 1, 10) + &line("a", 2, 30) + "{\"torn"));
    let two = write_temporary_file("two.jsonl", &line("b", 1, 20));
    let (code, out, err) = run(&["timeline", "--json", &one, &two]);
    assert_eq!((code, out), (1, line("a", 1, 10) + &line("b", 1, 20) + &line("a", 2, 30)));
    assert!(err.contains(&format!("{one}:3:")), "{err}");
    assert_eq!(run(&["timeline", "--subject", "task", &two]), (0, String::new(), String::new()));
    std::fs::remove_file(one).expect("temporary file");
    std::fs::remove_file(two).expect("temporary file");
}
