use super::*;
use crate::kind;
use crate::message::write_message;

const VALID: [(u8, &[u8]); 6] = [
    (code::CLASS, b"batch"),
    (code::TIMEOUT, b"1500"),
    (code::NAME, b"7f3a9c21e0b4d655"),
    (code::IDEMPOTENCY_KEY, b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),
    (code::RESOURCES, b"cores:0.250;memory:2;service:00000000b4d65521"),
    (code::DESCRIPTION, b"v=0\r\n"),
];

fn parse(task: u64, params: &[(u8, &[u8])]) -> Result<(), InvalidRequest> {
    let mut out = Vec::new();
    write_message(&mut out, kind::START, task, params);
    StartRequest::parse(&Frame::parse(&out[2..]).unwrap()).map(|_| ())
}

#[test]
fn request_without_a_required_parameter_is_invalid() {
    assert_eq!(parse(7, &VALID), Ok(()));
    assert!(parse(0, &VALID).is_err(), "no task number");
    for missing in [code::CLASS, code::TIMEOUT, code::NAME, code::RESOURCES, code::DESCRIPTION] {
        let params: Vec<_> = VALID.into_iter().filter(|(code, _)| *code != missing).collect();
        assert!(parse(7, &params).is_err(), "{missing}");
    }
    for (code, value) in VALID {
        let duplicated = [&VALID[..], &[(code, value)]].concat();
        assert!(parse(7, &duplicated).is_err(), "{code} twice");
    }
}

#[test]
fn malformed_values_are_invalid() {
    let malformed: [(u8, &[u8]); 14] = [
        (code::RESOURCES, b"cores:-1;memory:2;service:00000000b4d65521"),
        (code::RESOURCES, b"cores:nan;memory:2;service:00000000b4d65521"),
        (code::RESOURCES, b"cores:inf;memory:2;service:00000000b4d65521"),
        (code::RESOURCES, b"cores:0;memory:2;service:00000000b4d65521"),
        (code::RESOURCES, b"cores:1e9;memory:2;service:00000000b4d65521"),
        (code::RESOURCES, b"cores:1;cores:1;memory:2;service:00000000b4d65521"),
        (code::RESOURCES, b"cores:1;memory;service:00000000b4d65521"),
        (code::RESOURCES, b"cores:1;memory:2;service:b4d65521"),
        (code::RESOURCES, b"cores:1;memory:2;service:00000000b4d65521;at:"),
        (code::TIMEOUT, b"-5"),
        (code::TIMEOUT, b"99999999999999999999999"),
        (code::NAME, b"+f3a9c21e0b4d655"),
        (code::IDEMPOTENCY_KEY, b"5c0f"),
        (code::CLASS, b"\xff\xfe"),
    ];
    for (code, value) in malformed {
        let params = VALID.map(|param| if param.0 == code { (code, value) } else { param });
        assert!(parse(7, &params).is_err(), "{:?}", String::from_utf8_lossy(value));
    }
}
