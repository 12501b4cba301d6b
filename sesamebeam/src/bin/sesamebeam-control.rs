//! The control daemon.

fn main() -> std::process::ExitCode {
    sesamebeam::daemon::control_main()
}
