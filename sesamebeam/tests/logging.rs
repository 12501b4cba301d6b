//! Tests the log queue, the format of lines and log files.

use std::{
    io::{
        self,
        Write, //
    },
    sync::{
        Arc,
        Mutex,
        mpsc, //
    },
};

use sesamebeam::{
    logging::{
        self,
        LogQueue,
        format_line, //
    },
    settings::LogSettings,
};

/// Writer that blocks each write until the gate lets it pass, and collects the output.
struct GatedWriter {
    gate: mpsc::Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for GatedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // An error means that the gate is open permanently.
        let _ = self.gate.recv();
        self.text.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_drops_lines() {
    // The reader of standard error has stopped, so the pipe is full and the writer
    // thread is blocked. Logging must not block requests: lines are dropped while
    // the queue is full. When the reader continues, the log reports how many lines
    // were dropped.
    let (open, gate) = mpsc::channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let output = GatedWriter {
        gate,
        text: Arc::clone(&text),
    };
    let queue = LogQueue::start(output, 10).unwrap();
    for n in 0..1000 {
        queue.push(format!("line {n}\n"));
    }
    let dropped = queue.dropped();
    // The writer thread may already have taken one line off the queue.
    assert!((989..=990).contains(&dropped), "{dropped}");

    drop(open);
    queue.stop();
    let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
    assert!(text.starts_with("line 0\n"), "{text}");
    let report = format!("event=lines_dropped count={dropped}\n");
    assert_eq!(text.matches(&report).count(), 1, "{text}");
}

#[test]
fn line_break_escaped() {
    // A caller sends a name with a line break and the text of a forged log line.
    // Escaping keeps the name within one line.
    let line = format_line("INFO", "here", "org=a\ntime=0 level=ERROR\u{1b}[31m é");
    assert_eq!(line.matches('\n').count(), 1, "{line}");
    assert!(
        line.ends_with("org=a\\ntime=0 level=ERROR\\u{1b}[31m é\n"),
        "{line}"
    );
    assert!(line.contains(" level=INFO at=here "), "{line}");
}

#[test]
fn long_line_truncated() {
    let line = format_line("INFO", "here", &"x".repeat(1 << 20));
    assert!(line.len() < 5000);
    assert!(line.ends_with("...\n"));
}

#[test]
fn log_file_written() {
    let folder = tempfile::tempdir().unwrap();
    let settings = LogSettings {
        folder: Some(folder.path().join("log")),
        ..LogSettings::default()
    };
    // A process can install only one logger, so no other test of this file may
    // install one.
    let logging = logging::start(&settings).unwrap();
    log::info!("event=test number={}", 7);
    log::debug!("event=hidden");
    assert_eq!(logging.dropped(), 0);
    drop(logging);
    let files: Vec<_> = std::fs::read_dir(folder.path().join("log"))
        .unwrap()
        .map(|f| std::fs::read_to_string(f.unwrap().path()).unwrap())
        .collect();
    let text = files.concat();
    assert!(
        text.contains(" level=INFO at=logging event=test number=7\n"),
        "{text}"
    );
    assert!(!text.contains("hidden"), "{text}");
}

#[test]
fn invalid_folder_rejected() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    let settings = LogSettings {
        folder: Some(file.join("log")),
        ..LogSettings::default()
    };
    assert!(logging::start(&settings).is_err());
}
