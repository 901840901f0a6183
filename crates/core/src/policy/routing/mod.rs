//! Choice of a replica for one call.
//!
//! A [`TargetMap`] is built from each version of the membership list and
//! never changes. What is learned about a target ([`TargetStats`]) lives as
//! long as the process and is handed from one map to the next.

mod cache_hints;
mod hash_ring;
mod in_flight_guard;
mod pool_stats;
mod prompt_prefix;
mod report_cell;
mod report_skill;
mod route_request;
mod route_score;
mod route_search;
mod routing_mode;
mod target_entry;
mod target_map;
mod target_map_config;
mod target_pool;
mod target_stats;
mod target_vm;

pub use self::{
    cache_hints::CacheHints,
    hash_ring::HashRing,
    in_flight_guard::InFlightGuard,
    pool_stats::PoolStats,
    prompt_prefix::{PREFIX_BLOCK_BYTES, PromptPrefix},
    report_cell::ReportCell,
    report_skill::ReportSkill,
    route_request::RouteRequest,
    routing_mode::{ModeError, RouteObjective, RoutingMode},
    target_entry::TargetEntry,
    target_map::TargetMap,
    target_map_config::TargetMapConfig,
    target_pool::{PoolReview, TargetPool},
    target_stats::{ShortTargetId, TargetStats},
    target_vm::TargetVm,
};
