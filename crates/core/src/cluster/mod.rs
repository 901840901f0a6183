//! Cluster membership, and dissemination of published data to every node.
//!
//! [`ClusterMachine`] is a state machine without I/O: a driver passes events to
//! it and performs the actions that it returns. Failure detection follows SWIM:
//! a direct probe, then indirect probes through other members, then a suspicion
//! that the member can refute. Member records are piggybacked on every message.
//! Feed changes spread by announcements to random peers, and by comparing
//! revision and digest in every message.

pub mod rendezvous;
pub mod timings;

mod cluster_action;
mod cluster_event;
mod cluster_machine;
mod cluster_settings;
mod cluster_view;
mod feed_state;
mod feed_tracker;
mod gossip_call;
mod gossip_reply;
mod handover_record;
mod handover_table;
mod join_state;
mod machine_feeds;
mod machine_gossip;
mod machine_probe;
mod machine_readiness;
mod machine_updates;
mod machine_view;
mod member_rank;
mod member_record;
mod member_state;
mod member_table;
mod pending_call;
mod pending_reply;
mod probe_window;
mod read_schedule;
mod readiness;
mod update_queue;

pub use self::{
    cluster_action::{ClusterAction, ClusterNote},
    cluster_event::{CallId, ClusterEvent, ReplyToken},
    cluster_machine::ClusterMachine,
    cluster_settings::ClusterSettings,
    cluster_view::{ClusterView, FeedSummary, MemberList, ViewMember},
    feed_state::FeedState,
    gossip_call::{GossipAsk, GossipCall},
    gossip_reply::{GossipAnswer, GossipReply},
    handover_record::HandoverRecord,
    member_rank::{MemberCondition, MemberRank},
    member_record::MemberRecord,
    readiness::Readiness,
    timings::TICK_SPAN,
};
