//! The cases. Each returns whether its rule was broken.

use std::fs::File;
use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, HOST, fail, wait_for};
use crate::json::Json;
use crate::proxy::{OrderProxy, Proxy};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Configuration with two queues of one service. Those of priority 0 come first.
fn config() -> String {
    let route = |name: &str, prefix: &str, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"type\":\"non_idempotent\",\
             \"timeout_ms\":3000,\"slo_ms\":400,\"priority\":{priority},\"service\":\"svc\",\"max_attempts\":3,\
             \"stretch\":1.5}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"svc\",\"health_path\":\"/health\",\
         \"max_conns\":64,\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":false,\"standby\":false}}],\
         \"limits\":{{}}}}",
        route("first", "/aaaa111/", 0),
        route("second", "/bbbb222/", 2),
    )
}

/// Runs a case; returns whether its rule was broken, `None` if there is no such case.
pub fn run(case: &str, record: File, has_trouble: bool) -> Option<bool> {
    let cluster = Cluster::start(record, 2, &config());
    match case {
        "late" => Some(late(cluster, has_trouble)),
        "crash" => Some(crash(cluster, has_trouble)),
        "starve" => Some(starve(cluster, has_trouble)),
        "gang" => Some(gang(cluster, has_trouble)),
        "pending" => Some(pending(cluster, has_trouble)),
        _ => None,
    }
}

/// Body of a job of one step.
fn job(text: &str, count: u32, cpu: u32, estimate_ms: u32, more: &str) -> String {
    format!(
        "{{\"spec\":\"{text}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem_mb\":100,\
         \"estimate_ms\":{estimate_ms}{more}}}]}}"
    )
}

/// Number of starts of the tasks of a job.
fn starts(cluster: &Cluster, id: &str) -> usize {
    cluster.lines_with(id).iter().filter(|(.., line)| line.starts_with("start")).count()
}

/// An order to start gets no answer and is carried out late, by a worker that has restarted since.
fn late(mut cluster: Cluster, has_trouble: bool) -> bool {
    let mut setup = cluster.worker_setup("w0");
    let proxy = OrderProxy::start(setup.listen);
    setup.public = proxy.address;
    let mut worker = cluster.start_worker(&setup);
    sleep(ms(3_000));
    if has_trouble {
        proxy.arm();
    }
    let id = cluster.next_id();
    let path = format!("/bbbb222/{id}");
    cluster.submit(&path, &job("ms=600", 1, 1_000, 600, ""));
    if has_trouble && !wait_for(ms(1_000), || proxy.has_held()) {
        fail("no start was held back");
    }
    let is_completed = || {
        sleep(ms(100));
        cluster.state(&path) == "completed"
    };
    if !wait_for(ms(8_000), is_completed) {
        fail("the job is not completed");
    }
    sleep(ms(300));
    if has_trouble {
        cluster.note("worker w0 crashes");
        worker.kill();
        sleep(ms(1_000));
        worker = cluster.start_worker(&setup);
        let answer = proxy.deliver(ms(3_000));
        cluster.note(&format!("the late start is carried out: {answer:?}"));
    }
    sleep(ms(4_000));
    cluster.state(&path);
    let count = |how: &str| cluster.lines_with(&id).iter().filter(|(.., line)| line.ends_with(how)).count();
    cluster.note(&format!("the task was started {} times, and done {} times", starts(&cluster, &id), count(" done")));
    // The end as done was acknowledged before the job was shown as completed.
    let mut lines = cluster.lines_with("");
    lines.sort();
    let done = lines.iter().position(|(.., line)| line.contains(&id) && line.ends_with(" done"));
    let acked = done.and_then(|done| {
        lines.iter().skip(done).position(|(.., line)| line.starts_with("acked")).map(|after| done + after)
    });
    let is_start = |line: &str| line.starts_with("start") && line.contains(&id);
    drop(worker);
    acked.is_some_and(|acked| lines.iter().skip(acked).any(|(.., line)| is_start(line)))
}

/// A worker crashes three times, each time shortly after a start there. No run ends as failed.
fn crash(mut cluster: Cluster, has_trouble: bool) -> bool {
    let mut setups: Vec<_> = (0..7).map(|index| cluster.worker_setup(&format!("w{index}"))).collect();
    setups[0].kind = "b".to_owned();
    let mut workers: Vec<_> = setups.iter().map(|setup| cluster.start_worker(setup)).collect();
    sleep(ms(5_000));
    let bodies = [
        ("completed", job("ms=1500", 1, 500, 1_500, ",\"requires\":\"b\"")),
        ("running", job("daemon", 1, 500, 1_500, ",\"daemon\":true,\"requires\":\"b\"")),
    ];
    let mut is_broken = false;
    for (expected, body) in bodies {
        let id = cluster.next_id();
        let path = format!("/bbbb222/{id}");
        cluster.submit(&path, &body);
        for crash in 1..=3 {
            if !has_trouble || !wait_for(ms(15_000), || starts(&cluster, &id) == crash) {
                break;
            }
            sleep(ms(250));
            cluster.note("worker w0 crashes");
            workers[0].kill();
            sleep(ms(1_000));
            workers[0] = cluster.start_worker(&setups[0]);
        }
        sleep(ms(10_000));
        let state = cluster.state(&path);
        let has_failed = cluster.lines_with(&id).iter().any(|(.., line)| line.ends_with("failed"));
        cluster.note(&format!("job {id} is shown as {state}; a run of it ended as failed: {has_failed}"));
        is_broken |= state == "failed" && !has_failed;
        if state != "failed" && state != expected {
            cluster.note("the job is in another state than expected");
        }
    }
    is_broken
}

/// A worker crashes once, shortly after the start of a task that lasts; other tasks start there four times a second.
fn starve(mut cluster: Cluster, has_trouble: bool) -> bool {
    let mut setups: Vec<_> = (0..7).map(|index| cluster.worker_setup(&format!("w{index}"))).collect();
    setups[0].kind = "b".to_owned();
    let mut workers: Vec<_> = setups.iter().map(|setup| cluster.start_worker(setup)).collect();
    sleep(ms(5_000));
    let lasting = cluster.next_id();
    let path = format!("/bbbb222/{lasting}");
    cluster.submit(&path, &job("daemon", 1, 500, 1_500, ",\"daemon\":true,\"requires\":\"b\""));
    wait_for(ms(5_000), || !cluster.lines_with(&lasting).is_empty());
    sleep(ms(250));
    if has_trouble {
        cluster.note("worker w0 crashes");
        workers[0].kill();
        sleep(ms(1_000));
        workers[0] = cluster.start_worker(&setups[0]);
    }
    let body = job("ms=400", 1, 500, 400, ",\"requires\":\"b\"");
    let back = Instant::now();
    while back.elapsed() < ms(40_000) {
        let id = cluster.next_id();
        cluster.submit(&format!("/aaaa111/{id}"), &body);
        sleep(ms(245));
    }
    let own = starts(&cluster, &lasting);
    let others = cluster.lines_with("start").len() - own;
    cluster.note(&format!("starts of the lasting task: {own}; starts of others: {others}"));
    cluster.state(&path);
    // Without the crash the first run goes on.
    own < 1 + usize::from(has_trouble)
}

/// A gang on one worker, while the leader is in the worker's region and then in the other one.
fn gang(mut cluster: Cluster, has_trouble: bool) -> bool {
    let mut setup = cluster.worker_setup("w0");
    setup.cpu = 64_000;
    let proxy = Proxy::start(setup.listen);
    setup.public = proxy.address;
    let _worker = cluster.start_worker(&setup);
    sleep(ms(2_000));
    let body = job("gang=64 ms=4000", 64, 1_000, 4_000, ",\"gang\":true");
    let first = format!("/aaaa111/{}", cluster.next_id());
    cluster.submit(&first, &body);
    if !wait_for(ms(15_000), || {
        sleep(ms(300));
        cluster.state(&first) == "completed"
    }) {
        fail("the first gang is not completed");
    }
    if has_trouble {
        let Some(leader) = cluster.leader() else { fail("no leader is known") };
        cluster.note(&format!("vm {leader}, the leader, is killed; the other one is in the other region"));
        cluster.vms[leader].kill();
        proxy.delay_ms.store(12, Ordering::Relaxed);
        sleep(ms(1_000));
        cluster.restart_vm(leader);
        sleep(ms(6_000));
    }
    let second = format!("/aaaa111/{}", cluster.next_id());
    cluster.submit(&second, &body);
    let is_done = wait_for(ms(40_000), || {
        sleep(ms(500));
        cluster.state(&second) == "completed"
    });
    let alone = cluster.lines_with(" alone").len();
    cluster.note(&format!("the second gang is completed: {is_done}; {alone} runs ended alone"));
    !is_done || alone > 0
}

/// A worker answers starts with 503 while all others are full.
fn pending(mut cluster: Cluster, has_trouble: bool) -> bool {
    let mut workers: Vec<_> =
        (0..7).map(|index| cluster.start_worker(&cluster.worker_setup(&format!("w{index}")))).collect();
    sleep(ms(2_000));
    let path = format!("/bbbb222/{}", cluster.next_id());
    cluster.submit(&path, &job("ms=40000", 6, 16_000, 40_000, ""));
    wait_for(ms(5_000), || cluster.lines_with("start").len() == 6);
    let started = cluster.lines_with("start");
    let Some(index) = (0..7).find(|index| started.iter().all(|(_, id, _)| *id != format!("w{index}"))) else {
        fail("no worker is left free")
    };
    if has_trouble {
        workers[index].tell("busy on");
        sleep(ms(100));
    }
    let begin = Instant::now();
    let mut jobs = Vec::new();
    for _ in 0..12 {
        let id = cluster.next_id();
        if cluster.submit(&format!("/bbbb222/{id}"), &job("ms=500", 1, 1_000, 500, "")) {
            jobs.push(id);
        }
    }
    let accepted = Instant::now();
    let mut is_broken = false;
    while begin.elapsed() < ms(6_400) {
        sleep(ms(200));
        if accepted.elapsed() < ms(5_100) {
            continue;
        }
        let waiting = |id: &&String| cluster.lines_with(id).iter().all(|(.., line)| !line.starts_with("start"));
        let before = jobs.iter().filter(waiting).count();
        for vm in 0..2 {
            let (status, body) = cluster.call(vm, "GET", "/bbbb222/", "");
            let pending = Json::parse(body.as_bytes()).and_then(|body| body.get("pending").number());
            let after = jobs.iter().filter(waiting).count();
            cluster.note(&format!("pending {pending:?} at vm {vm}; jobs that no worker has begun: {before}, then {after}"));
            is_broken |= status == 200 && pending.is_some_and(|pending| pending * 2 < before.min(after) as u64);
        }
    }
    if has_trouble {
        workers[index].tell("busy off");
    }
    sleep(ms(4_000));
    for id in &jobs {
        cluster.state(&format!("/bbbb222/{id}"));
    }
    is_broken
}
