//! The operators' command line; for now only `dev`.

use std::process::ExitCode;

use sesamebeam::dev::{
    self,
    DevOptions, //
};

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let once = args.contains("--once");
    let ended = tokio::runtime::Runtime::new()
        .map_err(dev::DevError::from)
        .and_then(|runtime| runtime.block_on(dev::run(DevOptions { once })));
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("sesamebeam: {e}");
            ExitCode::FAILURE
        }
    }
}
