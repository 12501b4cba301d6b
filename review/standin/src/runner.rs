//! A runner in a process of its own: `review_standin runner KEY=VALUE...`.
//!
//! It announces itself as PROTOCOL.md says, checks `Expect-Instance`, and answers streams
//! with events and all else at once. A request whose `Prompt-Prefix` has the part `fatal`
//! ends the process when the answer to it would begin.

use std::{
    collections::{HashMap, HashSet},
    fs::File,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

use crate::{
    fleet::unix_ms,
    http::{self, header},
};

struct Runner {
    id: String,
    /// Its smallest model.
    small: String,
    /// Part that crashes it.
    fatal: String,
    /// Whether it sends the first event before it ends.
    begins: bool,
    /// Time until a first token, besides the prompt's.
    first_ms: f64,
    /// Time per 1,000 prompt tokens, and per step, in milliseconds.
    prefill_ms_per_k: f64,
    step_ms: f64,
    /// Tokens in an event.
    stride: f64,
    events: u64,
    log: Mutex<File>,
    runs: AtomicU64,
    /// Parts of prompts that it keeps.
    kept: Mutex<HashSet<String>>,
}

impl Runner {
    /// Returns the prompt tokens that must be read: those from the first part on that it does
    /// not keep. It keeps them from then on.
    fn unkept_tokens(&self, parts: &[(&str, f64)]) -> f64 {
        let Ok(mut kept) = self.kept.lock() else {
            return 0.0;
        };
        let known = parts.iter().take_while(|(part, _)| kept.contains(*part)).count();
        kept.extend(parts.iter().map(|(part, _)| (*part).to_owned()));
        parts[known..].iter().map(|(_, tokens)| tokens).sum()
    }

    fn note(&self, text: &str) {
        if let Ok(mut log) = self.log.lock() {
            let _ = writeln!(log, "{:.3} {} {text}", unix_ms(), self.id);
        }
    }
}

pub fn main(args: &[&str]) -> i32 {
    let args: HashMap<&str, &str> = args.iter().filter_map(|a| a.split_once('=')).collect();
    let get = |name: &str| args.get(name).copied().unwrap_or_default().to_owned();
    let number = |name: &str, usual: f64| get(name).parse().unwrap_or(usual);
    let Ok(log) = File::options().create(true).append(true).open(get("log")) else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(get("address")) else {
        return 2;
    };
    let runner = Arc::new(Runner {
        id: get("id"),
        small: get("small"),
        fatal: get("fatal"),
        begins: get("begins") == "1",
        first_ms: number("first", 0.0),
        prefill_ms_per_k: number("prefill", 1000.0 / 112.0),
        step_ms: number("step", 3.41),
        stride: number("stride", 6.0),
        events: number("events", 8.0) as u64,
        log: Mutex::new(log),
        runs: AtomicU64::new(0),
        kept: Mutex::default(),
    });
    let controls: Vec<SocketAddr> = get("controls").split(',').filter_map(|c| c.parse().ok()).collect();
    let beat = format!(
        "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
         \"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{},",
        get("service"),
        get("address"),
        get("zone"),
        number("slots", 96.0),
        unix_ms() as u64,
    );
    let id = get("id");
    thread::spawn(move || {
        for sequence in 1u64.. {
            let body = format!("{beat}\"sequence\":{sequence}}}");
            for at in 0..controls.len() {
                let control = controls[(at + sequence as usize) % controls.len()];
                if http::call(control, "PUT", &format!("/instances/{id}"), &body).status() == 200 {
                    break;
                }
            }
            thread::sleep(Duration::from_millis(1200));
        }
    });
    runner.note("started");
    for stream in listener.incoming().flatten() {
        let runner = Arc::clone(&runner);
        thread::spawn(move || {
            let _ = serve(&runner, stream);
        });
    }
    0
}

fn serve(runner: &Runner, mut stream: TcpStream) -> std::io::Result<()> {
    let _ = stream.set_nodelay(true);
    while let Some((head, body)) = http::read_request(&mut stream)? {
        let id = header(&head, "request-id").unwrap_or_default().to_owned();
        let path = head.split_whitespace().nth(1).unwrap_or_default().to_owned();
        if path == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                runner.id
            );
            stream.write_all(text.as_bytes())?;
            continue;
        }
        if header(&head, "expect-instance").is_some_and(|e| e != runner.id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            stream.write_all(text.as_bytes())?;
            continue;
        }
        let prefix = header(&head, "prompt-prefix").unwrap_or_default();
        let parts: Vec<(&str, f64)> = prefix
            .split(',')
            .filter_map(|p| p.trim().split_once(':'))
            .map(|(part, tokens)| (part, tokens.parse().unwrap_or(0.0)))
            .collect();
        let is_fatal = !runner.fatal.is_empty() && parts.iter().any(|(p, _)| *p == runner.fatal);
        runner.note(&format!("reached {id}{}", if is_fatal { " fatal" } else { "" }));
        let tokens = runner.unkept_tokens(&parts);
        let first = runner.first_ms + runner.step_ms + tokens / 1000.0 * runner.prefill_ms_per_k;
        thread::sleep(Duration::from_secs_f64(first / 1e3));
        if is_fatal && !runner.begins {
            runner.note(&format!("crash {id} after {first:.1} ms"));
            std::process::exit(1);
        }
        let run = runner.runs.fetch_add(1, Ordering::Relaxed);
        let model = header(&head, "model").unwrap_or_default();
        runner.note(&format!("runs {id} {model}"));
        let from: u64 = header(&head, "last-event-id").and_then(|l| l.parse().ok()).unwrap_or(0);
        let marks = format!("Request-Id: {id}\r\nResponse-Seal: {}.{run}\r\n", runner.id);
        if prefix.is_empty() {
            let body = "{\"ok\":true}";
            let text = format!("HTTP/1.1 200 OK\r\n{marks}Content-Length: {}\r\n\r\n{body}", body.len());
            stream.write_all(text.as_bytes())?;
            continue;
        }
        // A small model is not sure of its answer to a hard question.
        let is_hard = body.starts_with(b"hard") && model == runner.small;
        let confidence = if is_hard { 5 } else { 95 };
        let text = format!(
            "HTTP/1.1 200 OK\r\n{marks}Confidence: {confidence}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(text.as_bytes())?;
        for event in from + 1..=runner.events {
            if event > from + 1 {
                thread::sleep(Duration::from_secs_f64(runner.step_ms * runner.stride / 1e3));
            }
            let event = format!("id: {event}\ndata: piece {event}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if is_fatal {
                thread::sleep(Duration::from_secs_f64(runner.step_ms / 1e3));
                runner.note(&format!("crash {id}, {first:.1} ms and a step after it was read"));
                std::process::exit(1);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        runner.note(&format!("done {id}"));
    }
    Ok(())
}
