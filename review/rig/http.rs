//! HTTP/1.1 with bodies of stated length: a server with a thread for each connection, and a client with a connection for
//! each call.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        find(&self.query, name)
    }

    /// Value of a header, whose name is given in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(list: &'a [(String, String)], name: &str) -> &'a str {
    list.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value.as_str())
}

pub type Answer = (u16, String);

/// Answers requests until the process ends. Without an answer of the handler the connection is closed.
pub fn serve(listener: TcpListener, handler: impl Fn(Request) -> Option<Answer> + Send + Sync + 'static) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &dyn Fn(Request) -> Option<Answer>) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pair = |part: &str| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        (name.to_owned(), decode(value))
    };
    let query = query.split('&').filter(|part| !part.is_empty()).map(pair).collect();
    let (method, path) = (method.to_owned(), path.to_owned());
    let headers = read_headers(reader)?;
    let mut body = vec![0; find(&headers, "content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(Some(Request { method, path, query, headers, body }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(':') else { return Ok(headers) };
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

/// Decodes the escapes of a query.
fn decode(text: &str) -> String {
    let (mut out, bytes) = (Vec::new(), text.as_bytes());
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
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

/// Makes one call on a new connection. An error means that there was no complete answer.
pub fn call(
    address: SocketAddr,
    (method, host, path): (&str, &str, &str),
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nX-Timeout-Ms: {}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let status = line.split_whitespace().nth(1).and_then(|word| word.parse().ok());
    let status = status.ok_or(io::ErrorKind::UnexpectedEof)?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; find(&headers, "content-length").parse().unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}
