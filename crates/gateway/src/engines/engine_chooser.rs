use std::{
    borrow::Cow,
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use event_listener::Event;
use serde::{Deserialize, Serialize};
use verbenahub_core::{
    clock::TimeSpan,
    engines::{EnginePace, EngineQuery, PromptProgress, PromptScheduler},
    ids::{PoolName, TargetId},
    targets::TargetRecord,
};

use crate::{process::Shared, targets::within};

/// The engine chosen for a prompt.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineReply {
    /// The engine, or `None` if the node knows no suitable one.
    pub engine: Option<TargetId>,
    /// Another request whose prompt the engine should read first, if any.
    pub reader: Option<String>,
    /// What this node has learned about the engine's speed. Used for logging only.
    #[serde(default)]
    pub pace: Option<EnginePace>,
}

/// Asks for a reply as soon as an engine has read a request's prompt, or never
/// will.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadWait {
    /// Service of the engines.
    pub service: PoolName,
    /// Identifier of the request.
    pub request: String,
    /// Maximum time until the reply.
    pub wait: TimeSpan,
}

/// Reports the progress of requests at engines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineProgress {
    /// Service of the engines.
    pub service: PoolName,
    /// The news, oldest first.
    pub news: Vec<PromptProgress>,
}

/// Chooses engines for prompts on behalf of all nodes, for the engines that are
/// assigned to this node.
#[derive(Debug, Default)]
pub struct EngineChooser {
    books: RefCell<HashMap<PoolName, PromptScheduler>>,
    /// Notified whenever progress is recorded.
    progressed: Event,
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
            // While the asking node has a different view of the fleet, this node may
            // own no engines. It then chooses among all.
            if !owned.is_empty() {
                candidates.retain(|record| owned.contains(&record.id));
            }
        }
        let ask = Self::without_closed(shared, ask, &candidates);
        let mut books = self.books.borrow_mut();
        let book = books
            .entry(ask.service.clone())
            .or_insert_with(|| PromptScheduler::new(memory));
        book.set_cache_capacity(memory);
        let engine = book.choose(&ask, &candidates, now);
        let reader = book.awaited_request(&ask.request).map(str::to_owned);
        let pace = engine.as_ref().and_then(|engine| book.pace_of(engine, now));
        EngineReply {
            engine,
            reader,
            pace,
        }
    }

    /// Adds the engines to avoid whose limits are used up.
    fn without_closed<'a>(
        shared: &Shared,
        ask: &'a EngineQuery,
        candidates: &[Arc<TargetRecord>],
    ) -> Cow<'a, EngineQuery> {
        let is_closed = |record: &&Arc<TargetRecord>| {
            let wait = shared.permits.owned_wait(shared, record);
            wait.is_some_and(|(wait, _)| !wait.is_zero())
        };
        let closed = candidates.iter().filter(is_closed);
        let closed: Vec<TargetId> = closed.map(|record| record.id.clone()).collect();
        if closed.is_empty() {
            return Cow::Borrowed(ask);
        }
        let mut ask = ask.clone();
        ask.avoid.extend(closed);
        Cow::Owned(ask)
    }

    /// Waits until an engine has read a request's prompt, or never will, or the
    /// wait times out.
    pub async fn wait_until_read(&self, ask: &ReadWait) {
        let read = async {
            loop {
                let progressed = self.progressed.listen();
                if !self.is_reading(ask) {
                    break;
                }
                progressed.await;
            }
        };
        within(ask.wait, read).await;
    }

    fn is_reading(&self, ask: &ReadWait) -> bool {
        let books = self.books.borrow();
        let book = books.get(&ask.service);
        book.is_some_and(|book| book.is_prefill_pending(&ask.request))
    }

    /// Records the progress of requests at engines.
    pub fn record_progress(&self, shared: &Shared, progress: &EngineProgress) {
        let now = shared.now();
        if let Some(book) = self.books.borrow_mut().get_mut(&progress.service) {
            for news in &progress.news {
                book.record_progress(news, now);
            }
            self.progressed.notify(usize::MAX);
        }
    }
}
