use std::{
    collections::{BTreeMap, HashMap},
    sync::{Mutex, MutexGuard, PoisonError},
};

use super::{
    LeaseBatch, LeaseReply, LeaseRequest, LeaseRule, LimitDecision, OwnerView, ShareBucket,
    ShareSize, ShareWish, WorkspaceLimit,
};
use crate::{
    clock::{ClockTime, TimeSpan},
    ids::NodeId,
    policy::WorkspaceHash,
};

/// Parts of the table with a lock each.
const SHARDS: usize = 64;

/// The buckets of one node, shared by threads. A lock is held for one bucket
/// operation only.
#[derive(Debug)]
pub struct LimitTable {
    rule: LeaseRule,
    shards: Vec<Mutex<HashMap<WorkspaceHash, LimitEntry>>>,
}

#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    bucket: ShareBucket,
    size: ShareSize,
}

/// A batch and the home that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressedBatch {
    /// The home.
    pub owner: NodeId,
    /// The wishes.
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

    /// Counts an event of a workspace with this limit over `listed` nodes.
    #[must_use]
    pub fn try_acquire(
        &self,
        workspace: WorkspaceHash,
        limit: WorkspaceLimit,
        listed: usize,
        now: ClockTime,
    ) -> LimitDecision {
        let size = self.rule.share_size(&limit, listed);
        let mut shard = self.lock(workspace);
        let entry = shard.entry(workspace).or_insert_with(|| LimitEntry {
            bucket: ShareBucket::new(&size, now),
            size,
        });
        entry.size = size;
        entry.bucket.try_acquire(&size, now)
    }

    /// Ends an interval: says what to ask for, by home, and forgets idle
    /// workspaces. To be called about every second. Asks to the node itself
    /// are among them.
    pub fn end_interval(
        &self,
        own: &NodeId,
        view: &OwnerView,
        interval: TimeSpan,
        now: ClockTime,
    ) -> Vec<AddressedBatch> {
        let mut by_owner: BTreeMap<&NodeId, Vec<LeaseRequest>> = BTreeMap::new();
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|workspace, entry| {
                let wish = entry.bucket.end_interval(&entry.size, interval, now);
                if let Some(ask) = ask_for(*workspace, wish)
                    && let Some(owner) = view.owner(*workspace)
                {
                    by_owner.entry(owner).or_default().push(ask);
                }
                !entry.bucket.is_idle(&entry.size, now)
            });
        }
        let batches = by_owner.into_iter().map(|(owner, asks)| AddressedBatch {
            owner: owner.clone(),
            batch: LeaseBatch {
                holder: own.clone(),
                asks,
            },
        });
        batches.collect()
    }

    /// Takes in a home's reply to a batch that was sent at `asked_at`.
    pub fn apply_reply(&self, reply: &LeaseReply, asked_at: ClockTime, now: ClockTime) {
        let until = asked_at + reply.span.min(self.rule.span);
        for grant in &reply.grants {
            let mut shard = self.lock(grant.workspace);
            if let Some(entry) = shard.get_mut(&grant.workspace) {
                let rate = f64::from(grant.rate).max(0.0);
                let size = entry.size;
                entry.bucket.lease(rate, until, &size, now);
                entry.bucket.add_tokens(grant.tokens, &size, now);
            }
        }
    }

    /// Workspaces that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        let lock = |shard: &Mutex<HashMap<_, _>>| {
            let shard = shard.lock();
            shard.unwrap_or_else(PoisonError::into_inner).len()
        };
        self.shards.iter().map(lock).sum()
    }

    /// Whether no workspace is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of state for each workspace, without the table's spare room.
    #[must_use]
    pub const fn entry_bytes() -> usize {
        size_of::<WorkspaceHash>() + size_of::<LimitEntry>()
    }

    fn lock(&self, workspace: WorkspaceHash) -> MutexGuard<'_, HashMap<WorkspaceHash, LimitEntry>> {
        let shards = self.shards.len() as u64;
        let at = usize::try_from(workspace.get() % shards).unwrap_or(0);
        let shard = self.shards[at].lock();
        shard.unwrap_or_else(PoisonError::into_inner)
    }
}

fn ask_for(workspace: WorkspaceHash, wish: ShareWish) -> Option<LeaseRequest> {
    let (wanted, tokens) = match wish {
        ShareWish::Nothing => return None,
        ShareWish::Rate(rate) => (as_f32(rate), 0),
        ShareWish::Tokens(tokens) => (0.0, tokens),
    };
    Some(LeaseRequest {
        workspace,
        wanted,
        tokens,
    })
}

// A rate needs no more than seven digits.
#[allow(clippy::cast_possible_truncation)]
fn as_f32(rate: f64) -> f32 {
    rate as f32
}
