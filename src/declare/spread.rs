//! Spread of service replicas over zones and cells.
//!
//! Replicas are assigned one by one, each to the zone with the highest quotient of capacity and share. An additional
//! replica therefore never moves another one, and a change of the total starts or stops only the difference.

use super::capacity::{self, ZoneCapacity};
use super::plan::Plan;
use super::service;
use crate::core::cell;
use crate::hash;

/// Number of replicas of a service that a cell runs, out of `total`.
///
/// The sum over all cells that may run the service is `total`. Each zone gets one replica before any zone gets a second
/// one; after that, zones get shares in proportion to their capacity. The numbers of the cells of a zone differ by at
/// most one.
pub fn replicas(plan: &Plan, service: service::Key, total: u32, cell: cell::Id) -> u32 {
    let service = &plan.services[usize::from(service.0)];
    let zones = rank_zones(capacity::zone_capacities(plan, &service.filter, &service.size), service.id);
    let Some(position) = zones.iter().position(|zone| zone.id == cell.zone) else { return 0 };
    let zone = &zones[position];
    if cell.index >= zone.cells {
        return 0;
    }
    let share = zone_shares(&zones, total)[position];
    let cells = u32::from(zone.cells);
    let order = hash::rendezvous(service.id.0, (0..zone.cells).map(|index| cell_number(zone, index)));
    let rank = order.iter().position(|other| *other == cell.number()).unwrap_or_default() as u32;
    share / cells + u32::from(rank < share % cells)
}

/// Zones in the order in which they get their first replica: by descending capacity, then by rendezvous hash.
fn rank_zones(mut zones: Vec<ZoneCapacity>, service: service::Id) -> Vec<ZoneCapacity> {
    let score = |zone: &ZoneCapacity| hash::numbers([service.0, u64::from(zone.id.0)]);
    zones.sort_by_key(|zone| std::cmp::Reverse((zone.total_units(), score(zone))));
    zones
}

/// Number of replicas of each zone: one each, then by the divisor method of Sainte-Laguë.
fn zone_shares(zones: &[ZoneCapacity], total: u32) -> Vec<u32> {
    let mut shares: Vec<u32> = (0..zones.len()).map(|index| u32::from((index as u32) < total)).collect();
    for _ in zones.len() as u32..total {
        // The reversed comparison of indexes selects the earlier zone on a tie.
        let next = (0..zones.len()).max_by(|&a, &b| {
            let left = u128::from(zones[a].total_units()) * u128::from(2 * u64::from(shares[b]) + 1);
            let right = u128::from(zones[b].total_units()) * u128::from(2 * u64::from(shares[a]) + 1);
            left.cmp(&right).then(b.cmp(&a))
        });
        let Some(next) = next else { break };
        shares[next] += 1;
    }
    shares
}

fn cell_number(zone: &ZoneCapacity, index: u16) -> u64 {
    cell::Id { zone: zone.id, index }.number()
}
