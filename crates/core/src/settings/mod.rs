//! Settings of the daemon. The settings file overrides the defaults, and the
//! command line overrides the file.

#[macro_use]
mod macros;

mod admission_policy;
mod cluster_secret;
mod drain_settings;
mod gateway_profile;
mod log_format;
mod log_level;
mod log_settings;
mod node_limits;
mod node_settings;
mod policy_settings;
mod routing_policy;
mod sample_share;
mod setting_override;
mod ticket_settings;
mod trace_settings;

pub use self::{
    admission_policy::AdmissionPolicy,
    cluster_secret::{ClusterSecret, SecretError},
    drain_settings::DrainSettings,
    gateway_profile::GatewayProfile,
    log_format::LogFormat,
    log_level::LogLevel,
    log_settings::LogSettings,
    macros::ChoiceError,
    node_limits::NodeLimits,
    node_settings::NodeSettings,
    policy_settings::PolicySettings,
    routing_policy::RoutingPolicy,
    sample_share::{SampleShare, ShareError},
    setting_override::{OverrideError, SettingOverride},
    ticket_settings::TicketSettings,
    trace_settings::TraceSettings,
};
