//! Sites of a session, and their addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// A sender or recipient of messages.
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
    /// Number that identifies the site in a hash.
    pub fn hash_input(self) -> u64 {
        match self {
            Self::Entry(number) => u64::from(number),
            Self::Worker(number) => 1 << 16 | u64::from(number),
            Self::Store => 1 << 17,
            Self::List => 1 << 18,
        }
    }
}

const ENTRY_PREFIX: [u8; 2] = [127, 1];
const WORKER_PREFIX: [u8; 2] = [127, 2];
const PORT: u16 = 7000;

/// Address of the entry VM with a number.
pub fn entry_address(number: u16) -> SocketAddr {
    address(ENTRY_PREFIX, number)
}

/// Address of the worker with a number.
pub fn worker_address(number: u16) -> SocketAddr {
    address(WORKER_PREFIX, number)
}

/// Number of the entry VM at an address; `None` if the address is not one of an entry VM.
pub fn entry_of(address: SocketAddr) -> Option<u16> {
    parse_number(ENTRY_PREFIX, address)
}

/// Number of the worker at an address; `None` if the address is not one of a worker.
pub fn worker_of(address: SocketAddr) -> Option<u16> {
    parse_number(WORKER_PREFIX, address)
}

fn address(prefix: [u8; 2], number: u16) -> SocketAddr {
    let [high, low] = number.to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(prefix[0], prefix[1], high, low)), PORT)
}

fn parse_number(prefix: [u8; 2], address: SocketAddr) -> Option<u16> {
    let IpAddr::V4(ip) = address.ip() else { return None };
    let [a, b, high, low] = ip.octets();
    ([a, b] == prefix).then(|| u16::from_be_bytes([high, low]))
}
