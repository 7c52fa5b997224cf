//! Teams and their quotas.

use super::size::Size;

/// Index of a team in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// A team that owns services and jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name, unique over all documents.
    pub name: String,
    /// Maximum that its batch tasks may use at the same time over all zones; `None` is unlimited.
    pub quota: Option<Size>,
    /// Weight of its share relative to other teams when resources are short.
    pub weight: u32,
}
