//! Constants that more than one part of the daemon uses.

/// Version of the program, as its packages state it.
pub const VERSION: &str = env!("CARGO_PKG_VERSION");
/// Media type of messages between nodes.
pub const MESSAGE_TYPE: &str = "application/msgpack";
