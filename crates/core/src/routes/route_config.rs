use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{CallerLimits, ConfigRank, RouteSpec, ServiceSpec, WorkspaceKeys};
use crate::{
    ids::{PoolName, StoreRevision},
    targets::RequestLimit,
    units::TokenCount,
};

/// One version of the configuration of a gateway. A request uses the same
/// version from start to end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// Version number set by the operator.
    pub version: u64,
    /// Revision at which the store holds this version.
    pub revision: StoreRevision,
    /// Routes by host.
    pub hosts: HashMap<String, Vec<Arc<RouteSpec>>>,
    /// Services by name.
    pub services: HashMap<PoolName, ServiceSpec>,
    /// API keys of the workspaces.
    pub keys: WorkspaceKeys,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl RouteConfig {
    /// Position in the order of configurations. A gateway adopts only
    /// configurations of a higher rank than its current one.
    #[must_use]
    pub const fn rank(&self) -> ConfigRank {
        ConfigRank {
            version: self.version,
            revision: self.revision,
        }
    }

    /// Finds the route of a request: among the routes of its host, the one with
    /// the longest prefix of `path`. The port and the letter case of `host` are
    /// ignored. `path` must have no query and is compared byte for byte.
    #[must_use]
    pub fn find(&self, host: &str, path: &[u8]) -> Option<&Arc<RouteSpec>> {
        let name = host.rsplit_once(':').map_or(host, |(name, port)| {
            if port.bytes().all(|byte| byte.is_ascii_digit()) {
                name
            } else {
                host
            }
        });
        let routes = self.hosts.get(&name.to_ascii_lowercase())?;
        let matching = routes
            .iter()
            .filter(|route| path.starts_with(route.prefix.as_bytes()));
        matching.max_by_key(|route| route.prefix.len())
    }

    /// Capacity and call times of the targets of a service, if it runs a stage.
    #[must_use]
    pub fn stage_service(&self, service: &PoolName) -> Option<super::StageService> {
        self.services.get(service).and_then(|spec| spec.stage)
    }

    /// Prompt memory of each engine of a service, in tokens, if its targets are
    /// engines.
    #[must_use]
    pub fn engine_memory(&self, service: &PoolName) -> Option<TokenCount> {
        self.services
            .get(service)
            .and_then(|spec| spec.engine_memory)
    }

    /// Requests a second that a cold target of a service tolerates, if that is
    /// limited.
    #[must_use]
    pub fn cold_limit(&self, service: &PoolName) -> Option<RequestLimit> {
        self.services.get(service).and_then(|spec| spec.cold_limit)
    }

    /// Names of the services whose cold targets tolerate a limited rate of requests.
    pub fn cold_limited_services(&self) -> impl Iterator<Item = &PoolName> {
        let limited = self.services.iter();
        let limited = limited.filter(|(_, spec)| spec.cold_limit.is_some());
        limited.map(|(service, _)| service)
    }

    /// Names of the services that run stages.
    pub fn stage_services(&self) -> impl Iterator<Item = &PoolName> {
        let stages = self.services.iter();
        let stages = stages.filter(|(_, spec)| spec.stage.is_some());
        stages.map(|(service, _)| service)
    }

    /// Number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
