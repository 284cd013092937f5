//! Lists in pieces: what is told is read whole, at any size, or not at all; and a peer that tells wrongly is
//! refused with bounded memory.

use mulleinhub_protocol::*;
use proptest::prelude::*;

const FLEET: u64 = 10_000;

fn entry(machine: u64, address: &str) -> Entry<'_> {
    Entry {
        machine,
        address,
        kind: 0,
        cell: 1,
        zone: 2,
        mode: Mode::Active,
        life: u64::MAX,
        up_for: Some(u64::MAX),
        cores_left: Some(1.0),
        memory_left: Some(2.0),
    }
}

fn addresses(machines: u64) -> Vec<String> {
    (1..=machines).map(|machine| format!("127.0.0.1:{machine}")).collect()
}

fn entries(addresses: &[String]) -> Vec<Entry<'_>> {
    (1..).zip(addresses).map(|(machine, address)| entry(machine, address)).collect()
}

fn told(kind: ListKind, version: u64, machines: u64) -> Vec<u8> {
    let addresses = addresses(machines);
    let mut frames = Vec::new();
    encode_list(kind, version, &entries(&addresses), &mut frames);
    frames
}

/// The frames of a stream, each with its length.
fn frames_of(stream: &[u8]) -> Vec<Vec<u8>> {
    let mut frames = Frames::default();
    frames.take(stream);
    let mut all = Vec::new();
    while let Some(frame) = frames.next_frame().expect("are frames") {
        all.push(frame.to_vec());
    }
    assert_eq!(frames.kept(), 0);
    all
}

fn take(reader: &mut ListReader, frame: &[u8]) -> Result<Option<WholeList>, Bad> {
    match decode(frame)? {
        Message::ListPiece { kind, version, number, last, entries } => {
            reader.take(kind, version, number, last, &entries)
        }
        other => panic!("not a piece: {other:?}"),
    }
}

/// Reads all frames: the whole list, or why not.
fn read(frames: &[Vec<u8>]) -> Result<Option<WholeList>, Bad> {
    let (mut reader, mut whole) = (ListReader::default(), None);
    for frame in frames {
        whole = take(&mut reader, frame)?;
    }
    Ok(whole)
}

#[test]
fn ten_thousand_machines_are_told_in_frames_and_read_whole() {
    let frames = frames_of(&told(ListKind::Whole, 7, FLEET));
    assert!(frames.len() > 10 && frames.iter().all(|frame| frame.len() <= MOST_FRAME));
    let whole = read(&frames).expect("are the pieces").expect("is whole");
    assert_eq!((whole.kind, whole.version), (ListKind::Whole, 7));
    assert_eq!(whole.entries(), entries(&addresses(FLEET)));
}

#[test]
fn a_list_that_fits_goes_in_one_message_as_it_always_did() {
    for machines in [0, 1, 2_000] {
        let frames = frames_of(&told(ListKind::Whole, 7, machines));
        let [frame] = &frames[..] else { panic!("{} frames", frames.len()) };
        let addresses = addresses(machines);
        let list = Message::List { kind: ListKind::Whole, version: 7, entries: entries(&addresses) };
        assert_eq!(decode(frame), Ok(list));
    }
    assert!(frames_of(&told(ListKind::Whole, 7, 2_001)).len() > 1);
}

#[test]
fn entries_with_the_longest_addresses_fit_into_frames() {
    let address = "x".repeat(MOST_WORDS);
    let long = vec![address; 3_000];
    let mut stream = Vec::new();
    encode_list(ListKind::Changes, 1, &entries(&long), &mut stream);
    let frames = frames_of(&stream);
    assert!(frames.iter().all(|frame| decode(frame).is_ok()));
    assert_eq!(read(&frames).expect("are pieces").expect("is whole").entries(), entries(&long));
}

#[test]
fn a_reader_of_one_message_is_told_why_it_gets_none() {
    let addresses = addresses(2_500);
    let mut out = vec![1, 2];
    let why = encode_in_one(ListKind::Whole, 1, &entries(&addresses), &mut out).expect_err("is too long");
    assert_eq!(why.0, "2500 machines in a list, 2000 at most in one message");
    let long = vec!["x".repeat(MOST_WORDS); 1_000];
    let why = encode_in_one(ListKind::Whole, 1, &entries(&long), &mut out).expect_err("is too long");
    assert!(why.0.contains("bytes can't be sent (262144 at most)"), "{why}");
    assert_eq!(out, [1, 2], "nothing is written");
}

#[test]
fn a_list_that_changes_midway_is_begun_anew_and_never_mixed() {
    let (old, new) =
        (frames_of(&told(ListKind::Whole, 7, FLEET)), frames_of(&told(ListKind::Whole, 8, FLEET / 2)));
    let changed: Vec<_> = old[..5].iter().chain(&new).cloned().collect();
    let whole = read(&changed).expect("begins anew").expect("is whole");
    assert_eq!((whole.version, whole.entries()), (8, entries(&addresses(FLEET / 2))));
    for (mixed, why) in [
        (&[&old[..5], &new[5..6]].concat(), "piece 5 of list version 8, Whole, where piece 5 of version 7"),
        (&[&new[..5], &old[..1]].concat(), "piece 0 of list version 7, Whole, where piece 5 of version 8"),
    ] {
        let bad = read(mixed).expect_err("is mixed");
        assert!(bad.0.starts_with(why), "{bad}");
    }
    let kinds = [&old[..1], &frames_of(&told(ListKind::Changes, 7, FLEET))[1..2]].concat();
    assert!(read(&kinds).expect_err("is mixed").0.contains("Changes, where piece 1 of version 7, Whole"));
}

#[test]
fn a_list_that_always_changes_is_refused_after_a_while() {
    let mut reader = ListReader::default();
    let mut refused = None;
    for version in 1..100 {
        let piece = reader.take(ListKind::Whole, version, 0, false, &[entry(1, "a")]);
        if let Err(Bad(why)) = piece {
            refused = Some((version, why));
            break;
        }
    }
    let (version, why) = refused.expect("is refused");
    assert_eq!(version, u64::from(MOST_RESTARTS) + 2);
    assert_eq!(why, "the list changed 9 times before it was told whole");
}

#[test]
fn a_lost_piece_a_second_one_and_one_out_of_order_are_refused() {
    let frames = frames_of(&told(ListKind::Whole, 7, FLEET));
    let without =
        |n: usize| frames.iter().enumerate().filter(move |(at, _)| *at != n).map(|(_, f)| f.clone());
    for (wrong, why) in [
        (without(3).collect::<Vec<_>>(), "piece 4 of list version 7 where 3 comes next"),
        (without(0).collect(), "piece 1 of list version 7 without those before it"),
        (vec![frames[0].clone(), frames[1].clone(), frames[1].clone()], "piece 1 of list version 7 where 2"),
        (vec![frames[0].clone(), frames[0].clone()], "piece 0 of list version 7 where 1 comes next"),
        (vec![frames[0].clone(), frames[2].clone()], "piece 2 of list version 7 where 1 comes next"),
    ] {
        let bad = read(&wrong).expect_err("is wrong");
        assert!(bad.0.starts_with(why), "{bad}");
    }
    let without_last: Vec<_> = without(frames.len() - 1).collect();
    assert!(read(&without_last).expect("are in order").is_none(), "is never taken for whole");
}

#[test]
fn endless_pieces_are_refused_with_bounded_memory() {
    let one = [entry(1, "a")];
    let mut reader = ListReader::default();
    let refused = (0..).find_map(|number| {
        let taken = reader.take(ListKind::Whole, 7, number, false, &one);
        assert!(reader.held() <= MOST_LISTED);
        taken.err()
    });
    assert_eq!(refused, Some(Bad("65537 machines in a list, 65536 at most".into())));
    let empty = ListReader::default().take(ListKind::Whole, 7, 0, false, &[]);
    assert_eq!(empty.map(|_| ()), Err(Bad("piece 0 of list version 7 is empty".into())));
    let (long, mut reader) = ("x".repeat(MOST_WORDS), ListReader::default());
    let refused = (0..)
        .find_map(|number| reader.take(ListKind::Whole, 7, number, false, &vec![entry(1, &long); 100]).err());
    assert!(refused.expect("is refused").0.starts_with("addresses of "));
    assert!(reader.held() * MOST_WORDS <= MOST_ADDRESS_BYTES);
}

#[test]
fn a_list_in_one_message_after_pieces_of_another_is_refused() {
    let mut reader = ListReader::default();
    assert_eq!(reader.no_pieces(), Ok(()));
    let _ = reader.take(ListKind::Whole, 7, 0, false, &[entry(1, "a")]).expect("is the first");
    let why = reader.no_pieces().expect_err("pieces are there");
    assert_eq!(why.0, "a list in one message after 1 pieces of version 7");
    reader.clear();
    assert_eq!((reader.no_pieces(), reader.held()), (Ok(()), 0));
}

#[test]
fn a_kept_list_is_read_again_and_a_broken_one_says_where() {
    for machines in [0, 3, 2_500, FLEET] {
        let whole = decode_list(&told(ListKind::Whole, 9, machines)).expect("is a list");
        assert_eq!((whole.version, whole.entries()), (9, entries(&addresses(machines))));
    }
    let stream = told(ListKind::Whole, 9, FLEET);
    for (broken, why) in [
        (stream[..stream.len() - 1].to_vec(), "bytes that are no whole frame"),
        (frames_of(&stream)[..2].concat(), "it ends after 2 pieces of a list that is not whole"),
        ([&stream[..], &stream].concat(), "a frame behind the end of the list"),
        (Vec::new(), "it ends after 0 pieces"),
        (vec![0, 0, 0, 2, 0x81, 3], "byte"),
        (vec![0xff; 10], "byte 0: a frame of"),
    ] {
        let bad = decode_list(&broken).expect_err("is broken");
        assert!(bad.0.contains(why), "{why}: {bad}");
    }
}

#[test]
fn a_message_that_is_too_long_is_an_error_in_words_and_no_panic() {
    let words = "x".repeat(MOST_FRAME);
    let status = Message::Status { words: &words };
    let mut out = vec![7];
    let too_long = try_encode(&status, &mut out).expect_err("is too long");
    assert!(too_long.bytes > MOST_FRAME && out == [7]);
    encode(&status, &mut out);
    let told = decode(&out[1..]).expect("a message instead");
    assert_eq!(told, Message::Bye { words: "a message of 262152 bytes can't be sent (262144 at most)" });
}

#[test]
fn what_a_machine_holds_is_cut_into_messages_that_fit() {
    let shape = Shape { key: 7, use_case: 1, service: 300, cores: 0.5, memory: 2.0, again: false };
    let owner = "x".repeat(MOST_WORDS);
    let held = Held { task: u64::MAX, send: u32::MAX, shape, owner: &owner, ended: None, runs: true };
    for many in [0, 1, 39_000] {
        let held = vec![held.clone(); many];
        let mut frames = Vec::new();
        for part in cut_held(&held) {
            try_encode(&Message::Holds { tasks: part.to_vec(), last: false }, &mut frames).expect("fits");
        }
        let told = frames_of(&frames);
        let count = |frame: &Vec<u8>| match decode(frame) {
            Ok(Message::Holds { tasks, .. }) => tasks.len(),
            other => panic!("{other:?}"),
        };
        assert_eq!((told.iter().map(count).sum::<usize>(), told.is_empty()), (many, false));
    }
}

proptest! {
    /// However pieces are lost, doubled and swapped: a list that is taken is one that was told, whole.
    #[test]
    fn no_order_of_pieces_makes_a_list_that_was_not_told(
        order in proptest::collection::vec((0usize..2, 0usize..6), 0..24),
    ) {
        let long = "x".repeat(500);
        let list = |version: u64| {
            let all: Vec<_> = (0..600).map(|machine| entry(machine * 2 + version, &long)).collect();
            let mut stream = Vec::new();
            encode_list(ListKind::Whole, version, &all, &mut stream);
            (frames_of(&stream), all)
        };
        let lists = [list(1), list(2)];
        let mut reader = ListReader::default();
        for (which, piece) in order {
            let Some(frame) = lists[which].0.get(piece) else { continue };
            match take(&mut reader, frame) {
                Ok(Some(whole)) => prop_assert_eq!(&whole.entries(), &lists[whole.version as usize - 1].1),
                Ok(None) => {}
                Err(Bad(why)) => {
                    prop_assert!(!why.is_empty());
                    reader.clear();
                }
            }
        }
    }

    #[test]
    fn no_bytes_of_a_kept_list_panic(at in 0usize..400, byte in any::<u8>(), end in 0usize..400) {
        let mut stream = told(ListKind::Whole, 9, 8);
        let len = stream.len();
        stream[at % len] = byte;
        stream.truncate(len.min(end));
        if let Err(Bad(why)) = decode_list(&stream) {
            prop_assert!(!why.is_empty());
        }
    }
}
