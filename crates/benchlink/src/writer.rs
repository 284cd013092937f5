//! Writes the decisions as actions of the wire.

use mulleinhub::interface::{Dispatch, MachineId, TaskId};
use mulleinhub::{Duration, Timestamp};
use std::fmt::{Arguments, Write};

pub struct WireWriter<'a> {
    pub instance: u64,
    pub reply: &'a mut String,
}

impl WireWriter<'_> {
    fn line(&mut self, name: &str, values: Arguments<'_>) {
        writeln!(self.reply, "{name}\t{}{values}", self.instance).expect("a string takes all");
    }
}

impl Dispatch for WireWriter<'_> {
    fn send(&mut self, task: TaskId, machine: MachineId, time_out: Duration) {
        self.line("BIND", format_args!("\t{}\t{}\t{}", task.0, machine.0, time_out.nanos()));
    }

    fn cancel_attempt(&mut self, task: TaskId, send: u32) {
        self.line("RECALL", format_args!("\t{}\t{send}", task.0));
    }

    fn reject(&mut self, task: TaskId, stay_away: Duration) {
        self.line("REJECT", format_args!("\t{}\t{}", task.0, stay_away.nanos()));
    }

    fn fail(&mut self, task: TaskId) {
        self.line("REPORT_FAILURE", format_args!("\t{}", task.0));
    }

    fn preempt(&mut self, task: TaskId) {
        self.line("UNSEAT", format_args!("\t{}", task.0));
    }

    fn wake_at(&mut self, token: u64, at: Timestamp) {
        self.line("SET_TIMER", format_args!("\t{token}\t{}", at.nanos()));
    }

    fn watch_endpoints(&mut self) {
        self.line("KEEP_INFORMED", format_args!("\t1"));
    }
}
