//! HTTP client of the platform's store.
//!
//! A write whose answer is lost is reported as unknown. The reducer sends it again, and recognises by the write id
//! whether the first attempt took effect.

use std::net::SocketAddr;
use std::time::Duration;

use actix_web::rt;
use awc::Client;
use awc::http::StatusCode;
use serde::de::DeserializeOwned;

use super::Inbox;
use super::http::{self, Answer, Fault};
use crate::core::cell;
use crate::core::event::Event;
use crate::core::journal::Snapshot;
use crate::core::store::{Call, Reply, Request};
use crate::error::Decode;
use crate::wire::{journal, store as wire};

/// Limit on attempts to write the head of a cell. An attempt fails if another process, or an earlier snapshot write of
/// this process, has changed the head in the meantime.
const MAX_HEAD_ATTEMPTS: usize = 3;

/// Client of the store; sends its calls on the arbiter on which it was created.
#[derive(Clone)]
pub struct Port {
    client: Client,
    base_url: String,
    timeout: Duration,
    inbox: Inbox,
}

impl Port {
    /// Returns a client of the store at `address`; `timeout` is the longest wait for one HTTP answer.
    pub fn new(address: SocketAddr, timeout: Duration, inbox: Inbox) -> Self {
        let base_url = format!("http://{address}{}", wire::KEYS_PATH);
        Self { client: http::client(timeout), base_url, timeout, inbox }
    }

    /// Starts a call; its reply arrives as [`Event::Store`].
    pub fn call(&self, call: Call, request: Request) {
        let port = self.clone();
        rt::spawn(async move {
            let (Ok(reply) | Err(reply)) = port.execute(request).await;
            port.inbox.send(Event::Store { call, reply });
        });
    }

    /// Executes a call. Both variants of the result hold the reply; `Err` allows an early return with `?`.
    async fn execute(&self, request: Request) -> Result<Reply, Reply> {
        match request {
            Request::ReadIndex { newer_than } => {
                let (revision, value) = self.get(wire::index_key(), newer_than).await?;
                let index = wire::decode_index(value).map_err(corrupt)?;
                Ok(Reply::Index { revision, index })
            }
            Request::WriteIndex { expect, index } => {
                self.put(wire::index_key(), Some(expect), wire::encode_index(&index)).await
            }
            Request::ReadDocument { hash } => {
                let (_, value) = self.get(wire::document_key(hash), 0).await?;
                Ok(Reply::Document(wire::decode_document(value).map_err(corrupt)?))
            }
            Request::WriteDocument { hash, text } => {
                self.put(wire::document_key(hash), None, wire::encode_document(text)).await
            }
            Request::ReadSnapshot { cell } => self.read_snapshot(cell).await,
            Request::WriteSnapshot { cell, snapshot } => self.write_snapshot(cell, snapshot).await,
            Request::ReadSegment { cell, position } => {
                let (revision, value) = self.get(wire::segment_key(cell, position), 0).await?;
                let segment = journal::decode_segment(value).map_err(corrupt)?;
                Ok(Reply::Segment { revision, segment })
            }
            Request::Append { cell, expect, segment } => {
                let key = wire::segment_key(cell, segment.position);
                self.put(key, Some(expect), journal::encode_segment(&segment)).await
            }
        }
    }

    async fn read_snapshot(&self, cell: cell::Id) -> Result<Reply, Reply> {
        let (_, value) = self.get(wire::head_key(cell), 0).await?;
        let head = wire::decode_head(value).map_err(corrupt)?;
        let newest = match self.read_snapshot_at(cell, head.newest).await {
            Err(fault @ (Reply::Corrupt(_) | Reply::Missing)) => fault,
            result => return result,
        };
        log::error!("snapshot {} of cell {cell:?} cannot be used: {newest:?}", head.newest);
        let Some(previous) = head.previous else {
            return Err(Reply::Corrupt(format!("snapshot {}: {newest:?}", head.newest)));
        };
        match self.read_snapshot_at(cell, previous).await {
            Err(Reply::Missing) => Err(Reply::Corrupt(format!("snapshots {} and {previous}", head.newest))),
            result => result,
        }
    }

    async fn read_snapshot_at(&self, cell: cell::Id, next: u64) -> Result<Reply, Reply> {
        let (_, value) = self.get(wire::snapshot_key(cell, next), 0).await?;
        Ok(Reply::Snapshot(journal::decode_snapshot(value).map_err(corrupt)?))
    }

    /// Writes a snapshot and then the head that refers to it. An obsolete snapshot is deleted after the reply.
    async fn write_snapshot(&self, cell: cell::Id, snapshot: Snapshot) -> Result<Reply, Reply> {
        let value = journal::encode_snapshot(&snapshot);
        self.put(wire::snapshot_key(cell, snapshot.next), None, value).await?;
        for _ in 0..MAX_HEAD_ATTEMPTS {
            let (expect, before) = match self.get(wire::head_key(cell), 0).await {
                Ok((revision, value)) => (revision, Some(wire::decode_head(value).map_err(corrupt)?)),
                Err(Reply::Missing) => (0, None),
                Err(fault) => return Err(fault),
            };
            let Some(head) = wire::Head::advance(before, snapshot.next) else { return Err(Reply::Conflict) };
            match self.put(wire::head_key(cell), Some(expect), wire::encode_head(&head)).await {
                Err(Reply::Conflict) => continue,
                Err(fault) => return Err(fault),
                Ok(reply) => {
                    let port = self.clone();
                    rt::spawn(async move { port.delete_stale_snapshot(cell, head).await });
                    return Ok(reply);
                }
            }
        }
        Err(Reply::Conflict)
    }

    /// Deletes the snapshot that is no longer needed. If that fails, the snapshot only occupies space in the store.
    async fn delete_stale_snapshot(&self, cell: cell::Id, head: wire::Head) {
        let Some(next) = head.stale else { return };
        if let Err(reply) = self.delete(&wire::snapshot_key(cell, next)).await {
            log::info!("snapshot {next} of cell {cell:?} was not deleted: {reply:?}");
        }
    }

    async fn get(&self, key: String, newer_than: u64) -> Result<(u64, Vec<u8>), Reply> {
        let url = format!("{}{key}?newer_than={newer_than}", self.base_url);
        let answer = self.receive(self.client.get(url).send()).await?;
        match answer.status {
            StatusCode::OK => {
                let entry: wire::Entry = parse(&answer)?;
                Ok((entry.revision, entry.value().map_err(corrupt)?))
            }
            StatusCode::NO_CONTENT => Err(Reply::Unchanged),
            StatusCode::NOT_FOUND => Err(Reply::Missing),
            status => Err(refusal(status)),
        }
    }

    async fn put(&self, key: String, expect: Option<u64>, value: Vec<u8>) -> Result<Reply, Reply> {
        let query = expect.map(|revision| format!("?expect={revision}")).unwrap_or_default();
        let url = format!("{}{key}{query}", self.base_url);
        let answer = self.receive(self.client.put(url).send_body(value)).await?;
        match answer.status {
            StatusCode::OK => {
                let reply: wire::WriteReply = parse(&answer)?;
                Ok(Reply::Written { revision: reply.revision })
            }
            StatusCode::CONFLICT => Err(Reply::Conflict),
            status => Err(refusal(status)),
        }
    }

    async fn delete(&self, key: &str) -> Result<(), Reply> {
        let answer = self.receive(self.client.delete(format!("{}{key}", self.base_url)).send()).await?;
        match answer.status {
            StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => Ok(()),
            status => Err(refusal(status)),
        }
    }

    async fn receive(&self, request: awc::SendClientRequest) -> Result<Answer, Reply> {
        http::receive(request, self.timeout, self.timeout).await.map_err(|fault| match fault {
            Fault::Refused | Fault::NotWritten => Reply::Refused,
            Fault::Lost => Reply::Unknown,
        })
    }
}

/// Reply for an error status. The store sends 413, 429 and 503 before it executes a call.
fn refusal(status: StatusCode) -> Reply {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Reply::Refused,
        StatusCode::PAYLOAD_TOO_LARGE => {
            log::error!("a value is larger than the limit of the store");
            Reply::Refused
        }
        _ => Reply::Unknown,
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, Reply> {
    serde_json::from_slice(&answer.body).map_err(|_| Reply::Unknown)
}

fn corrupt(error: Decode) -> Reply {
    Reply::Corrupt(error.to_string())
}
