//! Final answers and ends of tasks, on their way to clients.

use super::{Acknowledgement, Client, ClientProof, UnreportedEnd, proves_itself};
use crate::state::SchedulerState;
use crate::tasks::{ClientInterest, hex};
use mulleinhub_interface::{Duration, TaskId};
use mulleinhub_platform_protocol::{self as protocol, Cause, kind};
use mulleinhub_sans_io::{CloseReason, ConnectionId};

/// The end of a task is kept this long where no client is connected to receive it.
const REPORT_TIMEOUT: Duration = Duration::from_secs(60);
/// An end waits this long for a client that has proven itself; it is due within a second.
const OFFER_DELAY: Duration = Duration::from_nanos(500_000_000);
/// A client that acknowledges ends does so within this of whatever else it sends.
const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Ends that one client has not acknowledged and that are kept for it.
const MAX_UNACKNOWLEDGED: usize = 1_024;

impl SchedulerState {
    /// The final answer of a task is given, or nobody waits for it any more.
    pub fn mark_answered(&mut self, id: TaskId) {
        let Some(task) = self.tasks.by_id.get_mut(&id).filter(|task| task.awaits_answer()) else { return };
        task.interest = ClientInterest::AwaitsEnd;
        let (service, client) = (task.spec.service.0, task.client);
        self.tasks.unanswered -= 1;
        self.admission.release(self.now, service);
        if let Some(connection_id) = client {
            self.clients.remove_awaiting(connection_id, id);
        }
    }

    /// The final answer of a task is given, which is no acceptance: its client wants nothing more of it.
    pub fn mark_refused(&mut self, id: TaskId) {
        self.mark_answered(id);
        if let Some(task) = self.tasks.by_id.get_mut(&id) {
            task.interest = ClientInterest::Cancelled;
        }
    }

    /// Reports the end of a task that ran, or of one that is not held.
    pub fn report_end(&mut self, came_on: Option<ConnectionId>, task: TaskId, cause: Cause) {
        let end = UnreportedEnd { since: self.now, task, cause, offered_on: None };
        match self.clients.recipient(came_on) {
            Some(connection_id) => self.send_end(connection_id, end),
            None => self.clients.unreported_ends.push_back(end),
        }
    }

    /// Reports an end on this connection, unless that is done, and keeps it there until it is acknowledged.
    fn send_end(&mut self, connection_id: ConnectionId, end: UnreportedEnd) {
        if end.offered_on != Some(connection_id) {
            self.write_end(connection_id, end);
        }
        let now = self.now;
        let Some(client) = self.clients.by_connection.get_mut(&connection_id) else { return };
        let ends = &mut client.unacknowledged_ends;
        if ends.len() >= MAX_UNACKNOWLEDGED {
            ends.pop_front();
        }
        ends.push_back(UnreportedEnd { since: now, ..end });
    }

    fn write_end(&mut self, connection_id: ConnectionId, end: UnreportedEnd) {
        let UnreportedEnd { task, cause, .. } = end;
        tracing::debug!(
            task = hex(task),
            connection = connection_id.0,
            cause,
            "end of task reported to client"
        );
        self.send(connection_id, |out| protocol::write_with_cause(out, kind::RELEASE, task.0, cause));
    }

    /// A client has read the end of a task.
    pub fn acknowledge_end(&mut self, connection_id: ConnectionId, task: TaskId) {
        self.clients.acknowledgement = Acknowledgement::Expected;
        if let Some(client) = self.clients.by_connection.get_mut(&connection_id) {
            client.unacknowledged_ends.retain(|end| end.task != task);
        }
        let is_it = |end: &UnreportedEnd| end.task == task && end.offered_on == Some(connection_id);
        if let Some(position) = self.clients.unreported_ends.iter().position(is_it) {
            self.clients.unreported_ends.remove(position);
            proves_itself(self, connection_id, ClientProof::TaskKnown);
        }
    }

    /// A client has sent something: where that follows long after an end that it has not acknowledged, clients
    /// acknowledge none.
    pub fn observe_acknowledgement(&mut self, connection_id: ConnectionId) {
        let Some(client) = self.clients.by_connection.get_mut(&connection_id) else { return };
        let now = self.now;
        let oldest = client.unacknowledged_ends.front();
        if oldest.is_none_or(|end| now - end.since <= ACKNOWLEDGEMENT_TIMEOUT) {
            return;
        }
        match self.clients.acknowledgement {
            Acknowledgement::Unknown => self.clients.acknowledgement = Acknowledgement::Omitted,
            Acknowledgement::Expected => return,
            Acknowledgement::Omitted => {}
        }
        client.unacknowledged_ends.retain(|end| now - end.since <= ACKNOWLEDGEMENT_TIMEOUT);
    }

    /// The connection of this client is gone. Ends that it has not acknowledged are reported on another one, where
    /// clients do that; where it is not known whether they do, those that an orderly end of the connection does not
    /// show to have been read.
    pub fn repeat_unacknowledged_ends(&mut self, client: Client) {
        let is_repeated = match self.clients.acknowledgement {
            Acknowledgement::Expected => true,
            Acknowledgement::Unknown => client.close_reason == Some(CloseReason::Broken),
            Acknowledgement::Omitted => false,
        };
        let ends = client.unacknowledged_ends.into_iter().filter(|_| is_repeated);
        for end in ends.filter(|end| self.now - end.since <= REPORT_TIMEOUT).collect::<Vec<_>>() {
            self.report_end(None, end.task, end.cause);
        }
    }

    /// Reports the ends that no client was connected to receive, once one is.
    pub fn send_unreported_ends(&mut self) {
        // After the timeout nobody waits for it.
        let now = self.now;
        let is_stale = |end: &UnreportedEnd| now - end.since > REPORT_TIMEOUT;
        while self.clients.unreported_ends.front().is_some_and(is_stale) {
            self.clients.unreported_ends.pop_front();
        }
        if self.clients.unreported_ends.is_empty() {
            return;
        }
        let Some(connection_id) = self.clients.recipient(None) else { return self.offer_unreported_ends() };
        for end in std::mem::take(&mut self.clients.unreported_ends) {
            self.send_end(connection_id, end);
        }
    }

    /// No client is connected that has proven itself: what has waited for one is sent where one may be, and kept
    /// until it is acknowledged there or one has proven itself. Where clients acknowledge nothing it may be reported
    /// twice. Seen: such a client, whose requests were all refused for the moment, was never notified.
    fn offer_unreported_ends(&mut self) {
        let Some(connection_id) = self.clients.likely_recipient(self.now) else { return };
        let mut ends = std::mem::take(&mut self.clients.unreported_ends);
        let now = self.now;
        for end in ends.iter_mut().take_while(|end| now - end.since >= OFFER_DELAY) {
            if !end.offered_on.is_some_and(|offered_on| self.clients.is_open(offered_on)) {
                end.offered_on = Some(connection_id);
                self.write_end(connection_id, *end);
            }
        }
        self.clients.unreported_ends = ends;
    }
}
