//! Trials of an independent review: real controllers, stand-ins for everything else.
//!
//! `trial NAME FOLDER` runs a trial and writes `record.txt` in the folder. It exits with 1 if the rule was
//! broken, with 0 if it held and with 2 if the trial couldn't run. `TROUBLE=0` leaves the disruption out.

mod cases;
mod fleet;
mod http;
mod record;
mod service;
mod store;
mod world;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use world::{Trial, Verdict, repository};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: trial NAME FOLDER");
        exit(2);
    };
    let case = PathBuf::from(folder);
    let record = Record::create(&case.join("record.txt"));
    let folder = std::env::temp_dir().join(format!("trial-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let trial = Trial {
        root: repository(&case),
        folder: folder.clone(),
        record: record.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    // A trial that fails unexpectedly must end the controllers that it started, too.
    let verdict = std::panic::catch_unwind(|| cases::run(name, &trial));
    let verdict = verdict.unwrap_or_else(|_| Verdict::Failed("the trial ended early".to_owned()));
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&folder).ok();
    }
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::Failed(why) => (2, format!("the trial couldn't run: {why}")),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
