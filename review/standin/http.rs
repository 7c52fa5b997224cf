//! HTTP/1.1 server and client for the stand-ins, one thread a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A request as the server read it.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn parameter(&self, name: &str) -> Option<&str> {
        self.query.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// What the server does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answers with a status and a JSON body.
    Send(u16, String),
    /// Never answers; the connection stays open and silent.
    Silent,
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

impl Server {
    /// Serves requests on a listener until it is stopped.
    pub fn start(listener: TcpListener, handler: Handler) -> Server {
        let server = Server { is_stopped: Arc::default(), connections: Arc::default() };
        let running = server.clone();
        listener.set_nonblocking(true).expect("a listener can be non-blocking");
        thread::spawn(move || {
            while !running.is_stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let Ok(copy) = stream.try_clone() else { continue };
                running.connections.lock().expect("lock").push(copy);
                let (handler, server) = (Arc::clone(&handler), running.clone());
                thread::spawn(move || server.serve(stream, &handler));
            }
        });
        server
    }

    /// Stops listening, and closes all connections, as the end of a process does.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        for stream in self.connections.lock().expect("lock").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let reply = handler(&request);
            if self.is_stopped.load(Ordering::Relaxed) {
                return;
            }
            match reply {
                Reply::Send(status, body) => {
                    let head = format!(
                        "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                        body.len()
                    );
                    if writer.write_all((head + &body).as_bytes()).is_err() {
                        return;
                    }
                }
                Reply::Silent => {
                    let _ = std::io::copy(&mut reader, &mut std::io::sink());
                    return;
                }
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), value.replace("%2F", "/"))).collect();
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path: path.to_owned(), query, headers, body })
}

/// Sends a request on a new connection; `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    writer.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((first.split(' ').nth(1)?.parse().ok()?, String::from_utf8(body).ok()?))
}
