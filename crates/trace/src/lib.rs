//! Public cluster traces: reading the published tables, what is wrong with them, and what work they describe.
//!
//! For: layouts of published CSV tables behind one interface; reading them in bounded memory, gzip or plain,
//! in parts; a policy for each kind of fault and a count of every repair; samples of them that fit a fleet;
//! small made traces with faults that are counted.
//! May not touch: planners, stand-ins, the module; sockets, clocks. Files are read and written, nothing else.

mod alibaba;
mod event;
mod fault;
mod google;
mod inspect;
mod layout;
mod make;
mod map;
mod order;
mod read;
mod row;
mod sample;
mod source;
mod work;

pub use event::{Change, Event, JobId, MachineChange, Stamped, TaskKey, Way};
pub use fault::{Fault, Policies, Policy, Tally};
pub use inspect::{Inspection, Mix, Spread, inspect};
pub use layout::{LAYOUTS, Layout, Order, Table, by_name, recognise};
pub use make::{Made, Model, make};
pub use map::{ClassRule, Mapping, read_mapping};
pub use read::{Progress, Reader, Summary};
pub use sample::{Sample, Share};
pub use source::{Source, find_sources};
pub use work::{FleetChange, FleetMachine, Task, Use, Work, collect};
