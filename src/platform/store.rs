//! HTTP client of the platform's key-value store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::rt;
use awc::http::StatusCode;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::time::Instant as Deadline;

use super::{config, entry};
use crate::core::event::Event;
use crate::core::work::event::Event as WorkEvent;
use crate::core::work::store::{
    Call, Change, Item, Key, Range, Removed, Reply, Request, Revision, Transaction, Value,
};
use crate::port::Inbox;
use crate::port::http::{self, Answer, Fault, Pool};
use crate::wire::job as wire;

/// Key of the operator's configuration.
const CONFIG_KEY: &str = "op/config";

/// Prefix of the keys by which the operator evacuates zones; the rest of a key is the name of the zone.
const EVACUATIONS_PREFIX: &str = "op/evacuate/";

/// Prefix of the keys of workers' entries.
const WORKERS_PREFIX: &str = "servers/";

/// Characters of a key that are escaped in a query. Another writer may use any key.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'/').remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// Client of the store; sends its calls on the arbiter on which it was created.
#[derive(Clone)]
pub struct Port {
    pool: Rc<Pool>,
    base_url: String,
    timeout: Duration,
    inbox: Inbox,
}

#[derive(Deserialize)]
struct Row {
    key: String,
    value: Option<String>,
    #[serde(default)]
    revision: Revision,
    #[serde(default)]
    removed: bool,
}

#[derive(Deserialize)]
struct Page {
    items: Vec<Row>,
    #[serde(default)]
    truncated: bool,
    as_of: Revision,
}

#[derive(Deserialize)]
struct Events {
    #[serde(default)]
    events: Vec<Row>,
    as_of: Revision,
}

#[derive(Deserialize)]
struct ConflictBody {
    #[serde(default)]
    items: Vec<Row>,
}

#[derive(Deserialize)]
struct CommitBody {
    revision: Revision,
}

#[derive(Deserialize)]
struct LeaseBody {
    lease: u64,
}

#[derive(Serialize)]
struct Expectation {
    key: String,
    revision: Revision,
}

#[derive(Serialize)]
struct Put {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<u64>,
}

#[derive(Serialize)]
struct TransactionBody {
    expect: Vec<Expectation>,
    set_keys: Vec<Put>,
    delete: Vec<String>,
}

#[derive(Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

impl Port {
    /// Returns a client of the store at `address`. `timeout` is the longest wait for an answer; a watch states its
    /// own.
    pub fn new(address: SocketAddr, timeout: Duration, inbox: Inbox) -> Self {
        Self { pool: Rc::new(Pool::new(timeout)), base_url: format!("http://{address}"), timeout, inbox }
    }

    /// Starts a call; its reply arrives as an event.
    pub fn call(&self, call: Call, request: Request) {
        let port = self.clone();
        rt::spawn(async move {
            let began = Deadline::now();
            let (Ok(reply) | Err(reply)) = port.execute(request).await;
            if reply == Reply::Lost {
                port.pool.renew_after_loss(began);
            }
            port.inbox.send(Event::Work(WorkEvent::Store { call, reply }));
        });
    }

    /// Executes a call. Both variants of the result hold the reply; `Err` allows an early return with `?`.
    async fn execute(&self, request: Request) -> Result<Reply, Reply> {
        match request {
            Request::Lease { ttl } => {
                let body = LeaseRequest { ttl_ms: ttl.as_millis() as u64 };
                let answer = self.post("/kv-lease", &body).await?;
                let lease: LeaseBody = parse(&answer)?;
                Ok(Reply::Leased(lease.lease))
            }
            Request::Renew { lease } => {
                let url = format!("{}/kv-keep/{lease}", self.base_url);
                let answer = self.receive(self.pool.client().post(url).send(), self.timeout).await?;
                match answer.status {
                    StatusCode::OK => Ok(Reply::Renewed),
                    StatusCode::NOT_FOUND => Err(Reply::Gone),
                    status => Err(refusal(status)),
                }
            }
            Request::Commit(transaction) => self.commit(transaction).await,
            Request::Read(key) => self.read(key).await,
            Request::List { range, after, limit } => self.list(range, after, limit).await,
            Request::Watch { range, after, wait, allowance, limit } => {
                self.watch((range, after), wait, allowance, limit).await
            }
        }
    }

    async fn commit(&self, transaction: Transaction) -> Result<Reply, Reply> {
        let expect = |(key, revision)| Expectation { key: wire::key_text(key), revision };
        let put = |(key, value, lease): (Key, Value, Option<u64>)| Put {
            key: wire::key_text(key),
            value: STANDARD.encode(wire::encode(&value)),
            lease,
        };
        let body = TransactionBody {
            expect: transaction.expect.into_iter().map(expect).collect(),
            set_keys: transaction.put.into_iter().map(put).collect(),
            delete: transaction.delete.into_iter().map(wire::key_text).collect(),
        };
        let answer = self.post_with_any_status("/kv-txn", &body).await?;
        match answer.status {
            StatusCode::OK => Ok(Reply::Committed(parse::<CommitBody>(&answer)?.revision)),
            StatusCode::PRECONDITION_FAILED => {
                let conflict: ConflictBody = parse(&answer)?;
                Err(Reply::Conflict(conflict.items.into_iter().filter_map(decode_entry).collect()))
            }
            StatusCode::NOT_FOUND => Err(Reply::Gone),
            status => Err(refusal(status)),
        }
    }

    async fn read(&self, key: Key) -> Result<Reply, Reply> {
        let url = format!("{}/kv-key?key={}", self.base_url, wire::key_text(key));
        let answer = self.receive(self.pool.client().get(url).send(), self.timeout).await?;
        match answer.status {
            StatusCode::OK => {
                let found = decode_entry(parse(&answer)?).map(|(_, value, revision)| (value, revision));
                Ok(Reply::Read(found))
            }
            StatusCode::NOT_FOUND => Ok(Reply::Read(None)),
            status => Err(refusal(status)),
        }
    }

    async fn list(&self, range: Range, after: Option<String>, limit: Option<usize>) -> Result<Reply, Reply> {
        let mut url = format!("{}/kv-range?prefix={}", self.base_url, range_prefix(range));
        if let Some(after) = after {
            url = format!("{url}&after={}", utf8_percent_encode(&after, ESCAPED));
        }
        let answer = self.receive_limited(self.pool.client().get(url).send(), self.timeout, limit).await?;
        if answer.status != StatusCode::OK {
            return Err(refusal(answer.status));
        }
        let page: Page = parse(&answer)?;
        let next = page.items.last().filter(|_| page.truncated).map(|row| row.key.clone());
        let items = page.items.into_iter().map(|row| (row.revision, row));
        let items = items.map(|(revision, row)| (decode_item(row), revision)).collect();
        Ok(Reply::Page { items, next, as_of: page.as_of, bytes: answer.body.len() })
    }

    async fn watch(
        &self,
        (range, after): (Range, Revision),
        wait: Duration,
        allowance: Duration,
        limit: Option<usize>,
    ) -> Result<Reply, Reply> {
        let (base, prefix, wait_ms) = (&self.base_url, range_prefix(range), wait.as_millis());
        let url = format!("{base}/kv-watch?prefix={prefix}&after={after}&wait_ms={wait_ms}");
        let answer =
            self.receive_limited(self.pool.client().get(url).send(), wait + allowance, limit).await?;
        match answer.status {
            StatusCode::OK => {
                let Events { events, as_of } = parse(&answer)?;
                let changes = events.into_iter().map(decode_change).collect();
                Ok(Reply::Changes { changes, as_of, bytes: answer.body.len() })
            }
            StatusCode::GONE => Err(Reply::Gone),
            status => Err(refusal(status)),
        }
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Answer, Reply> {
        let answer = self.post_with_any_status(path, body).await?;
        if answer.status == StatusCode::OK { Ok(answer) } else { Err(refusal(answer.status)) }
    }

    async fn post_with_any_status(&self, path: &str, body: &impl Serialize) -> Result<Answer, Reply> {
        let request = self.pool.client().post(format!("{}{path}", self.base_url)).send_json(body);
        self.receive(request, self.timeout).await
    }

    async fn receive(
        &self,
        request: awc::SendClientRequest,
        head_timeout: Duration,
    ) -> Result<Answer, Reply> {
        http::receive(request, head_timeout, self.timeout).await.map_err(fault_reply)
    }

    /// Receives an answer of at most `limit` bytes, or of any size if there is no limit.
    async fn receive_limited(
        &self,
        request: awc::SendClientRequest,
        head_timeout: Duration,
        limit: Option<usize>,
    ) -> Result<Answer, Reply> {
        let Some(limit) = limit else { return self.receive(request, head_timeout).await };
        let answer =
            http::receive_limited(request, head_timeout, self.timeout, limit).await.map_err(fault_reply)?;
        answer.ok_or(Reply::TooLarge)
    }
}

fn fault_reply(fault: Fault) -> Reply {
    match fault {
        Fault::Refused | Fault::NotWritten => Reply::Refused,
        Fault::Lost => Reply::Lost,
    }
}

fn range_prefix(range: Range) -> &'static str {
    match range {
        Range::Leadership => wire::LEADERSHIP,
        Range::Jobs => wire::JOBS,
        Range::Progress => wire::PROGRESS,
        Range::Workers => WORKERS_PREFIX,
        Range::Config => CONFIG_KEY,
        Range::Evacuations => EVACUATIONS_PREFIX,
    }
}

/// Reply for an error status. The store sends 429 and 503 before it executes a call.
fn refusal(status: StatusCode) -> Reply {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Reply::Refused,
        _ => {
            log::warn!("the store answered with unexpected status {status}");
            Reply::Lost
        }
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, Reply> {
    serde_json::from_slice(&answer.body).map_err(|error| {
        log::warn!("the store sent a malformed answer: {error}");
        Reply::Lost
    })
}

fn decode_base64(row: &Row) -> Result<Vec<u8>, String> {
    STANDARD.decode(row.value.as_deref().unwrap_or_default()).map_err(|error| error.to_string())
}

/// Decodes a key of the scheduler with its value; `None` if the key does not exist, is not a key of the scheduler, or
/// has a malformed value.
fn decode_entry(row: Row) -> Option<(Key, Value, Revision)> {
    row.value.as_ref()?;
    let key = wire::parse_key(&row.key)?;
    let value =
        decode_base64(&row).and_then(|bytes| wire::decode(key, &bytes).map_err(|error| error.to_string()));
    match value {
        Ok(value) => Some((key, value, row.revision)),
        Err(error) => {
            log::error!("the value of key {} is malformed: {error}", row.key);
            None
        }
    }
}

fn decode_item(row: Row) -> Item {
    if let Some(id) = row.key.strip_prefix(WORKERS_PREFIX) {
        return Item::Worker(id.to_owned(), decode_base64(&row).ok().and_then(|bytes| entry::decode(&bytes)));
    }
    if row.key == CONFIG_KEY {
        let config = decode_base64(&row).and_then(|bytes| config::decode(&bytes));
        return config.map_or_else(Item::Unreadable, Item::Config);
    }
    if let Some(zone) = row.key.strip_prefix(EVACUATIONS_PREFIX) {
        return Item::Evacuation(zone.to_owned());
    }
    let key_text = row.key.clone();
    match decode_entry(row) {
        Some((key, value, _)) => Item::Own(key, value),
        None => Item::Unreadable(key_text),
    }
}

fn decode_change(row: Row) -> Change {
    if !row.removed {
        let revision = row.revision;
        return Change::Set(decode_item(row), revision);
    }
    let removed = if let Some(id) = row.key.strip_prefix(WORKERS_PREFIX) {
        Removed::Worker(id.to_owned())
    } else if let Some(zone) = row.key.strip_prefix(EVACUATIONS_PREFIX) {
        Removed::Evacuation(zone.to_owned())
    } else {
        wire::parse_key(&row.key).map_or(Removed::Other, Removed::Own)
    };
    Change::Removed(removed)
}
