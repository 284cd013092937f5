//! Signals that come together, and last words to peers that are still writing. Real sockets; signals are the
//! whole process's, so that they stand here alone.

use mulleinhub_event_loop::{EventLoop, Step};
use mulleinhub_interface::Timestamp;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Connections, ListenerId, StateMachine};
use rustix::process::{Pid, Signal, getpid, kill_process};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Says a word to whoever speaks, and ends the connection.
#[derive(Default)]
struct Host {
    links: Connections,
    spoke: Vec<ConnectionId>,
    ends_them: bool,
    heard: Vec<u8>,
    ended: Vec<CloseReason>,
    /// Resets its connection, with last words before, in the middle of the next turn, and is then written to.
    resets: Option<TcpStream>,
}

const WORD: &[u8] = b"refused, come again later";
const LAST: &[u8] = b"my last words";

impl StateMachine for Host {
    fn on_connection_accepted(&mut self, _: Timestamp, _: ConnectionId, _: ListenerId) {}
    fn on_connected(&mut self, _: Timestamp, _: ConnectionId) {}
    fn on_data(&mut self, _: Timestamp, link: ConnectionId, bytes: &[u8]) {
        self.heard.extend_from_slice(bytes);
        if !self.spoke.contains(&link) {
            self.spoke.push(link);
            self.links.send(link, WORD, None);
            if self.ends_them {
                self.links.close(link);
            }
        }
    }
    fn on_closed(&mut self, _: Timestamp, link: ConnectionId, end: CloseReason) {
        self.ended.push(end);
        self.links.remove(link);
    }
    fn poll(&mut self, _: Timestamp) {
        if let Some(mut peer) = self.resets.take() {
            peer.write_all(LAST).expect("is sent");
            rustix::net::sockopt::set_socket_linger(&peer, Some(Duration::ZERO)).expect("is set");
            drop(peer);
            self.links.send(self.spoke[0], WORD, None);
        }
    }
    fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }
    fn connections(&mut self) -> &mut Connections {
        &mut self.links
    }
}

fn shell(ends_them: bool) -> (EventLoop<Host>, SocketAddr) {
    let mut shell = EventLoop::new(Host { ends_them, ..Host::default() }).expect("a poll");
    let at = shell.listen(SocketAddr::from(([127, 0, 0, 1], 0)), ListenerId(0)).expect("a listener");
    (shell, at)
}

/// What a client hears until the end of its connection; it reads only once all has been written to it.
fn hears(mut client: TcpStream) -> Result<Vec<u8>, std::io::Error> {
    client.set_read_timeout(Some(Duration::from_secs(5))).expect("is set");
    let mut heard = Vec::new();
    client.read_to_end(&mut heard)?;
    Ok(heard)
}

#[test]
fn of_two_signals_in_one_poll_both_are_told() {
    let (mut shell, _) = shell(false);
    let (one, two) = (Signal::USR1, Signal::USR2);
    shell.handle_signals(&[one.as_raw(), two.as_raw()]).expect("are heard");
    let me: Pid = getpid();
    kill_process(me, two).expect("is sent");
    kill_process(me, one).expect("is sent");
    let mut told = Vec::new();
    for _ in 0..10 {
        if let Step::Signal(signal) = shell.step(Duration::from_millis(20)).expect("polls") {
            told.push(signal);
        }
    }
    told.sort_unstable();
    assert_eq!(told, [one.as_raw(), two.as_raw()]);
    assert!(shell.is_quiet());
}

#[test]
fn who_is_ended_while_he_still_writes_hears_the_last_word_whole() {
    let (mut shell, at) = shell(true);
    let mut client = TcpStream::connect(at).expect("is taken");
    for _ in 0..5 {
        client.write_all(&[7; 50_000]).expect("is written");
        for _ in 0..5 {
            shell.step(Duration::from_millis(5)).expect("polls");
        }
    }
    assert_eq!(hears(client).expect("no reset"), WORD);
}

#[test]
fn at_the_end_of_the_process_what_was_written_is_heard_though_more_lies_unread() {
    let (mut shell, at) = shell(false);
    let mut client = TcpStream::connect(at).expect("is taken");
    client.write_all(b"first").expect("is written");
    while shell.party.spoke.is_empty() {
        shell.step(Duration::from_millis(20)).expect("polls");
    }
    // It lies unread when the end comes.
    client.write_all(&[7; 50_000]).expect("is written");
    let began = Instant::now();
    let hearing = std::thread::spawn(move || hears(client));
    shell.finish(Duration::from_secs(5));
    assert!(began.elapsed() < Duration::from_secs(4), "it waits for the other side alone");
    drop(shell);
    assert_eq!(hearing.join().expect("is heard").expect("no reset"), WORD);
    assert!(TcpStream::connect(at).is_err(), "nobody is taken any more");
}

#[test]
fn the_last_words_of_a_peer_that_resets_as_we_write_are_heard_and_then_its_end() {
    let (mut shell, at) = shell(false);
    let mut peer = TcpStream::connect(at).expect("is taken");
    peer.write_all(b"first").expect("is written");
    while shell.party.spoke.is_empty() {
        shell.step(Duration::from_millis(20)).expect("polls");
    }
    shell.party.resets = Some(peer);
    for _ in 0..5 {
        shell.step(Duration::from_millis(5)).expect("polls");
    }
    assert_eq!(shell.party.heard, [b"first", LAST].concat());
    assert_eq!(shell.party.ended.len(), 1, "{:?}", shell.party.ended);
    assert_eq!(shell.connections(), 0);
}
