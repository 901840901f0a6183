choice! {
    /// How a node decides which requests to accept.
    AdmissionPolicy, "`deadline` and `none`",
    /// Rejects requests that cannot finish within their deadlines; requests with
    /// the least slack run first.
    #[default]
    Deadline = "deadline",
    /// Accepts all requests up to the queue limit; first come, first served.
    None = "none",
}
