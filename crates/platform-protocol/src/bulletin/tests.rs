use super::*;
use proptest::prelude::*;

/// All events of an answer that comes in pieces of this size.
fn heard(answer: &[u8], cut: usize) -> Result<Vec<String>, Bad> {
    let (mut head, mut stream, mut events) = (Head::default(), None::<Stream>, Vec::new());
    for piece in answer.chunks(cut) {
        let mut rest = piece.to_vec();
        if stream.is_none() {
            let Some((body, behind)) = head.take(piece)? else { continue };
            stream = Some(Stream::new(body));
            rest = behind;
        }
        stream.as_mut().unwrap().take(&rest, |data| events.push(data.to_owned()))?;
    }
    Ok(events)
}

#[test]
fn events_are_heard_in_any_framing_and_half_an_event_is_nothing() {
    let text = ": hello\n\nid: 2\ndata: one\n\nid:3\r\ndata:two\r\ndata: more\r\n\r\ndata: x\r\rdata: half\n";
    let chunks: String = text.as_bytes().chunks(7).fold(String::new(), |all, piece| {
        all + &format!("{:x};name=value\r\n{}\r\n", piece.len(), String::from_utf8_lossy(piece))
    });
    let open = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}");
    let length = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}GARBAGE", text.len());
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    for answer in [open, length, chunked] {
        for cut in 1..60 {
            assert_eq!(heard(answer.as_bytes(), cut).unwrap(), ["one", "two\nmore", "x"], "{cut}");
        }
    }
}

#[test]
fn what_is_no_stream_is_refused_within_bounds() {
    assert!(heard(b"HTTP/1.1 503 Busy\r\n\r\n", 9).is_err());
    assert!(heard(&[b'x'; 40_000], 1_000).is_err());
    let endless = [b"HTTP/1.1 200 OK\r\n".to_vec(), vec![b'a'; 40_000]].concat();
    assert!(heard(&endless, 1_000).is_err(), "a head without an end");
    let endless = [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'a'; MOST_LINE + 2]].concat();
    assert!(heard(&endless, 64_000).is_err(), "a line without an end");
    assert!(heard(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 64).is_err());
}

proptest! {
    #[test]
    fn drawn_bytes_end_in_events_or_one_error(bytes in prop::collection::vec(any::<u8>(), 0..3_000)) {
        for body in [Body::Open, Body::Chunked, Body::Length(1_000)] {
            let mut stream = Stream::new(body);
            let mut events = 0;
            let _ = stream.take(&bytes, |_| events += 1);
            prop_assert!(events <= bytes.len());
        }
    }
}
