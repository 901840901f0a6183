//! Retries and hedged calls, each limited to a share of the first attempts.

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

/// Limits retries to a share of the first attempts.
pub type RetryBudget = AttemptBudget;
/// Limits hedges to a share of the first attempts.
pub type HedgeBudget = AttemptBudget;
