use std::sync::Mutex;

use slog::{Drain, Level, LevelFilter, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use verbenahub_core::settings::LogFormat;

/// Lines that wait for the log's thread at most. Further lines are dropped and
/// counted.
const LOG_QUEUE_LINES: usize = 4_096;

/// Creates the logger of the process, which writes to the standard error.
///
/// The log is flushed when the guard is dropped.
pub fn start_log(level: Level, format: LogFormat) -> (Logger, AsyncGuard) {
    let (drain, guard) = match format {
        LogFormat::Human => start_writer(human_drain()),
        LogFormat::Json => start_writer(Mutex::new(slog_json::Json::default(std::io::stderr()))),
    };
    let filter = LevelFilter::new(drain, level);
    (Logger::root(filter.fuse(), o!()), guard)
}

fn human_drain() -> slog_term::FullFormat<slog_term::PlainSyncDecorator<std::io::Stderr>> {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    slog_term::FullFormat::new(decorator).build()
}

fn start_writer<Writer>(writer: Writer) -> (Async, AsyncGuard)
where
    Writer: Drain + Send + 'static,
{
    Async::new(writer.ignore_res())
        .chan_size(LOG_QUEUE_LINES)
        .overflow_strategy(OverflowStrategy::DropAndReport)
        .build_with_guard()
}
