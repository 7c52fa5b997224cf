//! Key names and HTTP messages of the store, and the encodings of values outside the logs.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use prost::Message;
use serde::{Deserialize, Serialize};

use super::envelope::{self, Kind};
use crate::core::cell;
use crate::core::config::{Document, Index};
use crate::core::journal::SLOTS;
use crate::error::Decode;

/// Path prefix of all keys.
pub const KEYS_PATH: &str = "/v1/kv/";

/// Reply to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision of the key; every write to the store gets a higher one.
    pub revision: u64,
    /// Value in base64, since JSON cannot hold arbitrary bytes.
    value: String,
}

impl Entry {
    /// Creates an entry with `value`.
    pub fn new(revision: u64, value: impl AsRef<[u8]>) -> Self {
        Self { revision, value: STANDARD.encode(value) }
    }

    /// Decodes the value.
    ///
    /// # Errors
    ///
    /// The text is not valid base64.
    pub fn value(&self) -> Result<Vec<u8>, Decode> {
        STANDARD.decode(&self.value).map_err(|_| Decode::Field("value"))
    }
}

/// Reply to a write, also to one that is refused because the key has another revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// Current revision of the key; 0 if it does not exist.
    pub revision: u64,
}

/// Key of the configuration index.
pub fn index_key() -> String {
    "config/index".into()
}

/// Key of the text of a document, from its hash.
pub fn document_key(hash: u64) -> String {
    format!("config/document/{hash:016x}")
}

/// Key of the ring slot that holds the segment at `position` of the log.
pub fn segment_key(cell: cell::Id, position: u64) -> String {
    format!("{}/log/{:03}", cell_prefix(cell), position % SLOTS)
}

/// Key of a snapshot; `next` is the first position of the log that it does not include.
pub fn snapshot_key(cell: cell::Id, next: u64) -> String {
    format!("{}/snapshot/{next:020}", cell_prefix(cell))
}

/// Key of the head value of a cell.
pub fn head_key(cell: cell::Id) -> String {
    format!("{}/head", cell_prefix(cell))
}

/// Key prefix of a cell. It has the zone's number instead of its name, because a name may contain characters with a
/// special meaning in a path.
fn cell_prefix(cell: cell::Id) -> String {
    format!("cell/{:08x}/{}", cell.zone.0, cell.index)
}

/// Head value of a cell: a hint at its newest snapshots.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Head {
    /// First position that the newest snapshot does not include, which identifies the snapshot.
    #[prost(uint64, tag = "1")]
    pub newest: u64,
    /// The same position of the snapshot before it, which is used if the newest is damaged.
    #[prost(uint64, optional, tag = "2")]
    pub previous: Option<u64>,
    /// The same position of a snapshot that is no longer needed and may not have been deleted yet.
    #[prost(uint64, optional, tag = "3")]
    pub stale: Option<u64>,
}

impl Head {
    /// Head value after the snapshot `newest` is written; `None` if `before` already has a newer snapshot.
    pub fn advance(before: Option<Head>, newest: u64) -> Option<Head> {
        match before {
            None => Some(Head { newest, ..Head::default() }),
            Some(head) if head.newest == newest => Some(head),
            Some(head) if head.newest > newest => None,
            Some(head) => Some(Head { newest, previous: Some(head.newest), stale: head.previous }),
        }
    }
}

/// Encodes a head value.
pub fn encode_head(head: &Head) -> Vec<u8> {
    envelope::seal(Kind::Head, head.encode_to_vec())
}

/// Decodes a head value.
///
/// # Errors
///
/// The bytes are damaged, or of another format version or kind.
pub fn decode_head(bytes: impl AsRef<[u8]>) -> Result<Head, Decode> {
    Ok(Head::decode(envelope::open(Kind::Head, bytes)?.as_slice())?)
}

/// Encodes the text of a document.
pub fn encode_document(text: impl Into<String>) -> Vec<u8> {
    envelope::seal(Kind::Document, text.into().into_bytes())
}

/// Decodes the text of a document.
///
/// # Errors
///
/// The bytes are damaged, of another format version or kind, or the text is not UTF-8.
pub fn decode_document(bytes: impl AsRef<[u8]>) -> Result<String, Decode> {
    String::from_utf8(envelope::open(Kind::Document, bytes)?).map_err(|_| Decode::Field("text"))
}

/// Encodes the configuration index.
pub fn encode_index(index: &Index) -> Vec<u8> {
    let documents = index.documents.iter().map(|document| DocumentMessage {
        name: document.name.clone(),
        version: document.version,
        hash: document.hash,
        author: document.author.clone(),
        applied_s: document.applied_s,
    });
    let message =
        IndexMessage { version: index.version, write_id: index.write_id, documents: documents.collect() };
    envelope::seal(Kind::Index, message.encode_to_vec())
}

/// Decodes the configuration index.
///
/// # Errors
///
/// The bytes are damaged, or of another format version or kind.
pub fn decode_index(bytes: impl AsRef<[u8]>) -> Result<Index, Decode> {
    let message = IndexMessage::decode(envelope::open(Kind::Index, bytes)?.as_slice())?;
    let documents = message.documents.into_iter().map(|document| Document {
        name: document.name,
        version: document.version,
        hash: document.hash,
        author: document.author,
        applied_s: document.applied_s,
    });
    Ok(Index { version: message.version, write_id: message.write_id, documents: documents.collect() })
}

#[derive(Clone, PartialEq, Message)]
struct IndexMessage {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(fixed64, tag = "2")]
    write_id: u64,
    #[prost(message, repeated, tag = "3")]
    documents: Vec<DocumentMessage>,
}

#[derive(Clone, PartialEq, Message)]
struct DocumentMessage {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(fixed64, tag = "3")]
    hash: u64,
    #[prost(string, tag = "4")]
    author: String,
    #[prost(uint64, tag = "5")]
    applied_s: u64,
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::declare::zone;

    /// Guards against changed key names, with which a new release does not find the log of an older one.
    #[test]
    fn keys_are_stable() {
        let cell = cell::Id { zone: zone::Id(0x1a2b_3c4d), index: 0 };
        assert_eq!(segment_key(cell, 17), "cell/1a2b3c4d/0/log/017");
        assert_eq!(snapshot_key(cell, 64), "cell/1a2b3c4d/0/snapshot/00000000000000000064");
        assert_eq!(head_key(cell), "cell/1a2b3c4d/0/head");
        assert_eq!(document_key(255), "config/document/00000000000000ff");
    }

    /// Guards against a field of the index that is lost or changed by the encoding.
    #[test]
    fn index_survives_the_round_trip() {
        let document =
            Document { name: "jobs".into(), version: 3, hash: 7, author: "ana".into(), applied_s: 1 };
        let index = Index { version: 4, write_id: 9, documents: vec![document] };
        assert_eq!(decode_index(encode_index(&index)), Ok(index));
    }
}
