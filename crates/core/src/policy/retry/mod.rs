//! Retries and hedges, each bounded to a share of the traffic.

mod attempt_budget;
mod call_failure;
mod failed_attempt;
mod hedge_rule;
mod retry_decision;
mod retry_rule;

pub use self::{
    attempt_budget::AttemptBudget,
    call_failure::CallFailure,
    failed_attempt::FailedAttempt,
    hedge_rule::HedgeRule,
    retry_decision::{GiveUpReason, RetryDecision},
    retry_rule::RetryRule,
};

/// Bounds retries to a share of the first attempts.
pub type RetryBudget = AttemptBudget;
/// Bounds hedges to a share of the first attempts.
pub type HedgeBudget = AttemptBudget;
