//! Log lines.

use flexi_logger::{
    Logger,
    LoggerHandle,
    WriteMode, //
};

use crate::settings::{
    LogLevel,
    LogSettings, //
};

/// Starts logging; the handle writes what is left when it is dropped.
pub fn start(settings: &LogSettings) -> Option<LoggerHandle> {
    let level = match settings.level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    Logger::try_with_str(format!("{level}, quinn=warn, rustls=warn"))
        .ok()?
        .log_to_stderr()
        .write_mode(WriteMode::Async)
        .start()
        .ok()
}
