//! Tests of the store port of the job scheduler over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use nutmegfold::core::event::Event;
use nutmegfold::core::work::event::Event as WorkEvent;
use nutmegfold::core::work::store::{Call, Range, Reply, Request};
use nutmegfold::platform::store::Port;
use nutmegfold::port::Inbox;

/// Timeout of a store call.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after each part of an answer.
const PART_PAUSE: Duration = Duration::from_millis(400);

/// Parts of an answer, which together take longer than the timeout.
const PARTS: usize = 8;

/// Starts a store that answers one call with a page, in parts with a pause after each.
fn serve_in_parts() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("address of the bound listener");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let length = stream.read(&mut [0; 4096]).expect("a request");
        assert!(length > 0, "the client closed the connection");
        let body = format!(r#"{{"items":[],"as_of":7{}}}"#, " ".repeat(1_000));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).expect("the head is written");
        for part in body.as_bytes().chunks(body.len().div_ceil(PARTS)) {
            // The client closes the connection if it gives up.
            let Ok(()) = stream.write_all(part) else { return };
            thread::sleep(PART_PAUSE);
        }
    });
    address
}

/// Guards against a transfer that is discarded, and begun again, while it makes progress.
#[actix_web::test]
async fn an_answer_that_is_arriving_is_given_up() {
    let (inbox, mut events) = Inbox::new();
    let port = Port::new(serve_in_parts(), TIMEOUT, inbox);
    port.call(Call(1), Request::List { range: Range::Config, after: None, limit: None });
    let Some(Event::Work(WorkEvent::Store { reply, .. })) = events.recv().await else {
        panic!("no reply to the call");
    };
    let Reply::Page { items, next: None, as_of: 7, bytes } = reply else { panic!("not the page: {reply:?}") };
    assert!(items.is_empty());
    assert!(bytes > 1_000, "{bytes} bytes");
}
