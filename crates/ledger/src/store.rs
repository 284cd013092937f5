//! The books on disk: rows by writer, incarnation and number, in an embedded store, committed in groups. Fleet logs
//! and work logs have a table each; versions that know no work logs leave theirs alone.

use mulleinhub_replicated_log::{Digest, LogChange, LogChanges, LogId, Name, PersistedEntry, PersistedLogs};
use redb::{
    Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition,
    WriteTransaction,
};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// Writer, incarnation and number of a row; the digest before it, and its bytes.
type EntryKey = (&'static str, u64, u64);
type EntryValue = (&'static [u8; 16], &'static [u8]);
type EntryTable = TableDefinition<'static, EntryKey, EntryValue>;
const FLEET_ENTRIES: EntryTable = TableDefinition::new("rows");
const WORK_ENTRIES: EntryTable = TableDefinition::new("work-rows");
const METADATA: TableDefinition<'_, &str, u64> = TableDefinition::new("about");
/// Of the layout above. A later one is not touched.
const FORMAT_VERSION: u64 = 1;

pub struct Store {
    database: Database,
    path: PathBuf,
}

fn damaged(path: &Path, error: &dyn std::fmt::Display) -> String {
    let what = "the books are damaged; move the file away, and the others' copies bring them back";
    format!("{}: {what}: {error}", path.display())
}

impl Store {
    /// Opens the store of a directory, or begins one, and reads all that is persisted.
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
            Ok(persisted) => Ok((store, persisted)),
            Err(format) => Err(format!(
                "{}: the books are of format {format}, this version reads {FORMAT_VERSION}: start the version that \
                 wrote them",
                path.display()
            )),
        }
    }

    fn read(&self) -> Result<Result<PersistedLogs, u64>, redb::Error> {
        let transaction = self.database.begin_write()?;
        {
            let mut metadata = transaction.open_table(METADATA)?;
            let format = metadata.get("format")?.map(|format| format.value());
            match format {
                Some(format) if format > FORMAT_VERSION => return Ok(Err(format)),
                Some(_) => {}
                None => drop(metadata.insert("format", FORMAT_VERSION)?),
            }
            transaction.open_table(FLEET_ENTRIES)?;
            transaction.open_table(WORK_ENTRIES)?;
        }
        transaction.commit()?;
        let transaction = self.database.begin_read()?;
        Ok(Ok(PersistedLogs {
            fleet: read_entries(&transaction, FLEET_ENTRIES)?,
            work: read_entries(&transaction, WORK_ENTRIES)?,
        }))
    }

    /// Writes these changes and syncs them: they are there for good when this returns.
    ///
    /// # Errors
    /// What the disk refuses, in words; nothing of the changes is persisted then.
    pub fn persist(&self, changes: &LogChanges) -> Result<(), String> {
        self.write(changes).map_err(|error| format!("{}: {error}", self.path.display()))
    }

    fn write(&self, changes: &LogChanges) -> Result<(), redb::Error> {
        let transaction = self.database.begin_write()?;
        write_changes(&transaction, FLEET_ENTRIES, &changes.fleet)?;
        write_changes(&transaction, WORK_ENTRIES, &changes.work)?;
        transaction.commit()?;
        Ok(())
    }
}

fn read_entries(
    transaction: &ReadTransaction,
    definition: EntryTable,
) -> Result<Vec<PersistedEntry>, redb::Error> {
    let table = transaction.open_table(definition)?;
    let mut persisted = Vec::new();
    for entry in table.iter()? {
        let (key, value) = entry?;
        let (writer, incarnation, number) = key.value();
        let (before, bytes) = value.value();
        let id = LogId { writer: Name::from(writer), incarnation: incarnation };
        persisted.push(PersistedEntry { id, number, before: Digest(*before), bytes: bytes.to_vec() });
    }
    Ok(persisted)
}

fn write_changes(
    transaction: &WriteTransaction,
    definition: EntryTable,
    changes: &[LogChange],
) -> Result<(), redb::Error> {
    if changes.is_empty() {
        return Ok(());
    }
    let mut table = transaction.open_table(definition)?;
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
