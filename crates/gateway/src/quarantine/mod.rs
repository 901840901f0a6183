//! Quarantine of prompts that crash engines. Each node reports the crashes that its
//! requests met to one node, which decides for all nodes and tells them.

mod crash_owner;
mod crash_reporter;
mod prompt_quarantine;
mod quarantine_message;

pub use self::{
    crash_owner::CrashOwner,
    crash_reporter::CrashReporter,
    prompt_quarantine::PromptQuarantine,
    quarantine_message::{AnswerQuery, AnswerReply, CrashBatch, CrashReply, QuarantineUpdate},
};
