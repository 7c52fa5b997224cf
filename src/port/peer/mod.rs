//! gRPC client and server for messages and forwarded requests between entry VMs.
//!
//! [`Port`] is the client and owns the server. Both run on the tokio runtime that is current when the port is started.

mod connection;
mod server;
mod tls;

use std::net::SocketAddr;
use std::time::Duration;

use prost::Message as _;
use tokio::runtime::Handle;
use tokio::time::timeout;

use super::Inbox;
use super::body::Table;
use super::message::{Answer, Request};
use super::traffic::Traffic;
use crate::core::event::Event;
use crate::core::exchange::{Forward, Outcome};
use crate::core::{member, peer};
use crate::error::Result;
use crate::wire::call::Call;
use crate::wire::generated::peer as proto;
use crate::wire::peer::Parcel;

pub(super) use connection::{is_refused, is_unconnected};
pub use tls::Tls;

/// Limits of the connections between entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Size limit of a message in bytes, in both directions.
    pub max_message_bytes: usize,
    /// Longest time to deliver a one-way message.
    pub delivery_timeout: Duration,
    /// Longest time to establish a connection.
    pub connect_timeout: Duration,
    /// Limit on pending one-way messages to one address.
    pub max_pending_messages: usize,
    /// Limit on the bytes of pending one-way messages to one address. A larger message is sent only if no other is
    /// pending.
    pub max_pending_bytes: usize,
    /// Idle time after which a connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_message_bytes: 9 << 20,
            delivery_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
            max_pending_messages: 64,
            max_pending_bytes: 1 << 20,
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// Identity that this process sends to its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Member identity of this process.
    pub member: member::Id,
    /// Address at which peers reach this process; port 0 is replaced by the port that the server listens on.
    pub address: SocketAddr,
}

/// Sends messages and requests to other entry VMs, and receives theirs until it is stopped.
#[derive(Debug, Clone)]
pub struct Port {
    identity: Identity,
    limits: Limits,
    runtime: Handle,
    inbox: Inbox,
    bodies: Table,
    traffic: Traffic,
    connections: connection::Table,
    server: server::Handle,
}

impl Port {
    /// Starts a server on `listen`, with mutual TLS if `tls` is given; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or a TLS file cannot be used.
    pub fn start(
        listen: SocketAddr,
        mut identity: Identity,
        limits: Limits,
        tls: Option<&Tls>,
        inbox: Inbox,
        bodies: Table,
    ) -> Result<Self> {
        let (client, server) = tls.map(Tls::read).transpose()?.unzip();
        let traffic = Traffic::default();
        let server = server::serve(listen, limits, server, inbox.clone(), bodies.clone(), traffic.clone())?;
        if identity.address.port() == 0 {
            identity.address.set_port(server.address().port());
        }
        let connections = connection::Table::new(limits, client);
        Ok(Self { identity, limits, runtime: Handle::current(), inbox, bodies, traffic, connections, server })
    }

    /// Address at which peers reach this process.
    pub fn address(&self) -> SocketAddr {
        self.identity.address
    }

    /// Counters of the traffic with peers.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Stops the server, and waits until all calls to it have ended.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Sends a one-way message without a delivery guarantee: it is dropped if the limits on pending messages to this
    /// address are reached, or if it is not delivered in time.
    pub fn deliver(&self, to: SocketAddr, message: peer::Message) {
        let parcel = Parcel { from: self.identity.member, address: self.identity.address, message };
        let parcel = proto::Parcel::from(parcel);
        let bytes = parcel.encoded_len();
        let Some(reservation) = self.connections.reserve(to, bytes) else {
            self.traffic.count_dropped();
            log::debug!("message to {to} dropped: too many pending messages");
            return;
        };
        let port = self.clone();
        self.runtime.spawn(async move {
            let connection = port.connections.get(to);
            port.traffic.count_sent(bytes);
            let call = timeout(port.limits.delivery_timeout, connection.client().deliver(parcel)).await;
            match call {
                Ok(Ok(_)) => {}
                Ok(Err(status)) => {
                    log::debug!("message to {to} lost: {status}");
                    port.connections.discard(&connection);
                }
                Err(_) => {
                    log::debug!(
                        "message to {to} lost: no acknowledgement within {:?}",
                        port.limits.delivery_timeout
                    );
                    port.connections.discard(&connection);
                }
            }
            drop(reservation);
        });
    }

    /// Forwards a request to another entry VM; its outcome arrives as [`Event::Attempt`].
    pub fn forward(&self, forward: Forward) {
        let port = self.clone();
        self.runtime.spawn(async move {
            let outcome = port.attempt(&forward).await;
            let Forward { exchange, attempt, .. } = forward;
            port.inbox.send(Event::Attempt { exchange, attempt, outcome });
        });
    }

    async fn attempt(&self, forward: &Forward) -> Outcome {
        let Some(request) = self.bodies.request(forward.ticket) else { return Outcome::NotWritten };
        let request = Request::clone(&request);
        let call = proto::Call::from(Call { id: forward.id, timeout: forward.timeout, request });
        let connection = self.connections.get(forward.address);
        self.traffic.count_sent(call.encoded_len());
        let reply = match timeout(forward.timeout, connection.client().forward(call)).await {
            Ok(Ok(reply)) => reply.into_inner(),
            Ok(Err(status)) => {
                log::debug!("request forwarded to {} failed: {status}", forward.address);
                self.connections.discard(&connection);
                return if connection::is_unconnected(&status) { Outcome::NotWritten } else { Outcome::Lost };
            }
            Err(_) => {
                self.connections.discard(&connection);
                return Outcome::Lost;
            }
        };
        self.traffic.count_received(reply.encoded_len());
        self.decode_outcome(forward, reply)
    }

    fn decode_outcome(&self, forward: &Forward, reply: proto::Answer) -> Outcome {
        match reply.outcome {
            Some(proto::answer::Outcome::Delivered(delivered)) => match Answer::try_from(delivered) {
                Ok(answer) => {
                    let (status, bytes) = (answer.status.as_u16(), answer.body.len() as u64);
                    self.bodies.store_answer(forward.ticket, forward.attempt, answer);
                    Outcome::Answered { status, bytes }
                }
                Err(error) => {
                    log::warn!("peer {} sent a malformed answer: {error}", forward.address);
                    Outcome::Lost
                }
            },
            Some(proto::answer::Outcome::NotRun(_)) => Outcome::Refused,
            Some(proto::answer::Outcome::Unknown(_)) | None => Outcome::Lost,
        }
    }
}
