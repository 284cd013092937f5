use super::*;
use crate::kind;
use crate::message::write_message;

const GOOD: [(u8, &[u8]); 6] = [
    (code::CLASS, b"batch"),
    (code::PATIENCE, b"1500"),
    (code::NAME, b"7f3a9c21e0b4d655"),
    (code::KEY, b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    (code::FIGURES, b"cores:0.250;memory:2;service:00000000b4d65521"),
    (code::DESCRIPTION, b"v=0\r\n"),
];

fn read(task: u64, params: &[(u8, &[u8])]) -> Result<(), Unusable> {
    let mut out = Vec::new();
    write_message(&mut out, kind::SET_UP, task, params);
    SetUp::read(&Frame::read(&out[2..]).unwrap()).map(|_| ())
}

#[test]
fn a_set_up_is_read_and_one_without_any_of_its_parts_is_not() {
    assert_eq!(read(7, &GOOD), Ok(()));
    assert!(read(0, &GOOD).is_err(), "no id");
    for gone in [code::CLASS, code::PATIENCE, code::NAME, code::FIGURES, code::DESCRIPTION] {
        let params: Vec<_> = GOOD.into_iter().filter(|(code, _)| *code != gone).collect();
        assert!(read(7, &params).is_err(), "{gone}");
    }
    for (code, value) in GOOD {
        let doubled = [&GOOD[..], &[(code, value)]].concat();
        assert!(read(7, &doubled).is_err(), "{code} twice");
    }
}

#[test]
fn figures_that_are_none_and_names_that_are_none_are_unusable() {
    let bad: [(u8, &[u8]); 14] = [
        (code::FIGURES, b"cores:-1;memory:2;service:00000000b4d65521"),
        (code::FIGURES, b"cores:nan;memory:2;service:00000000b4d65521"),
        (code::FIGURES, b"cores:inf;memory:2;service:00000000b4d65521"),
        (code::FIGURES, b"cores:0;memory:2;service:00000000b4d65521"),
        (code::FIGURES, b"cores:1e9;memory:2;service:00000000b4d65521"),
        (code::FIGURES, b"cores:1;cores:1;memory:2;service:00000000b4d65521"),
        (code::FIGURES, b"cores:1;memory;service:00000000b4d65521"),
        (code::FIGURES, b"cores:1;memory:2;service:b4d65521"),
        (code::FIGURES, b"cores:1;memory:2;service:00000000b4d65521;at:"),
        (code::PATIENCE, b"-5"),
        (code::PATIENCE, b"99999999999999999999999"),
        (code::NAME, b"+f3a9c21e0b4d655"),
        (code::KEY, b"5c0f"),
        (code::CLASS, b"\xff\xfe"),
    ];
    for (code, value) in bad {
        let params = GOOD.map(|param| if param.0 == code { (code, value) } else { param });
        assert!(read(7, &params).is_err(), "{:?}", String::from_utf8_lossy(value));
    }
}
