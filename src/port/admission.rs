//! Admission of callers by memory: reservations for request bodies, and connections.
//!
//! A body is read only into memory that was reserved before. Its reservation is released when the request has been
//! answered, so it also covers the decoded request. `docs/design/request-memory.md` derives the figures.

use std::any::Any;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_web::HttpRequest;
use actix_web::dev::Extensions;
use actix_web::http::StatusCode;
use actix_web::http::header::{self, HeaderMap};
use actix_web::rt::net::TcpStream;
use actix_web::web::{Bytes, Payload};
use socket2::SockRef;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};
use tokio_stream::Stream;

use super::pipeline::Turn;
use crate::hash::Map;

/// Largest body that may use the reserved part of the budget, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;

/// The part of the budget that is reserved for small bodies is the budget divided by this number.
pub const SMALL_DIVISOR: usize = 5;

/// First reservation for a body without an announced length, in bytes.
const FIRST_STEP_BYTES: usize = 4 << 10;

/// Number of pieces that arrive together above which their queue is reserved too. Bodies of ordinary clients arrive in
/// fewer pieces.
const FREE_PIECES: usize = 64;

/// Longest pause in the arrival of a body. Two retransmissions take less.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for which sent bytes may stay unacknowledged, so that a caller that does not read its answer does not keep
/// its connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which the unread rest of a body is kept after its request was answered. The server closes the connection only if
/// the body still exists when the answer has been written, and answers take much less.
const UNREAD_BODY_TIME: Duration = Duration::from_secs(1);

/// Number of requests after which a connection is closed, which bounds the answers that a client leaves unread.
const MAX_REQUESTS: u32 = 512;

/// Retry time of a refused request, in seconds: bodies that stall are given up by then.
pub const RETRY_AFTER_S: u32 = 2;

/// Shortest time between two log lines about refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits on bodies and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Size limit of a body in bytes.
    pub max_body_bytes: usize,
    /// Memory for all bodies, in bytes.
    pub budget_bytes: usize,
    /// Time that a body may take besides the time at the lowest rate.
    pub body_timeout: Duration,
    /// Lowest rate of a body, in bytes per second.
    pub min_rate: u32,
    /// Limit on open connections.
    pub max_connections: usize,
    /// Limit on open connections from one address.
    pub max_per_address: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 8_000_000,
            budget_bytes: 20_000_000,
            body_timeout: Duration::from_secs(5),
            min_rate: 500_000,
            max_connections: 4096,
            max_per_address: 4096,
        }
    }
}

/// Why a request was refused before it reached the reducer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The memory for bodies is in use.
    Memory,
    /// The body is over the limit.
    TooLarge,
    /// The body was too slow.
    TooSlow,
    /// The body is malformed or cut off.
    CutOff,
    /// Its address has too many connections.
    Connections,
}

impl Refusal {
    /// All reasons, in the order of their counters.
    pub const ALL: [Refusal; 5] =
        [Refusal::Memory, Refusal::TooLarge, Refusal::TooSlow, Refusal::CutOff, Refusal::Connections];

    /// Status of the answer. None of them leaves open whether the request has run.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::Memory | Refusal::Connections => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Refusal::CutOff => StatusCode::BAD_REQUEST,
        }
    }

    /// Explanation in the answer.
    pub fn detail(self) -> &'static str {
        match self {
            Refusal::Memory => "the memory for request bodies is in use",
            Refusal::TooLarge => "the body is too large",
            Refusal::TooSlow => "the body did not arrive in time",
            Refusal::CutOff => "the body is malformed or cut off",
            Refusal::Connections => "there are too many connections from this address",
        }
    }

    /// Value of the label `reason`.
    pub fn label(self) -> &'static str {
        match self {
            Refusal::Memory => "memory",
            Refusal::TooLarge => "too-large",
            Refusal::TooSlow => "too-slow",
            Refusal::CutOff => "cut-off",
            Refusal::Connections => "connections",
        }
    }
}

/// Admission of the callers of one process; clones share its budget and counters.
#[derive(Debug, Clone)]
pub struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limits: Limits,
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    refused: [AtomicU64; Refusal::ALL.len()],
    connections: Mutex<Connections>,
    log: Mutex<Log>,
}

#[derive(Debug, Default)]
struct Connections {
    total: usize,
    by_address: Map<IpAddr, usize>,
}

#[derive(Debug, Default)]
struct Log {
    last_at: Option<Instant>,
    last_counts: [u64; Refusal::ALL.len()],
}

impl Gate {
    /// Creates a gate with nothing reserved.
    pub fn new(limits: Limits) -> Self {
        let small_bytes = limits.budget_bytes / SMALL_DIVISOR;
        let shared = Shared {
            limits,
            small: Arc::new(Semaphore::new(small_bytes)),
            large: Arc::new(Semaphore::new(limits.budget_bytes - small_bytes)),
            refused: Default::default(),
            connections: Mutex::default(),
            log: Mutex::default(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Limits of this gate.
    pub fn limits(&self) -> &Limits {
        &self.shared.limits
    }

    /// Bytes that are reserved at present.
    pub fn reserved_bytes(&self) -> u64 {
        let free = self.shared.small.available_permits() + self.shared.large.available_permits();
        self.shared.limits.budget_bytes.saturating_sub(free) as u64
    }

    /// Number of open connections.
    pub fn connections(&self) -> u64 {
        lock(&self.shared.connections).total as u64
    }

    /// Number of requests that were refused for `reason`.
    pub fn refused(&self, reason: Refusal) -> u64 {
        self.shared.refused[reason as usize].load(Ordering::Relaxed)
    }

    /// Whether the connection of a request ends with its answer: if it has served its number of requests, or if so many
    /// connections are open that there is little room for new ones.
    pub fn must_close(&self, request: &HttpRequest) -> bool {
        let served = request
            .conn_data::<Connection>()
            .map_or(0, |connection| connection.requests.fetch_add(1, Ordering::Relaxed) + 1);
        served >= MAX_REQUESTS || self.is_crowded()
    }

    fn is_crowded(&self) -> bool {
        lock(&self.shared.connections).total > self.shared.limits.max_connections * 3 / 4
    }

    /// Counts a new connection of a server, and limits how long its caller may leave an answer unread.
    pub fn count_connection(&self, stream: &dyn Any, data: &mut Extensions) {
        let Some(stream) = stream.downcast_ref::<TcpStream>() else { return };
        if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(SEND_TIMEOUT)) {
            log::debug!("the send timeout of a connection is not set: {error}");
        }
        if let Ok(address) = stream.peer_addr() {
            data.insert(self.connect(address.ip()));
        }
    }

    /// Counts a connection until its guard is dropped.
    pub fn connect(&self, address: IpAddr) -> Connection {
        let mut connections = lock(&self.shared.connections);
        connections.total += 1;
        let count = connections.by_address.entry(address).or_default();
        *count += 1;
        let is_excess = *count > self.shared.limits.max_per_address;
        Connection { gate: self.clone(), address, is_excess, requests: AtomicU32::new(0) }
    }

    /// Checks the connection of a request.
    ///
    /// # Errors
    ///
    /// The address has too many connections.
    pub fn admit(&self, request: &HttpRequest) -> Result<(), Refusal> {
        match request.conn_data::<Connection>() {
            Some(connection) if connection.is_excess => Err(self.refuse(Refusal::Connections)),
            _ => Ok(()),
        }
    }

    /// Reads a body into reserved memory.
    ///
    /// # Errors
    ///
    /// The reason why the request is refused, which has been counted.
    pub async fn read(&self, request: &HttpRequest, payload: &mut Payload) -> Result<Body, Refusal> {
        self.read_reserved(request, payload).await.map_err(|reason| self.refuse(reason))
    }

    async fn read_reserved(&self, request: &HttpRequest, payload: &mut Payload) -> Result<Body, Refusal> {
        let (limits, headers) = (&self.shared.limits, request.headers());
        let announced = announced_length(headers);
        if announced.is_some_and(|length| length > limits.max_body_bytes as u64) {
            return Err(Refusal::TooLarge);
        }
        let announced = announced.unwrap_or_default() as usize;
        let mut reservation = Reservation::new(self.clone());
        reservation.grow_to(announced)?;
        let turn = Turn::of(request);
        if let Some(turn) = &turn {
            turn.expect_body(headers);
        }
        let mut bytes = Vec::with_capacity(announced);
        let started_at = Instant::now();
        // Number of pieces since the last wait, which the connection queued.
        let (mut pieces, mut queue_bytes) = (0, 0);
        loop {
            let now = Instant::now();
            let earned = Duration::from_secs_f64(bytes.len() as f64 / f64::from(limits.min_rate.max(1)));
            let deadline = (now + STALL_TIMEOUT).min(started_at + limits.body_timeout + earned);
            let next = std::future::poll_fn(|context| {
                let piece = Pin::new(&mut *payload).poll_next(context);
                pieces = if piece.is_pending() { 0 } else { pieces + 1 };
                piece
            });
            let Ok(piece) = timeout_at(deadline, next).await else { return Err(Refusal::TooSlow) };
            let Some(piece) = piece else { break };
            let piece = piece.map_err(|_| Refusal::CutOff)?;
            let needed = bytes.len() + piece.len();
            if needed > limits.max_body_bytes {
                return Err(Refusal::TooLarge);
            }
            let capacity = if needed > bytes.capacity() {
                needed
                    .next_power_of_two()
                    .clamp(FIRST_STEP_BYTES, limits.max_body_bytes.max(FIRST_STEP_BYTES))
            } else {
                bytes.capacity()
            };
            if pieces > FREE_PIECES {
                // The queue doubles when it is full, and keeps its size while the body is read.
                queue_bytes = queue_bytes.max(pieces.next_power_of_two() * size_of::<Bytes>());
            }
            reservation.grow_to(capacity + queue_bytes)?;
            bytes.reserve_exact(capacity - bytes.len());
            bytes.extend_from_slice(&piece);
        }
        if let Some(turn) = &turn {
            turn.end_body();
        }
        Ok(Body { bytes: Bytes::from(bytes), reservation })
    }

    /// Counts a refusal; logs at most one line a second.
    fn refuse(&self, reason: Refusal) -> Refusal {
        self.shared.refused[reason as usize].fetch_add(1, Ordering::Relaxed);
        let Some([memory, too_large, too_slow, cut_off, connections]) = self.counts_to_log() else {
            return reason;
        };
        log::warn!(
            memory, too_large, too_slow, cut_off, connections;
            "requests refused before they were executed: {} bytes reserved of {}, {} connections open",
            self.reserved_bytes(), self.shared.limits.budget_bytes, self.connections()
        );
        reason
    }

    /// Refusals by reason since the last log line; `None` if that is less than [`LOG_INTERVAL`] ago.
    fn counts_to_log(&self) -> Option<[u64; Refusal::ALL.len()]> {
        let mut log = lock(&self.shared.log);
        if log.last_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return None;
        }
        let counts = Refusal::ALL.map(|reason| self.refused(reason));
        let since = std::array::from_fn(|index| counts[index].saturating_sub(log.last_counts[index]));
        *log = Log { last_at: Some(Instant::now()), last_counts: counts };
        Some(since)
    }
}

/// Whether a request has a body, which may be empty if it is chunked.
pub fn has_body(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
        || announced_length(headers).is_some_and(|length| length > 0)
}

/// Lets the server close a connection whose request has a body that may not have been read.
pub fn leave_unread(headers: &HeaderMap, payload: Payload) {
    if !has_body(headers) {
        return;
    }
    actix_web::rt::spawn(async move {
        tokio::time::sleep(UNREAD_BODY_TIME).await;
        drop(payload);
    });
}

fn announced_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// A body with its reservation, which is released when both are dropped.
#[derive(Debug)]
pub struct Body {
    /// Complete body.
    pub bytes: Bytes,
    /// Memory of the body and of what is decoded from it.
    pub reservation: Reservation,
}

/// Part of the budget; dropping it releases it.
#[derive(Debug)]
pub struct Reservation {
    gate: Gate,
    permit: Option<OwnedSemaphorePermit>,
    is_small: bool,
}

impl Reservation {
    fn new(gate: Gate) -> Self {
        Self { gate, permit: None, is_small: true }
    }

    /// Grows to at least `bytes`, or fails at once if the budget has no room.
    ///
    /// A small body uses the part for small bodies, and the rest of the budget if that part is in use.
    fn grow_to(&mut self, bytes: usize) -> Result<(), Refusal> {
        let held = self.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if bytes <= held {
            return Ok(());
        }
        if self.is_small && bytes <= SMALL_BODY_BYTES && self.extend(true, bytes - held) {
            return Ok(());
        }
        if self.is_small {
            let small = self.permit.take();
            self.is_small = false;
            let is_extended = self.extend(false, bytes);
            drop(small);
            return if is_extended { Ok(()) } else { Err(Refusal::Memory) };
        }
        if self.extend(false, bytes - held) { Ok(()) } else { Err(Refusal::Memory) }
    }

    fn extend(&mut self, is_small: bool, bytes: usize) -> bool {
        let shared = &self.gate.shared;
        let pool = if is_small { &shared.small } else { &shared.large };
        let Ok(bytes) = u32::try_from(bytes) else { return false };
        let Ok(permit) = Arc::clone(pool).try_acquire_many_owned(bytes) else { return false };
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }
}

/// Guard of an open connection.
#[derive(Debug)]
pub struct Connection {
    gate: Gate,
    address: IpAddr,
    is_excess: bool,
    /// Number of requests that were answered.
    requests: AtomicU32,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut connections = lock(&self.gate.shared.connections);
        connections.total -= 1;
        if let Some(count) = connections.by_address.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                connections.by_address.remove(&self.address);
            }
        }
    }
}

/// Locks `mutex`. Poisoning is ignored, since a panic of another thread cannot leave the counts half changed.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn gate() -> Gate {
        Gate::new(Limits {
            budget_bytes: 1_000_000,
            max_per_address: 2,
            max_connections: 4,
            ..Limits::default()
        })
    }

    fn reserve(gate: &Gate, bytes: usize) -> Result<Reservation, Refusal> {
        let mut reservation = Reservation::new(gate.clone());
        reservation.grow_to(bytes).map(|()| reservation)
    }

    /// Guards against large bodies that take the part of the budget for small ones, and against memory that stays reserved.
    #[test]
    fn large_bodies_leave_room_for_small_ones() {
        let gate = gate();
        let large = reserve(&gate, 800_000).expect("the budget is free");
        assert_eq!(reserve(&gate, SMALL_BODY_BYTES + 1).err(), Some(Refusal::Memory));
        let small: Vec<Reservation> = (0..20).filter_map(|_| reserve(&gate, 10_000).ok()).collect();
        assert_eq!((small.len(), gate.reserved_bytes()), (20, 1_000_000));
        assert_eq!(reserve(&gate, 1).err(), Some(Refusal::Memory));
        drop(large);
        assert!(reserve(&gate, 10_000).is_ok(), "a small body uses the rest of the budget");
        drop(small);
        assert_eq!(gate.reserved_bytes(), 0);
    }

    /// Guards against a body that grows in steps and is counted twice, or in the wrong part of the budget.
    #[test]
    fn a_reservation_moves_when_it_is_no_longer_small() {
        let gate = gate();
        let mut reservation = reserve(&gate, 4_096).expect("the budget is free");
        for bytes in [8_192, SMALL_BODY_BYTES, 131_072, 700_000] {
            reservation.grow_to(bytes).expect("room");
            assert_eq!(gate.reserved_bytes(), bytes as u64);
        }
        assert_eq!(reservation.grow_to(800_001), Err(Refusal::Memory));
        drop(reservation);
        assert_eq!(gate.reserved_bytes(), 0);
    }

    /// Guards against connections that are counted after their end, or for the wrong address.
    #[test]
    fn connections_are_counted_until_their_guards_are_dropped() {
        let gate = gate();
        let [first, second] = [1, 2].map(|last| IpAddr::from([127, 0, 0, last]));
        let mut open: Vec<Connection> = (0..3).map(|_| gate.connect(first)).collect();
        open.push(gate.connect(second));
        let excess: Vec<bool> = open.iter().map(|connection| connection.is_excess).collect();
        assert_eq!(excess, [false, false, true, false]);
        assert!(gate.is_crowded());
        open.clear();
        assert_eq!(gate.connections(), 0);
        assert!(!gate.is_crowded() && !gate.connect(first).is_excess);
    }
}
