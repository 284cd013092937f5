//! Who may add a worker: monthly caps of teams, kept by shares that move between schedulers, and holds of
//! accounts.
//!
//! For: the look before a task is taken ([`ReservationPool`], one for each team), and the keeper of the books
//! that fills the tills, writes rows, asks others for a part of their share and gives of its own
//! ([`Ledger`]). May not touch: sockets, files, clocks, threads, and any choice of machine. The time of day
//! is an input.

mod announce;
mod keeper;
mod money;
mod month;
mod names;
mod pace;
mod reservation_pool;
mod settings;
mod shares;
mod work_log;

pub use keeper::{Ledger, Look, Phase, Reply, TICK, Wanted};
pub use money::{GIB, Prices};
pub use month::{Month, Months};
pub use pace::Pace;
pub use reservation_pool::{Away, News, Place, ReservationPool, ReservationPools, Seen, Terms};
pub use settings::{Settings, Team};
