//! Load generator, policy replay and capacity table.

mod policy;

use std::process::ExitCode;

const HELP: &str = "\
sesamebeam-bench - measures sesamebeam

USAGE:
    sesamebeam-bench SUBCOMMAND [OPTIONS]

SUBCOMMANDS:
    policy    replays one entry's decisions in virtual time

    SUBCOMMAND --help tells its options.
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand() {
        Ok(Some(name)) => match name.as_str() {
            "policy" => policy::run(args).map_err(|error| error.to_string()),
            other => Err(format!("unknown subcommand `{other}`")),
        },
        Ok(None) => {
            print!("{HELP}");
            Ok(())
        }
        Err(error) => Err(error.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sesamebeam-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
