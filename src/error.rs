//! The error type of the library.

use std::io;

use thiserror::Error;

use crate::finding::Finding;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum Error {
    /// Input files have faults; all of them are listed.
    #[error("{} finding(s):\n{}", .0.len(), join(.0))]
    Findings(Vec<Finding>),
    /// Another operator changed the document first.
    #[error(
        "conflict: document {document} is at version {found}, not {expected}; read it again and re-apply"
    )]
    Conflict {
        /// Name of the document.
        document: String,
        /// Version the operator worked from.
        expected: u64,
        /// Version now in force.
        found: u64,
    },
    /// A file or socket could not be used.
    #[error("{action}: {source}")]
    Io {
        /// What was attempted.
        action: String,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// A call to another process failed.
    #[error("{action}: {reason}")]
    Call {
        /// What was attempted.
        action: String,
        /// Why it failed.
        reason: String,
    },
    /// The run finished but did not reach what was declared.
    #[error("{0}")]
    Unmet(String),
}

/// Why a stored or received value cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Decode {
    /// The bytes are cut short or are no message of this kind.
    #[error("malformed or truncated value: {0}")]
    Malformed(#[from] prost::DecodeError),
    /// Another release wrote it.
    #[error("format version {found}, expected {expected}")]
    Format {
        /// Version of the value.
        found: u32,
        /// Version of this release.
        expected: u32,
    },
    /// The value holds something else than expected.
    #[error("value of kind {found}, expected kind {expected}")]
    Kind {
        /// Kind of the value.
        found: u32,
        /// Kind asked for.
        expected: u32,
    },
    /// The content was changed after it was written.
    #[error("checksum does not match the content")]
    Checksum,
    /// A required field is absent or out of range.
    #[error("field {0} is absent or out of range")]
    Field(&'static str),
}

/// Result with the library's error.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Wraps an I/O error with the action that failed.
    pub fn io(action: impl Into<String>, source: io::Error) -> Self {
        Self::Io { action: action.into(), source }
    }

    /// Exit code of the process: 1 when the input or the outcome is at fault, 2 when a call failed.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Findings(_) | Self::Conflict { .. } | Self::Unmet(_) => 1,
            Self::Io { .. } | Self::Call { .. } => 2,
        }
    }

    /// Wraps a failed call with its reason.
    pub fn call(action: impl Into<String>, reason: impl ToString) -> Self {
        Self::Call { action: action.into(), reason: reason.to_string() }
    }
}

fn join(findings: &[Finding]) -> String {
    findings.iter().map(Finding::to_string).collect::<Vec<_>>().join("\n")
}
