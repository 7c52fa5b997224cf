//! Connections to other entry VMs: one for each address, shared by all calls.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tonic::Status;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

use super::Limits;
use crate::hash::Map;
use crate::wire::generated::peer::peer_client::PeerClient;

/// A connection to one address, opened by its first call.
#[derive(Debug, Clone)]
pub(super) struct Link {
    to: SocketAddr,
    number: u64,
    channel: Channel,
    limit: usize,
}

impl Link {
    /// A client that uses the connection.
    pub(super) fn client(&self) -> PeerClient<Channel> {
        PeerClient::new(self.channel.clone())
            .max_decoding_message_size(self.limit)
            .max_encoding_message_size(self.limit)
    }
}

/// Whether a call failed because there was no connection, so that nothing of it was written.
pub(in crate::port) fn is_unconnected(status: &Status) -> bool {
    causes(status).any(|error| error.is::<tonic::ConnectError>())
}

/// Whether a call failed because nothing listens at the address.
pub(in crate::port) fn is_refused(status: &Status) -> bool {
    causes(status)
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}

type Cause<'a> = &'a (dyn Error + 'static);

fn causes(status: &Status) -> impl Iterator<Item = Cause<'_>> {
    fn next<'a>(error: &Cause<'a>) -> Option<Cause<'a>> {
        (*error).source()
    }
    std::iter::successors(status.source(), next)
}

/// Connections by address, with what is under way to each; clones share them.
#[derive(Debug, Clone)]
pub(super) struct Table {
    limits: Limits,
    tls: Option<ClientTlsConfig>,
    shared: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    last: u64,
    open: Map<SocketAddr, Entry>,
}

#[derive(Debug)]
struct Entry {
    link: Option<Link>,
    messages: usize,
    bytes: usize,
    used: Instant,
}

impl Table {
    pub(super) fn new(limits: Limits, tls: Option<ClientTlsConfig>) -> Self {
        Self { limits, tls, shared: Arc::default() }
    }

    /// Reserves room for a message; `None` if too much is under way to the address.
    pub(super) fn reserve(&self, to: SocketAddr, bytes: usize) -> Option<Place> {
        let mut entries = self.lock();
        let entry = entries.entry(to, &self.limits);
        let is_full = entry.messages >= self.limits.messages || entry.bytes + bytes > self.limits.bytes;
        if is_full && entry.messages > 0 {
            return None;
        }
        entry.messages += 1;
        entry.bytes += bytes;
        Some(Place { table: self.clone(), to, bytes })
    }

    /// The connection to an address; must be called inside a tokio runtime.
    pub(super) fn get(&self, to: SocketAddr) -> Link {
        let mut entries = self.lock();
        if let Some(link) = &entries.entry(to, &self.limits).link {
            return link.clone();
        }
        entries.last += 1;
        let link = Link { to, number: entries.last, channel: self.channel(to), limit: self.limits.message };
        entries.entry(to, &self.limits).link = Some(link.clone());
        link
    }

    /// Lets the next call open a new connection. Calls under way on the old one go on.
    pub(super) fn forget(&self, link: &Link) {
        let mut entries = self.lock();
        if let Some(entry) = entries.open.get_mut(&link.to) {
            entry.link = entry.link.take().filter(|current| current.number != link.number);
        }
    }

    fn channel(&self, to: SocketAddr) -> Channel {
        // The text of an address without an IPv6 scope is always a valid authority.
        let authority = SocketAddr::new(to.ip(), to.port());
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let mut endpoint =
            Endpoint::from_shared(format!("{scheme}://{authority}")).expect("an address makes a valid URI");
        if let Some(tls) = &self.tls {
            endpoint = endpoint.tls_config(tls.clone()).expect("checked when it was read");
        }
        endpoint.connect_timeout(self.limits.connect_time).tcp_nodelay(true).connect_lazy()
    }

    /// A panic elsewhere cannot leave the entries half changed, so a poisoned lock is used on.
    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entries {
    /// Entry of an address. Before a new one is added, those that are no longer used are removed.
    fn entry(&mut self, to: SocketAddr, limits: &Limits) -> &mut Entry {
        let now = Instant::now();
        if !self.open.contains_key(&to) {
            self.open.retain(|_, entry| entry.messages > 0 || now.duration_since(entry.used) < limits.idle);
        }
        let entry =
            self.open.entry(to).or_insert_with(|| Entry { link: None, messages: 0, bytes: 0, used: now });
        entry.used = now;
        entry
    }
}

/// Room for one message on its way; dropping it gives the room back.
#[derive(Debug)]
pub(super) struct Place {
    table: Table,
    to: SocketAddr,
    bytes: usize,
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Some(entry) = self.table.lock().open.get_mut(&self.to) {
            entry.messages -= 1;
            entry.bytes -= self.bytes;
        }
    }
}
