//! What the command lines of `load` and `commit` have in common.

use std::{
    path::PathBuf,
    time::Duration, //
};

use pico_args::Arguments;
use thiserror::Error;

/// Seconds that each load is measured unless the command line says otherwise.
const SECONDS: f64 = 4.0;

/// Most seconds that one load is measured: a bench stops by itself.
const MOST_SECONDS: f64 = 600.0;

/// Why a command line is refused.
#[derive(Debug, Error)]
pub enum OptionsError {
    /// A typing error.
    #[error(transparent)]
    Args(#[from] pico_args::Error),
    /// A part or argument that is not known.
    #[error("unknown part or argument `{0}`; see --help")]
    Unknown(String),
}

/// What the command line says.
#[derive(Clone, Debug)]
pub struct Options {
    /// Parts that run; none for all.
    pub only: Vec<String>,
    /// Time that each load is measured.
    pub length: Duration,
    /// Folder for data, on the disk to be measured.
    pub data: PathBuf,
    /// File that the slopes are stored in.
    pub slopes: Option<PathBuf>,
}

impl Options {
    /// Reads a command line whose parts are among `parts`.
    ///
    /// # Errors
    ///
    /// Fails at a typing error, a part or an argument that is not known.
    pub fn parse(mut args: Arguments, parts: &[&str]) -> Result<Self, OptionsError> {
        let only: Option<String> = args.opt_value_from_str("--only")?;
        let only: Vec<String> = only
            .iter()
            .flat_map(|list| list.split(','))
            .map(str::to_owned)
            .collect();
        if let Some(part) = only.iter().find(|part| !parts.contains(&part.as_str())) {
            return Err(OptionsError::Unknown(part.clone()));
        }
        let seconds: Option<f64> = args.opt_value_from_str("--seconds")?;
        let data: Option<PathBuf> = args.opt_value_from_str("--data")?;
        let options = Self {
            only,
            length: Duration::from_secs_f64(seconds.unwrap_or(SECONDS).clamp(1.0, MOST_SECONDS)),
            data: data.unwrap_or_else(std::env::temp_dir),
            slopes: args.opt_value_from_str("--slopes")?,
        };
        match args.finish().first() {
            Some(extra) => Err(OptionsError::Unknown(extra.to_string_lossy().into_owned())),
            None => Ok(options),
        }
    }

    /// Tells whether a part runs.
    pub fn wants(&self, part: &str) -> bool {
        self.only.is_empty() || self.only.iter().any(|only| only == part)
    }
}
