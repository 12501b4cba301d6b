//! `sesamebeam-soak`: randomized faults on the real daemons.

use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
};

use sesamebeam_soak::{
    run,
    schedule::Schedule, //
};

const USAGE: &str = "usage: sesamebeam-soak [options]

  --seed N        first seed (default: drawn)
  --count N       seeds to play, one after the other (default 1)
  --seconds N     length of the faults of each (default 6)
  --brittle       has backend servers that go down under rejections
  --crowds        has most new connections come to one entry, over narrow links
  --held          has backend servers that fail requests and at times read nothing
  --bursts        the same, with callers in bursts and entries that restart in series
  --fatal         has backend servers that go down under a part of prompts, early or late
  --lost-disks N  has replicas lose their disks N times under a large configuration
  --schedule FILE plays a schedule instead of seeds
  --print         prints the schedules and plays nothing
  --program FILE  the daemons (default: sesamebeam-platform beside this program)
  --slot N        second part of the loopback addresses, 16 to 250 (default 16)
  --logs FOLDER   where logs of failed runs go (default: soak-logs)
";

/// Exit code for a wrong command line, as for the other programs.
const USAGE_CODE: u8 = 2;

struct Options {
    schedules: Vec<Schedule>,
    print: bool,
    program: PathBuf,
    slot: u8,
    logs: PathBuf,
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) => options,
        Err(why) => {
            eprint!("{why}\n\n{USAGE}");
            return USAGE_CODE.into();
        }
    };
    let rt = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    match rt {
        Ok(rt) => rt.block_on(play(&options)),
        Err(e) => {
            eprintln!("no runtime: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn play(options: &Options) -> ExitCode {
    let mut failed = 0;
    for schedule in &options.schedules {
        if options.print {
            println!("{}", schedule.text());
            continue;
        }
        let logs = options.logs.join(format!("seed-{}", schedule.seed));
        if !play_one(options, schedule, &logs).await {
            failed += 1;
        }
    }
    if !options.print {
        println!(
            "{} passed, {failed} failed",
            options.schedules.len() - failed
        );
    }
    if failed > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}

async fn play_one(options: &Options, schedule: &Schedule, logs: &Path) -> bool {
    let played = run::run(&options.program, options.slot, schedule, Some(logs)).await;
    match played {
        Ok(verdict) => {
            println!(
                "seed {}: {} answered, {} not, {} promises broken",
                schedule.seed,
                verdict.answered,
                verdict.failed,
                verdict.broken.len()
            );
            for line in verdict.broken.iter().take(20) {
                println!("  {line}");
            }
            if !verdict.broken.is_empty() {
                println!("{}  logs in {}", schedule.text(), logs.display());
            }
            verdict.broken.is_empty()
        }
        Err(e) => {
            println!("seed {}: not played: {e}", schedule.seed);
            false
        }
    }
}

fn options() -> Result<Options, String> {
    let mut args = pico_args::Arguments::from_env();
    let text = |e: pico_args::Error| e.to_string();
    let seed: Option<u64> = args.opt_value_from_str("--seed").map_err(text)?;
    let count: Option<u64> = args.opt_value_from_str("--count").map_err(text)?;
    let seconds: Option<u64> = args.opt_value_from_str("--seconds").map_err(text)?;
    let file: Option<PathBuf> = args.opt_value_from_str("--schedule").map_err(text)?;
    let program: Option<PathBuf> = args.opt_value_from_str("--program").map_err(text)?;
    let slot: Option<u8> = args.opt_value_from_str("--slot").map_err(text)?;
    let logs: Option<PathBuf> = args.opt_value_from_str("--logs").map_err(text)?;
    let print = args.contains("--print");
    let brittle = args.contains("--brittle");
    let crowds = args.contains("--crowds");
    let held = args.contains("--held");
    let bursts = args.contains("--bursts");
    let fatal = args.contains("--fatal");
    let lost_disks: Option<u64> = args.opt_value_from_str("--lost-disks").map_err(text)?;
    if !args.finish().is_empty() {
        return Err("unknown option".to_owned());
    }
    let slot = slot.unwrap_or(16);
    if !(16..=250).contains(&slot) {
        return Err(format!("--slot is {slot}, which should be from 16 to 250"));
    }
    let schedules = match file {
        Some(file) => vec![Schedule::read(file).map_err(|e| e.to_string())?],
        None => {
            let first = seed.unwrap_or_else(|| rand::random::<u32>().into());
            let length_ms = seconds.unwrap_or(6).saturating_mul(1000);
            let seeds = first..first.saturating_add(count.unwrap_or(1));
            let draw = |seed| Schedule {
                brittle,
                ..match lost_disks {
                    Some(losses) => Schedule::draw_lost_disks(seed, losses),
                    None if bursts => Schedule::draw_bursts(seed),
                    None if held => Schedule::draw_held(seed),
                    None if crowds => Schedule::draw_crowds(seed),
                    None if fatal => Schedule::draw_fatal(seed, length_ms),
                    None => Schedule::draw(seed, length_ms),
                }
            };
            seeds.map(draw).collect()
        }
    };
    Ok(Options {
        schedules,
        print,
        program: program.unwrap_or_else(beside),
        slot,
        logs: logs.unwrap_or_else(|| "soak-logs".into()),
    })
}

/// Returns the daemons' program in the folder of this one.
fn beside() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("sesamebeam-platform")
}
