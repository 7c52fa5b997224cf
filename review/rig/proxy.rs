//! Proxies: one of TCP connections that delays all bytes in both directions, and one of orders that holds back one start.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http;

pub struct Proxy {
    pub address: SocketAddr,
    /// Delay of one way in milliseconds.
    pub delay_ms: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let delay_ms = Arc::new(AtomicU64::new(0));
        let delay = Arc::clone(&delay_ms);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else { continue };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let pairs =
                    [(client.try_clone(), server.try_clone()), (server.try_clone(), client.try_clone())];
                for (from, to) in pairs {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    forward(from, to, Arc::clone(&delay));
                }
            }
        });
        Self { address, delay_ms }
    }
}

/// Passes on the bytes of one direction, each after the delay.
fn forward(mut from: TcpStream, mut to: TcpStream, delay_ms: Arc<AtomicU64>) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        for (due, bytes) in receiver {
            sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        let _ = to.shutdown(Shutdown::Both);
    });
    thread::spawn(move || {
        let mut buffer = [0; 16 << 10];
        while let Ok(count) = from.read(&mut buffer) {
            let delay = Duration::from_millis(delay_ms.load(Ordering::Relaxed));
            if count == 0 || sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() {
                break;
            }
        }
        let _ = from.shutdown(Shutdown::Read);
    });
}

/// Proxy of orders to a worker. It holds back the first start after it was asked to: the caller gets no answer, and the worker
/// gets the order later.
pub struct OrderProxy {
    pub address: SocketAddr,
    target: SocketAddr,
    shared: Arc<Held>,
}

#[derive(Default)]
struct Held {
    is_armed: AtomicBool,
    order: Mutex<Option<Vec<u8>>>,
}

impl OrderProxy {
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let shared = Arc::<Held>::default();
        let held = Arc::clone(&shared);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let held = Arc::clone(&held);
                thread::spawn(move || {
                    let _ = pass_orders(client, target, &held);
                });
            }
        });
        Self { address, target, shared }
    }

    /// Holds back the next start.
    pub fn arm(&self) {
        self.shared.is_armed.store(true, Ordering::Relaxed);
    }

    pub fn has_held(&self) -> bool {
        self.shared.order.lock().expect("no panic").is_some()
    }

    /// Delivers the start as soon as the worker accepts a connection; returns its answer.
    pub fn deliver(&self, limit: Duration) -> Option<String> {
        let order = self.shared.order.lock().expect("no panic").take()?;
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(mut stream) = TcpStream::connect(self.target) {
                stream.write_all(&order).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
                let mut answer = [0; 1 << 10];
                let count = stream.read(&mut answer).ok()?;
                return Some(String::from_utf8_lossy(&answer[..count]).replace("\r\n", " "));
            }
            sleep(Duration::from_millis(2));
        }
        None
    }
}

/// Passes on the orders of one connection.
fn pass_orders(client: TcpStream, target: SocketAddr, held: &Held) -> io::Result<()> {
    client.set_nodelay(true)?;
    let mut reader = BufReader::new(client.try_clone()?);
    let mut writer = client;
    let mut server: Option<TcpStream> = None;
    while let Some(request) = http::read_request(&mut reader)? {
        let bytes = encode(&request);
        if request.path == "/run-start" && held.is_armed.swap(false, Ordering::Relaxed) {
            *held.order.lock().expect("no panic") = Some(bytes);
            // The caller waits until it gives up.
            let mut rest = [0; 64];
            while reader.read(&mut rest)? > 0 {}
            return Ok(());
        }
        if server.is_none() {
            let stream = TcpStream::connect(target)?;
            stream.set_nodelay(true)?;
            server = Some(stream);
        }
        let Some(stream) = &mut server else { return Ok(()) };
        stream.write_all(&bytes)?;
        let mut answers = BufReader::new(stream.try_clone()?);
        let mut head = String::new();
        let mut length = 0;
        loop {
            let mut line = String::new();
            if answers.read_line(&mut line)? == 0 {
                return Ok(());
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
            head.push_str(&line);
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        answers.read_exact(&mut body)?;
        writer.write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

fn encode(request: &http::Request) -> Vec<u8> {
    let mut head = format!("{} {} HTTP/1.1\r\n", request.method, request.path);
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    [head.as_bytes(), b"\r\n", &request.body].concat()
}
