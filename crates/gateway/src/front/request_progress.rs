/// How far a request has come, which decides what its caller is told if the process
/// has to exit before the answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestProgress {
    /// No target has it.
    #[default]
    Waiting,
    /// A target may have run it.
    Sent,
    /// The answer to the caller has begun.
    Answering,
}
