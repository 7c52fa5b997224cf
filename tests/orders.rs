//! Tests of the worker port over real sockets.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, rt, web};
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

/// Guards against a port in which the long polls of some workers delay the orders to all others until these time out.
#[actix_web::test]
async fn long_polls_do_not_block_one_another() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("address of the bound listener");
    let barrier = web::Data::from(Arc::new(Barrier::new(WORKERS)));
    let server = HttpServer::new(move || {
        App::new().app_data(barrier.clone()).default_service(web::to(answer_renewal))
    })
    .workers(1);
    let server = server.listen(listener).expect("listen on the bound listener").run();
    rt::spawn(server);
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for _ in 0..WORKERS {
        let order = Order::Renew { worker: Key::default(), until_ms: None, acknowledged: 0, wait_ms: 0 };
        let (sent, not_after) = (Instant(0), Instant(u64::MAX));
        port.send(Envelope { id: "w".into(), address, fence: 1, order, sent, not_after });
    }
    for number in 0..WORKERS {
        let Some(Event::Work(WorkEvent::LeaseRenewed { result, .. })) = events.recv().await else {
            panic!("no answer to renewal {number}");
        };
        assert!(result.is_ok(), "renewal {number}: {result:?}");
    }
}
