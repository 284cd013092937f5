//! Reads a batch and tells a scheduler's lines of it straight to its round.

use crate::reporting::Reporting;
use crate::values::{Bad, Values};
use mulleinhub::interface::*;
use mulleinhub::{SchedulingRound, Timestamp};
use std::io::BufRead;
use std::ops::Range;
use std::rc::Rc;

/// The numbered lists of the process; a new one takes the place of the last of its number.
#[derive(Default)]
pub struct Rosters([Option<Rc<[MachineEntry]>>; 16]);

/// The text of a batch, and where in it each scheduler's lines stand.
#[derive(Default)]
pub struct Batch {
    pub clock: u64,
    text: String,
    lines: Vec<Line>,
}

pub struct Line {
    instance: u64,
    at: Range<usize>,
    /// The list that a `TARGETS` line named when it was read.
    roster: Option<Rc<[MachineEntry]>>,
}

impl Batch {
    /// Reads the next batch; false at the end of the input.
    pub fn read(&mut self, input: &mut impl BufRead, rosters: &mut Rosters) -> Result<bool, Bad> {
        self.text.clear();
        self.lines.clear();
        let Some(first) = self.read_line(input)? else { return Ok(false) };
        let mut values = Values::of(&self.text[first]);
        if values.name != "BATCH" {
            return Err(format!("expected BATCH, got {:?}", values.name));
        }
        self.clock = values.whole("the clock")?;
        loop {
            let at = self.read_line(input)?.ok_or("the input ended inside a batch")?;
            let mut values = Values::of(&self.text[at.clone()]);
            match values.name {
                "OVER_TO_YOU" => break,
                "REGISTER" => {
                    let (number, items) = (values.must::<usize>("rosterId")?, values.must::<usize>("items")?);
                    let entries: Result<Rc<[MachineEntry]>, Bad> = (0..items)
                        .map(|_| {
                            let at = self.read_line(input)?.ok_or("the input ended inside a list")?;
                            entry(&mut Values::of(&self.text[at]))
                        })
                        .collect();
                    let slot = rosters.0.get_mut(number).ok_or(format!("REGISTER: no list {number}"))?;
                    *slot = Some(entries?);
                }
                _ => {
                    let instance = values.whole("schedulerId")?;
                    let mut roster = None;
                    if values.name == "TARGETS" && values.text("kind")? != "FAILED" {
                        values.text("index")?;
                        let number: usize = values.must("rosterId")?;
                        let known = rosters.0.get(number).and_then(Option::as_ref);
                        roster = Some(Rc::clone(known.ok_or(format!("TARGETS: no list {number}"))?));
                    }
                    self.lines.push(Line { instance, at, roster });
                }
            }
        }
        self.lines.sort_by_key(|line| line.instance);
        Ok(true)
    }

    fn read_line(&mut self, input: &mut impl BufRead) -> Result<Option<Range<usize>>, Bad> {
        let start = self.text.len();
        let read = input.read_line(&mut self.text).map_err(|e| format!("cannot read the wire: {e}"))?;
        let end = self.text.trim_end_matches(['\n', '\r']).len().max(start);
        Ok((read > 0).then_some(start..end))
    }

    /// Each scheduler that has events, with its lines in their order.
    pub fn schedulers(&self) -> impl Iterator<Item = (u64, &[Line])> {
        self.lines.chunk_by(|a, b| a.instance == b.instance).map(|lines| (lines[0].instance, lines))
    }

    /// The line's values behind its name and its scheduler.
    pub fn values(&self, line: &Line) -> Values<'_> {
        let mut values = Values::of(&self.text[line.at.clone()]);
        values.text("schedulerId").expect("was read before");
        values
    }

    pub fn name(&self, line: &Line) -> &str {
        self.values(line).name
    }

    /// Tells one line to the round of its scheduler.
    pub fn tell<W: Dispatch>(
        &self,
        line: &Line,
        round: &mut SchedulingRound<'_, W>,
        reporting: &Reporting,
    ) -> Result<(), Bad> {
        let mut v = self.values(line);
        match v.name {
            "TARGETS" => {
                let kind = match v.text("kind")? {
                    "INCREMENTAL" => ListKind::Delta,
                    "FULL" => ListKind::Snapshot,
                    "SAVED" => ListKind::Cached,
                    "FAILED" => {
                        round.on_watch_failed();
                        return Ok(());
                    }
                    other => return Err(format!("TARGETS: unknown kind {other:?}")),
                };
                round.on_endpoint_list(kind, line.roster.as_ref().ok_or("TARGETS without a list")?);
            }
            "NEW_TASK" => {
                let (id, class) = (TaskId(v.must("rid")?), reporting.use_case(v.must("category")?)?);
                v.text("party")?;
                let key = TaskKey(v.hex("taskName")?);
                let deadline = Timestamp::from_nanos(v.must("deadline")?);
                v.text("runsFor")?;
                let service = ServiceId(v.hex("app")?);
                let ask = Resources::new(v.amount("cpus")?, v.amount("mem")?);
                let bits: u64 = v.maybe("stateBits")?.unwrap_or(0);
                round.on_new_task(TaskSpec {
                    id,
                    key,
                    use_case: class,
                    service,
                    request: ask,
                    deadline,
                    is_resubmitted: bits & 16 != 0,
                });
            }
            "RUNNING" => {
                let id = TaskId(v.must("rid")?);
                let bits: u64 = v.maybe("stateBits")?.unwrap_or(0);
                let class = reporting.use_case(v.must("category")?)?;
                let machine = MachineId(v.must("node")?);
                v.text("runsFor")?;
                let deadline = Timestamp::from_nanos(v.maybe("deadline")?.unwrap_or(u64::MAX));
                let memory = v.amount("mem")?;
                let ask = Resources::new(v.amount("cpus")?, memory);
                v.text("party")?;
                let service = ServiceId(v.hex("app")?);
                let key = TaskKey(v.hex("taskName")?);
                let again = bits & 16 != 0;
                round.on_adopted_task(
                    TaskSpec {
                        id,
                        key,
                        use_case: class,
                        service,
                        request: ask,
                        deadline,
                        is_resubmitted: again,
                    },
                    machine,
                );
            }
            "ACCEPTED" => round.on_accepted(TaskId(v.must("rid")?)),
            "NOTE" => {
                let id = TaskId(v.must("rid")?);
                let topic = v.whole("topic")?;
                let x: Option<f64> = v.maybe("x")?;
                match (topic, x.filter(|x| x.is_finite())) {
                    (1, _) => round.on_running(id),
                    (2, Some(x)) => round.on_usage(id, Some(x), None),
                    (3, Some(x)) => round.on_usage(id, None, Some(x)),
                    (4, Some(x)) => round.on_service_level(id, x),
                    (5, Some(x)) => round.on_machine_memory(id, x),
                    _ => {}
                }
            }
            "CLOSED_ATTEMPT" => {
                let id = TaskId(v.must("rid")?);
                v.text("hop")?;
                let reason = v.text("reason")?;
                let over = v.maybe::<u8>("over")?.unwrap_or(0) != 0;
                v.text("node")?;
                let detail: u64 = v.maybe("detail")?.unwrap_or(0);
                v.text("duration")?;
                round.on_attempt_ended(
                    id,
                    ending(reason, detail)?,
                    over,
                    reporting.read(v.text("feedback")?)?,
                );
            }
            "ABANDONED" => round.on_client_cancelled(TaskId(v.must("rid")?)),
            "FIRED" => round.on_timer(v.whole("token")?),
            "PONG" => {
                let _ended = v.text("reason")?;
                v.text("duration")?;
                let machine = MachineId(v.must("node")?);
                round.on_health_check(machine, reporting.read(v.text("feedback")?)?);
            }
            // Schedulers share nothing: what another one tells is passed over.
            "NOTE_FROM" => {}
            other => return Err(format!("unknown event {other:?}")),
        }
        Ok(())
    }
}

fn ending(reason: &str, detail: u64) -> Result<Outcome, Bad> {
    Ok(match reason {
        "Ok" => Outcome::Succeeded,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::Rejected(match detail {
            1 => Rejection::InsufficientCores,
            2 => Rejection::InsufficientMemory,
            3 => Rejection::QueueFull,
            4 => Rejection::Ineligible,
            5..=7 => Rejection::Returned,
            _ => Rejection::Unspecified,
        }),
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectionFailed,
        "ResetByPeer" => Outcome::Lost(match detail {
            5 => FailureCause::Evicted,
            6 => FailureCause::Preempted,
            7 => FailureCause::Relocated,
            _ => FailureCause::Unspecified,
        }),
        "Canceled" => Outcome::Cancelled,
        "Ignored" => Outcome::NotSent,
        other => return Err(format!("CLOSED_ATTEMPT: unknown reason {other:?}")),
    })
}

fn entry(v: &mut Values<'_>) -> Result<MachineEntry, Bad> {
    if v.name != "ROW" {
        return Err(format!("expected ROW, got {:?}", v.name));
    }
    let memory: Option<f64> = v.maybe("memLeft")?;
    let cell = CellId(v.must("stripe")?);
    v.text("nominal")?;
    let kind = KindId(v.must("hw")?);
    let since: Option<u64> = v.maybe("since")?;
    let mode = match v.text("mode")? {
        "active" => MachineState::Active,
        "leaving" => MachineState::Draining,
        "left" => MachineState::Removed,
        other => return Err(format!("ROW: unknown mode {other:?}")),
    };
    let id = MachineId(v.must("node")?);
    let cores: Option<f64> = v.maybe("cpuLeft")?;
    let zone = ZoneId(v.must("site")?);
    let left = cores.zip(memory).map(|(cores, memory)| Resources::new(cores, memory));
    let since = since.filter(|since| *since > 0).map(Timestamp::from_nanos);
    Ok(MachineEntry { id, kind, cell, zone, state: mode, started_at: since, available: left })
}
