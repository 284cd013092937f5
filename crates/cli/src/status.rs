//! `status`: asks a running planner how it is, as any client would.

use mulleinhub_protocol::{self as protocol, Conversation, Frames, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(3);

pub fn ask(address: SocketAddr) -> Result<ExitCode, String> {
    let words = |e: std::io::Error| format!("{address}: {e}");
    if !address.ip().is_loopback() {
        return Err(format!("{address} is not a loopback address"));
    }
    let mut tcp = TcpStream::connect_timeout(&address, PATIENCE).map_err(words)?;
    tcp.set_read_timeout(Some(PATIENCE)).map_err(words)?;
    let mut bytes = Vec::new();
    let hello = Message::hello(Conversation::ClientPlanner, 0, "status", 1, 0);
    protocol::encode(&hello, &mut bytes);
    protocol::encode(&Message::StatusAsk {}, &mut bytes);
    tcp.write_all(&bytes).map_err(words)?;
    let mut frames = Frames::default();
    let mut buffer = [0; 4096];
    loop {
        let n = tcp.read(&mut buffer).map_err(words)?;
        if n == 0 {
            return Err(format!("{address}: the connection ended before an answer"));
        }
        frames.take(&buffer[..n]);
        while let Some(frame) = frames.next_frame().map_err(|bad| format!("{address}: {bad}"))? {
            match protocol::decode(frame).map_err(|bad| format!("{address}: {bad}"))? {
                Message::Status { words } => {
                    println!("{words}");
                    return Ok(ExitCode::SUCCESS);
                }
                Message::Bye { words } => return Err(format!("{address}: {words}")),
                _ => {}
            }
        }
    }
}
