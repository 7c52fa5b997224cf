//! Capacity of pools and zones, as the number of tasks of one size that their VMs hold.
//!
//! The VMs count as empty, and only those that a filter allows count. The capacities decide where the tasks of a job
//! and the replicas of a service go.

use super::plan::Plan;
use super::pool::{Filter, Pool};
use super::size::Size;
use super::zone;

/// Capacity units per task, since an equal share of the zone's capacity need not be a whole number of tasks per cell.
const UNITS_PER_TASK: u64 = 1000;

/// Number of tasks of size `size` that one empty VM holds.
pub(crate) fn tasks_per_vm(vm: &Size, size: &Size) -> u32 {
    let ratio = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
    ratio(vm.millicores, size.millicores)
        .min(ratio(vm.memory_mib, size.memory_mib))
        .min(ratio(vm.accelerators, size.accelerators))
        .min(ratio(vm.slots, size.slots))
}

/// Number of tasks of size `size` that the empty VMs of `pool` hold in the racks that `filter` allows.
///
/// Assumes that the VMs are spread evenly over the racks of the pool.
pub(crate) fn tasks_in_pool(pool: &Pool, filter: &Filter, size: &Size) -> u64 {
    if !filter.allows_pool(pool) {
        return 0;
    }
    let racks = pool.racks.len().max(1) as u64;
    let allowed = match &filter.racks[..] {
        [] => racks,
        names => pool.racks.iter().filter(|rack| names.contains(rack)).count() as u64,
    };
    // Rounded up, so that a pool with an allowed rack counts at least one VM.
    let vms = (u64::from(pool.count) * allowed).div_ceil(racks);
    vms * u64::from(tasks_per_vm(&pool.size, size))
}

/// A zone that holds at least one task of a given size.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneCapacity {
    pub key: zone::Key,
    pub id: zone::Id,
    /// Number of cells.
    pub cells: u16,
    /// Capacity of each cell, in units of `1 / UNITS_PER_TASK` of a task; at least 1.
    pub units_per_cell: u64,
}

impl ZoneCapacity {
    /// Capacity of all cells of the zone, in the unit of `units_per_cell`.
    pub fn total_units(&self) -> u64 {
        self.units_per_cell.saturating_mul(u64::from(self.cells))
    }
}

/// Zones in which the allowed VMs hold at least one task of size `size`; retired zones only if there are no others.
pub(crate) fn zone_capacities(plan: &Plan, filter: &Filter, size: &Size) -> Vec<ZoneCapacity> {
    let mut zones: Vec<ZoneCapacity> = Vec::new();
    for (index, zone) in plan.zones.iter().enumerate() {
        let key = zone::Key(index as u16);
        let pools = plan.pools.iter().filter(|pool| pool.zone == key);
        let capacity: u64 = pools.map(|pool| tasks_in_pool(pool, filter, size)).sum();
        if capacity > 0 && zone.cells > 0 {
            let units_per_cell = (capacity * UNITS_PER_TASK / u64::from(zone.cells)).max(1);
            zones.push(ZoneCapacity { key, id: zone.id, cells: zone.cells, units_per_cell });
        }
    }
    let is_active = |zone: &ZoneCapacity| !plan.zones[usize::from(zone.key.0)].is_retired;
    if zones.iter().any(is_active) {
        zones.retain(is_active);
    }
    zones
}
