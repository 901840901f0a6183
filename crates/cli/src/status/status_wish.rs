use verbenahub_core::ids::RevisionNumber;

/// What the nodes shall have reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusWish {
    /// Revision of the configuration that shall be in force on all nodes.
    pub revision: Option<RevisionNumber>,
    /// Whether all nodes shall take requests.
    pub ready: bool,
}
