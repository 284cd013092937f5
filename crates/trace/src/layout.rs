//! What a layout of published tables has to tell: its tables, and what a row of one means.

use crate::alibaba::Alibaba2018;
use crate::event::Stamped;
use crate::fault::{Out, Tally};
use crate::google::Google2011;
use crate::row::Row;

/// Whether the rows of a table follow the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By time, up to a bounded disorder.
    ByTime,
    /// By name: each row tells all of its matter, and instants follow no order.
    ByName,
}

/// One published table.
#[derive(Debug)]
pub struct Table {
    /// Files of it are called this, or stand in a folder of this name.
    pub name: &'static str,
    pub columns: &'static [&'static str],
    pub order: Order,
    /// Whether its rows tell of machines: those are read first where a sample is drawn.
    pub machines: bool,
}

/// A layout. Another one is a module with this and a place in `LAYOUTS`.
pub trait Layout: Send + Sync {
    fn name(&self) -> &'static str;
    /// Where its schema is published, and what of it is derived here, for people.
    fn about(&self) -> &'static str;
    fn tables(&self) -> &'static [Table];
    /// What a row of the table at this place means: any number of events.
    ///
    /// # Errors
    /// Where the row is kept out, or reading is to stop.
    fn read(&self, table: usize, row: &Row<'_>, out: &mut Vec<Stamped>, tally: &mut Tally)
    -> Result<(), Out>;
    /// The greatest machine's cores and GiB where the layout tells parts of it alone.
    fn wholes(&self) -> Option<(f64, f64)>;
}

/// All layouts, in the order in which they are tried.
pub const LAYOUTS: [&dyn Layout; 2] = [&Google2011, &Alibaba2018];

pub fn by_name(name: &str) -> Option<&'static dyn Layout> {
    LAYOUTS.into_iter().find(|layout| layout.name() == name)
}

/// The layout whose tables these files are, by their names alone.
pub fn recognise<'a>(tables: impl Iterator<Item = &'a str> + Clone) -> Option<&'static dyn Layout> {
    let count = |layout: &&dyn Layout| {
        tables.clone().filter(|name| layout.tables().iter().any(|table| table.name == *name)).count()
    };
    LAYOUTS.into_iter().max_by_key(|layout| count(layout)).filter(|layout| count(layout) > 0)
}
