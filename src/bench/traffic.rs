//! Encoded sizes of the control messages that an entry VM sends and receives.

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
pub const HTTP_OVERHEAD_BYTES: u64 = 400;

/// Bytes of one unary gRPC call beyond its message: HTTP/2 frames, compressed headers, the empty receipt, and the
/// headers of two TCP segments with their acknowledgements over IPv4.
pub const PEER_OVERHEAD_BYTES: u64 = 250;

/// Number and size of messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Flow {
    /// Number of messages.
    pub count: u64,
    /// Total bytes, without framing.
    pub bytes: u64,
}

/// A peer address of typical encoded length.
const SENDER: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 20, 30, 40)), 7_000);

/// Kind and encoded size of the message that an event received over the network; `None` for other events.
pub fn received_message(event: &Event) -> Option<(&'static str, u64)> {
    match event {
        Event::Peer { from, message, .. } => Some((peer_kind(message), peer_bytes(*from, message))),
        Event::Worker { reply: Some(reply), .. } => Some(("control", reply_bytes(reply))),
        Event::Store { reply, .. } => Some(("store", store_reply_bytes(reply))),
        _ => None,
    }
}

/// Kind and encoded size of the message that an effect sends over the network; `None` for other effects.
pub fn sent_message(from: member::Id, effect: &Effect) -> Option<(&'static str, u64)> {
    match effect {
        Effect::Peer { message, .. } => Some((peer_kind(message), peer_bytes(from, message))),
        Effect::Worker { call, .. } => Some(("control", call_bytes(call))),
        Effect::Store { request, .. } => Some((store_kind(request), store_request_bytes(request))),
        _ => None,
    }
}

/// Numbers of HTTP calls of one store request: reads, and writes including deletions.
pub fn store_calls(request: &Request) -> (u64, u64) {
    match request {
        Request::ReadIndex { .. } | Request::ReadDocument { .. } | Request::ReadSegment { .. } => (1, 0),
        // The head hint, and the snapshot that it refers to.
        Request::ReadSnapshot { .. } => (2, 0),
        Request::WriteIndex { .. } | Request::WriteDocument { .. } | Request::Append { .. } => (0, 1),
        // The snapshot, a read and a write of the head hint, and the deletion of an older snapshot.
        Request::WriteSnapshot { .. } => (1, 3),
    }
}

/// Number of `Assign` records that an effect appends.
pub fn count_assigns(effect: &Effect) -> u64 {
    let Effect::Store { request: Request::Append { segment, .. }, .. } = effect else { return 0 };
    segment.records.iter().filter(|record| matches!(record, Record::Assign { .. })).count() as u64
}

/// Kind of a message between entry VMs.
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

/// Encoded size of a message between entry VMs, in bytes.
pub fn peer_bytes(from: member::Id, message: &Message) -> u64 {
    let parcel = wire::peer::Parcel { from, address: SENDER, message: message.clone() };
    wire::generated::peer::Parcel::from(parcel).encoded_len() as u64
}

/// Encoded size of the body of a control call, in bytes.
pub fn call_bytes(call: &control::Call) -> u64 {
    json_bytes(&wire::control::Call::from(call.clone()))
}

/// Encoded size of the body of a control reply, in bytes.
pub fn reply_bytes(reply: &control::Reply) -> u64 {
    json_bytes(&wire::control::Reply::from(reply.clone()))
}

/// Encoded size of the value that a store request writes, in bytes; 0 for reads.
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

/// Encoded size of the body of a store reply, in bytes. Values are encoded in base64.
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

/// Size of a value encoded as JSON, in bytes.
pub fn json_bytes(value: &impl serde::Serialize) -> u64 {
    // The messages are plain data, so their encoding cannot fail.
    serde_json::to_vec(value).map_or(0, |text| text.len() as u64)
}
