//! Checks a commit of this repository out beside it, and builds it.

use mulleinhub_settings::{Args, Diagnostics, Name, parse_text};
use std::path::{Path, PathBuf};
use std::process::Command;

const LIST: &str = include_str!("../versions.list");

/// An earlier version.
pub struct Version {
    pub name: String,
    pub commit: String,
    pub words: String,
}

/// The versions that are named.
///
/// # Errors
/// Faults of the list, rendered.
pub fn versions() -> Result<Vec<Version>, String> {
    let mut faults = Diagnostics::default();
    let directives = parse_text("versions.list", LIST, &mut faults);
    let mut versions = Vec::new();
    for line in &directives {
        let mut args = Args::of(line);
        let (commit, words) = (args.next::<Name>(&mut faults), args.next::<String>(&mut faults));
        args.finish(&mut faults);
        if let (Some(commit), Some(words)) = (commit, words) {
            versions.push(Version { name: line.name.text.clone(), commit: commit.0, words });
        }
    }
    if faults.is_empty() { Ok(versions) } else { Err(faults.render()) }
}

fn run(command: &mut Command, what: &str) -> Result<String, String> {
    let out = command.output().map_err(|error| format!("{what}: {error}"))?;
    if out.status.success() {
        return Ok(String::from_utf8_lossy(&out.stdout).trim().to_owned());
    }
    let words = String::from_utf8_lossy(&out.stderr);
    let last: Vec<&str> = words.lines().rev().take(12).collect();
    Err(format!("{what} failed:\n{}", last.into_iter().rev().collect::<Vec<_>>().join("\n")))
}

/// The repository that this program is run in.
///
/// # Errors
/// Where it is none.
pub fn root() -> Result<PathBuf, String> {
    let top = run(Command::new("git").args(["rev-parse", "--show-toplevel"]), "git rev-parse")?;
    Ok(PathBuf::from(top))
}

/// A tree of its own at this commit, below the target directory. One that is there already is put back to it.
///
/// # Errors
/// Where this clone lacks the commit, or git refuses.
pub fn tree(root: &Path, name: &str, commit: &str) -> Result<PathBuf, String> {
    let git = |dir: &Path| {
        let mut git = Command::new("git");
        git.arg("-C").arg(dir);
        git
    };
    let named = format!("{commit}^{{commit}}");
    if run(git(root).args(["cat-file", "-e", &named]), "git cat-file").is_err() {
        return Err(format!(
            "this clone lacks the commit {commit} ({name}): it is shallow, or of another repository; \
             git fetch --unshallow brings it"
        ));
    }
    let at = root.join("target/versions").join(name);
    if at.join(".git").exists() {
        run(git(&at).args(["checkout", "--quiet", "--force", "--detach", commit]), "git checkout")?;
        run(git(&at).args(["clean", "--quiet", "-fd"]), "git clean")?;
    } else {
        run(git(root).args(["worktree", "prune"]), "git worktree prune")?;
        let add = ["worktree", "add", "--quiet", "--force", "--detach"];
        run(git(root).args(add).arg(&at).arg(commit), "git worktree add")?;
    }
    Ok(at)
}

/// Where a tree is built. Each has a place of its own: crates of one name in two trees are one to cargo,
/// which goes by the times of their files, and took what the one had built for the other's.
fn target(root: &Path, tree: &Path) -> PathBuf {
    if tree == root { root.join("target/versions/target") } else { tree.join("target") }
}

/// Builds a program of a tree; where it is.
///
/// # Errors
/// What the build says last.
pub fn program(root: &Path, tree: &Path, package: &str, program: &str) -> Result<PathBuf, String> {
    let target = target(root, tree);
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.current_dir(tree).args(["build", "--quiet", "--release", "--locked", "-p", package]);
    cargo.env("CARGO_TARGET_DIR", &target);
    run(&mut cargo, &format!("building {}", tree.display()))?;
    // The next build puts its own in the same place.
    let kept = tree.join(program);
    std::fs::copy(target.join("release").join(program), &kept)
        .map_err(|error| format!("{program}: {error}"))?;
    Ok(kept)
}

/// Builds and runs one test of a tree; what it told, whether it passed or failed.
///
/// # Errors
/// Where it doesn't build, or there is no such test.
pub fn test_output(
    root: &Path,
    tree: &Path,
    package: &str,
    file: &str,
    name: &str,
) -> Result<String, String> {
    let target = target(root, tree);
    let mut cargo = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
    cargo.current_dir(tree).args(["test", "--quiet", "--locked", "-p", package, "--test", file]);
    cargo.args(["--", "--exact", name, "--format", "pretty"]).env("CARGO_TARGET_DIR", &target);
    let out = cargo.output().map_err(|error| format!("testing {}: {error}", tree.display()))?;
    let told = String::from_utf8_lossy(&out.stdout).into_owned();
    if told.contains("running 1 test") {
        return Ok(told);
    }
    let words = String::from_utf8_lossy(&out.stderr).into_owned();
    Err(format!("no test {name} of {package} was run in {}:\n{words}", tree.display()))
}
