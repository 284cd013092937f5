//! Faults seeded into the books, one at a time: the present tree with a few words changed, built and played.

use crate::build::{program, root, test_output, tree};
use mulleinhub_settings::{Args, Diagnostics, Scope, parse_text};
use std::path::Path;
use std::process::Command;

const LIST: &str = include_str!("../mutants.list");

/// What has to find a fault.
enum Finder {
    /// A day, on which the judge has to name this rule.
    Judge { day: String, rule: String, seeds: u64 },
    /// A test that has to fail: its package, its file, its name.
    Test { package: String, file: String, name: String },
}

/// One fault: what stands in a file, what takes its place, and what has to find it.
struct Mutant {
    name: String,
    file: String,
    from: String,
    to: String,
    finder: Finder,
}

/// Either `day`, `rule` and `seeds`, or `test PACKAGE FILE NAME`.
fn read_finder(scope: &mut Scope<'_>, faults: &mut Diagnostics) -> Option<Finder> {
    let Some(line) = scope.once("test", faults) else {
        let (day, rule) = (scope.required("day", faults), scope.required("rule", faults));
        let seeds = scope.optional_or("seeds", 24, faults);
        return Some(Finder::Judge { day: day?, rule: rule?, seeds });
    };
    let mut args = Args::of(line);
    let (package, file, name) = (args.next(faults), args.next(faults), args.next(faults));
    args.finish(faults);
    Some(Finder::Test { package: package?, file: file?, name: name? })
}

fn read() -> Result<Vec<Mutant>, String> {
    let mut faults = Diagnostics::default();
    let directives = parse_text("mutants.list", LIST, &mut faults);
    let mut mutants = Vec::new();
    for directive in &directives {
        let mut args = Args::of(directive);
        let name = args.next::<String>(&mut faults);
        let mut scope = Scope::of(directive);
        let mut text = |name| scope.required::<String>(name, &mut faults);
        let (file, from, to) = (text("file"), text("from"), text("to"));
        let finder = read_finder(&mut scope, &mut faults);
        scope.finish(&mut faults);
        if let (Some(name), Some(file), Some(from), Some(to), Some(finder)) = (name, file, from, to, finder) {
            mutants.push(Mutant { name, file, from, to, finder });
        }
    }
    if faults.is_empty() { Ok(mutants) } else { Err(faults.render()) }
}

/// Builds and plays them; true where each was found by the rule or the test that is named.
///
/// # Errors
/// What git or a build refuses, and a mutant whose words stand nowhere any more.
pub fn all(only: &str, most: usize) -> Result<bool, String> {
    let root = root()?;
    let mut caught = true;
    for mutant in read()?.iter().filter(|mutant| mutant.name.contains(only)).take(most) {
        let named = one(&root, mutant)?;
        caught &= named;
        let by = match &mutant.finder {
            Finder::Judge { rule, .. } => rule,
            Finder::Test { name, .. } => name,
        };
        println!("{}: {} {by:?}", mutant.name, if named { "caught by" } else { "NOT CAUGHT by" });
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
    let (day, rule, seeds) = match &mutant.finder {
        Finder::Judge { day, rule, seeds } => (day, rule, seeds),
        Finder::Test { package, file, name } => {
            let told = test_output(root, &at, package, file, name)?;
            return Ok(told.contains(&format!("test {name} ... FAILED")));
        }
    };
    let program = program(root, &at, "mulleinhub-cli", "mulleinhub")?;
    let played = Command::new(program)
        .current_dir(root)
        .args(["day", "run", "--virtual", "--seed", "1", "--seeds"])
        .arg(seeds.to_string())
        .args(day.split(' '))
        .output()
        .map_err(|error| format!("{}: {error}", mutant.name))?;
    let told = String::from_utf8_lossy(&played.stdout).into_owned();
    let broken = format!("books {rule}: BROKEN");
    Ok(told.contains(&broken))
}
