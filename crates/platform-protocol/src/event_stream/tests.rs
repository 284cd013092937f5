use super::*;
use proptest::prelude::*;

/// Decodes all events of a response that arrives in pieces of this size.
fn decode(response: &[u8], piece_size: usize) -> Result<Vec<String>, ProtocolError> {
    let (mut head, mut stream, mut events) = (ResponseHead::default(), None::<EventStream>, Vec::new());
    for piece in response.chunks(piece_size) {
        let mut rest = piece.to_vec();
        if stream.is_none() {
            let Some((framing, behind)) = head.feed(piece)? else { continue };
            stream = Some(EventStream::new(framing));
            rest = behind;
        }
        stream.as_mut().unwrap().feed(&rest, |data| events.push(data.to_owned()))?;
    }
    Ok(events)
}

#[test]
fn events_are_decoded_in_any_framing_and_partial_events_are_not() {
    let text = ": hello\n\nid: 2\ndata: one\n\nid:3\r\ndata:two\r\ndata: more\r\n\r\ndata: x\r\rdata: half\n";
    let chunks: String = text.as_bytes().chunks(7).fold(String::new(), |all, piece| {
        all + &format!("{:x};name=value\r\n{}\r\n", piece.len(), String::from_utf8_lossy(piece))
    });
    let until_close = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{text}");
    let length = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}GARBAGE", text.len());
    let chunked = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
    for response in [until_close, length, chunked] {
        for piece_size in 1..60 {
            let events = decode(response.as_bytes(), piece_size).unwrap();
            assert_eq!(events, ["one", "two\nmore", "x"], "{piece_size}");
        }
    }
}

#[test]
fn malformed_responses_are_rejected_within_bounds() {
    assert!(decode(b"HTTP/1.1 503 Busy\r\n\r\n", 9).is_err());
    assert!(decode(&[b'x'; 40_000], 1_000).is_err());
    let endless = [b"HTTP/1.1 200 OK\r\n".to_vec(), vec![b'a'; 40_000]].concat();
    assert!(decode(&endless, 1_000).is_err(), "a head without an end");
    let endless = [b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'a'; MAX_LINE + 2]].concat();
    assert!(decode(&endless, 64_000).is_err(), "a line without an end");
    assert!(decode(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 64).is_err());
}

proptest! {
    #[test]
    fn random_bytes_decode_to_events_or_one_error(bytes in prop::collection::vec(any::<u8>(), 0..3_000)) {
        for framing in [BodyFraming::UntilClose, BodyFraming::Chunked, BodyFraming::Length(1_000)] {
            let mut stream = EventStream::new(framing);
            let mut events = 0;
            let _ = stream.feed(&bytes, |_| events += 1);
            prop_assert!(events <= bytes.len());
        }
    }
}
