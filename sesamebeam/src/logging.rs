//! Log lines.
//!
//! A line is `time=… level=… at=… message`, where the message is `key=value`
//! words as far as a program reads it. Lines go through a bounded queue to a
//! thread that writes them. When the queue is full, lines are dropped and
//! counted: a reader of standard error that has stopped, or a slow disk, must
//! not hold requests up, and a queue without bound would fill the memory.

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

/// Size at which a log file is closed and the next one begun, in bytes.
const FILE_BYTES: u64 = 64 << 20;

/// Closed log files that are kept.
const FILES_KEPT: usize = 8;

/// Longest line in bytes; the rest is cut off.
const LINE_BYTES: usize = 4096;

/// Longest wait at the end for lines that are still queued.
const LAST_LINES: Duration = Duration::from_secs(2);

/// Pause between two looks, at the end, whether the queue has room.
const LAST_PAUSE: Duration = Duration::from_millis(5);

/// Why logging could not be started.
#[derive(Debug, Error)]
pub enum LogError {
    /// The log files cannot be opened, or there is a logger already.
    #[error("cannot start logging: {0}")]
    Start(#[from] FlexiLoggerError),
    /// There is no thread for it.
    #[error("cannot start the thread that writes log lines: {0}")]
    Thread(#[from] io::Error),
}

/// Logging that runs. Dropped, it writes what is queued and ends.
pub struct Logging {
    queue: Arc<LogQueue>,
    _handle: LoggerHandle,
}

impl Logging {
    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.queue.dropped.load(Ordering::Relaxed)
    }
}

impl Drop for Logging {
    fn drop(&mut self) {
        self.queue.finish();
    }
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// Fails if the folder cannot be written, or logging was started before.
pub fn start(settings: &LogSettings) -> Result<Logging, LogError> {
    let queue = Arc::new(match &settings.folder {
        None => LogQueue::start(io::stderr(), settings.queue)?,
        Some(folder) => {
            let spec = FileSpec::default().directory(folder).suppress_timestamp();
            let (file, _handle) = FileLogWriter::builder(spec)
                .append()
                .rotate(
                    Criterion::Size(FILE_BYTES),
                    Naming::Numbers,
                    Cleanup::KeepLogFiles(FILES_KEPT),
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

/// Starts logging as lines of JSON to standard output, for platforms that
/// collect it.
///
/// # Errors
///
/// Fails if the logger or its thread cannot be started.
pub fn start_json(queue: usize) -> Result<Logging, LogError> {
    let queue = Arc::new(LogQueue::start_with(io::stdout(), queue, json::dropped)?);
    let handle = Logger::try_with_str(filter(LogLevel::Info))?
        .log_to_writer(Box::new(json::Writer::new(Arc::clone(&queue))))
        .start()?;
    Ok(Logging {
        queue,
        _handle: handle,
    })
}

/// Returns the filter of a level. The libraries' own lines say nothing that an
/// operator can act on, and come by the datagram.
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

/// A bounded queue of lines before a thread that writes them.
pub struct LogQueue {
    tx: SyncSender<Line>,
    dropped: Arc<AtomicU64>,
    /// Tells when the thread has written everything before [`Line::Last`].
    done: Mutex<Receiver<()>>,
}

/// What the writing thread gets.
enum Line {
    /// A line with its end.
    Text(String),
    /// Nothing comes after it.
    Last,
}

impl LogQueue {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails if there is no further thread.
    pub fn start(to: impl Write + Send + 'static, capacity: usize) -> io::Result<Self> {
        Self::start_with(to, capacity, dropped_line)
    }

    /// Starts with a line of another form for the number of dropped lines.
    fn start_with(
        to: impl Write + Send + 'static,
        capacity: usize,
        dropped_line: fn(u64) -> String,
    ) -> io::Result<Self> {
        let (tx, rx) = sync_channel(capacity);
        let (done_tx, done) = sync_channel(1);
        let dropped = Arc::new(AtomicU64::new(0));
        let seen = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || {
                write_all(to, &rx, &seen, dropped_line);
                let _ = done_tx.send(());
            })?;
        Ok(Self {
            tx,
            dropped,
            done: Mutex::new(done),
        })
    }

    /// Queues a line, or drops and counts it if the queue is full.
    pub fn push(&self, line: String) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(Line::Text(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits, for a bounded time, until what is queued is written.
    pub fn finish(&self) {
        let until = Instant::now() + LAST_LINES;
        while let Err(TrySendError::Full(_)) = self.tx.try_send(Line::Last) {
            // A queue that stays full is before a writer that has stopped.
            if Instant::now() >= until {
                return;
            }
            thread::sleep(LAST_PAUSE);
        }
        let done = self.done.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = done.recv_timeout(until.saturating_duration_since(Instant::now()));
    }
}

fn dropped_line(count: u64) -> String {
    let message = format!("event=lines_dropped count={count}");
    format_line("WARN", module_path!(), &message)
}

fn write_all(
    mut to: impl Write,
    rx: &Receiver<Line>,
    dropped: &AtomicU64,
    dropped_line: fn(u64) -> String,
) {
    let mut told = 0;
    while let Ok(Line::Text(line)) = rx.recv() {
        // There is nobody to tell of a failure to write.
        let _ = to.write_all(line.as_bytes());
        let total = dropped.load(Ordering::Relaxed);
        if total > told {
            let _ = to.write_all(dropped_line(total - told).as_bytes());
            told = total;
        }
    }
    let _ = to.flush();
}

/// Hands records of the `log` crate to the queue.
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

/// Writes one line, with its end.
///
/// Control characters are escaped. Parts of a message come from callers, who
/// could else begin a line of their own and so forge one.
pub fn format_line(level: &str, at: &str, message: &str) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = String::with_capacity(message.len() + 80);
    // Writing to a string does not fail.
    let _ = write!(line, "time={time} level={level} at={at} ");
    for c in message.chars() {
        if line.len() >= LINE_BYTES {
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
