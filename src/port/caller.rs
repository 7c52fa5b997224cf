//! HTTP server for callers.
//!
//! Reads a request completely, hands its size and key to the reducer, waits for the completion, and answers. A request
//! that is malformed or too large never reaches the reducer, so it surely did not run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use actix_web::dev::ServerHandle;
use actix_web::http::header::{self, HeaderMap, HeaderValue};
use actix_web::http::{KeepAlive, Method, StatusCode};
use actix_web::web::{self, Bytes, Data, Payload};
use actix_web::{App, HttpRequest, HttpResponse, HttpResponseBuilder, HttpServer};

use super::Inbox;
use super::body::{Guard, Table};
use super::message::{self, Answer, Header, OUTCOME, REQUEST_ID, Request, TIMEOUT};
use crate::core::event::Event;
use crate::core::exchange::{self, Completion, Refusal};
use crate::error::{Error, Result};

/// Limits on callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body of a request in bytes.
    pub body: usize,
    /// Longest time to read the head of a request.
    pub head_time: Duration,
    /// Longest time to read the body of a request.
    pub body_time: Duration,
    /// How long an idle connection is kept.
    pub keep_alive: Duration,
    /// Connections open at once; further ones wait to be accepted.
    pub connections: usize,
    /// Longest wait for requests in flight in a graceful stop.
    pub drain: Duration,
    /// Threads that serve connections.
    pub threads: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            head_time: Duration::from_secs(5),
            body_time: Duration::from_secs(10),
            keep_alive: Duration::from_secs(15),
            connections: 4096,
            drain: Duration::from_secs(600),
            threads: 2,
        }
    }
}

/// A running server.
#[derive(Debug, Clone)]
pub struct Handle {
    server: ServerHandle,
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
}

impl Handle {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening, and returns when all connections have ended.
    ///
    /// A graceful stop lets requests in flight finish, within the drain limit; each answer then closes its connection.
    pub async fn stop(&self, graceful: bool) {
        self.stopping.store(true, Ordering::Relaxed);
        self.server.stop(graceful).await;
    }
}

#[derive(Debug, Clone)]
struct Port {
    limits: Limits,
    inbox: Inbox,
    bodies: Table,
    stopping: Arc<AtomicBool>,
}

/// Starts to serve callers; must be called inside an actix system.
pub fn serve(address: SocketAddr, limits: Limits, inbox: Inbox, bodies: Table) -> Result<Handle> {
    let stopping = Arc::new(AtomicBool::new(false));
    let port = Port { limits, inbox, bodies, stopping: Arc::clone(&stopping) };
    let server = HttpServer::new(move || {
        App::new().app_data(Data::new(port.clone())).default_service(web::to(handle))
    })
    .workers(limits.threads)
    .max_connections(limits.connections.div_ceil(limits.threads.max(1)))
    .client_request_timeout(limits.head_time)
    .client_disconnect_timeout(Duration::from_secs(1))
    .keep_alive(KeepAlive::Timeout(limits.keep_alive))
    .shutdown_timeout(limits.drain.as_secs())
    // A caller that closes its side gets no answer; this tells the reducer at once.
    .h1_allow_half_closed(false)
    .disable_signals()
    .bind(address)
    .map_err(|source| Error::io(format!("listening for callers on {address}"), source))?;
    let address = server.addrs().first().copied().unwrap_or(address);
    let server = server.run();
    let handle = Handle { server: server.handle(), address, stopping };
    actix_web::rt::spawn(async move {
        if let Err(error) = server.await {
            log::error!("the server for callers failed: {error}");
        }
    });
    Ok(handle)
}

async fn handle(request: HttpRequest, payload: Payload, port: Data<Port>) -> HttpResponse {
    let mut response = match port.accept(&request, payload).await {
        Ok(guard) => port.finish(request.method(), guard).await,
        Err(fault) => fault.response(),
    };
    if port.stopping.load(Ordering::Relaxed) {
        response.head_mut().set_connection_type(actix_web::http::ConnectionType::Close);
    }
    response
}

impl Port {
    /// Reads the request and tells the reducer about it.
    async fn accept(&self, head: &HttpRequest, payload: Payload) -> std::result::Result<Guard, Fault> {
        let headers = head.headers();
        if headers.contains_key(header::TRANSFER_ENCODING) && headers.contains_key(header::CONTENT_LENGTH) {
            return Err(Fault::Malformed("both Content-Length and Transfer-Encoding are set"));
        }
        let Some((service, path)) = message::target(head.uri().path()) else {
            return Err(Fault::Malformed("the target is not /<service>/<path>"));
        };
        let timeout = timeout(headers)?;
        let request = Request {
            method: head.method().clone(),
            service: service.to_owned(),
            path: path.to_owned(),
            query: head.uri().query().map(str::to_owned),
            headers: with_id(message::end_to_end(headers)),
            body: self.read(headers, payload).await?,
        };
        let event = exchange::Request {
            ticket: exchange::Ticket(0),
            id: exchange::Id(0),
            service: request.service.clone(),
            path: request.path.clone(),
            timeout,
            bytes: request.body.len() as u64,
            forwarded: false,
        };
        let guard = self.bodies.open(request, &self.inbox);
        self.inbox.send(Event::Request(exchange::Request { ticket: guard.ticket(), ..event }));
        Ok(guard)
    }

    async fn read(&self, headers: &HeaderMap, payload: Payload) -> std::result::Result<Bytes, Fault> {
        let declared =
            headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse().ok());
        if declared.is_some_and(|length: usize| length > self.limits.body) {
            return Err(Fault::TooLarge(self.limits.body));
        }
        let reading = payload.to_bytes_limited(self.limits.body);
        match actix_web::rt::time::timeout(self.limits.body_time, reading).await {
            Err(_) => Err(Fault::Slow),
            Ok(Err(_)) => Err(Fault::TooLarge(self.limits.body)),
            Ok(Ok(Err(_))) => Err(Fault::Malformed("the body is malformed or cut off")),
            Ok(Ok(Ok(body))) => Ok(body),
        }
    }

    async fn finish(&self, method: &Method, mut guard: Guard) -> HttpResponse {
        match guard.completion().await {
            Completion::Deliver { attempt } => match guard.answer(attempt) {
                Some(answer) => deliver(method, answer),
                None => {
                    log::error!("no answer of attempt {attempt} is held for request {}", guard.ticket().0);
                    unknown()
                }
            },
            Completion::NotRun { refusal, retry_after } => not_run(refusal, retry_after),
            Completion::Unknown => unknown(),
        }
    }
}

/// Why a request never reached the reducer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Malformed(&'static str),
    TooLarge(usize),
    Slow,
}

impl Fault {
    /// The rest of the request is not read, so the connection ends with the response.
    fn response(self) -> HttpResponse {
        let (status, detail) = match self {
            Self::Malformed(detail) => (StatusCode::BAD_REQUEST, detail.to_owned()),
            Self::TooLarge(limit) => {
                (StatusCode::PAYLOAD_TOO_LARGE, format!("the body is larger than {limit} bytes"))
            }
            Self::Slow => (StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time".to_owned()),
        };
        let mut response = HttpResponse::build(status);
        response.insert_header((OUTCOME, "not-run")).force_close();
        problem(response, status, &detail)
    }
}

fn timeout(headers: &HeaderMap) -> std::result::Result<Option<Duration>, Fault> {
    let Some(value) = headers.get(TIMEOUT) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.trim().parse::<u32>().ok());
    let Some(millis) = millis else {
        return Err(Fault::Malformed("x-timeout-ms is not a number of milliseconds"));
    };
    Ok(Some(Duration::from_millis(millis.into())))
}

fn with_id(mut headers: Vec<Header>) -> Vec<Header> {
    if !headers.iter().any(|(name, _)| *name == REQUEST_ID) {
        let id = format!("{:016x}", rand::random::<u64>());
        headers.extend(HeaderValue::try_from(id).map(|value| (REQUEST_ID, value)));
    }
    headers
}

/// An answer to HEAD and a 304 stand for a body that they do not carry, so no length is claimed for them.
fn deliver(method: &Method, answer: Answer) -> HttpResponse {
    let mut response = HttpResponse::build(answer.status);
    for header in answer.headers {
        response.append_header(header);
    }
    if *method == Method::HEAD || answer.status == StatusCode::NOT_MODIFIED {
        return response.body(actix_web::body::None::new()).map_into_boxed_body();
    }
    response.body(answer.body)
}

fn not_run(refusal: Refusal, retry_after: Duration) -> HttpResponse {
    let (status, detail) = match refusal {
        Refusal::NoService => (StatusCode::NOT_FOUND, "there is no such service"),
        Refusal::NotReady => {
            (StatusCode::SERVICE_UNAVAILABLE, "this entry VM has no configuration or is shutting down")
        }
        Refusal::Overloaded => {
            (StatusCode::SERVICE_UNAVAILABLE, "no connection to a replica was free in time")
        }
        Refusal::NoReplica => (StatusCode::SERVICE_UNAVAILABLE, "no replica can be reached"),
    };
    let seconds = retry_after.as_millis().div_ceil(1000).max(1);
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME, "not-run")).insert_header((header::RETRY_AFTER, seconds.to_string()));
    problem(response, status, detail)
}

fn unknown() -> HttpResponse {
    let status = StatusCode::GATEWAY_TIMEOUT;
    let mut response = HttpResponse::build(status);
    response.insert_header((OUTCOME, "unknown"));
    problem(response, status, "the answer was lost; the request may have run")
}

/// Problem details (RFC 9457).
fn problem(mut response: HttpResponseBuilder, status: StatusCode, detail: &str) -> HttpResponse {
    let body = serde_json::json!({
        "type": "about:blank",
        "title": status.canonical_reason().unwrap_or_default(),
        "status": status.as_u16(),
        "detail": detail,
    });
    response.content_type("application/problem+json").body(body.to_string())
}
