//! Connections and calls to targets.

mod answer_room;
mod answer_share;
mod channel_pool;
mod send_error;
mod target_exchange;
mod wait_limit;

pub use self::{
    answer_room::AnswerRoom,
    answer_share::AnswerShare,
    channel_pool::ChannelPool,
    send_error::SendError,
    target_exchange::{ExchangeAsk, TargetExchange},
    wait_limit::within,
};
