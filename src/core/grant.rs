//! Connection grants: shares of the connections of every worker of a cell.

/// A slot of the owner's grant table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(pub u16);
