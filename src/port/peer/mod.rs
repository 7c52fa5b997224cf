//! Messages and requests between entry VMs, over tonic.
//!
//! [`Port`] is the sending side and holds the server, which is the receiving side. Both run on the tokio runtime that is
//! current when the port is started.

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

/// Limits on messages between entry VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest message in bytes, in both directions.
    pub max_message_bytes: usize,
    /// Longest time to deliver a one-way message.
    pub delivery_timeout: Duration,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// One-way messages under way to one address.
    pub max_pending_messages: usize,
    /// Bytes of one-way messages under way to one address; a larger message is sent alone.
    pub max_pending_bytes: usize,
    /// How long a connection that is not used is kept.
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

/// How this process presents itself to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Member.
    pub member: member::Id,
    /// Address at which peers reach it; port 0 stands for the port that is listened on.
    pub address: SocketAddr,
}

/// Sends to other entry VMs, and receives from them until it is stopped.
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
    /// Starts to listen on `listen`, with mutual TLS if it is set up; must be called inside a tokio runtime.
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

    /// Counters of bytes sent and received.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Stops to receive, and returns when all calls have ended.
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Sends a one-way message, best effort: it is dropped when too much is under way to this address, or late.
    pub fn deliver(&self, to: SocketAddr, message: peer::Message) {
        let parcel = Parcel { from: self.identity.member, address: self.identity.address, message };
        let parcel = proto::Parcel::from(parcel);
        let bytes = parcel.encoded_len();
        let Some(reservation) = self.connections.reserve(to, bytes) else {
            self.traffic.count_dropped();
            log::debug!("message to {to} dropped: too much is under way");
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
                    port.connections.disconnect(&connection);
                }
                Err(_) => {
                    log::debug!("message to {to} lost: no receipt within {:?}", port.limits.delivery_timeout);
                    port.connections.disconnect(&connection);
                }
            }
            drop(reservation);
        });
    }

    /// Hands a request to another entry VM, and reports the outcome as an event.
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
                self.connections.disconnect(&connection);
                return if connection::is_unconnected(&status) { Outcome::NotWritten } else { Outcome::Lost };
            }
            Err(_) => {
                self.connections.disconnect(&connection);
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
                    log::warn!("answer of {} cannot be used: {error}", forward.address);
                    Outcome::Lost
                }
            },
            Some(proto::answer::Outcome::NotRun(_)) => Outcome::Refused,
            Some(proto::answer::Outcome::Unknown(_)) | None => Outcome::Lost,
        }
    }
}
