//! Throws mutated streams at the decoder: `cargo run --release --example fuzz_frames -- STREAMS SEED`.
//!
//! Each stream is a few good frames with bytes changed, dropped, doubled or swapped. Whatever is read must
//! come out the same when it is written and read again.

mod bytes;

use bytes::Bytes;
use mulleinhub_protocol::*;

fn good(bytes: &mut Bytes) -> Vec<u8> {
    let shape =
        Shape { key: bytes.next(), use_case: 1, service: bytes.next(), cores: 1.5, memory: 2.0, again: true };
    let name = "planner-1";
    let held =
        Held { task: bytes.next(), send: 1, shape, owner: name, ended: Some(Ending::Lost), runs: false };
    let entry = Entry {
        machine: bytes.next(),
        address: "127.0.0.1:4000",
        kind: 0,
        cell: 1,
        zone: 2,
        mode: Mode::Active,
        life: bytes.next(),
        up_for: None,
        cores_left: Some(1.0),
        memory_left: None,
    };
    let message = match bytes.below(9) {
        0 => Message::Ask { task: bytes.next(), shape, patience: bytes.next(), clock: bytes.next() },
        1 => Message::Offer { task: bytes.next(), send: 3, shape, time_out: bytes.next(), owner: name },
        2 => Message::Holds { tasks: vec![held; bytes.below(4)], last: true },
        3 => Message::Bye { words: name },
        4 => Message::Welcome {
            version: 1,
            features: 0,
            name,
            life: bytes.next(),
            silence: Some(bytes.next()),
        },
        5 => Message::Note {
            task: bytes.next(),
            cores: Some(1.0),
            memory: None,
            served: Some(0.5),
            machine_memory: None,
        },
        6 => Message::List {
            kind: ListKind::Changes,
            version: bytes.next(),
            entries: vec![entry; bytes.below(4)],
        },
        7 => Message::ListPiece {
            kind: ListKind::Whole,
            version: bytes.below(2) as u64,
            number: bytes.below(3) as u32,
            last: bytes.below(2) == 0,
            entries: vec![entry; bytes.below(4)],
        },
        _ => Message::Closed { task: bytes.next(), send: 0, ending: Ending::Evicted, reason: Reason::Untold },
    };
    let mut frame = Vec::new();
    encode(&message, &mut frame);
    frame
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>().expect("a whole number"));
    let (streams, seed) = (args.next().unwrap_or(200_000), args.next().unwrap_or(1));
    let mut bytes = Bytes(seed | 1);
    let (mut read, mut refused, mut lists) = (0u64, 0u64, 0u64);
    for _ in 0..streams {
        let mut stream: Vec<u8> = (0..1 + bytes.below(3)).flat_map(|_| good(&mut bytes)).collect();
        for _ in 0..bytes.below(4) {
            if stream.is_empty() {
                break;
            }
            let at = bytes.below(stream.len());
            match bytes.below(4) {
                0 => stream[at] = bytes.next() as u8,
                1 => drop(stream.remove(at)),
                2 => stream.insert(at, bytes.next() as u8),
                _ => stream.truncate(at + 1),
            }
        }
        let mut frames = Frames::default();
        let mut list = ListReader::default();
        let cut = bytes.below(stream.len());
        for part in [&stream[..cut], &stream[cut..]] {
            frames.take(part);
            while let Ok(Some(frame)) = frames.next_frame() {
                match decode(frame) {
                    Ok(message) => {
                        read += 1;
                        let mut again = Vec::new();
                        encode(&message, &mut again);
                        if let Message::ListPiece { kind, version, number, last, entries } = &message {
                            match list.take(*kind, *version, *number, *last, entries) {
                                Ok(whole) => lists += u64::from(whole.is_some()),
                                Err(_) => list.clear(),
                            }
                        }
                        assert_eq!(decode(&again), Ok(message), "is not read as it was written");
                    }
                    Err(Bad(words)) => {
                        refused += 1;
                        assert!(!words.is_empty());
                    }
                }
            }
        }
    }
    println!(
        "{streams} streams: {read} messages read, {refused} frames refused, {lists} lists whole in pieces"
    );
}
