//! Metrics of an entry VM that schedules jobs.

mod emulator;

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::rt;
use awc::Client;
use emulator::{Emulator, job, step};
use nutmegfold::core::work::spec::{Resources, Step};
use nutmegfold::node::jobs;
use nutmegfold::settings;
use nutmegfold::telemetry::metric::Metrics;

/// Interval between two reads of the metrics.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Most reads of the metrics; they take longer in total than the process needs on a busy machine.
const READS_MAX: u32 = 3_000;

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback address");
    listener.local_addr().expect("bound address")
}

async fn read_metrics(admin: SocketAddr) -> String {
    let mut response =
        Client::default().get(format!("http://{admin}/metrics")).send().await.expect("an answer");
    String::from_utf8_lossy(&response.body().await.expect("a complete body")).into_owned()
}

/// Guards against timeline entries that are lost without a sign of it: the log of an incident then lacks decisions, and
/// nothing tells that they were made.
#[cfg(target_os = "linux")]
#[actix_web::test]
async fn lost_timeline_entries_are_in_the_metrics() {
    let [front, admin, peer, store, ready] = std::array::from_fn(|_| free_address());
    // Every write to this device fails. The loss of the store is the first entry, since nothing listens at its address.
    let text = format!(
        "name = \"entry-1\"\nzone = \"z\"\n[listen]\ncaller = \"{front}\"\nadmin = \"{admin}\"\npeer = \"{peer}\"\n\
         [platform]\nstore = \"{store}\"\n[jobs]\nready = \"{ready}\"\nlease_max = \"5000 ms\"\n\
         retention = \"60 s\"\n[log]\ntimeline = \"/dev/full\"\n"
    );
    let settings = settings::parse("test", &text).expect("valid settings");
    let _running = jobs::start(&settings).expect("a process");
    for _ in 0..READS_MAX {
        let metrics = read_metrics(admin).await;
        let count =
            metrics.lines().find_map(|line| line.strip_prefix("nutmegfold_timeline_entries_lost_total "));
        if count.expect("the metric exists").parse::<u64>().expect("a number") > 0 {
            return;
        }
        rt::time::sleep(READ_INTERVAL).await;
    }
    panic!("no lost entry is counted: {}", read_metrics(admin).await);
}

/// Value of a metric of an emulated leader, whose reports are recorded in the order in which they were made.
fn metric(emulator: &Emulator, name: &str) -> f64 {
    let metrics = Metrics::new().expect("exporter");
    for report in &emulator.reports {
        metrics.record_leader(report);
    }
    let text = metrics.render().expect("text");
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.unwrap_or_else(|| panic!("no {name} in {text}")).parse().expect("a number")
}

/// Guards against the work of a leader that is missing in the metrics while it keeps up, with which that of a leader that is
/// behind is compared.
#[test]
fn the_work_of_a_leader_that_keeps_up_is_in_the_metrics() {
    let mut emulator = Emulator::new(1, 2, 3);
    emulator.run_for(Duration::from_secs(2));
    emulator.submit(0, 1, job([step(30)]));
    emulator.run_for(Duration::from_secs(10));
    let start_count = emulator.log.iter().filter(|line| line.contains("decision: \"start\"")).count();
    assert!(start_count >= 30, "{:#?}", emulator.log);
    assert!((10..=12).contains(&emulator.reports.len()), "{:#?}", emulator.reports);
    let work = |kind: &str| metric(&emulator, &format!("nutmegfold_leader_work_total{{kind=\"{kind}\"}}"));
    let orders =
        |kind: &str| metric(&emulator, &format!("nutmegfold_leader_orders_total{{kind=\"{kind}\"}}"));
    assert_eq!(orders("start"), start_count as f64);
    assert!(orders("renew") > 0.0 && work("listing") > 0.0 && work("listed-end") >= 30.0);
    assert!(work("pass") > 0.0 && work("group-visit") > 0.0);
    assert!(work("worker-visit") > 0.0 && work("worker-visit") <= emulator.placement_tally().workers as f64);
    assert!(work("candidate") >= start_count as f64 && work("task-visit") >= work("candidate"));
    assert!(work("commit") > 0.0 && work("commit-change") >= work("commit"));
    assert_eq!(metric(&emulator, "nutmegfold_leader_lag_seconds"), 0.0);
    assert_eq!(metric(&emulator, "nutmegfold_leader_ready_tasks"), 0.0);
    emulator.lag = Duration::from_millis(150);
    emulator.run_for(Duration::from_secs(2));
    assert!(metric(&emulator, "nutmegfold_leader_lag_seconds") >= 0.15);
}

/// Guards against a former leader that still shows a backlog in its metrics.
#[test]
fn a_former_leader_shows_no_backlog() {
    let mut emulator = Emulator::new(2, 1, 1);
    emulator.run_for(Duration::from_secs(2));
    emulator.submit(0, 1, job([step(300)]));
    emulator.run_for(Duration::from_secs(2));
    assert!(metric(&emulator, "nutmegfold_leader_ready_tasks") > 0.0, "{:#?}", emulator.reports);
    assert_eq!(metric(&emulator, "nutmegfold_leader_ready_groups"), 1.0);
    emulator.store.revoke_leases();
    for _ in 0..READS_MAX {
        if emulator.leader().is_none() {
            break;
        }
        emulator.run_for(Duration::from_millis(1));
    }
    // Without the store, the process does not lead again.
    emulator.store.is_down = true;
    emulator.run_for(Duration::from_secs(3));
    assert!(emulator.log.iter().any(|line| line.contains("step-down")), "{:#?}", emulator.log);
    for name in ["ready_tasks", "ready_groups", "queued_changes", "lag_seconds"] {
        assert_eq!(metric(&emulator, &format!("nutmegfold_leader_{name}")), 0.0, "{name}");
    }
}

/// Guards against a backlog that nothing explains: the metrics and the log show which kind of run occupies the workers, and
/// the room that is left.
#[test]
fn the_occupancy_of_workers_is_in_the_metrics_and_the_log() {
    let mut emulator = Emulator::new(3, 1, 2);
    emulator.run_for(Duration::from_secs(2));
    let need = |cpu_millicores| Resources { cpu_millicores, memory_mb: 100, gpu: 0 };
    let long_running = Step { resources: need(5_000), is_long_running: true, ..step(2) };
    let ending = Step { resources: need(1_000), estimate: Duration::from_secs(60), ..step(1) };
    let waiting = Step { resources: need(4_000), ..step(1) };
    for (id, step) in (1..).zip([long_running, ending, waiting]) {
        emulator.submit(0, id, job([step]));
        // Jobs that are submitted together are placed in an order of their own.
        emulator.run_for(Duration::from_millis(50));
    }
    emulator.run_for(Duration::from_secs(4));
    let cores = |kind: &str, state: &str| {
        let labels = format!("kind=\"{kind}\",service=\"desk\",state=\"{state}\"");
        metric(&emulator, &format!("nutmegfold_leader_cores{{{labels}}}"))
    };
    assert_eq!(cores("long-running", "reserved"), 10.0);
    assert_eq!(cores("ending", "reserved"), 1.0);
    assert_eq!(cores("filling", "reserved"), 0.0);
    assert_eq!(metric(&emulator, "nutmegfold_leader_free_cores{service=\"desk\"}"), 5.0);
    assert_eq!(metric(&emulator, "nutmegfold_leader_largest_free_cores{service=\"desk\"}"), 3.0);
    assert_eq!(metric(&emulator, "nutmegfold_leader_workers_without_long_running{service=\"desk\"}"), 0.0);
    let text = "long-running 2 runs, 10 cores reserved";
    assert!(
        emulator.log.iter().any(|line| line.contains("\"occupancy\"") && line.contains(text)),
        "{:#?}",
        emulator.log
    );
}
