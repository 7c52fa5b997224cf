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
        "gate" => Some(gate(cluster, has_trouble)),
        "big" => Some(big(cluster, has_trouble)),
        "gang" => Some(gang(cluster, has_trouble)),
        "pending" => Some(pending(cluster, has_trouble)),
        "starve" => Some(starve(cluster, has_trouble)),
        "reserve" => Some(reserve(cluster, has_trouble)),
        "cancel" => Some(cancel(cluster, has_trouble)),
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
    cluster.note(&format!(
        "the task was started {} times, and done {} times",
        starts(&cluster, &id),
        count(" done")
    ));
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

/// A worker is lost for good, and the leader is killed.
fn gate(mut cluster: Cluster, has_trouble: bool) -> bool {
    let mut workers: Vec<_> =
        (0..7).map(|index| cluster.start_worker(&cluster.worker_setup(&format!("w{index}")))).collect();
    sleep(ms(3_000));
    let id = cluster.next_id();
    cluster.submit(&format!("/aaaa111/{id}"), &job("daemon", 1, 500, 1_000, ",\"daemon\":true"));
    wait_for(ms(5_000), || !cluster.lines_with(&id).is_empty());
    sleep(ms(2_000));
    let lines = cluster.lines_with(&id);
    let Some((_, on, _)) = lines.first() else { fail("the task is not started") };
    let index: usize = on[1..].parse().unwrap_or(0);
    let Some(leader) = cluster.leader() else { fail("no leader is known") };
    cluster.note(&format!("worker {on} is lost for good"));
    workers[index].kill();
    let lost = Instant::now();
    if has_trouble {
        cluster.note(&format!("vm {leader}, the leader, is killed"));
        cluster.vms[leader].kill();
        sleep(ms(500));
        cluster.restart_vm(leader);
    }
    wait_for(ms(30_000), || starts(&cluster, &id) > 1);
    let waited = lost.elapsed().as_millis();
    cluster.note(&format!("the lasting task starts again after {waited} ms"));
    // Calm for 4 s after the last disruption, and then for 3 s more; from 6 s after the last run.
    waited > 500 + 1_000 + 4_000 + 3_000 && waited > 6_000 + 3_000
}

/// Tasks at a time, and times, of the large job.
const BIG_COUNT: u32 = 150;
const BIG_TIMES: u32 = 850;
const BIG_INTERVAL_MS: u64 = 50;

/// `ack_ms` of the small sites.
const ACK_MS: u128 = 5_000;

/// A job of many tasks at many times, or ten jobs with the same number of tasks.
fn big(mut cluster: Cluster, has_trouble: bool) -> bool {
    let program = Instant::now();
    cluster.count_only();
    let _workers: Vec<_> =
        (0..20).map(|index| cluster.start_worker(&cluster.worker_setup(&format!("w{index}")))).collect();
    sleep(ms(2_000));
    let lasting: Vec<String> = (0..4).map(|_| format!("/aaaa111/{}", cluster.next_id())).collect();
    for path in &lasting {
        cluster.submit(path, &job("daemon", 1, 500, 1_000, ",\"daemon\":true"));
    }
    let jobs = if has_trouble { 1 } else { 10 };
    let (count, times) = (BIG_COUNT / jobs, BIG_TIMES);
    for _ in 0..jobs {
        let path = format!("/bbbb222/{}", cluster.next_id());
        let text = job("ms=10", count, 100, 10, "");
        let (start, interval) = (crate::worker::unix_ms(), BIG_INTERVAL_MS);
        let schedule = format!(",\"start_time_ms\":{start},\"interval_ms\":{interval},\"times\":{times}}}");
        cluster.submit(&path, &(text[..text.len() - 1].to_owned() + &schedule));
    }
    // Until all tasks are done, or for 5 s no job has been accepted.
    let begin = Instant::now();
    let mut accepted = Instant::now();
    while begin.elapsed() < ms(80_000) && accepted.elapsed() < ms(5_000) {
        sleep(ms(1_000));
        let path = format!("/aaaa111/{}", cluster.next_id());
        if cluster.call(0, "POST", &path, &job("ms=10", 1, 500, 10, "")).0 == 200 {
            accepted = Instant::now();
        }
        let ends = cluster.ends();
        cluster.note(&format!("{ends} tasks are done"));
        if ends >= u64::from(BIG_COUNT * BIG_TIMES) {
            break;
        }
    }
    cluster.note("the lasting jobs are cancelled");
    // Each cancel with the time of its first call, until it is answered.
    let mut open: Vec<(String, Option<Instant>)> = lasting.iter().map(|path| (path.clone(), None)).collect();
    let begin = Instant::now();
    while begin.elapsed() < ms(8_000) && !open.is_empty() {
        open.retain_mut(|(path, first)| {
            first.get_or_insert_with(Instant::now);
            !(0..2).any(|vm| matches!(cluster.call(vm, "DELETE", path, "").0, 200 | 410))
        });
        sleep(ms(200));
    }
    let waited = |first: &Option<Instant>| first.map_or(0, |first| first.elapsed().as_millis());
    let waits: Vec<u128> = open.iter().map(|(_, first)| waited(first)).collect();
    let late = waits.iter().filter(|wait| **wait > ACK_MS).count();
    let ends = cluster.ends();
    cluster
        .note(&format!("{ends} tasks are done; cancels without an answer, and for how many ms: {waits:?}"));
    let key = cluster.store.too_large.lock().expect("no panic").clone();
    cluster.note(&format!("the store has refused a value over value_bytes: {key:?}"));
    if has_trouble && key.is_empty() && ends < u64::from(BIG_COUNT * BIG_TIMES) {
        fail("the machine is too slow for the job");
    }
    if let Some(leader) = cluster.leader().filter(|_| !key.is_empty() && program.elapsed() < ms(90_000)) {
        // This is only recorded: whether a new leader helps.
        cluster.vms[leader].kill();
        cluster.restart_vm(leader);
        sleep(ms(15_000));
        let path = format!("/aaaa111/{}", cluster.next_id());
        cluster.call(1 - leader, "POST", &path, &job("ms=10", 1, 500, 10, ""));
        cluster.call(1 - leader, "DELETE", &lasting[0], "");
    }
    late >= 3
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
    while begin.elapsed() < ms(6_100) {
        sleep(ms(200));
        if accepted.elapsed() < ms(5_100) {
            continue;
        }
        let waiting =
            |id: &&String| cluster.lines_with(id).iter().all(|(.., line)| !line.starts_with("start"));
        let before = jobs.iter().filter(waiting).count();
        for vm in 0..2 {
            let (status, body) = cluster.call(vm, "GET", "/bbbb222/", "");
            let pending = Json::parse(body.as_bytes()).and_then(|body| body.get("pending").number());
            let after = jobs.iter().filter(waiting).count();
            cluster.note(&format!(
                "pending {pending:?} at vm {vm}; jobs that no worker has begun: {before}, then {after}"
            ));
            is_broken |=
                status == 200 && pending.is_some_and(|pending| pending * 2 < before.min(after) as u64);
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

/// A worker without runs is lost for good, and then a job of one task that lasts is submitted.
fn reserve(mut cluster: Cluster, has_trouble: bool) -> bool {
    let mut workers: Vec<_> =
        (0..13).map(|index| cluster.start_worker(&cluster.worker_setup(&format!("w{index}")))).collect();
    sleep(ms(3_000));
    let first = format!("/aaaa111/{}", cluster.next_id());
    let text = job("daemon", 11, 10_000, 1_000, ",\"daemon\":true,\"max_per_server\":1");
    cluster.submit(&first, &text);
    if !wait_for(ms(10_000), || cluster.lines_with("start").len() == 11) {
        fail("the first job does not start");
    }
    let started = cluster.lines_with("start");
    let idle = (0..13).find(|index| started.iter().all(|(_, id, _)| *id != format!("w{index}")));
    let Some(idle) = idle else { fail("no worker is left free") };
    if has_trouble {
        cluster.note(&format!("worker w{idle}, which runs nothing, is lost for good"));
        workers[idle].kill();
    }
    sleep(ms(8_000));
    let id = cluster.next_id();
    let path = format!("/aaaa111/{id}");
    cluster.submit(&path, &job("daemon", 1, 7_000, 1_000, ",\"daemon\":true"));
    sleep(ms(40_000));
    cluster.state(&path);
    let count = starts(&cluster, &id);
    cluster.note(&format!("starts of the task in 40 s: {count}; one worker of 16 cores runs nothing"));
    count == 0
}

/// Sends a signal to a process.
fn signal(name: &str, pid: u32) {
    let status = std::process::Command::new("sh").arg("-c").arg(format!("kill -{name} {pid}")).status();
    if !status.is_ok_and(|status| status.success()) {
        crate::cluster::fail("a signal could not be sent");
    }
}

/// An entry VM freezes with a submission in its socket; the client gives up, and cancels the job.
fn cancel(mut cluster: Cluster, has_trouble: bool) -> bool {
    let _workers: Vec<_> =
        (0..3).map(|index| cluster.start_worker(&cluster.worker_setup(&format!("w{index}")))).collect();
    sleep(ms(3_000));
    let Some(leader) = cluster.leader() else { fail("no leader is known") };
    let other = 1 - leader;
    let id = cluster.next_id();
    let path = format!("/bbbb222/{id}");
    let frozen = Instant::now();
    if has_trouble {
        cluster.note(&format!("vm {other} freezes"));
        signal("STOP", cluster.vms[other].id());
    }
    cluster.call(other, "POST", &path, &job("daemon", 2, 500, 1_000, ",\"daemon\":true"));
    let (status, _) = cluster.call(leader, "DELETE", &path, "");
    let acked = Instant::now();
    if has_trouble {
        sleep(ms(3_400).saturating_sub(frozen.elapsed()));
        signal("CONT", cluster.vms[other].id());
        cluster.note(&format!("vm {other} wakes"));
    }
    sleep(ms(13_000));
    cluster.state(&path);
    let is_running = |task: &str| {
        let lines = cluster.lines_with(task);
        lines.last().is_some_and(|(.., line)| line.starts_with("start"))
    };
    let running = (0..2).filter(|index| is_running(&format!("{id}.0.0.{index} "))).count();
    let waited = acked.elapsed().as_millis();
    cluster
        .note(&format!("{running} tasks run {waited} ms after the cancellation was answered with {status}"));
    running > 0 && (status == 200 || status == 410)
}
