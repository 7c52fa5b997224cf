//! Resource amounts, both for the capacity of a VM and for the demand of a task.

use std::ops::{Add, AddAssign, Sub, SubAssign};

/// Amount of each resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Hash)]
pub struct Size {
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of slots; each task takes one.
    pub slots: u32,
}

impl Size {
    /// Whether no amount in `self` exceeds the one in `free`.
    pub fn fits(&self, free: &Size) -> bool {
        self.millicores <= free.millicores
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
            && self.slots <= free.slots
    }

    /// Subtracts `used` from each amount; zero where `used` is larger.
    pub fn saturating_sub(self, used: Size) -> Size {
        Size {
            millicores: self.millicores.saturating_sub(used.millicores),
            memory_mib: self.memory_mib.saturating_sub(used.memory_mib),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
            slots: self.slots.saturating_sub(used.slots),
        }
    }

    /// Multiplies each amount by `count`; saturates on overflow.
    pub fn times(self, count: u32) -> Size {
        Size {
            millicores: self.millicores.saturating_mul(count),
            memory_mib: self.memory_mib.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
            slots: self.slots.saturating_mul(count),
        }
    }
}

impl Add for Size {
    type Output = Size;

    fn add(self, other: Size) -> Size {
        Size {
            millicores: self.millicores + other.millicores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
            slots: self.slots + other.slots,
        }
    }
}

impl Sub for Size {
    type Output = Size;

    fn sub(self, other: Size) -> Size {
        Size {
            millicores: self.millicores - other.millicores,
            memory_mib: self.memory_mib - other.memory_mib,
            accelerators: self.accelerators - other.accelerators,
            slots: self.slots - other.slots,
        }
    }
}

impl AddAssign for Size {
    fn add_assign(&mut self, other: Size) {
        *self = *self + other;
    }
}

impl SubAssign for Size {
    fn sub_assign(&mut self, other: Size) {
        *self = *self - other;
    }
}
