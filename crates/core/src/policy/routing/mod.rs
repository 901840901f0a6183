//! Selection of the target for a call.
//!
//! A [`TargetMap`] is built from each version of the membership list and is
//! immutable. The statistics of a target ([`TargetStats`]) are carried over from
//! one map to the next.

mod cache_hints;
mod hash_ring;
mod in_flight_guard;
mod last_report;
mod pool_stats;
mod prompt_prefix;
mod report_accuracy;
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
    last_report::LastReport,
    pool_stats::PoolStats,
    prompt_prefix::{PREFIX_BLOCK_BYTES, PromptPrefix},
    report_accuracy::ReportAccuracy,
    route_request::RouteRequest,
    routing_mode::{ModeError, RouteObjective, RoutingMode},
    target_entry::TargetEntry,
    target_map::TargetMap,
    target_map_config::TargetMapConfig,
    target_pool::{SlowEjections, TargetPool},
    target_stats::{ShortTargetId, TargetStats},
    target_vm::TargetVm,
};
