//! Behaviour at the hard limit of descriptors, with real sockets. A single test, because it lowers the limit
//! of its own process.

use mulleinhub_event_loop::EventLoop;
use mulleinhub_interface::Timestamp;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use std::collections::VecDeque;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Accepts all connections, and evicts the two oldest when descriptors run out.
#[derive(Default)]
struct EvictingServer {
    connections: Connections,
    open: VecDeque<ConnectionId>,
    exhaustions: usize,
    close_reasons: Vec<CloseReason>,
}

impl StateMachine for EvictingServer {
    fn on_connection_accepted(&mut self, _: Timestamp, id: ConnectionId, _: ListenerId) {
        self.open.push_back(id);
    }
    fn on_connected(&mut self, _: Timestamp, _: ConnectionId) {}
    fn on_data(&mut self, _: Timestamp, _: ConnectionId, _: &[u8]) {}
    fn on_closed(&mut self, _: Timestamp, id: ConnectionId, reason: CloseReason) {
        self.close_reasons.push(reason);
        self.connections.remove(id);
        self.open.retain(|open| *open != id);
    }
    fn poll(&mut self, _: Timestamp) {}
    fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }
    fn connections(&mut self) -> &mut Connections {
        &mut self.connections
    }
    fn on_descriptors_exhausted(&mut self, _: Timestamp) {
        self.exhaustions += 1;
        for id in self.open.drain(..2) {
            self.connections.send(id, b"bye", None);
            self.connections.close(id);
        }
    }
}

fn run(event_loop: &mut EventLoop<EvictingServer>, iterations: usize, max_wait: Duration) {
    for _ in 0..iterations {
        event_loop.run_once(max_wait).expect("polls");
    }
}

#[test]
fn accepting_pauses_evicts_and_resumes_at_the_descriptor_limit() {
    use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
    const SHORT: Duration = Duration::from_millis(20);
    let mut event_loop = EventLoop::new(EvictingServer::default()).expect("a poll");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = event_loop.listen(any_port, ListenerId(0)).expect("a listener");
    // Clients connect before the limit is lowered, so that accepting alone meets it.
    let mut clients: Vec<TcpStream> =
        (0..60).map(|_| TcpStream::connect(address).expect("is queued")).collect();
    let used = clients.len() + 20;
    let maximum = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: Some(used as u64 + 30), maximum }).expect("is lowered");
    run(&mut event_loop, 20, SHORT);
    let calls = event_loop.system_calls;
    assert!(event_loop.state_machine.exhaustions > 0, "the limit was met");
    // Clients are still queued, which an end of the process must not overlook.
    assert!(!event_loop.is_idle());
    // It pauses between retries: a second at the limit is some tens of calls, not thousands.
    run(&mut event_loop, 10, Duration::from_millis(100));
    let calls = event_loop.system_calls - calls;
    assert!(calls < 400, "{calls} calls");
    // Evicted clients received their message; the others were accepted in their places.
    let mut message = [0; 3];
    clients[0].set_read_timeout(Some(Duration::from_secs(5))).expect("is set");
    clients[0].read_exact(&mut message).expect("a message before the end");
    assert_eq!(&message, b"bye");
    let open = event_loop.state_machine.open.len();
    assert!(open >= 20, "{open} are open");
    // Without a descriptor nothing is known of the peer; only its own refusal counts as one.
    let files: Vec<std::fs::File> = std::iter::from_fn(|| std::fs::File::open("/dev/null").ok()).collect();
    event_loop.state_machine.close_reasons.clear();
    event_loop.state_machine.connections.open(&address.to_string());
    run(&mut event_loop, 1, SHORT);
    assert_eq!(event_loop.state_machine.close_reasons, [CloseReason::NotAttempted]);
    drop((files, clients));
    run(&mut event_loop, 20, SHORT);
    event_loop.state_machine.close_reasons.clear();
    let unused = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("is bound");
    event_loop.state_machine.connections.open(&unused.to_string());
    run(&mut event_loop, 5, SHORT);
    let reasons = &event_loop.state_machine.close_reasons;
    assert!(reasons.contains(&CloseReason::Refused), "{reasons:?}");
}
