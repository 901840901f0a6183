use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets into which keys are hashed.
pub const BUCKET_COUNT: usize = 256;

/// One digest per bucket of keys. Comparing the digests shows in which buckets
/// two feed replicas, or two member tables, differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketDigests(Vec<u64>);

impl BucketDigests {
    /// Returns the bucket of a key.
    #[must_use]
    pub fn bucket_of(key: &str) -> u8 {
        xxh3_64(key.as_bytes()).to_le_bytes()[0]
    }

    /// Returns the buckets whose digests differ.
    #[must_use]
    pub fn differing(&self, other: &Self) -> Vec<u8> {
        let indices = 0..=u8::MAX;
        indices
            .filter(|index| self.get(*index) != other.get(*index))
            .collect()
    }

    /// Returns the digest over all buckets.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0
            .iter()
            .fold(0, |sum, digest| sum.wrapping_add(*digest))
    }

    /// Adds the digest of an added item.
    pub(crate) fn add(&mut self, key: &str, digest: u64) {
        let bucket = &mut self.0[usize::from(Self::bucket_of(key))];
        *bucket = bucket.wrapping_add(digest);
    }

    /// Subtracts the digest of a removed item.
    pub(crate) fn subtract(&mut self, key: &str, digest: u64) {
        let bucket = &mut self.0[usize::from(Self::bucket_of(key))];
        *bucket = bucket.wrapping_sub(digest);
    }

    fn get(&self, index: u8) -> u64 {
        self.0.get(usize::from(index)).copied().unwrap_or(0)
    }
}

impl Default for BucketDigests {
    fn default() -> Self {
        Self(vec![0; BUCKET_COUNT])
    }
}
