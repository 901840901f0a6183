text_id! {
    /// Identifies one request across all its stages and nodes.
    RequestId, "request id"
}
