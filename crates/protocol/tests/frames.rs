//! Golden frames; properties of messages both ways; and that no bytes can do harm.

use mulleinhub_protocol::*;
use proptest::prelude::*;

fn frame(message: &Message<'_>) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode(message, &mut bytes);
    bytes
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

const SHAPE: Shape = Shape { key: 7, use_case: 1, service: 300, cores: 0.5, memory: 2.0, again: false };

#[test]
fn golden_frames_stay_as_they_are() {
    let held = Held { task: 1, send: 2, shape: SHAPE, owner: "o", ended: None, runs: true };
    let entry = Entry {
        machine: 1,
        address: "a",
        kind: 0,
        cell: 1,
        zone: 0,
        mode: Mode::Leaving,
        life: 2,
        up_for: None,
        cores_left: Some(1.0),
        memory_left: Some(2.0),
    };
    let hello = Message::Hello {
        conversation: Conversation::PlannerMachine,
        version: 1,
        least_version: 1,
        features: 0,
        name: "p",
        life: 3,
        clock: 4,
    };
    let digest = &[1; 16];
    let tip = Tip { writer: "w", life: 2, number: 3, digest };
    let beat = Beat { name: "w", life: 2, count: 4 };
    let work = Some(SideLog::Work);
    let work_tips =
        Message::Tips { all: digest, tips: vec![tip.clone()], beats: vec![], whole: true, log: work };
    let tips = Message::Tips { all: digest, tips: vec![tip], beats: vec![beat], whole: true, log: None };
    let want = Message::Want { writer: "w", life: 2, after: 3, digest, skip: 0, log: None };
    let work_want = Message::Want { writer: "w", life: 2, after: 3, digest, skip: 0, log: work };
    let rows = vec![RowBytes(&[7, 8])];
    let work_rows = rows.clone();
    let work_rows = Message::Rows {
        writer: "w",
        life: 2,
        after: 3,
        digest,
        rows: work_rows,
        skip: 0,
        rest: 9,
        log: work,
    };
    let rows = Message::Rows { writer: "w", life: 2, after: 3, digest, rows, skip: 0, rest: 9, log: None };
    let (word, figure) = (OrderWord::Held, Some(6));
    let order = OrderTold { account: true, name: "a", number: 5, word, figure, differs: false };
    let orders = Message::Orders { orders: vec![order] };
    let share = Message::ShareAsk { team: "t", month: 1, life: 2, open: 3, last: 4 };
    let given = Message::ShareGiven { team: "t", month: 1, open: 3, last: 4, number: 5 };
    let note = Message::Note { task: 1, cores: Some(0.5), memory: None, served: None, machine_memory: None };
    let closed = Message::Closed { task: 1, send: 0, ending: Ending::Nacked, reason: Reason::NoMemory };
    let golden = [
        (hello, "0000000a88000101010061700304"),
        (Message::Taken { task: 5 }, "00000003820b05"),
        (Message::Placed { task: 5, machine: 300 }, "00000006830c0519012c"),
        (Message::Bye { words: "ab" }, "000000058202626162"),
        (Message::Watch {}, "00000003811832"),
        (
            Message::Ask { task: 9, shape: SHAPE, patience: 1000, clock: 5 },
            "00000020850a0986070119012cfb3fe0000000000000fb4000000000000000f41903e805",
        ),
        (note, "0000000d83182101fb3fe0000000000000"),
        (closed, "0000000785182201000202"),
        (
            Message::Holds { tasks: vec![held], last: true },
            "000000258318278186010286070119012cfb3fe0000000000000fb4000000000000000f4616ff6f5f5",
        ),
        (
            Message::ListPiece {
                kind: ListKind::Whole,
                version: 2,
                number: 300,
                last: true,
                entries: vec![entry.clone()],
            },
            "00000026861834010219012cf5818a0161610001000102f6fb3ff0000000000000fb4000000000000000",
        ),
        (
            Message::List { kind: ListKind::Changes, version: 2, entries: vec![entry] },
            "000000228418330002818a0161610001000102f6fb3ff0000000000000fb4000000000000000",
        ),
        (
            tips,
            concat!(
                "000000328518465001010101010101010101010101010101818461",
                "7702035001010101010101010101010101010101818361770204f5"
            ),
        ),
        (want, "0000001986184761770203500101010101010101010101010101010100"),
        (rows, "0000001e881848617702035001010101010101010101010101010101814207080009"),
        (
            work_tips,
            "0000002e8618465001010101010101010101010101010101818461770203500101010101010101010101010101010180f501",
        ),
        (work_want, "0000001a8718476177020350010101010101010101010101010101010001"),
        (work_rows, "0000001f89184861770203500101010101010101010101010101010181420708000901"),
        (orders, "0000000c8218498186f56161050106f4"),
        (share, "0000000986184a617401020304"),
        (given, "0000000986184b617401030405"),
    ];
    for (message, wanted) in golden {
        let bytes = frame(&message);
        assert_eq!(hex(&bytes), wanted, "{message:?}");
        assert_eq!(decode(&bytes), Ok(message));
    }
}

fn shapes() -> impl Strategy<Value = Shape> {
    (any::<u64>(), any::<u32>(), any::<u64>(), 0.001..1e6f64, 0.001..1e6f64, any::<bool>()).prop_map(
        |(key, use_case, service, cores, memory, again)| Shape {
            key,
            use_case,
            service,
            cores,
            memory,
            again,
        },
    )
}

fn amounts() -> impl Strategy<Value = Option<f64>> {
    proptest::option::of(-1e9..1e9f64)
}

proptest! {
    #[test]
    fn offers_come_back_as_they_were(
        task in any::<u64>(), send in any::<u32>(), shape in shapes(), time_out in any::<u64>(),
        owner in "[ -~]{0,64}",
    ) {
        let message = Message::Offer { task, send, shape, time_out, owner: &owner };
        let bytes = frame(&message);
        prop_assert_eq!(decode(&bytes), Ok(message));
    }

    #[test]
    fn lists_come_back_as_they_were(
        kind in any::<bool>(), version in any::<u64>(),
        machines in proptest::collection::vec(
            (any::<u64>(), "[a-z0-9.:]{0,32}", amounts(), amounts()), 0..40
        ),
    ) {
        let entries = machines
            .iter()
            .map(|(machine, address, cores_left, memory_left)| Entry {
                machine: *machine,
                address,
                kind: 1,
                cell: 2,
                zone: 3,
                mode: Mode::Active,
                life: *machine ^ version,
                up_for: Some(version),
                cores_left: *cores_left,
                memory_left: *memory_left,
            })
            .collect();
        let kind = if kind { ListKind::Whole } else { ListKind::Changes };
        let message = Message::List { kind, version, entries };
        let bytes = frame(&message);
        prop_assert_eq!(decode(&bytes), Ok(message));
    }

    #[test]
    fn a_stream_is_cut_into_the_same_frames_however_it_arrives(
        tasks in proptest::collection::vec(any::<u64>(), 1..20),
        cuts in proptest::collection::vec(1usize..9, 1..60),
    ) {
        let stream: Vec<u8> = tasks.iter().flat_map(|task| frame(&Message::Taken { task: *task })).collect();
        let mut frames = Frames::default();
        let mut seen = Vec::new();
        let (mut rest, mut cuts) = (&stream[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let (now, later) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            frames.take(now);
            rest = later;
            while let Some(frame) = frames.next_frame().expect("are frames") {
                match decode(frame) {
                    Ok(Message::Taken { task }) => seen.push(task),
                    other => prop_assert!(false, "{other:?}"),
                }
            }
        }
        prop_assert_eq!(seen, tasks);
        prop_assert_eq!(frames.kept(), 0);
    }

    #[test]
    fn no_bytes_panic_and_what_is_refused_says_why(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut frames = Frames::default();
        frames.take(&bytes);
        loop {
            match frames.next_frame() {
                Ok(Some(frame)) => {
                    if let Err(bad) = decode(frame) {
                        prop_assert!(!bad.0.is_empty());
                    }
                }
                Ok(None) => break,
                Err(bad) => {
                    prop_assert!(bad.0.starts_with("byte "));
                    break;
                }
            }
        }
    }

    #[test]
    fn a_frame_with_any_one_byte_changed_is_read_or_refused(at in 0usize..36, byte in any::<u8>()) {
        let mut bytes = frame(&Message::Ask { task: 9, shape: SHAPE, patience: 1000, clock: 5 });
        bytes[at] = byte;
        let mut frames = Frames::default();
        frames.take(&bytes);
        if let Ok(Some(frame)) = frames.next_frame() {
            let _ = decode(frame);
        }
    }
}

#[test]
fn lengths_amounts_and_asks_are_bounded() {
    let long = "x".repeat(MOST_WORDS + 1);
    let many =
        vec![Held { task: 1, send: 0, shape: SHAPE, owner: "", ended: None, runs: true }; MOST_HELD + 1];
    let none = Shape { cores: 0.0, ..SHAPE };
    let odd = Shape { memory: f64::NAN, ..SHAPE };
    for (message, why) in [
        (Message::Bye { words: &long }, "513 bytes"),
        (Message::Holds { tasks: many, last: true }, "2001 tasks"),
        (Message::Ask { task: 1, shape: none, patience: 1, clock: 1 }, "an ask of 0 cores"),
        (Message::Offer { task: 1, send: 0, shape: odd, time_out: 1, owner: "" }, "an ask of NaN memory"),
    ] {
        let told = decode(&frame(&message)).expect_err("is beyond its bounds");
        assert!(told.0.contains(why), "{told}");
    }
    let two = [frame(&Message::Watch {}), vec![0]].concat();
    assert!(decode(&two).expect_err("something stands behind").0.contains("more than one message"));
}

#[test]
fn every_message_belongs_to_one_side_of_its_conversation_alone() {
    let all = [
        (
            Message::Ask { task: 1, shape: SHAPE, patience: 1, clock: 1 },
            Conversation::ClientPlanner,
            Side::Opener,
        ),
        (Message::Placed { task: 1, machine: 1 }, Conversation::ClientPlanner, Side::Opened),
        (Message::Recall { task: 1, send: 0 }, Conversation::PlannerMachine, Side::Opener),
        (Message::Accepted { task: 1, send: 0 }, Conversation::PlannerMachine, Side::Opened),
        (Message::Watch {}, Conversation::PlannerList, Side::Opener),
        (
            Message::ListPiece {
                kind: ListKind::Whole,
                version: 1,
                number: 0,
                last: true,
                entries: Vec::new(),
            },
            Conversation::PlannerList,
            Side::Opened,
        ),
    ];
    let conversations =
        [Conversation::ClientPlanner, Conversation::PlannerMachine, Conversation::PlannerList];
    for (message, its, side) in all {
        for conversation in conversations {
            for other in [Side::Opener, Side::Opened] {
                let belongs = conversation == its && other == side;
                assert_eq!(message.belongs(conversation, other), belongs, "{message:?} in {conversation:?}");
            }
        }
    }
}
