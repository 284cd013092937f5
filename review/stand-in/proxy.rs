//! A proxy between owners and a scheduler that can be cut off for a while.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    cut_off: Arc<AtomicBool>,
    record: Record,
}

impl Proxy {
    pub fn start(target: SocketAddr, record: &Record) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let proxy = Self { address, cut_off: Arc::new(AtomicBool::new(false)), record: record.clone() };
        let server = proxy.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { continue };
                let (there, back) = (server.clone(), server.clone());
                std::thread::spawn(move || there.forward(near, far_out));
                std::thread::spawn(move || back.forward(far, near_out));
            }
        });
        Ok(proxy)
    }

    /// Forwards one direction. What is not read as the cut ends is never forwarded: the connections are over by then,
    /// and closing one with bytes unread resets it.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16 * 1024];
        let mut was_cut = false;
        let _ = from.set_read_timeout(Some(Duration::from_millis(5)));
        loop {
            if self.cut_off.load(Ordering::Relaxed) {
                was_cut = true;
                std::thread::sleep(Duration::from_millis(5));
                continue;
            }
            if was_cut {
                return;
            }
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) if to.write_all(&buffer[..count]).is_err() => break,
                Ok(_) => {}
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }

    pub fn set_cut_off(&self, cut_off: bool) {
        self.record.note(if cut_off { "the owner is cut off from the scheduler" } else { "the owner can reach the scheduler again" });
        self.cut_off.store(cut_off, Ordering::Relaxed);
    }
}
