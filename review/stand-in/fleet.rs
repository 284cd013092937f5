//! Many sound nodes at once: each looks at one set-up at a time, answers that the task stands, and cuts it when told to.

use crate::record::Record;
use crate::wire::{self, Message};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How long a node looks at one set-up: within what the deployments give (5 to 39 ms).
const LOOKS_AT: Duration = Duration::from_millis(12);

/// The description of the usual owner's set-ups. Nodes answer 'error' to whatever they can't use.
const GOOD: &[u8] = b"wanted";

struct Node {
    uid: String,
    address: SocketAddr,
    /// The tasks that stand; one set-up is looked at at a time.
    standing: Mutex<BTreeSet<u64>>,
}

pub struct Fleet {
    nodes: Vec<Arc<Node>>,
    placed: Arc<AtomicUsize>,
}

impl Fleet {
    pub fn start(count: usize, record: &Record) -> std::io::Result<Self> {
        let (mut nodes, placed) = (Vec::new(), Arc::new(AtomicUsize::new(0)));
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let (uid, address) = (format!("n{number}"), listener.local_addr()?);
            let node = Arc::new(Node { uid, address, standing: Mutex::new(BTreeSet::new()) });
            nodes.push(node.clone());
            let (record, placed) = (record.clone(), placed.clone());
            std::thread::Builder::new().stack_size(64 * 1024).spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (node, record, placed) = (node.clone(), record.clone(), placed.clone());
                    let serve = move || node.serve(stream, &record, &placed);
                    let _ = std::thread::Builder::new().stack_size(256 * 1024).spawn(serve);
                }
            })?;
        }
        Ok(Self { nodes, placed })
    }

    /// The entries of the list; each node is a cell of its own.
    pub fn entries(&self) -> Vec<String> {
        let entry = |(cell, node): (usize, &Arc<Node>)| {
            format!(
                concat!(
                    r#"{{"uid":"{}","endpoint":"{}","az":"quay","model":"slab","pod_group":{},"#,
                    r#""state":"in_service","capacity_hint":1,"boot_ms":0,"room":[24,48]}}"#
                ),
                node.uid, node.address, cell
            )
        };
        self.nodes.iter().enumerate().map(entry).collect()
    }

    /// How many tasks were accepted so far.
    pub fn placed(&self) -> usize {
        self.placed.load(Ordering::Relaxed)
    }
}

impl Node {
    fn serve(&self, mut stream: TcpStream, record: &Record, placed: &AtomicUsize) {
        let _ = stream.set_nodelay(true);
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        while let Ok(count) = stream.read(&mut buffer) {
            if count == 0 {
                return;
            }
            bytes.extend_from_slice(&buffer[..count]);
            while let Ok(Some(message)) = Message::take(&mut bytes) {
                if let Some(answer) = self.handle(&message, record, placed)
                    && stream.write_all(&answer.encode()).is_err()
                {
                    return;
                }
            }
        }
    }

    fn handle(&self, message: &Message, record: &Record, placed: &AtomicUsize) -> Option<Message> {
        let mut standing = self.standing.lock().unwrap_or_else(PoisonError::into_inner);
        match message.kind {
            wire::START => {
                std::thread::sleep(LOOKS_AT);
                if message.param(wire::DESCRIPTION) != Some(GOOD) {
                    record.note(&format!("node {} can't use {:016x}: error", self.uid, message.task));
                    return Some(Message::release(message.task, wire::ERROR));
                }
                standing.insert(message.task);
                placed.fetch_add(1, Ordering::Relaxed);
                record.note(&format!("node {} runs task {:016x}", self.uid, message.task));
                Some(Message::new(wire::ANSWER, message.task).with(wire::DESCRIPTION, self.uid.as_bytes()))
            }
            wire::RELEASE if standing.remove(&message.task) => {
                record.note(&format!("node {} cuts task {:016x}", self.uid, message.task));
                Some(Message::release(message.task, wire::CANCELLED))
            }
            wire::TEST => Some(Message::new(wire::TEST_RESULT, message.task).with(wire::CAUSE, &[1])),
            _ => None,
        }
    }
}
