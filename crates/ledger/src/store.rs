//! The books on disk: rows by writer, life and number, in an embedded store, committed in groups. Fleet logs
//! and work logs have a table each; versions that know no work logs leave theirs alone.

use mulleinhub_replicated_log::{Digest, LogChange, LogChanges, LogId, Name, PersistedEntry, PersistedLogs};
use redb::{
    Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition,
    WriteTransaction,
};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Writer, life and number of a row; the digest before it, and its bytes.
type Place = (&'static str, u64, u64);
type Bytes = (&'static [u8; 16], &'static [u8]);
type Rows = TableDefinition<'static, Place, Bytes>;
const ROWS: Rows = TableDefinition::new("rows");
const WORK_ROWS: Rows = TableDefinition::new("work-rows");
const ABOUT: TableDefinition<'_, &str, u64> = TableDefinition::new("about");
/// Of the layout above. A later one is not touched.
const FORMAT: u64 = 1;

pub struct Store {
    database: Database,
    path: PathBuf,
}

fn damaged(path: &Path, error: &dyn std::fmt::Display) -> String {
    let what = "the books are damaged; move the file away, and the others' copies bring them back";
    format!("{}: {what}: {error}", path.display())
}

impl Store {
    /// Opens the store of a directory, or begins one, and reads all that is kept.
    ///
    /// # Errors
    /// In words that say what to do: it is locked by another process, of a later version, or damaged.
    pub fn open(dir: &Path) -> Result<(Self, PersistedLogs), String> {
        let path = dir.join("books");
        // Met: a file that is cut short makes the library panic where it should tell.
        let opened = std::panic::catch_unwind(|| Self::open_file(&path));
        opened.unwrap_or_else(|_| Err(damaged(&path, &"it can't be made sense of")))
    }

    fn open_file(path: &Path) -> Result<(Self, PersistedLogs), String> {
        let words =
            |what: &str, error: &dyn std::fmt::Display| format!("{}: {what}: {error}", path.display());
        let mut database = Database::create(path).map_err(|error| match &error {
            DatabaseError::DatabaseAlreadyOpen => words("another process has these books open", &error),
            DatabaseError::Storage(redb::StorageError::Io(io))
                if matches!(io.kind(), ErrorKind::NotFound | ErrorKind::PermissionDenied) =>
            {
                words("the books can't be opened", &error)
            }
            _ => damaged(path, &error),
        })?;
        // Met: a changed byte that was found at the first write only, by a panic.
        database.check_integrity().map_err(|error| damaged(path, &error))?;
        let store = Self { database, path: path.to_owned() };
        match store.read().map_err(|error| damaged(path, &error))? {
            Ok(kept) => Ok((store, kept)),
            Err(format) => Err(format!(
                "{}: the books are of format {format}, this version reads {FORMAT}: start the version that \
                 wrote them",
                path.display()
            )),
        }
    }

    fn read(&self) -> Result<Result<PersistedLogs, u64>, redb::Error> {
        let writing = self.database.begin_write()?;
        {
            let mut about = writing.open_table(ABOUT)?;
            let format = about.get("format")?.map(|format| format.value());
            match format {
                Some(format) if format > FORMAT => return Ok(Err(format)),
                Some(_) => {}
                None => drop(about.insert("format", FORMAT)?),
            }
            writing.open_table(ROWS)?;
            writing.open_table(WORK_ROWS)?;
        }
        writing.commit()?;
        let reading = self.database.begin_read()?;
        Ok(Ok(PersistedLogs { fleet: read_rows(&reading, ROWS)?, work: read_rows(&reading, WORK_ROWS)? }))
    }

    /// Writes these changes and syncs them: they are there for good when this returns.
    ///
    /// # Errors
    /// What the disk refuses, in words; nothing of the changes is kept then.
    pub fn keep(&self, changes: &LogChanges) -> Result<(), String> {
        self.write(changes).map_err(|error| format!("{}: {error}", self.path.display()))
    }

    fn write(&self, changes: &LogChanges) -> Result<(), redb::Error> {
        let writing = self.database.begin_write()?;
        write_rows(&writing, ROWS, &changes.fleet)?;
        write_rows(&writing, WORK_ROWS, &changes.work)?;
        writing.commit()?;
        Ok(())
    }
}

fn read_rows(reading: &ReadTransaction, rows: Rows) -> Result<Vec<PersistedEntry>, redb::Error> {
    let table = reading.open_table(rows)?;
    let mut kept = Vec::new();
    for row in table.iter()? {
        let (key, value) = row?;
        let (writer, life, number) = key.value();
        let (before, bytes) = value.value();
        let id = LogId { writer: Name::from(writer), incarnation: life };
        kept.push(PersistedEntry { id, number, before: Digest(*before), bytes: bytes.to_vec() });
    }
    Ok(kept)
}

fn write_rows(writing: &WriteTransaction, rows: Rows, changes: &[LogChange]) -> Result<(), redb::Error> {
    if changes.is_empty() {
        return Ok(());
    }
    let mut table = writing.open_table(rows)?;
    for change in changes {
        match change {
            LogChange::Append { id, number, before, bytes } => {
                table.insert((&*id.writer, id.incarnation, *number), (&before.0, &**bytes))?;
            }
            LogChange::Trim { id, below } => {
                let below = (&*id.writer, id.incarnation, 0)..(&*id.writer, id.incarnation, *below);
                table.retain_in(below, |_, _| false)?;
            }
            LogChange::Drop { id } => {
                let all = (&*id.writer, id.incarnation, 0)..=(&*id.writer, id.incarnation, u64::MAX);
                table.retain_in(all, |_, _| false)?;
            }
        }
    }
    Ok(())
}
