use serde::{Deserialize, Serialize};
use verbenahub_core::policy::quarantine::{CrashReport, PartAnswer, PartKey, QuarantineNotice};

/// Reports crashes to the node that decides. The answer is a [`CrashReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CrashBatch {
    /// The reports, oldest first. May be empty to ask for the reply alone.
    pub reports: Vec<CrashReport>,
}

/// What the deciding node knows after it has considered the reports.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CrashReply {
    /// Parts that are suspected but not quarantined.
    pub suspects: Vec<PartKey>,
    /// Parts that are quarantined.
    pub quarantine: Vec<QuarantineNotice>,
}

/// Asks when a node has last seen parts answered. The answer is an
/// [`AnswerReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerQuery {
    /// The parts.
    pub parts: Vec<PartKey>,
}

/// When a node has last seen parts answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerReply {
    /// The answers, for those of the parts that the node remembers.
    pub answers: Vec<PartAnswer>,
}

/// Tells a node which parts are quarantined.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct QuarantineUpdate {
    /// The parts.
    pub quarantine: Vec<QuarantineNotice>,
}
