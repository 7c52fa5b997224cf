//! Orders to workers over real sockets.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, rt, web};
use nutmegfold::core::event::Event;
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::event::Event as WorkEvent;
use nutmegfold::core::work::order::Order;
use nutmegfold::core::work::worker::Key;
use nutmegfold::platform::worker::{Parcel, Port};
use nutmegfold::port::{Clock, Inbox};
use tokio::sync::Barrier;

/// Workers that are called at the same time.
const WORKERS: usize = 300;

/// Longest wait for an answer; only a port that fails waits for it.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Answers a renewal once renewals of all workers have arrived.
async fn hold(all: web::Data<Barrier>) -> HttpResponse {
    all.wait().await;
    HttpResponse::Ok().content_type("application/json").body(r#"{"clock_ms":1,"running":[],"ended":[]}"#)
}

/// Guards against long polls of some workers that keep the orders to all others waiting until they time out.
#[actix_web::test]
async fn long_polls_do_not_wait_for_one_another() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback is there");
    let address = listener.local_addr().expect("it is bound");
    let all = web::Data::from(Arc::new(Barrier::new(WORKERS)));
    let server =
        HttpServer::new(move || App::new().app_data(all.clone()).default_service(web::to(hold))).workers(1);
    let server = server.listen(listener).expect("the listener is usable").run();
    rt::spawn(server);
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(TIMEOUT, Clock::start(), inbox);
    for _ in 0..WORKERS {
        let order = Order::Hold { worker: Key::default(), until_ms: None, acknowledged: 0, wait_ms: 0 };
        let (sent, not_after) = (Instant(0), Instant(u64::MAX));
        port.send(Parcel { id: "w".into(), address, fence: 1, order, sent, not_after });
    }
    for number in 0..WORKERS {
        let Some(Event::Work(WorkEvent::LeaseRenewed { result, .. })) = events.recv().await else {
            panic!("no answer to renewal {number}");
        };
        assert!(result.is_ok(), "renewal {number}: {result:?}");
    }
}
