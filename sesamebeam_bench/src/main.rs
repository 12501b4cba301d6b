//! Load generator, policy replay and capacity table.

mod policy;

use std::process::ExitCode;

use sesamebeam_bench::{
    capacity,
    commit,
    homes,
    load, //
};

const HELP: &str = "\
sesamebeam-bench - measures sesamebeam

USAGE:
    sesamebeam-bench SUBCOMMAND [OPTIONS]

SUBCOMMANDS:
    policy    replays one entry's decisions in virtual time
    load      measures entries under load
    commit    measures the control group
    homes     weighs the ways to home claims
    capacity  works out what each role needs from measured slopes

    SUBCOMMAND --help tells its options.
";

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let result = match args.subcommand() {
        Ok(Some(name)) => match name.as_str() {
            "policy" => policy::run(args).map_err(|error| error.to_string()),
            "load" => load::run(args).map_err(|error| error.to_string()),
            "commit" => commit::run(args).map_err(|error| error.to_string()),
            "homes" => homes::run(args).map_err(|error| error.to_string()),
            "capacity" => capacity::run(args).map_err(|error| error.to_string()),
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
