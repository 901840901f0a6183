use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of points of each member on the ring.
const POINTS_PER_MEMBER: u64 = 16;

/// A consistent hash ring: most keys keep their members when other members are
/// added or removed.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: Vec<RingPoint>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RingPoint {
    hash: u32,
    index: u32,
}

impl HashRing {
    /// Creates a ring of named members. A member is identified by its index in
    /// `names`.
    #[must_use]
    pub fn new<'name, I>(names: I) -> Self
    where
        I: IntoIterator<Item = &'name str>,
    {
        let mut points = Vec::new();
        for (index, name) in names.into_iter().enumerate() {
            let index = u32::try_from(index).unwrap_or(u32::MAX);
            for point in 0..POINTS_PER_MEMBER {
                let hash = upper_half(xxh3_64_with_seed(name.as_bytes(), point));
                points.push(RingPoint { hash, index });
            }
        }
        points.sort_unstable();
        points.shrink_to_fit();
        Self { points }
    }

    /// Indices of the members in ring order from the key's position on. A member
    /// occurs once per point.
    pub fn members_from(&self, key: u64) -> impl Iterator<Item = usize> {
        let start = self
            .points
            .partition_point(|point| point.hash < upper_half(key));
        let (before, after) = self.points.split_at(start);
        after
            .iter()
            .chain(before)
            .filter_map(|point| usize::try_from(point.index).ok())
    }

    /// Heap size of the ring, in bytes.
    #[must_use]
    pub fn size_bytes(&self) -> usize {
        self.points.capacity() * size_of::<RingPoint>()
    }
}

fn upper_half(hash: u64) -> u32 {
    u32::try_from(hash >> 32).unwrap_or(0)
}
