//! JSON encoding of the administration API, version 1.

use serde::{Deserialize, Serialize};

use crate::core::admin;
use crate::error::Error;
use crate::finding;

/// Media type of [`Problem`], as defined by RFC 9457.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// Media type of timeline entries, one JSON object per line.
pub const NDJSON_TYPE: &str = "application/x-ndjson";

/// Parameters of `PUT /v1/documents/{name}`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Version of the document that the operator edited; `None` for the newest.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub base: Option<u64>,
    /// Operator who applies the document.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub author: Option<String>,
}

/// Parameters of `GET /v1/timeline`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selection {
    /// Subject of the entries, or a prefix of it that ends before a separator; `None` for all.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub subject: Option<String>,
    /// Sequence number of the last entry that the operator already has; `None` for none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub after: Option<u64>,
}

/// Answer for an accepted document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Global version of the configuration.
    pub version: u64,
}

/// Explanation of a task's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Why {
    /// Explanation in words.
    pub why: String,
}

/// State of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the VM.
    pub name: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Configuration version in force.
    pub version: u64,
    /// Whether the process is ready for requests of callers.
    pub ready: bool,
    /// Other members that the process knows.
    pub members: Vec<Member>,
    /// Cells that the process acts for.
    pub cells: Vec<Cell>,
    /// Requests of callers, by outcome.
    pub requests: Requests,
    /// Documents in force.
    pub documents: Vec<Document>,
}

/// Another member, as the process knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity, 16 hexadecimal digits.
    pub id: String,
    /// Name of the VM.
    pub name: String,
    /// Health in words.
    pub health: String,
    /// Configuration version that the member has in force.
    pub version: u64,
}

/// A cell that the process acts for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cell {
    /// Identity: the zone in 8 hexadecimal digits, a slash and the number of the cell in the zone.
    pub id: String,
    /// Role in words.
    pub role: String,
    /// Epoch of the last takeover in the log.
    pub epoch: u64,
    /// Number of workers with a control lease, of all known workers.
    pub workers: Share,
    /// Number of batch tasks, by phase.
    pub tasks: Tasks,
    /// Number of running service replicas, of the declared ones.
    pub replicas: Share,
}

/// A number of items out of a total.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Number of items.
    pub have: u32,
    /// Total number of items.
    pub of: u32,
}

/// Number of batch tasks, by phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tasks {
    /// Waiting for a worker.
    pub queued: u64,
    /// Running.
    pub running: u64,
    /// On a worker that does not answer.
    pub unknown: u64,
    /// Finished.
    pub finished: u64,
    /// Failed permanently.
    pub failed: u64,
    /// Cancelled.
    pub cancelled: u64,
}

/// Number of requests of callers, by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Requests {
    /// In flight.
    pub in_flight: u64,
    /// Answered since the start of the process.
    pub answered: u64,
    /// Refused as "not run" since the start of the process.
    pub refused: u64,
    /// Ended with an unknown outcome since the start of the process.
    pub unknown: u64,
}

/// A document in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Name.
    pub name: String,
    /// Version.
    pub version: u64,
    /// Operator who applied it.
    pub author: String,
}

/// A fault in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Name of the file or document.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Dotted path of the key that has the fault.
    pub key: String,
    /// What is wrong and what is expected.
    pub message: String,
}

/// Problem details, as defined by RFC 9457.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Kind of the problem, a URI reference such as `/problems/conflict`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind in words.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// What happened in this case.
    pub detail: String,
    /// For a conflict: version that the operator edited.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub expected: Option<u64>,
    /// For a conflict: version found in the store.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub found: Option<u64>,
    /// For an invalid document: all its faults.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<Finding>,
    /// For an unknown outcome: identity of the write in 16 hexadecimal digits, which the configuration index has if the
    /// write took effect.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub write_id: Option<String>,
}

/// A successful answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(untagged)]
pub enum Success {
    /// The document is accepted.
    Accepted(Accepted),
    /// State of a process.
    Status(Box<Status>),
    /// Explanation of a task's state.
    Why(Why),
    /// The command succeeded and has no result.
    Done,
}

/// Converts an answer to its JSON form.
///
/// # Errors
///
/// The problem details of an answer that reports a failure.
pub fn encode(answer: admin::Answer) -> Result<Success, Box<Problem>> {
    use admin::Answer;
    let problem = match answer {
        Answer::Accepted { version } => return Ok(Success::Accepted(Accepted { version })),
        Answer::Status(status) => return Ok(Success::Status(Box::new(Status::from(*status)))),
        Answer::Why(why) => return Ok(Success::Why(Why { why })),
        Answer::Done => return Ok(Success::Done),
        Answer::Conflict { expected, found } => Problem::conflict(expected, found),
        Answer::Invalid(findings) => Problem::invalid(findings),
        Answer::NotAccepted(detail) => Problem::new(503, "not-accepted", "Nothing was changed", detail),
        Answer::Unknown { write_id } => Problem::unknown(Some(write_id)),
        Answer::NotFound(detail) => Problem::new(404, "not-found", "Not found", detail),
    };
    Err(Box::new(problem))
}

impl Problem {
    /// Creates a problem of `kind`, the last segment of its URI reference.
    pub fn new(status: u16, kind: &str, title: &str, detail: impl Into<String>) -> Self {
        let kind = format!("/problems/{kind}");
        Self { kind, title: title.to_owned(), status, detail: detail.into(), ..Self::default() }
    }

    fn conflict(expected: u64, found: u64) -> Self {
        let detail =
            format!("the document is at version {found}, not {expected}; read it again and re-apply");
        let problem = Self::new(409, "conflict", "Another operator changed the document first", detail);
        Self { expected: Some(expected), found: Some(found), ..problem }
    }

    fn invalid(findings: Vec<finding::Finding>) -> Self {
        let detail = format!("{} finding(s); nothing was changed", findings.len());
        let problem = Self::new(422, "invalid", "The document has faults", detail);
        Self { findings: findings.into_iter().map(Finding::from).collect(), ..problem }
    }

    /// Creates the problem of a change that may have taken effect.
    pub fn unknown(write_id: Option<u64>) -> Self {
        let write_id = write_id.map(|id| format!("{id:016x}"));
        let detail = match &write_id {
            Some(id) => format!("the write {id} may have taken effect; see the status before applying again"),
            None => "the change may have taken effect; see the status before trying again".to_owned(),
        };
        let problem = Self::new(504, "unknown", "The outcome is unknown", detail);
        Self { write_id, ..problem }
    }

    /// Converts the problem to the error of a command; `document` is named in a conflict, `action` in other failures.
    pub fn into_error(self, action: impl Into<String>, document: &str) -> Error {
        match self {
            Self { status: 409, expected: Some(expected), found: Some(found), .. } => {
                Error::Conflict { document: document.to_owned(), expected, found }
            }
            Self { findings, .. } if !findings.is_empty() => {
                Error::Findings(findings.into_iter().map(finding::Finding::from).collect())
            }
            Self { status: 404, detail, .. } => Error::Unmet(detail),
            Self { title, detail, .. } => Error::call(action, format!("{title}: {detail}")),
        }
    }
}

impl From<finding::Finding> for Finding {
    fn from(finding: finding::Finding) -> Self {
        let finding::Finding { file, line, column, key, message } = finding;
        Self { file, line, column, key, message }
    }
}

impl From<Finding> for finding::Finding {
    fn from(finding: Finding) -> Self {
        let Finding { file, line, column, key, message } = finding;
        Self { file, line, column, key, message }
    }
}

impl From<admin::Status> for Status {
    fn from(status: admin::Status) -> Self {
        let requests = Requests {
            in_flight: status.in_flight,
            answered: status.answered,
            refused: status.refused,
            unknown: status.unknown,
        };
        let member = |(id, name, health, version): (crate::core::member::Id, String, String, u64)| Member {
            id: format!("{:016x}", id.0),
            name,
            health,
            version,
        };
        let document = |(name, version, author)| Document { name, version, author };
        Self {
            name: status.name,
            zone: status.zone,
            version: status.version,
            ready: status.ready,
            members: status.members.into_iter().map(member).collect(),
            cells: status.cells.into_iter().map(Cell::from).collect(),
            requests,
            documents: status.documents.into_iter().map(document).collect(),
        }
    }
}

impl From<admin::Cell> for Cell {
    fn from(cell: admin::Cell) -> Self {
        let share = |(have, of)| Share { have, of };
        let [queued, running, unknown, finished, failed, cancelled] = cell.tasks;
        Self {
            id: format!("{:08x}/{}", cell.id.zone.0, cell.id.index),
            role: cell.role.to_owned(),
            epoch: cell.epoch,
            workers: share(cell.workers),
            tasks: Tasks { queued, running, unknown, finished, failed, cancelled },
            replicas: share(cell.replicas),
        }
    }
}
