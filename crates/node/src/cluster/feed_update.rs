use verbenahub_core::{
    feed::{FeedItem, FeedKind, FeedVersion},
    protocol::FeedEntry,
};

/// Changed items of a feed, for the other parts of the node.
#[derive(Clone, Debug)]
pub struct FeedUpdate {
    /// The feed.
    pub feed: FeedKind,
    /// What the node holds after the change.
    pub version: FeedVersion,
    /// The items; one without value was deleted.
    pub items: Vec<FeedItem>,
}

impl FeedUpdate {
    /// The items in the form of the platform's interface.
    #[must_use]
    pub fn entries(&self) -> Vec<FeedEntry> {
        let entry = |item: &FeedItem| FeedEntry {
            key: item.key.as_ref().to_owned(),
            revision: item.revision,
            value: item.value.as_ref().map(|value| value.to_vec()),
        };
        self.items.iter().map(entry).collect()
    }
}
