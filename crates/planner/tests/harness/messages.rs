//! Messages of the platform's protocol: encoding, and reading them from a connection.

use super::*;

/// The next message on a connection: its type, task and cause.
pub fn next_message(stream: &mut TcpStream) -> (u8, u64, Option<u8>) {
    let mut frames = FrameBuffer::default();
    loop {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).expect("in time"), 1, "the connection ended");
        frames.extend(&byte);
        if let Some(frame) = frames.next_frame().expect("a valid frame") {
            return (frame.kind, frame.task, mulleinhub_platform_protocol::cause(&frame));
        }
    }
}

/// All messages on a connection until its end, orderly or not.
pub fn remaining_messages(mut stream: TcpStream) -> Vec<(u8, u64, Option<u8>)> {
    let (mut frames, mut bytes, mut all) = (FrameBuffer::default(), [0; 4096], Vec::new());
    while let Ok(n @ 1..) = stream.read(&mut bytes) {
        frames.extend(&bytes[..n]);
        while let Ok(Some(frame)) = frames.next_frame() {
            all.push((frame.kind, frame.task, mulleinhub_platform_protocol::cause(&frame)));
        }
    }
    all
}

/// A start request of the usual class.
pub fn start_request(task: u64) -> Vec<u8> {
    start_request_of(task, "front", "")
}

/// A start request of a class; `more` is appended to the figures.
pub fn start_request_of(task: u64, class: &str, more: &str) -> Vec<u8> {
    let figures = format!("cores:1;memory:2;service:00000000b4d65521{more}");
    let mut params: Vec<(u8, &[u8])> = vec![(code::CLASS, class.as_bytes()), (code::TIMEOUT, b"2000")];
    if class == "batch" {
        params.push((code::IDEMPOTENCY_KEY, b"5c0f6e1a2b3d4c59a8b7c6d5e4f30211"));
    }
    params.push((code::NAME, b"7f3a9c21e0b4d655"));
    params.push((code::RESOURCES, figures.as_bytes()));
    params.push((code::DESCRIPTION, b"wanted"));
    encoded(|out| write_message(out, kind::START, task, &params))
}

/// The same start request with another client timeout.
pub fn with_client_timeout(start_request: Vec<u8>, ms: &str) -> Vec<u8> {
    let at =
        start_request.windows(6).position(|bytes| bytes == b"\x00\x042000").expect("it waits two seconds");
    let length = ms.len() as u16;
    let body =
        [&start_request[2..at], &length.to_be_bytes(), ms.as_bytes(), &start_request[at + 6..]].concat();
    [&(body.len() as u16).to_be_bytes()[..], &body].concat()
}

/// The bytes of a message.
pub fn encoded(write: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    write(&mut out);
    out
}

pub fn release(task: u64, cause: u8) -> Vec<u8> {
    encoded(|out| write_with_cause(out, kind::RELEASE, task, cause))
}

pub fn acceptance(task: u64) -> Vec<u8> {
    encoded(|out| write_acceptance(out, task, b"made"))
}

/// Waits until all that was written on this connection before is handled, and its consequences are carried
/// out: the second health check is answered in a later iteration than the first.
pub fn wait_until_handled(client: &mut TcpStream) {
    for check in [u64::MAX - 1, u64::MAX] {
        client
            .write_all(&encoded(|out| write_with_cause(out, kind::HEALTH_CHECK, check, 0)))
            .expect("is sent");
        assert_eq!(next_message(client), (kind::HEALTH_RESULT, check, Some(1)));
    }
}

/// Tasks of start requests on connections that are still in the backlog. The process has exited.
pub fn backlogged_start_requests(listener: &TcpListener) -> Vec<u64> {
    listener.set_nonblocking(true).expect("is set");
    let mut all = Vec::new();
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(false).expect("is set");
        all.extend(start_requests(stream));
    }
    all
}

/// Tasks of the start requests on a connection up to its end.
pub fn start_requests(stream: TcpStream) -> Vec<u64> {
    remaining_messages(stream)
        .into_iter()
        .filter(|(of, ..)| *of == kind::START)
        .map(|(_, task, _)| task)
        .collect()
}
