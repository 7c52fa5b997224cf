//! The plan: the checked declarations of all documents, with references resolved to keys.

use super::job::{self, Job};
use super::pool::{self, Pool};
use super::sample::Sample;
use super::service::{self, Service};
use super::team::{self, Team};
use super::zone::{self, Link, Zone};
use crate::core::cell;
use crate::hash::Map;

/// Declarations of all documents. Items keep the order of the documents.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Region names, indexed by `zone::Region`.
    pub regions: Vec<String>,
    /// Zones, indexed by `zone::Key`.
    pub zones: Vec<Zone>,
    /// Links between regions.
    pub links: Vec<Link>,
    /// Pools, indexed by `pool::Key`.
    pub pools: Vec<Pool>,
    /// Teams, indexed by `team::Key`.
    pub teams: Vec<Team>,
    /// Services, indexed by `service::Key`.
    pub services: Vec<Service>,
    /// Jobs, indexed by `job::Key`.
    pub jobs: Vec<Job>,
    /// Sample requests that `local` sends.
    pub samples: Vec<Sample>,
    /// Key of each job by identity; an index over `jobs` that is built when the list is complete.
    pub job_keys: Map<job::Id, job::Key>,
}

impl Plan {
    /// Zone with identity `id`, if it is declared.
    pub fn zone(&self, id: zone::Id) -> Option<(zone::Key, &Zone)> {
        let index = self.zones.iter().position(|zone| zone.id == id)?;
        Some((zone::Key(index as u16), &self.zones[index]))
    }

    /// Pool with the name `name`, if it is declared.
    pub fn pool(&self, name: &str) -> Option<(pool::Key, &Pool)> {
        let index = self.pools.iter().position(|pool| pool.name == name)?;
        Some((pool::Key(index as u16), &self.pools[index]))
    }

    /// Service with identity `id`, if it is declared.
    pub fn service(&self, id: service::Id) -> Option<(service::Key, &Service)> {
        let index = self.services.iter().position(|service| service.id == id)?;
        Some((service::Key(index as u16), &self.services[index]))
    }

    /// Job with identity `id`, if it is declared.
    ///
    /// Uses the index: the reducer looks up the job of a task several times per task start, and a linear search through
    /// all jobs would exceed the time budget of a cell owner.
    pub fn job(&self, id: job::Id) -> Option<(job::Key, &Job)> {
        let key = *self.job_keys.get(&id)?;
        Some((key, self.jobs.get(key.0 as usize)?))
    }

    /// Builds the index over `jobs`.
    pub(crate) fn build_job_index(&mut self) {
        let entries = self.jobs.iter().enumerate().map(|(index, job)| (job.id, job::Key(index as u32)));
        self.job_keys = entries.collect();
    }

    /// Team with the key `key`.
    pub fn team(&self, key: team::Key) -> &Team {
        &self.teams[usize::from(key.0)]
    }

    /// All cells of a zone.
    pub fn cells(&self, zone: &Zone) -> impl Iterator<Item = cell::Id> + use<> {
        let id = zone.id;
        (0..zone.cells).map(move |index| cell::Id { zone: id, index })
    }

    /// Cell of the worker with the identity `worker` in `zone`, selected by rendezvous hashing.
    pub fn cell_of_worker(&self, zone: &Zone, worker: u64) -> cell::Id {
        let ranked = crate::hash::rendezvous(worker, (0..zone.cells.max(1)).map(u64::from));
        cell::Id { zone: zone.id, index: ranked[0] as u16 }
    }
}
