//! The scheduler as the platform's party, without I/O: it hears owners, machines and the bulletin, tells the
//! module what came in, and carries out what the module chooses.
//!
//! For: what stands between the platform's messages and the decisions: connections and what their ends prove,
//! final answers and who is to hear them, machines that are out of reach. One turn is one round of the
//! module. May not touch: sockets, clocks, files; any choice of machine, retry or refusal, which are the
//! module's.

mod conf;
mod desk;
mod handover;
mod hear;
mod machines;
mod owners;
mod pen;
#[cfg(test)]
mod stories;
mod tasks;
mod watch;

pub use conf::Conf;
pub use desk::Counts;

use desk::{Desk, Due};
use mulleinhub::PlacementPolicy;
use mulleinhub_interface::{Policy, Timestamp};
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use pen::Pen;
use std::cell::RefCell;

pub struct Platform {
    mind: PlacementPolicy,
    desk: RefCell<Desk>,
    begun: bool,
}

impl Platform {
    pub fn new(conf: Conf) -> Self {
        let mind = conf.site.placement_policy(conf.seed);
        Self { mind, desk: RefCell::new(Desk::new(conf)), begun: false }
    }

    /// The bulletin is at this address from now on; the numbers go on.
    pub fn reload(&mut self, now: Timestamp, conf: Conf) {
        let desk = self.desk.get_mut();
        desk.now = desk.now.max(now);
        desk.move_watch(conf.bulletin);
    }

    /// It is to end: tests fail from now on. Told again, nothing changes.
    pub fn wind_down(&mut self, now: Timestamp) {
        self.desk.get_mut().ending.get_or_insert(now);
    }

    /// Nobody comes any more, and all that was taken is answered.
    pub fn is_done(&self, now: Timestamp) -> bool {
        self.desk.borrow().is_done(now)
    }

    pub fn counts(&self) -> Counts {
        self.desk.borrow().counts
    }
}

impl StateMachine for Platform {
    fn on_connection_accepted(&mut self, now: Timestamp, link: ConnectionId, _: ListenerId) {
        self.desk.get_mut().owner_came(now, link);
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        self.desk.get_mut().is_up(now, link);
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        self.desk.get_mut().came_in(now, link, bytes);
    }

    fn on_closed(&mut self, now: Timestamp, link: ConnectionId, end: CloseReason) {
        self.desk.get_mut().has_ended(now, link, end);
    }

    fn poll(&mut self, now: Timestamp) {
        let Self { mind, desk, begun } = self;
        desk.get_mut().begin_turn(now);
        let first = !std::mem::replace(begun, true);
        let desk = &*desk;
        Policy::round(mind, now, &mut Pen(desk), &mut |round| {
            if first {
                round.on_start();
                hear::begin(desk, round);
            }
            hear::bulletin(desk, round);
            hear::ending(desk, round);
            hear::all_that_came(desk, round);
            // Ends that fall due below are told in the next turn, which follows at once: what gives a send up
            // is out by then, before the module's next send of that task.
            hear::closings(desk, round);
            // Only now: an answer that lay waiting while this process stood still came first.
            let mark = desk.borrow().timers.last_sequence();
            loop {
                let due = desk.borrow_mut().timers.pop_due_up_to(now, mark);
                match due {
                    Some(Due::Token(token)) => round.on_timer(token),
                    Some(due) => hear::due(desk, due),
                    None => break,
                }
            }
            hear::look_after_owners(&mut desk.borrow_mut());
            // In this very round. Met: a connection was ended for half a message, and the module answered the
            // task that had waited there, which was no longer in hand.
            hear::tell_gone(desk, round);
        });
        self.desk.get_mut().end_turn();
    }

    fn is_priority(&self, link: ConnectionId) -> bool {
        !matches!(self.desk.borrow().who(link), Some(desk::Who::Owner) | None)
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.begun { self.desk.borrow().wake() } else { Some(Timestamp::default()) }
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.desk.get_mut().links
    }

    fn accept_budget(&self, _: ListenerId) -> usize {
        self.desk.borrow().takes()
    }

    fn on_descriptors_exhausted(&mut self, now: Timestamp) {
        let desk = self.desk.get_mut();
        desk.now = desk.now.max(now);
        for conn in desk.limits.on_descriptors_exhausted(now) {
            desk.is_to_give_way(ConnectionId(conn));
        }
    }
}
