text_id! {
    /// Identifies a workspace, the customer on whose behalf a request runs.
    WorkspaceId, "workspace id"
}
