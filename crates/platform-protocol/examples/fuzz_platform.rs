//! Feeds mutated streams to both decoders: `cargo run --release --example fuzz_platform -- STREAMS SEED`.
//!
//! Each stream is valid messages, or a valid response with the endpoint list, with bytes changed, dropped,
//! duplicated or truncated, read in pieces. Nothing may panic, no more than one message and one piece may be
//! buffered, and the result must not depend on the size of the pieces.

#[path = "../../protocol/examples/bytes/mod.rs"]
mod bytes;

use bytes::Bytes;
use mulleinhub_platform_protocol::*;

fn corrupt(bytes: &mut Bytes, stream: &mut Vec<u8>) {
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
            0 => write_start_request(&mut out, task, "batch", 1_500, None, "7f3a9c21e0b4d655", b"v=0\r\n"),
            1 => write_acceptance(&mut out, task, &[b'x'; 80]),
            2 => write_rejection(&mut out, task, cause_code::FULL, 250),
            3 => write_message(&mut out, kind::NOTE, task, &[(code::NOTE, b"use_cpu")]),
            _ => write_with_cause(&mut out, kind::RELEASE, task, cause_code::ENDED),
        }
    }
    out
}

fn decode_messages(stream: &[u8], piece_size: usize) -> (Vec<(u8, u64, usize)>, bool) {
    let (mut frames, mut decoded) = (FrameBuffer::default(), Vec::new());
    for piece in stream.chunks(piece_size) {
        frames.extend(piece);
        loop {
            match frames.next_frame() {
                Ok(Some(frame)) => {
                    let _ = (StartRequest::parse(&frame), note(&frame), cause(&frame), reason(&frame));
                    decoded.push((frame.kind, frame.task, frame.params().count()));
                }
                Ok(None) => break,
                Err(_) => return (decoded, false),
            }
        }
        assert!(
            frames.unprocessed() <= 2 + MAX_LENGTH + piece_size,
            "more than one message and one piece is buffered"
        );
    }
    (decoded, true)
}

fn response(bytes: &mut Bytes) -> Vec<u8> {
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

fn decode_response(stream: &[u8], piece_size: usize) -> (Vec<String>, bool) {
    let (mut head, mut body, mut decoded) = (ResponseHead::default(), None::<EventStream>, Vec::new());
    for piece in stream.chunks(piece_size) {
        let mut rest = piece.to_vec();
        if body.is_none() {
            match head.feed(piece) {
                Ok(Some((framing, behind))) => (body, rest) = (Some(EventStream::new(framing)), behind),
                Ok(None) => continue,
                Err(_) => return (decoded, false),
            }
        }
        let taken = body.as_mut().expect("the head is complete").feed(&rest, |data| {
            let _ = parse_event(data);
            decoded.push(data.to_owned());
        });
        if taken.is_err() {
            return (decoded, false);
        }
    }
    (decoded, true)
}

fn main() {
    let mut args = std::env::args().skip(1).map(|arg| arg.parse::<u64>().expect("a whole number"));
    let (streams, seed) = (args.next().unwrap_or(200_000), args.next().unwrap_or(1));
    let mut bytes = Bytes(seed | 1);
    let (mut accepted, mut rejected) = (0u64, 0u64);
    for _ in 0..streams {
        let piece_size = 1 + bytes.below(40);
        let mut stream = messages(&mut bytes);
        corrupt(&mut bytes, &mut stream);
        let decoded = decode_messages(&stream, piece_size);
        assert_eq!(decoded, decode_messages(&stream, stream.len().max(1)), "{stream:02x?}");
        let mut stream = response(&mut bytes);
        corrupt(&mut bytes, &mut stream);
        let events = decode_response(&stream, piece_size);
        assert_eq!(
            events.0,
            decode_response(&stream, stream.len().max(1)).0,
            "{}",
            String::from_utf8_lossy(&stream)
        );
        for is_accepted in [decoded.1, events.1] {
            *(if is_accepted { &mut accepted } else { &mut rejected }) += 1;
        }
    }
    println!("{accepted} streams read, {rejected} refused");
    assert!(accepted > 0 && rejected > 0, "all streams were accepted, or all rejected");
}
