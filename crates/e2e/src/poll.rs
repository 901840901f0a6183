use std::{
    thread,
    time::{Duration, Instant},
};

/// Bound for all that must happen some time.
pub const PATIENCE: Duration = Duration::from_secs(20);
/// Pause between two looks.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Looks again and again until there is something, and gives it.
///
/// # Panics
///
/// Panics with `what` when there is nothing within [`PATIENCE`].
pub fn poll_until<T, F>(what: &str, mut look: F) -> T
where
    F: FnMut() -> Option<T>,
{
    let start = Instant::now();
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(POLL_PAUSE);
    }
}
