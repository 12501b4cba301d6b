//! Log lines.

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

/// Collects what is written, after it was allowed to go on.
struct Gated {
    gate: mpsc::Receiver<()>,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gated {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // An error means that the gate stays open from now on.
        let _ = self.gate.recv();
        self.text.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn stopped_reader() {
    // Nobody reads standard error, so that its pipe is full and the writing
    // thread stands still. Requests go on logging: what finds the queue full is
    // dropped at once. When the reader goes on, it is told how much it missed.
    let (open, gate) = mpsc::channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let to = Gated {
        gate,
        text: Arc::clone(&text),
    };
    let queue = LogQueue::start(to, 10).unwrap();
    for n in 0..1000 {
        queue.push(format!("line {n}\n"));
    }
    let dropped = queue.dropped();
    // The thread may have taken one line off the queue.
    assert!((989..=990).contains(&dropped), "{dropped}");

    drop(open);
    queue.finish();
    let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
    assert!(text.starts_with("line 0\n"), "{text}");
    let told = format!("event=lines_dropped count={dropped}\n");
    assert_eq!(text.matches(&told).count(), 1, "{text}");
}

#[test]
fn forged_line() {
    // A caller puts a line break into a name that is logged, and after it a
    // line that looks like ours. It stays within its own line.
    let line = format_line("INFO", "here", "org=a\ntime=0 level=ERROR\u{1b}[31m é");
    assert_eq!(line.matches('\n').count(), 1, "{line}");
    assert!(
        line.ends_with("org=a\\ntime=0 level=ERROR\\u{1b}[31m é\n"),
        "{line}"
    );
    assert!(line.contains(" level=INFO at=here "), "{line}");
}

#[test]
fn long_line_cut() {
    let line = format_line("INFO", "here", &"x".repeat(1 << 20));
    assert!(line.len() < 5000);
    assert!(line.ends_with("...\n"));
}

#[test]
fn file_written() {
    let folder = tempfile::tempdir().unwrap();
    let settings = LogSettings {
        folder: Some(folder.path().join("log")),
        ..LogSettings::default()
    };
    // The one logger of this test's process.
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
fn folder_unusable() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    let settings = LogSettings {
        folder: Some(file.join("log")),
        ..LogSettings::default()
    };
    assert!(logging::start(&settings).is_err());
}
