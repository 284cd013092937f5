//! Faults seeded into the books, one at a time: the present tree with a few words changed, built and played.

use crate::build::{program, root, tree};
use mulleinhub_settings::{Args, Faults, Scope, parse_text};
use std::path::Path;
use std::process::Command;

const LIST: &str = include_str!("../mutants.list");

/// One fault: what stands in a file, what takes its place, and the rule that the judge has to name.
struct Mutant {
    name: String,
    file: String,
    from: String,
    to: String,
    day: String,
    rule: String,
    seeds: u64,
}

fn read() -> Result<Vec<Mutant>, String> {
    let mut faults = Faults::default();
    let directives = parse_text("mutants.list", LIST, &mut faults);
    let mut mutants = Vec::new();
    for directive in &directives {
        let mut args = Args::of(directive);
        let name = args.next::<String>(&mut faults);
        let mut scope = Scope::of(directive);
        let mut text = |name| scope.must::<String>(name, &mut faults);
        let (file, from, to) = (text("file"), text("from"), text("to"));
        let (day, rule) = (text("day"), text("rule"));
        let seeds = scope.or("seeds", 24, &mut faults);
        scope.finish(&mut faults);
        if let (Some(name), Some(file), Some(from), Some(to), Some(day), Some(rule)) =
            (name, file, from, to, day, rule)
        {
            mutants.push(Mutant { name, file, from, to, day, rule, seeds });
        }
    }
    if faults.is_empty() { Ok(mutants) } else { Err(faults.render()) }
}

/// Builds and plays them; true where the judge named the rule of each.
///
/// # Errors
/// What git or a build refuses, and a mutant whose words stand nowhere any more.
pub fn all(only: &str, most: usize) -> Result<bool, String> {
    let root = root()?;
    let mut caught = true;
    for mutant in read()?.iter().filter(|mutant| mutant.name.contains(only)).take(most) {
        let named = one(&root, mutant)?;
        caught &= named;
        println!("{}: {} {:?}", mutant.name, if named { "caught by" } else { "NOT CAUGHT by" }, mutant.rule);
    }
    Ok(caught)
}

fn one(root: &Path, mutant: &Mutant) -> Result<bool, String> {
    let at = tree(root, "mutant", "HEAD")?;
    let path = at.join(&mutant.file);
    let words = |error: std::io::Error| format!("{}: {error}", path.display());
    let text = std::fs::read_to_string(&path).map_err(words)?;
    if text.matches(&mutant.from).count() != 1 {
        return Err(format!("{}: {:?} stands in {} not once", mutant.name, mutant.from, mutant.file));
    }
    std::fs::write(&path, text.replace(&mutant.from, &mutant.to)).map_err(words)?;
    let program = program(root, &at, "mulleinhub-cli", "mulleinhub")?;
    let played = Command::new(program)
        .current_dir(root)
        .args(["day", "run", "--virtual", "--seed", "1", "--seeds"])
        .arg(mutant.seeds.to_string())
        .args(mutant.day.split(' '))
        .output()
        .map_err(|error| format!("{}: {error}", mutant.name))?;
    let told = String::from_utf8_lossy(&played.stdout).into_owned();
    let broken = format!("books {}: BROKEN", mutant.rule);
    Ok(told.contains(&broken))
}
