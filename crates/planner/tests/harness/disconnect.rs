//! The ways in which a client disconnects, and the system's view of its connection.

use super::*;

/// How a client disconnects or gives up its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disconnect {
    Fin,
    Rst,
    HalfClose,
    Cancel,
}

impl Disconnect {
    pub const ALL: [Self; 4] = [Self::Fin, Self::Rst, Self::HalfClose, Self::Cancel];

    /// Gives up these tasks, and waits until the system has delivered that to the peer, as far as the peer
    /// accepts unread bytes. The result is to be kept until the end of the test. Seen: on a busy machine, a
    /// paused process that was resumed read the start requests without the end that followed them.
    pub fn perform(self, mut client: TcpStream, tasks: impl Iterator<Item = u64>) -> Option<TcpStream> {
        let (own, peer) = (client.local_addr().expect("is bound"), client.peer_addr().expect("is up"));
        let still_open = match self {
            Self::Fin => {
                drop(client);
                None
            }
            Self::Rst => {
                let socket = rustix::net::sockopt::set_socket_linger(&client, Some(Duration::ZERO));
                socket.expect("is set");
                drop(client);
                None
            }
            Self::HalfClose => {
                client.shutdown(std::net::Shutdown::Write).expect("is shut");
                Some(client)
            }
            Self::Cancel => {
                let all: Vec<u8> = tasks.flat_map(|task| release(task, cause_code::ENDED)).collect();
                client.write_all(&all).expect("is sent");
                Some(client)
            }
        };
        let is_delivered = || match (self, Socket::of(own, peer), Socket::of(peer, own)) {
            // The peer's receive buffer is full, and the end is queued behind it.
            (.., Some(theirs)) if theirs.unread > Socket::READ_BUFFER_LIMIT => true,
            (Self::Cancel, ours, _) => ours.is_none_or(|ours| ours.unacknowledged == 0),
            (.., theirs) => theirs.is_none_or(|theirs| theirs.state != Socket::ESTABLISHED),
        };
        let started_at = Instant::now();
        while !is_delivered() {
            assert!(started_at.elapsed() < TIMEOUT, "{self:?} is not delivered to the peer");
            std::thread::sleep(Duration::from_millis(1));
        }
        still_open
    }
}

/// One side of a connection in the system's table of sockets.
struct Socket {
    state: u8,
    /// Bytes written that the peer's system has not acknowledged.
    unacknowledged: u64,
    /// Bytes received and not read.
    unread: u64,
}

impl Socket {
    const ESTABLISHED: u8 = 1;
    /// With more unread bytes, the receive buffer counts as full.
    const READ_BUFFER_LIMIT: u64 = 60_000;

    fn of(local: SocketAddr, remote: SocketAddr) -> Option<Self> {
        let in_table = |at: SocketAddr| match at {
            SocketAddr::V4(at) => format!("{:08X}:{:04X}", u32::from_ne_bytes(at.ip().octets()), at.port()),
            SocketAddr::V6(at) => panic!("{at}: only loopback of version 4 is used here"),
        };
        let (local, remote) = (in_table(local), in_table(remote));
        let table = std::fs::read_to_string("/proc/net/tcp").expect("is read");
        // Columns: number, local, remote, state, bytes unacknowledged and unread.
        table.lines().map(|line| line.split_whitespace().collect::<Vec<&str>>()).find_map(|columns| {
            let [_, of_local, of_remote, state, queues, ..] = columns[..] else { return None };
            let (unacknowledged, unread) = queues.split_once(':')?;
            let number = |hex| u64::from_str_radix(hex, 16).expect("a number");
            (of_local == local && of_remote == remote).then(|| Self {
                state: u8::from_str_radix(state, 16).expect("a number"),
                unacknowledged: number(unacknowledged),
                unread: number(unread),
            })
        })
    }
}
