//! Connections to other entry VMs, one for each address, shared by all calls.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tonic::Status;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

use super::Limits;
use crate::hash::Map;
use crate::wire::generated::peer::peer_client::PeerClient;

/// Connection to one address, established by its first call.
#[derive(Debug, Clone)]
pub(super) struct Connection {
    to: SocketAddr,
    id: u64,
    channel: Channel,
    max_message_bytes: usize,
}

impl Connection {
    /// Returns a client that uses the connection.
    pub(super) fn client(&self) -> PeerClient<Channel> {
        PeerClient::new(self.channel.clone())
            .max_decoding_message_size(self.max_message_bytes)
            .max_encoding_message_size(self.max_message_bytes)
    }
}

/// Whether a call failed before a connection was established, so that nothing of it was written.
pub(in crate::port) fn is_unconnected(status: &Status) -> bool {
    error_chain(status).any(|error| error.is::<tonic::ConnectError>())
}

/// Whether a call failed because the connection was refused, so that no process listens at the address.
pub(in crate::port) fn is_refused(status: &Status) -> bool {
    error_chain(status)
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

type DynError<'a> = &'a (dyn Error + 'static);

fn error_chain(status: &Status) -> impl Iterator<Item = DynError<'_>> {
    fn next<'a>(error: &DynError<'a>) -> Option<DynError<'a>> {
        (*error).source()
    }
    std::iter::successors(status.source(), next)
}

/// Connections by address, with the pending messages to each; clones share their entries.
#[derive(Debug, Clone)]
pub(super) struct Table {
    limits: Limits,
    tls: Option<ClientTlsConfig>,
    shared: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    last_id: u64,
    by_address: Map<SocketAddr, Entry>,
}

#[derive(Debug)]
struct Entry {
    connection: Option<Connection>,
    pending_messages: usize,
    pending_bytes: usize,
    last_used: Instant,
}

impl Table {
    pub(super) fn new(limits: Limits, tls: Option<ClientTlsConfig>) -> Self {
        Self { limits, tls, shared: Arc::default() }
    }

    /// Reserves space for a message; `None` if the limits on pending messages to the address are reached.
    pub(super) fn reserve(&self, to: SocketAddr, bytes: usize) -> Option<Reservation> {
        let mut entries = self.lock();
        let entry = entries.entry(to, &self.limits);
        let is_full = entry.pending_messages >= self.limits.max_pending_messages
            || entry.pending_bytes + bytes > self.limits.max_pending_bytes;
        if is_full && entry.pending_messages > 0 {
            return None;
        }
        entry.pending_messages += 1;
        entry.pending_bytes += bytes;
        Some(Reservation { table: self.clone(), to, bytes })
    }

    /// Returns the connection to an address; must be called inside a tokio runtime.
    pub(super) fn get(&self, to: SocketAddr) -> Connection {
        let mut entries = self.lock();
        if let Some(connection) = &entries.entry(to, &self.limits).connection {
            return connection.clone();
        }
        entries.last_id += 1;
        let connection = Connection {
            to,
            id: entries.last_id,
            channel: self.channel(to),
            max_message_bytes: self.limits.max_message_bytes,
        };
        entries.entry(to, &self.limits).connection = Some(connection.clone());
        connection
    }

    /// Discards a connection, so that the next call opens a new one. Pending calls on the old connection continue.
    pub(super) fn discard(&self, connection: &Connection) {
        let mut entries = self.lock();
        if let Some(entry) = entries.by_address.get_mut(&connection.to) {
            entry.connection = entry.connection.take().filter(|current| current.id != connection.id);
        }
    }

    fn channel(&self, to: SocketAddr) -> Channel {
        // An address without an IPv6 scope is always a valid URI authority.
        let authority = SocketAddr::new(to.ip(), to.port());
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{authority}"))
            .expect("an address is a valid URI authority");
        if let Some(tls) = &self.tls {
            endpoint =
                endpoint.tls_config(tls.clone()).expect("the TLS configuration was checked when it was read");
        }
        endpoint.connect_timeout(self.limits.connect_timeout).tcp_nodelay(true).connect_lazy()
    }

    /// Locks the entries. Poisoning is ignored, since a panic of another thread cannot leave the entries half changed.
    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entries {
    /// Returns the entry of an address. Before it adds a new one, it removes the entries that are idle for too long.
    fn entry(&mut self, to: SocketAddr, limits: &Limits) -> &mut Entry {
        let now = Instant::now();
        if !self.by_address.contains_key(&to) {
            self.by_address.retain(|_, entry| {
                entry.pending_messages > 0 || now.duration_since(entry.last_used) < limits.idle_timeout
            });
        }
        let entry = self.by_address.entry(to).or_insert_with(|| Entry {
            connection: None,
            pending_messages: 0,
            pending_bytes: 0,
            last_used: now,
        });
        entry.last_used = now;
        entry
    }
}

/// Reserved space for one pending message; dropping it releases the space.
#[derive(Debug)]
pub(super) struct Reservation {
    table: Table,
    to: SocketAddr,
    bytes: usize,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(entry) = self.table.lock().by_address.get_mut(&self.to) {
            entry.pending_messages -= 1;
            entry.pending_bytes -= self.bytes;
        }
    }
}
