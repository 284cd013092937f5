//! Owners, machines and a bulletin around one scheduler, in virtual time: they do what a story says and no
//! more.

use crate::{Conf, Platform};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_platform_protocol::{FrameBuffer, code, kind, write_message};
use mulleinhub_sans_io::{CloseReason, Command, ConnectionId, ListenerId, StateMachine};
use std::collections::{BTreeMap, BTreeSet};

/// A message as it was written, for looking at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Said {
    pub at: Timestamp,
    pub kind: u8,
    pub task: u64,
    pub params: Vec<(u8, Vec<u8>)>,
}

impl Said {
    pub fn param(&self, code: u8) -> Option<&[u8]> {
        self.params.iter().find(|(c, _)| *c == code).map(|(_, value)| &value[..])
    }

    pub fn cause(&self) -> Option<u8> {
        self.param(code::CAUSE).map(|cause| cause[0])
    }
}

/// What an address does with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    Open,
    Refuses,
    /// It neither comes up nor is refused.
    Silent,
    /// We have no descriptor for it.
    Untried,
}

pub struct Rig {
    pub platform: Platform,
    pub now: Timestamp,
    pub doors: BTreeMap<String, Entrance>,
    /// Connections that the scheduler opened, by address, and whether bytes are taken from them.
    pub opened: BTreeMap<ConnectionId, String>,
    pub stuck: BTreeSet<ConnectionId>,
    owners: BTreeSet<ConnectionId>,
    frames: BTreeMap<ConnectionId, FrameBuffer>,
    pub raw: BTreeMap<ConnectionId, Vec<u8>>,
    heard: Vec<(ConnectionId, Said)>,
    pub closed: BTreeSet<ConnectionId>,
}

pub const BULLETIN: &str = "127.0.0.1:8500";
pub const START: Timestamp = Timestamp::from_nanos(1_700_000_000_000_000_000);

pub fn ms(ms: u64) -> Duration {
    Duration::from_nanos(ms * 1_000_000)
}

pub fn uid(n: u64) -> String {
    format!("s-{n:08x}")
}

pub fn address(n: u64) -> String {
    format!("127.0.{}.{}:5080", 1 + n / 250, n % 250)
}

/// One line of the list.
pub fn listed(n: u64, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{}","endpoint":"{}","az":"hall-{}","model":"big","pod_group":{},"state":"{state}",
        "capacity_hint":1,"boot_ms":{boot_ms},"room":[32.0,64.0]}}"#,
        uid(n),
        address(n),
        n % 2,
        n % 2
    )
    .replace('\n', "")
}

pub fn event(no: u64, all: bool, lines: &[String]) -> String {
    format!(r#"{{"no":{no},"roster":{{"rev":{no},"all":{all},"targets":[{}]}}}}"#, lines.join(","))
}

pub fn conf(known: &str, bulletin: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"00000000000000a7","bulletin":"{bulletin}",
        "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},"known":{{"no":1,"items":[{known}]}},
        "settings":{{"balancers":1,"index":0,"myZone":0,"discovery":"push","localities":["hall-0","hall-1"],
        "shapes":["big"],
        "classes":[{{"name":"batch","effect":"by_key","group":"cell","window":5000000000,"target":600000000,
                     "deadline":2000000000,"gain":3}},
                   {{"name":"front","effect":"repeatable","target":1000000000,
                     "deadline":2500000000,"gain":9}}],
        "limits":{{"cancel":true,"connectTimeout":250000000,"keepalive":15000000000,"maxAttempts":4}},
        "rules":{{"askWithin":10000000000,"fall":1000000000,"warmAfter":10000000000}},
        "specifics":{{"acceptsCores":2.0,"acceptsMemory":1.2,"kindCores":[32],"memoryByKind":[64],
                      "kindByClass":[-1,-1],"precedence":[0,1],"spreadOver":["machine","machine"],
                      "togetherMax":[2,1],"yesAt":"accepted","youngLimit":40,"tellsPressure":false,
                      "fullUpTo":[1.0,0.8],"classFade":[1.0,0.2]}},
        "tariffs":{{"fleet":0.2}}}}}}"#
    )
}

impl Rig {
    /// A scheduler that knows so many machines, has had its first turn, and hears the bulletin.
    pub fn new(machines: u64) -> Self {
        Self::of(machines, |conf| conf)
    }

    /// With other words in the configuration.
    pub fn of(machines: u64, change: impl Fn(String) -> String) -> Self {
        let lines: Vec<String> = (1..=machines).map(|n| listed(n, "in_service", 0)).collect();
        Self::knowing(START, &lines, change)
    }

    /// One that starts then and knows this list.
    pub fn knowing(now: Timestamp, lines: &[String], change: impl Fn(String) -> String) -> Self {
        let conf = Conf::read(&change(conf(&event(1, true, lines), BULLETIN))).expect("a good one");
        let mut rig = Self {
            platform: Platform::new(conf),
            now,
            doors: BTreeMap::new(),
            opened: BTreeMap::new(),
            stuck: BTreeSet::new(),
            owners: BTreeSet::new(),
            frames: BTreeMap::new(),
            raw: BTreeMap::new(),
            heard: Vec::new(),
            closed: BTreeSet::new(),
        };
        rig.turn();
        let link = rig.on(BULLETIN)[0];
        rig.say(link, b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: \n\n");
        rig
    }

    /// One turn after another until nothing is left to do at this instant.
    pub fn turn(&mut self) {
        for _ in 0..50 {
            self.platform.poll(self.now);
            if !self.carry() && self.platform.next_wakeup().is_none_or(|wake| wake > self.now) {
                return;
            }
        }
        panic!("no rest within fifty turns of one instant");
    }

    /// Takes what the scheduler wrote and asked for; true where that brought anything back to it.
    fn carry(&mut self) -> bool {
        let mut back = false;
        loop {
            while let Some(link) = self.platform.connections().next_with_output() {
                self.take_from(link);
            }
            let Some(ask) = self.platform.connections().next_command() else { return back };
            match ask {
                Command::Open(link, to) => {
                    self.opened.insert(link, to.clone());
                    match self.doors.get(&to).copied().unwrap_or(Entrance::Open) {
                        Entrance::Open => {
                            self.platform.on_connected(self.now, link);
                            self.take_from(link);
                        }
                        door @ (Entrance::Refuses | Entrance::Untried) => {
                            self.opened.remove(&link);
                            let end = if door == Entrance::Refuses {
                                CloseReason::Refused
                            } else {
                                CloseReason::NotAttempted
                            };
                            self.platform.on_closed(self.now, link, end);
                        }
                        Entrance::Silent => {
                            self.stuck.insert(link);
                        }
                    }
                    back = true;
                }
                Command::Close { connection: link, .. } => {
                    self.take_from(link);
                    self.platform.connections().discard(link);
                    self.opened.remove(&link);
                    self.closed.insert(link);
                }
            }
        }
    }

    fn take_from(&mut self, link: ConnectionId) {
        let is_there = self.owners.contains(&link) || self.opened.contains_key(&link);
        if !is_there || self.stuck.contains(&link) {
            return;
        }
        let bytes = self.platform.connections().outgoing(link).to_vec();
        self.platform.connections().mark_written(link, bytes.len());
        if self.opened.get(&link).is_some_and(|to| to.ends_with(":8500") || to.ends_with(":8501")) {
            return self.raw.entry(link).or_default().extend(bytes);
        }
        let frames = self.frames.entry(link).or_default();
        frames.extend(&bytes);
        while let Some(frame) = frames.next_frame().expect("the scheduler speaks rightly") {
            let params = frame.params().map(|(code, value)| (code, value.to_vec())).collect();
            self.heard.push((link, Said { at: self.now, kind: frame.kind, task: frame.task, params }));
        }
    }

    /// Lets time pass, in steps as short as the scheduler wants its turns.
    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            let wake = self.platform.next_wakeup().unwrap_or(until).max(self.now + ms(1));
            self.now = wake.min(until);
            self.bulletin_lives();
            self.turn();
        }
    }

    /// The bulletin's comment, so that it is not silent.
    fn bulletin_lives(&mut self) {
        let open: Vec<ConnectionId> =
            self.on(BULLETIN).into_iter().filter(|l| !self.stuck.contains(l)).collect();
        for link in open {
            self.platform.on_data(self.now, link, b": \n\n");
        }
    }

    /// Connections that the scheduler has open to this address.
    pub fn on(&self, address: &str) -> Vec<ConnectionId> {
        self.opened.iter().filter(|(_, to)| *to == address).map(|(link, _)| *link).collect()
    }

    pub fn owner(&mut self) -> ConnectionId {
        let link = self.comes();
        self.turn();
        link
    }

    /// An owner's connection is taken, and no turn follows yet.
    pub fn comes(&mut self) -> ConnectionId {
        let link = self.platform.connections().register();
        self.owners.insert(link);
        self.platform.on_connection_accepted(self.now, link, ListenerId(0));
        link
    }

    pub fn say(&mut self, link: ConnectionId, bytes: &[u8]) {
        self.platform.on_data(self.now, link, bytes);
        self.turn();
    }

    /// The other side ends this connection.
    pub fn end(&mut self, link: ConnectionId, end: CloseReason) {
        self.opened.remove(&link);
        self.platform.on_closed(self.now, link, end);
        self.turn();
    }

    /// A connection that was held back comes up: what waits for it leaves once the scheduler has had its
    /// turn.
    pub fn comes_up(&mut self, link: ConnectionId) {
        self.platform.on_connected(self.now, link);
        self.platform.poll(self.now);
        self.stuck.remove(&link);
        self.take_from(link);
        self.turn();
    }

    /// What was said on connections for which this holds, and was not looked at yet.
    pub fn heard(&mut self, which: impl Fn(ConnectionId) -> bool) -> Vec<(ConnectionId, Said)> {
        let (taken, left) = std::mem::take(&mut self.heard).into_iter().partition(|(link, _)| which(*link));
        self.heard = left;
        taken
    }

    pub fn heard_on(&mut self, link: ConnectionId) -> Vec<Said> {
        self.heard(|other| other == link).into_iter().map(|(_, said)| said).collect()
    }

    /// Set-ups that machines got and nobody looked at yet.
    pub fn set_ups(&mut self) -> Vec<(ConnectionId, Said)> {
        let owners = self.owners.clone();
        let all = self.heard(|link| !owners.contains(&link));
        let (set_ups, others): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(_, said)| said.kind == kind::START);
        self.heard.extend(others);
        set_ups
    }

    pub fn address_of(&self, link: ConnectionId) -> &str {
        &self.opened[&link]
    }
}

/// A message of any kind.
pub fn message(kind: u8, task: u64, params: &[(u8, &[u8])]) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, kind, task, params);
    out
}

pub const KEY: &[u8] = b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211";

/// A set-up as owners send it; `more` goes behind the figures.
pub fn set_up(task: u64, class: &str, more: &str) -> Vec<u8> {
    let name = format!("{:016x}", task ^ 0xabcd);
    let figures = format!("cores:1;memory:2;service:{:016x}{more}", task % 7);
    let mut params: Vec<(u8, &[u8])> = vec![(code::CLASS, class.as_bytes()), (code::TIMEOUT, b"2000")];
    if class == "batch" {
        params.push((code::IDEMPOTENCY_KEY, KEY));
    }
    params.push((code::NAME, name.as_bytes()));
    params.push((code::RESOURCES, figures.as_bytes()));
    params.push((code::DESCRIPTION, b"wanted\r\n"));
    message(kind::START, task, &params)
}

/// The same, of an owner that waits for so long.
pub fn waits(set_up: Vec<u8>, ms: &str) -> Vec<u8> {
    let at = set_up.windows(6).position(|six| six == b"\x00\x042000").expect("it waits two seconds");
    let body = [&set_up[2..at], &(ms.len() as u16).to_be_bytes(), ms.as_bytes(), &set_up[at + 6..]].concat();
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

pub fn yes(task: u64) -> Vec<u8> {
    message(kind::ACCEPT, task, &[(code::DESCRIPTION, b"made\r\n")])
}

pub fn release(task: u64, cause: u8) -> Vec<u8> {
    message(kind::RELEASE, task, &[(code::CAUSE, &[cause])])
}
