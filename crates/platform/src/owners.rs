//! Connections of owners: what came in on them, and which tasks are to be answered there.

use mulleinhub_interface::{TaskId, Time};
use mulleinhub_platform_protocol::{Cause, Frames};
use mulleinhub_seam::{End, Link};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug)]
pub struct Owner {
    pub frames: Frames,
    pub end: Option<End>,
    pub queued: bool,
    /// When the first of what waits to be heard was read, and after how many turns.
    pub since: (Time, u64),
    pub heard_at: Time,
    /// A task of it stood, or it handed one over: it may be told of any task. Met: who only asked rightly
    /// need be no owner, and ends told there were heard by nobody.
    pub proven: bool,
    /// Tasks that are to be answered here.
    pub open: BTreeSet<TaskId>,
}

impl Owner {
    pub fn new(since: (Time, u64)) -> Self {
        Self {
            frames: Frames::default(),
            end: None,
            queued: false,
            since,
            heard_at: since.0,
            proven: false,
            open: BTreeSet::new(),
        }
    }
}

#[derive(Debug, Default)]
pub struct Owners {
    pub by_link: BTreeMap<Link, Owner>,
    /// Releases that found no owner connected, oldest first.
    pub owed: VecDeque<(Time, TaskId, Cause)>,
}

impl Owners {
    /// Where the end of a task is told: on the connection that it came on, else on the one that spoke last.
    pub fn to_tell(&self, came_on: Option<Link>) -> Option<Link> {
        let came_on = came_on.filter(|link| self.by_link.get(link).is_some_and(|owner| owner.end.is_none()));
        came_on.or_else(|| {
            let open = self.by_link.iter().filter(|(_, owner)| owner.proven && owner.end.is_none());
            open.max_by_key(|(link, owner)| (owner.heard_at, **link)).map(|(link, _)| *link)
        })
    }
}
