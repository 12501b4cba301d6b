//! Stand-ins for the cases in `review/`: runners, clients and the operator on loopback,
//! around the project's own programs. Standard library only.

mod case_parts;
mod fleet;
mod http;
mod runner;

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let code = match args.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["runner", rest @ ..] => runner::main(rest),
        ["parts", folder] => case_parts::main(folder),
        _ => {
            eprintln!("usage: review_standin parts FOLDER");
            2
        }
    };
    std::process::exit(code);
}
