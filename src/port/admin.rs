//! Administration API: operators' calls over HTTP.
//!
//! Each call gets a ticket, is sent to the reducer as an event, and waits for the answer with the same ticket. The guard
//! of a waiting call gives the ticket up when the operator disconnects or the deadline passes.

use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use actix_web::dev::Server;
use actix_web::http::StatusCode;
use actix_web::{App, HttpRequest, HttpResponse, HttpServer, error, web};
use tokio::sync::oneshot;

use super::Inbox;
use crate::core::admin::{Answer, Command, Ticket};
use crate::core::event::Event;
use crate::error::{Error, Result};
use crate::hash::Map;
use crate::telemetry::metric::Metrics;
use crate::timeline::writer::Writer;
use crate::wire::admin::{self as wire, Problem, Success};

/// Largest document in bytes, the largest value of the store.
const DOCUMENT_LIMIT: usize = 1_000_000;

/// What the port reads from and writes to.
#[derive(Debug, Clone)]
pub struct Context {
    /// Events to the reducer.
    pub inbox: Inbox,
    /// Timeline of this process.
    pub timeline: Writer,
    /// Metrics of this process.
    pub metrics: Metrics,
    /// What the readiness check says.
    pub ready: Arc<AtomicBool>,
    /// How long a call waits for the reducer's answer.
    pub deadline: Duration,
}

/// The administration port of one process; clones share it.
#[derive(Debug, Clone)]
pub struct Port {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    context: Context,
    next: AtomicU64,
    waiting: Mutex<Map<Ticket, oneshot::Sender<Answer>>>,
}

impl Port {
    /// A port that does not listen yet.
    pub fn new(context: Context) -> Self {
        let shared = Shared { context, next: AtomicU64::new(1), waiting: Mutex::default() };
        Self { shared: Arc::new(shared) }
    }

    /// Hands an answer to the operator who waits for it; it is dropped if the operator is gone.
    pub fn answer(&self, ticket: Ticket, answer: Answer) {
        let sender = self.waiting().remove(&ticket);
        if sender.is_none_or(|sender| sender.send(answer).is_err()) {
            log::debug!("answer dropped: no operator waits for call {}", ticket.0);
        }
    }

    /// Number of calls that wait for an answer.
    pub fn pending(&self) -> usize {
        self.waiting().len()
    }

    /// A server on `listener`, to be awaited in an actix system.
    ///
    /// # Errors
    ///
    /// The socket cannot be used.
    pub fn listen(&self, listener: TcpListener) -> Result<Server> {
        let port = self.clone();
        let server = HttpServer::new(move || App::new().configure(|config| routes(config, port.clone())))
            .workers(1)
            .disable_signals()
            // A closed connection ends the call at once, which gives its ticket up.
            .h1_allow_half_closed(false)
            .listen(listener)
            .map_err(|error| Error::io("listen for operators", error))?;
        Ok(server.run())
    }

    fn waiting(&self) -> MutexGuard<'_, Map<Ticket, oneshot::Sender<Answer>>> {
        self.shared.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn call(&self, command: Command) -> Call {
        let ticket = Ticket(self.shared.next.fetch_add(1, Ordering::Relaxed));
        let (sender, receiver) = oneshot::channel();
        self.waiting().insert(ticket, sender);
        self.shared.context.inbox.send(Event::Admin { ticket, command });
        Call { port: self.clone(), ticket, receiver }
    }

    /// Asks the reducer; `late` is the problem if it gives no answer.
    async fn ask(&self, command: Command, late: impl FnOnce() -> Problem) -> HttpResponse {
        let mut call = self.call(command);
        match tokio::time::timeout(self.shared.context.deadline, &mut call.receiver).await {
            Ok(Ok(answer)) => respond(answer),
            Ok(Err(_)) | Err(_) => problem(late()),
        }
    }
}

/// A call that waits for its answer.
struct Call {
    port: Port,
    ticket: Ticket,
    receiver: oneshot::Receiver<Answer>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.port.waiting().remove(&self.ticket);
    }
}

fn routes(config: &mut web::ServiceConfig, port: Port) {
    config
        .app_data(web::Data::new(port))
        .app_data(web::PayloadConfig::new(DOCUMENT_LIMIT))
        .app_data(web::QueryConfig::default().error_handler(|error, _| bad_request(error)))
        .app_data(web::PathConfig::default().error_handler(|error, _| bad_request(error)))
        .route("/v1/documents/{name}", web::put().to(apply))
        .route("/v1/status", web::get().to(status))
        .route("/v1/tasks/{job}/{index}", web::get().to(why))
        .route("/v1/drain/{vm}", web::post().to(drain))
        .route("/v1/timeline", web::get().to(timeline))
        .route("/metrics", web::get().to(metrics))
        .route("/ready", web::get().to(ready))
        .default_service(web::to(missing));
}

async fn apply(
    port: web::Data<Port>,
    name: web::Path<String>,
    change: web::Query<wire::Change>,
    body: std::result::Result<web::Bytes, error::Error>,
) -> HttpResponse {
    let text = match body.map(|body| String::from_utf8(body.to_vec())) {
        Ok(Ok(text)) => text,
        Ok(Err(error)) => return problem(bad(400, format!("the document is not UTF-8: {error}"))),
        Err(error) => {
            let status = error.as_response_error().status_code().as_u16();
            return problem(bad(status, format!("the document cannot be read: {error}")));
        }
    };
    let wire::Change { base, author } = change.into_inner();
    let applied_s = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    let author = author.unwrap_or_default();
    let command = Command::Apply { name: name.into_inner(), text, base, author, applied_s };
    port.ask(command, || Problem::unknown(None)).await
}

async fn status(port: web::Data<Port>) -> HttpResponse {
    port.ask(Command::Status, no_answer).await
}

async fn why(port: web::Data<Port>, path: web::Path<(String, u32)>) -> HttpResponse {
    let (job, index) = path.into_inner();
    port.ask(Command::Why { job, index }, no_answer).await
}

async fn drain(port: web::Data<Port>, vm: web::Path<String>) -> HttpResponse {
    port.ask(Command::Drain { vm: vm.into_inner() }, || Problem::unknown(None)).await
}

async fn timeline(port: web::Data<Port>, selection: web::Query<wire::Selection>) -> HttpResponse {
    let wire::Selection { subject, after } = selection.into_inner();
    let entries = port.shared.context.timeline.entries(after.unwrap_or(0), subject.as_deref());
    let lines: String = entries.iter().map(|entry| entry.to_line() + "\n").collect();
    HttpResponse::Ok().content_type(wire::NDJSON_TYPE).body(lines)
}

async fn metrics(port: web::Data<Port>) -> HttpResponse {
    match port.shared.context.metrics.render() {
        Ok(text) => HttpResponse::Ok().content_type(prometheus::TEXT_FORMAT).body(text),
        Err(error) => problem(Problem::new(500, "internal", "Internal error", error.to_string())),
    }
}

async fn ready(port: web::Data<Port>) -> HttpResponse {
    if port.shared.context.ready.load(Ordering::Relaxed) {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn missing(request: HttpRequest) -> HttpResponse {
    let detail = format!("there is no {} {}", request.method(), request.path());
    problem(Problem::new(404, "not-found", "Not found", detail))
}

fn respond(answer: Answer) -> HttpResponse {
    match wire::encode(answer) {
        Ok(Success::Done) => HttpResponse::NoContent().finish(),
        Ok(success) => HttpResponse::Ok().json(success),
        Err(details) => problem(*details),
    }
}

fn problem(details: Problem) -> HttpResponse {
    let status = StatusCode::from_u16(details.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    HttpResponse::build(status).content_type(wire::PROBLEM_TYPE).json(details)
}

fn bad(status: u16, detail: String) -> Problem {
    Problem::new(status, "bad-request", "The request cannot be read", detail)
}

fn bad_request(error: impl std::error::Error + 'static) -> error::Error {
    let response = problem(bad(400, error.to_string()));
    error::InternalError::from_response(error.to_string(), response).into()
}

fn no_answer() -> Problem {
    Problem::new(504, "no-answer", "No answer in time", "the process did not answer before the deadline")
}
