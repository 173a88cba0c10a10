//! Structured logs: one JSON object a line, on standard error.

use std::io;
use std::sync;

use slog::Drain;

/// Builds the root logger of a process. Lines that cannot be queued are counted and dropped, so
/// that a slow reader of the log never holds up a request.
pub fn root(process: &str) -> slog::Logger {
    let json = slog_json::Json::new(io::stderr())
        .add_default_keys()
        .build()
        .fuse();
    let drain = slog_async::Async::new(json).chan_size(4096).build().fuse();
    slog::Logger::root(drain, slog::o!("process" => process.to_owned()))
}

/// A logger that writes nothing, for tests.
pub fn silent() -> slog::Logger {
    slog::Logger::root(sync::Arc::new(slog::Discard), slog::o!())
}
