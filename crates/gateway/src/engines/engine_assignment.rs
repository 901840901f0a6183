use std::sync::Arc;

use verbenahub_core::{
    clock::ClockTime,
    engines::{EnginePace, PromptProgress, PromptStep},
    ids::NodeId,
    targets::TargetRecord,
};

use crate::process::Shared;

/// A request for which an engine was chosen. Reports the request's progress to
/// the node that chose the engine, and its end when dropped.
#[derive(Debug)]
pub struct EngineAssignment {
    shared: Shared,
    chooser: NodeId,
    record: Arc<TargetRecord>,
    request: String,
    /// What the chooser has learned about the engine's speed.
    pace: Option<EnginePace>,
    /// When the request was sent to the engine.
    sent_at: Option<ClockTime>,
    final_step: PromptStep,
}

impl EngineAssignment {
    pub(super) fn new(
        shared: &Shared,
        chooser: NodeId,
        record: Arc<TargetRecord>,
        request: &str,
        pace: Option<EnginePace>,
    ) -> Self {
        Self {
            shared: Shared::clone(shared),
            chooser,
            record,
            request: request.to_owned(),
            pace,
            sent_at: None,
            final_step: PromptStep::Ended,
        }
    }

    /// The node that chose the engine.
    #[must_use]
    pub const fn chooser(&self) -> &NodeId {
        &self.chooser
    }

    /// Record of the engine.
    #[must_use]
    pub const fn record(&self) -> &Arc<TargetRecord> {
        &self.record
    }

    /// What the chooser has learned about the engine's speed.
    #[must_use]
    pub const fn pace(&self) -> Option<EnginePace> {
        self.pace
    }

    /// Notes that the request is sent to the engine now.
    pub fn record_send(&mut self) {
        self.sent_at = Some(self.shared.now());
    }

    /// Reports that the engine has read the prompt.
    pub fn report_read(&self) {
        self.report(PromptStep::Read);
    }

    /// Ends the assignment with a more specific step than [`PromptStep::Ended`].
    pub fn finish(mut self, step: PromptStep) {
        self.final_step = step;
    }

    fn report(&self, step: PromptStep) {
        let sent_at = self.sent_at.filter(|_| step == PromptStep::Read);
        let loads = self.shared.loads.borrow();
        let work_percent = loads.work_percent(&self.record.id);
        drop(loads);
        let news = PromptProgress {
            request: self.request.clone(),
            engine: self.record.id.clone(),
            started_at: self.record.started_at,
            step,
            first_event_after: sent_at.map(|sent_at| self.shared.now().since(sent_at)),
            work_percent: work_percent.filter(|_| step == PromptStep::Read),
        };
        let engines = &self.shared.engines;
        engines.report(&self.shared, &self.chooser, &self.record.service, news);
    }
}

impl Drop for EngineAssignment {
    fn drop(&mut self) {
        self.report(self.final_step);
    }
}
