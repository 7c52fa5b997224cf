//! Sample requests of a file, sent as a caller sends them; each answer is compared with the expected one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix_web::rt;
use awc::Client;
use hdrhistogram::Histogram;
use tokio::sync::Semaphore;

use crate::core::run;
use crate::declare::plan::Plan;
use crate::declare::sample::Sample;
use crate::standin::worker::http::{Answer, IDEMPOTENT, REQUEST_ID};

/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 32;

/// Maximum number of attempts per request; only a request that is refused without execution is sent again.
const MAX_ATTEMPTS: u32 = 20;

/// Delay before a refused request is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Upper limit of the latency histogram in microseconds; a higher latency is recorded as this value.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Results of the sample requests.
#[derive(Debug, Clone)]
pub struct Counters {
    /// Requests sent; a request counts once, however often it is refused.
    pub sent: u64,
    /// Requests with a correct answer.
    pub answered: u64,
    /// Refusals without execution.
    pub refused: u64,
    /// Requests that failed, were refused at every attempt or have an unknown outcome.
    pub lost: u64,
    /// Answers that are corrupt or belong to another request.
    pub wrong: u64,
    /// Latency of the answered requests in microseconds.
    pub latency_us: Histogram<u64>,
}

/// Result of one request, with the number of refusals before it.
enum Outcome {
    Answered { latency: Duration, refusals: u64 },
    Wrong,
    Lost { refusals: u64 },
}

/// A request, and the entry VM that it is sent to.
#[derive(Debug, Clone)]
struct Request {
    entry_vm: SocketAddr,
    path: String,
    upstream_path: String,
    id: String,
    is_idempotent: bool,
    body: Vec<u8>,
}

/// Sends the requests of all samples of a plan, spread over the entry VMs, and waits for the results.
pub async fn send_all(plan: Arc<Plan>, callers: Vec<SocketAddr>) -> Counters {
    let mut counters = Counters {
        sent: 0,
        answered: 0,
        refused: 0,
        lost: 0,
        wrong: 0,
        latency_us: Histogram::new_with_max(LATENCY_MAX_US, 3).unwrap_or_else(|_| unreachable!()),
    };
    let client = Client::builder().timeout(TIMEOUT).finish();
    let permits = Rc::new(Semaphore::new(MAX_IN_FLIGHT));
    let mut calls = Vec::new();
    for request in requests(&plan, &callers) {
        let (client, permits) = (client.clone(), Rc::clone(&permits));
        calls.push(rt::spawn(async move {
            let _permit = permits.acquire().await;
            send(&client, &request).await
        }));
    }
    for call in calls {
        counters.sent += 1;
        match call.await {
            Ok(Outcome::Answered { latency, refusals }) => {
                counters.answered += 1;
                counters.refused += refusals;
                counters.latency_us.saturating_record(latency.as_micros() as u64);
            }
            Ok(Outcome::Wrong) => counters.wrong += 1,
            Ok(Outcome::Lost { refusals }) => {
                counters.lost += 1;
                counters.refused += refusals;
            }
            Err(_) => counters.lost += 1,
        }
    }
    counters
}

/// Lists all requests of a plan; samples and entry VMs alternate.
fn requests(plan: &Plan, callers: &[SocketAddr]) -> Vec<Request> {
    let rounds = plan.samples.iter().map(|sample| sample.requests).max().unwrap_or(0);
    let sequence = (0..rounds).flat_map(|round| {
        plan.samples
            .iter()
            .enumerate()
            .filter(move |(_, sample)| round < sample.requests)
            .map(move |sample| (round, sample))
    });
    sequence
        .enumerate()
        .map(|(number, (round, (index, sample)))| {
            request(plan, sample, callers[number % callers.len()], (index, round))
        })
        .collect()
}

fn request(plan: &Plan, sample: &Sample, entry_vm: SocketAddr, (index, round): (usize, u32)) -> Request {
    let service = &plan.services[usize::from(sample.service.0)];
    let id = format!("sample-{index}-{round}");
    let body = id.bytes().cycle().take(sample.body_bytes as usize).collect();
    Request {
        entry_vm,
        path: format!("/{}{}", service.name, sample.path),
        upstream_path: sample.path.trim_start_matches('/').to_owned(),
        id,
        is_idempotent: service.is_idempotent(&sample.path),
        body,
    }
}

/// Sends a request until it is answered or lost, at most [`MAX_ATTEMPTS`] times; only a refusal is retried.
async fn send(client: &Client, request: &Request) -> Outcome {
    let mut refusals = 0;
    for _ in 0..MAX_ATTEMPTS {
        let sent_at = Instant::now();
        let sent = client
            .post(format!("http://{}{}", request.entry_vm, request.path))
            .insert_header((REQUEST_ID, request.id.as_str()))
            .insert_header((IDEMPOTENT, if request.is_idempotent { "1" } else { "0" }))
            .send_body(request.body.clone());
        let Ok(mut response) = sent.await else { return Outcome::Lost { refusals } };
        let Ok(body) = response.body().await else { return Outcome::Lost { refusals } };
        match response.status().as_u16() {
            200 if is_correct(request, &body) => {
                return Outcome::Answered { latency: sent_at.elapsed(), refusals };
            }
            200 => return Outcome::Wrong,
            503 => refusals += 1,
            _ => return Outcome::Lost { refusals },
        }
        rt::time::sleep(RETRY_DELAY).await;
    }
    Outcome::Lost { refusals }
}

/// Whether an answer is the one that a replica gives to this request.
fn is_correct(request: &Request, body: &[u8]) -> bool {
    let Ok(answer) = serde_json::from_slice::<Answer>(body) else { return false };
    let path = answer.path.trim_start_matches('/').to_owned();
    let expected = Answer::new(run::Id(answer.run), answer.path.clone(), &request.id, &request.body);
    path == request.upstream_path && answer == expected
}
