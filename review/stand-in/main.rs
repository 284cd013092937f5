//! The cases of the review: each plays a short day around a real scheduler, and judges one rule.
//!
//! Usage: stand-in CASE RECORD FOLDER. Exit status 0 if the rule held, 1 if it was broken, 2 if the case could not
//! run. TROUBLE=0 in the environment leaves the disruption out.

mod bulletin;
mod cases;
mod ends;
mod fleet;
mod floods;
mod more_cases;
mod node;
mod owner;
mod proxy;
mod record;
mod scheduler;
mod wire;

use record::Record;
use std::process::exit;
use std::time::Duration;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

/// What a case is played with.
pub struct Stage {
    pub record: Record,
    pub folder: String,
    pub trouble: bool,
}

fn end(status: i32) -> ! {
    scheduler::end_all();
    exit(status)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD FOLDER");
        exit(2);
    };
    let Ok(record) = Record::create(path) else {
        eprintln!("the record can't be written");
        exit(2);
    };
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        end(2)
    }));
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(110));
        watched.note("the case took too long");
        end(2)
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(if trouble { "with the disruption" } else { "without the disruption" });
    let stage = Stage { record: record.clone(), folder: folder.clone(), trouble };
    let played = ends::play(case, &stage).or_else(|| floods::play(case, &stage));
    match played.unwrap_or_else(|| cases::play(case, &stage)) {
        Ok(Verdict::Held(text)) => {
            record.note(&format!("HELD: {text}"));
            end(0)
        }
        Ok(Verdict::Broken(text)) => {
            record.note(&format!("BROKEN: {text}"));
            end(1)
        }
        Err(error) => {
            record.note(&format!("could not run: {error}"));
            end(2)
        }
    }
}
