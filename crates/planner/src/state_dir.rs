//! The planner's state directory: the cached endpoint list, which the next start uses until the list service
//! answers.

use crate::error::PlannerError;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

/// File name of the cached endpoint list.
const LIST_FILE: &str = "list";
/// Extension of the file that is written before it replaces the list.
const TEMPORARY_EXTENSION: &str = "new";

/// The file with the last endpoint list that the engine learned.
pub(crate) struct CachedList {
    path: PathBuf,
}

impl CachedList {
    /// Creates the state directory where it doesn't exist.
    pub(crate) fn open(state_dir: &Path) -> Result<Self, PlannerError> {
        std::fs::create_dir_all(state_dir).map_err(PlannerError::file(state_dir))?;
        Ok(Self { path: state_dir.join(LIST_FILE) })
    }

    /// The list that the previous process saved; `None` if there is none or it can't be read.
    pub(crate) fn load(&self) -> Option<Vec<u8>> {
        match std::fs::read(&self.path) {
            Ok(bytes) => Some(bytes),
            Err(error) if error.kind() == ErrorKind::NotFound => None,
            Err(error) => {
                tracing::error!(%error, path = %self.path.display(), "cached endpoint list can't be read");
                None
            }
        }
    }

    /// Replaces the list. A failure is logged, and the old list stays.
    pub(crate) fn save(&self, bytes: &[u8]) {
        if let Err(error) = self.replace(bytes) {
            tracing::error!(%error, path = %self.path.display(), "cached endpoint list can't be written");
        }
    }

    /// Writes a new file and renames it, so that a kill leaves the old list or the new one.
    fn replace(&self, bytes: &[u8]) -> std::io::Result<()> {
        let temporary = self.path.with_extension(TEMPORARY_EXTENSION);
        std::fs::write(&temporary, bytes)?;
        std::fs::rename(&temporary, &self.path)
    }
}
