//! The entry daemon.

fn main() -> std::process::ExitCode {
    sesamebeam::daemon::entry_main()
}
