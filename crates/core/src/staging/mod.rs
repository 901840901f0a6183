//! Work of stages: which stages of a request may start, and how the pieces of
//! many requests share calls to the stage's targets.

mod call_end;
mod graph_progress;
mod held_results;
mod late_pace;
mod path_estimate;
mod piece_end;
mod queue_backlog;
mod queue_ends;
mod queue_order;
mod queue_target;
mod queue_triage;
mod queued_set;
mod recent_times;
mod result_names;
mod running_call;
mod set_end;
mod shard_map;
mod stage_call;
mod stage_queue;
mod stage_refusal;
mod stage_set;

pub use self::{
    call_end::CallEnd,
    graph_progress::GraphProgress,
    path_estimate::PathEstimate,
    piece_end::PieceEnd,
    queue_backlog::QueueBacklog,
    result_names::ResultNames,
    set_end::{SetEnd, SetFailure},
    shard_map::ShardMap,
    stage_call::{CallNumber, CallPiece, StageCall},
    stage_queue::StageQueue,
    stage_refusal::StageRefusal,
    stage_set::{SetNumber, StageSet},
};
