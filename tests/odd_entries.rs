//! Tests of entries that another writer left among those of the workers in the store, over real sockets.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use nutmegfold::core::event::Event;
use nutmegfold::core::work::event::Event as WorkEvent;
use nutmegfold::core::work::store::{Call, Change, Item, Range, Reply, Request};
use nutmegfold::platform::store::Port;
use nutmegfold::port::Inbox;

/// Timeout of a store call; it expires only if the port fails the test.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Entry of a worker in the platform's format, with another address, capacity or further fields.
fn entry(address: &str, cpu: &str, further: &str) -> String {
    format!(
        r#"{{"service":"desk","address":"{address}","zone":"z","state":"ready","born":1,"seq":7,
        "capacity":{{"cpu":{cpu},"mem_mb":1000}},"labels":["a","r-1"]{further}}}"#
    )
}

/// Entries of a good worker and of all kinds that another writer may leave, by the last part of their keys.
fn entries() -> Vec<(&'static str, Vec<u8>)> {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let text = |text: String| text.into_bytes();
    vec![
        ("good", text(entry("10.0.0.1:80", "8000", ""))),
        ("nested", text(nested(200_000))),
        ("nested-field", text(entry("10.0.0.2:80", "8000", &format!(r#","note":{}"#, nested(200_000))))),
        ("nested-capacity", text(entry("10.0.0.3:80", &nested(200_000), ""))),
        ("unclosed", text("[".repeat(200_000))),
        ("large-cpu", text(entry("10.0.0.4:80", "99999999999999999999999999", ""))),
        ("large-exponent", text(entry("10.0.0.5:80", "1e999", ""))),
        ("negative", text(entry("10.0.0.6:80", "-1", ""))),
        ("large-field", text(entry("10.0.0.7:80", "8000", r#","note":1e999"#))),
        ("port", text(entry("10.0.0.8:70000", "8000", ""))),
        ("no-port", text(entry("10.0.0.9", "8000", ""))),
        ("host", text(entry("worker.example:80", "8000", ""))),
        ("bytes", vec![0xff, 0xfe, 0x00, 0x80]),
        ("empty", Vec::new()),
        ("other-state", text(entry("10.0.0.10:80", "8000", "").replace("ready", "lost"))),
        ("number", text("17".into())),
        ("last", text(entry("10.0.0.11:80", "8000", ""))),
    ]
}

/// Rows of a page or of watch events; one row has a value that is not base64 text.
fn rows() -> String {
    let row = |(id, value): (&str, Vec<u8>)| {
        format!(r#"{{"key":"servers/{id}","value":"{}","revision":3}}"#, STANDARD.encode(value))
    };
    let mut rows: Vec<String> = entries().into_iter().map(row).collect();
    rows.insert(1, r#"{"key":"servers/no-base64","value":"%%%","revision":3}"#.into());
    rows.join(",")
}

/// Starts a store that answers calls with these bodies in turn; returns its address and the thread, which returns the
/// targets of the requests.
fn serve(bodies: Vec<String>) -> (SocketAddr, thread::JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a loopback port");
    let address = listener.local_addr().expect("address of the bound listener");
    let thread = thread::spawn(move || {
        let mut targets = Vec::new();
        for body in bodies {
            let (stream, _) = listener.accept().expect("a connection");
            let mut lines = BufReader::new(&stream).lines().map(|line| line.expect("a line"));
            targets.push(lines.next().expect("a request line"));
            lines.find(String::is_empty).expect("the end of the head");
            let length = body.len();
            let head = format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n");
            (&stream).write_all((head + &body).as_bytes()).expect("the answer is written");
        }
        targets
    });
    (address, thread)
}

async fn call(address: SocketAddr, request: Request) -> Reply {
    let (inbox, mut events) = Inbox::new();
    Port::new(address, TIMEOUT, inbox).call(Call(1), request);
    let Some(Event::Work(WorkEvent::Store { reply, .. })) = events.recv().await else {
        panic!("no reply to the call");
    };
    reply
}

/// Identities of the workers that can be used, and the number of all entries.
fn usable(items: impl Iterator<Item = Item>) -> (Vec<String>, usize) {
    let items: Vec<Item> = items.collect();
    let usable = items.iter().filter_map(|item| match item {
        Item::Worker(id, Some(_)) => Some(id.clone()),
        _ => None,
    });
    (usable.collect(), items.len())
}

/// Entries that are odd only in a field which is not read belong to workers that can be used.
const USABLE: [&str; 4] = ["good", "nested-field", "large-field", "last"];

/// Guards against an odd entry that ends the process, or hides the workers that are listed beside it.
#[actix_web::test]
async fn an_odd_entry_hides_the_listed_workers() {
    let (address, _store) = serve(vec![format!(r#"{{"items":[{}],"truncated":false,"as_of":9}}"#, rows())]);
    let request = Request::List { range: Range::Workers, after: None, limit: None };
    let Reply::Page { items, .. } = call(address, request).await else { panic!("no page") };
    let (usable, count) = usable(items.into_iter().map(|(item, _)| item));
    assert_eq!((usable, count), (USABLE.map(String::from).to_vec(), entries().len() + 1));
}

/// Guards against an odd entry that ends the process or its watch of the workers.
#[actix_web::test]
async fn an_odd_entry_ends_the_watch_of_the_workers() {
    let (address, _store) = serve(vec![format!(r#"{{"events":[{}],"as_of":9}}"#, rows())]);
    let request = Request::Watch {
        range: Range::Workers,
        after: 2,
        wait: Duration::ZERO,
        allowance: TIMEOUT,
        limit: None,
    };
    let Reply::Changes { changes, as_of, .. } = call(address, request).await else { panic!("no changes") };
    assert_eq!(as_of, 9);
    let items = changes.into_iter().filter_map(|change| match change {
        Change::Set(item, _) => Some(item),
        Change::Removed(_) => None,
    });
    let (usable, count) = usable(items);
    assert_eq!((usable, count), (USABLE.map(String::from).to_vec(), entries().len() + 1));
}

/// Guards against a list that is never read to its end because a page ends with a key that is not valid in a URL.
#[actix_web::test]
async fn a_page_after_an_odd_key_is_not_read() {
    for (key, escaped) in [
        ("servers/a b", "servers/a%20b"),
        ("servers/a&wait=1#x", "servers/a%26wait%3D1%23x"),
        ("servers/a%zz", "servers/a%25zz"),
        ("servers/ü", "servers/%C3%BC"),
    ] {
        let (address, store) = serve(vec![r#"{"items":[],"truncated":false,"as_of":9}"#.into()]);
        let request = Request::List { range: Range::Workers, after: Some(key.into()), limit: None };
        assert!(matches!(call(address, request).await, Reply::Page { .. }), "no page after {key}");
        let targets = store.join().expect("the targets");
        assert_eq!(targets, [format!("GET /kv-range?prefix=servers/&after={escaped} HTTP/1.1")]);
    }
}
