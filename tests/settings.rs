//! Parsing and validation of the settings of an entry VM.

use insta::assert_snapshot;
use nutmegfold::core::work::admission::Mode;
use nutmegfold::core::work::tuning::Tuning;
use nutmegfold::finding::Finding;
use nutmegfold::settings::{self, limit::Limits, log::Log};

const EXAMPLE: &str = include_str!("../examples/settings.toml");

fn findings(text: &str) -> String {
    let findings = settings::parse("settings.toml", text).expect_err("the text has faults");
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")
}

/// Guards against an example file that the binary rejects.
#[test]
fn example_has_no_findings() {
    let settings = settings::parse("settings.toml", EXAMPLE).expect("the example is valid");
    assert_eq!(settings.listen.peer.to_string(), "127.0.0.1:8082");
    assert_eq!(settings.limits, Limits::default());
    assert_eq!(settings.tls, None);
}

/// Guards against defaults that apply only if the file has an empty section.
#[test]
fn optional_sections_have_defaults() {
    let short = &EXAMPLE[..EXAMPLE.find("# [tls]").expect("the example shows TLS")];
    let settings = settings::parse("settings.toml", short).expect("the rest is optional");
    assert_eq!((settings.log, settings.limits), (Log::default(), Limits::default()));
}

/// Guards against a report that ends at the first fault.
#[test]
fn faulty_settings_give_all_findings() {
    let faulty = EXAMPLE
        .replace("\"127.0.0.1:8081\"", "\"localhost:8081\"")
        .replace("8082", "8080")
        .replace("127.0.0.1:7070", "0.0.0.0:7070")
        .replace("listing =", "list =")
        .replace("\"info\"", "\"loud\"")
        .replace("\"8 MB\"", "8")
        .replace("4096", "0")
        .replace("# key = ", "[tls]\nkey = ");
    assert_snapshot!(findings(&faulty));
    assert_snapshot!(findings(""));
    assert_snapshot!(findings("name = \n[listen\n"));
}

/// Guards against leases that are taken as expired while workers grant longer ones, since the settings do not state their
/// longest lease.
#[test]
fn a_task_runs_twice_at_once_when_the_settings_do_not_state_the_longest_lease() {
    let text = "name = \"a\"\nzone = \"z\"\n[listen]\ncaller = \"127.0.0.1:8080\"\npeer = \"127.0.0.1:8082\"\n\
                admin = \"127.0.0.1:8081\"\n[platform]\nstore = \"127.0.0.1:7070\"\n[jobs]\nready = \"127.0.0.1:8083\"\n";
    let tuning = |text: &str| {
        let settings = settings::parse("settings.toml", text).expect("valid settings");
        settings.jobs.expect("a section on jobs").tuning()
    };
    let (unstated, stated) = (tuning(text), tuning(&format!("{text}lease_max = \"6000 ms\"\n")));
    assert_eq!(unstated.lease_max, Tuning::default().lease_max);
    assert_eq!(stated.lease_max.as_millis(), 6_000);
    assert_eq!(stated.worker_lease, unstated.worker_lease);
}

/// Guards against a share of the processor time that is out of range and in force, and against a message that does not say
/// which shares are allowed.
#[test]
fn the_share_of_speculative_copies_is_checked() {
    let text = "name = \"a\"\nzone = \"z\"\n[listen]\ncaller = \"127.0.0.1:8080\"\npeer = \"127.0.0.1:8082\"\n\
                admin = \"127.0.0.1:8081\"\n[platform]\nstore = \"127.0.0.1:7070\"\n[jobs]\nready = \"127.0.0.1:8083\"\n";
    let share = |line: &str| {
        let settings = settings::parse("settings.toml", &format!("{text}{line}")).expect("valid settings");
        settings.jobs.expect("a section on jobs").tuning().copy_share_percent
    };
    assert_eq!((share(""), share("copies = 0\n"), share("copies = 50\n")), (5, 0, 50));
    for value in ["51", "-1", "\"5\"", "2.5"] {
        let found = findings(&format!("{text}copies = {value}\n"));
        assert!(found.contains("settings.toml:") && found.contains("jobs.copies"), "{value}: {found}");
    }
    let found = findings(&format!("{text}copies = 51\n"));
    assert!(found.contains("51 is not allowed; expected 0 to 50"), "{found}");
}

/// Guards against a factor that is ignored, or one that would make tasks wait for a slower placement.
#[test]
fn a_far_factor_below_one_is_accepted() {
    let text = |jobs: &str| {
        format!(
            "name = \"a\"\nzone = \"z\"\n[listen]\ncaller = \"127.0.0.1:8080\"\npeer = \"127.0.0.1:8082\"\n\
             admin = \"127.0.0.1:8081\"\n[platform]\nstore = \"127.0.0.1:7070\"\n[jobs]\nready = \"127.0.0.1:8083\"\n{jobs}\n"
        )
    };
    let far_factor = |jobs: &str| {
        let settings = settings::parse("settings.toml", &text(jobs)).expect("valid settings");
        settings.jobs.expect("a section on jobs").tuning().far_factor
    };
    let found = ["", "far_factor = 1", "far_factor = 2.25", "far_factor = 3"].map(far_factor);
    assert_eq!(found, [1.0, 1.0, 2.25, 3.0]);
    let faults =
        ["0.9", "-2", "1e9", "nan", "\"2\""].map(|value| findings(&text(&format!("far_factor = {value}"))));
    assert_snapshot!(faults.join("\n"));
}

/// Guards against admission control that is on by default, and against a misspelt mode that accepts all jobs.
#[test]
fn jobs_are_refused_by_forecast_only_if_the_settings_say_so() {
    let text = "name = \"a\"\nzone = \"z\"\n[listen]\ncaller = \"127.0.0.1:8080\"\npeer = \"127.0.0.1:8082\"\n\
                admin = \"127.0.0.1:8081\"\n[platform]\nstore = \"127.0.0.1:7070\"\n[jobs]\nready = \"127.0.0.1:8083\"\n";
    let mode = |line: &str| {
        let settings = settings::parse("settings.toml", &format!("{text}{line}")).expect("valid settings");
        settings.jobs.expect("a section on jobs").tuning().admission
    };
    assert_eq!(mode(""), Mode::All);
    assert_eq!(mode("admission = \"all\"\n"), Mode::All);
    assert_eq!(mode("admission = \"forecast\"\n"), Mode::Forecast);
    let fault = findings(&format!("{text}admission = \"forcast\"\n"));
    for part in ["settings.toml", "admission", "\"forcast\"", "all, forecast"] {
        assert!(fault.contains(part), "{part} is missing in {fault}");
    }
}

/// Guards against a budget for bodies that never has room for the largest one, or that takes the memory of the process.
#[test]
fn the_budget_for_bodies_follows_from_memory_and_body() {
    let with = |limits: &str| {
        format!("{}[limits]\n{limits}", &EXAMPLE[..EXAMPLE.find("[limits]").expect("a section")])
    };
    let limits = |text: &str| settings::parse("settings.toml", &with(text)).expect("valid settings").limits;
    assert_eq!(limits("memory = \"160 MB\"").budget_bytes, 20_000_000);
    assert_eq!(limits("memory = \"160 MB\"").in_flight, 480);
    assert_eq!(limits("memory = \"512 MB\"").budget_bytes, 64_000_000);
    assert_eq!(limits("body = \"24 MB\"").budget_bytes, 30_000_000);
    assert_eq!(limits("in_flight = 50").per_address, 50);
    for (budget, found) in [("9 MB", 9_000_000), ("90 MB", 90_000_000)] {
        assert_eq!(
            findings(&with(&format!("bodies = \"{budget}\""))),
            format!(
                "settings.toml:25:10: limits.bodies: {found} bytes are not allowed; expected 10000000 (for one body of \
                 8000000 bytes) to 80000000 (half of the memory of 160000000 bytes)"
            )
        );
    }
    assert!(findings(&with("per_address = 0")).contains("limits.per_address: 0 is not allowed"));
    assert!(findings(&with("body_rate = 7")).contains("limits.body_rate: no unit"));
}
