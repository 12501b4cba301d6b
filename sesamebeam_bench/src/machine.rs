//! What a figure must be read with: cores, load and commit.

use std::{
    fmt,
    fs,
    process::Command,
    thread, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Where and when a figure was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Cores that the bench may use.
    pub cores: usize,
    /// Load average of the last minute, at the end of the run: other work on
    /// the machine makes a figure larger.
    pub load_average: f64,
    /// Commit that was measured, with `+` behind it if files were changed.
    pub commit: String,
}

impl Machine {
    /// Looks at the machine.
    pub fn look() -> Self {
        Self {
            cores: thread::available_parallelism().map_or(1, usize::from),
            load_average: load_average(),
            commit: commit(),
        }
    }
}

impl fmt::Display for Machine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "commit {}, {} cores, load average {:.1}",
            self.commit, self.cores, self.load_average
        )
    }
}

fn load_average() -> f64 {
    fs::read_to_string("/proc/loadavg")
        .ok()
        .and_then(|text| text.split(' ').next()?.parse().ok())
        .unwrap_or(f64::NAN)
}

fn commit() -> String {
    let Some(head) = git(&["rev-parse", "--short", "HEAD"]) else {
        return "unknown".to_owned();
    };
    let changed = git(&["status", "--porcelain", "--untracked-files=no"]);
    let mark = if changed.is_none_or(|c| c.is_empty()) {
        ""
    } else {
        "+"
    };
    format!("{head}{mark}")
}

fn git(args: &[&str]) -> Option<String> {
    let out = Command::new("git").args(args).output().ok()?;
    let text = String::from_utf8(out.stdout).ok()?;
    out.status.success().then(|| text.trim().to_owned())
}
