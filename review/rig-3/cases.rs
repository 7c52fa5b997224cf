//! The cases. Each plays the same with and without its trouble.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::worker::{Profile, Work, Worker, unix_ms};
use crate::{Outcome, Record, Rig};

/// Largest value of the store, as in the settings that DEPLOY.md shows.
const VALUE_BYTES: usize = 1_048_576;

const HOST: &str = "desk.example";
const OTHER_HOST: &str = "ledger.example";

/// Id of the job that a case is about.
const JOB: &str = "00000000000000aa";

/// A job of one task.
const SMALL_JOB: &str = r#"{"spec":"small","steps":[{"count":1,"cpu":500,"mem_mb":256,"estimate_ms":300}]}"#;

/// A job of one task that lasts.
const LASTING_JOB: &str =
    r#"{"spec":"lasting","steps":[{"count":1,"cpu":100,"mem_mb":64,"estimate_ms":300,"daemon":true}]}"#;

/// Bounds of the small deployment that SYSTEM.md describes.
const ACK: Duration = Duration::from_millis(5_000);
const FINISH: Duration = Duration::from_secs(14);
const HEARTBEAT: Duration = Duration::from_millis(1_100);

/// Ends of processes on one machine that make a fault, and the fewest machines.
const FAULT_ENDS: u32 = 3;
const FAULT_MACHINES: usize = 2;

pub fn play(case: &str, record: &Record) -> Outcome {
    let mut rig = Rig::new(record.clone(), VALUE_BYTES);
    record.line(format!("case {case}, trouble: {}", rig.has_trouble));
    match case {
        "images" => images(&mut rig),
        "value" => value(&mut rig),
        "times" => times(&mut rig),
        "closed" => closed(&mut rig),
        "kind" => kind(&mut rig),
        "attempts" => attempts(&mut rig),
        "crashes" => crashes(&mut rig),
        "underway" => underway(&mut rig),
        "letters" => letters(&mut rig),
        "host" => host(&mut rig),
        "queues" => queues(&mut rig),
        _ => Outcome::NotRun,
    }
}

/// Route of the configuration: name, host, prefix, service.
type Route<'a> = (&'a str, &'a str, &'a str, &'a str);

fn write_config(rig: &Rig, routes: &[Route]) {
    write_version(rig, 1, 3, routes);
}

/// Writes a version of the configuration, in which all queues have this number of attempts.
fn write_version(rig: &Rig, version: u32, attempts: u32, routes: &[Route]) {
    let route = |(name, host, prefix, service): &Route| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\"service\":\"{service}\",\
             \"priority\":1,\"max_attempts\":{attempts},\"stretch\":2.0,\"slo_ms\":1000}}"
        )
    };
    let service = |(.., service): &Route| format!("{{\"name\":\"{service}\",\"enforces_capacity\":false}}");
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{}}}}",
        routes.iter().map(route).collect::<Vec<_>>().join(","),
        routes
            .iter()
            .map(service)
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect::<Vec<_>>()
            .join(",")
    );
    rig.record.line(format!("op/config: {text}"));
    rig.store.write("op/config", &text);
}

fn profile(index: usize, service: &str) -> Profile {
    let zone = ["basirhat", "siliguri", "canning"][index % 3];
    Profile {
        id: format!("w-{service}-{index}"),
        service: service.to_owned(),
        zone: zone.to_owned(),
        cpu: 16_000,
        mem_mb: 64_000,
        labels: vec!["a".to_owned(), format!("r{}-{}", index % 3, index / 3)],
    }
}

fn constant(time: Duration) -> Work {
    Arc::new(move |_| (time, "done"))
}

/// Starts one queue with `count` workers, and three entry VMs; false if they don't get ready.
fn start_desk(rig: &mut Rig, count: usize, work: &Work) -> bool {
    write_config(rig, &[("quotes", HOST, "/quotes/", "desk")]);
    for index in 0..count {
        rig.add_worker(profile(index, "desk"), work);
    }
    rig.start_vms(3)
}

fn path(number: u64) -> String {
    format!("/quotes/{number:016x}")
}

/// Asks for jobs at all VMs until each is shown as `completed`, for `time` at most. Returns those that are not, each with the
/// last state that was shown.
fn unfinished(rig: &mut Rig, paths: &[String], time: Duration) -> Vec<(String, Option<String>)> {
    let until = Instant::now() + time;
    let mut open: Vec<(String, Option<String>)> = paths.iter().map(|path| (path.clone(), None)).collect();
    while !open.is_empty() && Instant::now() < until {
        for vm in 0..rig.vms.len() {
            for (path, state) in &mut open {
                if Instant::now() < until && state.as_deref() != Some("completed") {
                    *state = rig.state(vm, HOST, path).or(state.take());
                }
            }
            open.retain(|(_, state)| state.as_deref() != Some("completed"));
        }
        rig.pass(Duration::from_millis(1_000));
    }
    open
}

/// Jobs name the images of their steps: one image for each build, or nine images for all.
fn images(rig: &mut Rig) -> Outcome {
    const JOBS: u64 = 12_000;
    const CLIENTS: usize = 4;
    const FEW_IMAGES: u64 = 9;
    if !start_desk(rig, 6, &constant(Duration::from_millis(200))) {
        return Outcome::NotRun;
    }
    let fronts: Vec<SocketAddr> = rig.vms.iter().map(|vm| vm.front).collect();
    let (next, accepted, has_trouble) =
        (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)), rig.has_trouble);
    let statuses = Arc::new(Mutex::new(std::collections::BTreeMap::<u16, u64>::new()));
    rig.record
        .line("clients submit jobs of one task, each with an image of its own if there is trouble, as in:");
    for client in 0..CLIENTS {
        let (fronts, next, accepted) = (fronts.clone(), Arc::clone(&next), Arc::clone(&accepted));
        let (statuses, record) = (Arc::clone(&statuses), rig.record.clone());
        thread::spawn(move || {
            loop {
                let number = next.fetch_add(1, Ordering::SeqCst);
                if number >= JOBS {
                    return;
                }
                let build = if has_trouble { number } else { number % FEW_IMAGES };
                let image = format!("desk/quote:build-{build:05}");
                let body = format!(
                    "{{\"spec\":\"quote {number}\",\"steps\":[{{\"count\":1,\"cpu\":500,\"mem_mb\":256,\
                     \"estimate_ms\":200,\"image\":\"{image}\"}}]}}"
                );
                for attempt in 0..5 {
                    let to = fronts[(number as usize + attempt + client) % fronts.len()];
                    let headers = [("Host", HOST), ("X-Timeout-Ms", "3000")];
                    let timeout = Duration::from_millis(3_200);
                    let answer = http::call(to, "POST", &path(number), &headers, &body, timeout);
                    let status = answer.map_or(0, |answer| answer.status);
                    *statuses.lock().expect("statuses").entry(status).or_default() += 1;
                    if number % 400 == 0 {
                        record.line(format!("{to} <- POST {} {body} -> {status}", path(number)));
                    }
                    if status == 200 {
                        accepted.fetch_add(1, Ordering::SeqCst);
                        break;
                    }
                    thread::sleep(Duration::from_millis(500));
                }
            }
        });
    }
    let has_fault =
        |rig: &Rig| rig.memory_ends.iter().filter(|ends| **ends >= FAULT_ENDS).count() >= FAULT_MACHINES;
    let until = Instant::now() + Duration::from_secs(85);
    while Instant::now() < until && !has_fault(rig) {
        rig.pass(Duration::from_secs(1));
        let memory: Vec<u64> = rig.vms.iter().map(|vm| vm.memory_mb().0).collect();
        rig.record.line(format!(
            "{} jobs sent, {} accepted, {} tasks started, {} done; answers by status (0: none) {:?}; memory in MB {memory:?}, \
             processes ended over the limit {:?}",
            next.load(Ordering::SeqCst).min(JOBS),
            accepted.load(Ordering::SeqCst),
            rig.log.count("", "start"),
            rig.log.count("", "done"),
            statuses.lock().expect("statuses"),
            rig.memory_ends
        ));
        if next.load(Ordering::SeqCst) >= JOBS + CLIENTS as u64 {
            break;
        }
    }
    if has_fault(rig) { Outcome::Broken } else { Outcome::Held }
}

/// A job with many occurrences is worked off; small jobs come beside it, and lasting jobs are cancelled in the end.
fn value(rig: &mut Rig) -> Outcome {
    /// Longest time in which the job is worked off, and time for which the small jobs go on after a refused commit.
    const WORK: Duration = Duration::from_secs(70);
    const AFTER: Duration = Duration::from_secs(12);
    const LASTING: u64 = 10;
    const LASTING_FIRST: u64 = 0xd000_0000;
    const SMALL_FIRST: u64 = 0xb000_0000;
    let work: Work = Arc::new(|task| {
        let time = match task {
            _ if task.starts_with(JOB) => Duration::ZERO,
            _ if task.starts_with("00000000d") => Duration::from_secs(1_000),
            _ => Duration::from_millis(300),
        };
        (time, "done")
    });
    if !start_desk(rig, 12, &work) {
        return Outcome::NotRun;
    }
    for number in 0..LASTING {
        if !rig.submit(HOST, &path(LASTING_FIRST + number), LASTING_JOB, 5) {
            return Outcome::NotRun;
        }
    }
    let occurrences = if rig.has_trouble { 1_250 } else { 300 };
    let step = r#"{"count":5,"cpu":10,"mem_mb":10,"estimate_ms":100}"#;
    let body = format!(
        "{{\"spec\":\"recurring\",\"steps\":[{}],\"start_time_ms\":{},\"interval_ms\":40,\"times\":{occurrences}}}",
        vec![step; 20].join(","),
        unix_ms()
    );
    if !rig.submit(HOST, &format!("/quotes/{JOB}"), &body, 5) {
        return Outcome::NotRun;
    }
    rig.record.line(format!("that job has 20 steps of 5 tasks and {occurrences} occurrences, 40 ms apart"));
    let (mut accepted, mut not_accepted, mut number) = (Vec::new(), 0, 0);
    let (begun, mut refused_at) = (Instant::now(), None);
    while begun.elapsed() < WORK && refused_at.is_none_or(|at: Instant| at.elapsed() < AFTER) {
        rig.pass(Duration::from_secs(1));
        number += 1;
        if rig.submit(HOST, &path(SMALL_FIRST + number), SMALL_JOB, 1) {
            accepted.push(path(SMALL_FIRST + number));
        } else {
            not_accepted += 1;
        }
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        if load(&rig.store.too_large) > 0 {
            refused_at.get_or_insert_with(Instant::now);
        }
        if !rig.has_trouble && rig.log.count(JOB, "noted") == 100 * occurrences {
            break;
        }
        rig.record.line(format!(
            "of the recurring job {} tasks are done and {} ends acknowledged; largest value offered to the store: {} bytes, \
             commits refused for a value over {VALUE_BYTES}: {}; small jobs accepted {}, not {not_accepted}",
            rig.log.count(JOB, "done"),
            rig.log.count(JOB, "noted"),
            load(&rig.store.largest),
            load(&rig.store.too_large),
            accepted.len()
        ));
    }
    rig.record.line("the clients of the lasting jobs cancel them");
    let began = Instant::now();
    let mut open: Vec<String> = (0..LASTING).map(|number| path(LASTING_FIRST + number)).collect();
    while !open.is_empty() && began.elapsed() < ACK {
        let vm = began.elapsed().as_millis() as usize % rig.vms.len();
        open.retain(|path| {
            let answer = (began.elapsed() < ACK).then(|| rig.ask(vm, "DELETE", HOST, path, "")).flatten();
            !answer.is_some_and(|answer| matches!(answer.status, 200..=299 | 410))
        });
        thread::sleep(Duration::from_millis(200));
    }
    accepted.push(format!("/quotes/{JOB}"));
    let late = unfinished(rig, &accepted, FINISH);
    rig.record.line(format!(
        "{} of {LASTING} cancels without 2xx or 410 after {} ms; not shown as completed {} s after the last request: {late:?}; \
         {not_accepted} of {number} small jobs were not accepted",
        open.len(),
        ACK.as_millis(),
        FINISH.as_secs()
    ));
    if open.len() >= 3 || !late.is_empty() { Outcome::Broken } else { Outcome::Held }
}

/// A job that runs many times is submitted while other jobs are at work.
fn times(rig: &mut Rig) -> Outcome {
    if !start_desk(rig, 6, &constant(Duration::from_millis(800))) {
        return Outcome::NotRun;
    }
    let step = |after: &str| format!("{{\"count\":4,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":800{after}}}");
    let steps: Vec<String> = (0..8)
        .map(|step_number| {
            step(&if step_number == 0 { String::new() } else { format!(",\"after\":[{}]", step_number - 1) })
        })
        .collect();
    let chain = format!("{{\"spec\":\"chain\",\"steps\":[{}]}}", steps.join(","));
    let paths: Vec<String> = (0..5).map(|number| path(0xb000_0000 + number)).collect();
    for path in &paths {
        if !rig.submit(HOST, path, &chain, 5) {
            return Outcome::NotRun;
        }
    }
    let count = if rig.has_trouble { 600_000 } else { 60 };
    let body = format!(
        "{{\"spec\":\"many\",\"steps\":[{{\"count\":1,\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":800}}],\
         \"start_time_ms\":{},\"times\":{count}}}",
        unix_ms()
    );
    rig.submit(HOST, &format!("/quotes/{JOB}"), &body, 2);
    for second in 0..30 {
        rig.pass(Duration::from_secs(1));
        let memory: Vec<u64> = rig.vms.iter().map(|vm| vm.memory_mb().0).collect();
        rig.record.line(format!(
            "{second} s later: memory in MB {memory:?}, processes ended over the limit {:?}; tasks done: {} of the chains, {} of the job that runs many times",
            rig.memory_ends, rig.log.count("00000000b", "done"), rig.log.count(JOB, "done")
        ));
    }
    let late = unfinished(rig, &paths, FINISH);
    rig.record.line(format!("chains not shown as completed: {late:?}"));
    if late.is_empty() { Outcome::Held } else { Outcome::Broken }
}

/// The order to start the only task of an occurrence gets no answer and is carried out late; before that, the leader changes
/// and the worker restarts under its id.
fn closed(rig: &mut Rig) -> Outcome {
    if !start_desk(rig, 8, &constant(Duration::from_millis(200))) {
        return Outcome::NotRun;
    }
    let task = format!("{JOB}.0.0.0");
    if rig.has_trouble {
        rig.workers.iter().for_each(|worker| worker.delay_start(&task));
    }
    let body = format!(
        "{{\"spec\":\"recurring\",\"steps\":[{{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"estimate_ms\":200}}],\
         \"start_time_ms\":{},\"interval_ms\":20000,\"times\":2}}",
        unix_ms()
    );
    if !rig.submit(HOST, &format!("/quotes/{JOB}"), &body, 3) {
        return Outcome::NotRun;
    }
    if !rig.wait(Duration::from_secs(5), |rig| rig.log.count(&task, "done") > 0) {
        return Outcome::NotRun;
    }
    rig.record.line("a run of the first occurrence is done");
    if rig.has_trouble {
        let Some(worker) = rig.workers.iter().find(|worker| worker.delay().is_some()).cloned() else {
            return Outcome::NotRun;
        };
        rig.record.line(format!("its order was sent again; the first one waits, since {:?}", worker.delay()));
        thread::sleep(Duration::from_millis(500));
        let Some(leader) = rig.leader() else { return Outcome::NotRun };
        rig.record.line(format!("{}, which leads, is killed and started again", rig.vms[leader].name));
        rig.vms[leader].kill();
        thread::sleep(Duration::from_secs(1));
        rig.vms[leader].spawn();
        // The order is carried out 12 s after it arrived at the latest, and the worker needs a second to restart.
        let left = Duration::from_secs(10).saturating_sub(worker.delay().unwrap_or_default());
        let is_noted = rig.wait(left, |rig| rig.log.count(&task, "noted") > 0);
        rig.record.line(format!("the end is taken note of: {is_noted}"));
        rig.wait(left, |_| worker.since_answer() < Duration::from_millis(30));
        worker.crash();
        thread::sleep(Duration::from_millis(400));
        worker.restart();
        worker.register();
        let delay = worker.delay();
        let answers = worker.carry_out();
        rig.record.line(format!(
            "the worker has crashed and is up again; {delay:?} after its arrival the order is carried out: {answers:?}"
        ));
    } else {
        rig.wait(Duration::from_secs(10), |rig| rig.log.count(&task, "noted") > 0);
    }
    thread::sleep(Duration::from_secs(3));
    rig.record_runs(JOB);
    judge_twice(rig)
}

/// A worker crashes and starts again under its id as one of another kind; its entry follows a heartbeat later.
fn kind(rig: &mut Rig) -> Outcome {
    write_config(rig, &[("quotes", HOST, "/quotes/", "desk")]);
    let work = constant(Duration::from_millis(200));
    for index in 0..8 {
        let mut profile = profile(index, "desk");
        profile.labels[0] = if index == 0 { "a" } else { "b" }.to_owned();
        rig.add_worker(profile, &work);
    }
    if !rig.start_vms(3) {
        return Outcome::NotRun;
    }
    let worker = Arc::clone(&rig.workers[0]);
    let body = r#"{"spec":"needs a","steps":[{"count":4,"cpu":2000,"mem_mb":256,"estimate_ms":200,"requires":"a"}]}"#;
    let mut restarted_at = None;
    let mut is_registered = false;
    for round in 0..60u64 {
        rig.submit(HOST, &path(0xc000_0000 + round), body, 3);
        if rig.has_trouble && round == 20 {
            rig.record.line("w-desk-0, of kind a, crashes");
            worker.crash();
        }
        if rig.has_trouble && round == 25 {
            worker.profile.lock().expect("profile").labels[0] = "b".to_owned();
            worker.restart();
            rig.record.line(format!("w-desk-0 is up again as one of kind b, born {}", worker.born()));
            restarted_at = Some(Instant::now());
        }
        if !is_registered && restarted_at.is_some_and(|at| at.elapsed() >= HEARTBEAT) {
            is_registered = true;
            worker.register();
            rig.record.line("w-desk-0 writes its entry");
        }
        thread::sleep(Duration::from_millis(100));
    }
    let born = worker.born();
    let is_wrong = |event: &&crate::worker::Event| {
        event.what == "start" && event.worker == "w-desk-0" && event.born == born && restarted_at.is_some()
    };
    let events = rig.log.all();
    let wrong: Vec<_> = events.iter().filter(is_wrong).collect();
    rig.record.line(format!(
        "{} tasks were started, {} of them on a worker without the label that they require:",
        rig.log.count("", "start"),
        wrong.len()
    ));
    for event in &wrong {
        rig.record.line(format!(
            "{:.3} s: run {} of {} on {} (born {})",
            event.at.as_secs_f64(),
            event.run,
            event.task,
            event.worker,
            event.born
        ));
    }
    if wrong.is_empty() { Outcome::Held } else { Outcome::Broken }
}

/// Two jobs, whose ids differ in the case of their letters only.
fn letters(rig: &mut Rig) -> Outcome {
    if !start_desk(rig, 3, &constant(Duration::from_millis(200))) {
        return Outcome::NotRun;
    }
    let ids = if rig.has_trouble {
        ["00000000000000ce", "00000000000000CE"]
    } else {
        ["00000000000000ce", "00000000000000cf"]
    };
    let body = |spec: &str| SMALL_JOB.replace("small", spec);
    for (id, spec) in ids.iter().zip(["first", "second"]) {
        if !rig.submit(HOST, &format!("/quotes/{id}"), &body(spec), 3) {
            return Outcome::Held;
        }
    }
    thread::sleep(Duration::from_secs(5));
    for id in ids {
        rig.state(1, HOST, &format!("/quotes/{id}"));
    }
    rig.record_runs("");
    let events = rig.log.all();
    let has_run = |id: &str, spec: &str| {
        events
            .iter()
            .any(|event| event.what == "start" && event.task == format!("{id}.0.0.0") && event.spec == spec)
    };
    if has_run(ids[0], "first") && has_run(ids[1], "second") { Outcome::Held } else { Outcome::Broken }
}

/// Two queues on two hosts; a client of one sends a header that names the host of the other.
fn host(rig: &mut Rig) -> Outcome {
    write_config(rig, &[("quotes", HOST, "/q/", "desk"), ("ledger", OTHER_HOST, "/q/", "ledger")]);
    let work = constant(Duration::from_millis(200));
    for index in 0..3 {
        rig.add_worker(profile(index, "desk"), &work);
        rig.add_worker(profile(index, "ledger"), &work);
    }
    if !rig.start_vms(3) {
        return Outcome::NotRun;
    }
    let mut headers = vec![("Host", HOST)];
    if rig.has_trouble {
        headers.push(("X-Forwarded-Host", OTHER_HOST));
    }
    rig.ask_with(0, "POST", &headers, &format!("/q/{JOB}"), SMALL_JOB);
    thread::sleep(Duration::from_secs(3));
    rig.record_runs(JOB);
    let is_wrong =
        rig.log.all().iter().any(|event| event.what == "start" && event.worker.starts_with("w-ledger"));
    if is_wrong { Outcome::Broken } else { Outcome::Held }
}

/// Jobs in two queues, with the same id.
fn queues(rig: &mut Rig) -> Outcome {
    write_config(rig, &[("quotes", HOST, "/q/", "desk"), ("ledger", OTHER_HOST, "/l/", "ledger")]);
    let work = constant(Duration::from_millis(200));
    for index in 0..3 {
        rig.add_worker(profile(index, "desk"), &work);
        rig.add_worker(profile(index, "ledger"), &work);
    }
    if !rig.start_vms(3) {
        return Outcome::NotRun;
    }
    let other = if rig.has_trouble { JOB } else { "00000000000000ab" };
    rig.submit(HOST, &format!("/q/{JOB}"), &SMALL_JOB.replace("small", "first"), 3);
    let is_accepted =
        rig.submit(OTHER_HOST, &format!("/l/{other}"), &SMALL_JOB.replace("small", "second"), 3);
    thread::sleep(Duration::from_secs(5));
    rig.state(1, OTHER_HOST, &format!("/l/{other}"));
    rig.record_runs("");
    let has_run = rig.log.all().iter().any(|event| event.what == "start" && event.spec == "second");
    if is_accepted && !has_run { Outcome::Broken } else { Outcome::Held }
}

/// The rule TWICE, as far as it is about a start after an end as `done` that is taken note of.
fn judge_twice(rig: &Rig) -> Outcome {
    let events = rig.log.all();
    let mut is_broken = false;
    for done in rig.log.noted_ends("done") {
        for start in events.iter().filter(|event| event.what == "start" && event.task == done.task) {
            if start.at > done.at {
                is_broken = true;
                rig.record.line(format!(
                    "TWICE: run {} of {} started on {} at {:.3}; run {} had ended done on {} at {:.3}, and that end is taken note of",
                    start.run, start.task, start.worker, start.at.as_secs_f64(), done.run, done.worker, done.at.as_secs_f64()
                ));
            }
        }
    }
    if is_broken { Outcome::Broken } else { Outcome::Held }
}

/// Orders to start tasks are under way when the leader ends, and are carried out late, one of them after its worker has
/// restarted. The next leader starts the tasks on workers that have other work, so that their leases are renewed.
fn underway(rig: &mut Rig) -> Outcome {
    const TASKS: usize = 3;
    const WORKERS: usize = 8;
    const LASTING: &str = "00000000000000bb";
    write_config(rig, &[("quotes", HOST, "/quotes/", "desk")]);
    let work: Work = Arc::new(|task| {
        let time = if task.starts_with(LASTING) { 1_000_000 } else { 300 };
        (Duration::from_millis(time), "done")
    });
    for index in 0..WORKERS {
        let mut profile = profile(index, "desk");
        profile.labels[0] = if index < TASKS { "b" } else { "a" }.to_owned();
        rig.add_worker(profile, &work);
    }
    if !rig.start_vms(3) {
        return Outcome::NotRun;
    }
    let step = |count: usize, more: &str| {
        format!(
            "{{\"count\":{count},\"cpu\":500,\"mem_mb\":256,\"estimate_ms\":300,\"max_per_server\":1{more}}}"
        )
    };
    // Short tasks on the workers of kind b, beside which the leader places the next ones.
    let short = format!("{{\"spec\":\"short\",\"steps\":[{}]}}", step(TASKS, ",\"requires\":\"b\""));
    let lasting = step(WORKERS - TASKS, ",\"requires\":\"a\",\"daemon\":true");
    let lasting = format!("{{\"spec\":\"lasting\",\"steps\":[{lasting}]}}");
    let three = format!("{{\"spec\":\"three\",\"steps\":[{}]}}", step(TASKS, ""));
    let tasks: Vec<String> = (0..TASKS).map(|index| format!("{JOB}.0.0.{index}")).collect();
    if rig.has_trouble {
        rig.workers.iter().for_each(|worker| tasks.iter().for_each(|task| worker.delay_start(task)));
    }
    if !rig.submit(HOST, "/quotes/00000000000000cc", &short, 3)
        || !rig.wait(Duration::from_secs(1), |rig| rig.log.count("00000000000000cc", "start") == TASKS)
        || !rig.submit(HOST, &format!("/quotes/{JOB}"), &three, 3)
    {
        return Outcome::NotRun;
    }
    let waiting =
        |rig: &Rig| rig.workers.iter().filter(|worker| worker.delay().is_some()).cloned().collect::<Vec<_>>();
    if rig.has_trouble {
        rig.wait(Duration::from_millis(300), |rig| waiting(rig).len() == TASKS);
    }
    rig.submit(HOST, &format!("/quotes/{LASTING}"), &lasting, 3);
    rig.wait(Duration::from_millis(200), |rig| rig.log.count(LASTING, "start") == WORKERS - TASKS);
    if rig.has_trouble {
        let (workers, Some(leader)) = (waiting(rig), rig.leader()) else { return Outcome::NotRun };
        rig.vms[leader].kill();
        rig.workers.iter().for_each(|worker| worker.forget_delays());
        for worker in &workers {
            let id = worker.profile.lock().expect("profile").id.clone();
            rig.record.line(format!("the order to start {:?} waits at {id}", worker.delayed_task()));
        }
        rig.record.line(format!("{}, which leads, is killed", rig.vms[leader].name));
        thread::sleep(Duration::from_secs(1));
        rig.vms[leader].spawn();
        let is_done = rig.wait(Duration::from_secs(7), |rig| rig.log.count(JOB, "done") == TASKS);
        rig.record.line(format!("the runs that the next leader has started are done: {is_done}"));
        // A worker whose task was done elsewhere; where it was done on the same worker, a crash takes its end away.
        let is_done_elsewhere = |worker: &&Arc<Worker>| {
            let (task, id) = (worker.delayed_task(), worker.profile.lock().expect("profile").id.clone());
            let events = rig.log.all();
            events
                .iter()
                .any(|event| event.what == "done" && Some(&event.task) == task.as_ref() && event.worker != id)
        };
        let Some(worker) = workers.iter().find(is_done_elsewhere).cloned() else { return Outcome::NotRun };
        let id = worker.profile.lock().expect("profile").id.clone();
        thread::sleep(Duration::from_millis(2_500).saturating_sub(worker.delay().unwrap_or_default()));
        // The next leader calls a worker without runs every 2.5 s; the worker restarts between two calls.
        rig.wait(Duration::from_millis(2_600), |_| worker.since_answer() < Duration::from_millis(30));
        worker.crash();
        thread::sleep(Duration::from_millis(400));
        worker.restart();
        worker.register();
        let delay = worker.delay();
        let answers = worker.carry_out();
        rig.record.line(format!(
            "{id} has crashed and is up again; {delay:?} after its arrival the order is carried out: {answers:?}"
        ));
        for other in workers.iter().filter(|other| !Arc::ptr_eq(other, &worker)) {
            let (delay, answers) = (other.delay(), other.carry_out());
            rig.record.line(format!("another order is carried out after {delay:?}: {answers:?}"));
        }
    }
    // The ends of all runs are acknowledged within 12 s.
    thread::sleep(Duration::from_secs(if rig.has_trouble { 15 } else { 3 }));
    rig.record_runs("");
    rig.state(0, HOST, &format!("/quotes/{JOB}"));
    judge_twice(rig)
}

/// Workers crash three times in a row shortly after a task that lasts was started on them.
fn crashes(rig: &mut Rig) -> Outcome {
    const CRASHES: usize = 3;
    // One worker of eight is down at a time.
    if !start_desk(rig, 8, &constant(Duration::from_secs(1_000))) {
        return Outcome::NotRun;
    }
    let (task, path) = (format!("{JOB}.0.0.0"), format!("/quotes/{JOB}"));
    if !rig.submit(HOST, &path, LASTING_JOB, 3) {
        return Outcome::NotRun;
    }
    if rig.has_trouble {
        for number in 1..=CRASHES {
            let has_it = |rig: &Rig| rig.workers.iter().find(|worker| worker.has(&task)).cloned();
            if !rig.wait(Duration::from_secs(20), |rig| has_it(rig).is_some()) {
                return Outcome::NotRun;
            }
            let Some(worker) = has_it(rig) else { return Outcome::NotRun };
            thread::sleep(Duration::from_millis(250));
            let id = worker.profile.lock().expect("profile").id.clone();
            worker.crash();
            rig.record.line(format!("crash {number}: {id} crashes 0.25 s after the start of {task}"));
            thread::sleep(Duration::from_secs(1));
            worker.restart();
            worker.register();
            rig.record.line(format!("{id} is up again"));
        }
    }
    let mut states = Vec::new();
    for _ in 0..20 {
        thread::sleep(Duration::from_secs(1));
        states.push(rig.state(0, HOST, &path));
    }
    rig.record_runs(JOB);
    let is_at_work = rig.workers.iter().any(|worker| worker.has(&task));
    rig.record.line(format!("the task is at work: {is_at_work}, the job is shown as {:?}", states.last()));
    let is_failed = states.iter().flatten().any(|state| state == "failed");
    if is_failed || !is_at_work { Outcome::Broken } else { Outcome::Held }
}

/// A queue is removed while a job of it is at work, and the leader changes.
fn attempts(rig: &mut Rig) -> Outcome {
    const ATTEMPTS: u32 = 2;
    let routes = [("quotes", HOST, "/quotes/", "desk"), ("ledger", OTHER_HOST, "/l/", "desk")];
    write_version(rig, 1, ATTEMPTS, &routes);
    let work: Work = Arc::new(|_| (Duration::from_millis(3_000), "failed"));
    for index in 0..3 {
        rig.add_worker(profile(index, "desk"), &work);
    }
    if !rig.start_vms(3) || !rig.submit(HOST, &format!("/quotes/{JOB}"), SMALL_JOB, 3) {
        return Outcome::NotRun;
    }
    if rig.has_trouble {
        write_version(rig, 2, ATTEMPTS, &routes[1..]);
        thread::sleep(Duration::from_secs(1));
        let Some(leader) = rig.leader() else { return Outcome::NotRun };
        rig.record.line(format!("{}, which leads, is killed and started again", rig.vms[leader].name));
        rig.vms[leader].kill();
        thread::sleep(Duration::from_secs(1));
        rig.vms[leader].spawn();
    }
    thread::sleep(Duration::from_secs(22));
    rig.record_runs(JOB);
    let events = rig.log.all();
    let mut failed: Vec<Duration> = rig.log.noted_ends("failed").iter().map(|end| end.at).collect();
    failed.sort_unstable();
    let last = failed.get(ATTEMPTS as usize - 1);
    let after =
        events.iter().filter(|event| event.what == "start" && last.is_some_and(|last| event.at > *last));
    let after = after.count();
    rig.record.line(format!(
        "{} ends as failed are taken note of, {ATTEMPTS} attempts, {after} starts after the last of these",
        failed.len()
    ));
    if after > 0 { Outcome::Broken } else { Outcome::Held }
}
