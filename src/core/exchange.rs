//! Exchanges: requests of callers and their answers.
//!
//! The effect that sends an attempt is the single point of decision: before it, the request surely did not run; after
//! it, only the answer, the worker's refusal, or proof that nothing was written tells.

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

/// Names a request at the port that holds its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Names the request at the port.
    pub ticket: Ticket,
    /// Identity; 0 to draw one, else given by the entry VM that forwarded it.
    pub id: Id,
    /// Service name.
    pub service: String,
    /// Path below the service name.
    pub path: String,
    /// Time left; `None` for the service's time-out.
    pub timeout: Option<Duration>,
    /// Body size in bytes.
    pub bytes: u64,
    /// Handed over by another entry VM, so that it is not handed on again.
    pub forwarded: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The complete answer is at the port.
    Answered {
        /// HTTP status.
        status: u16,
        /// Body size in bytes.
        bytes: u64,
    },
    /// Nothing was written to the connection.
    NotWritten,
    /// The worker, or the other entry VM, says that the request did not run.
    Refused,
    /// The answer was lost, cut off or late; the request may have run.
    Lost,
}

/// An attempt at a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// The exchange.
    pub exchange: Key,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Names the request at the port.
    pub ticket: Ticket,
    /// Worker's address.
    pub address: SocketAddr,
    /// Replica.
    pub run: run::Id,
    /// Time left for the answer.
    pub timeout: Duration,
    /// Report [`Outcome::NotWritten`] instead of writing after this time.
    pub not_after: Instant,
}

/// A request handed to an entry VM of another zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// The exchange.
    pub exchange: Key,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Names the request at the port.
    pub ticket: Ticket,
    /// Identity of the request.
    pub id: Id,
    /// Peer address of the other entry VM.
    pub address: SocketAddr,
    /// Time left for the answer.
    pub timeout: Duration,
}

/// Why a request was refused without running.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No such service.
    NoService,
    /// This process has no configuration yet or is shutting down.
    NotReady,
    /// The queue is full, or the deadline passed while waiting.
    Overloaded,
    /// No replica can be reached.
    NoReplica,
}

/// What the caller gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The answer of this attempt, which the port holds.
    Deliver {
        /// Number of the attempt.
        attempt: u32,
    },
    /// The request did not run.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// When to try again.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown,
}

/// Where an exchange stands.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// Waits for a target.
    Queued,
    /// Sent to a replica.
    Sent { target: route::Key, address: SocketAddr, at: Instant },
    /// Handed to another entry VM.
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
    /// An attempt was sent whose outcome is not known.
    may_have_run: bool,
    attempts: u32,
    deadline: Instant,
    bytes: u64,
    stage: Stage,
}

/// Bytes that may cross the link to another region.
#[derive(Debug, Clone, Copy)]
struct Budget {
    bytes: f64,
    at: Instant,
}

/// Requests in flight.
#[derive(Debug, Clone, Default)]
pub struct Table {
    arena: SlotMap<Key, Exchange>,
    by_ticket: Map<Ticket, Key>,
    queues: Map<service::Id, VecDeque<Key>>,
    /// Retries that each service may still make; every request adds a part of one.
    credits: Map<service::Id, f64>,
    budgets: Map<Region, Budget>,
    queued: usize,
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

/// Retries that a service may save up.
const CREDIT_LIMIT: f64 = 10.0;

/// Requests of a service that wait before others go to another zone of the region.
const SPILL_ZONE: usize = 64;

/// Requests of a service that wait before others go to another region, whose link is slow and paid for by volume.
const SPILL_REGION: usize = 256;

/// Share of the link between two regions that requests may use; the rest is for control traffic.
const LINK_SHARE: f64 = 0.8;

/// Seconds of link budget that can be saved up.
const BURST_S: f64 = 0.25;

/// When a refused caller should try again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Accepts a request.
pub(crate) fn open(state: &mut State, request: Request, out: &mut Vec<Effect>) {
    let plan = state.config.plan.clone();
    let ticket = request.ticket;
    if state.config.index.version == 0 {
        return refuse(state, ticket, Refusal::NotReady, out);
    }
    let service = service::Id::of(&request.service);
    let Some((_, declared)) = plan.service(service) else {
        return refuse(state, ticket, Refusal::NoService, out);
    };
    if state.exchanges.queued >= state.tuning.queue_limit {
        return refuse(state, ticket, Refusal::Overloaded, out);
    }
    let id = if request.id == Id(0) { Id(state.next_random()) } else { request.id };
    let mut timeout = request.timeout.unwrap_or(declared.timeout).min(declared.timeout);
    if request.forwarded {
        if !has_usable_target(state, service) {
            return refuse(state, ticket, Refusal::NoReplica, out);
        }
        // The refusal has to arrive before the sender gives up, who would not know whether the request ran.
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
    let gain = f64::from(state.tuning.retry_percent) / 100.0;
    let credit = state.exchanges.credits.entry(service).or_insert(CREDIT_LIMIT);
    *credit = (*credit + gain).min(CREDIT_LIMIT);
    if !dispatch(state, key, out) {
        enqueue(state, key);
    }
}

fn refuse(state: &mut State, ticket: Ticket, refusal: Refusal, out: &mut Vec<Effect>) {
    state.counters.refused += 1;
    out.push(Effect::Reply { ticket, verdict: Verdict::NotRun { refusal, retry_after: RETRY_AFTER } });
}

fn enqueue(state: &mut State, key: Key) {
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return };
    exchange.stage = Stage::Queued;
    let service = exchange.service;
    state.exchanges.queues.entry(service).or_default().push_back(key);
    state.exchanges.queued += 1;
}

/// Sends an exchange to a replica or to another entry VM, if there is one.
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
    let Some(held) = state.grants.valid(found.cell, now) else { return false };
    route::take(state, target);
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return false };
    let address = found.route.address;
    exchange.attempts += 1;
    exchange.stage = Stage::Sent { target, address, at: now };
    let reason = format!("attempt {} to replica {:x}", exchange.attempts, found.route.run.0);
    record(out, Subject::Exchange(exchange.id), "send", reason);
    out.push(Effect::Send(Send {
        exchange: key,
        attempt: exchange.attempts,
        ticket: exchange.ticket,
        address,
        run: found.route.run,
        timeout: exchange.deadline.since(now),
        not_after: held.until,
    }));
    true
}

/// Hands an exchange to another entry VM: of this zone if this process has no grant, else of another zone.
fn forward(state: &mut State, key: Key, out: &mut Vec<Effect>) -> bool {
    let now = state.now;
    let Some(exchange) = state.exchanges.arena.get(key) else { return true };
    if exchange.is_forwarded {
        return false;
    }
    let Some((address, region)) = other_member(state, exchange) else { return false };
    if let Some(region) = region
        && !spend(state, region, key)
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
        format!("to {address}, other region {}", region.is_some()),
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

/// An entry VM that may have a free replica, with the region if it is another one.
fn other_member(state: &State, exchange: &Exchange) -> Option<(SocketAddr, Option<Region>)> {
    let plan = &state.config.plan;
    let waiting = state.exchanges.queues.get(&exchange.service).map_or(0, VecDeque::len);
    let can_serve_here = has_usable_target(state, exchange.service);
    let seed = exchange.id.0 ^ u64::from(exchange.attempts);
    let pick = |accept: &dyn Fn(&Member) -> bool| {
        let candidates = state
            .members
            .iter()
            .filter(|member| member.is_listed && member.health != Health::Leaving && member.id.0 != 0)
            .filter(|member| accept(member))
            .map(|member| member.id.0);
        let first = *crate::hash::rendezvous(seed, candidates).first()?;
        state.members.get(member::Id(first)).map(|member| member.address)
    };
    let (_, own_zone) = plan.zone(state.me.zone)?;
    let serves = |member: &Member| serves_zone(plan, exchange.service, member.zone);
    let region_of = |member: &Member| plan.zone(member.zone).map(|(_, zone)| zone.region);
    if !can_serve_here {
        let neighbour = |m: &Member| m.zone == state.me.zone && m.health == Health::Live && serves(m);
        if let Some(address) = pick(&neighbour) {
            return Some((address, None));
        }
    }
    if !can_serve_here || waiting >= SPILL_ZONE {
        let same_region =
            |m: &Member| m.zone != state.me.zone && region_of(m) == Some(own_zone.region) && serves(m);
        if let Some(address) = pick(&same_region) {
            return Some((address, None));
        }
    }
    if !can_serve_here || waiting >= SPILL_REGION {
        for region in 0..plan.regions.len() as u16 {
            let region = Region(region);
            let other = |m: &Member| region != own_zone.region && region_of(m) == Some(region) && serves(m);
            if let Some(address) = pick(&other) {
                return Some((address, Some(region)));
            }
        }
    }
    None
}

/// Whether this process holds a grant for a cell with a replica of the service.
fn has_usable_target(state: &State, service: service::Id) -> bool {
    let targets = state.routes.of(service).iter().filter_map(|key| state.routes.get(*key));
    targets.into_iter().any(|t| !t.route.leaving && state.grants.valid(t.cell, state.now).is_some())
}

/// Whether the plan has replicas of a service in a zone.
fn serves_zone(plan: &Plan, service: service::Id, zone: crate::declare::zone::Id) -> bool {
    let Some((key, declared)) = plan.service(service) else { return false };
    let Some((_, zone)) = plan.zone(zone) else { return false };
    plan.cells(zone).any(|cell| spread::replicas(plan, key, declared.replicas.0, cell) > 0)
}

/// Takes the bytes of a request from the budget of the link to a region.
fn spend(state: &mut State, region: Region, key: Key) -> bool {
    let rate = link_rate(state, region);
    let now = state.now;
    let Some(bytes) = state.exchanges.arena.get(key).map(|exchange| exchange.bytes as f64) else {
        return false;
    };
    let burst = rate * BURST_S;
    let budget = state.exchanges.budgets.entry(region).or_insert(Budget { bytes: burst, at: now });
    budget.bytes = (budget.bytes + rate * now.since(budget.at).as_secs_f64()).min(burst);
    budget.at = now;
    if budget.bytes <= 0.0 {
        return false;
    }
    budget.bytes -= bytes;
    true
}

/// Bytes per second that this process may send over the link to a region: an equal share of the link.
fn link_rate(state: &State, region: Region) -> f64 {
    let plan = &state.config.plan;
    let Some((_, own)) = plan.zone(state.me.zone) else { return 0.0 };
    let joins = |a: Region, b: Region| (a, b) == (own.region, region) || (b, a) == (own.region, region);
    let Some(link) = plan.links.iter().find(|link| joins(link.between.0, link.between.1)) else { return 0.0 };
    let in_region = |m: &&Member| plan.zone(m.zone).is_some_and(|(_, zone)| zone.region == own.region);
    let sharing = 1 + state.members.iter().filter(in_region).count();
    link.bits_per_second as f64 / 8.0 * LINK_SHARE / sharing as f64
}

/// Takes the bytes of an answer from the budget, which may become negative.
fn charge(state: &mut State, region: Region, bytes: u64) {
    if let Some(budget) = state.exchanges.budgets.get_mut(&region) {
        budget.bytes -= bytes as f64;
    }
}

/// An attempt ended.
pub(crate) fn attempt_ended(
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
        Stage::Sent { target, address, at } => {
            let latency = matches!(outcome, Outcome::Answered { .. }).then(|| now.since(at));
            route::release(state, target, address, latency);
        }
        Stage::Forwarded { region: Some(region) } => {
            if let Outcome::Answered { bytes, .. } = outcome {
                charge(state, region, bytes);
            }
        }
        Stage::Forwarded { region: None } => {}
    }
    conclude(state, key, attempt, outcome, out);
    pump_all(state, out);
}

/// Decides what follows from the end of an attempt.
fn conclude(state: &mut State, key: Key, attempt: u32, outcome: Outcome, out: &mut Vec<Effect>) {
    let now = state.now;
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return };
    if exchange.is_abandoned {
        return close(state, key);
    }
    if let Outcome::Answered { .. } = outcome {
        state.counters.answered += 1;
        return reply(state, key, Verdict::Deliver { attempt }, out);
    }
    exchange.may_have_run |= outcome == Outcome::Lost;
    exchange.stage = Stage::Queued;
    let may_repeat = !exchange.may_have_run || exchange.is_idempotent;
    let (id, service, has_time) = (exchange.id, exchange.service, now < exchange.deadline);
    if may_repeat && has_time && take_credit(state, service) {
        record(out, Subject::Exchange(id), "retry", format!("attempt {attempt} ended: {outcome:?}"));
        if !dispatch(state, key, out) {
            enqueue(state, key);
        }
        return;
    }
    give_up(state, key, Refusal::Overloaded, out);
}

fn take_credit(state: &mut State, service: service::Id) -> bool {
    let Some(credit) = state.exchanges.credits.get_mut(&service).filter(|credit| **credit >= 1.0) else {
        return false;
    };
    *credit -= 1.0;
    true
}

/// Tells the caller that the request did not run, or that nobody knows.
fn give_up(state: &mut State, key: Key, refusal: Refusal, out: &mut Vec<Effect>) {
    let Some(exchange) = state.exchanges.arena.get(key) else { return };
    let id = exchange.id;
    if exchange.may_have_run {
        state.counters.unknown += 1;
        record(out, Subject::Exchange(id), "unknown", "an attempt was sent and its answer is lost");
        return reply(state, key, Verdict::Unknown, out);
    }
    state.counters.refused += 1;
    record(out, Subject::Exchange(id), "refuse", format!("{refusal:?}"));
    reply(state, key, Verdict::NotRun { refusal, retry_after: RETRY_AFTER }, out);
}

fn reply(state: &mut State, key: Key, verdict: Verdict, out: &mut Vec<Effect>) {
    if let Some(ticket) = state.exchanges.arena.get(key).map(|exchange| exchange.ticket) {
        out.push(Effect::Reply { ticket, verdict });
    }
    close(state, key);
}

fn close(state: &mut State, key: Key) {
    if let Some(exchange) = state.exchanges.arena.remove(key) {
        state.exchanges.by_ticket.remove(&exchange.ticket);
    }
}

/// The deadline of an exchange passed.
///
/// A sent attempt has the same deadline at its port, which reports how it ended.
pub(crate) fn expire(state: &mut State, key: Key, out: &mut Vec<Effect>) {
    let Some(exchange) = state.exchanges.arena.get(key).filter(|exchange| exchange.stage == Stage::Queued)
    else {
        return;
    };
    let service = exchange.service;
    remove_queued(state, service, key);
    let has_targets = !state.routes.of(service).is_empty();
    give_up(state, key, if has_targets { Refusal::Overloaded } else { Refusal::NoReplica }, out);
}

fn remove_queued(state: &mut State, service: service::Id, key: Key) {
    let Some(queue) = state.exchanges.queues.get_mut(&service) else { return };
    let before = queue.len();
    queue.retain(|queued| *queued != key);
    state.exchanges.queued -= before - queue.len();
}

/// The caller of a request is gone.
pub(crate) fn abandon(state: &mut State, ticket: Ticket, out: &mut Vec<Effect>) {
    let Some(key) = state.exchanges.by_ticket.get(&ticket).copied() else { return };
    let Some(exchange) = state.exchanges.arena.get_mut(key) else { return };
    exchange.is_abandoned = true;
    record(out, Subject::Exchange(exchange.id), "abandon", "the caller is gone");
    if exchange.stage == Stage::Queued {
        let service = exchange.service;
        remove_queued(state, service, key);
        close(state, key);
    }
}

/// Sends requests that wait, as far as there are free targets.
pub(crate) fn pump_all(state: &mut State, out: &mut Vec<Effect>) {
    if state.exchanges.queued == 0 {
        return;
    }
    let mut services: Vec<service::Id> = state.exchanges.queues.keys().copied().collect();
    services.sort_unstable();
    for service in services {
        pump(state, service, out);
    }
}

fn pump(state: &mut State, service: service::Id, out: &mut Vec<Effect>) {
    while let Some(key) = state.exchanges.queues.get(&service).and_then(|queue| queue.front().copied()) {
        if !dispatch(state, key, out) {
            return;
        }
        if let Some(queue) = state.exchanges.queues.get_mut(&service) {
            queue.pop_front();
        }
        state.exchanges.queued -= 1;
    }
}
