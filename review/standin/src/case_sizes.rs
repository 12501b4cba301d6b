//! A stream that may not be resumed, on a route with models of several sizes.

use std::{
    collections::BTreeMap,
    fs,
    process::{Child, Command, Stdio},
    thread,
    time::Duration,
};

use crate::{
    case_parts::collect,
    fleet::{end_with_us, Fleet, Record, CONTROL, FRONT},
    http,
};

const RUNNERS: u8 = 9;
const REQUESTS: u64 = 60;
const EVERY: Duration = Duration::from_millis(200);

const CONFIG: &str = r#"{"version":7,"routes":[
 {"name":"sign","host":"desk.example","path_prefix":"/sign/","kind":"streaming","timeout_ms":20000,
  "target_latency_ms":1500,"priority":0,"sizes":["m0","m1","m2"],"service":"pool","max_attempts":3,
  "allow_anonymous":false,"session_affinity":true,"stream_resume":false,"gap_aim_ms":1000}],
 "services":[{"name":"pool","health_path":"/health","max_connections":500,"protocol":"h1","tls":false,
  "engine":{"slots":96,"kv_capacity":559528,"kv_token_bytes":18432,"link_mbps":370000.0,"moves":true,
  "backups":true,"stride":6,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,
  "models":[{"name":"m0","cost":0.017},{"name":"m1","cost":0.13},{"name":"m2","cost":0.25}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"quay","api_keys":["k1"],"priority":1}]}"#;

/// Runners, ended with this.
struct Runners(Vec<Child>);

impl Drop for Runners {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub fn main(folder: &str) -> i32 {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match Record::create(folder) {
        Ok(record) => record,
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

fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let fleet = Fleet::start(2)?;
    fleet.order("PUT", "/config", CONFIG)?;
    fleet.wait_ready()?;
    let logs = fleet.folder.join("runners");
    fs::create_dir_all(&logs).map_err(|e| e.to_string())?;
    let controls: Vec<String> = fleet.controls.iter().map(|c| c.addr(CONTROL).to_string()).collect();
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut runners = Runners(Vec::new());
    for n in 0..RUNNERS {
        let child = end_with_us(&mut Command::new(&program))
            .arg("runner")
            .arg(format!("id=i-{n:02}"))
            .arg("service=pool")
            .arg(format!("zone={}", ["hall-petrzalka", "hall-ruzinov", "hall-devin"][usize::from(n) % 3]))
            .arg(format!("address={}:8120", fleet.ip(100 + n)))
            .arg(format!("controls={}", controls.join(",")))
            .arg("small=m0")
            .arg(format!("log={}", logs.join(format!("{n}.txt")).display()))
            .stdin(Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())?;
        runners.0.push(child);
    }
    thread::sleep(Duration::from_secs(6));
    for n in 0..REQUESTS {
        let front = fleet.entries[n as usize % fleet.entries.len()].addr(FRONT);
        let id = format!("q-{n}");
        let kind = if trouble && n % 3 == 0 { "hard" } else { "easy" };
        let body = format!("{kind} question {n}");
        let request = format!(
            "POST /sign/{n} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nCredential: k1\r\n\
             Model: *\r\nToken-Counts: 398,48\r\nPrompt-Prefix: a1:148,b2:50,{:x}:200\r\n\
             Deadline-Ms: 20000\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            0x2000_0000 + n,
            body.len()
        );
        record.line(&format!("sent {id} ({kind}) to {front}"));
        let answer = http::exchange(front, request.as_bytes(), Duration::from_secs(5));
        record.line(&format!(
            "answered {id}: status {} {}, {} events",
            answer.status(),
            answer.end,
            answer.text().matches("data: ").count()
        ));
        thread::sleep(EVERY);
    }
    drop(runners);
    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (_, line) in collect(&logs, record) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let [server, "runs", id, model] = words.as_slice() {
            runs.entry((*id).to_owned()).or_default().push(format!("{server} {model}"));
        }
    }
    let twice: Vec<_> = runs.iter().filter(|(_, at)| at.len() > 1).collect();
    for (id, at) in &twice {
        record.line(&format!("judged: {id} ran {} times: {}", at.len(), at.join(", ")));
    }
    record.line(&format!("judged: TWICE {}, {} of {} requests", !twice.is_empty(), twice.len(), runs.len()));
    println!("{} of {} requests ran more than once: TWICE {}", twice.len(), runs.len(), !twice.is_empty());
    Ok(!twice.is_empty())
}
