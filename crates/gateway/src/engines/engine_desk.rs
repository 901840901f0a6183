use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
};

use serde::{Deserialize, Serialize};
use verbenahub_core::{
    engines::{EngineAsk, EngineBook, PromptNews},
    ids::{PoolName, TargetId},
};

use crate::process::Shared;

/// Names the engine for a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineReply {
    /// The engine; none if the node knows none.
    pub engine: Option<TargetId>,
}

/// Tells how far engines have come with requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineNote {
    /// Service of the engines.
    pub service: PoolName,
    /// The news, in its order.
    pub news: Vec<PromptNews>,
}

/// The books of the engines that this node chooses among.
#[derive(Debug, Default)]
pub struct EngineDesk {
    books: RefCell<HashMap<PoolName, EngineBook>>,
}

impl EngineDesk {
    /// Chooses an engine for a prompt.
    pub fn choose(&self, shared: &Shared, ask: &EngineAsk) -> Option<TargetId> {
        let memory = shared.config()?.engine_memory(&ask.service)?;
        let now = shared.now();
        let mut candidates = shared.ready_targets(&ask.service);
        let shards = shared.stages.shards(shared, &ask.service);
        if shards.len() > 1 {
            let owned: BTreeSet<TargetId> = shards
                .targets_of(&shared.profile.node)
                .into_iter()
                .collect();
            // A node that is asked by one which sees another fleet uses all.
            if !owned.is_empty() {
                candidates.retain(|record| owned.contains(&record.id));
            }
        }
        let mut books = self.books.borrow_mut();
        let book = books
            .entry(ask.service.clone())
            .or_insert_with(|| EngineBook::new(memory));
        book.set_memory(memory);
        book.choose(ask, &candidates, now)
    }

    /// Takes note of how far engines have come.
    pub fn note(&self, shared: &Shared, note: &EngineNote) {
        let now = shared.now();
        if let Some(book) = self.books.borrow_mut().get_mut(&note.service) {
            for news in &note.news {
                book.note(news, now);
            }
        }
    }
}
