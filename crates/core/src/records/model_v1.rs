use super::{
    ModelRecord,
    limits::{MAX_ADAPTERS, MAX_REPLICAS},
    pipeline_check::{check_path_segment, check_range, value_or},
};
use crate::{
    findings::{FindingLog, Placed, TableReader},
    ids::{GenerationNumber, ModelName, PoolName},
};

/// Schema 1 of a model.
pub(super) struct ModelV1 {
    name: Option<Placed<ModelName>>,
    generation: Option<Placed<GenerationNumber>>,
    version: Option<Placed<String>>,
    adapters: Option<Placed<Vec<String>>>,
    replicas: Option<Placed<u32>>,
    pool: Option<Placed<PoolName>>,
    retired: Option<Placed<bool>>,
}

impl ModelV1 {
    /// Reads the fields; errors are reported to the log of `reader`.
    pub(super) fn read(mut reader: TableReader<'_>) -> Self {
        let model = Self {
            name: reader.required("name"),
            generation: reader.required("generation"),
            version: reader.required("version"),
            adapters: reader.optional("adapters"),
            replicas: reader.required("replicas"),
            pool: reader.required("pool"),
            retired: reader.optional("retired"),
        };
        reader.finish();
        model
    }

    /// Validates the values and converts them to a record. Returns `None` if a
    /// required field is missing; errors are reported to `log`.
    pub(super) fn check(self, log: &FindingLog<'_>) -> Option<ModelRecord> {
        check_range(self.replicas.as_ref(), &(1..=MAX_REPLICAS), log);
        if let Some(version) = &self.version {
            check_path_segment(&version.value, &version.place, log);
        }
        self.check_adapters(log);
        Some(ModelRecord {
            name: self.name?.value,
            generation: self.generation?.value,
            version: self.version?.value,
            adapters: value_or(self.adapters, Vec::new()),
            replicas: self.replicas?.value,
            pool: self.pool?.value,
            retired: value_or(self.retired, false),
        })
    }

    fn check_adapters(&self, log: &FindingLog<'_>) {
        let Some(adapters) = &self.adapters else {
            return;
        };
        if adapters.value.len() > MAX_ADAPTERS {
            let message = format!("a model has at most {MAX_ADAPTERS} adapters");
            log.report(&adapters.place, message);
        }
        for (index, adapter) in adapters.value.iter().enumerate() {
            let place = adapters.place.element(index, adapters.place.offset);
            check_path_segment(adapter, &place, log);
        }
    }
}
