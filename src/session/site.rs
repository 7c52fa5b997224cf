//! Places in a session, and their addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A place that something is sent from or to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Site {
    /// An entry VM, by its number.
    Entry(u16),
    /// A worker, by its number.
    Worker(u16),
    /// The store.
    Store,
    /// The VM list.
    List,
}

impl Site {
    /// Number for hashing.
    pub fn number(self) -> u64 {
        match self {
            Self::Entry(at) => u64::from(at),
            Self::Worker(at) => 1 << 16 | u64::from(at),
            Self::Store => 1 << 17,
            Self::List => 1 << 18,
        }
    }
}

const ENTRY: [u8; 2] = [127, 1];
const WORKER: [u8; 2] = [127, 2];
const PORT: u16 = 7000;

/// Address of an entry VM.
pub fn entry_address(at: u16) -> SocketAddr {
    address(ENTRY, at)
}

/// Address of a worker.
pub fn worker_address(at: u16) -> SocketAddr {
    address(WORKER, at)
}

/// Entry VM at an address.
pub fn entry_of(address: SocketAddr) -> Option<u16> {
    number(ENTRY, address)
}

/// Worker at an address.
pub fn worker_of(address: SocketAddr) -> Option<u16> {
    number(WORKER, address)
}

fn address(prefix: [u8; 2], at: u16) -> SocketAddr {
    let [high, low] = at.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(prefix[0], prefix[1], high, low)), PORT)
}

fn number(prefix: [u8; 2], address: SocketAddr) -> Option<u16> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    let [a, b, high, low] = ip.octets();
    ([a, b] == prefix).then(|| u16::from_be_bytes([high, low]))
}
