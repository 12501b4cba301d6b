//! Logging through a bounded queue and a writer thread.
//!
//! A line has the form `time=… level=… at=… message`. The machine-readable part of
//! the message consists of `key=value` pairs. Lines are dropped and counted while the
//! queue is full: a stopped reader of standard error or a slow disk must not delay
//! requests, and an unbounded queue would exhaust memory.

mod json;

use std::{
    fmt::Write as _,
    io::{
        self,
        Write, //
    },
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{
            AtomicU64,
            Ordering, //
        },
        mpsc::{
            Receiver,
            SyncSender,
            TrySendError,
            sync_channel, //
        },
    },
    thread,
    time::{
        Duration,
        Instant,
        SystemTime, //
    },
};

use flexi_logger::{
    Cleanup, Criterion, DeferredNow, FileSpec, FlexiLoggerError, Logger, LoggerHandle, Naming,
    writers::{
        FileLogWriter,
        LogWriter, //
    },
};
use log::Record;
use thiserror::Error;

use crate::settings::{
    LogLevel,
    LogSettings, //
};

/// Size in bytes at which a log file is rotated.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Number of rotated log files to keep.
const MAX_ROTATED_FILES: usize = 8;

/// Length in bytes beyond which a line is truncated.
const MAX_LINE_BYTES: usize = 4096;

/// Timeout at shutdown for writing the queued lines.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at shutdown between checks whether the queue has room.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Error when starting the logger.
#[derive(Debug, Error)]
pub enum LogError {
    /// The log files cannot be opened, or a logger is already installed.
    #[error("cannot start the logger: {0}")]
    Start(#[from] FlexiLoggerError),
    /// The writer thread cannot be spawned.
    #[error("cannot spawn the log writer thread: {0}")]
    Thread(#[from] io::Error),
}

/// Handle of the running logger. Dropping it writes the queued lines and stops the
/// writer thread.
pub struct Logging {
    queue: Arc<LogQueue>,
    _handle: LoggerHandle,
}

impl Logging {
    /// Returns the number of lines dropped since the start because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.queue.dropped.load(Ordering::Relaxed)
    }
}

impl Drop for Logging {
    fn drop(&mut self) {
        self.queue.stop();
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns an error if the folder cannot be written or a logger is already installed.
pub fn start(settings: &LogSettings) -> Result<Logging, LogError> {
    let queue = Arc::new(match &settings.folder {
        None => LogQueue::start(io::stderr(), settings.queue)?,
        Some(folder) => {
            let spec = FileSpec::default().directory(folder).suppress_timestamp();
            let (file, _handle) = FileLogWriter::builder(spec)
                .append()
                .rotate(
                    Criterion::Size(MAX_FILE_BYTES),
                    Naming::Numbers,
                    Cleanup::KeepLogFiles(MAX_ROTATED_FILES),
                )
                .try_build_with_handle()?;
            LogQueue::start(file, settings.queue)?
        }
    });
    let handle = Logger::try_with_str(filter(settings.level))?
        .log_to_writer(Box::new(QueueWriter(Arc::clone(&queue))))
        .start()?;
    Ok(Logging {
        queue,
        _handle: handle,
    })
}

/// Installs a logger that writes lines of JSON to standard output, for platforms that
/// collect it.
///
/// # Errors
///
/// Returns an error if a logger is already installed or the writer thread cannot be
/// spawned.
pub fn start_json(queue: usize) -> Result<Logging, LogError> {
    let queue = Arc::new(LogQueue::start_with(
        io::stdout(),
        queue,
        json::dropped_line,
    )?);
    let handle = Logger::try_with_str(filter(LogLevel::Info))?
        .log_to_writer(Box::new(json::Writer::new(Arc::clone(&queue))))
        .start()?;
    Ok(Logging {
        queue,
        _handle: handle,
    })
}

/// Returns the filter specification of a level. Lines of the QUIC and TLS libraries
/// are restricted: they contain nothing that an operator can act on, and some are
/// written for each datagram.
fn filter(level: LogLevel) -> String {
    let level = match level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
        LogLevel::Trace => "trace",
    };
    format!("{level}, quinn=warn, quinn_proto=error, rustls=warn")
}

/// A bounded queue of lines with a writer thread.
pub struct LogQueue {
    tx: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    /// Receives a message when the writer thread has ended.
    done: Mutex<Receiver<()>>,
}

/// Message to the writer thread.
enum Line {
    /// A line, including the line break.
    Text(String),
    /// The writer thread ends after the lines before this.
    Stop,
}

impl LogQueue {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be spawned.
    pub fn start(output: impl Write + Send + 'static, capacity: usize) -> io::Result<Self> {
        Self::start_with(output, capacity, dropped_line)
    }

    /// Starts the writer thread with a custom format for the line that reports the number
    /// of dropped lines.
    fn start_with(
        output: impl Write + Send + 'static,
        capacity: usize,
        dropped_line: fn(u64) -> String,
    ) -> io::Result<Self> {
        let (tx, rx) = sync_channel(capacity);
        let (done_tx, done) = sync_channel(1);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_lines(output, &rx, &counter, dropped_line);
                let _ = done_tx.send(());
            })?;
        Ok(Self {
            tx,
            dropped,
            done: Mutex::new(done),
        })
    }

    /// Enqueues a line. Drops and counts it if the queue is full.
    pub fn push(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Line::Text(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the start because the queue was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Stops the writer thread and waits until it has written the queued lines, or until
    /// a timeout expires.
    pub fn stop(&self) {
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while let Err(TrySendError::Full(_)) = self.tx.try_send(Line::Stop) {
            // A queue that stays full means that the output is blocked.
            if Instant::now() >= deadline {
                return;
            }
            thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        let done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = done.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

fn dropped_line(count: u64) -> String {
    let message = format!("event=lines_dropped count={count}");
    format_line("WARN", module_path!(), &message)
}

fn write_lines(
    mut output: impl Write,
    rx: &Receiver<Line>,
    dropped: &AtomicU64,
    dropped_line: fn(u64) -> String,
) {
    let mut reported = 0;
    while let Ok(Line::Text(line)) = rx.recv() {
        // There is no other output to report a write failure to.
        let _ = output.write_all(line.as_bytes());
        let total = dropped.load(Ordering::Relaxed);
        if total > reported {
            let _ = output.write_all(dropped_line(total - reported).as_bytes());
            reported = total;
        }
    }
    let _ = output.flush();
}

/// Formats records of the `log` crate and enqueues them.
struct QueueWriter(Arc<LogQueue>);

impl LogWriter for QueueWriter {
    fn write(&self, _now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let message = record.args().to_string();
        let level = record.level().as_str();
        self.0.push(format_line(level, record.target(), &message));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Formats a line, including the line break.
///
/// Control characters are escaped. Parts of a message come from callers, who could
/// otherwise forge log lines with embedded line breaks.
pub fn format_line(level: &str, at: &str, message: &str) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = String::with_capacity(message.len() + 80);
    // Writing to a string never fails.
    let _ = write!(line, "time={time} level={level} at={at} ");
    for c in message.chars() {
        if line.len() >= MAX_LINE_BYTES {
            line.push_str("...");
            break;
        }
        if c.is_control() {
            let _ = write!(line, "{}", c.escape_default());
        } else {
            line.push(c);
        }
    }
    line.push('\n');
    line
}
