use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};

use super::{
    BucketSize, LeaseBatch, LeaseDemand, LeaseReply, LeaseRequest, LeaseRule, LimitBucket,
    LimitDecision, OwnerView, WorkspaceLimit,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::NodeId,
    policy::WorkspaceHash,
};

/// Number of shards of the table, each with its own lock.
const SHARDS: usize = 64;

/// The buckets of one node, shared between threads. `try_acquire` holds a lock
/// only for one bucket operation.
#[derive(Debug)]
pub struct LimitTable {
    rule: LeaseRule,
    shards: Vec<Mutex<HashMap<WorkspaceHash, LimitEntry>>>,
}

#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    bucket: LimitBucket,
    size: BucketSize,
}

/// A batch and the owner that it is sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedBatch {
    /// The owner of the workspaces in the batch.
    pub owner: NodeId,
    /// The lease requests.
    pub batch: LeaseBatch,
}

impl LimitTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(rule: LeaseRule) -> Self {
        Self {
            rule,
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Counts an event of a workspace whose limit is divided among `listed`
    /// nodes, and decides whether the event is within the limit.
    #[must_use]
    pub fn try_acquire(
        &self,
        workspace: WorkspaceHash,
        limit: WorkspaceLimit,
        listed: usize,
        now: ClockTime,
    ) -> LimitDecision {
        let size = self.rule.bucket_size(&limit, listed);
        let mut shard = self.lock(workspace);
        let entry = shard.entry(workspace).or_insert_with(|| LimitEntry {
            bucket: LimitBucket::new(&size, now),
            size,
        });
        entry.size = size;
        entry.bucket.try_acquire(&size, now)
    }

    /// Ends an interval: returns the lease requests to send, grouped by owner,
    /// and removes idle workspaces. Must be called about once a second. The
    /// batches include requests to the node itself.
    pub fn end_interval(
        &self,
        own_id: &NodeId,
        view: &OwnerView,
        interval: TimeSpan,
        now: ClockTime,
    ) -> Vec<AddressedBatch> {
        let mut by_owner: BTreeMap<&NodeId, Vec<LeaseRequest>> = BTreeMap::new();
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|workspace, entry| {
                let demand = entry.bucket.end_interval(&entry.size, interval, now);
                if let Some(request) = lease_request(*workspace, demand)
                    && let Some(owner) = view.owner(*workspace)
                {
                    by_owner.entry(owner).or_default().push(request);
                }
                !entry.bucket.is_idle(&entry.size, now)
            });
        }
        let batches = by_owner
            .into_iter()
            .map(|(owner, requests)| AddressedBatch {
                owner: owner.clone(),
                batch: LeaseBatch {
                    holder: own_id.clone(),
                    asks: requests,
                },
            });
        batches.collect()
    }

    /// Applies an owner's reply to a batch that was sent at `requested_at`. The
    /// leases expire relative to that time.
    pub fn apply_reply(&self, reply: &LeaseReply, requested_at: ClockTime, now: ClockTime) {
        let until = requested_at + reply.span.min(self.rule.lease_duration);
        for grant in &reply.grants {
            let mut shard = self.lock(grant.workspace);
            if let Some(entry) = shard.get_mut(&grant.workspace) {
                let rate = f64::from(grant.rate).max(0.0);
                let size = entry.size;
                entry.bucket.set_lease(rate, until, &size, now);
                entry.bucket.add_tokens(grant.tokens, &size, now);
            }
        }
    }

    /// Number of workspaces with a bucket.
    #[must_use]
    pub fn len(&self) -> usize {
        let lock = |shard: &Mutex<HashMap<_, _>>| {
            let shard = shard.lock();
            shard.unwrap_or_else(PoisonError::into_inner).len()
        };
        self.shards.iter().map(lock).sum()
    }

    /// Whether no workspace has a bucket.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of state per workspace, without the unused capacity of the table.
    #[must_use]
    pub const fn entry_bytes() -> usize {
        size_of::<WorkspaceHash>() + size_of::<LimitEntry>()
    }

    fn lock(&self, workspace: WorkspaceHash) -> MutexGuard<'_, HashMap<WorkspaceHash, LimitEntry>> {
        let shards = self.shards.len() as u64;
        let index = usize::try_from(workspace.get() % shards).unwrap_or(0);
        let shard = self.shards[index].lock();
        shard.unwrap_or_else(PoisonError::into_inner)
    }
}

fn lease_request(workspace: WorkspaceHash, demand: LeaseDemand) -> Option<LeaseRequest> {
    let (wanted, tokens) = match demand {
        LeaseDemand::None => return None,
        LeaseDemand::Rate(rate) => (as_f32(rate), 0),
        LeaseDemand::Tokens(tokens) => (0.0, tokens),
    };
    Some(LeaseRequest {
        workspace,
        wanted,
        tokens,
    })
}

// The precision of `f32`, about seven digits, is enough for a rate.
#[allow(clippy::cast_possible_truncation)]
fn as_f32(rate: f64) -> f32 {
    rate as f32
}
