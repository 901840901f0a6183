use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the input that a stage repeats in its output by default.
pub const DEFAULT_OUTPUT_LIMIT: usize = 4_096;

/// Digest of the input of a stage, as outputs and ledgers show it.
#[must_use]
pub fn input_digest(input: &[u8]) -> u64 {
    xxh3_64(input)
}

/// What a pool or plain service answers to an input.
///
/// The output depends on nothing else, so a test can tell whether an answer
/// belongs to its request: a line with the name of the stand-in, a digest of
/// the input and its length, then the input cut to `limit` bytes.
#[must_use]
pub fn stage_output(name: &str, input: &[u8], limit: usize) -> Vec<u8> {
    let digest = input_digest(input);
    let length = input.len();
    let mut output = format!("{name} digest={digest:016x} bytes={length}\n").into_bytes();
    output.extend_from_slice(&input[..length.min(limit)]);
    output
}
