use std::collections::HashSet;

use verbenahub_core::ids::StoreRevision;
use verbenahub_platform::{StoreItem, StorePage};

use super::StoreError;

/// The items of a listing, collected page by page.
#[derive(Debug, Default)]
pub(super) struct StoreListing {
    items: Vec<StoreItem>,
    revision: Option<StoreRevision>,
    /// Last key of the pages so far.
    cursor: Option<String>,
    /// Keys after which pages were read.
    cursors: HashSet<String>,
}

impl StoreListing {
    /// Key after which the next page begins, or `None` for the first page.
    pub(super) fn cursor(&self) -> Option<&str> {
        self.cursor.as_deref()
    }

    /// Adds the next page. Returns whether another page follows.
    ///
    /// # Errors
    ///
    /// Fails if the store was restored since the first page, or if another page
    /// follows but would begin where an earlier one began: a store that misreads the
    /// key would repeat its pages without end.
    pub(super) fn push(&mut self, page: StorePage) -> Result<bool, StoreError> {
        let first = *self.revision.get_or_insert(page.revision);
        if page.revision.era != first.era {
            return Err(StoreError::Restored);
        }
        self.items.extend(page.items);
        if !page.has_more {
            return Ok(false);
        }
        let cursor = page.last_key.ok_or(StoreError::RepeatedPage)?;
        if !self.cursors.insert(cursor.clone()) {
            return Err(StoreError::RepeatedPage);
        }
        self.cursor = Some(cursor);
        Ok(true)
    }

    /// All items, and the revision of the first page. Later pages may be of later
    /// revisions: a watch from the first one repeats the changes made in between, but
    /// not those made by a restore.
    pub(super) fn into_items(self) -> (Vec<StoreItem>, StoreRevision) {
        (self.items, self.revision.unwrap_or_default())
    }
}
