//! Requests in flight: queueing, dispatch to replicas and other entry VMs, retries and results.
//!
//! An exchange is one request with all its attempts. Before the effect that sends an attempt, the request certainly has
//! not run. After it, only the outcome shows whether it ran: a response, a refusal by the worker, or the report that
//! nothing was written to the connection.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::effect::Effect;
use super::member::{self, Health, Member};
use super::route;
use super::run;
use super::state::{State, record};
use super::time::Instant;
use super::timer::Timer;
use super::trace::Subject;
use crate::declare::plan::Plan;
use crate::declare::zone::Region;
use crate::declare::{service, spread};
use crate::hash::Map;

new_key_type! {
    /// Key of an exchange in this process.
    pub struct Key;
}

/// Identity of a request over all processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

/// Handle of a request at the port, which holds its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Handle at the port.
    pub ticket: Ticket,
    /// Identity; 0 to generate one, otherwise set by the entry VM that forwarded the request.
    pub id: Id,
    /// Service name.
    pub service: String,
    /// Path below the service name.
    pub path: String,
    /// Time left until the caller's deadline; `None` for the service's timeout, which is also the upper bound.
    pub timeout: Option<Duration>,
    /// Size of the body in bytes.
    pub bytes: u64,
    /// Whether another entry VM forwarded it; such a request is not forwarded again.
    pub forwarded: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The port holds the complete response.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Size of the response body in bytes.
        bytes: u64,
    },
    /// Nothing was written to the connection.
    NotWritten,
    /// The worker or the other entry VM reports that the request did not run.
    Refused,
    /// The response was lost, truncated or late; the request may have run.
    Lost,
}

/// An attempt that sends a request to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Exchange that the attempt belongs to.
    pub exchange: Key,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Handle of the request at the port.
    pub ticket: Ticket,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Run of the replica.
    pub run: run::Id,
    /// Time left until the deadline of the request.
    pub timeout: Duration,
    /// Expiry of the connection grant; after it the port writes nothing and reports [`Outcome::NotWritten`].
    pub not_after: Instant,
}

/// An attempt that forwards a request to another entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// Exchange that the attempt belongs to.
    pub exchange: Key,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Handle of the request at the port.
    pub ticket: Ticket,
    /// Identity of the request.
    pub id: Id,
    /// Peer address of the other entry VM.
    pub address: SocketAddr,
    /// Time left until the deadline of the request.
    pub timeout: Duration,
}

/// Why a request was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No service of this name is declared.
    NoService,
    /// This process has no configuration yet or is shutting down.
    NotReady,
    /// The queue is full, the deadline passed before an attempt succeeded, or the retry tokens are used up.
    Overloaded,
    /// No replica of the service can be reached.
    NoReplica,
}

/// Final result of a request, as the caller gets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The response of this attempt, which the port holds.
    Deliver {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// The request did not run.
    NotRun {
        /// Why it was refused.
        refusal: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run, and no response is available.
    Unknown,
}

/// State of an exchange.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// In the queue of its service, until a replica or another entry VM is available.
    Queued,
    /// Sent to a replica.
    Sent { target: route::Key, address: SocketAddr, sent: Instant },
    /// Forwarded to another entry VM; `region` is set if that VM is in another region.
    Forwarded { region: Option<Region> },
}

/// A request in flight.
#[derive(Debug, Clone)]
struct Exchange {
    ticket: Ticket,
    id: Id,
    service: service::Id,
    is_idempotent: bool,
    is_forwarded: bool,
    is_abandoned: bool,
    /// Whether an attempt was sent whose outcome is not known.
    may_have_run: bool,
    attempts: u32,
    deadline: Instant,
    bytes: u64,
    stage: Stage,
}

/// Token bucket, in bytes, of the link to another region.
#[derive(Debug, Clone, Copy)]
struct LinkBucket {
    bytes: f64,
    refilled: Instant,
}

/// Requests in flight.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Exchange>,
    by_ticket: Map<Ticket, Key>,
    queues: Map<service::Id, VecDeque<Key>>,
    /// Retry tokens of each service: a retry takes one, a new request adds `retry_percent` hundredths of one.
    retry_tokens: Map<service::Id, f64>,
    link_buckets: Map<Region, LinkBucket>,
    queued_count: usize,
}

impl Table {
    /// Number of requests in flight.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}

/// Largest number of retry tokens that a service can accumulate.
const RETRY_TOKENS_MAX: f64 = 10.0;

/// Length of a service's queue from which its requests are also forwarded to other zones of the region.
const SPILLOVER_ZONE_REQUESTS: usize = 64;

/// Length of a service's queue from which its requests are also forwarded to other regions. The links between regions
/// are slow and charged by volume.
const SPILLOVER_REGION_REQUESTS: usize = 256;

/// Share of the link between two regions that requests may use; the rest is reserved for control traffic.
const LINK_SHARE: f64 = 0.8;

/// Capacity of a link's token bucket, in seconds of its fill rate.
const LINK_BURST_S: f64 = 0.25;

/// Time after which the caller of a refused request may retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses a request, or dispatches it, or queues it until a target is available.
pub(crate) fn accept(state: &mut State, request: Request, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let ticket = request.ticket;
    if state.config.index.version == 0 {
        return refuse(state, ticket, Refusal::NotReady, out);
    }
    let service = service::Id::of(&request.service);
    let Some((_, declared)) = plan.service(service) else {
        return refuse(state, ticket, Refusal::NoService, out);
    };
    if state.exchanges.queued_count >= state.tuning.queue_limit {
        return refuse(state, ticket, Refusal::Overloaded, out);
    }
    let id = if request.id == Id(0) { Id(state.draw()) } else { request.id };
    let mut timeout = request.timeout.unwrap_or(declared.timeout).min(declared.timeout);
    if request.forwarded {
        if !has_usable_target(state, service) {
            return refuse(state, ticket, Refusal::NoReplica, out);
        }
        // The refusal must reach the forwarding VM before that VM times out, since after a timeout it cannot tell
        // whether the request ran.
        timeout = timeout * 9 / 10;
    }
    let deadline = state.now + timeout;
    let exchange = Exchange {
        ticket,
        id,
        service,
        is_idempotent: declared.is_idempotent(&request.path),
        is_forwarded: request.forwarded,
        is_abandoned: false,
        may_have_run: false,
        attempts: 0,
        deadline,
        bytes: request.bytes,
        stage: Stage::Queued,
    };
    let key = state.exchanges.arena.insert(exchange);
    state.exchanges.by_ticket.insert(ticket, key);
    state.timers.set(deadline, Timer::Deadline(key));
    let tokens_per_request = f64::from(state.tuning.retry_percent) / 100.0;
    let tokens = state.exchanges.retry_tokens.entry(service).or_insert(RETRY_TOKENS_MAX);
    *tokens = (*tokens + tokens_per_request).min(RETRY_TOKENS_MAX);
    if !dispatch(state, key, out) {
        enqueue(state, key);
    }
}

fn refuse(state: &mut State, ticket: Ticket, refusal: Refusal, out: &mut Vec<Effect>) {
    state.tally.refused += 1;
    out.push(Effect::Reply { ticket, completion: Completion::NotRun { refusal, retry_after: RETRY_AFTER } });
}

fn enqueue(state: &mut State, key: Key) {
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return };
    exchange.stage = Stage::Queued;
    let service = exchange.service;
    state.exchanges.queues.entry(service).or_default().push_back(key);
    state.exchanges.queued_count += 1;
}

/// Sends an exchange to a replica or forwards it to another entry VM; false if neither is available.
fn dispatch(state: &mut State, key: Key, out: &mut Vec<Effect>) -> bool {
    let Some(exchange) = state.exchanges.arena.get(key) else { return true };
    let service = exchange.service;
    match route::choose(state, service) {
        Some(target) => send(state, key, target, out),
        None => forward(state, key, out),
    }
}

fn send(state: &mut State, key: Key, target: route::Key, out: &mut Vec<Effect>) -> bool {
    let now = state.now;
    let Some(found) = state.routes.get(target).copied() else { return false };
    let Some(grant) = state.grants.valid(found.cell, now) else { return false };
    route::begin_request(state, target);
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return false };
    let address = found.route.address;
    exchange.attempts += 1;
    exchange.stage = Stage::Sent { target, address, sent: now };
    let reason = format!("attempt {} to replica {:x}", exchange.attempts, found.route.run.0);
    record(out, Subject::Exchange(exchange.id), "send", reason);
    out.push(Effect::Send(Send {
        exchange: key,
        attempt: exchange.attempts,
        ticket: exchange.ticket,
        address,
        run: found.route.run,
        timeout: exchange.deadline.since(now),
        not_after: grant.expires,
    }));
    true
}

/// Forwards an exchange to another entry VM; false if none is available or the budget of the link is used up.
fn forward(state: &mut State, key: Key, out: &mut Vec<Effect>) -> bool {
    let now = state.now;
    let Some(exchange) = state.exchanges.arena.get(key) else { return true };
    if exchange.is_forwarded {
        return false;
    }
    let Some((address, region)) = choose_member(state, exchange) else { return false };
    if let Some(region) = region
        && !take_link_bytes(state, region, key)
    {
        return false;
    }
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return true };
    exchange.attempts += 1;
    exchange.stage = Stage::Forwarded { region };
    record(
        out,
        Subject::Exchange(exchange.id),
        "forward",
        format!("to {address}, in another region: {}", region.is_some()),
    );
    out.push(Effect::Forward(Forward {
        exchange: key,
        attempt: exchange.attempts,
        ticket: exchange.ticket,
        id: exchange.id,
        address,
        timeout: exchange.deadline.since(now),
    }));
    true
}

/// Chooses another entry VM to forward an exchange to, and gives its region if it is a different one.
///
/// Live members of this zone are tried first, but only without a usable target here. Other zones of the region, then
/// other regions, are tried in that case too, and otherwise once the queue reaches its spillover limit.
fn choose_member(state: &State, exchange: &Exchange) -> Option<(SocketAddr, Option<Region>)> {
    let plan = &state.config.plan;
    let waiting = state.exchanges.queues.get(&exchange.service).map_or(0, VecDeque::len);
    let has_local_target = has_usable_target(state, exchange.service);
    let seed = exchange.id.0 ^ u64::from(exchange.attempts);
    let choose = |accept: &dyn Fn(&Member) -> bool| {
        let candidates = state
            .members
            .iter()
            .filter(|member| member.listed && member.health != Health::Leaving && member.id.0 != 0)
            .filter(|member| accept(member))
            .map(|member| member.id.0);
        let first = *crate::hash::rendezvous(seed, candidates).first()?;
        state.members.get(member::Id(first)).map(|member| member.address)
    };
    let (_, own_zone) = plan.zone(state.me.zone)?;
    let serves = |member: &Member| is_declared_in(plan, exchange.service, member.zone);
    let region_of = |member: &Member| plan.zone(member.zone).map(|(_, zone)| zone.region);
    if !has_local_target {
        let neighbour = |m: &Member| m.zone == state.me.zone && m.health == Health::Live && serves(m);
        if let Some(address) = choose(&neighbour) {
            return Some((address, None));
        }
    }
    if !has_local_target || waiting >= SPILLOVER_ZONE_REQUESTS {
        let same_region =
            |m: &Member| m.zone != state.me.zone && region_of(m) == Some(own_zone.region) && serves(m);
        if let Some(address) = choose(&same_region) {
            return Some((address, None));
        }
    }
    if !has_local_target || waiting >= SPILLOVER_REGION_REQUESTS {
        for region in 0..plan.regions.len() as u16 {
            let region = Region(region);
            let other = |m: &Member| region != own_zone.region && region_of(m) == Some(region) && serves(m);
            if let Some(address) = choose(&other) {
                return Some((address, Some(region)));
            }
        }
    }
    None
}

/// Whether this process holds a connection grant for a cell with a replica of the service that is not leaving.
fn has_usable_target(state: &State, service: service::Id) -> bool {
    let targets = state.routes.for_service(service).iter().filter_map(|key| state.routes.get(*key));
    targets.into_iter().any(|t| !t.route.leaving && state.grants.valid(t.cell, state.now).is_some())
}

/// Whether the plan places replicas of a service in a zone.
fn is_declared_in(plan: &Plan, service: service::Id, zone: crate::declare::zone::Id) -> bool {
    let Some((key, declared)) = plan.service(service) else { return false };
    let Some((_, zone)) = plan.zone(zone) else { return false };
    plan.cells(zone).any(|cell| spread::replicas(plan, key, declared.replicas.0, cell) > 0)
}

/// Takes the bytes of a request from the token bucket of the link to a region; false if the bucket is empty.
fn take_link_bytes(state: &mut State, region: Region, key: Key) -> bool {
    let rate = link_rate(state, region);
    let now = state.now;
    let Some(bytes) = state.exchanges.arena.get(key).map(|exchange| exchange.bytes as f64) else {
        return false;
    };
    let burst = rate * LINK_BURST_S;
    let bucket =
        state.exchanges.link_buckets.entry(region).or_insert(LinkBucket { bytes: burst, refilled: now });
    bucket.bytes = (bucket.bytes + rate * now.since(bucket.refilled).as_secs_f64()).min(burst);
    bucket.refilled = now;
    if bucket.bytes <= 0.0 {
        return false;
    }
    bucket.bytes -= bytes;
    true
}

/// Bytes per second that this process may send over the link to a region. All members of the own region have equal
/// shares.
fn link_rate(state: &State, region: Region) -> f64 {
    let plan = &state.config.plan;
    let Some((_, own)) = plan.zone(state.me.zone) else { return 0.0 };
    let is_link = |a: Region, b: Region| (a, b) == (own.region, region) || (b, a) == (own.region, region);
    let Some(link) = plan.links.iter().find(|link| is_link(link.between.0, link.between.1)) else {
        return 0.0;
    };
    let in_region = |m: &&Member| plan.zone(m.zone).is_some_and(|(_, zone)| zone.region == own.region);
    let sender_count = 1 + state.members.iter().filter(in_region).count();
    link.bits_per_second as f64 / 8.0 * LINK_SHARE / sender_count as f64
}

/// Takes the bytes of a response from the token bucket, which may become negative.
fn charge_response(state: &mut State, region: Region, bytes: u64) {
    if let Some(bucket) = state.exchanges.link_buckets.get_mut(&region) {
        bucket.bytes -= bytes as f64;
    }
}

/// Handles the end of an attempt; an outcome of an earlier attempt than the latest is ignored.
pub(crate) fn finish_attempt(
    state: &mut State,
    key: Key,
    attempt: u32,
    outcome: Outcome,
    out: &mut Vec<Effect>,
) {
    let now = state.now;
    let Some(exchange) = state.exchanges.arena.get(key).filter(|exchange| exchange.attempts == attempt)
    else {
        return;
    };
    match exchange.stage {
        Stage::Queued => return,
        Stage::Sent { target, address, sent } => {
            let latency = matches!(outcome, Outcome::Answered { .. }).then(|| now.since(sent));
            route::end_request(state, target, address, latency);
        }
        Stage::Forwarded { region: Some(region) } => {
            if let Outcome::Answered { bytes, .. } = outcome {
                charge_response(state, region, bytes);
            }
        }
        Stage::Forwarded { region: None } => {}
    }
    resolve_attempt(state, key, attempt, outcome, out);
    dispatch_queued(state, out);
}

/// Delivers the response of an attempt that ended, or retries the request, or fails it.
fn resolve_attempt(state: &mut State, key: Key, attempt: u32, outcome: Outcome, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return };
    if exchange.is_abandoned {
        return remove(state, key);
    }
    if let Outcome::Answered { .. } = outcome {
        state.tally.answered += 1;
        return reply(state, key, Completion::Deliver { attempt }, out);
    }
    exchange.may_have_run |= outcome == Outcome::Lost;
    exchange.stage = Stage::Queued;
    let is_retryable = !exchange.may_have_run || exchange.is_idempotent;
    let (id, service, has_time) = (exchange.id, exchange.service, now < exchange.deadline);
    if is_retryable && has_time && take_retry_token(state, service) {
        record(out, Subject::Exchange(id), "retry", format!("attempt {attempt} ended: {outcome:?}"));
        if !dispatch(state, key, out) {
            enqueue(state, key);
        }
        return;
    }
    fail(state, key, Refusal::Overloaded, out);
}

fn take_retry_token(state: &mut State, service: service::Id) -> bool {
    let Some(tokens) = state.exchanges.retry_tokens.get_mut(&service).filter(|tokens| **tokens >= 1.0) else {
        return false;
    };
    *tokens -= 1.0;
    true
}

/// Reports to the caller that the request did not run, or that its outcome is unknown.
fn fail(state: &mut State, key: Key, refusal: Refusal, out: &mut Vec<Effect>) {
    let Some(exchange) = state.exchanges.arena.get(key) else { return };
    let id = exchange.id;
    if exchange.may_have_run {
        state.tally.unknown += 1;
        record(out, Subject::Exchange(id), "unknown", "an attempt was sent and its response was lost");
        return reply(state, key, Completion::Unknown, out);
    }
    state.tally.refused += 1;
    record(out, Subject::Exchange(id), "refuse", format!("{refusal:?}"));
    reply(state, key, Completion::NotRun { refusal, retry_after: RETRY_AFTER }, out);
}

fn reply(state: &mut State, key: Key, completion: Completion, out: &mut Vec<Effect>) {
    if let Some(ticket) = state.exchanges.arena.get(key).map(|exchange| exchange.ticket) {
        out.push(Effect::Reply { ticket, completion });
    }
    remove(state, key);
}

fn remove(state: &mut State, key: Key) {
    if let Some(exchange) = state.exchanges.arena.remove(key) {
        state.exchanges.by_ticket.remove(&exchange.ticket);
    }
}

/// Fails a queued exchange whose deadline passed.
///
/// An attempt that was sent has the same deadline at its port, which reports its outcome.
pub(crate) fn expire(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let Some(exchange) = state.exchanges.arena.get(key).filter(|exchange| exchange.stage == Stage::Queued)
    else {
        return;
    };
    let service = exchange.service;
    remove_queued(state, service, key);
    let has_targets = !state.routes.for_service(service).is_empty();
    fail(state, key, if has_targets { Refusal::Overloaded } else { Refusal::NoReplica }, out);
}

fn remove_queued(state: &mut State, service: service::Id, key: Key) {
    let Some(queue) = state.exchanges.queues.get_mut(&service) else { return };
    let before = queue.len();
    queue.retain(|queued| *queued != key);
    state.exchanges.queued_count -= before - queue.len();
}

/// Ends a request whose caller disconnected: at once if it is queued, otherwise with its current attempt.
pub(crate) fn abandon(state: &mut State, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(key) = state.exchanges.by_ticket.get(&ticket).copied() else { return };
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return };
    exchange.is_abandoned = true;
    record(out, Subject::Exchange(exchange.id), "abandon", "the caller disconnected");
    if exchange.stage == Stage::Queued {
        let service = exchange.service;
        remove_queued(state, service, key);
        remove(state, key);
    }
}

/// Dispatches the queued requests of each service until no target is available for the next one.
pub(crate) fn dispatch_queued(state: &mut State, out: &mut Vec<Effect>) {
    if state.exchanges.queued_count == 0 {
        return;
    }
    let mut services: Vec<service::Id> = state.exchanges.queues.keys().copied().collect();
    services.sort_unstable();
    for service in services {
        dispatch_queue(state, service, out);
    }
}

fn dispatch_queue(state: &mut State, service: service::Id, out: &mut Vec<Effect>) {
    while let Some(key) = state.exchanges.queues.get(&service).and_then(|queue| queue.front().copied()) {
        if !dispatch(state, key, out) {
            return;
        }
        if let Some(queue) = state.exchanges.queues.get_mut(&service) {
            queue.pop_front();
        }
        state.exchanges.queued_count -= 1;
    }
}
