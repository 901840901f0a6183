use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{CandidateEngine, DesiredEngineState, DesiredModel};
use crate::{
    ids::{RevisionNumber, TargetId},
    records::ModelRecord,
};

/// Models and adapters that all engines should hold at a published revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    revision: RevisionNumber,
    engines: BTreeMap<TargetId, DesiredEngineState>,
}

impl PlacementPlan {
    /// Computes the plan. Each model is placed on the number of replicas in its
    /// record: the first engines by rendezvous weight among those of its pool that
    /// can load it and are not leaving. Thereby few models move when an engine
    /// joins or leaves.
    #[must_use]
    pub fn new<'record, I>(
        revision: RevisionNumber,
        records: I,
        engines: &[CandidateEngine],
    ) -> Self
    where
        I: IntoIterator<Item = &'record ModelRecord>,
    {
        let staying = engines.iter().filter(|engine| !engine.leaving);
        let desired = staying.map(|engine| (engine.target.clone(), DesiredEngineState::default()));
        let mut plan = Self {
            revision,
            engines: desired.collect(),
        };
        for record in records {
            plan.place(record, engines);
        }
        plan
    }

    fn place(&mut self, record: &ModelRecord, engines: &[CandidateEngine]) {
        let ranked = ranked_engines(record, engines);
        let replicas = usize::try_from(record.replicas).unwrap_or(usize::MAX);
        let replicas_to_place = if record.retired { 0 } else { replicas };
        for (rank, engine) in ranked.into_iter().enumerate() {
            let Some(desired) = self.engines.get_mut(&engine.target) else {
                continue;
            };
            if rank < replicas_to_place {
                let model = DesiredModel {
                    version: record.version.clone(),
                    adapters: record.adapters.clone(),
                };
                desired.models.insert(record.name.clone(), model);
            } else {
                desired.unwanted.push(record.name.clone());
            }
        }
    }

    /// The published revision that the plan was computed from.
    #[must_use]
    pub const fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// What one engine should hold; `None` for an engine that is leaving or
    /// unknown.
    #[must_use]
    pub fn desired_state(&self, target: &TargetId) -> Option<&DesiredEngineState> {
        self.engines.get(target)
    }

    /// All engines that are not leaving.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.engines.keys()
    }
}

fn ranked_engines<'list>(
    record: &ModelRecord,
    engines: &'list [CandidateEngine],
) -> Vec<&'list CandidateEngine> {
    let seed = xxh3_64_with_seed(record.name.as_str().as_bytes(), 0);
    let is_candidate = |engine: &&CandidateEngine| {
        !engine.leaving && engine.pool == record.pool && engine.models.contains(&record.name)
    };
    let mut ranked: Vec<&CandidateEngine> = engines.iter().filter(is_candidate).collect();
    ranked.sort_by_cached_key(|engine| {
        let weight = xxh3_64_with_seed(engine.target.as_str().as_bytes(), seed);
        (weight, engine.target.clone())
    });
    ranked
}
