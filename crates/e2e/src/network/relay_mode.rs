/// What a relay does with what comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayMode {
    /// Passes everything on.
    #[default]
    Pass,
    /// Has broken all connections and closes new ones at once.
    Cut,
    /// Holds everything back, as a partition does, until it passes again.
    Hold,
}
