//! Spread of service replicas over zones and cells.
//!
//! One more replica never moves another one: shares are given out one by one, each to the zone with the highest
//! quotient of capacity and share. So a change of the total starts or stops only the difference.

use super::capacity::{self, Room};
use super::plan::Plan;
use super::service;
use crate::core::cell;
use crate::hash;

/// How many of `total` replicas of a service the cell runs.
///
/// The sum over all cells that may run the service is `total`. Each zone gets one replica before any gets a second one;
/// beyond that, zones get shares in proportion to their capacity. The cells of a zone differ by at most one.
pub fn replicas(plan: &Plan, service: service::Key, total: u32, cell: cell::Id) -> u32 {
    let service = &plan.services[usize::from(service.0)];
    let rooms = ranked(capacity::rooms(plan, &service.filter, &service.size), service.id);
    let Some(at) = rooms.iter().position(|room| room.id == cell.zone) else { return 0 };
    let room = &rooms[at];
    if cell.index >= room.cells {
        return 0;
    }
    let share = zone_shares(&rooms, total)[at];
    let cells = u32::from(room.cells);
    let order = hash::rendezvous(service.id.0, (0..room.cells).map(|index| number(room, index)));
    let rank = order.iter().position(|other| *other == cell.number()).unwrap_or_default() as u32;
    share / cells + u32::from(rank < share % cells)
}

/// Rooms in the order in which they get their first replica: largest first, equal ones by rendezvous hash.
fn ranked(mut rooms: Vec<Room>, service: service::Id) -> Vec<Room> {
    let score = |room: &Room| hash::numbers([service.0, u64::from(room.id.0)]);
    rooms.sort_by_key(|room| std::cmp::Reverse((room.total(), score(room))));
    rooms
}

/// Share of each room, by the divisor method of Sainte-Laguë after one replica for each.
fn zone_shares(rooms: &[Room], total: u32) -> Vec<u32> {
    let mut shares: Vec<u32> = (0..rooms.len()).map(|at| u32::from((at as u32) < total)).collect();
    for _ in rooms.len() as u32..total {
        // The reversed index prefers the earlier room among equals.
        let next = (0..rooms.len()).max_by(|&a, &b| {
            let left = u128::from(rooms[a].total()) * u128::from(2 * u64::from(shares[b]) + 1);
            let right = u128::from(rooms[b].total()) * u128::from(2 * u64::from(shares[a]) + 1);
            left.cmp(&right).then(b.cmp(&a))
        });
        let Some(next) = next else { break };
        shares[next] += 1;
    }
    shares
}

fn number(room: &Room, index: u16) -> u64 {
    cell::Id { zone: room.id, index }.number()
}
