//! The list service at the size of a large fleet, beside planners that read pieces and older ones.

use mulleinhub_emulators::{Fact, ListService, ListSettings};
use mulleinhub_interface::{Duration, Timestamp};
use mulleinhub_protocol::{self as protocol, Conversation, Frames, ListKind, ListReader, Message, WholeList};
use mulleinhub_sans_io::{Command, ConnectionId, ListenerId, StateMachine};

const FLEET: u64 = 10_000;
/// What a planner that has stopped reading may be owed at the most: the waiting bytes and one more piece.
const MOST_WAITING: usize = 256 * 1024;

fn service() -> ListService {
    let (late, silent_notice) = (Duration::ZERO, Duration::from_secs(10));
    ListService::new(ListSettings { late, silent_notice, lines_a_second: 1e9 })
}

/// All machines up, each with so many cores left.
fn facts(machines: u64, cores_left: f64) -> Vec<Fact> {
    let fact = |machine| Fact {
        machine,
        kind: 0,
        cell: 0,
        zone: 0,
        up: true,
        draining: false,
        life: 0,
        started: None,
        cores_left,
        memory_left: 1.0,
    };
    (1..=machines).map(fact).collect()
}

/// A planner, as far as the list service sees it.
struct Planner {
    link: ConnectionId,
    frames: Frames,
    reader: ListReader,
    /// Lists that came whole, and changes in messages of their own.
    lists: Vec<WholeList>,
    messages: Vec<(ListKind, u64, usize)>,
    byes: Vec<String>,
}

impl Planner {
    fn watches(service: &mut ListService, features: u64) -> Self {
        let link = service.connections().register();
        service.on_connection_accepted(Timestamp::default(), link, ListenerId(0));
        let mut bytes = Vec::new();
        protocol::encode(&Message::hello(Conversation::PlannerList, features, "p", 1, 0), &mut bytes);
        protocol::encode(&Message::Watch {}, &mut bytes);
        service.on_data(Timestamp::default(), link, &bytes);
        let (frames, reader) = (Frames::default(), ListReader::default());
        Self { link, frames, reader, lists: Vec::new(), messages: Vec::new(), byes: Vec::new() }
    }

    /// Reads so many bytes.
    fn reads(&mut self, service: &mut ListService, most: usize) {
        let waits = service.connections().outgoing(self.link);
        let bytes = waits[..waits.len().min(most)].to_vec();
        service.connections().mark_written(self.link, bytes.len());
        self.frames.take(&bytes);
        while let Some(frame) = self.frames.next_frame().expect("are frames") {
            match protocol::decode(frame).expect("are messages") {
                Message::ListPiece { kind, version, number, last, entries } => {
                    let whole = self.reader.take(kind, version, number, last, &entries);
                    self.lists.extend(whole.expect("pieces come in order"));
                }
                Message::List { kind, version, entries } => {
                    self.messages.push((kind, version, entries.len()));
                }
                Message::Bye { words } => self.byes.push(words.to_owned()),
                _ => {}
            }
        }
    }

    /// Reads for so long, as much at a time as there is; the service has a turn whenever it wants one.
    fn reads_on(&mut self, service: &mut ListService, now: &mut Timestamp) {
        while let Some(at) = service.next_wakeup() {
            self.reads(service, usize::MAX);
            *now = at;
            service.poll(at);
        }
        self.reads(service, usize::MAX);
    }
}

#[test]
fn ten_thousand_machines_are_told_a_few_pieces_at_a_time() {
    let (mut service, mut now) = (service(), Timestamp::default());
    let mut planner = Planner::watches(&mut service, protocol::LIST_PIECES);
    service.observe(now, facts(FLEET, 1.0));
    service.poll(now);
    assert!(service.connections().pending_bytes(planner.link) <= MOST_WAITING);
    planner.reads_on(&mut service, &mut now);
    let [whole] = &planner.lists[..] else { panic!("{} lists", planner.lists.len()) };
    // Each change of a machine has a version of its own.
    assert_eq!((whole.kind, whole.version, whole.entries().len()), (ListKind::Whole, FLEET, 10_000));
    assert_eq!(service.lines_told, FLEET);

    // What changes for all of them goes in pieces too, what changes for few in one message.
    service.observe(now, facts(FLEET, 2.0));
    service.poll(now);
    planner.reads_on(&mut service, &mut now);
    let changes = &planner.lists[1];
    let told = (changes.kind, changes.version, changes.entries().len());
    assert_eq!(told, (ListKind::Changes, 2 * FLEET, 10_000));
    service.observe(now, facts(3, 3.0));
    service.poll(now);
    planner.reads_on(&mut service, &mut now);
    assert_eq!(planner.messages, [(ListKind::Changes, 2 * FLEET + 3, 3)]);
}

#[test]
fn a_planner_that_reads_nothing_is_owed_a_bounded_number_of_bytes() {
    let (mut service, mut now) = (service(), Timestamp::default());
    let planner = Planner::watches(&mut service, protocol::LIST_PIECES);
    service.observe(now, facts(FLEET, 1.0));
    for _ in 0..1_000 {
        service.poll(now);
        now = service.next_wakeup().expect("pieces are still to be told");
    }
    assert!(service.connections().pending_bytes(planner.link) <= MOST_WAITING);
}

#[test]
fn a_list_that_changes_while_it_is_told_is_told_anew_and_comes_whole_after_a_few_changes() {
    let (mut service, mut now) = (service(), Timestamp::default());
    let mut planner = Planner::watches(&mut service, protocol::LIST_PIECES);
    for cores in 1..20u32 {
        service.observe(now, facts(FLEET, cores.into()));
        service.poll(now);
        planner.reads(&mut service, 20_000);
        now = now + Duration::from_nanos(2_000_000);
    }
    planner.reads_on(&mut service, &mut now);
    let first = &planner.lists[0];
    assert_eq!((first.kind, first.entries().len()), (ListKind::Whole, FLEET as usize));
    assert!(first.version <= 4 * FLEET, "begun anew three times at the most: version {}", first.version);
    for list in &planner.lists {
        let told: Vec<Option<f64>> = list.entries().iter().map(|entry| entry.cores_left).collect();
        let cores = (list.version / FLEET) as f64;
        assert!(told.iter().all(|told| *told == Some(cores)), "one version alone");
    }
    let newest = planner.lists.last().map(|list| list.version);
    assert_eq!(newest, Some(19 * FLEET), "the newest comes in the end");
}

#[test]
fn an_older_planner_gets_the_list_in_one_message_and_its_changes_in_several() {
    let (mut service, mut now) = (service(), Timestamp::default());
    let mut planner = Planner::watches(&mut service, 0);
    service.observe(now, facts(2_000, 1.0));
    service.poll(now);
    planner.reads_on(&mut service, &mut now);
    assert_eq!(planner.messages, [(ListKind::Whole, 2_000, 2_000)]);
    service.observe(now, facts(FLEET, 2.0));
    service.poll(now);
    planner.reads_on(&mut service, &mut now);
    let changes = &planner.messages[1..];
    assert!(changes.iter().all(|(kind, version, _)| (*kind, *version) == (ListKind::Changes, 12_000)));
    assert_eq!(changes.iter().map(|(_, _, many)| many).sum::<usize>(), FLEET as usize);
    assert_eq!((planner.byes, planner.lists.len()), (Vec::new(), 0));
}

#[test]
fn an_older_planner_is_refused_in_words_where_the_list_is_too_long_for_it() {
    let (mut service, mut now) = (service(), Timestamp::default());
    let mut planner = Planner::watches(&mut service, 0);
    service.observe(now, facts(2_500, 1.0));
    service.poll(now);
    planner.reads_on(&mut service, &mut now);
    assert_eq!(
        planner.byes,
        ["2500 machines in a list, 2000 at most in one message; a planner that reads pieces gets it"]
    );
    let asks: Vec<Command> = std::iter::from_fn(|| service.connections().next_command()).collect();
    assert!(
        matches!(asks[..], [Command::Close { connection: link, immediately: false }] if link == planner.link),
        "{asks:?}"
    );
}
