use super::*;
use crate::message::{cause, write_message, write_with_cause};
use crate::{code, kind};
use proptest::prelude::*;

#[test]
fn lengths_out_of_bounds_are_rejected_before_the_message_arrives() {
    for length in [0u16, 8, MAX_LENGTH as u16 + 1, u16::MAX] {
        let mut frames = FrameBuffer::default();
        frames.extend(&length.to_be_bytes());
        assert!(frames.has_frame() && frames.next_frame().is_err(), "{length}");
    }
}

#[test]
fn parameters_that_do_not_fill_the_message_are_rejected() {
    let mut bytes = vec![0, 13, kind::RELEASE, 0, 0, 0, 0, 0, 0, 0, 1, code::CAUSE, 0, 2, 16];
    let mut frames = FrameBuffer::default();
    frames.extend(&bytes);
    assert!(frames.next_frame().is_err());
    bytes[13] = 1;
    let mut frames = FrameBuffer::default();
    frames.extend(&bytes);
    assert_eq!(frames.next_frame().unwrap().and_then(|frame| cause(&frame)), Some(16));
}

/// Guards against messages of thousands of empty parameters, which took hundreds of clients' worth of time to read
/// again and again (picture a).
#[test]
fn message_with_too_many_parameters_is_rejected() {
    for (count, is_valid) in [(MAX_PARAMETERS, true), (MAX_PARAMETERS + 1, false)] {
        let mut bytes = Vec::new();
        write_message(&mut bytes, kind::START, 1, &vec![(200, &b""[..]); count]);
        let mut frames = FrameBuffer::default();
        frames.extend(&bytes);
        assert_eq!(frames.next_frame().is_ok(), is_valid, "{count} parameters");
    }
}

proptest! {
    #[test]
    fn written_messages_are_decoded_in_any_pieces(
        tasks in prop::collection::vec((any::<u64>(), any::<u8>(), ".{0,40}"), 1..20),
        piece_size in 1usize..50,
    ) {
        let mut bytes = Vec::new();
        for (task, cause, text) in &tasks {
            write_with_cause(&mut bytes, kind::RELEASE, *task, *cause);
            write_message(&mut bytes, kind::NOTE, *task, &[(code::NOTE, text.as_bytes())]);
        }
        let mut frames = FrameBuffer::default();
        let mut decoded = Vec::new();
        for piece in bytes.chunks(piece_size) {
            frames.extend(piece);
            while let Some(frame) = frames.next_frame().unwrap() {
                decoded.push((frame.task, cause(&frame), frame.text(code::NOTE).map(str::to_owned)));
            }
            prop_assert!(frames.unprocessed() < 2 + MAX_LENGTH + piece_size);
        }
        let written = tasks.iter().flat_map(|(task, cause, text)| {
            [(*task, Some(*cause), None), (*task, None, Some(text.clone()))]
        });
        prop_assert_eq!(decoded, written.collect::<Vec<_>>());
        prop_assert_eq!(frames.unprocessed(), 0);
    }

    #[test]
    fn random_bytes_decode_to_messages_or_one_error(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut frames = FrameBuffer::default();
        frames.extend(&bytes);
        while let Ok(Some(frame)) = frames.next_frame() {
            prop_assert!(frame.params().all(|(_, value)| value.len() <= MAX_LENGTH));
        }
    }
}
