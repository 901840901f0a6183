/// How a call to the store failed, as far as it tells whether targets could renew
/// their records meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// The connection ended while a watch waited for changes. A store that works
    /// may end a watch at any time.
    WatchCut,
    /// The store refused the call because of the rate limit for readers, which
    /// does not concern targets.
    RateLimited,
    /// The store could not be reached, did not respond in time, or responded with
    /// anything else than the data.
    Unavailable,
}
