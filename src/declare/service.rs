//! Latency-critical services.

use std::time::Duration;

use super::pool::Filter;
use super::size::Size;
use super::team;

/// Index of a service in the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u16);

/// Stable identity of a service: a hash of its name, the same in every version of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

impl Id {
    /// Identity of the service called `name`.
    pub fn of(name: impl AsRef<str>) -> Self {
        Self(crate::hash::name(name))
    }
}

/// A service whose replicas answer requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Stable identity.
    pub id: Id,
    /// Name, unique over all documents; first segment of its URL.
    pub name: String,
    /// Team that owns it.
    pub team: team::Key,
    /// Minimum and maximum number of replicas.
    pub replicas: (u32, u32),
    /// Resources that one replica takes, including one slot.
    pub size: Size,
    /// Priority; a higher value is more important.
    pub priority: u8,
    /// Target for the 99th percentile of the request latency.
    pub latency_target: Duration,
    /// Timeout of a request that carries no deadline of its own.
    pub timeout: Duration,
    /// Maximum number of concurrent requests per replica.
    pub concurrency: u16,
    /// VMs its replicas may use.
    pub filter: Filter,
    /// Routes, longest path first, so that the first match is the most specific.
    pub routes: Vec<Route>,
}

/// A path prefix of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Path prefix below the service name, for example `/quote`.
    pub path: String,
    /// Whether a request may be retried when it is unknown whether it was executed.
    pub is_idempotent: bool,
}

impl Service {
    /// Whether a request for `path` may be retried; false for a path without a route.
    pub fn is_idempotent(&self, path: &str) -> bool {
        self.routes.iter().find(|route| route.covers(path)).is_some_and(|route| route.is_idempotent)
    }
}

impl Route {
    /// Whether `path`, without query and fragment, is the route's path or below it; `/quote` does not cover `/quotes`.
    fn covers(&self, path: &str) -> bool {
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let prefix = self.path.trim_end_matches('/');
        path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against retries of a non-idempotent request whose path starts with the same characters as an idempotent
    /// route.
    #[test]
    fn routes_cover_whole_segments() {
        let route = |path: &str| Route { path: path.into(), is_idempotent: true };
        for (path, request, covered) in [
            ("/quote", "/quote", true),
            ("/quote", "/quote/7?x=1", true),
            ("/quote", "/quote?x=1", true),
            ("/quote", "/quotes-paid", false),
            ("/", "/anything", true),
            ("/quote", "/", false),
        ] {
            assert_eq!(route(path).covers(request), covered, "{path} {request}");
        }
    }
}
