//! Loopback addresses of this run alone: runs beside one another never meet, also where a port is free for a while.

use std::net::Ipv4Addr;

/// The first and the number of second parts of addresses; each run has one of them by its process id.
const FIRST_NETWORK: u32 = 16;
const NETWORKS: u32 = 200;

/// Who listens there.
#[derive(Clone, Copy, Debug)]
pub enum Role {
    /// Machines.
    Machine = 1,
    /// Schedulers.
    Scheduler = 2,
    /// The discovery service.
    Discovery = 3,
}

/// The address of the n-th of these, from 0.
pub fn address_of(role: Role, n: usize) -> Ipv4Addr {
    let network = FIRST_NETWORK + std::process::id() % NETWORKS;
    Ipv4Addr::new(127, network as u8, role as u8, n as u8 + 1)
}
