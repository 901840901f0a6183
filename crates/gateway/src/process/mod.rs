//! The gateway process: startup and shutdown, settings, shared state, log and
//! metrics.

mod accept_loop;
mod daemon_args;
mod drain_driver;
mod executor_monitor;
mod gateway_clock;
mod gateway_metrics;
mod gateway_settings;
mod gateway_state;
mod local_tasks;
mod log_buffer;
mod metrics_listener;
mod readiness_listener;
mod run_error;
mod work_counter;

pub mod daemon;

pub use self::{
    accept_loop::{accept_each, listen},
    daemon_args::DaemonArgs,
    gateway_clock::GatewayClock,
    gateway_metrics::GatewayMetrics,
    gateway_settings::{GatewaySettings, SettingsError},
    gateway_state::{GatewayState, Shared},
    local_tasks::LocalTasks,
    log_buffer::LogBuffer,
    run_error::RunError,
    work_counter::{WorkCounter, WorkGuard},
};
