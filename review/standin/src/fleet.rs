//! The project's programs as separate processes, as `deploy/system.toml` starts them, with
//! settings like those of a small deployment.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Mutex,
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http;

pub const FRONT: u16 = 8227;
pub const READY: u16 = 8220;
pub const CONTROL: u16 = 8229;
const INTERNAL: [u16; 2] = [7340, 7355];
const METRICS: u16 = 9102;
const PROGRAM: &str = "target/release/sesamebeam-platform";

/// Milliseconds since the epoch.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |d| d.as_secs_f64() * 1e3)
}

/// What is written to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
    start_ms: f64,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self { file: Mutex::new(file), start: Instant::now(), start_ms: unix_ms() })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.4} {text}");
        }
    }

    /// Writes a line with a time of its own, given in milliseconds since the epoch.
    pub fn line_at(&self, ms: f64, text: &str) {
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:9.4} {text}", (ms - self.start_ms) / 1e3);
        }
    }
}

/// A process of the project.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    pub child: Child,
}

impl Process {
    pub fn addr(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Everything that was started.
pub struct Fleet {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub net: [u8; 3],
    pub folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.controls.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

const ZONES: [&str; 3] = ["hall-petrzalka", "hall-ruzinov", "hall-devin"];

impl Fleet {
    /// Starts three core machines and some entries.
    pub fn start(entries: u8) -> Result<Self, String> {
        if !Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is missing: build the deploy file first"));
        }
        let net = free_net().ok_or("no free loopback addresses")?;
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut fleet = Self { controls: Vec::new(), entries: Vec::new(), net, folder };
        for n in 1..=3 {
            let process = fleet.launch("control", n, true)?;
            fleet.controls.push(process);
        }
        for n in 1..=entries {
            let process = fleet.launch("entry", 20 + n, true)?;
            fleet.entries.push(process);
        }
        Ok(fleet)
    }

    pub fn ip(&self, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(self.net[0], self.net[1], self.net[2], n)
    }

    /// Starts one process. The core machines are 1 to 3, the entries 21 and so on.
    pub fn launch(&self, role: &'static str, n: u8, bootstrap: bool) -> Result<Process, String> {
        let ip = self.ip(n);
        let class = if role == "entry" { "front" } else { "core" };
        let zone = ZONES[usize::from(n - 1) % 3];
        let name = format!("{class}-{zone}-{n}");
        let home = self.folder.join(&name);
        fs::create_dir_all(home.join("data")).map_err(|e| e.to_string())?;
        let seeds: Vec<String> = (1..=3).map(|n| format!("\"{}:{CONTROL}\"", self.ip(n))).collect();
        let listen = match role {
            "entry" => format!("front = \"{ip}:{FRONT}\"\nready_address = \"{ip}:{READY}\""),
            _ => format!("control = \"{ip}:{CONTROL}\""),
        };
        let data = match role {
            "entry" => String::new(),
            _ => format!("data_dir = \"{}\"\n", home.join("data").display()),
        };
        let serves = if role == "entry" { "front" } else { "control" };
        let text = format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\nserves = [\"{serves}\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"bratislava\"\n\
             internal_ports = [{}, {}]\nseeds = [{}]\nbootstrap = {bootstrap}\nin_tolerance = {}\n\
             discovery = \"registration\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"rollout\"]\n\
             config_mode = \"highest\"\n{data}[zones]\nhall-petrzalka = \"bratislava\"\n\
             hall-ruzinov = \"bratislava\"\nhall-devin = \"bratislava\"\n[listen]\n{listen}\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 256\nmax_fds = 4200\nlink_mbps = 1000.0\ndisk_mb = {}\n\
             [fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n\
             downgrade_slack_ms = 250\nmax_stretch_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\n\
             retry_budget_ratio = 0.9\nbudget_window_s = 10\nbudget_slack = 56\nexposure_share = 0.15\n\
             exposure_slack = 30\nrollback_ms = 5000\nrecovery_s = 12\npass_ms = 120\nagain_s = 8.6\nsession_s = 5\n",
            INTERNAL[0],
            INTERNAL[1],
            seeds.join(","),
            role != "entry",
            if role == "entry" { 0 } else { 128 },
        );
        let settings = home.join("local.toml");
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = home.join("log.txt");
        let child = spawn(role, &settings, &log).map_err(|e| e.to_string())?;
        Ok(Process { name, ip, child })
    }

    /// Calls the daemons that serve control until one says yes.
    pub fn order(&self, method: &str, path: &str, body: &str) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for at in 0.. {
            let control = &self.controls[at % self.controls.len()];
            if http::call(control.addr(CONTROL), method, path, body).status() == 200 {
                return Ok(());
            }
            if Instant::now() > until {
                break;
            }
            sleep(Duration::from_millis(200));
        }
        Err(format!("{method} {path} was never acknowledged"))
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        for entry in &self.entries {
            let ask = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            while http::exchange(entry.addr(READY), ask, Duration::from_secs(1)).status() != 200 {
                if Instant::now() > until {
                    return Err(format!("{} is not ready", entry.name));
                }
                sleep(Duration::from_millis(100));
            }
        }
        Ok(())
    }
}

extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Has a process end when the thread that starts it ends, however that happens.
pub fn end_with_us(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the system call concerns the new process alone and allocates nothing.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

fn spawn(role: &str, settings: &Path, log: &Path) -> std::io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    end_with_us(&mut Command::new(PROGRAM))
        .args([role, "--metrics-port", &METRICS.to_string()])
        .env("SESAMEBEAM_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stderr(out.try_clone()?)
        .stdout(out)
        .spawn()
}

/// Returns the start of loopback addresses at which nobody listens on the ports needed.
fn free_net() -> Option<[u8; 3]> {
    let seed = std::process::id() ^ (unix_ms() as u64 as u32);
    (0..50u32).find_map(|n| {
        let mixed = (seed.wrapping_add(n)).wrapping_mul(2_654_435_761);
        let [_, b, c, _] = mixed.to_be_bytes();
        let net = [127, 20 + b % 200, c];
        let free = (1..=40u8).all(|last| {
            let ip = Ipv4Addr::new(net[0], net[1], net[2], last);
            [FRONT, READY, CONTROL, INTERNAL[0], INTERNAL[1], METRICS]
                .iter()
                .all(|&port| TcpListener::bind((ip, port)).is_ok())
        });
        free.then_some(net)
    })
}
