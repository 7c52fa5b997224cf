//! Error types of the library.

use std::io;

use thiserror::Error;

use crate::finding::Finding;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Input files have faults; lists all of them.
    #[error("{} finding(s):\n{}", .0.len(), join(.0))]
    Findings(Vec<Finding>),
    /// Another operator changed the document first.
    #[error(
        "conflict: document {document} is at version {found}, not {expected}; read it again and re-apply"
    )]
    Conflict {
        /// Name of the document.
        document: String,
        /// Version of the document that the operator edited.
        expected: u64,
        /// Version of the document in the index.
        found: u64,
    },
    /// An operation on a file or socket failed.
    #[error("{action}: {source}")]
    Io {
        /// Action that failed.
        action: String,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// A call to another process failed.
    #[error("{action}: {reason}")]
    Call {
        /// Action that failed.
        action: String,
        /// Reason of the failure, as text.
        reason: String,
    },
    /// A requested object does not exist, or a run ended without reaching the declared state.
    #[error("{0}")]
    Unmet(String),
}

/// Why a stored or received value cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Decode {
    /// The bytes are truncated or are not a message of this type.
    #[error("malformed or truncated value: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// The value has the format of another release.
    #[error("format version {found}, expected {expected}")]
    Format {
        /// Format version of the value.
        found: u32,
        /// Format version of this release.
        expected: u32,
    },
    /// The value is of another kind than requested.
    #[error("value of kind {found}, expected kind {expected}")]
    Kind {
        /// Kind of the value.
        found: u32,
        /// Requested kind.
        expected: u32,
    },
    /// The content differs from the one that was written.
    #[error("checksum does not match the content")]
    Checksum,
    /// A required field is absent or out of range.
    #[error("field {0} is absent or out of range")]
    Field(&'static str),
}

/// Result with the error type of the library.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Wraps an I/O error with the action that failed.
    pub fn io(action: impl Into<String>, source: io::Error) -> Self {
        Self::Io { action: action.into(), source }
    }

    /// Exit code of the process: 1 if the input or the outcome is at fault, 2 if an I/O operation or a call fails.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Conflict { .. } | Self::Unmet(_) => 1,
            Self::Io { .. } | Self::Call { .. } => 2,
        }
    }

    /// Wraps the reason of a failed call with the action that failed.
    pub fn call(action: impl Into<String>, reason: impl ToString) -> Self {
        Self::Call { action: action.into(), reason: reason.to_string() }
    }
}

fn join(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")
}
