use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};

use super::{CallerLimits, ConfigRank, RouteSpec, ServiceSpec, WorkspaceKeys};
use crate::{
    ids::{PoolName, StoreRevision},
    units::TokenCount,
};

/// One version of the configuration of a gateway. A request keeps the version
/// with which it began.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteConfig {
    /// The operator's version.
    pub version: u64,
    /// The store's revision of the version.
    pub revision: StoreRevision,
    /// Routes by host.
    pub hosts: HashMap<String, Vec<Arc<RouteSpec>>>,
    /// Services by name.
    pub services: HashMap<PoolName, ServiceSpec>,
    /// Keys of the workspaces.
    pub keys: WorkspaceKeys,
    /// Bounds on callers.
    pub limits: CallerLimits,
}

impl RouteConfig {
    /// Where it stands against others. Configurations are adopted only upward of
    /// it.
    #[must_use]
    pub const fn rank(&self) -> ConfigRank {
        ConfigRank {
            version: self.version,
            revision: self.revision,
        }
    }

    /// The route of a request: the one of its host with the longest prefix
    /// that begins the path. A port in `host` and the case of its letters
    /// don't matter; `path` is compared byte for byte, without a query.
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

    /// How the targets of a service work as a stage.
    #[must_use]
    pub fn stage_service(&self, service: &PoolName) -> Option<super::StageService> {
        self.services.get(service).and_then(|spec| spec.stage)
    }

    /// Memory for prompts of each engine of a service, if it has engines.
    #[must_use]
    pub fn engine_memory(&self, service: &PoolName) -> Option<TokenCount> {
        self.services
            .get(service)
            .and_then(|spec| spec.engine_memory)
    }

    /// Services whose targets work as stages.
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
