//! Measured slopes, kept in a file that the capacity table is worked out from.

use std::{
    collections::BTreeMap,
    fs, io,
    path::{
        Path,
        PathBuf, //
    },
};

use serde::{
    Deserialize,
    Serialize, //
};
use thiserror::Error;

use crate::machine::Machine;

/// Why slopes cannot be read, written or found.
#[derive(Debug, Error)]
pub enum SlopeError {
    /// The file cannot be read or written.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file is not one of slopes.
    #[error("{path}: {source}")]
    Syntax {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        source: Box<toml::de::Error>,
    },
    /// The slopes cannot be written as TOML.
    #[error(transparent)]
    Write(#[from] toml::ser::Error),
    /// No slope has this name.
    #[error("no slope `{0}`; measure it first")]
    Missing(String),
}

/// One measured slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    /// Value in `unit`.
    pub value: f64,
    /// Unit, such as `s/request`.
    pub unit: String,
    /// What it is the cost of.
    pub of: String,
    /// Command that gave it.
    pub command: String,
    /// Where it was measured.
    pub machine: Machine,
}

/// Measured slopes by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// The slopes.
    #[serde(default)]
    pub slope: BTreeMap<String, Slope>,
}

impl Slopes {
    /// Reads a file; a file that is not there has none.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not one of slopes.
    pub fn read(path: &Path) -> Result<Self, SlopeError> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(source) => {
                return Err(SlopeError::Io {
                    path: path.to_path_buf(),
                    source,
                });
            }
        };
        toml::from_str(&text).map_err(|source| SlopeError::Syntax {
            path: path.to_path_buf(),
            source: Box::new(source),
        })
    }

    /// Writes a file.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), SlopeError> {
        fs::write(path, toml::to_string(self)?).map_err(|source| SlopeError::Io {
            path: path.to_path_buf(),
            source,
        })
    }

    /// Returns the value of a slope.
    ///
    /// # Errors
    ///
    /// Fails if it was not measured.
    pub fn value(&self, name: &str) -> Result<f64, SlopeError> {
        self.slope
            .get(name)
            .map(|slope| slope.value)
            .ok_or_else(|| SlopeError::Missing(name.to_owned()))
    }

    /// Takes measured values over those of before.
    pub fn take(&mut self, found: Vec<Found>, command: &str, machine: &Machine) {
        for found in found {
            let slope = Slope {
                value: significant(found.value),
                unit: found.unit.to_owned(),
                of: found.of.to_owned(),
                command: command.to_owned(),
                machine: machine.clone(),
            };
            self.slope.insert(found.name.to_owned(), slope);
        }
    }
}

/// A value that a run gave.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// Name.
    pub name: &'static str,
    /// Value in `unit`.
    pub value: f64,
    /// Unit.
    pub unit: &'static str,
    /// What it is the cost of.
    pub of: &'static str,
}

impl Found {
    /// Makes one.
    pub fn new(name: &'static str, value: f64, unit: &'static str, of: &'static str) -> Self {
        Self {
            name,
            value,
            unit,
            of,
        }
    }
}

/// Cuts a value to four digits: the rest is noise.
fn significant(value: f64) -> f64 {
    format!("{value:.3e}").parse().unwrap_or(value)
}

/// Takes what a run gave into the file, if one is named, and says so.
///
/// # Errors
///
/// Fails if the file cannot be read or written.
pub fn store(path: Option<&Path>, found: Vec<Found>, command: &str) -> Result<(), SlopeError> {
    let machine = Machine::look();
    println!("\n{machine}");
    let Some(path) = path else {
        return Ok(());
    };
    let mut slopes = Slopes::read(path)?;
    let count = found.len();
    slopes.take(found, command, &machine);
    slopes.write(path)?;
    println!("{count} slopes stored in {}", path.display());
    Ok(())
}
