use verbenahub_core::{
    ids::RevisionNumber,
    protocol::VmEntry,
    records::{Record, RecordKey},
};
use verbenahub_standins::feed::CallReport;

use super::StandinProcess;

/// A running configuration service or membership list, from the publisher's side.
#[derive(Debug)]
pub struct FeedProcess {
    /// The stand-in.
    pub standin: StandinProcess,
}

impl FeedProcess {
    /// Starts a configuration service.
    #[must_use]
    pub fn start_config() -> Self {
        let standin = StandinProcess::start("config", &["config-service"]);
        Self { standin }
    }

    /// Starts a membership list with a lag.
    #[must_use]
    pub fn start_membership(lag_ms: u64) -> Self {
        let lag = lag_ms.to_string();
        let standin = StandinProcess::start("membership", &["membership-list", "--lag-ms", &lag]);
        Self { standin }
    }

    /// Publishes the text of a record under its own key.
    ///
    /// # Panics
    ///
    /// Panics when the record has findings.
    #[must_use]
    pub fn publish(&self, text: &str) -> RevisionNumber {
        let record = Record::decode("record", text.as_bytes());
        let record = record.unwrap_or_else(|findings| panic!("{findings}"));
        let key = RecordKey::of(&record, text.as_bytes()).to_string();
        self.put(&key, text.as_bytes())
    }

    /// Publishes the entry of a VM.
    ///
    /// # Panics
    ///
    /// Panics when the feed refuses it.
    pub fn publish_vm(&self, id: &str, entry: &VmEntry) {
        let value = serde_json::to_vec(entry).expect("an entry in JSON");
        let path = format!("/admin/put?key=vms/{id}");
        self.standin.post(&path, value);
    }

    /// Publishes any value.
    ///
    /// # Panics
    ///
    /// Panics when the feed refuses it.
    #[must_use]
    pub fn put(&self, key: &str, value: &[u8]) -> RevisionNumber {
        self.standin
            .ask(&format!("/admin/put?key={key}"), value.to_vec())
    }

    /// Deletes a key.
    ///
    /// # Panics
    ///
    /// Panics when the feed refuses it.
    #[must_use]
    pub fn delete(&self, key: &str) -> RevisionNumber {
        self.standin
            .ask(&format!("/admin/delete?key={key}"), Vec::new())
    }

    /// Lets the feed refuse all calls, or no longer.
    pub fn set_down(&self, down: bool) {
        let path = format!("/admin/down?on={down}");
        self.standin.post(&path, Vec::new());
    }

    /// Lets all readers see an old revision.
    pub fn set_stale(&self, revision: RevisionNumber) {
        let path = format!("/admin/stale?revision={revision}");
        self.standin.post(&path, Vec::new());
    }

    /// Lets the readers of one parity, `odd` or `even`, see an old revision.
    pub fn set_stale_for(&self, revision: RevisionNumber, readers: &str) {
        let path = format!("/admin/stale?revision={revision}&readers={readers}");
        self.standin.post(&path, Vec::new());
    }

    /// Lets all readers see the newest revision.
    pub fn set_fresh(&self) {
        self.standin.post("/admin/stale", Vec::new());
    }

    /// The newest revision.
    #[must_use]
    pub fn revision(&self) -> RevisionNumber {
        self.standin.get("/admin/revision")
    }

    /// How often the feed was called.
    #[must_use]
    pub fn calls(&self) -> CallReport {
        self.standin.get("/calls")
    }
}
