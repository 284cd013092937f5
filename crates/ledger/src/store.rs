//! Persistence of the logs: entries by writer, incarnation and number, in an embedded database.
//!
//! Fleet logs and work logs have a table each; versions that know no work logs leave that table alone. Used
//! by the store thread alone, which commits changes in groups.

use mulleinhub_replicated_log::{Digest, LogChange, LogChanges, LogId, Name, PersistedEntry, PersistedLogs};
use redb::{
    Database, DatabaseError, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition,
    WriteTransaction,
};
use std::fmt;
use std::io::ErrorKind;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};

/// Writer, incarnation and number of an entry.
type EntryKey = (&'static str, u64, u64);
/// The digest before an entry, and its bytes.
type EntryValue = (&'static [u8; 16], &'static [u8]);
type EntryTable = TableDefinition<'static, EntryKey, EntryValue>;
const FLEET_ENTRIES: EntryTable = TableDefinition::new("rows");
const WORK_ENTRIES: EntryTable = TableDefinition::new("work-rows");
const METADATA: TableDefinition<'_, &str, u64> = TableDefinition::new("about");
/// Version of the layout above. A store of a later one is left unchanged.
const FORMAT_VERSION: u64 = 1;

/// Why the store can't be opened or written. The text says what an operator is to do.
#[derive(Debug)]
pub enum StoreError {
    /// Another process has the store open.
    Locked {
        /// The store's file.
        path: PathBuf,
        /// What the database reported.
        source: DatabaseError,
    },
    /// The file can't be opened: the directory is missing or its permissions don't allow it.
    Unavailable {
        /// The store's file.
        path: PathBuf,
        /// What the database reported.
        source: DatabaseError,
    },
    /// The file's content is damaged.
    Damaged {
        /// The store's file.
        path: PathBuf,
        /// What was found.
        reason: String,
    },
    /// A later version wrote the store.
    LaterFormat {
        /// The store's file.
        path: PathBuf,
        /// The format version of the file.
        format: u64,
    },
    /// The changes could not be written; none of them was stored.
    Write {
        /// The store's file.
        path: PathBuf,
        /// What the database reported.
        source: Box<redb::Error>,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Locked { path, source } => {
                write!(f, "{}: another process has these books open: {source}", path.display())
            }
            Self::Unavailable { path, source } => {
                write!(f, "{}: the books can't be opened: {source}", path.display())
            }
            Self::Damaged { path, reason } => write!(
                f,
                "{}: the books are damaged; move the file away, and the others' copies bring them back: {reason}",
                path.display()
            ),
            Self::LaterFormat { path, format } => write!(
                f,
                "{}: the books are of format {format}, this version reads {FORMAT_VERSION}: start the version \
                 that wrote them",
                path.display()
            ),
            Self::Write { path, source } => write!(f, "{}: {source}", path.display()),
        }
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Locked { source, .. } | Self::Unavailable { source, .. } => Some(source),
            Self::Write { source, .. } => Some(&**source),
            Self::Damaged { .. } | Self::LaterFormat { .. } => None,
        }
    }
}

fn damaged(path: &Path, error: &dyn fmt::Display) -> StoreError {
    StoreError::Damaged { path: path.to_owned(), reason: error.to_string() }
}

/// The logs of one scheduler on disk.
pub struct Store {
    /// None after a failed write, until it could be opened again: the database refuses everything after one.
    database: Option<Database>,
    path: PathBuf,
}

impl Store {
    /// Opens the store of a directory, or creates it, and reads all persisted entries.
    ///
    /// # Errors
    /// Where the store is locked by another process, can't be opened, is damaged, or was written by a later
    /// version.
    pub fn open(dir: &Path) -> Result<(Self, PersistedLogs), StoreError> {
        let path = dir.join("books");
        // Guards against: a truncated file makes the database panic instead of returning an error.
        let opened = std::panic::catch_unwind(|| Self::open_file(&path));
        opened.unwrap_or_else(|_| Err(damaged(&path, &"it can't be made sense of")))
    }

    fn open_file(path: &Path) -> Result<(Self, PersistedLogs), StoreError> {
        let mut database = Database::create(path).map_err(|error| open_error(path, error))?;
        // Guards against: a changed byte that was found only by a panic at the first write.
        database.check_integrity().map_err(|error| damaged(path, &error))?;
        let read = Self::read(&database);
        let store = Self { database: Some(database), path: path.to_owned() };
        match read.map_err(|error| damaged(path, &error))? {
            Ok(persisted) => Ok((store, persisted)),
            Err(format) => Err(StoreError::LaterFormat { path: path.to_owned(), format }),
        }
    }

    /// Reads all entries, or the format version where it is a later one.
    fn read(database: &Database) -> Result<Result<PersistedLogs, u64>, redb::Error> {
        let transaction = database.begin_write()?;
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
        let transaction = database.begin_read()?;
        Ok(Ok(PersistedLogs {
            fleet: read_entries(&transaction, FLEET_ENTRIES)?,
            work: read_entries(&transaction, WORK_ENTRIES)?,
        }))
    }

    /// Writes these changes and syncs them: they are durable when this returns. After a failure the next call
    /// opens the database anew.
    ///
    /// # Errors
    /// Where the disk refuses the write; none of the changes counts as stored then.
    pub fn persist(&mut self, changes: &LogChanges) -> Result<(), StoreError> {
        // The database panics where the disk fails as it is closed or repaired.
        let write = AssertUnwindSafe(|| Self::write(self.database.take(), &self.path, changes));
        match std::panic::catch_unwind(write) {
            Ok(Ok(database)) => {
                self.database = Some(database);
                Ok(())
            }
            Ok(Err(error)) => Err(StoreError::Write { path: self.path.clone(), source: Box::new(error) }),
            Err(_) => Err(damaged(&self.path, &"it can't be opened again yet")),
        }
    }

    /// Writes to the open database, or to one that is opened for that; returns it where that succeeded.
    fn write(database: Option<Database>, path: &Path, changes: &LogChanges) -> Result<Database, redb::Error> {
        let database = match database {
            Some(database) => database,
            None => Database::create(path)?,
        };
        let transaction = database.begin_write()?;
        write_changes(&transaction, FLEET_ENTRIES, &changes.fleet)?;
        write_changes(&transaction, WORK_ENTRIES, &changes.work)?;
        transaction.commit()?;
        Ok(database)
    }
}

/// Tells a store that is locked or out of reach from a damaged one.
fn open_error(path: &Path, error: DatabaseError) -> StoreError {
    match &error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::Locked { path: path.to_owned(), source: error },
        DatabaseError::Storage(redb::StorageError::Io(io))
            if matches!(io.kind(), ErrorKind::NotFound | ErrorKind::PermissionDenied) =>
        {
            StoreError::Unavailable { path: path.to_owned(), source: error }
        }
        _ => damaged(path, &error),
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
        let id = LogId { writer: Name::from(writer), incarnation };
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
