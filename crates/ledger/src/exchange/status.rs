//! Status lines for the operators. Their format is documented in docs/books.md.

use super::Exchange;
use mulleinhub_interface::Duration;
use mulleinhub_quota::TeamStatus;
use mulleinhub_replicated_log::{LogKind, MemberState};

/// Time between two updates of the status lines.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

impl Exchange {
    /// Updates the status lines where that is due.
    pub(super) fn update_status(&mut self) {
        if self.now < self.status_at {
            return;
        }
        self.status_at = self.now + STATUS_INTERVAL;
        let mut lines = vec![self.summary_line()];
        lines.extend(self.work_log_line());
        lines.extend(self.ledger.team_statuses().iter().map(team_line));
        let logs = self.ledger.fleet_logs().logs();
        let forked = logs.filter(|(_, log)| log.is_forked());
        lines
            .extend(forked.map(|(id, _)| format!("column {} life {} HAS FORKED", id.writer, id.incarnation)));
        let work_logs = self.ledger.logs(LogKind::Work).logs();
        let forked = work_logs.filter(|(_, log)| log.is_forked());
        lines.extend(
            forked.map(|(id, _)| format!("work log {} life {} HAS FORKED", id.writer, id.incarnation)),
        );
        self.pools.set_status(lines);
    }

    /// How many replicas hold our work log, where we write one, and how many members' copies we hold.
    fn work_log_line(&self) -> Option<String> {
        let wanted = self.ledger.settings().replicas?;
        if !self.ledger.writes_work_log() {
            return Some("work log: none, all work stands in the fleet log".to_owned());
        }
        let (held, copies) = (self.holding_replicas(), self.ledger.copied_writers().count());
        Some(format!("work log: replicas {held} of {wanted}, copies held of {copies} members"))
    }

    /// Phase, connections, membership and size of the logs.
    fn summary_line(&self) -> String {
        let (now, ledger, membership) = (self.now, &self.ledger, &self.ledger.membership);
        let count = |member_state: MemberState| {
            membership.members().filter(|name| membership.member_state(now, name) == member_state).count()
        };
        let newest = membership.members().filter_map(|name| membership.silence(now, name)).min();
        let last_contact = newest.map_or("none".to_owned(), |silence| {
            format!("{:.1} s", silence.ratio_to(Duration::from_secs(1)))
        });
        format!(
            "books {:?}, connections {}, members there {} slow {} gone {}, newest news {last_contact}, rows here {}",
            ledger.phase(),
            self.peers.values().filter(|peer| peer.established).count(),
            count(MemberState::Alive),
            count(MemberState::Suspect),
            count(MemberState::Dead),
            ledger.fleet_logs().logs().map(|(_, log)| log.retained()).sum::<usize>(),
        )
    }
}

/// The status line of a team.
fn team_line(team: &TeamStatus) -> String {
    format!(
        "team {} month {}-{:02} cap {} spent {} beyond {} free here {} + {} at hand {} + {}{}{}",
        team.team,
        team.month / 12,
        team.month % 12 + 1,
        team.cap.map_or("none".to_owned(), |cap| cap.to_string()),
        team.spent,
        team.overspent,
        team.free.open,
        team.free.running_only,
        team.available.open,
        team.available.running_only,
        if team.suspended { ", held" } else { "" },
        if team.directives_differ { ", ORDERS DIFFER" } else { "" },
    )
}
