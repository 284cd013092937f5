//! Connections of owners: what came in on them, and which tasks are to be answered there.

use mulleinhub_interface::{TaskId, Timestamp};
use mulleinhub_platform_protocol::{Cause, FrameBuffer};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug)]
pub struct Owner {
    pub frames: FrameBuffer,
    pub end: Option<CloseReason>,
    pub queued: bool,
    /// Since when a part of a message has been here, if one is.
    pub partial_since: Option<Timestamp>,
    /// When the first of what waits to be heard was read, and after how many turns.
    pub since: (Timestamp, u64),
    pub heard_at: Timestamp,
    /// A task of it stood, or it handed one over: it may be told of any task. Met: who only asked rightly
    /// need be no owner, and ends told there were heard by nobody.
    pub proven: bool,
    /// Tasks that are to be answered here.
    pub open: BTreeSet<TaskId>,
    /// Those of them that the module hears of once all that lies here has been heard: the client may have
    /// left behind them. Met: a client that asked often and left during a standstill of ours was sent on, as
    /// its end lay behind more messages than one turn hears.
    pub taken: Vec<TaskId>,
    /// Since when it is to make room: it is ended once a turn has passed in which nothing of it was here to
    /// be heard. Met: connections were ended while a set-up lay on them unread.
    pub gives_way: Option<Timestamp>,
    /// There was no room for it: what it asks is refused, and then it is ended.
    pub turned_away: bool,
}

impl Owner {
    pub fn new(since: (Timestamp, u64)) -> Self {
        Self {
            frames: FrameBuffer::default(),
            end: None,
            queued: false,
            partial_since: None,
            since,
            heard_at: since.0,
            proven: false,
            open: BTreeSet::new(),
            taken: Vec::new(),
            gives_way: None,
            turned_away: false,
        }
    }
}

#[derive(Debug, Default)]
pub struct Owners {
    pub by_link: BTreeMap<ConnectionId, Owner>,
    /// Those that are to make room, as of the last turn and of this one.
    pub giving_way: Vec<ConnectionId>,
    /// Those for whom there was no room, the first to come first, and until when they may ask.
    pub turned_away: VecDeque<(Timestamp, ConnectionId)>,
    /// Releases that found no owner connected, oldest first.
    pub owed: VecDeque<(Timestamp, TaskId, Cause)>,
}

impl Owners {
    /// Where the end of a task is told: on the connection that it came on, else on the one that spoke last.
    pub fn to_tell(&self, came_on: Option<ConnectionId>) -> Option<ConnectionId> {
        let came_on = came_on.filter(|link| self.by_link.get(link).is_some_and(|owner| owner.end.is_none()));
        came_on.or_else(|| {
            let open = self.by_link.iter().filter(|(_, owner)| owner.proven && owner.end.is_none());
            open.max_by_key(|(link, owner)| (owner.heard_at, **link)).map(|(link, _)| *link)
        })
    }
}
