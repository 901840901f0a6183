use std::iter;

use bytes::Bytes;
use fastrand::Rng;

use super::MixPart;

/// Parts of the seed that keep the common parts of bodies apart.
const PREFIX_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Makes the bodies of requests from a seed.
#[derive(Debug)]
pub struct BodyMaker {
    seed: u64,
    rng: Rng,
}

impl BodyMaker {
    /// Creates a maker.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let rng = Rng::with_seed(seed);
        Self { seed, rng }
    }

    /// Makes a body: a common part, one of a few, and letters by chance.
    pub fn make(&mut self, part: &MixPart) -> Bytes {
        let prefix_length = part.prefix.unwrap_or_default().as_usize();
        let choice = self.rng.u32(0..part.prefixes);
        let seed = self.seed ^ PREFIX_SEED.wrapping_mul(u64::from(choice) + 1);
        let mut prefix_rng = Rng::with_seed(seed);
        let rest_length = part.body.as_usize() - prefix_length;
        let mut body = letters(&mut prefix_rng, prefix_length);
        body.extend(letters(&mut self.rng, rest_length));
        body.into()
    }
}

fn letters(rng: &mut Rng, length: usize) -> Vec<u8> {
    iter::repeat_with(|| rng.u8(b'a'..=b'z'))
        .take(length)
        .collect()
}
