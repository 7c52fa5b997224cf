//! Messages between entry VMs.

use std::net::SocketAddr;

use super::config::Index;
use super::{cell, grant, journal, member, run};
use crate::declare::service;

/// A message; delivery is best effort and unordered, and a message can arrive twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// The sender lives.
    Heartbeat {
        /// Its counter.
        counter: u64,
        /// Configuration version it has in force.
        version: u64,
        /// Newest counters it knows of.
        others: Vec<member::Liveness>,
    },
    /// The sender is about to leave.
    Leave,
    /// Asks for the configuration.
    ConfigAsk {
        /// Version the sender has.
        known_version: u64,
        /// Hashes of documents that it has.
        documents: Vec<u64>,
    },
    /// Offers the configuration.
    ConfigOffer {
        /// The index.
        index: Index,
        /// Documents that the receiver lacked, by hash.
        documents: Vec<(u64, String)>,
    },
    /// Asks the owner of a cell for a connection grant.
    GrantAsk {
        /// The cell.
        cell: cell::Id,
        /// Slot held and not yet lapsed, if any.
        held: Option<grant::Slot>,
        /// Sender's clock in microseconds, returned in the grant.
        asked_us: u64,
        /// Version of the cell's routes that the sender has.
        routes_version: u64,
    },
    /// Grants a share of the connections of every worker of a cell.
    Grant {
        /// The cell.
        cell: cell::Id,
        /// Epoch of the owner; the grant applies to routes of the same epoch.
        epoch: u64,
        /// The slot.
        slot: grant::Slot,
        /// `asked_us` of the request.
        asked_us: u64,
        /// Length in milliseconds, counted from `asked_us`.
        ttl_ms: u64,
    },
    /// Replicas of a cell.
    Routes {
        /// The cell.
        cell: cell::Id,
        /// Epoch of the owner; a lower one is ignored.
        epoch: u64,
        /// Version within the epoch; a lower one is ignored.
        version: u64,
        /// All running replicas of the cell.
        replicas: Vec<Route>,
    },
    /// Hands a cell to its next owner.
    Handover {
        /// The cell.
        cell: cell::Id,
        /// Epoch that the successor continues.
        epoch: u64,
        /// Next position in the log.
        next: u64,
        /// Records of the cell.
        snapshot: journal::Snapshot,
    },
}

/// Where a replica can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Run of the replica.
    pub run: run::Id,
    /// Its service.
    pub service: service::Id,
    /// Worker's address.
    pub address: SocketAddr,
    /// Connections that all members together may have open to the worker.
    pub connections: u16,
    /// Gets no new requests.
    pub leaving: bool,
    /// Share of the worker's cores used by batch tasks, in percent.
    pub batch_percent: u8,
}
