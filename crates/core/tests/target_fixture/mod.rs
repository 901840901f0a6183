//! Records of targets, shared by the tests of what targets say of themselves.

use std::sync::Arc;

use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::{EraNumber, PoolName, StoreRevision, TargetId, ZoneName},
    targets::{TargetRecord, TargetState},
};

pub fn at(millis: u64) -> ClockTime {
    ClockTime::from_millis(millis)
}

pub fn record(id: &str, started_at: Option<u64>) -> Arc<TargetRecord> {
    Arc::new(TargetRecord {
        id: TargetId::new(id).expect("a valid target identifier"),
        service: PoolName::new("pool").expect("a valid pool name"),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: ZoneName::new("z1").expect("a valid zone name"),
        slots: 8,
        state: TargetState::Ready,
        started_at,
        revision: StoreRevision::new(EraNumber::ZERO, 1),
        cold_left: TimeSpan::ZERO,
        write_number: None,
    })
}
