use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{CandidateEngine, DesiredEngineState, DesiredModel};
use crate::{
    ids::{RevisionNumber, TargetId},
    records::ModelRecord,
};

/// What all engines shall hold at a published revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    revision: RevisionNumber,
    engines: BTreeMap<TargetId, DesiredEngineState>,
}

impl PlacementPlan {
    /// Works the plan out. A model goes to as many engines as its record
    /// wants, the first by rendezvous weight among the engines of
    /// its pool that can load it and do not leave. An engine that comes or
    /// goes so moves few models.
    #[must_use]
    pub fn new<'record, I>(
        revision: RevisionNumber,
        records: I,
        engines: &[CandidateEngine],
    ) -> Self
    where
        I: IntoIterator<Item = &'record ModelRecord>,
    {
        let stays = engines.iter().filter(|engine| !engine.leaving);
        let empty = stays.map(|engine| (engine.target.clone(), DesiredEngineState::default()));
        let mut plan = Self {
            revision,
            engines: empty.collect(),
        };
        for record in records {
            plan.place(record, engines);
        }
        plan
    }

    fn place(&mut self, record: &ModelRecord, engines: &[CandidateEngine]) {
        let ranked = ranked_engines(record, engines);
        let replicas = usize::try_from(record.replicas).unwrap_or(usize::MAX);
        let wanted = if record.retired { 0 } else { replicas };
        for (rank, engine) in ranked.into_iter().enumerate() {
            let Some(holds) = self.engines.get_mut(&engine.target) else {
                continue;
            };
            if rank < wanted {
                let model = DesiredModel {
                    version: record.version.clone(),
                    adapters: record.adapters.clone(),
                };
                holds.models.insert(record.name.clone(), model);
            } else {
                holds.unwanted.push(record.name.clone());
            }
        }
    }

    /// The published revision that the plan follows from.
    #[must_use]
    pub const fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// What one engine shall hold; nothing is known of one that leaves.
    #[must_use]
    pub fn engine(&self, target: &TargetId) -> Option<&DesiredEngineState> {
        self.engines.get(target)
    }

    /// All engines that stay.
    pub fn targets(&self) -> impl Iterator<Item = &TargetId> {
        self.engines.keys()
    }
}

fn ranked_engines<'list>(
    record: &ModelRecord,
    engines: &'list [CandidateEngine],
) -> Vec<&'list CandidateEngine> {
    let seed = xxh3_64_with_seed(record.name.as_str().as_bytes(), 0);
    let able = |engine: &&CandidateEngine| {
        !engine.leaving && engine.pool == record.pool && engine.models.contains(&record.name)
    };
    let mut ranked: Vec<&CandidateEngine> = engines.iter().filter(able).collect();
    ranked.sort_by_cached_key(|engine| {
        let weight = xxh3_64_with_seed(engine.target.as_str().as_bytes(), seed);
        (weight, engine.target.clone())
    });
    ranked
}
