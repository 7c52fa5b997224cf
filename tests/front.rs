//! Tests of the HTTP server of the job interface over loopback: readiness, answers, and malformed requests.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::rt;
use awc::Client;
use nutmegfold::core::event::Event;
use nutmegfold::core::work::event::Event as WorkEvent;
use nutmegfold::core::work::request::{Answer, Phase, Verb};
use nutmegfold::platform::front::{self, Setup};
use nutmegfold::port::Inbox;
use nutmegfold::port::admission::{Gate, Limits};
use nutmegfold::port::pending::Table;

/// Size limit of a request body on the server under test, in bytes.
const MAX_BODY_BYTES: usize = 10_000;

/// Budget for the bodies of all requests on the server under test, in bytes.
const BUDGET_BYTES: usize = 15_000;

struct Server {
    setup: Setup,
    ready: Arc<AtomicBool>,
    handle: front::Handle,
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback address");
    listener.local_addr().expect("bound address")
}

fn gate() -> Gate {
    Gate::new(Limits { max_body_bytes: MAX_BODY_BYTES, budget_bytes: BUDGET_BYTES, ..Limits::default() })
}

/// Starts a server whose requests are answered by `reply`.
fn serve(reply: impl Fn(&Verb) -> Answer + 'static) -> Server {
    let (inbox, mut events) = Inbox::new();
    let pending = Table::new(inbox);
    let setup = Setup { caller_address: free_address(), readiness_address: free_address() };
    let ready = Arc::new(AtomicBool::new(false));
    let handle =
        front::serve(setup, gate(), pending.clone(), Arc::clone(&ready)).expect("addresses are free");
    rt::spawn(async move {
        while let Some(event) = events.recv().await {
            if let Event::Work(WorkEvent::Request { ticket, request, .. }) = event {
                pending.answer(ticket, reply(&request.verb));
            }
        }
    });
    Server { setup, ready, handle }
}

async fn post(server: &Server, body: impl Into<String>) -> (u16, String) {
    let request =
        Client::default().post(format!("http://{}/q/0000000000000001", server.setup.caller_address));
    let mut response = request.send_body(body.into()).await.expect("an answer");
    let text = response.body().await.expect("a complete body");
    (response.status().as_u16(), String::from_utf8_lossy(&text).into_owned())
}

/// Guards against a load balancer that sends requests to a process without a configuration.
#[actix_web::test]
async fn readiness_follows_the_reducer() {
    let server = serve(|_| Answer::Unknown);
    let url = format!("http://{}/ready", server.setup.readiness_address);
    let client = Client::default();
    assert_eq!(client.get(&url).send().await.expect("an answer").status(), 503);
    server.ready.store(true, Ordering::Relaxed);
    assert_eq!(client.get(&url).send().await.expect("an answer").status(), 200);
    server.handle.stop().await;
}

/// Guards against status codes or bodies that do not match the reducer's answer.
#[actix_web::test]
async fn answers_map_to_status_codes() {
    let server = serve(|verb| match verb {
        Verb::Submit(spec) if spec.steps[0].count == 1 => Answer::Accepted,
        Verb::Submit(_) => Answer::Refused(2),
        Verb::Read => Answer::Phase(Phase::Completed),
        Verb::Cancel => Answer::UnknownJob,
    });
    let url = format!("http://{}/q/0000000000000001", server.setup.caller_address);
    assert_eq!(post(&server, r#"{"spec":"s","steps":[{"count":1,"cpu":500}]}"#).await.0, 200);
    let client = Client::default();
    let refused = client.post(&url).send_body(r#"{"steps":[{"count":2}]}"#).await.expect("an answer");
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers().get("retry-after").map(|value| value.as_bytes()), Some(&b"2"[..]));
    let mut state = client.get(&url).send().await.expect("an answer");
    assert_eq!(state.body().await.expect("a body"), r#"{"state":"completed"}"#);
    assert_eq!(client.delete(&url).send().await.expect("an answer").status(), 410);
    server.handle.stop().await;
}

/// Guards against malformed requests that crash the process, reach the reducer, or get no error status.
#[actix_web::test]
async fn malformed_requests_are_refused_with_an_error() {
    let server = serve(|_| panic!("a malformed request reached the reducer"));
    let deep = "[".repeat(3_000);
    let malformed = [
        "",
        "null",
        "{",
        "{\"steps\":7}",
        "{\"steps\":[{\"count\":-1}]}",
        "{\"steps\":[{\"count\":99999999999}]}",
        "{\"steps\":[{\"estimate_ms\":-5}]}",
        "{\"steps\":[{\"estimate_ms\":1e300}]}",
        "{\"steps\":[{\"after\":[\"x\"]}]}",
        &deep,
    ];
    for body in malformed {
        let (status, text) = post(&server, body).await;
        assert_eq!(status, 400, "{body:.40}");
        assert!(text.contains("error"), "{body:.40}: {text}");
    }
    let (status, _) = post(&server, "x".repeat(MAX_BODY_BYTES + 1)).await;
    assert_eq!(status, 413);
    server.handle.stop().await;
}

/// Guards against a caller that waits forever when the reducer sends no answer.
#[actix_web::test]
async fn a_request_without_an_answer_times_out() {
    let (inbox, _events) = Inbox::new();
    let setup = Setup { caller_address: free_address(), readiness_address: free_address() };
    let handle = front::serve(setup, gate(), Table::new(inbox), Arc::default()).expect("addresses are free");
    let request = Client::builder().timeout(Duration::from_secs(5)).finish();
    let request =
        request.get(format!("http://{}/q/", setup.caller_address)).insert_header(("x-timeout-ms", "200"));
    assert_eq!(request.send().await.expect("an answer").status(), 504);
    handle.stop().await;
}

/// Sends a request and returns all that is received until the server closes the connection.
fn exchange_until_closed(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    stream.set_read_timeout(Some(Duration::from_secs(60))).expect("a timeout");
    let mut answer = Vec::new();
    // A reset after the answer also ends the connection.
    if let Err(error) = stream.read_to_end(&mut answer) {
        assert_eq!(error.kind(), ErrorKind::ConnectionReset, "the connection is not closed");
    }
    String::from_utf8_lossy(&answer).into_owned()
}

async fn refused(address: SocketAddr, request: String) -> String {
    rt::task::spawn_blocking(move || exchange_until_closed(address, &request)).await.expect("no panic")
}

/// Guards against a refused client that keeps its connection, a refusal that does not say when to try again, and a body over
/// the limit that is read.
#[actix_web::test]
async fn refused_requests_are_answered_at_once_and_closed() {
    let server = serve(|_| Answer::Phase(Phase::Queued));
    let address = server.setup.caller_address;
    let head =
        |method: &str, framing: &str| format!("{method} /q/1 HTTP/1.1\r\nHost: a\r\n{framing}\r\n\r\n");
    let over = refused(address, head("POST", "Content-Length: 9000000000")).await;
    assert!(over.starts_with("HTTP/1.1 413"), "{over}");
    let chunk = format!("4e20\r\n{}\r\n", " ".repeat(20_000));
    let over = refused(address, head("POST", "Transfer-Encoding: chunked") + &chunk.repeat(5)).await;
    assert!(over.starts_with("HTTP/1.1 413"), "{over}");
    // The first body reserves its announced length and stays unfinished, so the second one has no room.
    let mut waiting = TcpStream::connect(address).expect("a connection");
    write!(waiting, "{}x", head("POST", &format!("Content-Length: {MAX_BODY_BYTES}"))).expect("sent");
    rt::time::sleep(Duration::from_millis(300)).await;
    let exhausted = refused(address, head("POST", &format!("Content-Length: {}", MAX_BODY_BYTES - 1))).await;
    assert!(exhausted.starts_with("HTTP/1.1 503"), "{exhausted}");
    assert!(exhausted.contains("retry-after: 2\r\n"), "{exhausted}");
    assert_eq!(post(&server, r#"{"steps":[{"count":1}]}"#).await.0, 200, "a small body has room");
    let unneeded = refused(address, head("GET", "Content-Length: 5000000")).await;
    assert!(unneeded.starts_with("HTTP/1.1 200"), "{unneeded}");
    server.handle.stop().await;
}

/// Guards against a text or a name that takes much memory for as long as its job is kept, and against the refusal of the longest
/// text that callers may send.
#[actix_web::test]
async fn long_texts_and_names_are_refused() {
    let server = serve(|_| Answer::Accepted);
    let text = |bytes| format!("{{\"spec\":\"{}\",\"steps\":[{{\"count\":1}}]}}", "s".repeat(bytes));
    let name =
        |field: &str, bytes| format!("{{\"steps\":[{{\"count\":1,\"{field}\":\"{}\"}}]}}", "n".repeat(bytes));
    assert_eq!(post(&server, text(4_000)).await.0, 200);
    assert_eq!(post(&server, text(9_000)).await.0, 400);
    for field in ["requires", "affinity", "image"] {
        assert_eq!(post(&server, name(field, 255)).await.0, 200);
        assert_eq!(post(&server, name(field, 256)).await.0, 400);
    }
    server.handle.stop().await;
}

/// Guards against the memory of lists that are far longer than those of a job.
#[actix_web::test]
async fn lists_longer_than_those_of_a_job_are_refused_while_they_are_read() {
    let server = serve(|_| Answer::Accepted);
    let steps = |count| format!("{{\"steps\":[{}]}}", vec!["{}"; count].join(","));
    assert_eq!(post(&server, steps(256)).await.0, 200);
    let (status, text) = post(&server, steps(257)).await;
    assert_eq!(status, 400);
    assert!(text.contains("a list has over 256 items"), "{text}");
    server.handle.stop().await;
}

/// Sends `text` in pieces of `piece` bytes and returns all that is received until the server closes the connection.
fn exchange_in_pieces(address: SocketAddr, text: &str, piece: usize) -> String {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_nodelay(true).expect("an option");
    for part in text.as_bytes().chunks(piece) {
        stream.write_all(part).expect("the requests are sent");
    }
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("the answers");
    answers
}

/// Guards against requests that are sent together on one connection and get no answer, or answers in another order.
#[actix_web::test]
async fn requests_that_are_sent_together_are_all_answered() {
    let server = serve(|verb| match verb {
        Verb::Submit(_) => Answer::Accepted,
        Verb::Read => Answer::Phase(Phase::Running),
        Verb::Cancel => Answer::UnknownJob,
    });
    let address = server.setup.caller_address;
    let head = |method: &str, framing: &str| {
        format!("{method} /q/0000000000000001 HTTP/1.1\r\nHost: a\r\n{framing}\r\n")
    };
    let body = format!("{{\"spec\":\"{}\",\"steps\":[{{\"count\":1}}]}}", "s".repeat(3_000));
    let (first, second) = body.split_at(1_000);
    let text = [
        head("GET", ""),
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
        "\r\n".to_owned(),
        head("POST", &format!("Content-Length: {}\r\n", body.len())),
        body.clone(),
        head("DELETE", ""),
        head("POST", "Transfer-Encoding: chunked\r\n"),
        format!("{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n", first.len(), second.len()),
        head("GET", ""),
        head("DELETE", "Connection: close\r\n"),
    ]
    .concat();
    for piece in [1, 7, 1_000, text.len()] {
        let text = text.clone();
        let exchange = move || exchange_in_pieces(address, &text, piece);
        let answers = rt::task::spawn_blocking(exchange).await.expect("no panic");
        let statuses: Vec<&str> = answers.split("HTTP/1.1 ").skip(1).map(|answer| &answer[..3]).collect();
        assert_eq!(
            statuses,
            ["200", "200", "410", "200", "200", "410"],
            "pieces of {piece} bytes: {answers}"
        );
    }
    server.handle.stop().await;
}
