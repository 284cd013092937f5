//! At the hard limit of descriptors, with real sockets. One test, for it lowers this process's own limit.

use mulleinhub_event_loop::EventLoop;
use mulleinhub_interface::Timestamp;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::collections::VecDeque;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Takes whoever comes, and lets the oldest go where descriptors run out.
#[derive(Default)]
struct Host {
    links: Connections,
    open: VecDeque<ConnectionId>,
    pinches: usize,
    ends: Vec<CloseReason>,
}

impl StateMachine for Host {
    fn on_connection_accepted(&mut self, _: Timestamp, link: ConnectionId, _: ListenerId) {
        self.open.push_back(link);
    }
    fn on_connected(&mut self, _: Timestamp, _: ConnectionId) {}
    fn on_data(&mut self, _: Timestamp, _: ConnectionId, _: &[u8]) {}
    fn on_closed(&mut self, _: Timestamp, link: ConnectionId, end: CloseReason) {
        self.ends.push(end);
        self.links.remove(link);
        self.open.retain(|open| *open != link);
    }
    fn poll(&mut self, _: Timestamp) {}
    fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }
    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
    fn on_descriptors_exhausted(&mut self, _: Timestamp) {
        self.pinches += 1;
        for link in self.open.drain(..2) {
            self.links.send(link, b"bye", None);
            self.links.close(link);
        }
    }
}

#[test]
fn at_the_limit_accepting_rests_lets_go_with_a_word_and_goes_on() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    let mut shell = EventLoop::new(Host::default()).expect("a poll");
    let at = shell.listen(SocketAddr::from(([127, 0, 0, 1], 0)), ListenerId(0)).expect("a listener");
    // Clients that were here before the limit is met, so that it is met by accepting alone.
    let mut clients: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(at).expect("waits")).collect();
    let used = clients.len() + 20;
    let most = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: Some(used as u64 + 30), maximum: most })
        .expect("is lowered");
    for _ in 0..20 {
        shell.step(Duration::from_millis(20)).expect("polls");
    }
    let calls = shell.calls;
    assert!(shell.party.pinches > 0, "the limit was met");
    // Clients wait outside, which an end of the process must not overlook.
    assert!(!shell.is_quiet());
    // It rests between tries: a second at the limit is some tens of calls, not thousands.
    for _ in 0..10 {
        shell.step(Duration::from_millis(100)).expect("polls");
    }
    assert!(shell.calls - calls < 400, "{} calls", shell.calls - calls);
    // Those let go were told; the rest was taken in their places.
    let mut word = [0; 3];
    clients[0].set_read_timeout(Some(Duration::from_secs(5))).expect("is set");
    clients[0].read_exact(&mut word).expect("a word before the end");
    assert_eq!(&word, b"bye");
    assert!(shell.party.open.len() >= 20, "{} are open", shell.party.open.len());
    // Without a descriptor nothing is known of the other side; only its own refusal is one.
    let taken: Vec<std::fs::File> = std::iter::from_fn(|| std::fs::File::open("/dev/null").ok()).collect();
    shell.party.ends.clear();
    shell.party.links.open(&at.to_string());
    shell.step(Duration::from_millis(20)).expect("polls");
    assert_eq!(shell.party.ends, [CloseReason::NotAttempted]);
    drop((taken, clients));
    for _ in 0..20 {
        shell.step(Duration::from_millis(20)).expect("polls");
    }
    shell.party.ends.clear();
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("is bound");
    shell.party.links.open(&free.to_string());
    for _ in 0..5 {
        shell.step(Duration::from_millis(20)).expect("polls");
    }
    assert!(shell.party.ends.contains(&CloseReason::Refused), "{:?}", shell.party.ends);
}
