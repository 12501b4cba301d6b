//! What each role needs at a size, worked out from measured slopes.

mod model;
mod size;
mod table;

use std::path::PathBuf;

use pico_args::Arguments;
use thiserror::Error;

pub use self::{
    model::{
        Limit,
        Quantity,
        Row,
        rows, //
    },
    size::{
        Size,
        TODAY,
        TWO_YEARS, //
    },
    table::table,
};
use crate::slopes::{
    SlopeError,
    Slopes, //
};

const HELP: &str = "\
sesamebeam-bench capacity - works out what each role needs

SYNOPSIS
    sesamebeam-bench capacity [--slopes FILE] [--keyed SHARE]

DESCRIPTION
    Prints a table for the size in two years and for the sizes of today, from
    slopes that `load` and `commit` have stored. A figure over its limit is
    marked, with the change that brings it under.

OPTIONS
    --slopes FILE   Measured slopes. Default docs/slopes.toml.
    --keyed SHARE   Share of requests that run at most once. Default 0.05: the
                    letter gives none.
    -h, --help      Prints this page.
";

/// Why the table cannot be printed.
#[derive(Debug, Error)]
pub enum CapacityError {
    /// A typing error.
    #[error(transparent)]
    Args(#[from] pico_args::Error),
    /// An argument that is not known.
    #[error("unknown argument `{0}`; see --help")]
    Extra(String),
    /// A slope is missing.
    #[error(transparent)]
    Slopes(#[from] SlopeError),
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails at a typing error, or if a slope was not measured.
pub fn run(mut args: Arguments) -> Result<(), CapacityError> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(());
    }
    let path: Option<PathBuf> = args.opt_value_from_str("--slopes")?;
    let keyed: Option<f64> = args.opt_value_from_str("--keyed")?;
    if let Some(extra) = args.finish().first() {
        return Err(CapacityError::Extra(extra.to_string_lossy().into_owned()));
    }
    let slopes = Slopes::read(&path.unwrap_or_else(|| "docs/slopes.toml".into()))?;
    for size in std::iter::once(TWO_YEARS).chain(TODAY) {
        let size = Size {
            keyed: keyed.unwrap_or(size.keyed),
            ..size
        };
        println!("{}", table(&size, &rows(&size, &slopes)?));
    }
    Ok(())
}
