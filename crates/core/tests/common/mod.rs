//! Helpers shared by several tests, benchmarks and examples.

pub mod limit_fleet;
