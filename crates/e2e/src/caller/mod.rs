//! Callers of the system, who check what they get.

mod audit_report;
mod caller_group;
mod caller_verdict;
mod node_balancer;
mod pipeline_caller;
mod sample_pipeline;
mod sent_request;

pub use self::{
    audit_report::AuditReport,
    caller_group::CallerGroup,
    caller_verdict::CallerVerdict,
    node_balancer::NodeBalancer,
    pipeline_caller::{PipelineCaller, TicketPath},
    sample_pipeline::SamplePipeline,
    sent_request::SentRequest,
};
