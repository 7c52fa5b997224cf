//! Tests of the administration API and of the commands that call it, with a closure in place of the reducer.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Command as Process, Output};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use actix_web::rt;
use awc::http::{Method, StatusCode, header};
use nutmegfold::core::admin::{Answer, Cell, Command, Status, Ticket};
use nutmegfold::core::cell;
use nutmegfold::core::event::Event;
use nutmegfold::core::member;
use nutmegfold::core::time::Instant;
use nutmegfold::core::trace::{Entry, Subject};
use nutmegfold::declare::zone;
use nutmegfold::finding::Finding;
use nutmegfold::port::Inbox;
use nutmegfold::port::admin::{Context, Port};
use nutmegfold::telemetry::metric::Metrics;
use nutmegfold::timeline::entry::Origin;
use nutmegfold::timeline::writer::Writer;
use serde_json::{Value, json};

/// Longer than an answer takes on a busy machine. A call without an answer fails with 504 instead of blocking the test.
const TIMEOUT: Duration = Duration::from_secs(60);

/// A listening port with the parts that the tests access.
struct Server {
    port: Port,
    address: SocketAddr,
    ready: Arc<AtomicBool>,
    timeline: Writer,
}

/// Starts a port whose commands `reducer` answers. It gets all commands in order, on a separate thread.
fn start(timeout: Duration, mut reducer: impl FnMut(&Port, Ticket, Command) + Send + 'static) -> Server {
    let (inbox, mut events) = Inbox::new();
    let origin = Origin { process: "entry-1".into(), instance: 1, zone: "canning".into() };
    let timeline = Writer::new(origin, 100);
    let ready = Arc::new(AtomicBool::new(false));
    let metrics = Metrics::new().expect("metrics");
    let context = Context { inbox, timeline: timeline.clone(), metrics, ready: Arc::clone(&ready), timeout };
    let port = Port::new(context);
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
    let address = listener.local_addr().expect("bound");
    rt::spawn(port.listen(listener).expect("server"));
    let reply_port = port.clone();
    thread::spawn(move || {
        while let Some(event) = events.blocking_recv() {
            let Event::Admin { ticket, command } = event else { panic!("unexpected event {event:?}") };
            reducer(&reply_port, ticket, command);
        }
    });
    Server { port, address, ready, timeline }
}

/// Returns an answer whose kind depends on the name in the command.
fn answer(command: Command) -> Answer {
    match command {
        Command::Apply { name, text, base, author, applied_s } => {
            let is_intact =
                text == "name = \"order desk\"\n" && author == "asha" && applied_s > 1_700_000_000;
            match name.as_str() {
                "order desk" if is_intact => Answer::Accepted { version: 40 + base.unwrap_or(0) },
                "conflict" => Answer::Conflict { expected: base.unwrap_or(0), found: 9 },
                "invalid" => Answer::Invalid(vec![finding()]),
                "outage" => Answer::NotAccepted("the store does not answer".into()),
                "lost" => Answer::Unknown { write_id: 0xabc },
                _ => Answer::NotFound(format!("{name} {author} {applied_s} {text}")),
            }
        }
        Command::Status => Answer::Status(Box::new(status())),
        Command::Why { job, index } if job == "roster" => Answer::Why(format!("{job} {index} is queued")),
        Command::Why { job, .. } => Answer::NotFound(format!("no job {job}")),
        Command::Drain { vm } if vm == "worker-1" => Answer::Done,
        Command::Drain { vm } => Answer::NotFound(format!("no VM {vm}")),
    }
}

fn reply(port: &Port, ticket: Ticket, command: Command) {
    port.answer(ticket, answer(command));
}

fn finding() -> Finding {
    Finding {
        file: "desk".into(),
        line: 3,
        column: 5,
        key: "job[0].cores".into(),
        message: "too many".into(),
    }
}

fn status() -> Status {
    let id = cell::Id { zone: zone::Id(0x1a2b_3c4d), index: 2 };
    let tasks = [1, 2, 3, 4, 5, 6];
    let cell = Cell { id, role: "owner", epoch: 8, workers: (63, 64), tasks, replicas: (7, 9) };
    Status {
        name: "entry-1".into(),
        zone: "canning".into(),
        version: 12,
        ready: true,
        members: vec![(member::Id(0x2f), "entry-2".into(), "live".into(), 11)],
        cells: vec![cell],
        answered: 5,
        documents: vec![("order desk".into(), 2, "asha".into())],
        ..Status::default()
    }
}

async fn call(
    server: &Server,
    method: Method,
    path: &str,
    body: impl Into<Vec<u8>>,
) -> (StatusCode, String, String) {
    let client = awc::Client::builder().timeout(2 * TIMEOUT).finish();
    let url = format!("http://{}{path}", server.address);
    let mut response = client.request(method, url).send_body(body.into()).await.expect("answer");
    let content = response.headers().get(header::CONTENT_TYPE).map(|value| value.to_str().expect("ASCII"));
    let content = content.unwrap_or_default().to_owned();
    let body = response.body().await.expect("body");
    (response.status(), content, String::from_utf8(body.to_vec()).expect("UTF-8"))
}

async fn problem(server: &Server, method: Method, path: &str, body: impl Into<Vec<u8>>) -> Value {
    let (status, content, body) = call(server, method, path, body).await;
    assert_eq!(content, "application/problem+json", "{path}: {body}");
    let problem: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(problem["status"], status.as_u16(), "{path}");
    assert!(problem["title"].is_string() && problem["detail"].is_string(), "{path}: {body}");
    problem
}

/// Runs other tasks until `condition` holds; panics if it does not hold in time.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..10_000 {
        if condition() {
            return;
        }
        rt::time::sleep(Duration::from_millis(2)).await;
    }
    panic!("the condition did not hold in time");
}

/// Guards against a change of status codes or JSON fields that operators' programs rely on.
#[actix_web::test]
async fn answers_map_to_status_codes_and_json() {
    let server = start(TIMEOUT, reply);
    let text = "name = \"order desk\"\n";
    let (status, _, body) =
        call(&server, Method::PUT, "/v1/documents/order%20desk?base=2&author=asha", text).await;
    assert_eq!((status.as_u16(), body.as_str()), (200, "{\"version\":42}"));

    let conflict = problem(&server, Method::PUT, "/v1/documents/conflict?base=3", text).await;
    assert_eq!(conflict["type"], "/problems/conflict");
    assert_eq!(
        (&conflict["status"], &conflict["expected"], &conflict["found"]),
        (&json!(409), &json!(3), &json!(9))
    );
    let invalid = problem(&server, Method::PUT, "/v1/documents/invalid", text).await;
    assert_eq!(invalid["status"], 422);
    let found =
        json!([{"file": "desk", "line": 3, "column": 5, "key": "job[0].cores", "message": "too many"}]);
    assert_eq!(invalid["findings"], found);
    let outage = problem(&server, Method::PUT, "/v1/documents/outage", text).await;
    assert_eq!(outage["status"], 503);
    let lost = problem(&server, Method::PUT, "/v1/documents/lost", text).await;
    assert_eq!((&lost["status"], &lost["write_id"]), (&json!(504), &json!("0000000000000abc")));

    let (status, _, body) = call(&server, Method::GET, "/v1/tasks/roster/3", "").await;
    assert_eq!((status.as_u16(), body.as_str()), (200, "{\"why\":\"roster 3 is queued\"}"));
    assert_eq!(problem(&server, Method::GET, "/v1/tasks/none/3", "").await["status"], 404);
    assert_eq!(call(&server, Method::POST, "/v1/drain/worker-1", "").await.0.as_u16(), 204);
    assert_eq!(problem(&server, Method::POST, "/v1/drain/none", "").await["status"], 404);

    let (status, content, body) = call(&server, Method::GET, "/v1/status", "").await;
    assert_eq!((status.as_u16(), content.as_str()), (200, "application/json"));
    let body: Value = serde_json::from_str(&body).expect("JSON");
    assert_eq!(body["cells"][0]["id"], "1a2b3c4d/2");
    assert_eq!(body["cells"][0]["tasks"]["cancelled"], 6);
    assert_eq!(
        body["members"][0],
        json!({"id": "000000000000002f", "name": "entry-2", "health": "live", "version": 11})
    );
    assert_eq!(server.port.pending(), 0);
}

/// Guards against bad requests that reach the reducer, and against rejections without a reason.
#[actix_web::test]
async fn bad_requests_get_problem_details() {
    let server = start(TIMEOUT, |port, ticket, _| port.answer(ticket, Answer::Done));
    for (status, method, path, body) in [
        (400, Method::PUT, "/v1/documents/desk?base=x", vec![]),
        (400, Method::PUT, "/v1/documents/desk", vec![0xff]),
        (413, Method::PUT, "/v1/documents/desk", vec![b'#'; 1_000_001]),
        (400, Method::GET, "/v1/tasks/roster/-1", vec![]),
        (400, Method::GET, "/v1/timeline?after=x", vec![]),
        (404, Method::GET, "/v2/status", vec![]),
    ] {
        assert_eq!(problem(&server, method, path, body).await["status"], status, "{path}");
    }
}

/// Guards against an operator who gets the answer to another operator's call.
#[actix_web::test]
async fn answers_reach_their_own_operator() {
    const CALLS: usize = 64;
    let mut held = Vec::new();
    let server = Arc::new(start(TIMEOUT, move |port, ticket, command| {
        let Command::Why { job, index } = command else { panic!("unexpected {command:?}") };
        held.push((ticket, Answer::Why(format!("{job} {index}"))));
        if held.len() == CALLS {
            held.drain(..).rev().for_each(|(ticket, answer)| port.answer(ticket, answer));
        }
    }));
    let calls: Vec<_> = (0..CALLS)
        .map(|index| {
            let server = Arc::clone(&server);
            rt::spawn(
                async move { call(&server, Method::GET, &format!("/v1/tasks/roster/{index}"), "").await.2 },
            )
        })
        .collect();
    for (index, call) in calls.into_iter().enumerate() {
        assert_eq!(call.await.expect("no panic"), format!("{{\"why\":\"roster {index}\"}}"));
    }
    assert_eq!(server.port.pending(), 0);
}

/// Guards against tickets that remain in the table after the operator has disconnected.
#[actix_web::test]
async fn tickets_of_disconnected_operators_are_removed() {
    let server = start(TIMEOUT, |_, _, _| ());
    let mut stream = TcpStream::connect(server.address).expect("connects");
    stream.write_all(b"GET /v1/status HTTP/1.1\r\nhost: a\r\n\r\n").expect("writes");
    wait_until(|| server.port.pending() == 1).await;
    drop(stream);
    wait_until(|| server.port.pending() == 0).await;
}

/// Guards against a call that never ends without an answer, and against a late answer that reaches a later call.
#[actix_web::test]
async fn a_late_answer_is_dropped() {
    let mut late = None;
    let server = start(Duration::from_millis(300), move |port, ticket, command| match command {
        Command::Apply { .. } => late = Some(ticket),
        command => {
            if let Some(late) = late.take() {
                port.answer(late, Answer::Accepted { version: 1 });
            }
            reply(port, ticket, command);
        }
    });
    let unknown = problem(&server, Method::PUT, "/v1/documents/silent", "").await;
    assert_eq!((&unknown["status"], &unknown["type"]), (&json!(504), &json!("/problems/unknown")));
    assert_eq!(server.port.pending(), 0);
    // On a busy machine this call may time out as well.
    let body = loop {
        let (status, _, body) = call(&server, Method::GET, "/v1/tasks/roster/3", "").await;
        if status != StatusCode::GATEWAY_TIMEOUT {
            break body;
        }
    };
    assert_eq!(body, "{\"why\":\"roster 3 is queued\"}");
}

/// Guards against a readiness check, timeline or metrics that fail while the reducer does not answer.
#[actix_web::test]
async fn readiness_timeline_and_metrics_need_no_reducer() {
    let server = start(TIMEOUT, |port, ticket, _| port.answer(ticket, Answer::Done));
    assert_eq!(call(&server, Method::GET, "/ready", "").await.0.as_u16(), 503);
    server.ready.store(true, Ordering::Relaxed);
    assert_eq!(call(&server, Method::GET, "/ready", "").await.0.as_u16(), 200);
    for version in 1..=3 {
        let entry = Entry { subject: Subject::Config(version), decision: "adopt", reason: "offered".into() };
        server.timeline.record(Instant(version), &entry);
    }
    let (_, content, body) = call(&server, Method::GET, "/v1/timeline?after=1&subject=config:3", "").await;
    assert_eq!((content.as_str(), body.lines().count()), ("application/x-ndjson", 1));
    assert!(body.contains("\"sequence\":3"), "{body}");
    let (status, content, _) = call(&server, Method::GET, "/metrics", "").await;
    assert_eq!((status.as_u16(), content.starts_with("text/plain")), (200, true));
}

/// Runs the binary on another thread, so that this thread can serve its calls.
async fn run(arguments: &[&str]) -> (i32, String, String) {
    let arguments: Vec<String> = arguments.iter().map(|argument| (*argument).to_owned()).collect();
    let run = move || Process::new(env!("CARGO_BIN_EXE_nutmegfold")).args(arguments).output();
    let Output { status, stdout, stderr } =
        rt::task::spawn_blocking(run).await.expect("no panic").expect("the binary runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    (status.code().expect("exit code"), text(stdout), text(stderr))
}

/// Guards against a command whose exit code or output does not show the outcome of the call.
#[actix_web::test]
async fn commands_report_the_outcome() {
    let server = start(TIMEOUT, reply);
    let admin = server.address.to_string();
    let folder = std::env::temp_dir().join(format!("nutmegfold-admin-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("temporary folder");
    let write = |name: &str| {
        let path = folder.join(name.replace(' ', "-"));
        std::fs::write(&path, format!("name = \"{name}\"\n")).expect("temporary file");
        path.display().to_string()
    };
    let apply = async |name: &str| run(&["apply", &write(name), "--admin", &admin, "--author", "asha"]).await;

    // Without --base, the command uses the version in the status, which is 2.
    let (code, out, err) = apply("order desk").await;
    assert_eq!((code, out.as_str(), err.as_str()), (0, "order desk: accepted as version 42\n", ""));
    let (code, _, err) = apply("conflict").await;
    assert!(code == 1 && err.contains("document conflict is at version 9, not 0"), "{code} {err}");
    let (code, _, err) = apply("invalid").await;
    assert!(code == 1 && err.contains("desk:3:5: job[0].cores: too many"), "{code} {err}");
    let (code, _, err) = apply("outage").await;
    assert!(code == 2 && err.contains("Nothing was changed"), "{code} {err}");
    let (code, _, err) = apply("lost").await;
    assert!(code == 2 && err.contains("0000000000000abc may have taken effect"), "{code} {err}");
    std::fs::remove_dir_all(&folder).expect("temporary folder");

    assert_eq!(run(&["drain", "worker-1", "--admin", &admin]).await.0, 0);
    assert_eq!(run(&["drain", "none", "--admin", &admin]).await.0, 1);
    let (code, out, _) = run(&["status", "--admin", &admin, "--why", "roster/3"]).await;
    assert_eq!((code, out), (0, format!("{admin}: roster 3 is queued\n")));
    assert_eq!(run(&["status", "--admin", &admin, "--why", "none/3"]).await.0, 1);
}

/// Separates the columns by bars instead of padding, since their widths depend on the address.
fn columns(table: &str) -> String {
    let line = |line: &str| {
        line.split("  ").map(str::trim).filter(|c| !c.is_empty()).collect::<Vec<_>>().join(" | ")
    };
    table.lines().map(line).collect::<Vec<_>>().join("\n")
}

/// Guards against a failed process that hides the state of the other processes.
#[actix_web::test]
async fn views_show_the_processes_that_answer() {
    let server = start(TIMEOUT, reply);
    let entry = Entry { subject: Subject::Config(3), decision: "adopt", reason: "offered".into() };
    server.timeline.record(Instant(1), &entry);
    let admin = server.address.to_string();
    // Nothing listens on port 1, and no test is assigned it, since it is a privileged port.
    let unused = "127.0.0.1:1".to_owned();
    let both = ["--admin", &unused, "--admin", &admin];

    let (code, out, err) = run(&[&["status"][..], &both].concat()).await;
    assert_eq!(code, 2, "{err}");
    assert!(err.contains("1 of 2 calls failed") && err.contains(&unused), "{err}");
    insta::assert_snapshot!(columns(&out.replace(&admin, "ADDRESS")));
    let (code, out, _) = run(&["status", "--json", "--admin", &admin]).await;
    let list: Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!((code, &list[0]["status"]["version"]), (0, &json!(12)));

    let (code, out, _) = run(&[&["timeline", "--subject", "config"][..], &both].concat()).await;
    assert_eq!(code, 2);
    assert!(out.ends_with("entry-1/canning #1 config:3 adopt: offered\n"), "{out}");
}
