use std::{convert::Infallible, time::Duration};

use smol::Timer;
use verbenahub_core::{
    clock::{ClockTime, TimeSpan},
    ids::StoreRevision,
    targets::{CallFailure, RegistryChange, TargetRecord},
};
use verbenahub_platform::{
    StoreEvent, StoreItem, decode_config, decode_target, evacuation_change, listed_evacuation,
    overwritten_target, paths, removed_target,
};

use super::{StoreClient, StoreError, store_listing::StoreListing};
use crate::process::Shared;

/// How long a watch waits for a change. It limits how long an unresponsive
/// connection goes undetected, and is below the limit on applying a new
/// configuration.
const WATCH_WAIT: TimeSpan = TimeSpan::from_millis(800);
/// Shortest wait of a watch, so that it doesn't turn into polling.
const MIN_WATCH_WAIT: TimeSpan = TimeSpan::from_millis(10);
/// Delay after changes before the next watch, so that one call returns further
/// changes together. It is short compared with the limits on applying changes.
const BATCH_DELAY: Duration = Duration::from_millis(200);
/// Backoff after the first failed call. It doubles with each further failure.
const INITIAL_BACKOFF: TimeSpan = TimeSpan::from_millis(100);
/// Maximum backoff after failed calls. Refused calls count like others.
const MAX_BACKOFF: TimeSpan = TimeSpan::from_millis(800);

/// Keeps the operator's configuration and the registered targets in the shared
/// state up to date with the store. One call reads both together.
#[derive(Debug)]
pub struct StoreReader {
    shared: Shared,
    client: StoreClient,
}

impl StoreReader {
    /// Creates the reader.
    #[must_use]
    pub fn new(shared: Shared) -> Self {
        let client = StoreClient::new(shared.profile.store_address);
        Self { shared, client }
    }

    /// Lists the store once, at the start of a node, because the other nodes may
    /// not have any data yet either. Retries failures, and stops when the node
    /// has become ready with data from other nodes.
    pub async fn run_once(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        while !self.shared.is_ready() {
            match self.list().await {
                Ok(_) => return,
                Err(error) => {
                    self.count_call("failed");
                    slog::info!(self.shared.log, "store: First listing failed.";
                        "error" => %error);
                    self.wait_backoff(&mut backoff).await;
                }
            }
        }
    }

    /// Lists and watches the store until the future is dropped.
    pub async fn run(mut self) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            let error = match self.list_and_watch(&mut backoff).await {
                Ok(never) => match never {},
                Err(error) => error,
            };
            match error {
                StoreError::HistoryCompacted | StoreError::Restored => {
                    self.count_call("failed");
                    slog::info!(self.shared.log, "store: Listing again."; "reason" => %error);
                }
                _ => {
                    self.record_failure(&error);
                    self.wait_backoff(&mut backoff).await;
                }
            }
        }
    }

    /// Waits for the backoff with jitter, then doubles it.
    async fn wait_backoff(&self, backoff: &mut TimeSpan) {
        let jitter = 0.5 + self.shared.random_fraction() * 0.5;
        Timer::after(Duration::from(*backoff).mul_f64(jitter)).await;
        *backoff = (*backoff * 2).min(MAX_BACKOFF);
    }

    /// Lists the store, then watches it until a call fails.
    async fn list_and_watch(&mut self, backoff: &mut TimeSpan) -> Result<Infallible, StoreError> {
        let mut revision = self.list().await?;
        loop {
            *backoff = INITIAL_BACKOFF;
            let called_at = self.shared.now();
            let wait = self.watch_wait(called_at);
            let watch = self.client.watch(paths::ALL_KEYS, revision, wait);
            let update = watch.await?;
            self.record_answer(called_at);
            self.log_unreadable(&update.unreadable);
            if !update.events.is_empty() {
                self.apply_events(&update.events, update.revision);
                // Changes often come in bursts, and each call is counted.
                Timer::after(BATCH_DELAY).await;
            }
            revision = revision.max(update.revision);
            self.expire();
        }
    }

    async fn list(&mut self) -> Result<StoreRevision, StoreError> {
        let mut listing = StoreListing::default();
        loop {
            let called_at = self.shared.now();
            let read = self.client.read_page(paths::ALL_KEYS, listing.cursor());
            let page = read.await?;
            self.record_answer(called_at);
            self.log_unreadable(&page.unreadable);
            if !listing.push(page)? {
                break;
            }
        }
        let (items, revision) = listing.into_items();
        self.check_era(revision)?;
        for item in &items {
            self.apply_config(item);
        }
        let evacuations = items.iter().filter_map(listed_evacuation).collect();
        self.shared.replace_evacuations(evacuations, revision);
        let listed = items.iter().filter(|item| paths::is_target_key(&item.key));
        let records = listed.filter_map(|item| self.decode(item)).collect();
        let is_settled = self.is_settled();
        let mut registry = self.shared.registry.borrow_mut();
        let is_changed = registry.replace(records, revision, is_settled);
        drop(registry);
        self.shared.record_coldness("listing");
        self.publish_target_changes(is_changed, "listing");
        Ok(revision)
    }

    /// Rejects a listing of an earlier era than the registered targets, which may
    /// have come from other nodes. Detects a restore if the era is later.
    fn check_era(&self, listed: StoreRevision) -> Result<(), StoreError> {
        let current = self.shared.registry.borrow().revision();
        if listed.era < current.era {
            return Err(StoreError::StaleEra);
        }
        self.shared.detect_restore(listed, "store");
        Ok(())
    }

    fn apply_events(&self, events: &[StoreEvent], revision: StoreRevision) {
        let written = events.iter().filter_map(|event| match event {
            StoreEvent::Written(item) => Some(item),
            StoreEvent::Removed { .. } => None,
        });
        for item in written {
            self.apply_config(item);
        }
        let evacuations = events.iter().filter_map(evacuation_change).collect();
        self.shared.merge_evacuations(evacuations, "store");
        let changes = events.iter().filter_map(|event| match event {
            StoreEvent::Written(item) if paths::is_target_key(&item.key) => {
                let record = self.decode(item).map(RegistryChange::Put);
                record.or_else(|| overwritten_target(item))
            }
            StoreEvent::Written(_) => None,
            StoreEvent::Removed { .. } => removed_target(event),
        });
        let changes: Vec<RegistryChange> = changes.collect();
        let is_settled = self.is_settled();
        let mut registry = self.shared.registry.borrow_mut();
        let is_changed = registry.apply(changes, revision, is_settled);
        drop(registry);
        self.shared.record_coldness("watch");
        self.publish_target_changes(is_changed, "watch");
    }

    fn apply_config(&self, item: &StoreItem) {
        if item.key != paths::CONFIG_KEY {
            return;
        }
        match decode_config(item) {
            Ok((config, unusable)) => {
                for error in &unusable {
                    slog::error!(self.shared.log, "config: Tenant not usable, its keys are refused.";
                        "version" => config.version, "error" => %error);
                }
                self.shared.update_config(config, "store");
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
                slog::warn!(self.shared.log, "targets: Record is invalid.";
                    "key" => &item.key, "error" => %error);
                None
            }
        }
    }

    fn log_unreadable(&self, errors: &[String]) {
        for error in errors {
            slog::warn!(self.shared.log, "store: Item is unreadable."; "error" => error);
        }
    }

    fn is_settled(&self) -> bool {
        let now = self.shared.now();
        self.shared.store_connectivity.borrow().is_settled(now)
    }

    fn publish_target_changes(&self, is_changed: bool, source: &'static str) {
        self.shared.report_registry(source);
        if !is_changed {
            return;
        }
        {
            let registry = self.shared.registry.borrow();
            slog::info!(self.shared.log, "targets: Changed.";
                "source" => source, "revision" => %registry.revision(),
                "targets" => registry.len(), "settled" => self.is_settled());
        }
        self.shared.publish_changes();
    }

    /// Removes targets that have not registered again after an outage of the
    /// store.
    fn expire(&self) {
        if !self.is_settled() {
            return;
        }
        let expired = self.shared.registry.borrow_mut().expire();
        for target in &expired {
            slog::info!(self.shared.log, "targets: Removed, since it did not register again."; "target" => %target);
        }
        self.publish_target_changes(!expired.is_empty(), "expiry");
    }

    /// How long the next watch may wait. While records are missing, it ends when
    /// it is certain that their targets are gone.
    fn watch_wait(&self, now: ClockTime) -> TimeSpan {
        if self.shared.registry.borrow().missing().next().is_none() {
            return WATCH_WAIT;
        }
        let settling = self.shared.store_connectivity.borrow().settling_time(now);
        settling.clamp(MIN_WATCH_WAIT, WATCH_WAIT)
    }

    fn record_answer(&self, called_at: ClockTime) {
        self.count_call("answered");
        let now = self.shared.now();
        let mut connectivity = self.shared.store_connectivity.borrow_mut();
        let outage = connectivity.record_answer(called_at, now);
        drop(connectivity);
        if let Some(outage) = outage {
            slog::info!(self.shared.log, "store: Answers again."; "after" => %outage);
        }
    }

    fn record_failure(&self, error: &StoreError) {
        let failure = error.failure();
        let result = if failure == CallFailure::WatchCut {
            slog::info!(self.shared.log, "store: Watch was cut, listing again.";
                "error" => %error);
            "cut"
        } else {
            "failed"
        };
        self.count_call(result);
        let now = self.shared.now();
        let mut connectivity = self.shared.store_connectivity.borrow_mut();
        let is_new = connectivity.record_failure(failure, now);
        drop(connectivity);
        if is_new {
            self.shared.changed.notify(usize::MAX);
            slog::warn!(self.shared.log, "store: Contact lost.";
                "error" => %error);
        }
    }

    fn count_call(&self, result: &str) {
        let calls = &self.shared.metrics.store_calls;
        calls.with_label_values(&[result]).inc();
    }
}
