//! Deadlines of client connections: greetings and frames that come too late, and silent peers.

use crate::connection::NEVER;
use crate::{Action, ConnectionLimits, DisconnectReason};
use mulleinhub_interface::Timestamp;

impl ConnectionLimits {
    /// The next connection whose deadline has passed, and what to do to it. Call until there is none; each
    /// wheel entry that is looked at costs one of `budget`, and the remaining entries stay due.
    pub fn next_due(&mut self, now: Timestamp, budget: &mut usize) -> Option<(u64, Action)> {
        loop {
            if *budget == 0 {
                return None;
            }
            let (entry, id) = self.wheel.pop_due(now)?;
            *budget -= 1;
            if let Some(action) = self.check_deadline(now, entry, id) {
                return Some((id, action));
            }
        }
    }

    /// What to do to the connection of a wheel entry, if its deadline has passed; else sets the next entry.
    fn check_deadline(&mut self, now: Timestamp, entry: Timestamp, id: u64) -> Option<Action> {
        let connection = self.connections.get_mut(&id)?;
        if connection.wheel_entry != entry {
            // Superseded by an earlier entry of the same connection.
            return None;
        }
        // Seen: a client that had sent its greeting was disconnected for sending none, while the greeting was
        // queued during our start.
        let deadline = match connection.queued {
            true => now + self.settings.greeting_timeout,
            false => connection.deadline(id, &self.settings, self.resumed_at),
        };
        if deadline > now {
            connection.wheel_entry = deadline;
            self.wheel.insert(now, deadline, id);
            return None;
        }
        let reason = if connection.greeting_deadline(&self.settings) <= now {
            DisconnectReason::GreetingTimeout
        } else if connection.frame_timed_out(now, &self.settings) {
            DisconnectReason::FrameTimeout
        } else if connection.pinged_at != NEVER {
            DisconnectReason::KeepaliveTimeout
        } else {
            connection.pinged_at = now;
            connection.wheel_entry = connection.deadline(id, &self.settings, self.resumed_at);
            self.wheel.insert(now, connection.wheel_entry, id);
            return Some(Action::Ping);
        };
        self.remove(id);
        self.count_disconnect(reason);
        Some(Action::Disconnect(reason))
    }

    /// When `next_due` is to be called again at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.wheel.next_wakeup()
    }

    /// Entries of the timer wheel: one for each connection, and a few superseded ones.
    pub fn timer_entries(&self) -> usize {
        self.wheel.len()
    }
}
