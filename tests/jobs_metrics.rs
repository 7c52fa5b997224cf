//! Metrics of an entry VM that schedules jobs, read over its administration API.

use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use actix_web::rt;
use awc::Client;
use nutmegfold::node::jobs;
use nutmegfold::settings;

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
