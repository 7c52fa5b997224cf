//! Tests of the ports over real sockets whose connections go silent: the server accepts new ones and answers on them, and
//! never answers on those that were open before.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use nutmegfold::core::event::Event;
use nutmegfold::core::time::Instant;
use nutmegfold::core::work::event::Event as WorkEvent;
use nutmegfold::core::work::order::Order;
use nutmegfold::core::work::run;
use nutmegfold::core::work::spec::{Id, Name};
use nutmegfold::core::work::store::{Call, Range, Reply, Request};
use nutmegfold::platform::{store, worker};
use nutmegfold::port::{Clock, Inbox};
use tokio::sync::mpsc::UnboundedReceiver;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Time that the server takes for an answer, so that calls that are made together use a connection each.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Answer that both the store and a worker might give.
const BODY: &str = r#"{"items":[],"as_of":7,"clock_ms":1}"#;

/// A server whose connections can go silent.
#[derive(Clone)]
struct Server {
    address: SocketAddr,
    /// Number of connections accepted so far.
    accepted: Arc<AtomicUsize>,
    /// Number of the first connection that is answered.
    first_answered: Arc<AtomicUsize>,
}

impl Server {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
        let address = listener.local_addr().expect("address of the bound listener");
        let server = Self { address, accepted: Arc::default(), first_answered: Arc::default() };
        let started = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let number = server.accepted.fetch_add(1, Ordering::SeqCst);
                let (stream, server) = (stream.expect("a connection"), server.clone());
                thread::spawn(move || server.answer(&stream, number));
            }
        });
        started
    }

    /// Lets all connections that are open go silent.
    fn silence(&self) {
        self.first_answered.store(self.accepted.load(Ordering::SeqCst), Ordering::SeqCst);
    }

    /// Answers the requests on a connection until the client closes it.
    fn answer(&self, mut stream: &TcpStream, number: usize) {
        let mut reader = BufReader::new(stream);
        while read_request(&mut reader).is_some() {
            thread::sleep(ANSWER_TIME);
            if number < self.first_answered.load(Ordering::SeqCst) {
                continue;
            }
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{BODY}", BODY.len());
            let Ok(()) = stream.write_all(answer.as_bytes()) else { return };
        }
    }
}

/// Reads a request; `None` if the client has closed the connection.
fn read_request(reader: &mut impl BufRead) -> Option<()> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()
}

/// Next event of a port about a job.
async fn next(events: &mut UnboundedReceiver<Event>) -> WorkEvent {
    let Some(Event::Work(event)) = events.recv().await else { panic!("no event about a job") };
    event
}

/// Whether the store answered the next call that ends.
async fn store_answered(events: &mut UnboundedReceiver<Event>) -> bool {
    let WorkEvent::Store { reply, .. } = next(events).await else { panic!("no reply of the store") };
    reply != Reply::Lost
}

fn list() -> Request {
    Request::List { range: Range::Config, after: None, limit: None }
}

/// Guards against a call to the store on a pooled connection that went silent, after another call has shown the silence.
#[actix_web::test]
async fn a_call_to_the_store_takes_another_silent_connection() {
    const CONNECTIONS: u64 = 4;
    let server = Server::start();
    let (inbox, mut events) = Inbox::new();
    let port = store::Port::new(server.address, TIMEOUT, inbox);
    for call in 0..CONNECTIONS {
        port.call(Call(call), list());
    }
    for _ in 0..CONNECTIONS {
        assert!(store_answered(&mut events).await);
    }
    assert_eq!(server.accepted.load(Ordering::SeqCst), CONNECTIONS as usize);
    server.silence();
    port.call(Call(10), list());
    assert!(!store_answered(&mut events).await, "the connection is not silent");
    for call in 11..11 + CONNECTIONS {
        port.call(Call(call), list());
    }
    for _ in 0..CONNECTIONS {
        assert!(store_answered(&mut events).await);
    }
}

/// Guards against a watch on a silent connection that is given up late: an answer is due at the end of its wait.
#[actix_web::test]
async fn a_watch_is_lost_later_than_its_allowance() {
    let server = Server::start();
    let (inbox, mut events) = Inbox::new();
    // The timeout of other calls would last longer than the test may.
    let port = store::Port::new(server.address, Duration::from_secs(3_600), inbox);
    port.call(Call(1), list());
    assert!(store_answered(&mut events).await);
    server.silence();
    let (range, wait, allowance) = (Range::Config, ANSWER_TIME, ANSWER_TIME);
    port.call(Call(2), Request::Watch { range, after: 1, wait, allowance, limit: None });
    assert!(!store_answered(&mut events).await, "the connection is not silent");
    port.call(Call(3), list());
    assert!(store_answered(&mut events).await);
}

/// Whether a worker answered the next order that ends.
async fn worker_answered(events: &mut UnboundedReceiver<Event>) -> bool {
    let WorkEvent::PaceChanged { result, .. } = next(events).await else { panic!("no answer of the worker") };
    result.is_ok()
}

/// Guards against an order on a pooled connection that went silent, after another order has shown the silence.
#[actix_web::test]
async fn an_order_takes_another_silent_connection() {
    // Orders that a worker gets at the same time.
    const ORDERS: usize = 2;
    let server = Server::start();
    let (inbox, mut events) = Inbox::new();
    let clock = Clock::start();
    let port = worker::Port::new(TIMEOUT, clock, inbox);
    let order = |_| {
        let name = Name { job: Id(1), occurrence: 0, step: 0, index: 0 };
        port.send(worker::Envelope {
            id: "w-1".into(),
            address: server.address,
            fence: 1,
            order: Order::Pace { run: run::Key::default(), name, number: 1, percent: 50 },
            sent: clock.now(),
            not_after: Instant(u64::MAX),
        });
    };
    (0..ORDERS).for_each(order);
    for _ in 0..ORDERS {
        assert!(worker_answered(&mut events).await);
    }
    server.silence();
    order(0);
    assert!(!worker_answered(&mut events).await, "the connection is not silent");
    (0..ORDERS).for_each(order);
    for _ in 0..ORDERS {
        assert!(worker_answered(&mut events).await);
    }
}
