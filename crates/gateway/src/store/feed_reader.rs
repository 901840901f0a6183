use std::{convert::Infallible, time::Duration};

use smol::Timer;
use verbenahub_core::{
    clock::TimeSpan,
    ids::StoreRevision,
    targets::{RegistryChange, TargetRecord},
};
use verbenahub_platform::{
    StoreEvent, StoreItem, decode_config, decode_target, paths, removed_target,
};

use super::{StoreClient, StoreError};
use crate::process::Shared;

/// How long a watch waits for a change. Bounds the time for which a silent
/// connection goes unnoticed, within the bound on applying configurations.
const WATCH_WAIT: TimeSpan = TimeSpan::from_millis(800);
/// Time for which further changes are let come before the next call. Short
/// against the bounds on applying them.
const GROUP_TIME: Duration = Duration::from_millis(200);
/// First pause after a failed call. Doubles with each further one.
const FIRST_PAUSE: TimeSpan = TimeSpan::from_millis(100);
/// Longest pause after a failed call. Refused calls count like others.
const LONGEST_PAUSE: TimeSpan = TimeSpan::from_millis(800);

/// Keeps what the store holds up to date in the shared state: the operator's
/// configuration and the registered targets, which one call reads together.
#[derive(Debug)]
pub struct FeedReader {
    shared: Shared,
    client: StoreClient,
}

impl FeedReader {
    /// Creates the reader.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        let client = StoreClient::new(shared.profile.store_address);
        Self { shared, client }
    }

    /// Lists once, as a node that starts does: others may not know more yet.
    /// Gives up when the node has learned from others.
    pub async fn run_once(mut self) {
        let mut pause = FIRST_PAUSE;
        while !self.shared.is_ready() {
            match self.list().await {
                Ok(_) => return,
                Err(error) => {
                    self.count("failed");
                    slog::info!(self.shared.log, "store: First listing failed.";
                        "error" => %error);
                    self.pause(&mut pause).await;
                }
            }
        }
    }

    /// Reads until the future is dropped.
    pub async fn run(mut self) {
        let mut pause = FIRST_PAUSE;
        loop {
            let error = match self.follow(&mut pause).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            self.count("failed");
            if matches!(error, StoreError::HistoryGone | StoreError::Restored) {
                slog::info!(self.shared.log, "store: Listing again."; "reason" => %error);
            } else {
                self.note_failure(&error);
                self.pause(&mut pause).await;
            }
        }
    }

    /// Waits before the next call after a failed one.
    async fn pause(&self, pause: &mut TimeSpan) {
        let jitter = 0.5 + self.shared.random_share() * 0.5;
        Timer::after(Duration::from(*pause).mul_f64(jitter)).await;
        *pause = (*pause * 2).min(LONGEST_PAUSE);
    }

    /// Lists, then watches until something fails.
    async fn follow(&mut self, pause: &mut TimeSpan) -> Result<Infallible, StoreError> {
        let mut revision = self.list().await?;
        loop {
            *pause = FIRST_PAUSE;
            let watch = self.client.watch(paths::ALL_KEYS, revision, WATCH_WAIT);
            let update = watch.await?;
            self.note_answer();
            if !update.events.is_empty() {
                self.take_events(&update.events, update.revision);
                // Changes often come in groups, and each call is counted.
                Timer::after(GROUP_TIME).await;
            }
            revision = revision.max(update.revision);
            self.expire();
        }
    }

    async fn list(&mut self) -> Result<StoreRevision, StoreError> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut revision = None;
        loop {
            let last = items.last().map(|item| item.key.clone());
            let page = self.client.page(paths::ALL_KEYS, last.as_deref()).await?;
            self.note_answer();
            // Pages are not of one revision: what changed after the first one
            // comes again with the watch. What changed by a restore does not.
            let first = *revision.get_or_insert(page.revision);
            if page.revision.era != first.era {
                return Err(StoreError::Restored);
            }
            items.extend(page.items);
            if !page.has_more {
                break;
            }
        }
        let revision = revision.unwrap_or_default();
        self.note_era(revision)?;
        for item in &items {
            self.take_config(item);
        }
        let listed = items.iter().filter(|item| paths::is_target_key(&item.key));
        let records = listed.filter_map(|item| self.decode(item)).collect();
        let is_settled = self.is_settled();
        let mut registry = self.shared.registry.borrow_mut();
        let is_changed = registry.replace(records, revision, is_settled);
        drop(registry);
        self.note_targets(is_changed, "listing");
        Ok(revision)
    }

    /// Compares the era of a listing with what is held, perhaps from others.
    fn note_era(&self, listed: StoreRevision) -> Result<(), StoreError> {
        let held = self.shared.registry.borrow().revision();
        if listed.era < held.era {
            return Err(StoreError::EraOver);
        }
        self.shared.note_era(listed, "store");
        Ok(())
    }

    fn take_events(&self, events: &[StoreEvent], revision: StoreRevision) {
        let written = events.iter().filter_map(|event| match event {
            StoreEvent::Written(item) => Some(item),
            StoreEvent::Removed { .. } => None,
        });
        for item in written {
            self.take_config(item);
        }
        let changes = events.iter().filter_map(|event| match event {
            StoreEvent::Written(item) if paths::is_target_key(&item.key) => {
                self.decode(item).map(RegistryChange::Put)
            }
            StoreEvent::Written(_) => None,
            StoreEvent::Removed { .. } => removed_target(event),
        });
        let changes: Vec<RegistryChange> = changes.collect();
        let is_settled = self.is_settled();
        let mut registry = self.shared.registry.borrow_mut();
        let is_changed = registry.apply(changes, revision, is_settled);
        drop(registry);
        self.note_targets(is_changed, "watch");
    }

    fn take_config(&self, item: &StoreItem) {
        if item.key != paths::CONFIG_KEY {
            return;
        }
        match decode_config(item) {
            Ok(config) => {
                self.shared.adopt(config, "store");
            }
            Err(error) => slog::error!(self.shared.log,
                "config: Not usable, the last version stays in force.";
                "revision" => %item.revision, "error" => %error),
        }
    }

    fn decode(&self, item: &StoreItem) -> Option<TargetRecord> {
        match decode_target(item) {
            Ok(record) => Some(record),
            Err(error) => {
                slog::warn!(self.shared.log, "targets: Record not usable.";
                    "key" => &item.key, "error" => %error);
                None
            }
        }
    }

    fn is_settled(&self) -> bool {
        let now = self.shared.now();
        self.shared.contact.borrow().is_settled(now)
    }

    fn note_targets(&self, is_changed: bool, source: &'static str) {
        if !is_changed {
            return;
        }
        {
            let registry = self.shared.registry.borrow();
            slog::info!(self.shared.log, "targets: Changed.";
                "source" => source, "revision" => %registry.revision(),
                "targets" => registry.len(), "settled" => self.is_settled());
        }
        self.shared.note_changes();
    }

    /// Drops targets that have not come back after an outage.
    fn expire(&self) {
        if !self.is_settled() {
            return;
        }
        let gone = self.shared.registry.borrow_mut().expire();
        for target in &gone {
            slog::info!(self.shared.log, "targets: Did not come back."; "target" => %target);
        }
        self.note_targets(!gone.is_empty(), "expiry");
    }

    fn note_answer(&self) {
        self.count("answered");
        let now = self.shared.now();
        let outage = self.shared.contact.borrow_mut().record_answer(now);
        if let Some(outage) = outage {
            slog::info!(self.shared.log, "store: Answers again."; "after" => %outage);
        }
    }

    fn note_failure(&self, error: &StoreError) {
        let now = self.shared.now();
        let is_new = self.shared.contact.borrow_mut().record_failure(now);
        if is_new {
            self.shared.changed.notify(usize::MAX);
            slog::warn!(self.shared.log, "store: Contact lost.";
                "error" => %error);
        }
    }

    fn count(&self, end: &str) {
        let calls = &self.shared.metrics.store_calls;
        calls.with_label_values(&[end]).inc();
    }
}
