//! Configuration in force: documents, their index, and the plan compiled from them.

/// One document in the index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Name of the document.
    pub name: String,
    /// Global version at which it last changed.
    pub version: u64,
    /// Hash of its stored content.
    pub hash: u64,
    /// Who applied it.
    pub author: String,
    /// When it was applied, in seconds since the Unix epoch by the clock of the process that applied it.
    pub applied_s: u64,
}

/// Index of all documents. Its compare-and-swap in the store is the single point where a configuration is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Index {
    /// Global version, one higher at each change.
    pub version: u64,
    /// Random number of the write, to recognise it after a lost answer.
    pub write_id: u64,
    /// Documents, by name.
    pub documents: Vec<Document>,
}
