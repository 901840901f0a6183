number_id! {
    /// Counts the attempts made at one stage of one request.
    AttemptNumber, "attempt number"
}
