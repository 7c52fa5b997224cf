//! Messages between entry VMs.

use std::net::SocketAddr;

use super::config::Index;
use super::{cell, grant, journal, member, run};
use crate::declare::service;

/// A message to another entry VM. Messages can be lost, reordered and delivered twice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Shows that the sender is alive.
    Heartbeat {
        /// Heartbeat counter of the sender.
        counter: u64,
        /// Configuration version that the sender has in force.
        version: u64,
        /// Newest counters of other members that the sender knows.
        others: Vec<member::Liveness>,
    },
    /// Announces that the sender shuts down.
    Leave,
    /// Requests a newer configuration.
    ConfigAsk {
        /// Version that the sender has in force.
        known_version: u64,
        /// Hashes of the documents whose text the sender has.
        documents: Vec<u64>,
    },
    /// Sends the configuration in force to a member that requested it.
    ConfigOffer {
        /// Index in force at the sender.
        index: Index,
        /// Texts that the requester lacks, with their hashes.
        documents: Vec<(u64, String)>,
    },
    /// Requests a connection grant from the owner of a cell.
    GrantAsk {
        /// The cell.
        cell: cell::Id,
        /// Slot of the sender's grant that has not expired, if any.
        held: Option<grant::Slot>,
        /// Monotonic time of the sender in microseconds, which the grant returns.
        asked_us: u64,
        /// Version of the cell's routes that the sender has.
        routes_version: u64,
    },
    /// Grants a share of the connections of each worker of a cell.
    Grant {
        /// The cell.
        cell: cell::Id,
        /// Epoch of the owner; the grant is valid only for routes of the same epoch.
        epoch: u64,
        /// Granted slot.
        slot: grant::Slot,
        /// `asked_us` of the request.
        asked_us: u64,
        /// Validity in milliseconds, counted from `asked_us`.
        ttl_ms: u64,
    },
    /// Publishes the replicas of a cell.
    Routes {
        /// The cell.
        cell: cell::Id,
        /// Epoch of the owner; the receiver ignores a lower one.
        epoch: u64,
        /// Version within the epoch; the receiver ignores a lower one.
        version: u64,
        /// All running replicas of the cell.
        replicas: Vec<Route>,
    },
    /// Hands a cell over to its next owner.
    Handover {
        /// The cell.
        cell: cell::Id,
        /// Epoch that the next owner continues.
        epoch: u64,
        /// Next position in the log.
        next: u64,
        /// State of the cell up to `next`.
        snapshot: journal::Snapshot,
    },
}

/// A replica that requests can be routed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Run of the replica.
    pub run: run::Id,
    /// Service that it serves.
    pub service: service::Id,
    /// Address of its worker.
    pub address: SocketAddr,
    /// Maximum number of connections to the worker, over all members.
    pub connections: u16,
    /// Whether it drains and gets no new requests.
    pub leaving: bool,
    /// Share of the worker's cores that batch tasks hold, in percent.
    pub batch_percent: u8,
}
