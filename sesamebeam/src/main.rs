//! The `sesamebeam` command-line tool for operators.

use std::{
    env,
    io,
    process::ExitCode, //
};

fn main() -> ExitCode {
    let args = env::args_os().skip(1);
    sesamebeam::cli::run(args, &mut io::stdout(), &mut io::stderr()).into()
}
