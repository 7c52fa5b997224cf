//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Debug, Clone)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    /// Value of a parameter of the query, with its escapes resolved.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let mut pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, body: body.into() }
    }
}

/// Handler of a server; `None` leaves the request unanswered, and its connection open.
pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A server that can be ended like a process: its port closes, and its connections are closed.
pub struct Server {
    pub address: SocketAddr,
    is_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: (Ipv4Addr, u16), handler: Handler) -> io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let is_ended = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (ended, open) = (Arc::clone(&is_ended), Arc::clone(&streams));
        thread::spawn(move || {
            for stream in listener.incoming() {
                if ended.load(Ordering::SeqCst) {
                    break;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().expect("streams").push(copy);
                }
                let (handler, ended) = (Arc::clone(&handler), Arc::clone(&ended));
                thread::spawn(move || {
                    let _ = serve(stream, &handler, &ended);
                });
            }
        });
        Ok(Server { address, is_ended, streams })
    }

    pub fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, so that it drops the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().expect("streams").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn serve(stream: TcpStream, handler: &Handler, is_ended: &AtomicBool) -> io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some(request) = read_request(&mut reader)? else { return Ok(()) };
        if is_ended.load(Ordering::SeqCst) {
            return Ok(());
        }
        match handler(request) {
            Some(response) if !is_ended.load(Ordering::SeqCst) => {
                let head = format!(
                    "HTTP/1.1 {} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    response.status,
                    response.body.len()
                );
                let mut bytes = head.into_bytes();
                bytes.extend(response.body);
                writer.write_all(&bytes)?;
            }
            _ => {
                // The connection stays open until the other side closes it.
                let mut rest = Vec::new();
                let _ = reader.read_to_end(&mut rest);
                return Ok(());
            }
        }
    }
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Vec<(String, String)>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let find = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    if find("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(&chunk[..size]);
        }
    }
    let length = find("content-length").and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &headers)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Some(Request {
        method: method.to_owned(),
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// Sends a request on a new connection; `None` if there is no whole answer within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let exchange = || -> io::Result<Option<Response>> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        head += "Content-Type: application/json\r\n";
        for (key, value) in headers {
            head += &format!("{key}: {value}\r\n");
        }
        stream.write_all(format!("{head}\r\n{body}").as_bytes())?;
        let mut reader = BufReader::new(stream);
        let Some((first, headers)) = read_head(&mut reader)? else { return Ok(None) };
        let body = read_body(&mut reader, &headers)?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        Ok(Some(Response { status, body }))
    };
    exchange().ok().flatten()
}
