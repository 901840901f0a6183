//! Staged work: which stages of a request may start, and how the pieces of many
//! requests are batched into calls to the targets of a stage.
//!
//! A request needs one set of pieces from each of its stages. The node that
//! batches the sets of all nodes for some targets is their collector.

mod call_end;
mod goal_shares;
mod graph_progress;
mod held_results;
mod late_throughput;
mod path_estimate;
mod piece_end;
mod queue_backlog;
mod queue_ends;
mod queue_order;
mod queue_shedding;
mod queue_target;
mod queued_set;
mod recent_goals;
mod recent_times;
mod running_call;
mod set_end;
mod shard_map;
mod stage_call;
mod stage_queue;
mod stage_refusal;
mod stage_set;
mod target_pace;

pub use self::{
    call_end::CallEnd,
    graph_progress::GraphProgress,
    path_estimate::PathEstimate,
    piece_end::PieceEnd,
    queue_backlog::QueueBacklog,
    recent_goals::{GoalKey, RecentGoals},
    set_end::{SetEnd, SetFailure},
    shard_map::ShardMap,
    stage_call::{CallNumber, CallPiece, StageCall},
    stage_queue::StageQueue,
    stage_refusal::StageRefusal,
    stage_set::{SetNumber, StageSet},
    target_pace::TargetPace,
};
