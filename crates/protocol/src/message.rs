//! The messages, by number, and which conversation each belongs to.

use crate::frame::Bad;
use minicbor::{Decode, Encode};

/// The version that this code speaks, and the least that it understands.
pub const VERSION: u16 = 1;
pub const LEAST_VERSION: u16 = 1;
/// A feature in a client's greeting: it has tasks out with this planner, and comes for news of them.
pub const HAS_TASKS: u64 = 1;

/// Planners tell each other in their greetings, as the feature, which rows of the books they can read: the
/// highest kind. Rows of higher kinds are kept and handed on unread.
pub const BOOKS: u64 = 10;
/// From this feature on a planner reads work logs, and what others announce of them.
pub const WORK_LOGS: u64 = 10;
/// The most ends of columns, rows, beats or orders in one message, and bytes of rows.
pub const MOST_TIPS: usize = 1024;
pub const MOST_ROWS_BYTES: usize = 128 * 1024;
/// Bytes of a digest.
const DIGEST: usize = 16;

/// The most characters of a name or of words, and the most entries of a list or tasks in one message.
pub const MOST_WORDS: usize = 512;
pub const MOST_ENTRIES: usize = 2000;
pub const MOST_HELD: usize = 2000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Conversation {
    #[n(0)]
    ClientPlanner,
    #[n(1)]
    PlannerMachine,
    #[n(2)]
    PlannerList,
    /// Planners that keep books together.
    #[n(3)]
    PlannerPlanner,
}

/// Who writes: the side that opened the connection, or the one that it was opened to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    Opener,
    Opened,
}

/// How a send or a placed task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Ending {
    #[n(0)]
    Done,
    #[n(1)]
    Errored,
    #[n(2)]
    Nacked,
    #[n(3)]
    Recalled,
    #[n(4)]
    Lost,
    #[n(5)]
    Evicted,
    #[n(6)]
    PushedOut,
    #[n(7)]
    SentAway,
    #[n(8)]
    Moved,
    #[n(9)]
    Stopped,
}

impl<'b> Message<'b> {
    /// The greeting of whoever opens a connection, in the versions that are spoken here.
    pub fn hello(conversation: Conversation, features: u64, name: &'b str, life: u64, clock: u64) -> Self {
        let (version, least_version) = (VERSION, LEAST_VERSION);
        Self::Hello { conversation, version, least_version, features, name, life, clock }
    }
}

impl Ending {
    /// Whether its owner wants it still: it was lost, moved or evicted, by no doing of its own.
    pub fn comes_again(self) -> bool {
        matches!(self, Self::Lost | Self::Evicted | Self::PushedOut | Self::SentAway | Self::Moved)
    }

    /// As reports call it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Errored => "errored",
            Self::Nacked => "nacked",
            Self::Recalled => "recalled",
            Self::Lost => "lost",
            Self::Evicted => "evicted",
            Self::PushedOut => "pushed out",
            Self::SentAway => "sent away",
            Self::Moved => "moved",
            Self::Stopped => "stopped",
        }
    }
}

/// Why a send was nacked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Reason {
    #[n(0)]
    Untold,
    #[n(1)]
    NoCores,
    #[n(2)]
    NoMemory,
    #[n(3)]
    LineFull,
    #[n(4)]
    NotHere,
    #[n(5)]
    HandedBack,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum Mode {
    #[n(0)]
    Active,
    #[n(1)]
    Leaving,
    #[n(2)]
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum ListKind {
    #[n(0)]
    Changes,
    #[n(1)]
    Whole,
}

/// What a task is, the same wherever it is told: to the planner, to the machine, and back.
#[derive(Clone, Copy, Debug, PartialEq, Encode, Decode)]
pub struct Shape {
    /// Names the task; the same each time that it comes again.
    #[n(0)]
    pub key: u64,
    #[n(1)]
    pub use_case: u32,
    #[n(2)]
    pub service: u64,
    #[n(3)]
    pub cores: f64,
    #[n(4)]
    pub memory: f64,
    /// It came before and was nacked, errored, moved or lost.
    #[n(5)]
    pub again: bool,
}

/// A task that a machine holds for the planner that it speaks to.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Held<'b> {
    #[n(0)]
    pub task: u64,
    #[n(1)]
    pub send: u32,
    #[n(2)]
    pub shape: Shape,
    #[b(3)]
    pub owner: &'b str,
    /// Where it is over: how it ended, told until the planner has heard it.
    #[n(4)]
    pub ended: Option<Ending>,
    #[n(5)]
    pub runs: bool,
}

/// A machine, as the list tells of it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Entry<'b> {
    #[n(0)]
    pub machine: u64,
    #[b(1)]
    pub address: &'b str,
    #[n(2)]
    pub kind: u32,
    #[n(3)]
    pub cell: u32,
    #[n(4)]
    pub zone: u32,
    #[n(5)]
    pub mode: Mode,
    /// Another life, another number.
    #[n(6)]
    pub life: u64,
    /// For how long it has been up, in nanoseconds; absent where that is long.
    #[n(7)]
    pub up_for: Option<u64>,
    /// Cores and memory that nobody asked for.
    #[n(8)]
    pub cores_left: Option<f64>,
    #[n(9)]
    pub memory_left: Option<f64>,
}

/// A log beside the one that all planners copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum SideLog {
    /// A planner's ordinary work, which few others copy.
    #[n(1)]
    Work,
}

/// How far a planner knows a column: the rows that one planner wrote in one of its lives.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Tip<'b> {
    #[b(0)]
    pub writer: &'b str,
    #[n(1)]
    pub life: u64,
    #[n(2)]
    pub number: u64,
    #[cbor(b(3), with = "minicbor::bytes")]
    pub digest: &'b [u8],
}

/// The newest sign of life of a planner that is known.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct Beat<'b> {
    #[b(0)]
    pub name: &'b str,
    #[n(1)]
    pub life: u64,
    #[n(2)]
    pub count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub enum OrderWord {
    #[n(0)]
    Cleared,
    #[n(1)]
    Held,
    #[n(2)]
    Cap,
}

/// An order of the operators, as far as it is known.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct OrderTold<'b> {
    /// An account, or else a team.
    #[n(0)]
    pub account: bool,
    #[b(1)]
    pub name: &'b str,
    #[n(2)]
    pub number: u64,
    #[n(3)]
    pub word: OrderWord,
    /// A cap in micro-units, or until when what ran may go on, in seconds of Unix time.
    #[n(4)]
    pub figure: Option<u64>,
    /// The number was given twice, with different words.
    #[n(5)]
    pub differs: bool,
}

/// A row, byte for byte as it was written.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(transparent)]
pub struct RowBytes<'b>(#[cbor(b(0), with = "minicbor::bytes")] pub &'b [u8]);

/// Every message of every conversation. The number of each is its place on the wire and never changes.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
#[cbor(flat)]
pub enum Message<'b> {
    #[n(0)]
    Hello {
        #[n(0)]
        conversation: Conversation,
        #[n(1)]
        version: u16,
        #[n(2)]
        least_version: u16,
        #[n(3)]
        features: u64,
        #[b(4)]
        name: &'b str,
        /// Another start of the same peer has another life.
        #[n(5)]
        life: u64,
        /// The opener's own clock, in nanoseconds from whenever it likes: see `Ask`.
        #[n(6)]
        clock: u64,
    },
    #[n(1)]
    Welcome {
        #[n(0)]
        version: u16,
        #[n(1)]
        features: u64,
        #[b(2)]
        name: &'b str,
        #[n(3)]
        life: u64,
        /// A planner tells its clients after how long a silence, in nanoseconds, it asks for a sign of life
        /// at the latest: who hears nothing for much longer has lost it.
        #[n(4)]
        silence: Option<u64>,
    },
    /// The connection ends, and why.
    #[n(2)]
    Bye {
        #[b(0)]
        words: &'b str,
    },
    #[n(3)]
    Ping {
        #[n(0)]
        nonce: u64,
    },
    #[n(4)]
    Pong {
        #[n(0)]
        nonce: u64,
    },

    /// A task to be placed. `patience` is what is left until the client timeout, in nanoseconds, at the
    /// instant `clock` of the client. What of it has passed when the planner reads this, it tells by how much
    /// later than on the quickest frame of this connection its own clock is ahead of the client's.
    #[n(10)]
    Ask {
        #[n(0)]
        task: u64,
        #[n(1)]
        shape: Shape,
        #[n(2)]
        patience: u64,
        #[n(3)]
        clock: u64,
    },
    #[n(11)]
    Taken {
        #[n(0)]
        task: u64,
    },
    #[n(12)]
    Placed {
        #[n(0)]
        task: u64,
        #[n(1)]
        machine: u64,
    },
    /// The task is not placed, and asking again does no harm.
    #[n(13)]
    Nacked {
        #[n(0)]
        task: u64,
        #[n(1)]
        stay_away: u64,
    },
    /// The task is not placed as far as is known; a copy may run.
    #[n(14)]
    Errored {
        #[n(0)]
        task: u64,
    },
    /// A placed task is over.
    #[n(15)]
    Ended {
        #[n(0)]
        task: u64,
        #[n(1)]
        ending: Ending,
    },
    /// Its owner does not want the task any more.
    #[n(16)]
    Withdraw {
        #[n(0)]
        task: u64,
    },
    /// An owner that came back asks what became of a task.
    #[n(17)]
    Learn {
        #[n(0)]
        task: u64,
    },
    #[n(18)]
    Unknown {
        #[n(0)]
        task: u64,
    },
    /// A copy of a task that has had its final answer runs after all.
    #[n(19)]
    ProvesToRun {
        #[n(0)]
        task: u64,
        #[n(1)]
        key: u64,
        #[n(2)]
        machine: u64,
    },
    /// An owner hands over a task that runs on this machine and that no planner holds.
    #[n(20)]
    HandOver {
        #[n(0)]
        task: u64,
        #[n(1)]
        shape: Shape,
        #[n(2)]
        machine: u64,
    },

    /// `time_out` is for how long the planner waits, in nanoseconds.
    #[n(30)]
    Offer {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
        #[n(2)]
        shape: Shape,
        #[n(3)]
        time_out: u64,
        #[b(4)]
        owner: &'b str,
    },
    #[n(31)]
    Accepted {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
    },
    #[n(32)]
    Runs {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
    },
    #[n(33)]
    Note {
        #[n(0)]
        task: u64,
        #[n(1)]
        cores: Option<f64>,
        #[n(2)]
        memory: Option<f64>,
        /// The part of full service that it gets.
        #[n(3)]
        served: Option<f64>,
        /// The part of the machine's memory in use.
        #[n(4)]
        machine_memory: Option<f64>,
    },
    #[n(34)]
    Closed {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
        #[n(2)]
        ending: Ending,
        #[n(3)]
        reason: Reason,
    },
    /// The planner no longer waits for this send: not accepted yet, it is dropped.
    #[n(35)]
    Recall {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
    },
    /// Stops an accepted task.
    #[n(36)]
    Stop {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
        /// So that it goes elsewhere, not because nobody wants it.
        #[n(2)]
        moves: bool,
    },
    #[n(37)]
    Probe {
        #[n(0)]
        nonce: u64,
    },
    #[n(38)]
    Report {
        #[n(0)]
        nonce: u64,
        #[n(1)]
        cores_unused: Option<f64>,
        #[n(2)]
        memory_unused: Option<f64>,
    },
    /// After the welcome: all that the machine holds or has to tell the end of. `last` ends the telling.
    #[n(39)]
    Holds {
        #[b(0)]
        tasks: Vec<Held<'b>>,
        #[n(1)]
        last: bool,
    },
    /// The planner has heard the end of this send; the machine may forget it.
    #[n(40)]
    Heard {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
    },
    /// The planner doesn't hold this copy, and nobody does unless somebody claims it.
    #[n(41)]
    Disown {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
    },
    /// A planner takes over a copy that nobody holds; from now on it is this task's send.
    #[n(42)]
    Claim {
        #[n(0)]
        task: u64,
        #[n(1)]
        send: u32,
        #[n(2)]
        key: u64,
        #[b(3)]
        owner: &'b str,
    },

    #[n(50)]
    Watch {},
    #[n(51)]
    List {
        #[n(0)]
        kind: ListKind,
        #[n(1)]
        version: u64,
        #[b(2)]
        entries: Vec<Entry<'b>>,
    },
    /// A part of a list that is too long for one message, for planners whose greeting has `LIST_PIECES`. The
    /// pieces of a list have its version and are numbered from 0; none counts before the last one is there.
    #[n(52)]
    ListPiece {
        #[n(0)]
        kind: ListKind,
        #[n(1)]
        version: u64,
        #[n(2)]
        number: u32,
        #[n(3)]
        last: bool,
        #[b(4)]
        entries: Vec<Entry<'b>>,
    },
    /// What a planner knows of the books: a figure over the ends of all columns, those that changed since
    /// it told last, and the newest signs of life. `whole` where with this all was told that it knows. Of
    /// work logs: only those that concern the other, its own or the teller's; the figure means nothing.
    #[n(70)]
    Tips {
        #[cbor(b(0), with = "minicbor::bytes")]
        all: &'b [u8],
        #[b(1)]
        tips: Vec<Tip<'b>>,
        #[b(2)]
        beats: Vec<Beat<'b>>,
        #[n(3)]
        whole: bool,
        /// Where these are ends of other logs than those that all copy.
        #[n(4)]
        log: Option<SideLog>,
    },
    /// Asks for the rows of a column after a number, whose digest is given; of the first of them, those
    /// bytes after `skip`.
    #[n(71)]
    Want {
        #[b(0)]
        writer: &'b str,
        #[n(1)]
        life: u64,
        #[n(2)]
        after: u64,
        #[cbor(b(3), with = "minicbor::bytes")]
        digest: &'b [u8],
        #[n(4)]
        skip: u64,
        #[n(5)]
        log: Option<SideLog>,
    },
    /// Rows of a column after a number. The first begins at byte `skip`; of the last, `rest` bytes are
    /// still to come.
    #[n(72)]
    Rows {
        #[b(0)]
        writer: &'b str,
        #[n(1)]
        life: u64,
        #[n(2)]
        after: u64,
        #[cbor(b(3), with = "minicbor::bytes")]
        digest: &'b [u8],
        #[b(4)]
        rows: Vec<RowBytes<'b>>,
        #[n(5)]
        skip: u64,
        #[n(6)]
        rest: u64,
        #[n(7)]
        log: Option<SideLog>,
    },
    /// Orders that are new to whoever tells them: they go ahead of their rows.
    #[n(73)]
    Orders {
        #[b(0)]
        orders: Vec<OrderTold<'b>>,
    },
    /// Asks for a part of the other's share of a team's cap, for this life of the asker's. Micro-units.
    #[n(74)]
    ShareAsk {
        #[b(0)]
        team: &'b str,
        #[n(1)]
        month: u32,
        #[n(2)]
        life: u64,
        #[n(3)]
        open: u64,
        #[n(4)]
        last: u64,
    },
    /// What was given, in a row of the giver's column that is on its disk; nothing where it gives nothing.
    #[n(75)]
    ShareGiven {
        #[b(0)]
        team: &'b str,
        #[n(1)]
        month: u32,
        #[n(2)]
        open: u64,
        #[n(3)]
        last: u64,
        #[n(4)]
        number: u64,
    },
    #[n(60)]
    StatusAsk {},
    #[n(61)]
    Status {
        #[b(0)]
        words: &'b str,
    },
}

impl Message<'_> {
    /// Whether this side may write it in this conversation.
    pub fn belongs(&self, conversation: Conversation, side: Side) -> bool {
        use Conversation as C;
        use Message as M;
        use Side as S;
        matches!(
            (self, conversation, side),
            (M::Hello { .. }, _, S::Opener)
                | (M::Welcome { .. }, _, S::Opened)
                | (M::Bye { .. } | M::Ping { .. } | M::Pong { .. }, ..)
                | (
                    M::Ask { .. }
                        | M::Withdraw { .. }
                        | M::Learn { .. }
                        | M::HandOver { .. }
                        | M::StatusAsk {},
                    C::ClientPlanner,
                    S::Opener,
                )
                | (
                    M::Taken { .. }
                        | M::Placed { .. }
                        | M::Nacked { .. }
                        | M::Errored { .. }
                        | M::Ended { .. }
                        | M::Unknown { .. }
                        | M::ProvesToRun { .. }
                        | M::Status { .. },
                    C::ClientPlanner,
                    S::Opened,
                )
                | (
                    M::Offer { .. }
                        | M::Recall { .. }
                        | M::Stop { .. }
                        | M::Probe { .. }
                        | M::Heard { .. }
                        | M::Disown { .. }
                        | M::Claim { .. },
                    C::PlannerMachine,
                    S::Opener,
                )
                | (
                    M::Accepted { .. }
                        | M::Runs { .. }
                        | M::Note { .. }
                        | M::Closed { .. }
                        | M::Report { .. }
                        | M::Holds { .. },
                    C::PlannerMachine,
                    S::Opened,
                )
                | (M::Watch {}, C::PlannerList, S::Opener)
                | (M::List { .. } | M::ListPiece { .. }, C::PlannerList, S::Opened)
                | (
                    M::Tips { .. }
                        | M::Want { .. }
                        | M::Rows { .. }
                        | M::Orders { .. }
                        | M::ShareAsk { .. }
                        | M::ShareGiven { .. },
                    C::PlannerPlanner,
                    _,
                )
        )
    }

    /// Bounds that the schema states and CBOR doesn't check.
    pub(crate) fn check(&self) -> Result<(), Bad> {
        let words = |what: &str, text: &str| {
            let len = text.len();
            if len <= MOST_WORDS {
                Ok(())
            } else {
                Err(Bad(format!("{what} of {len} bytes, {MOST_WORDS} at most")))
            }
        };
        let amount = |what: &str, x: Option<f64>| match x {
            Some(x) if !x.is_finite() => Err(Bad(format!("{what} is {x}, which is no amount"))),
            _ => Ok(()),
        };
        let shape = |shape: &Shape| {
            for (what, x) in [("cores", shape.cores), ("memory", shape.memory)] {
                if !(x.is_finite() && x > 0.0) {
                    return Err(Bad(format!("an ask of {x} {what} (more than 0 is wanted)")));
                }
            }
            Ok(())
        };
        let digest = |bytes: &[u8]| match bytes.len() {
            DIGEST => Ok(()),
            len => Err(Bad(format!("a digest of {len} bytes, {DIGEST} are wanted"))),
        };
        let many = |what: &str, len: usize| {
            if len <= MOST_TIPS {
                Ok(())
            } else {
                Err(Bad(format!("{len} {what} in one message, {MOST_TIPS} at most")))
            }
        };
        match self {
            Self::Hello { name, .. } | Self::Welcome { name, .. } => words("a name", name),
            Self::Bye { words: text } => words("words", text),
            Self::Ask { shape: s, .. } | Self::HandOver { shape: s, .. } => shape(s),
            Self::Offer { shape: s, owner, .. } => shape(s).and_then(|()| words("a name", owner)),
            Self::Claim { owner, .. } => words("a name", owner),
            Self::Note { cores, memory, served, machine_memory, .. } => {
                [("cores", cores), ("memory", memory), ("service", served), ("memory in use", machine_memory)]
                    .into_iter()
                    .try_for_each(|(what, x)| amount(what, *x))
            }
            Self::Report { cores_unused, memory_unused, .. } => {
                amount("cores", *cores_unused).and_then(|()| amount("memory", *memory_unused))
            }
            Self::Holds { tasks, .. } if tasks.len() > MOST_HELD => {
                Err(Bad(format!("{} tasks in one message, {MOST_HELD} at most", tasks.len())))
            }
            Self::Holds { tasks, .. } => {
                tasks.iter().try_for_each(|t| shape(&t.shape).and_then(|()| words("a name", t.owner)))
            }
            Self::List { entries, .. } | Self::ListPiece { entries, .. } if entries.len() > MOST_ENTRIES => {
                Err(Bad(format!("{} machines in one message, {MOST_ENTRIES} at most", entries.len())))
            }
            Self::List { entries, .. } | Self::ListPiece { entries, .. } => {
                entries.iter().try_for_each(|e| {
                    words("an address", e.address)?;
                    amount("cores", e.cores_left).and_then(|()| amount("memory", e.memory_left))
                })
            }
            Self::Tips { all, tips, beats, .. } => {
                many("ends of columns", tips.len())?;
                many("signs of life", beats.len())?;
                beats.iter().try_for_each(|beat| words("a name", beat.name))?;
                tips.iter().try_for_each(|t| words("a name", t.writer).and_then(|()| digest(t.digest)))?;
                digest(all)
            }
            Self::Want { writer, digest: d, .. } => words("a name", writer).and_then(|()| digest(d)),
            Self::Rows { writer, digest: d, rows, .. } => {
                many("rows", rows.len())?;
                let bytes: usize = rows.iter().map(|row| row.0.len()).sum();
                if bytes > MOST_ROWS_BYTES {
                    return Err(Bad(format!("rows of {bytes} bytes, {MOST_ROWS_BYTES} at most")));
                }
                words("a name", writer).and_then(|()| digest(d))
            }
            Self::Orders { orders } => {
                many("orders", orders.len())?;
                orders.iter().try_for_each(|order| words("a name", order.name))
            }
            Self::ShareAsk { team, .. } | Self::ShareGiven { team, .. } => words("a name", team),
            _ => Ok(()),
        }
    }
}
