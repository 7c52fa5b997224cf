//! Capacity: how many tasks of one size the VMs of a filter hold.

use super::plan::Plan;
use super::pool::{Filter, Pool};
use super::size::Size;
use super::zone;

/// Precision of the capacity of a cell, which is a fraction of its zone's.
const UNITS_PER_TASK: u64 = 1000;

/// Tasks of `size` that one empty VM holds.
pub(crate) fn tasks_per_vm(vm: &Size, size: &Size) -> u32 {
    let ratio = |have: u32, need: u32| have.checked_div(need).unwrap_or(u32::MAX);
    ratio(vm.millicores, size.millicores)
        .min(ratio(vm.memory_mib, size.memory_mib))
        .min(ratio(vm.accelerators, size.accelerators))
        .min(ratio(vm.slots, size.slots))
}

/// Tasks of `size` that the VMs of `pool` hold in the racks that `filter` allows.
pub(crate) fn tasks_in_pool(pool: &Pool, filter: &Filter, size: &Size) -> u64 {
    if !filter.allows_pool(pool) {
        return 0;
    }
    let racks = pool.racks.len().max(1) as u64;
    let allowed = match &filter.racks[..] {
        [] => racks,
        names => pool.racks.iter().filter(|rack| names.contains(rack)).count() as u64,
    };
    // Rounded up, so that an allowed rack is never taken for empty.
    let vms = (u64::from(pool.count) * allowed).div_ceil(racks);
    vms * u64::from(tasks_per_vm(&pool.size, size))
}

/// A zone with room for a task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneCapacity {
    pub key: zone::Key,
    pub id: zone::Id,
    pub cells: u16,
    /// Capacity of each of its cells.
    pub units_per_cell: u64,
}

impl ZoneCapacity {
    /// Capacity of the zone, in the unit of `units_per_cell`.
    pub fn total_units(&self) -> u64 {
        self.units_per_cell.saturating_mul(u64::from(self.cells))
    }
}

/// Zones that may hold tasks of `size`; retired zones only if there are no others.
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
    let is_live = |zone: &ZoneCapacity| !plan.zones[usize::from(zone.key.0)].is_retired;
    if zones.iter().any(is_live) {
        zones.retain(is_live);
    }
    zones
}
