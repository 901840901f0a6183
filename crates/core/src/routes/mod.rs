//! Routes of a gateway: which service handles a host and path, which callers may
//! use it, and which stages run before the request is sent to a target.

mod caller_limits;
mod config_rank;
mod first_attempt_estimator;
mod graph_stage;
mod route_config;
mod route_kind;
mod route_spec;
mod send_history;
mod service_spec;
mod split_share;
mod stage_service;
mod workspace_keys;

pub use self::{
    caller_limits::CallerLimits,
    config_rank::ConfigRank,
    first_attempt_estimator::FirstAttemptEstimator,
    graph_stage::GraphStage,
    route_config::RouteConfig,
    route_kind::RouteKind,
    route_spec::RouteSpec,
    send_history::{NotRunProof, SendHistory},
    service_spec::ServiceSpec,
    split_share::SplitShare,
    stage_service::StageService,
    workspace_keys::{AuthResult, WorkspaceKeys},
};
