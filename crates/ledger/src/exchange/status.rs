//! Status lines for the operators.

use super::Exchange;
use mulleinhub_interface::Duration;
use mulleinhub_quota::TeamStatus;
use mulleinhub_replicated_log::{LogKind, MemberState};

/// Time between two updates of the status lines.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

impl Exchange {
    /// Hands out new status lines where it is time to.
    pub(super) fn update_status(&mut self) {
        if self.now < self.status_at {
            return;
        }
        self.status_at = self.now + STATUS_INTERVAL;
        let mut lines = vec![self.summary_line()];
        lines.extend(self.work_log_line());
        lines.extend(self.keeper.team_statuses().iter().map(team_line));
        let logs = self.keeper.fleet_logs().logs();
        let forked = logs.filter(|(_, log)| log.is_forked());
        lines
            .extend(forked.map(|(id, _)| format!("column {} life {} HAS FORKED", id.writer, id.incarnation)));
        let work_logs = self.keeper.logs(LogKind::Work).logs();
        let forked = work_logs.filter(|(_, log)| log.is_forked());
        lines.extend(
            forked.map(|(id, _)| format!("work log {} life {} HAS FORKED", id.writer, id.incarnation)),
        );
        self.shelf.set_status(lines);
    }

    /// Who holds our work log, where we write one, and whose we hold.
    fn work_log_line(&self) -> Option<String> {
        let wanted = self.keeper.settings().replicas?;
        if !self.keeper.writes_work_log() {
            return Some("work log: none, all work stands in the fleet log".to_owned());
        }
        let (held, copies) = (self.holding_replicas(), self.keeper.copied_writers().count());
        Some(format!("work log: replicas {held} of {wanted}, copies held of {copies} members"))
    }

    /// Phase, connections, membership and size of the logs.
    fn summary_line(&self) -> String {
        let (now, keeper, membership) = (self.now, &self.keeper, &self.keeper.membership);
        let count = |presence: MemberState| {
            membership.members().filter(|name| membership.member_state(now, name) == presence).count()
        };
        let newest = membership.members().filter_map(|name| membership.silence(now, name)).min();
        let news = newest
            .map_or("none".to_owned(), |span| format!("{:.1} s", span.ratio_to(Duration::from_secs(1))));
        format!(
            "books {:?}, connections {}, members there {} slow {} gone {}, newest news {news}, rows here {}",
            keeper.phase(),
            self.peers.values().filter(|peer| peer.greeted).count(),
            count(MemberState::Alive),
            count(MemberState::Suspect),
            count(MemberState::Dead),
            keeper.fleet_logs().logs().map(|(_, log)| log.retained()).sum::<usize>(),
        )
    }
}

/// What is known of a team's account.
fn team_line(look: &TeamStatus) -> String {
    format!(
        "team {} month {}-{:02} cap {} spent {} beyond {} free here {} + {} at hand {} + {}{}{}",
        look.team,
        look.month / 12,
        look.month % 12 + 1,
        look.cap.map_or("none".to_owned(), |cap| cap.to_string()),
        look.spent,
        look.overspent,
        look.free.open,
        look.free.running_only,
        look.available.open,
        look.available.running_only,
        if look.suspended { ", held" } else { "" },
        if look.directives_differ { ", ORDERS DIFFER" } else { "" },
    )
}
