//! The scenarios: what happens, and how it is judged.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{Deployment, extra_prefix};
use crate::json::Json;
use crate::node::Node;
use crate::worker::{Seen, Work};

/// Plays a scenario. Returns whether the rule held; `None` if it could not run.
pub fn run(name: &str, folder: &Path, has_trouble: bool) -> Option<bool> {
    match name {
        "gang" => gang(folder, has_trouble),
        "crashes" => crashes(folder, has_trouble),
        "restarted" => restarted(folder, has_trouble),
        "config" => config(folder, has_trouble),
        "late" => late(folder, has_trouble),
        _ => None,
    }
}

/// Length of a cut of workers on the site's days (`node_cut`, `servers`).
const CUT: Duration = Duration::from_millis(5_500);

/// A gang of two ends while one of its workers is cut off.
fn gang(folder: &Path, has_trouble: bool) -> Option<bool> {
    let deployment = Deployment::start(folder, 3, 6)?;
    // Lets the leader hear from all workers first.
    thread::sleep(Duration::from_secs(2));
    let id = "00000000000000a1";
    let step = vec![
        ("count", 2.into()),
        ("cpu", 9_000.into()),
        ("mem_mb", 1_000.into()),
        ("estimate_ms", 2_000.into()),
        ("gang", Json::Bool(true)),
    ];
    if !deployment.submit(id, step, Work { length_ms: 2_000, gang: 2 }) {
        return None;
    }
    if !deployment.wait(Duration::from_secs(5), |it| it.world.runs().len() == 2) {
        return None;
    }
    thread::sleep(Duration::from_millis(500));
    let second = deployment.world.runs().into_iter().find(|run| run.task.ends_with(".1"))?;
    let worker = deployment.worker(&second.worker)?.clone();
    if has_trouble {
        worker.set_cut(true);
        thread::sleep(CUT);
        worker.set_cut(false);
    }
    let is_complete = |it: &Deployment| it.state(1, id).as_deref() == Some("completed");
    deployment.wait(Duration::from_secs(20), |it| {
        thread::sleep(Duration::from_millis(500));
        is_complete(it)
    });
    thread::sleep(Duration::from_secs(1));
    let runs = deployment.world.runs();
    // One end of a member represents all of them, so nothing of the gang starts after it. Only an end on the worker that
    // was reached all the while is used, and only a start over a second after that end was taken note of.
    let is_done =
        |run: &&Seen| run.worker != second.worker && run.ended.is_some_and(|(_, how)| how == "done");
    let first_done = runs.iter().filter(is_done).min_by_key(|run| run.noted_ms);
    let Some((done, noted_ms)) = first_done.and_then(|run| Some((run, run.noted_ms?))) else {
        deployment.judge(true, "no end of the gang was taken note of");
        return None;
    };
    let late = runs.iter().find(|run| run.started_ms > noted_ms + 1_000);
    let text = match late {
        None => format!(
            "nothing of the gang started over a second after its end done was taken note of at {noted_ms} ms"
        ),
        Some(run) => format!(
            "TWICE: {} run {} started on {} at {} ms, although the gang had ended done: {} run {} on {}, taken note of at {noted_ms} ms",
            run.task, run.run, run.worker, run.started_ms, done.task, done.run, done.worker,
        ),
    };
    Some(deployment.judge(late.is_none(), &text))
}

/// Workers crash one after the other, and start again, while jobs run.
fn crashes(folder: &Path, has_trouble: bool) -> Option<bool> {
    /// Number of workers; each crash takes one, a share of 0.125.
    const WORKERS: usize = 8;
    /// Time between two crashes.
    const GAP: Duration = Duration::from_millis(700);
    /// Time for which a worker is down.
    const DOWN: Duration = Duration::from_millis(500);
    const CRASHES: usize = 40;
    let deployment = Deployment::start(folder, 3, WORKERS)?;
    // Workers count as stable after they have run for some seconds.
    thread::sleep(Duration::from_secs(6));
    let mut ids = Vec::new();
    for crash in 0..CRASHES {
        for _ in 0..4 {
            let id = format!("{:016x}", 0xb000 + ids.len());
            let step = vec![
                ("count", 2.into()),
                ("cpu", 2_000.into()),
                ("mem_mb", 1_000.into()),
                ("estimate_ms", 1_500.into()),
            ];
            if !deployment.submit(&id, step, Work { length_ms: 1_500, gang: 0 }) {
                return None;
            }
            ids.push(id);
        }
        let index = crash % WORKERS;
        if has_trouble {
            let worker = deployment.workers[index].clone();
            worker.crash();
            thread::sleep(DOWN);
            worker.restart(&format!("i-{index}-{crash}"));
            thread::sleep(GAP - DOWN);
        } else {
            thread::sleep(GAP);
        }
    }
    // `finish_s` after the end of the traffic.
    thread::sleep(Duration::from_secs(14));
    let runs = deployment.world.runs();
    let mut broken = Vec::new();
    for id in &ids {
        let state = deployment.state(0, id);
        let has_failed = |run: &Seen| {
            run.task.starts_with(id.as_str()) && run.ended.is_some_and(|(_, how)| how == "failed")
        };
        if state.as_deref() == Some("failed") && !runs.iter().any(has_failed) {
            broken.push(id.clone());
        }
    }
    let text = format!(
        "LOST: {} of {} jobs are shown as failed, and no run of theirs ended failed: {broken:?}",
        broken.len(),
        ids.len()
    );
    Some(deployment.judge(broken.is_empty(), &text))
}

/// Two orders to one worker get no answer and are carried out late, and the worker starts again under its id meanwhile.
fn late(folder: &Path, has_trouble: bool) -> Option<bool> {
    /// Number of workers; one of them crashes, a share of 0.125.
    const WORKERS: usize = 8;
    /// Tasks of a job, of which two fill a worker.
    const TASKS: usize = 2 * WORKERS;
    /// Time until the first of the two orders is carried out.
    const DELAY: Duration = Duration::from_millis(6_000);
    /// Time from the order until the worker's process ends, and until it starts again.
    const UNTIL_END: Duration = Duration::from_millis(200);
    const DOWN: Duration = Duration::from_millis(500);
    /// Time before the first order is carried out at which the last tasks are handed in, and the renewal that follows
    /// their start is left without an answer.
    const LEAD: Duration = Duration::from_millis(900);
    let mut deployment = Deployment::start(folder, 3, WORKERS)?;
    thread::sleep(Duration::from_secs(1));
    let mut ids = 0;
    // Keeps all workers busy with short tasks.
    let mut submit = |deployment: &Deployment| {
        let step: Vec<(&str, Json)> = vec![
            ("count", (TASKS as u64).into()),
            ("cpu", 8_000.into()),
            ("mem_mb", 1_000.into()),
            ("estimate_ms", 600.into()),
        ];
        ids += 1;
        deployment.submit(&format!("{:016x}", 0xe000 + ids), step, Work { length_ms: 600, gang: 0 })
    };
    for _ in 0..14 {
        if !submit(&deployment) {
            return None;
        }
        thread::sleep(Duration::from_millis(700));
    }
    let worker = deployment.workers[0].clone();
    if has_trouble {
        worker.delay_acknowledgement(DELAY);
        submit(&deployment);
        if !deployment.wait(Duration::from_secs(5), |_| worker.has_delayed()) {
            return None;
        }
    }
    let mut elapsed = Duration::ZERO;
    let mut step = |deployment: &mut Deployment, to: Duration, is_loaded: bool| {
        while elapsed < to {
            if is_loaded {
                submit(deployment);
            }
            let wait = (to - elapsed).min(Duration::from_millis(650));
            thread::sleep(wait);
            elapsed += wait;
        }
    };
    step(&mut deployment, UNTIL_END, false);
    if has_trouble {
        let id = worker.id();
        worker.crash();
        thread::sleep(DOWN);
        worker.restart(&id);
    }
    step(&mut deployment, DELAY - LEAD - DOWN, true);
    if has_trouble {
        worker.ignore_next_hold();
    }
    submit(&deployment);
    thread::sleep(Duration::from_secs(10));
    let runs = deployment.world.runs();
    let is_noted_done =
        |run: &&Seen| run.noted_ms.is_some() && run.ended.is_some_and(|(_, how)| how == "done");
    let again = runs.iter().filter(is_noted_done).find_map(|done| {
        let (at_ms, _) = done.ended?;
        let later = runs.iter().find(|run| run.task == done.task && run.started_ms > at_ms)?;
        Some(format!(
            "TWICE: {} run {} ended done on {} at {at_ms} ms, was taken note of at {} ms, and run {} started on {} at {} ms",
            done.task,
            done.run,
            done.worker,
            done.noted_ms?,
            later.run,
            later.worker,
            later.started_ms
        ))
    });
    let holds = again.is_none();
    Some(
        deployment
            .judge(holds, &again.unwrap_or_else(|| "no task started after it had ended done".to_owned())),
    )
}

/// The store turns the leader away for a short time, in which the configuration changes twice.
fn config(folder: &Path, has_trouble: bool) -> Option<bool> {
    /// Routes besides the first one; the configuration has about 60 KB with them.
    const ROUTES: usize = 300;
    /// Time for which the store turns the leader away.
    const REFUSAL: Duration = Duration::from_millis(1_500);
    /// Times from its begin to the two changes.
    const CHANGES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(900)];
    /// `config_ms` of the site, and `max_skew_ms`, by which an unstable core stretches it.
    const BOUND: Duration = Duration::from_millis(2_500 + 6_000);
    /// Time until a second look, which is only recorded.
    const SECOND_LOOK: Duration = Duration::from_secs(20);
    let deployment = Deployment::start_with_routes(folder, 3, 2, ROUTES)?;
    thread::sleep(Duration::from_secs(6));
    let leader = deployment.nodes.iter().position(Node::has_led)?;
    if has_trouble {
        deployment.world.record.add(format!("the store turns away {}", deployment.nodes[leader].name));
        deployment.is_refused[leader].store(true, Ordering::Relaxed);
    }
    thread::sleep(CHANGES[0]);
    deployment.configure(8, ROUTES + 1);
    thread::sleep(CHANGES[1] - CHANGES[0]);
    deployment.configure(9, ROUTES + 2);
    let acknowledged = Instant::now();
    thread::sleep(REFUSAL - CHANGES[1]);
    if has_trouble {
        deployment.world.record.add("the store serves all machines again");
        deployment.is_refused[leader].store(false, Ordering::Relaxed);
    }
    // The route that only version 9 has.
    let path = extra_prefix(ROUTES + 1);
    let look = || -> Option<Vec<String>> {
        let mut refusing = Vec::new();
        for (index, node) in deployment.nodes.iter().enumerate() {
            let (status, _) = deployment.request_path(index, "GET", &path, "")?;
            if status == 404 {
                refusing.push(node.name.clone());
            }
        }
        Some(refusing)
    };
    thread::sleep(BOUND.saturating_sub(acknowledged.elapsed()));
    let broken = look()?;
    if !broken.is_empty() {
        thread::sleep(SECOND_LOOK);
        look()?;
    }
    let text = format!(
        "CONFIG: 404 for a route of the newest version, later than {} ms after its acknowledgement, at {broken:?}",
        BOUND.as_millis()
    );
    let holds = broken.is_empty();
    Some(deployment.judge(holds, if holds { "all machines know the newest route" } else { &text }))
}

/// A worker starts again under its id, and its answers are cut off while it gets a start.
fn restarted(folder: &Path, has_trouble: bool) -> Option<bool> {
    const DOWN: Duration = Duration::from_millis(200);
    /// Time from the restart until the job is handed in.
    const PAUSE: Duration = Duration::from_millis(100);
    let deployment = Deployment::start(folder, 3, 6)?;
    thread::sleep(Duration::from_secs(8));
    // An empty deployment starts the first task on the last worker.
    let worker = deployment.workers.last()?.clone();
    let id = worker.id();
    if has_trouble {
        worker.crash();
        thread::sleep(DOWN);
        worker.restart(&id);
        worker.set_mute(true);
        thread::sleep(PAUSE);
    }
    let step: Vec<(&str, Json)> = vec![
        ("count", 1.into()),
        ("cpu", 8_000.into()),
        ("mem_mb", 1_000.into()),
        ("estimate_ms", 10_000.into()),
    ];
    if !deployment.submit("00000000000000f1", step, Work { length_ms: 10_000, gang: 0 }) {
        return None;
    }
    deployment.wait(Duration::from_secs(1), |it| !it.world.runs().is_empty());
    if deployment.world.runs().first().is_none_or(|run| run.worker != id) {
        return None;
    }
    thread::sleep(CUT - PAUSE - Duration::from_millis(20));
    if has_trouble {
        worker.set_mute(false);
    }
    thread::sleep(Duration::from_secs(20));
    let runs = deployment.world.runs();
    let overlap = runs.iter().zip(runs.iter().skip(1)).find(|(one, other)| {
        one.task == other.task && one.ended.is_some_and(|(at_ms, _)| other.started_ms < at_ms)
    });
    let text = overlap.map(|(one, other)| {
        format!(
            "TWICE: {} run {} on {} and run {} on {}",
            one.task, one.run, one.worker, other.run, other.worker
        )
    });
    let holds = text.is_none();
    Some(deployment.judge(holds, &text.unwrap_or_else(|| "no two runs at the same time".to_owned())))
}
