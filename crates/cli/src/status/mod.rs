//! State of the nodes as an operator sees it.

mod node_reply;
mod status_view;
mod status_watch;
mod status_wish;

pub use self::{
    node_reply::{NodeReply, ReplyState},
    status_view::StatusView,
    status_watch::wait_for,
    status_wish::StatusWish,
};
