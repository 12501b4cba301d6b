//! Stand-ins for the cases in `review/`: runners, clients and the operator on loopback,
//! around the project's own programs. Standard library only.

mod case_parts;
mod case_sizes;
mod fleet;
mod http;
mod runner;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["runner", rest @ ..] => runner::main(rest),
        ["stay"] => stay(),
        ["parts", folder] => case_parts::main(folder),
        ["sizes", folder] => case_sizes::main(folder),
        _ => {
            eprintln!("usage: review_standin parts | sizes FOLDER");
            2
        }
    };
    std::process::exit(code);
}

/// Starts the programs, prints where they listen, and ends when its input does.
fn stay() -> i32 {
    let fleet = match fleet::Fleet::start(2) {
        Ok(fleet) => fleet,
        Err(e) => {
            eprintln!("{e}");
            return 2;
        }
    };
    for process in fleet.controls.iter().chain(&fleet.entries) {
        println!("{} {} {}", process.name, process.ip, process.child.id());
    }
    println!("net {}", fleet.ip(0));
    let _ = std::io::Read::read_to_end(&mut std::io::stdin(), &mut Vec::new());
    0
}
