use std::sync::Arc;

use bytes::Bytes;
use verbenahub_core::{
    clock::TimeSpan,
    protocol::ErrorCode,
    records::StageSpec,
    request::{FinalOutcome, RequestPhase, StageFailure, StageOutput},
};

use super::{AdmissionGuard, AnswerSink, CallerRequest, EffectPermitSource, stage_run::StageRun};
use crate::process::NodeState;

/// Outcome of a request and result of its last stage.
#[derive(Debug)]
pub struct PipelineEnd {
    /// Final outcome of the request.
    pub outcome: FinalOutcome,
    /// Complete answer. Empty unless the outcome is `done`.
    pub output: StageOutput,
}

/// Runs all stages of one request under a common deadline.
#[derive(Debug)]
pub struct PipelineRun<'run> {
    node: &'run Arc<NodeState>,
    request: &'run CallerRequest,
    admission_guard: &'run AdmissionGuard,
    permit_source: Option<&'run EffectPermitSource>,
}

impl<'run> PipelineRun<'run> {
    /// Prepares the run of a request. Non-idempotent stages fail unless there is
    /// a source of permits.
    #[must_use]
    pub const fn new(
        node: &'run Arc<NodeState>,
        request: &'run CallerRequest,
        admission_guard: &'run AdmissionGuard,
        permit_source: Option<&'run EffectPermitSource>,
    ) -> Self {
        Self {
            node,
            request,
            admission_guard,
            permit_source,
        }
    }

    /// Runs the stages in order. Tokens of the last stage are forwarded to `sink`
    /// as they arrive.
    pub async fn run(&self, sink: &mut AnswerSink) -> PipelineEnd {
        let mut phase = RequestPhase::new(self.request.id.clone());
        let mut output = StageOutput {
            body: self.request.body.clone(),
            tokens: 0,
        };
        let stages = &self.request.pipeline.stages;
        for (index, stage) in stages.iter().enumerate() {
            let last = index + 1 == stages.len();
            let sink = last.then_some(&mut *sink);
            match self.run_stage(stage, output.body, &mut phase, sink).await {
                Ok(result) => output = result,
                Err(failure) => return failed(phase, stage, &failure),
            }
        }
        PipelineEnd {
            outcome: phase.done(),
            output,
        }
    }

    async fn run_stage(
        &self,
        stage: &StageSpec,
        input: Bytes,
        phase: &mut RequestPhase,
        sink: Option<&mut AnswerSink>,
    ) -> Result<StageOutput, StageFailure> {
        let started_at = self.node.now();
        if started_at >= self.request.deadline {
            return Err(StageFailure {
                outcome_known: true,
                code: ErrorCode::DeadlineExceeded,
                retry_after: None,
            });
        }
        if !self.admission_guard.start_stage().await {
            return Err(StageFailure {
                outcome_known: true,
                code: ErrorCode::Overloaded,
                retry_after: Some(self.node.now().since(started_at)),
            });
        }
        let slot_acquired_at = self.node.now();
        let run = StageRun::new(self.node, self.request, stage, self.permit_source, input);
        let result = run.run(phase, sink).await;
        let now = self.node.now();
        self.finish_stage(stage, now.since(slot_acquired_at));
        let took = now.since(started_at);
        let labels = [self.request.pipeline.name.as_str(), stage.name.as_str()];
        let metric = &self.node.metrics.stage_seconds;
        metric
            .with_label_values(&labels)
            .observe(took.as_secs_f64());
        result
    }
}

impl PipelineRun<'_> {
    /// Releases the slot and records how long the stage took, for later
    /// estimates.
    fn finish_stage(&self, stage: &StageSpec, took: TimeSpan) {
        self.admission_guard.finish_stage(took);
        let admission = &self.node.admission;
        let times = admission
            .book()
            .times(&self.request.pipeline.name, &stage.name);
        let view = admission.view(&stage.pool);
        let work = view.service.map_or(took, |service| service.min(took));
        times.record(took, work, view.use_share);
    }
}

fn failed(phase: RequestPhase, stage: &StageSpec, failure: &StageFailure) -> PipelineEnd {
    let message = format!("Stage {} has no result.", stage.name);
    PipelineEnd {
        outcome: phase.stage_failed(failure, &message),
        output: StageOutput {
            body: Bytes::new(),
            tokens: 0,
        },
    }
}
