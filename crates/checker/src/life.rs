//! The life of one task, as a person would read it.

use mulleinhub_capture::{Deed, Record, Side, Stamped, Unreadable, read};
use mulleinhub_protocol::{self as protocol, Message};
use std::collections::BTreeMap;
use std::io::BufRead;

/// Every frame about a task, with its time and link, and what was done meanwhile to whom it concerns.
///
/// # Errors
/// Where the capture can't be read.
pub fn life_of(input: impl BufRead, id: u64) -> Result<Vec<String>, Unreadable> {
    let mut links: BTreeMap<u32, (String, String)> = BTreeMap::new();
    let mut lines = Vec::new();
    let mut concerned: Vec<String> = Vec::new();
    let mut delivered: BTreeMap<(u32, bool, u32), usize> = BTreeMap::new();
    read(input, |stamped: Stamped<'_>| {
        let ms = stamped.at as f64 / 1e6;
        match stamped.record {
            Record::Opened { link, opener, opened } => {
                links.insert(link, (opener.to_owned(), opened.to_owned()));
            }
            Record::Frame { link, side, number, bytes } => {
                let Ok(message) = protocol::decode(bytes) else { return };
                let Some(words) = words(&message, id) else { return };
                let Some((opener, opened)) = links.get(&link) else { return };
                let (from, to) = if side == Side::Opener { (opener, opened) } else { (opened, opener) };
                for name in [from, to] {
                    if !concerned.contains(name) {
                        concerned.push(name.clone());
                    }
                }
                delivered.insert((link, side == Side::Opener, number), lines.len());
                lines.push((format!("{ms:>12.3} ms  {from} -> {to}: {words}"), Some(false)));
            }
            Record::Delivered { link, side, number } => {
                if let Some(at) = delivered.remove(&(link, side == Side::Opener, number)) {
                    lines[at].0.push_str(&format!(" (arrived {ms:.3} ms)"));
                    lines[at].1 = Some(true);
                }
            }
            Record::Deed { deed, who, .. } if concerned.iter().any(|name| name == who) => {
                let what = match deed {
                    Deed::Started => "is started",
                    Deed::Killed => "is killed",
                    Deed::Stopped => "is stopped",
                    Deed::Continued => "goes on",
                    Deed::MachineUp => "comes up, cold",
                    Deed::MachineDown => "goes down",
                    Deed::FellOver => "falls over",
                    Deed::StoreLost => "loses its store",
                    Deed::StoreOld => "has an older copy of its store",
                    Deed::TroubleBegins | Deed::TroubleEnds => return,
                };
                lines.push((format!("{ms:>12.3} ms  {who} {what}"), None));
            }
            _ => {}
        }
    })?;
    let finish = |(mut line, arrived): (String, Option<bool>)| {
        if arrived == Some(false) {
            line.push_str(" (never arrived)");
        }
        line
    };
    Ok(lines.into_iter().map(finish).collect())
}

fn words(message: &Message<'_>, id: u64) -> Option<String> {
    let is = |task: &u64| *task == id;
    Some(match message {
        Message::Ask { task, shape, patience, .. } if is(task) => format!(
            "asks for task {task}, use case {}, service {:x}, {} cores, {} memory, waits {} ms{}",
            shape.use_case,
            shape.service,
            shape.cores,
            shape.memory,
            patience / 1_000_000,
            if shape.again { ", again" } else { "" }
        ),
        Message::Taken { task } if is(task) => "taken".to_owned(),
        Message::Placed { task, machine } if is(task) => format!("placed on machine {machine}"),
        Message::Nacked { task, .. } if is(task) => "nacked".to_owned(),
        Message::Errored { task } if is(task) => "errored".to_owned(),
        Message::Ended { task, ending } if is(task) => format!("over: {ending:?}"),
        Message::Withdraw { task } if is(task) => "withdrawn by its owner".to_owned(),
        Message::Learn { task } if is(task) => "asks what became of it".to_owned(),
        Message::Unknown { task } if is(task) => "not known here".to_owned(),
        Message::ProvesToRun { task, machine, .. } if is(task) => {
            format!("proves to run on machine {machine}")
        }
        Message::HandOver { task, machine, .. } if is(task) => {
            format!("handed over, runs on machine {machine}")
        }
        Message::Offer { task, send, time_out, .. } if is(task) => {
            format!("offered, send {send}, waits {} ms", time_out / 1_000_000)
        }
        Message::Accepted { task, send } if is(task) => format!("send {send} accepted"),
        Message::Runs { task, send } if is(task) => format!("send {send} runs"),
        Message::Closed { task, send, ending, reason } if is(task) => {
            format!("send {send} closed: {ending:?} ({reason:?})")
        }
        Message::Recall { task, send } if is(task) => format!("send {send} called back"),
        Message::Stop { task, send, moves } if is(task) => {
            format!("send {send} to be stopped{}", if *moves { ", moves" } else { "" })
        }
        Message::Disown { task, send } if is(task) => format!("send {send} is held by nobody"),
        Message::Claim { task, send, .. } if is(task) => format!("claimed as send {send}"),
        Message::Heard { task, send } if is(task) => format!("end of send {send} heard"),
        Message::Holds { tasks, .. } => {
            let held = tasks.iter().find(|held| held.task == id)?;
            format!("holds send {}{}", held.send, if held.runs { ", which runs" } else { "" })
        }
        _ => return None,
    })
}
