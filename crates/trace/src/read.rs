//! Reads all tables of a trace, each in a thread of its own, and tells their events in one order.
//!
//! Memory is bounded by the window and a few batches a table, whatever the files' length. The order in which
//! events are told, and what is counted, hang on the files alone: tables that follow the clock are merged by
//! instant, then by table, then by row; the others come before them, one after the other.

use crate::event::{Event, Stamped};
use crate::fault::{Fault, Out, Policies, Tally};
use crate::google::AFTER;
use crate::layout::{Layout, Order};
use crate::order::{Stood, Window};
use crate::row::Row;
use crate::source::{Source, open};
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

const BATCH: usize = 4096;
const BATCHES: usize = 4;

/// How far reading is, for whoever shows it; `stop` ends it early.
#[derive(Debug, Default)]
pub struct Progress {
    pub rows: AtomicU64,
    pub stop: Arc<AtomicBool>,
}

pub struct Reader {
    pub layout: &'static dyn Layout,
    pub sources: Vec<Source>,
    pub policies: Policies,
    /// Rows out of order by up to so many microseconds are put right.
    pub window: u64,
    /// Tables that are left out, by name.
    pub without: Vec<String>,
    /// So many tables are parsed at a time. What is told and counted does not hang on it.
    pub threads: usize,
}

/// Lets so many threads go on at a time.
struct Permits {
    left: Mutex<usize>,
    free: Condvar,
}

impl Permits {
    fn take(&self) {
        let mut left = self.left.lock().unwrap_or_else(PoisonError::into_inner);
        while *left == 0 {
            left = self.free.wait(left).unwrap_or_else(PoisonError::into_inner);
        }
        *left -= 1;
    }

    fn give(&self) {
        *self.left.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        self.free.notify_one();
    }
}

/// What one table's thread came to.
struct Read {
    tally: Tally,
    rows: u64,
    after: u64,
    stopped: Option<String>,
}

/// What was read in all.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Rows of each table that was read, by its name.
    pub rows: Vec<(&'static str, u64)>,
    /// Events that the layout tells to lie after the trace's end.
    pub after: u64,
    pub tally: Tally,
    /// It was ended early: all figures are of a part.
    pub partial: bool,
}

impl Reader {
    /// Tells every event to `sink`, which may meet faults of its own.
    ///
    /// # Errors
    /// Where a file can't be opened, or a fault is met at which reading is to stop.
    pub fn run(
        &self,
        progress: &Progress,
        mut sink: impl FnMut(Stamped, &mut Tally) -> Result<(), Out>,
    ) -> Result<Summary, String> {
        let tables = self.layout.tables();
        let wanted: Vec<usize> = (0..tables.len())
            .filter(|table| self.sources.iter().any(|source| source.table == *table))
            .filter(|table| !self.without.iter().any(|name| name == tables[*table].name))
            .collect();
        let mut tally = Tally::new(self.policies.clone());
        let permits = &Permits { left: Mutex::new(self.threads.max(1)), free: Condvar::new() };
        std::thread::scope(|scope| {
            let mut running = Vec::new();
            let mut by_name = Vec::new();
            let mut by_time = Vec::new();
            for table in wanted {
                let (send, receive) = sync_channel(BATCHES);
                running.push((table, scope.spawn(move || self.table(table, progress, &send, permits))));
                match tables[table].order {
                    Order::ByName => by_name.push(receive),
                    Order::ByTime => by_time.push(Merged { receive, ready: VecDeque::new() }),
                }
            }
            let mut tell = |event: Stamped, tally: &mut Tally| match sink(event, tally) {
                Err(Out::Stop(words)) => Err(words),
                Ok(()) | Err(Out::Skip) => Ok(()),
            };
            let mut told = Ok(());
            for batch in by_name.iter().flat_map(Receiver::iter) {
                told = batch.into_iter().try_for_each(|event| tell(event, &mut tally));
                if told.is_err() {
                    break;
                }
            }
            while told.is_ok() {
                let heads = by_time.iter_mut().enumerate().filter_map(|(n, table)| Some((table.head()?, n)));
                let Some((_, n)) = heads.min() else { break };
                let event = by_time[n].ready.pop_front().expect("has a head");
                told = tell(event, &mut tally);
            }
            if told.is_err() {
                progress.stop.store(true, Ordering::Relaxed);
            }
            // Threads that still write find nobody there, and end.
            drop((by_name, by_time));
            let mut summary =
                Summary { partial: progress.stop.load(Ordering::Relaxed), ..Summary::default() };
            let mut stopped = told.err();
            for (table, thread) in running {
                let read = thread.join().map_err(|_| format!("reading {} failed", tables[table].name))?;
                summary.rows.push((tables[table].name, read.rows));
                summary.after += read.after;
                tally.join(&read.tally);
                stopped = stopped.or(read.stopped);
            }
            summary.tally = tally;
            stopped.map_or(Ok(summary), Err)
        })
    }

    fn table(
        &self,
        table: usize,
        progress: &Progress,
        send: &SyncSender<Vec<Stamped>>,
        permits: &Permits,
    ) -> Read {
        permits.take();
        let read = self.table_permitted(table, progress, send, permits);
        permits.give();
        read
    }

    fn table_permitted(
        &self,
        table: usize,
        progress: &Progress,
        send: &SyncSender<Vec<Stamped>>,
        permits: &Permits,
    ) -> Read {
        let mut read = Read { tally: Tally::new(self.policies.clone()), rows: 0, after: 0, stopped: None };
        let mut window = Window::new(self.window);
        let mut out = Vec::with_capacity(BATCH * 2);
        for source in self.sources.iter().filter(|source| source.table == table) {
            if let Err(words) = self.file(source, progress, &mut read, &mut window, &mut out, (send, permits))
            {
                read.stopped = (!words.is_empty()).then_some(words);
                return read;
            }
        }
        window.finish(&mut out);
        // Nobody there any more: reading was ended.
        let _ = sent(out, send, permits);
        read
    }

    /// # Errors
    /// Why reading ends, empty where nobody listens any more.
    fn file(
        &self,
        source: &Source,
        progress: &Progress,
        read: &mut Read,
        window: &mut Window,
        out: &mut Vec<Stamped>,
        (send, permits): (&SyncSender<Vec<Stamped>>, &Permits),
    ) -> Result<(), String> {
        let table = &self.layout.tables()[source.table];
        let mut reader = csv::ReaderBuilder::new()
            .has_headers(false)
            .flexible(true)
            .buffer_capacity(1 << 16)
            .from_reader(open(&source.path)?);
        let mut record = csv::ByteRecord::new();
        let mut events = Vec::new();
        let (mut line, mut counted) = (0, 0);
        loop {
            match reader.read_byte_record(&mut record) {
                Ok(true) => {}
                Ok(false) => break,
                Err(error) => {
                    let place = || format!("{}:{}: {error}", source.path.display(), line + 1);
                    return match read.tally.meet(Fault::CutShort, place) {
                        Err(Out::Stop(words)) => Err(words),
                        _ => Ok(()),
                    };
                }
            }
            line = record.position().map_or(line + 1, csv::Position::line);
            if line == 1 && record.get(0).is_some_and(|first| first == table.columns[0].as_bytes()) {
                // The published files have no header; copies of them have one now and then.
                continue;
            }
            read.rows += 1;
            counted += 1;
            let row = Row { record: &record, file: &source.path, line, columns: table.columns };
            events.clear();
            match self.layout.read(source.table, &row, &mut events, &mut read.tally) {
                Ok(()) => {}
                Err(Out::Skip) => continue,
                Err(Out::Stop(words)) => return Err(words),
            }
            for event in events.drain(..) {
                if event.at >= AFTER {
                    read.after += 1;
                    continue;
                }
                if table.order == Order::ByName {
                    out.push(event);
                    continue;
                }
                let place = || format!("{}:{line}: {}", source.path.display(), table.columns[0]);
                let met = match window.stands(event.at) {
                    Stood::InOrder => Ok(()),
                    Stood::PutRight => read.tally.meet(Fault::OutOfOrder, place),
                    Stood::TooLate => read.tally.meet(Fault::TooLate, place),
                };
                match met {
                    Ok(()) => window.put(event, out),
                    Err(Out::Skip) => {}
                    Err(Out::Stop(words)) => return Err(words),
                }
            }
            if out.len() >= BATCH {
                if !sent(std::mem::replace(out, Vec::with_capacity(BATCH * 2)), send, permits) {
                    return Err(String::new());
                }
                progress.rows.fetch_add(std::mem::take(&mut counted), Ordering::Relaxed);
                if progress.stop.load(Ordering::Relaxed) {
                    return Err(String::new());
                }
            }
        }
        progress.rows.fetch_add(counted, Ordering::Relaxed);
        Ok(())
    }
}

/// Sends a batch, and lets another table be parsed while it waits to be taken.
fn sent(batch: Vec<Stamped>, send: &SyncSender<Vec<Stamped>>, permits: &Permits) -> bool {
    permits.give();
    let sent = send.send(batch).is_ok();
    permits.take();
    sent
}

/// A table that follows the clock, as its thread tells it.
struct Merged {
    receive: Receiver<Vec<Stamped>>,
    ready: VecDeque<Stamped>,
}

impl Merged {
    /// The instant of its next event, and whether that is a task's: machines come first.
    fn head(&mut self) -> Option<(u64, bool)> {
        while self.ready.is_empty() {
            self.ready = self.receive.recv().ok()?.into();
        }
        self.ready.front().map(|event| (event.at, matches!(event.event, Event::Task { .. })))
    }
}
