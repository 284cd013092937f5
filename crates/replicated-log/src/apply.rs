//! How each entry changes the state of its log.

use crate::balance::{Balance, ShareTransfer, SplitAmount};
use crate::directives::{Directive, Directives};
use crate::entry::Entry;
use crate::error::LogError;
use crate::log_id::LogId;
use crate::name::Name;
use crate::state::LogState;
use crate::work::{ANNOUNCEMENT_WITHDRAWN, AnnouncedWork, DisplacedWork, RESTART_WINDOW_MS, RunningWork};
use std::collections::BTreeMap;

/// How many closed months are retained before the current one: a year, and the month to compare it with.
const CLOSED_MONTHS_RETAINED: u32 = 13;

impl LogState {
    /// Applies the next entry.
    ///
    /// # Errors
    /// Where it takes back what an earlier entry said, which no writer does; the state is as before.
    pub fn apply(&mut self, entry: &Entry) -> Result<(), LogError> {
        match entry {
            Entry::Snapshot(snapshot) => self.apply_snapshot(snapshot)?,
            Entry::Month(month) => self.apply_month(*month)?,
            Entry::Balance { team, month, balance } => self.apply_balance(team, *month, *balance)?,
            Entry::Transferred { transfer, total } => self.apply_transfer(transfer, *total)?,
            Entry::Started { at, work } => self.apply_started(*at, work),
            Entry::Ended { at, work } => self.apply_ended(*at, work),
            Entry::Directive(directive) => self.apply_directive(directive),
            Entry::Admitted { at, work } => {
                let until = at.saturating_add(RESTART_WINDOW_MS);
                for (key, team) in work {
                    self.admitted.insert(*key, DisplacedWork { team: team.clone(), until });
                }
            }
            Entry::Replacements { keys, .. } => {
                self.finished_replacements.retain(|key, _| !keys.contains(key));
                self.replacements.extend(keys.iter().filter(|key| self.running.contains_key(key)));
            }
            Entry::Announced { of, number: ANNOUNCEMENT_WITHDRAWN, .. } => {
                self.announced.remove(&of.writer);
            }
            Entry::Announced { of, number, work } => self.apply_announcement(of, *number, work),
            Entry::Unknown(bytes) => self.unknown_entries.push(bytes.clone().into()),
        }
        Ok(())
    }

    fn apply_snapshot(&mut self, snapshot: &Self) -> Result<(), LogError> {
        // The snapshot of a later version includes the entries that this version can't read.
        self.unknown_entries.clear();
        let comparable = Self { unknown_entries: Vec::new(), ..snapshot.clone() };
        if *self != Self::default() && *self != comparable {
            return Err(LogError::SnapshotDiffers);
        }
        self.clone_from(snapshot);
        Ok(())
    }

    fn apply_month(&mut self, month: u32) -> Result<(), LogError> {
        if month <= self.month {
            return Err(LogError::MonthRegresses { month, current: self.month });
        }
        self.month = month;
        self.close_months();
        Ok(())
    }

    fn apply_balance(&mut self, team: &Name, month: u32, balance: Balance) -> Result<(), LogError> {
        if month.saturating_add(1) < self.month {
            return Err(LogError::ClosedMonth { month, current: self.month });
        }
        let known = self.balances.entry((team.clone(), month)).or_default();
        if balance.spent < known.spent || balance.voided < known.voided {
            let (spent, known) = (balance.spent, known.spent);
            return Err(LogError::SpendingRegresses { team: team.clone(), spent, known });
        }
        *known = balance;
        Ok(())
    }

    fn apply_transfer(&mut self, transfer: &ShareTransfer, total: SplitAmount) -> Result<(), LogError> {
        let known = self.transferred_out.entry(transfer.clone()).or_default();
        if total.open < known.open || total.running_only < known.running_only {
            return Err(LogError::TransferRegresses { to: transfer.to.clone(), total, known: *known });
        }
        *known = total;
        Ok(())
    }

    fn apply_started(&mut self, at: u64, work: &[(u64, Name, u64)]) {
        for (key, team, rate) in work {
            self.displaced.remove(key);
            self.running.insert(*key, RunningWork { team: team.clone(), rate: *rate, since: at });
        }
    }

    fn apply_ended(&mut self, at: u64, work: &[(u64, bool)]) {
        self.displaced.retain(|_, displaced| displaced.until > at);
        self.admitted.retain(|_, admitted| admitted.until > at);
        self.finished_replacements.retain(|_, until| *until > at);
        let until = at.saturating_add(RESTART_WINDOW_MS);
        for (key, may_restart) in work {
            let was_replacement = self.replacements.remove(key);
            let Some(work) = self.running.remove(key) else { continue };
            if *may_restart {
                self.displaced.insert(*key, DisplacedWork { team: work.team, until });
            } else if was_replacement {
                self.finished_replacements.insert(*key, until);
            }
        }
    }

    fn apply_directive(&mut self, directive: &Directive) {
        let mut directives = Directives::from(std::mem::take(&mut self.directives));
        directives.apply(&directive.subject, directive.effective());
        self.directives = directives.into();
    }

    fn apply_announcement(&mut self, of: &LogId, number: u64, work: &[(u64, RunningWork)]) {
        let known = self.announced.entry(of.writer.clone()).or_default();
        if (known.incarnation, known.number) != (of.incarnation, number) {
            *known = AnnouncedWork { incarnation: of.incarnation, number, work: BTreeMap::new() };
        }
        known.work.extend(work.iter().cloned());
    }

    /// Closes the months before the last one: one sum of each team is left of them.
    fn close_months(&mut self) {
        let first_open = self.first_open_month();
        let closing: Vec<(Name, u32)> =
            self.balances.keys().filter(|(_, month)| *month < first_open).cloned().collect();
        for key in closing {
            let balance = self.balances.remove(&key).unwrap_or_default();
            *self.closed_months.entry(key).or_default() += balance.spent;
        }
        self.transferred_out.retain(|transfer, _| transfer.month >= first_open);
        let first_retained = self.month.saturating_sub(CLOSED_MONTHS_RETAINED);
        self.closed_months.retain(|(_, month), _| *month >= first_retained);
    }
}
