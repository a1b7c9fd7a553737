//! The cases of the second review: `cases NAME FOLDER` runs one, and writes `record.txt` into its folder.
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod common;
mod cutoff;
mod ended;
mod foreign;
mod halfway;
mod left;
mod longlist;
mod omitted;
mod pipelined;
mod platform;
mod queued;
mod sru;

use common::{Record, Run, Verdict};
use std::path::PathBuf;
use std::time::Duration;

/// Time after which a run is given up, seconds.
const TIME_LIMIT: u64 = 110;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(TIME_LIMIT));
        eprintln!("the run took too long");
        std::process::exit(2);
    });
    std::process::exit(run(name, &PathBuf::from(folder)));
}

fn run(name: &str, folder: &PathBuf) -> i32 {
    let tmp = std::env::temp_dir().join(format!("pebbleturn-review-{}-{name}", std::process::id()));
    let deploy = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let command = deploy.lines().find_map(|l| l.strip_prefix("run = \"")?.strip_suffix('"'));
    let (Some(command), Ok(())) = (command, std::fs::create_dir_all(&tmp)) else {
        eprintln!("no deploy file, or no temporary folder");
        return 2;
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let run = Run { record: Record::new(), trouble, tmp: tmp.clone(), command: command.to_owned() };
    let case: fn(&Run) -> Verdict = match name {
        "foreign" => foreign::run,
        "halfway" => halfway::run,
        "cutoff" => cutoff::run,
        "ended" => ended::run,
        "left" => left::run,
        "longlist" => longlist::run,
        "omitted" => omitted::run,
        "queued" => queued::run,
        "pipelined" => pipelined::run,
        _ => |_| Verdict::CannotRun("no such case".into()),
    };
    let (code, text) = match case(&run) {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::CannotRun(text) => (2, format!("the case could not run: {text}")),
    };
    run.record.note(text.clone());
    run.record.write(&folder.join("record.txt"));
    if let Ok(keep) = std::env::var("KEEP_LOG") {
        let _ = std::process::Command::new("cp").arg("-r").arg(&tmp).arg(keep).status();
    }
    let _ = std::fs::remove_dir_all(&tmp);
    println!("{name}, TROUBLE={}: {text}", u8::from(trouble));
    code
}
