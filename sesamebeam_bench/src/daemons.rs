//! Daemons as processes beside the bench.

use std::{
    collections::BTreeMap,
    env, fs, io,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        Stdio, //
    },
    time::Duration,
};

use sesamebeam::{
    local::{
        LocalError,
        LocalPlan,
        LocalSettings, //
    },
    settings::{
        ControlSettings,
        EntrySettings, //
    },
};
use sesamebeam_core::ids::NodeId;
use tempfile::TempDir;
use thiserror::Error;

use crate::process;

/// Why daemons could not be started or looked at.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// Settings or keys cannot be made.
    #[error(transparent)]
    Local(#[from] LocalError),
    /// The operating system refuses.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Settings cannot be written.
    #[error(transparent)]
    Settings(#[from] toml::ser::Error),
    /// A program does not stand beside the bench.
    #[error("{0} is not there; build it with `cargo build --release -p sesamebeam`")]
    Missing(PathBuf),
    /// No process has this name.
    #[error("no process named {0} runs")]
    Unknown(String),
}

/// A fleet of processes, killed when dropped.
pub struct Daemons {
    /// Settings of its parts.
    pub settings: LocalSettings,
    root: TempDir,
    children: BTreeMap<String, Child>,
}

impl Daemons {
    /// Makes settings, keys and folders, and starts nothing.
    ///
    /// # Errors
    ///
    /// Fails if they cannot be made under `data`.
    pub fn make(plan: &LocalPlan, data: &Path) -> Result<Self, DaemonError> {
        let root = TempDir::new_in(data)?;
        let settings = LocalSettings::make(plan, root.path())?;
        Ok(Self {
            settings,
            root,
            children: BTreeMap::new(),
        })
    }

    /// Folder of keys, settings, logs and data.
    pub fn root(&self) -> &Path {
        self.root.path()
    }

    /// Starts every control replica with a new folder, and every entry.
    ///
    /// # Errors
    ///
    /// Fails if a program is missing or does not start.
    pub fn start_all(&mut self) -> Result<(), DaemonError> {
        for control in self.settings.controls.clone() {
            self.start_control(&control, true)?;
        }
        for entry in self.settings.entries.clone() {
            self.start_entry(&entry)?;
        }
        Ok(())
    }

    /// Starts a control replica, with a new folder if `init`.
    ///
    /// # Errors
    ///
    /// Fails if the program is missing or does not start.
    pub fn start_control(
        &mut self,
        settings: &ControlSettings,
        init: bool,
    ) -> Result<(), DaemonError> {
        let name = control_name(settings.node);
        let file = self.write(&name, settings)?;
        let mut command = Command::new(program("sesamebeam-control")?);
        command.arg("--settings").arg(file);
        if init {
            command.arg("--init");
        }
        self.spawn(name, command)
    }

    /// Starts an entry.
    ///
    /// # Errors
    ///
    /// Fails if the program is missing or does not start.
    pub fn start_entry(&mut self, settings: &EntrySettings) -> Result<(), DaemonError> {
        let name = settings.instance.to_string();
        let file = self.write(&name, settings)?;
        let mut command = Command::new(program("sesamebeam-entry")?);
        command.arg("--settings").arg(file);
        self.spawn(name, command)
    }

    /// Kills a process and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn kill(&mut self, name: &str) -> Result<(), DaemonError> {
        let mut child = self
            .children
            .remove(name)
            .ok_or_else(|| DaemonError::Unknown(name.to_owned()))?;
        child.kill()?;
        child.wait()?;
        Ok(())
    }

    /// Returns the processor time that a process has used.
    ///
    /// # Errors
    ///
    /// Fails if it does not run.
    pub fn processor_time(&self, name: &str) -> Result<Duration, DaemonError> {
        Ok(process::processor_time(self.pid(name)?)?)
    }

    /// Returns the memory that a process has resident, in bytes.
    ///
    /// # Errors
    ///
    /// Fails if it does not run.
    pub fn resident(&self, name: &str) -> Result<u64, DaemonError> {
        Ok(process::resident(self.pid(name)?)?)
    }

    /// Reads what a process has logged.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be read.
    pub fn log(&self, name: &str) -> Result<String, DaemonError> {
        Ok(fs::read_to_string(self.log_file(name))?)
    }

    fn pid(&self, name: &str) -> Result<u32, DaemonError> {
        self.children
            .get(name)
            .map(Child::id)
            .ok_or_else(|| DaemonError::Unknown(name.to_owned()))
    }

    fn log_file(&self, name: &str) -> PathBuf {
        self.root.path().join(format!("{name}.log"))
    }

    fn write(&self, name: &str, settings: &impl serde::Serialize) -> Result<PathBuf, DaemonError> {
        let file = self.root.path().join(format!("{name}.toml"));
        fs::write(&file, toml::to_string(settings)?)?;
        Ok(file)
    }

    fn spawn(&mut self, name: String, mut command: Command) -> Result<(), DaemonError> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.log_file(&name))?;
        let child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children.insert(name, child);
        Ok(())
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            // One that has ended by itself cannot be killed; that is fine.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Name of a control replica's process.
pub fn control_name(node: NodeId) -> String {
    format!("control-{node}")
}

/// Finds a program beside the bench's own.
fn program(name: &str) -> Result<PathBuf, DaemonError> {
    let path = env::current_exe()?.with_file_name(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(DaemonError::Missing(path))
    }
}
