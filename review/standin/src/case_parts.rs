//! One part of a prompt crashes each runner that begins to write an answer on it.

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{end_with_us, unix_ms, Fleet, Record, CONTROL, FRONT},
    http,
};

const RUNNERS: u8 = 9;
/// Time for which a crashed runner is away.
const AWAY: Duration = Duration::from_secs(3);
const CONTACT_MS: f64 = 3000.0;
const FATAL: &str = "bad0";
/// Sound requests alone, then both.
const CALM: Duration = Duration::from_secs(12);
const TROUBLE: Duration = Duration::from_secs(35);
/// Pause between sound requests, and between those with the part.
const SOUND_EVERY: Duration = Duration::from_millis(100);
const FATAL_EVERY: Duration = Duration::from_millis(300);

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"draft","host":"desk.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":20000,
  "target_latency_ms":1500,"priority":0,"service":"pool","max_attempts":3,"allow_anonymous":false,
  "session_affinity":true,"stream_resume":true,"gap_aim_ms":1000}],
 "services":[{"name":"pool","health_path":"/health","max_connections":500,"protocol":"h1","tls":false,
  "engine":{"slots":96,"kv_capacity":559528,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,
  "backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
  "models":[{"name":"m0","cost":0.017}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"quay","api_keys":["k1"],"priority":1}]}"#;

struct Sound {
    at_ms: f64,
    begun: bool,
}

pub fn main(folder: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match Record::create(folder) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("record.txt: {e}");
            return 2;
        }
    };
    match run(&record, trouble) {
        Ok(broken) => i32::from(broken),
        Err(e) => {
            record.line(&format!("could not run: {e}"));
            eprintln!("could not run: {e}");
            2
        }
    }
}

fn run(record: &Arc<Record>, trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(2)?;
    fleet.order("PUT", "/config", CONFIG)?;
    fleet.wait_ready()?;
    let logs = fleet.folder.join("runners");
    fs::create_dir_all(&logs).map_err(|e| e.to_string())?;
    let stop = Arc::new(AtomicBool::new(false));
    let controls: Vec<String> = fleet.controls.iter().map(|c| c.addr(CONTROL).to_string()).collect();
    let keepers: Vec<_> = (0..RUNNERS)
        .map(|n| {
            let address = format!("{}:8120", fleet.ip(100 + n));
            let (logs, controls, stop) = (logs.clone(), controls.join(","), Arc::clone(&stop));
            thread::spawn(move || keep_runner(n, &address, &controls, &logs, &stop))
        })
        .collect();
    // The entries learn of the runners, and the replicas count the entries.
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = fleet.entries.iter().map(|e| e.addr(FRONT)).collect();
    let sound: Arc<Mutex<Vec<Sound>>> = Arc::default();
    let counter = Arc::new(AtomicU64::new(0));
    let began = Instant::now();
    let trouble_from = began + CALM;
    let until = trouble_from + TROUBLE;
    let mut asked = Vec::new();
    let (mut next_sound, mut next_fatal) = (began, trouble_from);
    let mut trouble_from_ms = f64::MAX;
    while Instant::now() < until {
        let now = Instant::now();
        if now >= next_sound {
            next_sound += SOUND_EVERY;
            asked.push(ask(record, &fronts, &counter, false, &sound));
        }
        if now >= next_fatal {
            next_fatal += FATAL_EVERY;
            trouble_from_ms = trouble_from_ms.min(unix_ms());
            if trouble {
                asked.push(ask(record, &fronts, &counter, true, &sound));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    let until_ms = unix_ms();
    for asked in asked {
        let _ = asked.join();
    }
    stop.store(true, Ordering::Relaxed);
    for keeper in keepers {
        let _ = keeper.join();
    }
    let lines = collect(&logs, record);
    let sound = sound.lock().map_err(|e| e.to_string())?;
    Ok(judge(record, &lines, &sound, trouble_from_ms, until_ms))
}

/// Runs a runner, and another one at its place some seconds after each crash.
fn keep_runner(n: u8, address: &str, controls: &str, logs: &Path, stop: &AtomicBool) {
    let program = std::env::current_exe().unwrap_or_else(|_| PathBuf::from("review_standin"));
    for life in 0.. {
        let log = logs.join(format!("{n}.txt"));
        let zone = ["hall-petrzalka", "hall-ruzinov", "hall-devin"][usize::from(n) % 3];
        let started = end_with_us(&mut Command::new(&program))
            .arg("runner")
            .arg(format!("id=i-{n:02}-{life}"))
            .arg("service=pool")
            .arg(format!("zone={zone}"))
            .arg(format!("address={address}"))
            .arg(format!("controls={controls}"))
            .arg(format!("fatal={FATAL}"))
            .arg(format!("begins={}", std::env::var("BEGINS").unwrap_or_else(|_| "1".to_owned())))
            .arg(format!("first={}", std::env::var("FIRST_MS").unwrap_or_else(|_| "31".to_owned())))
            .arg(format!("log={}", log.display()))
            .stdin(Stdio::null())
            .spawn();
        let Ok(mut child) = started else {
            return;
        };
        if !wait_end(&mut child, stop) {
            return;
        }
        let back = Instant::now() + AWAY;
        while Instant::now() < back {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Waits until a runner has ended by itself. Returns `false` if it was stopped instead.
fn wait_end(child: &mut Child, stop: &AtomicBool) -> bool {
    loop {
        if let Ok(Some(_)) = child.try_wait() {
            return true;
        }
        if stop.load(Ordering::Relaxed) {
            let _ = child.kill();
            let _ = child.wait();
            return false;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Sends a request at one of the entries, in turn.
fn ask(
    record: &Arc<Record>,
    fronts: &[std::net::SocketAddr],
    counter: &Arc<AtomicU64>,
    fatal: bool,
    sound: &Arc<Mutex<Vec<Sound>>>,
) -> thread::JoinHandle<()> {
    let n = counter.fetch_add(1, Ordering::Relaxed);
    let front = fronts[n as usize % fronts.len()];
    let id = format!("{}-{n}", if fatal { "bad" } else { "ok" });
    // Shared, then the part, then the request's own.
    let middle = if fatal { FATAL } else { "c3" };
    let prefix = format!("a1:148,b2:50,{middle}:50,{:x}:150", 0x1000_0000 + n);
    let body = format!("question {n}");
    let request = format!(
        "POST /draft/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nCredential: k1\r\n\
         Model: m0\r\nToken-Counts: 398,48\r\nPrompt-Prefix: {prefix}\r\nDeadline-Ms: 20000\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let (record, sound) = (Arc::clone(record), Arc::clone(sound));
    thread::spawn(move || {
        let at_ms = unix_ms();
        record.line(&format!("sent {id} to {front}"));
        let answer = http::exchange(front, request.as_bytes(), Duration::from_secs(20));
        let begun = answer.text().contains("data: ");
        record.line(&format!(
            "answered {id}: status {} {}, {} events, {}",
            answer.status(),
            answer.end,
            answer.text().matches("data: ").count(),
            answer.body().lines().next().unwrap_or_default()
        ));
        if !fatal {
            if let Ok(mut sound) = sound.lock() {
                sound.push(Sound { at_ms, begun });
            }
        }
    })
}

/// Reads what the runners wrote, into the record too, in order.
pub fn collect(logs: &Path, record: &Record) -> Vec<(f64, String)> {
    let mut lines = Vec::new();
    for entry in fs::read_dir(logs).into_iter().flatten().flatten() {
        for line in fs::read_to_string(entry.path()).unwrap_or_default().lines() {
            if let Some((ms, text)) = line.split_once(' ') {
                lines.push((ms.parse().unwrap_or(0.0), text.to_owned()));
            }
        }
    }
    lines.sort_by(|a: &(f64, String), b| a.0.total_cmp(&b.0));
    for (ms, text) in &lines {
        record.line_at(*ms, &format!("runner {text}"));
    }
    lines
}

fn judge(record: &Record, lines: &[(f64, String)], sound: &[Sound], from_ms: f64, until_ms: f64) -> bool {
    let crashes: Vec<f64> = lines.iter().filter(|l| l.1.contains(" crash ")).map(|l| l.0).collect();
    let share = |from: f64, to: f64| {
        let of: Vec<&Sound> = sound.iter().filter(|s| s.at_ms >= from && s.at_ms < to).collect();
        let begun = of.iter().filter(|s| s.begun).count();
        (begun, of.len())
    };
    let (calm_begun, calm) = share(0.0, from_ms);
    record.line(&format!("judged: {} crashes; calm: {calm_begun} of {calm} sound requests began", crashes.len()));
    let counted = crashes.get(4).or(crashes.last()).copied().unwrap_or(from_ms);
    let reached = |from: f64| {
        lines.iter().filter(|l| l.0 > from && l.1.contains(" reached ") && l.1.ends_with(" fatal")).count()
    };
    let late = reached(counted + CONTACT_MS);
    let (begun, all) = share(counted + 2.0 * CONTACT_MS, until_ms);
    record.line(&format!(
        "judged: {late} requests with the part reached runners later than contact_ms after the fifth crash (3 allowed)"
    ));
    record.line(&format!(
        "judged: {begun} of {all} sound requests began from 2 x contact_ms after it (half as often as before is the least)"
    ));
    let before = calm_begun as f64 / calm.max(1) as f64;
    let during = begun as f64 / all.max(1) as f64;
    let lost = calm >= 20 && all >= 20 && during < before / 2.0;
    let budget = late > 3 && crashes.len() >= 5;
    record.line(&format!("judged: LOST {lost}, BUDGET {budget}"));
    println!("{} crashes, {late} late, sound {calm_begun}/{calm} then {begun}/{all}: LOST {lost}, BUDGET {budget}", crashes.len());
    // The claim names LOST; BUDGET is only reported.
    lost
}
