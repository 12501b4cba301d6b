//! What the operating system tells of a process.

use std::{
    fs,
    io,
    time::Duration, //
};

/// Clock ticks a second in `/proc/PID/stat`: fixed by the kernel's interface
/// towards programs on every usual machine.
const TICKS: u64 = 100;

/// Position of `utime` in `/proc/PID/stat`, counted behind the name.
const UTIME: usize = 11;

/// Returns the processor time that a process has used, in user and kernel mode,
/// with all its threads.
///
/// # Errors
///
/// Fails if there is no such process.
pub fn processor_time(pid: u32) -> io::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    ticks(&stat)
        .map(|ticks| Duration::from_millis(ticks * 1000 / TICKS))
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Reads `utime + stime`. The name of the program may hold spaces and brackets,
/// so the fields are counted from the last bracket.
fn ticks(stat: &str) -> Option<u64> {
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_ascii_whitespace().skip(UTIME);
    let utime: u64 = fields.next()?.parse().ok()?;
    let stime: u64 = fields.next()?.parse().ok()?;
    Some(utime + stime)
}

/// Returns the memory that a process has resident, in bytes.
///
/// # Errors
///
/// Fails if there is no such process.
pub fn resident(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().strip_suffix(" kB"))
        .and_then(|kib| kib.trim().parse::<u64>().ok())
        .map(|kib| kib * 1024)
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}
