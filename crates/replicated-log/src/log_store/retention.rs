//! Which logs are dropped.

use super::LogStore;
use crate::digest::Digest;
use crate::log_id::LogId;
use crate::name::Name;
use crate::persistence::LogChange;

impl LogStore {
    /// Drops logs of earlier incarnations once all their months are closed.
    pub fn drop_closed(&mut self) {
        let is_closed = |id: &&LogId| {
            let Some(latest) = self.latest_state(&id.writer) else { return false };
            let month = self.log(id).map_or(0, |log| log.state().month);
            Some(id.incarnation) < self.newest_incarnation(&id.writer)
                && month.saturating_add(1) < latest.month
        };
        let closed: Vec<LogId> = self.logs.keys().filter(is_closed).cloned().collect();
        for id in closed {
            self.remove_log(&id);
            self.changes.push(LogChange::Drop { id });
        }
    }

    /// Drops logs of which a later incarnation has inherited all, whatever their months.
    pub fn drop_superseded(&mut self) {
        let is_superseded = |id: &&LogId| {
            let head = self.log(id).map_or(0, |log| log.head().0);
            self.is_inherited(id, head)
        };
        let superseded: Vec<LogId> = self.logs.keys().filter(is_superseded).cloned().collect();
        superseded.into_iter().for_each(|id| self.drop_log(id));
    }

    /// Drops all logs of a writer.
    pub fn drop_writer(&mut self, writer: &Name) {
        let ids: Vec<LogId> = self.incarnations(writer).map(|(id, _)| id.clone()).collect();
        ids.into_iter().for_each(|id| self.drop_log(id));
    }

    fn drop_log(&mut self, id: LogId) {
        if self.remove_log(&id) {
            self.last_revision += 1;
        }
        self.changes.push(LogChange::Drop { id });
    }

    /// True where there was such a log.
    fn remove_log(&mut self, id: &LogId) -> bool {
        let Some(stored) = self.logs.remove(id) else { return false };
        self.dirty_teams.add_all();
        self.by_revision.remove(&stored.revision);
        self.heads_digest = stored.announced_digest.into_iter().fold(self.heads_digest, Digest::xor);
        true
    }
}
