//! Slots, queues, cancelling and load reports of targets.

mod cancel_table;
mod load_history;
mod run_log;
mod run_timer;
mod slot_guard;
mod slot_queue;
mod target_desk;

pub use self::{
    cancel_table::{CancelGuard, CancelTable},
    load_history::LoadHistory,
    run_log::{RunEntry, RunLog},
    run_timer::RunTimer,
    slot_guard::SlotGuard,
    slot_queue::{QueueFull, SlotQueue, SlotWait},
    target_desk::TargetDesk,
};
