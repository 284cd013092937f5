//! The stand-ins of the cases 6 to 10 and what each case plays: `stand-in CASE FOLDER`, from the root of the
//! repository. Exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod cases;
mod peers;
mod world;

use std::path::Path;
use world::World;

/// How a case ended: whether its rule held, and why; an error where it could not run.
pub type Verdict = Result<(bool, String), String>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: stand-in CASE FOLDER");
        std::process::exit(2);
    };
    let world = World::new(Path::new(folder));
    // No case takes so long; the scheduler ends with this process.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        eprintln!("could not run: too slow");
        std::process::exit(2);
    });
    let played = match case.as_str() {
        "idle" => cases::idle(&world),
        "another" => cases::another(&world),
        "address" => cases::address(&world),
        "silent" => cases::silent(&world),
        "handover" => cases::handover(&world),
        "untold" => cases::untold(&world),
        other => Err(format!("no case {other}")),
    };
    let (status, text) = match played {
        Ok((true, why)) => (0, format!("the rule held: {why}")),
        Ok((false, why)) => (1, format!("the rule is broken: {why}")),
        Err(why) => (2, format!("could not run: {why}")),
    };
    world.log("verdict", &text);
    println!("{text}");
    if std::env::var_os("REVIEW_KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&world.folder);
    } else {
        println!("{}", world.folder.display());
    }
    std::process::exit(status);
}
