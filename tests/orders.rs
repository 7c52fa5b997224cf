//! Tests of the worker port over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use actix_web::http::StatusCode;
use actix_web::{App, FromRequest, HttpResponse, HttpServer, rt, web};
use nutmegfold::core::event::Event;
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::event::{Event as WorkEvent, Fault};
use nutmegfold::core::work::order::{Order, Refusal};
use nutmegfold::core::work::run;
use nutmegfold::core::work::spec::{Id, Name};
use nutmegfold::core::work::worker::Key;
use nutmegfold::platform::worker::{Envelope, Port};
use nutmegfold::port::{Clock, Inbox};
use tokio::sync::Barrier;
use tokio::sync::mpsc::UnboundedReceiver;

/// Number of workers that are called concurrently.
const WORKERS: usize = 300;

/// Timeout of a call; it expires only if the port fails the test.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Answers a renewal once the renewals of all workers have arrived.
async fn answer_renewal(barrier: web::Data<Barrier>) -> HttpResponse {
    barrier.wait().await;
    HttpResponse::Ok().content_type("application/json").body(r#"{"clock_ms":1,"running":[],"ended":[]}"#)
}

/// Starts a server that answers every request with `handler`, and returns its address.
fn serve<F, Args>(data: web::Data<impl Send + Sync + 'static>, handler: F) -> SocketAddr
where
    F: actix_web::Handler<Args, Output = HttpResponse> + Clone + Send,
    Args: FromRequest + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("address of the bound listener");
    let server =
        HttpServer::new(move || App::new().app_data(data.clone()).default_service(web::to(handler.clone())))
            .workers(1);
    rt::spawn(server.listen(listener).expect("listen on the bound listener").run());
    address
}

/// Sends a renewal that waits for nothing to a worker.
fn send_renewal(port: &Port, address: SocketAddr) {
    let order = Order::Renew { worker: Key::default(), until_ms: None, acknowledged: 0, wait_ms: 0 };
    let (sent, not_after) = (Instant(0), Instant(u64::MAX));
    port.send(Envelope { id: "w".into(), address, fence: 1, order, sent, not_after });
}

/// Answers a renewal with as many ended runs as `count`.
async fn answer_with_ends(count: web::Data<usize>) -> HttpResponse {
    let rows: Vec<String> =
        (1..=**count).map(|number| format!(r#"[{number},"1.0.0.{number}",1,"done",""]"#)).collect();
    let body = format!(r#"{{"clock_ms":1,"running":[],"ended":[{}]}}"#, rows.join(","));
    HttpResponse::Ok().content_type("application/json").body(body)
}

/// Guards against a list of ends that counts as complete although the worker returns only 500 at a time.
#[actix_web::test]
async fn a_full_list_of_ends_counts_as_complete() {
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for (count, has_more_ends) in [(499, false), (500, true)] {
        send_renewal(&port, serve(web::Data::new(count), answer_with_ends));
        let Some(Event::Work(WorkEvent::LeaseRenewed { result, .. })) = events.recv().await else {
            panic!("no answer to the renewal");
        };
        let listing = result.expect("an answer").outcome.expect("a listing");
        assert_eq!((listing.ended.len(), listing.has_more_ends), (count, has_more_ends));
    }
}

/// Guards against a port in which the long polls of some workers delay the orders to all others until these time out.
#[actix_web::test]
async fn long_polls_do_not_block_one_another() {
    let address = serve(web::Data::from(Arc::new(Barrier::new(WORKERS))), answer_renewal);
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for _ in 0..WORKERS {
        send_renewal(&port, address);
    }
    for number in 0..WORKERS {
        let Some(Event::Work(WorkEvent::LeaseRenewed { result, .. })) = events.recv().await else {
            panic!("no answer to renewal {number}");
        };
        assert!(result.is_ok(), "renewal {number}: {result:?}");
    }
}

/// Sends an order to start a run to a worker, which is not written after `not_after`.
fn send_start(port: &Port, address: SocketAddr, job_text: String, not_after: Instant) {
    let order = Order::Start {
        run: run::Key::default(),
        name: Name { job: Id(1), occurrence: 0, step: 0, index: 0 },
        number: 1,
        job_text,
        until_ms: 1,
        checkpoint: String::new(),
    };
    port.send(Envelope { id: "w".into(), address, fence: 1, order, sent: Instant(0), not_after });
}

/// Waits for the result of an order to start: the outcome at the worker, or the reason why there is no answer.
async fn next_start(events: &mut UnboundedReceiver<Event>) -> Result<Result<(), Refusal>, Fault> {
    match events.recv().await {
        Some(Event::Work(WorkEvent::Started { result, .. })) => result.map(|reply| reply.outcome),
        other => panic!("expected the result of a start, got {other:?}"),
    }
}

/// Answers an order with a status and a body.
async fn answer_with(answer: web::Data<(u16, &'static str)>) -> HttpResponse {
    let status = StatusCode::from_u16(answer.0).expect("a valid status");
    HttpResponse::build(status).content_type("application/json").body(answer.1)
}

/// Guards against a run that counts as not started, although the answer to its start does not say so.
#[actix_web::test]
async fn a_task_runs_twice_when_its_start_is_answered_with_an_unknown_status() {
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for (status, body, expected) in [
        (200_u16, r#"{"clock_ms":1}"#, Ok(Ok(()))),
        (409, r#"{"clock_ms":1,"reason":"room"}"#, Ok(Err(Refusal::Room))),
        (409, r#"{"clock_ms":1,"reason":"ticket"}"#, Ok(Err(Refusal::Busy))),
        (421, "", Ok(Err(Refusal::Instance))),
        (429, "", Ok(Err(Refusal::Busy))),
        (503, "", Ok(Err(Refusal::Busy))),
        (400, "", Ok(Err(Refusal::Malformed))),
        (409, "", Err(Fault::Lost)),
        (409, r#"{"reason":"conflict"}"#, Err(Fault::Lost)),
        (202, "", Err(Fault::Lost)),
        (301, "", Err(Fault::Lost)),
        (404, "", Err(Fault::Lost)),
        (408, "", Err(Fault::Lost)),
        (500, "", Err(Fault::Lost)),
        (502, "", Err(Fault::Lost)),
        (504, "", Err(Fault::Lost)),
    ] {
        let address = serve(web::Data::new((status, body)), answer_with);
        send_start(&port, address, "work".into(), Instant(u64::MAX));
        assert_eq!(next_start(&mut events).await, expected, "status {status}, body {body}");
    }
}

/// Guards against runs that count as ended because an answer that is no listing of a worker does not name them.
#[actix_web::test]
async fn a_task_runs_twice_when_an_answer_without_a_list_of_runs_counts_as_an_empty_one() {
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for (body, is_listing) in [
        (r#"{"clock_ms":1,"running":[],"ended":[]}"#, true),
        (r#"{"clock_ms":1,"running":[]}"#, false),
        (r#"{"clock_ms":1,"ended":[]}"#, false),
        (r#"{"clock_ms":1}"#, false),
        ("{}", false),
        ("", false),
    ] {
        send_renewal(&port, serve(web::Data::new((200_u16, body)), answer_with));
        let Some(Event::Work(WorkEvent::LeaseRenewed { result, .. })) = events.recv().await else {
            panic!("no answer to the renewal");
        };
        let is_listed = result.is_ok_and(|reply| reply.outcome.is_ok());
        assert_eq!(is_listed, is_listing, "{body}");
    }
}

/// Guards against a start that counts as not sent although the worker may have received it.
#[actix_web::test]
async fn a_task_runs_twice_when_the_connection_is_lost_after_its_start_was_written() {
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":1}";
    // Bytes of the last request that the worker reads before it closes the connection, and answers before that.
    for (read_bytes, answers) in [(1, 0), (4_000, 0), (1 << 20, 0), (0, 1), (1, 1), (4_000, 2)] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
        let address = listener.local_addr().expect("address of the bound listener");
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut buffer = vec![0; 1 << 20];
            for _ in 0..answers {
                let count = stream.read(&mut buffer).expect("a request");
                assert!(count > 0);
                stream.write_all(answer).expect("written");
            }
            let mut left = read_bytes;
            while left > 0 {
                let end = left.min(buffer.len());
                match stream.read(&mut buffer[..end]) {
                    Ok(count) if count > 0 => left -= count,
                    _ => return,
                }
                if end < 1 << 20 {
                    continue;
                }
                return;
            }
        });
        for _ in 0..answers {
            send_start(&port, address, "work".into(), Instant(u64::MAX));
            assert_eq!(next_start(&mut events).await, Ok(Ok(())));
        }
        send_start(&port, address, "x".repeat(8 << 20), Instant(u64::MAX));
        let result = next_start(&mut events).await;
        // With nothing read, the client may find the connection closed before it writes, and get no other one.
        let is_unsent = read_bytes == 0 && matches!(result, Err(Fault::Refused));
        assert!(result == Err(Fault::Lost) || is_unsent, "{read_bytes} bytes, {answers} answers: {result:?}");
    }
}

/// Guards against a start that counts as not sent after its deadline and is written nevertheless.
#[actix_web::test]
async fn a_task_runs_twice_when_its_start_is_written_after_its_deadline() {
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("address of the bound listener");
    rt::time::sleep(Duration::from_millis(1)).await;
    send_start(&port, address, "work".into(), Instant(0));
    assert_eq!(next_start(&mut events).await, Err(Fault::NotSent));
    listener.set_nonblocking(true).expect("a listener without blocking");
    assert!(listener.accept().is_err(), "a connection was made");
}

/// A worker that counts its connections.
struct CountingWorker {
    address: SocketAddr,
    /// Connections that were made so far.
    made: Arc<AtomicUsize>,
    /// Connections that the port has not closed.
    open: Arc<AtomicUsize>,
}

/// Starts a worker that answers an order after `delay`, and leaves each order without an answer whose text contains
/// `unanswered`.
fn serve_counting(delay: Duration) -> CountingWorker {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("address of the bound listener");
    let (made, open) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let worker = CountingWorker { address, made: made.clone(), open: open.clone() };
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, open) = (stream.expect("a connection"), open.clone());
            made.fetch_add(1, Ordering::SeqCst);
            open.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let mut buffer = vec![0; 64 << 10];
                // The orders of these tests are small, so each arrives with its head or right after it.
                let mut received = String::new();
                while let Ok(count @ 1..) = stream.read(&mut buffer) {
                    received.push_str(&String::from_utf8_lossy(&buffer[..count]));
                    let is_complete =
                        received.split("\r\n\r\n").nth(1).is_some_and(|body| body.ends_with('}'));
                    if !is_complete {
                        continue;
                    }
                    if !received.contains("unanswered") {
                        std::thread::sleep(delay);
                        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"clock_ms\":1}";
                        if stream.write_all(answer).is_err() {
                            break;
                        }
                    }
                    received.clear();
                }
                open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    });
    worker
}

/// Guards against a leader that opens a connection for each order of a burst: those of lost leaders add up until the worker
/// accepts no more.
#[actix_web::test]
async fn a_burst_of_orders_uses_a_connection_for_each() {
    let worker = serve_counting(Duration::from_millis(2));
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for _ in 0..40 {
        send_start(&port, worker.address, "work".into(), Instant(u64::MAX));
    }
    for number in 0..40 {
        assert_eq!(next_start(&mut events).await, Ok(Ok(())), "order {number}");
    }
    let made = worker.made.load(Ordering::SeqCst);
    assert!(made <= 2, "{made} connections");
}

/// Guards against orders that wait behind others without an answer until these time out, and against a connection for each of
/// the unanswered ones.
#[actix_web::test]
async fn orders_wait_behind_unanswered_ones_until_these_time_out() {
    let worker = serve_counting(Duration::ZERO);
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for _ in 0..3 {
        send_start(&port, worker.address, "unanswered".into(), Instant(u64::MAX));
    }
    send_start(&port, worker.address, "work".into(), Instant(u64::MAX));
    let answer = rt::time::timeout(TIMEOUT / 2, next_start(&mut events)).await;
    assert_eq!(answer, Ok(Ok(Ok(()))));
    assert!(worker.made.load(Ordering::SeqCst) <= 4);
}

/// Guards against an order that is written after its deadline because it has waited for a free connection, and against one
/// that counts as lost although it was not written.
#[actix_web::test]
async fn an_order_that_waits_for_a_connection_is_written_after_its_deadline() {
    let worker = serve_counting(Duration::ZERO);
    let (inbox, mut events) = Inbox::new();
    let clock = Clock::start();
    let port = Port::new(TIMEOUT, clock, inbox);
    for _ in 0..4 {
        send_start(&port, worker.address, "unanswered".into(), Instant(u64::MAX));
    }
    // The four orders occupy all connections for orders after 0.15 s.
    rt::time::sleep(Duration::from_millis(300)).await;
    send_start(&port, worker.address, "work".into(), clock.now() + Duration::from_millis(100));
    let answer = rt::time::timeout(TIMEOUT / 2, next_start(&mut events)).await;
    assert_eq!(answer, Ok(Err(Fault::NotSent)));
    assert_eq!(worker.made.load(Ordering::SeqCst), 4);
}

/// Guards against a call that is lost, and leaves its start in doubt, because its connection was made while the process did
/// not run: the order was written after the time limit of the call, and given up at once.
#[actix_web::test]
async fn a_start_is_lost_when_the_process_is_behind() {
    let worker = serve_counting(Duration::from_millis(20));
    let (inbox, mut events) = Inbox::new();
    let timeout = Duration::from_millis(200);
    let port = Port::new(timeout, Clock::start(), inbox);
    for number in 0..3 {
        send_start(&port, worker.address, "work".into(), Instant(u64::MAX));
        // The port begins to connect, or writes on the connection of the order before. Then the process does not run.
        tokio::task::yield_now().await;
        std::thread::sleep(timeout * 2);
        assert_eq!(next_start(&mut events).await, Ok(Ok(())), "order {number}");
    }
    assert_eq!(worker.made.load(Ordering::SeqCst), 1);
}

/// Guards against connections beyond the usual ones that stay open after the worker answers again, and against those to a
/// worker that gets no more orders, which an entry VM that leads no more would keep.
#[actix_web::test]
async fn connections_that_are_not_needed_stay_open() {
    let worker = serve_counting(Duration::ZERO);
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(Duration::from_millis(800), Clock::start(), inbox);
    for _ in 0..4 {
        send_start(&port, worker.address, "unanswered".into(), Instant(u64::MAX));
    }
    for _ in 0..4 {
        assert_eq!(next_start(&mut events).await, Err(Fault::Lost));
    }
    let mut slow = serve_counting(Duration::from_millis(400));
    for _ in 0..4 {
        send_start(&port, slow.address, "work".into(), Instant(u64::MAX));
    }
    for _ in 0..4 {
        assert_eq!(next_start(&mut events).await, Ok(Ok(())));
    }
    assert_eq!(slow.open.load(Ordering::SeqCst), 4);
    rt::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(slow.open.load(Ordering::SeqCst), 0, "connections after extra orders");
    slow = worker;
    send_start(&port, slow.address, "work".into(), Instant(u64::MAX));
    assert_eq!(next_start(&mut events).await, Ok(Ok(())));
    assert_eq!(slow.open.load(Ordering::SeqCst), 1);
    rt::time::sleep(Duration::from_secs(12)).await;
    assert_eq!(slow.open.load(Ordering::SeqCst), 0, "connections of a worker without orders");
}
