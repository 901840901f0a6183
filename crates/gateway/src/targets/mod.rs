//! Connections and calls to targets.

mod answer_room;
mod channel_pool;
mod send_error;
mod target_exchange;
mod wait_limit;

pub use self::{
    answer_room::{AnswerRoom, AnswerShare},
    channel_pool::ChannelPool,
    send_error::SendError,
    target_exchange::{ExchangeAsk, TargetExchange},
    wait_limit::within,
};
