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

/// The end of a request: what became of it, and the result of its last stage.
#[derive(Debug)]
pub struct PipelineEnd {
    /// What became of the request.
    pub outcome: FinalOutcome,
    /// The whole answer, empty unless the outcome is `done`.
    pub output: StageOutput,
}

/// Runs all stages of one request under its one deadline.
#[derive(Debug)]
pub struct PipelineRun<'run> {
    node: &'run Arc<NodeState>,
    request: &'run CallerRequest,
    seat: &'run AdmissionGuard,
    gate: Option<&'run EffectPermitSource>,
}

impl<'run> PipelineRun<'run> {
    /// Prepares the run of a request. Without a gate its non-idempotent stages
    /// are refused.
    #[must_use]
    pub const fn new(
        node: &'run Arc<NodeState>,
        request: &'run CallerRequest,
        seat: &'run AdmissionGuard,
        gate: Option<&'run EffectPermitSource>,
    ) -> Self {
        Self {
            node,
            request,
            seat,
            gate,
        }
    }

    /// Runs the stages. The tokens of the last one go to `sink` as they come.
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
        let started = self.node.now();
        if started >= self.request.deadline {
            return Err(StageFailure {
                outcome_known: true,
                code: ErrorCode::DeadlineExceeded,
                retry_after: None,
            });
        }
        if !self.seat.start_stage().await {
            return Err(StageFailure {
                outcome_known: true,
                code: ErrorCode::Overloaded,
                retry_after: Some(self.node.now().since(started)),
            });
        }
        let slotted = self.node.now();
        let run = StageRun::new(self.node, self.request, stage, self.gate, input);
        let result = run.run(phase, sink).await;
        let now = self.node.now();
        self.finish_stage(stage, now.since(slotted));
        let took = now.since(started);
        let labels = [self.request.pipeline.name.as_str(), stage.name.as_str()];
        let metric = &self.node.metrics.stage_seconds;
        metric
            .with_label_values(&labels)
            .observe(took.as_secs_f64());
        result
    }
}

impl PipelineRun<'_> {
    /// Gives the slot back and learns from the time that the stage took.
    fn finish_stage(&self, stage: &StageSpec, took: TimeSpan) {
        self.seat.finish_stage(took);
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
