//! A non-blocking connection with its input and its outgoing bytes.

use mulleinhub_platform_protocol::FrameBuffer;
use rustix::net::sockopt::set_socket_linger;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const READ_SIZE: usize = 16 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// One connection.
pub struct Connection {
    stream: TcpStream,
    /// What was received and not handled.
    pub frames: FrameBuffer,
    /// Received as text, where the other side speaks HTTP.
    pub text: Vec<u8>,
    output: Vec<u8>,
    /// The other side has closed it, or it broke.
    pub closed: bool,
}

impl Connection {
    fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            frames: FrameBuffer::default(),
            text: Vec::new(),
            output: Vec::new(),
            closed: false,
        })
    }

    /// The next one of a listener, if any waits.
    pub fn accept(listener: &TcpListener) -> Option<Self> {
        listener.accept().ok().and_then(|(stream, _)| Self::new(stream).ok())
    }

    /// Connects; none where that is refused.
    pub fn connect(address: SocketAddr) -> Option<Self> {
        TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok().and_then(|stream| Self::new(stream).ok())
    }

    /// Reads all that is there.
    pub fn read(&mut self, is_text: bool) {
        let mut bytes = [0; READ_SIZE];
        while !self.closed {
            match self.stream.read(&mut bytes) {
                Ok(0) => self.closed = true,
                Ok(length) if is_text => self.text.extend_from_slice(&bytes[..length]),
                Ok(length) => self.frames.extend(&bytes[..length]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.closed = true,
            }
        }
    }

    /// Appends to the outgoing bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.output.extend_from_slice(bytes);
    }

    /// Writes as much as the system takes; true once all is written.
    pub fn flush(&mut self) -> bool {
        while !self.output.is_empty() && !self.closed {
            match self.stream.write(&self.output) {
                Ok(length) => drop(self.output.drain(..length)),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.closed = true,
            }
        }
        self.output.is_empty()
    }

    /// Ends it with a reset.
    pub fn reset(self) {
        let _ = set_socket_linger(&self.stream, Some(Duration::ZERO));
    }
}
