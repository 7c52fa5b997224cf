//! Envelope of every value in the store: kind, format version and checksum.

use prost::Message;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::error::Decode;

/// Format version that this release writes and reads.
pub const FORMAT_VERSION: u32 = 1;

/// Type of the value in an envelope, which detects a value that is stored under a wrong key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Segment of the log of a cell.
    Segment = 1,
    /// Snapshot of a cell.
    Snapshot = 2,
    /// Head value of a cell.
    Head = 3,
    /// Configuration index.
    Index = 4,
    /// Text of a document.
    Document = 5,
    /// Leader that schedules jobs.
    Leader = 6,
    /// Identity of the latest commit of the job scheduler.
    Tip = 7,
    /// Workers that may run tasks of jobs.
    Roster = 8,
    /// Record of an accepted job.
    Job = 9,
    /// Progress of a job.
    Progress = 10,
    /// Measured behaviour of images.
    Images = 11,
    /// Relay of an availability zone.
    Relay = 12,
}

/// The body is the last field, so that a truncated value cannot be decoded.
#[derive(Clone, PartialEq, Message)]
struct Envelope {
    #[prost(uint32, tag = "1")]
    format: u32,
    #[prost(uint32, tag = "2")]
    kind: u32,
    #[prost(fixed64, tag = "3")]
    checksum: u64,
    #[prost(bytes = "vec", tag = "4")]
    body: Vec<u8>,
}

/// Encodes `body` in an envelope.
pub fn seal(kind: Kind, body: Vec<u8>) -> Vec<u8> {
    let kind = kind as u32;
    Envelope { format: FORMAT_VERSION, kind, checksum: checksum(FORMAT_VERSION, kind, &body), body }
        .encode_to_vec()
}

/// Body of a value encoded by [`seal`].
///
/// # Errors
///
/// Malformed or truncated bytes, another format version, another kind, or a wrong checksum.
pub fn open(kind: Kind, bytes: impl AsRef<[u8]>) -> Result<Vec<u8>, Decode> {
    let envelope = Envelope::decode(bytes.as_ref())?;
    if envelope.format != FORMAT_VERSION {
        return Err(Decode::Format { found: envelope.format, expected: FORMAT_VERSION });
    }
    if envelope.checksum != checksum(envelope.format, envelope.kind, &envelope.body) {
        return Err(Decode::Checksum);
    }
    if envelope.kind != kind as u32 {
        return Err(Decode::Kind { found: envelope.kind, expected: kind as u32 });
    }
    Ok(envelope.body)
}

/// Checksum of `body`; its seed contains the format and the kind, so that the checksum covers them too.
fn checksum(format: u32, kind: u32, body: &[u8]) -> u64 {
    xxh3_64_with_seed(body, (u64::from(format) << 32) | u64::from(kind))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against decoding a value of another format version, or of another kind, as the requested one.
    #[test]
    fn other_formats_and_kinds_are_refused() {
        let body = b"abc".to_vec();
        let newer = Envelope { format: 2, kind: 1, checksum: checksum(2, 1, &body), body };
        let opened = open(Kind::Segment, newer.encode_to_vec());
        assert!(matches!(opened, Err(Decode::Format { found: 2, expected: 1 })), "{opened:?}");
        let opened = open(Kind::Segment, seal(Kind::Head, b"abc".to_vec()));
        assert!(matches!(opened, Err(Decode::Kind { found: 3, expected: 1 })), "{opened:?}");
    }
}
