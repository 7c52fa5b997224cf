//! Tests of the worker port over real sockets.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, FromRequest, HttpResponse, HttpServer, rt, web};
use nutmegfold::core::event::Event;
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::event::Event as WorkEvent;
use nutmegfold::core::work::order::Order;
use nutmegfold::core::work::worker::Key;
use nutmegfold::platform::worker::{Envelope, Port};
use nutmegfold::port::{Clock, Inbox};
use tokio::sync::Barrier;

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
