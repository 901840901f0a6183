//! Header names, paths and message bodies of the interfaces to callers, targets
//! and the platform. docs/PROTOCOLS.md describes these interfaces.

pub mod headers;
pub mod paths;

mod answer_event;
mod answer_outcome;
mod body_framing;
mod cache_event;
mod cancel_call;
mod error_body;
mod feed_entry;
mod feed_page;
mod load_report;
mod node_status;
mod order_call;
mod target_chunk;
mod vm_entry;

pub use self::{
    answer_event::AnswerEvent,
    answer_outcome::AnswerOutcome,
    body_framing::{BodyFraming, FramingError},
    cache_event::{CacheChange, CacheEvent, CachePage},
    cancel_call::CancelCall,
    error_body::{ErrorBody, ErrorCode},
    feed_entry::FeedEntry,
    feed_page::FeedPage,
    load_report::LoadReport,
    node_status::{FeedStatus, MemberStatus, NodeStatus, TargetStatus},
    order_call::{EngineOrder, EngineState, OrderCall},
    target_chunk::TargetChunk,
    vm_entry::{VmEntry, VmRole, VmState},
};
