//! Signals that arrive together, and the last bytes to and from peers whose connections end. Real sockets;
//! signals concern the whole process, so no other tests belong here.

use mulleinhub_event_loop::{EventLoop, IterationOutcome};
use mulleinhub_interface::Timestamp;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use rustix::process::{Pid, Signal, getpid, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Answers the first bytes of each connection, and ends it then if told so.
#[derive(Default)]
struct Responder {
    connections: Connections,
    answered: Vec<ConnectionId>,
    closes_after_answer: bool,
    received: Vec<u8>,
    close_reasons: Vec<CloseReason>,
    /// Sends its last bytes and resets its connection in the middle of the next poll, and is then written to.
    peer_to_reset: Option<TcpStream>,
}

const ANSWER: &[u8] = b"refused, come again later";
const LAST_BYTES: &[u8] = b"my last words";

impl StateMachine for Responder {
    fn on_connection_accepted(&mut self, _: Timestamp, _: ConnectionId, _: ListenerId) {}
    fn on_connected(&mut self, _: Timestamp, _: ConnectionId) {}
    fn on_data(&mut self, _: Timestamp, id: ConnectionId, bytes: &[u8]) {
        self.received.extend_from_slice(bytes);
        if !self.answered.contains(&id) {
            self.answered.push(id);
            self.connections.send(id, ANSWER, None);
            if self.closes_after_answer {
                self.connections.close(id);
            }
        }
    }
    fn on_closed(&mut self, _: Timestamp, id: ConnectionId, reason: CloseReason) {
        self.close_reasons.push(reason);
        self.connections.remove(id);
    }
    fn poll(&mut self, _: Timestamp) {
        if let Some(mut peer) = self.peer_to_reset.take() {
            peer.write_all(LAST_BYTES).expect("is sent");
            rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO)).expect("is set");
            drop(peer);
            self.connections.send(self.answered[0], ANSWER, None);
        }
    }
    fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }
    fn connections(&mut self) -> &mut Connections {
        &mut self.connections
    }
}

fn start(closes_after_answer: bool) -> (EventLoop<Responder>, SocketAddr) {
    let responder = Responder { closes_after_answer, ..Responder::default() };
    let mut event_loop = EventLoop::new(responder).expect("a poll");
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let address = event_loop.listen(any_port, ListenerId(0)).expect("a listener");
    (event_loop, address)
}

/// A client whose first bytes were answered.
fn answered_client(event_loop: &mut EventLoop<Responder>, address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).expect("connects");
    client.write_all(b"first").expect("is written");
    while event_loop.state_machine.answered.is_empty() {
        event_loop.run_once(Duration::from_millis(20)).expect("polls");
    }
    client
}

/// All that a client receives until the end of its connection. It reads only once all was written to it.
fn read_to_end(mut client: TcpStream) -> Result<Vec<u8>, std::io::Error> {
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("is set");
    let mut received = Vec::new();
    client.read_to_end(&mut received)?;
    Ok(received)
}

#[test]
fn two_signals_in_one_poll_are_both_returned() {
    let (mut event_loop, _) = start(false);
    let (one, two) = (Signal::USR1, Signal::USR2);
    event_loop.handle_signals(&[one.as_raw(), two.as_raw()]).expect("are handled");
    let own: Pid = getpid();
    kill_process(own, two).expect("is sent");
    kill_process(own, one).expect("is sent");
    let mut received = Vec::new();
    for _ in 0..10 {
        let outcome = event_loop.run_once(Duration::from_millis(20)).expect("polls");
        if let IterationOutcome::Signal(signal) = outcome {
            received.push(signal);
        }
    }
    received.sort_unstable();
    assert_eq!(received, [one.as_raw(), two.as_raw()]);
    assert!(event_loop.is_idle());
}

#[test]
fn client_that_still_writes_receives_the_last_message_before_the_close() {
    let (mut event_loop, address) = start(true);
    let mut client = TcpStream::connect(address).expect("connects");
    for _ in 0..5 {
        client.write_all(&[7; 50_000]).expect("is written");
        for _ in 0..5 {
            event_loop.run_once(Duration::from_millis(5)).expect("polls");
        }
    }
    assert_eq!(read_to_end(client).expect("no reset"), ANSWER);
}

#[test]
fn shutdown_delivers_what_was_written_though_input_is_unread() {
    let (mut event_loop, address) = start(false);
    let mut client = answered_client(&mut event_loop, address);
    // Still unread when the shutdown begins.
    client.write_all(&[7; 50_000]).expect("is written");
    let started_at = Instant::now();
    let reader = std::thread::spawn(move || read_to_end(client));
    event_loop.shutdown(Duration::from_secs(5));
    assert!(started_at.elapsed() < Duration::from_secs(4), "it waits for the peer alone");
    drop(event_loop);
    assert_eq!(reader.join().expect("reads").expect("no reset"), ANSWER);
    assert!(TcpStream::connect(address).is_err(), "connections are accepted no more");
}

#[test]
fn last_bytes_of_a_resetting_peer_are_read_before_its_close() {
    let (mut event_loop, address) = start(false);
    let peer = answered_client(&mut event_loop, address);
    event_loop.state_machine.peer_to_reset = Some(peer);
    for _ in 0..5 {
        event_loop.run_once(Duration::from_millis(5)).expect("polls");
    }
    assert_eq!(event_loop.state_machine.received, [b"first", LAST_BYTES].concat());
    let reasons = &event_loop.state_machine.close_reasons;
    assert_eq!(reasons.len(), 1, "{reasons:?}");
    assert_eq!(event_loop.connection_count(), 0);
}
