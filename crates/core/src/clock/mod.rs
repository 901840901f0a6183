//! Time for the decision logic, in milliseconds. The caller passes the current
//! time in with each event.

mod clock_time;
mod time_span;

pub use self::{clock_time::ClockTime, time_span::TimeSpan};
