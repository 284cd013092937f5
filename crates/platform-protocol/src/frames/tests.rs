use super::*;
use crate::message::{cause, write_message, write_with_cause};
use crate::{code, kind};
use proptest::prelude::*;

#[test]
fn lengths_out_of_bounds_are_refused_before_their_bytes_come() {
    for length in [0u16, 8, MOST as u16 + 1, u16::MAX] {
        let mut frames = Frames::default();
        frames.take(&length.to_be_bytes());
        assert!(frames.has_next() && frames.next_frame().is_err(), "{length}");
    }
}

#[test]
fn parameters_that_do_not_add_up_are_refused() {
    let mut bytes = vec![0, 13, kind::RELEASE, 0, 0, 0, 0, 0, 0, 0, 1, code::CAUSE, 0, 2, 16];
    let mut frames = Frames::default();
    frames.take(&bytes);
    assert!(frames.next_frame().is_err());
    bytes[13] = 1;
    let mut frames = Frames::default();
    frames.take(&bytes);
    assert_eq!(frames.next_frame().unwrap().and_then(|f| cause(&f)), Some(16));
}

proptest! {
    #[test]
    fn what_is_written_is_read_again_however_it_is_cut(
        tasks in prop::collection::vec((any::<u64>(), any::<u8>(), ".{0,40}"), 1..20),
        cut in 1usize..50,
    ) {
        let mut bytes = Vec::new();
        for (task, cause, text) in &tasks {
            write_with_cause(&mut bytes, kind::RELEASE, *task, *cause);
            write_message(&mut bytes, kind::NOTE, *task, &[(code::NOTE, text.as_bytes())]);
        }
        let mut frames = Frames::default();
        let mut heard = Vec::new();
        for piece in bytes.chunks(cut) {
            frames.take(piece);
            while let Some(frame) = frames.next_frame().unwrap() {
                heard.push((frame.task, cause(&frame), frame.text(code::NOTE).map(str::to_owned)));
            }
            prop_assert!(frames.kept() < 2 + MOST + cut);
        }
        let told = tasks.iter().flat_map(|(task, cause, text)| {
            [(*task, Some(*cause), None), (*task, None, Some(text.clone()))]
        });
        prop_assert_eq!(heard, told.collect::<Vec<_>>());
        prop_assert_eq!(frames.kept(), 0);
    }

    #[test]
    fn drawn_bytes_end_in_messages_or_one_error(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let mut frames = Frames::default();
        frames.take(&bytes);
        while let Ok(Some(frame)) = frames.next_frame() {
            prop_assert!(frame.params().all(|(_, value)| value.len() <= MOST));
        }
    }
}
