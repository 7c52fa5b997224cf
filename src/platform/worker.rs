//! HTTP client for orders to workers.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt;
use awc::Client;
use awc::http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::Instant as Deadline;

use super::link::{Table, Turn};
use super::task::{EndedRow, RunningRow};
use crate::core::event::Event;
use crate::core::time::Instant;
use crate::core::work::event::{Event as WorkEvent, Fault};
use crate::core::work::order::{Listing, Order, Refusal, Reply};
use crate::port::http::{self, Answer, DeadlineBody};
use crate::port::{Clock, Inbox};

const RENEW_PATH: &str = "/hold";
const START_PATH: &str = "/run-start";
const STOP_PATH: &str = "/run-stop";
const PACE_PATH: &str = "/pace";

/// Most ended runs in one answer of a worker.
const ENDS_PER_LISTING: usize = 500;

/// Header with the identity of the worker that the order is for. Another worker at the same address refuses the order.
const TARGET_HEADER: &str = "X-Target-Instance";

/// Client of the workers; sends its orders on the arbiter on which it was created.
#[derive(Clone)]
pub struct Port {
    links: Table,
    timeout: Duration,
    clock: Clock,
    inbox: Inbox,
}

/// An order with its destination and its time limit.
#[derive(Debug)]
pub struct Envelope {
    /// Identity of the worker that the order is for.
    pub id: String,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Fencing token: the term of the leader that sends the order.
    pub fence: u64,
    /// The order itself.
    pub order: Order,
    /// When the order was issued.
    pub sent: Instant,
    /// Time after which the order is not written to the connection.
    pub not_after: Instant,
}

#[derive(Serialize)]
struct RenewBody {
    fence: u64,
    acked_upto: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    #[serde(skip_serializing_if = "is_zero")]
    wait_ms: u64,
}

#[derive(Serialize)]
struct StartBody<'a> {
    task: String,
    run: u32,
    spec: &'a str,
    deadline_ms: u64,
    fence: u64,
    #[serde(skip_serializing_if = "str::is_empty")]
    saved: &'a str,
}

#[derive(Serialize)]
struct StopBody {
    task: String,
    run: u32,
    fence: u64,
}

#[derive(Serialize)]
struct PaceBody {
    task: String,
    run: u32,
    percent: u32,
    fence: u64,
}

#[derive(Deserialize)]
struct AnswerBody {
    clock_ms: Option<u64>,
    reason: Option<String>,
}

/// Both lists are required: an answer without them does not show that there are no runs.
#[derive(Deserialize)]
struct ListingBody {
    clock_ms: Option<u64>,
    born: Option<u64>,
    running: Vec<RunningRow>,
    ended: Vec<EndedRow>,
}

fn is_zero(value: &u64) -> bool {
    *value == 0
}

impl Port {
    /// Returns a client that waits `timeout` for an answer, plus the wait that an order requests.
    pub fn new(timeout: Duration, clock: Clock, inbox: Inbox) -> Self {
        Self { links: Table::new(timeout), timeout, clock, inbox }
    }

    /// Sends an order; the answer, or the reason why there is none, arrives as an event.
    pub fn send(&self, envelope: Envelope) {
        let port = self.clone();
        rt::spawn(async move {
            let event = port.execute(envelope).await;
            port.inbox.send(Event::Work(event));
        });
    }

    async fn execute(&self, envelope: Envelope) -> WorkEvent {
        match &envelope.order {
            Order::Renew { worker, until_ms, acknowledged, wait_ms } => {
                let body = RenewBody {
                    fence: envelope.fence,
                    acked_upto: *acknowledged,
                    deadline_ms: *until_ms,
                    wait_ms: *wait_ms,
                };
                let wait = Duration::from_millis(*wait_ms);
                let result = self.call(&envelope, RENEW_PATH, &body, wait).await.and_then(decode_listing);
                WorkEvent::LeaseRenewed { worker: *worker, sent: envelope.sent, result }
            }
            Order::Start { run, name, number, job_text, until_ms, checkpoint } => {
                let body = StartBody {
                    task: name.to_string(),
                    run: *number,
                    spec: job_text,
                    deadline_ms: *until_ms,
                    fence: envelope.fence,
                    saved: checkpoint,
                };
                let result =
                    self.call(&envelope, START_PATH, &body, Duration::ZERO).await.and_then(decode_reply);
                WorkEvent::Started { run: *run, result }
            }
            Order::Stop { run, name, number } => {
                let body = StopBody { task: name.to_string(), run: *number, fence: envelope.fence };
                let result =
                    self.call(&envelope, STOP_PATH, &body, Duration::ZERO).await.and_then(decode_reply);
                WorkEvent::Stopped { run: *run, sent: envelope.sent, result }
            }
            Order::Pace { run, name, number, percent } => {
                let (task, fence) = (name.to_string(), envelope.fence);
                let body = PaceBody { task, run: *number, percent: *percent, fence };
                let result =
                    self.call(&envelope, PACE_PATH, &body, Duration::ZERO).await.and_then(decode_reply);
                WorkEvent::PaceChanged { run: *run, percent: *percent, result }
            }
        }
    }

    async fn call(
        &self,
        envelope: &Envelope,
        path: &str,
        body: &impl Serialize,
        wait: Duration,
    ) -> Result<Answer, Fault> {
        let body = serde_json::to_vec(body).map_err(|error| {
            log::error!("an order cannot be encoded: {error}");
            Fault::NotSent
        })?;
        let now = self.clock.now();
        if now > envelope.not_after {
            return Err(Fault::NotSent);
        }
        let turn = match envelope.order {
            Order::Renew { .. } => Turn::Renewal,
            Order::Start { .. } | Order::Stop { .. } | Order::Pace { .. } => Turn::Order,
        };
        let deadline = Deadline::now() + envelope.not_after.since(now).min(self.timeout);
        let body = DeadlineBody::new(body, self.clock, envelope.not_after);
        let call = async |client: Client| {
            let written = body.written();
            let request = client
                .post(format!("http://{}{path}", envelope.address))
                .insert_header((TARGET_HEADER, envelope.id.as_str()))
                .content_type("application/json")
                .send_body(body);
            http::receive_written(request, written, wait, self.timeout).await
        };
        let answer = self.links.call(envelope.address, turn, deadline, call).await;
        answer.unwrap_or(Err(http::Fault::NotWritten)).map_err(|fault| match fault {
            http::Fault::Refused => Fault::Refused,
            http::Fault::NotWritten => Fault::NotSent,
            http::Fault::Lost => Fault::Lost,
        })
    }
}

fn decode_reply(answer: Answer) -> Result<Reply<()>, Fault> {
    let body: Option<AnswerBody> = serde_json::from_slice(&answer.body).ok();
    let clock_ms = body.as_ref().and_then(|body| body.clock_ms);
    let reason = body.as_ref().and_then(|body| body.reason.as_deref());
    let outcome = decode_outcome(answer.status, reason)?;
    if outcome.is_ok() && clock_ms.is_none() {
        log::warn!("an order was answered without the clock of a worker");
        return Err(Fault::Lost);
    }
    Ok(Reply { clock_ms, outcome })
}

fn decode_listing(answer: Answer) -> Result<Reply<Listing>, Fault> {
    if answer.status != StatusCode::OK {
        let Reply { clock_ms, outcome } = decode_reply(answer)?;
        return Ok(Reply { clock_ms, outcome: outcome.map(|()| Listing::default()) });
    }
    let body: ListingBody = serde_json::from_slice(&answer.body).map_err(|error| {
        log::warn!("a worker sent a malformed listing: {error}");
        Fault::Lost
    })?;
    let ListingBody { clock_ms, born, running, ended } = body;
    let has_more_ends = ended.len() >= ENDS_PER_LISTING;
    let running = running.into_iter().filter_map(RunningRow::decode).collect();
    let ended = ended.into_iter().filter_map(EndedRow::decode).collect();
    Ok(Reply { clock_ms, outcome: Ok(Listing { started_unix_ms: born, running, ended, has_more_ends }) })
}

/// Outcome of an order according to the worker. Any other status, such as that of a proxy, does not tell whether the order
/// was executed.
fn decode_outcome(status: StatusCode, reason: Option<&str>) -> Result<Result<(), Refusal>, Fault> {
    let refusal = match (status, reason) {
        (StatusCode::OK, _) => return Ok(Ok(())),
        (StatusCode::CONFLICT, Some("fence")) => Refusal::Fence,
        (StatusCode::CONFLICT, Some("old")) => Refusal::Old,
        (StatusCode::CONFLICT, Some("late")) => Refusal::Late,
        (StatusCode::CONFLICT, Some("room")) => Refusal::Room,
        (StatusCode::CONFLICT, Some("ticket"))
        | (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE, _) => Refusal::Busy,
        (StatusCode::MISDIRECTED_REQUEST, _) => Refusal::Instance,
        (StatusCode::BAD_REQUEST, _) => Refusal::Malformed,
        _ => {
            log::warn!("an order was answered with unexpected status {status}");
            return Err(Fault::Lost);
        }
    };
    Ok(Err(refusal))
}
