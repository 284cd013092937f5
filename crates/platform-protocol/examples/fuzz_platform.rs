//! Throws mutated streams at both decoders: `cargo run --release --example fuzz_platform -- STREAMS SEED`.
//!
//! Each stream is good messages, or a good answer of the bulletin, with bytes changed, dropped, doubled or
//! swapped, read in pieces. Nothing may panic, more than one message and one piece may never be held, and
//! what is read must be the same however the stream is cut.

#[path = "../../protocol/examples/bytes/mod.rs"]
mod bytes;

use bytes::Bytes;
use mulleinhub_platform_protocol::*;

fn spoil(bytes: &mut Bytes, stream: &mut Vec<u8>) {
    for _ in 0..bytes.below(6) {
        if stream.is_empty() {
            return;
        }
        let at = bytes.below(stream.len());
        match bytes.below(4) {
            0 => stream[at] = bytes.next() as u8,
            1 => drop(stream.remove(at)),
            2 => stream.insert(at, stream[at]),
            _ => stream.truncate(at),
        }
    }
}

fn messages(bytes: &mut Bytes) -> Vec<u8> {
    let mut out = Vec::new();
    for _ in 0..1 + bytes.below(5) {
        let task = bytes.next();
        match bytes.below(5) {
            0 => write_setup(&mut out, task, "batch", 1_500, None, "7f3a9c21e0b4d655", b"v=0\r\n"),
            1 => write_answer(&mut out, task, &[b'x'; 80]),
            2 => write_refusal(&mut out, task, why::FULL, 250),
            3 => write_message(&mut out, kind::NOTE, task, &[(code::NOTE, b"use_cpu")]),
            _ => write_with_cause(&mut out, kind::RELEASE, task, why::ENDED),
        }
    }
    out
}

fn hear_messages(stream: &[u8], cut: usize) -> (Vec<(u8, u64, usize)>, bool) {
    let (mut frames, mut heard) = (Frames::default(), Vec::new());
    for piece in stream.chunks(cut) {
        frames.take(piece);
        loop {
            match frames.next_frame() {
                Ok(Some(frame)) => {
                    let _ = (SetUp::read(&frame), note(&frame), cause(&frame), why(&frame));
                    heard.push((frame.kind, frame.task, frame.params().count()));
                }
                Ok(None) => break,
                Err(_) => return (heard, false),
            }
        }
        assert!(frames.kept() <= 2 + MOST + cut, "more is held than one message and one piece");
    }
    (heard, true)
}

fn answer(bytes: &mut Bytes) -> Vec<u8> {
    let event = r#"{"no":2,"roster":{"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"a",
        "model":"m","pod_group":1,"state":"in_service","boot_ms":0,"room":[1.0,2.0]}]}}"#
        .replace('\n', "");
    let body = format!(": \n\nid: 2\ndata: {event}\n\n");
    let text = match bytes.below(3) {
        0 => format!("HTTP/1.1 200 OK\r\n\r\n{body}"),
        1 => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()),
        _ => format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        ),
    };
    text.into_bytes()
}

fn hear_answer(stream: &[u8], cut: usize) -> (Vec<String>, bool) {
    let (mut head, mut body, mut heard) = (Head::default(), None::<Stream>, Vec::new());
    for piece in stream.chunks(cut) {
        let mut rest = piece.to_vec();
        if body.is_none() {
            match head.take(piece) {
                Ok(Some((framing, behind))) => (body, rest) = (Some(Stream::new(framing)), behind),
                Ok(None) => continue,
                Err(_) => return (heard, false),
            }
        }
        let taken = body.as_mut().expect("was made").take(&rest, |data| {
            let _ = event(data);
            heard.push(data.to_owned());
        });
        if taken.is_err() {
            return (heard, false);
        }
    }
    (heard, true)
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>().expect("a whole number"));
    let (streams, seed) = (args.next().unwrap_or(200_000), args.next().unwrap_or(1));
    let mut bytes = Bytes(seed | 1);
    let (mut whole, mut refused) = (0u64, 0u64);
    for _ in 0..streams {
        let cut = 1 + bytes.below(40);
        let mut stream = messages(&mut bytes);
        spoil(&mut bytes, &mut stream);
        let heard = hear_messages(&stream, cut);
        assert_eq!(heard, hear_messages(&stream, stream.len().max(1)), "{stream:02x?}");
        let mut stream = answer(&mut bytes);
        spoil(&mut bytes, &mut stream);
        let told = hear_answer(&stream, cut);
        assert_eq!(
            told.0,
            hear_answer(&stream, stream.len().max(1)).0,
            "{}",
            String::from_utf8_lossy(&stream)
        );
        for is_whole in [heard.1, told.1] {
            *(if is_whole { &mut whole } else { &mut refused }) += 1;
        }
    }
    println!("{whole} streams read, {refused} refused");
    assert!(whole > 0 && refused > 0, "the streams were all of one kind");
}
