//! Where tables are: files and folders, plain or gzip, single or in numbered parts, or standard input.

use crate::layout::{Layout, recognise};
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

/// One file of a table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its place among the layout's tables.
    pub table: usize,
    /// `-` is standard input.
    pub path: PathBuf,
}

/// What a file's name says of its table: `task_events.csv.gz`, `task_events-00001.csv`, or any part in a
/// folder
/// `task_events`.
fn table_name(path: &Path) -> Vec<String> {
    let stem = |path: &Path| {
        let name = path.file_name()?.to_string_lossy().into_owned();
        Some(name.split('.').next().unwrap_or_default().to_owned())
    };
    let mut names = Vec::new();
    if let Some(name) = stem(path) {
        let bare = name.trim_end_matches(|c: char| c.is_ascii_digit() || c == '-' || c == '_').to_owned();
        names.extend([name, bare]);
    }
    names.extend(path.parent().and_then(stem));
    names
}

fn files(path: &Path, into: &mut Vec<PathBuf>) -> Result<(), String> {
    let words = |e: std::io::Error| format!("{}: {e}", path.display());
    if path.as_os_str() == "-" || !std::fs::metadata(path).map_err(words)?.is_dir() {
        into.push(path.to_owned());
        return Ok(());
    }
    let mut inner: Vec<PathBuf> = std::fs::read_dir(path)
        .map_err(words)?
        .map(|entry| entry.map(|entry| entry.path()).map_err(words))
        .collect::<Result<_, _>>()?;
    // Parts in the order of their numbers, which their names keep.
    inner.sort();
    inner.iter().try_for_each(|path| files(path, into))
}

/// Finds the tables in files and folders. The layout is the one named, or the one that the names tell.
/// `table` names the table of standard input.
///
/// # Errors
/// Where a file can't be found, or no layout has tables of these names.
pub fn find_sources(
    paths: &[PathBuf],
    layout: Option<&'static dyn Layout>,
    table: Option<&str>,
) -> Result<(&'static dyn Layout, Vec<Source>), String> {
    let mut all = Vec::new();
    paths.iter().try_for_each(|path| files(path, &mut all))?;
    let mut named: Vec<(PathBuf, Vec<String>)> = Vec::new();
    for path in all {
        let names = match (path.as_os_str() == "-", table) {
            (true, Some(table)) => vec![table.to_owned()],
            (true, None) => return Err("standard input: its table must be named (--table)".to_owned()),
            _ => table_name(&path),
        };
        named.push((path, names));
    }
    let names = named.iter().flat_map(|(_, names)| names.iter().map(String::as_str));
    let layout = layout.or_else(|| recognise(names.collect::<Vec<_>>().into_iter()));
    let Some(layout) = layout else {
        return Err("no table of a known layout is among these files (--layout names one)".to_owned());
    };
    let mut sources = Vec::new();
    for (path, names) in named {
        let found =
            names.iter().find_map(|name| layout.tables().iter().position(|table| table.name == *name));
        match found {
            Some(table) => sources.push(Source { table, path }),
            // What lies beside the tables (a schema, a checksum) is none of them.
            None if paths.contains(&path) => {
                let known: Vec<&str> = layout.tables().iter().map(|table| table.name).collect();
                return Err(format!(
                    "{}: its name tells no table of {} ({})",
                    path.display(),
                    layout.name(),
                    known.join(", ")
                ));
            }
            None => {}
        }
    }
    sources.sort_by(|a, b| (a.table, &a.path).cmp(&(b.table, &b.path)));
    Ok((layout, sources))
}

/// Opens a file or standard input; gzip is told by its first bytes.
///
/// # Errors
/// What the system says, with the path.
pub fn open(path: &Path) -> Result<Box<dyn Read + Send>, String> {
    let words = |e: std::io::Error| format!("{}: {e}", path.display());
    let raw: Box<dyn Read + Send> = if path.as_os_str() == "-" {
        Box::new(std::io::stdin())
    } else {
        Box::new(File::open(path).map_err(words)?)
    };
    let mut reader = BufReader::with_capacity(1 << 17, raw);
    let gzip = reader.fill_buf().map_err(words)?.starts_with(&[0x1f, 0x8b]);
    Ok(if gzip { Box::new(flate2::bufread::MultiGzDecoder::new(reader)) } else { Box::new(reader) })
}
