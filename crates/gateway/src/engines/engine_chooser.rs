use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
};

use event_listener::Event;
use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::TimeSpan,
    engines::{EngineQuery, PromptProgress, PromptScheduler},
    ids::{PoolName, TargetId},
};

use crate::{process::Shared, targets::within};

/// Names the engine for a prompt.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineReply {
    /// The engine; none if the node knows none.
    pub engine: Option<TargetId>,
    /// The request that should be read first, if there is one.
    pub reader: Option<String>,
}

/// Asks to be told when an engine has read a request, or never will.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadWait {
    /// Service of the engines.
    pub service: PoolName,
    /// The request.
    pub request: String,
    /// How long the answer may take.
    pub wait: TimeSpan,
}

/// Tells how far engines have come with requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineProgress {
    /// Service of the engines.
    pub service: PoolName,
    /// The news, in its order.
    pub news: Vec<PromptProgress>,
}

/// The books of the engines that this node chooses among.
#[derive(Debug, Default)]
pub struct EngineChooser {
    books: RefCell<HashMap<PoolName, PromptScheduler>>,
    /// Fires with each news.
    noted: Event,
}

impl EngineChooser {
    /// Chooses an engine for a prompt.
    pub fn choose(&self, shared: &Shared, ask: &EngineQuery) -> EngineReply {
        let Some(memory) = shared
            .config()
            .and_then(|config| config.engine_memory(&ask.service))
        else {
            return EngineReply::default();
        };
        let now = shared.now();
        let mut candidates = shared.ready_targets(&ask.service);
        let shards = shared.stage_client.shards(shared, &ask.service);
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
            .or_insert_with(|| PromptScheduler::new(memory));
        book.set_cache_capacity(memory);
        let engine = book.choose(ask, &candidates, now);
        let reader = book.awaited_request(&ask.request).map(str::to_owned);
        EngineReply { engine, reader }
    }

    /// Waits until an engine has read a request, or never will, or the time is
    /// over.
    pub async fn wait_until_read(&self, ask: &ReadWait) {
        let read = async {
            loop {
                let noted = self.noted.listen();
                if !self.is_reading(ask) {
                    break;
                }
                noted.await;
            }
        };
        within(ask.wait, read).await;
    }

    fn is_reading(&self, ask: &ReadWait) -> bool {
        let books = self.books.borrow();
        let book = books.get(&ask.service);
        book.is_some_and(|book| book.is_prefill_pending(&ask.request))
    }

    /// Takes note of how far engines have come.
    pub fn record_progress(&self, shared: &Shared, note: &EngineProgress) {
        let now = shared.now();
        if let Some(book) = self.books.borrow_mut().get_mut(&note.service) {
            for news in &note.news {
                book.record_progress(news, now);
            }
            self.noted.notify(usize::MAX);
        }
    }
}
