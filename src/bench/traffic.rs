//! Encoded sizes of everything that an entry VM sends and receives for control.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use prost::Message as _;

use crate::core::effect::Effect;
use crate::core::event::Event;
use crate::core::journal::Record;
use crate::core::peer::Message;
use crate::core::store::{Reply, Request};
use crate::core::{control, member};
use crate::wire;

/// Bytes of one HTTP/1.1 exchange beyond its bodies: request and status line, headers, and the headers of two TCP
/// segments with their acknowledgements over IPv4.
pub const HTTP_FRAME: u64 = 400;

/// Bytes of one unary gRPC call beyond its message: HTTP/2 frames, compressed headers, the empty receipt, and the
/// headers of two TCP segments with their acknowledgements over IPv4.
pub const PEER_FRAME: u64 = 250;

/// A number of messages and their bytes without framing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    /// Messages.
    pub count: u64,
    /// Bytes.
    pub bytes: u64,
}

/// A peer address of usual length.
const SENDER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 20, 30, 40)), 7_000);

/// Kind and encoded size of what an event brought in over the network.
pub fn received(event: &Event) -> Option<(&'static str, u64)> {
    match event {
        Event::Peer { from, message, .. } => Some((peer_kind(message), peer_bytes(*from, message))),
        Event::Worker { reply: Some(reply), .. } => Some(("control", reply_bytes(reply))),
        Event::Store { reply, .. } => Some(("store", store_reply_bytes(reply))),
        _ => None,
    }
}

/// Kind and encoded size of what an effect sends over the network.
pub fn sent(from: member::Id, effect: &Effect) -> Option<(&'static str, u64)> {
    match effect {
        Effect::Peer { message, .. } => Some((peer_kind(message), peer_bytes(from, message))),
        Effect::Worker { call, .. } => Some(("control", call_bytes(call))),
        Effect::Store { request, .. } => Some((store_kind(request), store_request_bytes(request))),
        _ => None,
    }
}

/// HTTP calls of one request to the store: reads, and writes with deletions.
pub fn store_calls(request: &Request) -> (u64, u64) {
    match request {
        Request::ReadIndex { .. } | Request::ReadDocument { .. } | Request::ReadSegment { .. } => (1, 0),
        // The head hint, then the snapshot that it names.
        Request::ReadSnapshot { .. } => (2, 0),
        Request::WriteIndex { .. } | Request::WriteDocument { .. } | Request::Append { .. } => (0, 1),
        // The snapshot, a read and a write of the head hint, and the deletion of an older snapshot.
        Request::WriteSnapshot { .. } => (1, 3),
    }
}

/// Number of `Assign` records that an effect appends.
pub fn starts(effect: &Effect) -> u64 {
    let Effect::Store { request: Request::Append { segment, .. }, .. } = effect else { return 0 };
    segment.records.iter().filter(|record| matches!(record, Record::Assign { .. })).count() as u64
}

/// Name of a message between entry VMs.
pub fn peer_kind(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat { .. } => "heartbeat",
        Message::Leave => "leave",
        Message::ConfigAsk { .. } => "config-ask",
        Message::ConfigOffer { .. } => "config-offer",
        Message::GrantAsk { .. } => "grant-ask",
        Message::Grant { .. } => "grant",
        Message::Routes { .. } => "routes",
        Message::Handover { .. } => "handover",
    }
}

fn store_kind(request: &Request) -> &'static str {
    match request {
        Request::ReadIndex { .. } => "read-index",
        Request::ReadDocument { .. } => "read-document",
        Request::ReadSnapshot { .. } => "read-snapshot",
        Request::ReadSegment { .. } => "read-segment",
        Request::WriteIndex { .. } => "write-index",
        Request::WriteDocument { .. } => "write-document",
        Request::WriteSnapshot { .. } => "write-snapshot",
        Request::Append { .. } => "append",
    }
}

/// Bytes of a message between entry VMs.
pub fn peer_bytes(from: member::Id, message: &Message) -> u64 {
    let parcel = wire::peer::Parcel { from, address: SENDER, message: message.clone() };
    wire::generated::peer::Parcel::from(parcel).encoded_len() as u64
}

/// Bytes of the body of a control call.
pub fn call_bytes(call: &control::Call) -> u64 {
    json_bytes(&wire::control::Call::from(call.clone()))
}

/// Bytes of the body of a control reply.
pub fn reply_bytes(reply: &control::Reply) -> u64 {
    json_bytes(&wire::control::Reply::from(reply.clone()))
}

/// Bytes of what a call of the store carries.
pub fn store_request_bytes(request: &Request) -> u64 {
    let bytes = match request {
        Request::WriteIndex { index, .. } => wire::store::encode_index(index).len(),
        Request::WriteDocument { text, .. } => wire::store::encode_document(text.as_str()).len(),
        Request::WriteSnapshot { snapshot, .. } => wire::journal::encode_snapshot(snapshot).len(),
        Request::Append { segment, .. } => wire::journal::encode_segment(segment).len(),
        _ => 0,
    };
    bytes as u64
}

/// Bytes of what the store answers; values travel in base64.
pub fn store_reply_bytes(reply: &Reply) -> u64 {
    let value = match reply {
        Reply::Index { index, .. } => wire::store::encode_index(index),
        Reply::Document(text) => wire::store::encode_document(text.as_str()),
        Reply::Segment { segment, .. } => wire::journal::encode_segment(segment),
        Reply::Snapshot(snapshot) => wire::journal::encode_snapshot(snapshot),
        Reply::Written { revision } => return json_bytes(&wire::store::WriteReply { revision: *revision }),
        _ => return 0,
    };
    json_bytes(&wire::store::Entry::new(1, value))
}

/// Bytes of a value as JSON.
pub fn json_bytes(value: &impl serde::Serialize) -> u64 {
    // The messages are plain data, whose encoding does not fail.
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}
