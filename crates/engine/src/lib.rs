//! The planner without I/O: it hears clients, machines and the list service, tells the module what came in,
//! and carries out what the module chooses.
//!
//! For: what stands between the wire and the decisions: connections and what their ends prove, sends and
//! their proofs, final answers and who is to hear them, copies that nobody holds. One turn is one round of
//! the module.
//! May not touch: sockets, clocks, files; any choice of machine, rest, order or nack, which are the module's.

mod desk;
mod machines;
#[cfg(test)]
mod properties;
mod receive;
mod settings;

pub use desk::{Counts, Times};
pub use settings::Settings;

use desk::{Desk, Due, Pen};
use mulleinhub::PlacementPolicy;
use mulleinhub_interface::{Duration, Policy, PolicySettings, Quota, Timestamp};
use mulleinhub_limits::Why;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::cell::RefCell;

/// One planner.
pub struct Engine {
    mind: Box<dyn Policy>,
    desk: RefCell<Desk>,
    begun: bool,
    saved: Option<Vec<u8>>,
}

impl Engine {
    /// `life` is another number at each start; `saved` is what the last life kept, if it kept anything.
    pub fn new(settings: Settings, life: u64, saved: Option<Vec<u8>>) -> Self {
        let brain = PlacementPolicy::new(
            desk::own_seed(&settings, life),
            PolicySettings {
                use_cases: settings.use_cases.clone(),
                machine_kinds: settings.kinds.clone(),
                acceptance: settings.taking,
                slow_start: settings.cold,
                discovery: settings.listing,
                locality: settings.home,
            },
        );
        Self::with_mind(Box::new(brain), settings, life, saved)
    }

    /// With another mind than the module: baselines, for comparison only.
    pub fn with_mind(mind: Box<dyn Policy>, settings: Settings, life: u64, saved: Option<Vec<u8>>) -> Self {
        Self { mind, desk: RefCell::new(Desk::new(settings, life)), begun: false, saved }
    }

    /// With somebody who counts what tenants may use.
    #[must_use]
    pub fn with_quota(mut self, quota: Box<dyn Quota>) -> Self {
        self.desk.get_mut().quota = Some(quota);
        self
    }

    pub fn counts(&self) -> Counts {
        self.desk.borrow().counts()
    }

    /// How long tasks took since the start.
    pub fn times(&self) -> Times {
        self.desk.borrow().times.clone()
    }

    /// How it is, in lines for a person.
    pub fn status(&self) -> String {
        receive::status(&self.desk.borrow())
    }

    /// Why this planner is not to be given tasks now, in words; nothing where it is ready for them.
    pub fn not_ready(&self) -> Option<String> {
        self.desk.borrow().not_ready()
    }

    /// Takes nothing new from now on. It is idle once all in hand have their final answer.
    pub fn wind_down(&mut self) {
        self.desk.borrow_mut().winding_down = true;
    }

    /// Takes over what may change in service; gives back the directives that wait for the next start.
    pub fn reload(&mut self, new: &Settings) -> Vec<&'static str> {
        let settings = &mut self.desk.get_mut().settings;
        (settings.reconnect, settings.lost_after, settings.silence) =
            (new.reconnect, new.lost_after, new.silence);
        (settings.remember, settings.start_wait) = (new.remember, new.start_wait);
        settings.clients = new.clients.clone();
        (settings.most_in_hand, settings.most_unwritten) = (new.most_in_hand, new.most_unwritten);
        let mut fixed = Vec::new();
        let clients = settings.clients.clone();
        let mut differs = |name, is: bool| {
            if is {
                fixed.push(name);
            }
        };
        differs("name", settings.name != new.name);
        differs("seed", settings.seed != new.seed);
        differs("list", settings.list_address != new.list_address);
        differs("kind", settings.kinds != new.kinds);
        differs("use-case", format!("{:?}", settings.use_cases) != format!("{:?}", new.use_cases));
        differs("taking", format!("{:?}", settings.taking) != format!("{:?}", new.taking));
        differs("rules", format!("{:?}", settings.cold) != format!("{:?}", new.cold));
        differs("prices", format!("{:?}", settings.home) != format!("{:?}", new.home));
        let most = new.most_in_hand;
        self.desk.get_mut().limits.change(clients);
        self.desk.get_mut().admission.change(most);
        fixed
    }

    /// Clients' connections that were ended or refused by limits, by reason.
    pub fn clients_ended(&self) -> Vec<(&'static str, u64)> {
        let ended = &self.desk.borrow().limits.ended;
        Why::ALL.into_iter().map(|why| (why.name(), ended.get(&why).copied().unwrap_or(0))).collect()
    }

    /// Bytes of all buffers that are held for connections, and spare.
    pub fn buffers(&self) -> usize {
        let desk = self.desk.borrow();
        let partial: usize = desk.peers.values().map(|peer| peer.frames.owned()).sum();
        desk.links.held() + desk.spare.held() + partial
    }

    /// What the last turn cost, from whoever has a clock: where turns take long, fewer connections are
    /// allowed.
    pub fn turn_took(&mut self, now: Timestamp, took: Duration) {
        self.desk.get_mut().limits.turn_took(now, took);
    }

    /// So many descriptors this process may have: clients get what machines and the list leave of them.
    pub fn descriptors(&mut self, most: usize) {
        self.desk.get_mut().limits.descriptors(most);
    }

    /// Clients' connections that are open, and places of deadlines that are held for them.
    pub fn clients_open(&self) -> (usize, usize) {
        let desk = self.desk.borrow();
        (desk.limits.len(), desk.limits.timers())
    }

    /// Nothing waits to go out to clients.
    pub fn all_written(&self) -> bool {
        let desk = self.desk.borrow();
        desk.clients.values().all(|link| desk.links.unwritten(*link) == 0)
    }

    pub fn is_idle(&self) -> bool {
        self.desk.borrow().admission.in_hand() == 0
    }
}

impl StateMachine for Engine {
    fn on_connection_accepted(&mut self, now: Timestamp, link: ConnectionId, _: ListenerId) {
        self.desk.get_mut().client_came(now, link);
    }

    fn on_connected(&mut self, now: Timestamp, link: ConnectionId) {
        self.desk.get_mut().is_up(now, link);
    }

    fn on_data(&mut self, now: Timestamp, link: ConnectionId, bytes: &[u8]) {
        self.desk.get_mut().came_in(now, link, bytes);
    }

    fn on_closed(&mut self, _: Timestamp, link: ConnectionId, end: CloseReason) {
        self.desk.get_mut().has_ended(link, end);
    }

    fn poll_early(&mut self, now: Timestamp) {
        let Self { mind, desk, begun, .. } = self;
        if !*begun || !desk.get_mut().begin_early(now) {
            return;
        }
        let desk = &*desk;
        mind.round(now, &mut Pen(desk), &mut |round| {
            receive::receive_pending(desk, round);
            receive::close_pending(desk, round);
        });
        self.desk.get_mut().after_round();
    }

    fn is_priority(&self, link: ConnectionId) -> bool {
        self.desk.borrow().is_prompt(link)
    }

    fn poll(&mut self, now: Timestamp) {
        let Self { mind, desk, begun, saved } = self;
        desk.get_mut().begin_turn(now);
        let first = !std::mem::replace(begun, true);
        if !first && !desk.get_mut().has_news() {
            // Met: a turn without news promised no next one, and a standstill after it was not known.
            return desk.get_mut().end_turn();
        }
        let desk = &*desk;
        mind.round(now, &mut Pen(desk), &mut |round| {
            if first {
                round.on_start();
                receive::start(desk, round, saved.take());
            }
            receive::receive_pending(desk, round);
            // Only now: an answer that lay waiting while this process stood still came first.
            let mark = desk.borrow().timers.mark();
            loop {
                let due = desk.borrow_mut().due(mark);
                match due {
                    Some(Due::Token(token)) => round.on_timer(token),
                    Some(Due::Send(task, send)) => receive::on_time_out(desk, round, task, send),
                    Some(other) => receive::on_timer(desk, round, other),
                    None => break,
                }
            }
            receive::close_pending(desk, round);
            desk.borrow_mut().look_after_clients();
        });
        self.desk.get_mut().after_round();
        self.desk.get_mut().end_turn();
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        if self.begun { self.desk.borrow().wake() } else { Some(Timestamp::default()) }
    }

    fn connections(&mut self) -> &mut Connections {
        &mut self.desk.get_mut().links
    }

    fn accept_budget(&self, _: ListenerId) -> usize {
        self.desk.borrow().limits.takes()
    }

    fn on_descriptors_exhausted(&mut self, now: Timestamp) {
        self.desk.get_mut().pinched(now);
    }

    fn state_to_persist(&mut self) -> Option<Vec<u8>> {
        self.desk.get_mut().list_to_keep()
    }
}
