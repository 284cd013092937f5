//! Hearing: what each message, end and instant means, and what the module is told of it.
//!
//! What proves that a send never ran, which the second rule rests on: a refused connection, a set-up of which
//! not a byte left this process, and a machine's own word. Everything else may have run: half-written and
//! written set-ups whose connection ended, and time-outs.

use crate::desk::{Desk, Due, Who};
use crate::machines::{Machine, id_of};
use crate::tasks::{Job, Open, Wanted, hex};
use mulleinhub_interface::{
    CellId, Duration, FailureCause, Idempotency, KindId, ListKind, LoadReport, MachineEntry, MachineId,
    MachineState, Outcome, PolicyEvents, Rejection, Resources, ServiceId, TaskId, TaskKey, TaskSpec,
    Timestamp, UseCaseId, ZoneId,
};
use mulleinhub_limits::Act;
use mulleinhub_platform_protocol::{
    self as protocol, Bad, Cause, Frame, Listed, SetUp, Unusable, Why, kind, why,
};
use mulleinhub_resilience::backoff;
use mulleinhub_sans_io::{CloseReason, ConnectionId, Unsent};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// So many tries in a row that were refused: the process there has died, and what stood there with it.
const DEAD: u32 = 2;
/// Before a machine is lost, for this part of the quiet, it is tried at each look: it may just be in reach
/// again.
const LAST_TRIES: f64 = 0.5;
/// Whoever found all owners' connections in use stays away for so long: they are let go after four seconds
/// idle.
const NO_ROOM_AWAY: Duration = Duration::from_secs(1);
/// A wait so many times longer than any that is used is none.
const ABSURD: u64 = 10;

/// The first turn: the list that the configuration knew, and the call for what came since.
pub fn begin(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    let saved = std::mem::take(&mut desk.borrow_mut().saved);
    let mut all: BTreeMap<String, Listed> = BTreeMap::new();
    for event in saved {
        if event.roster.all {
            all.clear();
        }
        all.extend(event.roster.targets.into_iter().map(|listed| (listed.uid.clone(), listed)));
    }
    let known: Vec<Listed> = all.into_values().collect();
    list(desk, round, ListKind::Cached, &known);
    let d = &mut *desk.borrow_mut();
    d.open_watch();
    d.timers.set(d.now + TELL, Due::Tell);
}

/// Between two lines in the log that tell how it is.
const TELL: Duration = Duration::from_secs(5);

/// It is to end: waits are cut to the time that is left, those of sends that are out too.
pub fn ending(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    let by = {
        let d = &mut *desk.borrow_mut();
        let Some(by) = d.answered_by().filter(|_| !std::mem::replace(&mut d.told_end, true)) else { return };
        for (id, job) in d.tasks.by_id.iter_mut().filter(|(_, job)| !job.answered) {
            job.order.deadline = job.order.deadline.min(by);
            if let Some(open) = job.open.as_mut().filter(|open| open.due > by) {
                open.due = by;
                d.timers.set(by, Due::Send(*id, open.number));
            }
        }
        by
    };
    round.on_shutdown(by);
}

// The bulletin.

pub fn bulletin(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    let events = std::mem::take(&mut desk.borrow_mut().watch.events);
    for event in events {
        let kind = if event.roster.all { ListKind::Snapshot } else { ListKind::Delta };
        list(desk, round, kind, &event.roster.targets);
    }
}

fn list(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents, kind: ListKind, targets: &[Listed]) {
    let entries: Vec<MachineEntry> = {
        let d = &mut *desk.borrow_mut();
        let entries: Vec<MachineEntry> = targets.iter().map(|listed| entry(d, listed)).collect();
        if kind != ListKind::Delta {
            d.machines.by_id.values_mut().for_each(|machine| machine.entry.state = MachineState::Removed);
        }
        let mut by_address = None;
        for (listed, entry) in targets.iter().zip(&entries) {
            is_listed(d, &mut by_address, &listed.endpoint, *entry);
        }
        entries
    };
    round.on_endpoint_list(kind, &entries);
    let listed = {
        let d = &mut *desk.borrow_mut();
        let known = &d.machines.by_id;
        let closed = |(_, machine): &(&MachineId, &Machine)| {
            (machine.entry.state != MachineState::Active || machine.replaced)
                && !(machine.connections.is_empty() && machine.waiting.is_empty())
        };
        let closed: Vec<MachineId> = known.iter().filter(closed).map(|(id, _)| *id).collect();
        closed.into_iter().for_each(|id| d.take_back_all(id));
        let known = &d.machines.by_id;
        d.handovers.listed(|id| known.contains_key(&id))
    };
    for waiting in listed {
        takes_over(desk, round, waiting.order, waiting.machine, waiting.owner);
        if waiting.given_up {
            given_up(&mut desk.borrow_mut(), waiting.owner, waiting.order.id);
        }
    }
    let d = &mut *desk.borrow_mut();
    let tasks = &d.tasks;
    d.machines
        .forget_gone(|id| tasks.by_id.values().any(|job| job.open.is_some_and(|open| open.machine == id)));
}

fn entry(d: &Desk, listed: &Listed) -> MachineEntry {
    let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
    MachineEntry {
        id: id_of(&listed.uid),
        kind: KindId(place(&d.site.names.kinds, &listed.model).unwrap_or(usize::MAX)),
        // A number that only has to differ.
        cell: CellId(listed.pod_group as u32),
        zone: ZoneId(place(&d.site.names.zones, &listed.az).map_or(u32::MAX, |at| at as u32)),
        state: match listed.state.as_str() {
            "in_service" => MachineState::Active,
            "terminated" => MachineState::Removed,
            // Nothing new goes where the state is not understood.
            _ => MachineState::Draining,
        },
        started_at: (listed.boot_ms > 0)
            .then(|| Timestamp::from_nanos(listed.boot_ms.saturating_mul(1_000_000))),
        available: listed.room.map(|(cores, memory)| Resources::new(cores, memory)),
    }
}

/// Machines by their addresses, also by those that they had at the beginning of the list that is being heard.
type ByAddress = BTreeMap<String, BTreeSet<MachineId>>;

fn by_address(d: &Desk) -> ByAddress {
    let mut by_address = ByAddress::new();
    for (id, machine) in &d.machines.by_id {
        by_address.entry(machine.address.clone()).or_default().insert(*id);
    }
    by_address
}

/// A machine as the list tells it. A later start ended what had stood there; a machine at the address of
/// another one ended that. Where any address is new, all are looked up by an index that is made once.
fn is_listed(d: &mut Desk, index: &mut Option<ByAddress>, address: &str, entry: MachineEntry) {
    let (now, id) = (d.now, entry.id);
    let known = d.machines.by_id.get(&id);
    tracing::debug!(address, ?entry, "listed");
    let (moved, before) =
        (known.is_none_or(|m| m.address != address), known.and_then(|m| m.entry.started_at));
    if moved && entry.state != MachineState::Removed {
        let at_address = index.get_or_insert_with(|| by_address(d)).get(address);
        let is_there = |other: &&MachineId| {
            **other != id && d.machines.by_id.get(*other).is_some_and(|machine| machine.address == address)
        };
        let others: Vec<MachineId> = at_address.into_iter().flatten().filter(is_there).copied().collect();
        for other in others {
            d.machines.by_id.get_mut(&other).expect("is there").replaced = true;
            d.is_lost(other, now, "another machine has its address");
            // What is not written yet must not reach the one that is there now.
            d.take_back_all(other);
            let idle = d.machines.connections_of(other).filter(|(_, connection)| connection.open.is_empty());
            let idle: Vec<ConnectionId> = idle.map(|(link, _)| link).collect();
            idle.into_iter().for_each(|link| d.end_connection(link));
        }
    }
    if let Some(since) = entry.started_at.filter(|since| before != Some(*since)) {
        d.is_lost(id, since, "it started anew");
    }
    let machine = d.machines.by_id.entry(id).or_insert_with(|| Machine::new(entry, address.to_owned(), now));
    machine.entry = entry;
    if moved {
        address.clone_into(&mut machine.address);
    }
    if let (true, Some(index)) = (moved, index) {
        index.entry(address.to_owned()).or_default().insert(id);
    }
    if let Some(since) = entry.started_at {
        let until = since + d.site.cold.warm_up_time;
        if until > now {
            machine.gate.is_cold_until(until);
        }
    }
}

// Connections.

/// Every connection on which something came in, in the order of coming.
pub fn all_that_came(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    loop {
        let next = desk.borrow_mut().next_arrival();
        let Some(link) = next else { return };
        let who = desk.borrow().who(link);
        match who {
            Some(Who::Owner) => {
                hear_owner(desk, round, link);
                tell_gone(desk, round);
            }
            Some(Who::Machine) => hear_machine(desk, round, link),
            Some(Who::Watch) | None => {}
        }
    }
}

fn hear_owner(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents, link: ConnectionId) {
    // The frames are taken out for the while, so that messages can borrow them and the desk stays free.
    let take = |d: &mut Desk| Some(std::mem::take(&mut d.owners.by_link.get_mut(&link)?.frames));
    let Some(mut frames) = take(&mut desk.borrow_mut()) else { return };
    let mut left = desk.borrow().limits.frames_a_turn();
    let mut heard_any = false;
    while left > 0 {
        left -= 1;
        let heard = match frames.next_frame() {
            Ok(None) => break,
            Ok(Some(frame)) => of_owner(desk, round, link, &frame),
            Err(bad) => Err(bad),
        };
        heard_any = true;
        if let Err(bad) = heard {
            let d = &mut *desk.borrow_mut();
            d.counts.bad_owners += 1;
            d.grumble("an owner speaks wrongly; its connection ends", &bad.0);
            close_owner(d, link);
            return;
        }
    }
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    let now = d.now;
    let Some(owner) = d.owners.by_link.get_mut(&link) else { return };
    frames.tidy();
    let (partial, more) = (frames.kept() > 0, frames.has_next());
    owner.frames = frames;
    if heard_any {
        d.limits.frame_heard(link.0);
    }
    let since = owner.partial_since.filter(|_| !heard_any).unwrap_or(now);
    owner.partial_since = partial.then_some(since);
    let (end, turned_away) = (owner.end, owner.turned_away);
    if more {
        // What is whole by now is no slow frame.
        d.limits.read(now, link.0, false);
        return d.hear_rest_later(link);
    }
    let paused = d.links.is_paused(link);
    d.links.pause(link, false);
    if turned_away && !partial {
        return d.drop_owner(link);
    }
    d.limits.read(now, link.0, partial);
    if end.is_some() {
        return owner_is_gone(d, link);
    }
    if paused {
        // More may lie unread, the client's leaving too.
        return d.hear_rest_later(link);
    }
    let taken = d.owners.by_link.get_mut(&link).map(|owner| std::mem::take(&mut owner.taken));
    drop(borrowed);
    for id in taken.unwrap_or_default() {
        let order = desk.borrow().tasks.by_id.get(&id).filter(|job| !job.answered).map(|job| job.order);
        if let Some(order) = order {
            round.on_new_task(order);
        }
    }
}

fn of_owner(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    frame: &Frame<'_>,
) -> Result<(), Bad> {
    match frame.kind {
        kind::SET_UP => set_up(desk, round, link, frame)?,
        kind::RELEASE => given_up(&mut desk.borrow_mut(), link, TaskId(frame.task)),
        kind::TEST => {
            let d = &mut *desk.borrow_mut();
            greets(d, link);
            let passes = d.ending.is_none();
            d.send(link, |out| protocol::write_with_cause(out, kind::TESTED, frame.task, u8::from(passes)));
        }
        kind::RELEASE_HEARD | kind::PROGRESS | kind::NOTE => {}
        other => return Err(Bad(format!("a message of type {other}"))),
    }
    Ok(())
}

/// It says what owners say.
fn greets(d: &mut Desk, link: ConnectionId) {
    // Told again, it changes nothing.
    let _ = d.limits.greeted(link.0, &d.owners_name);
}

/// What came of it proves that it is an owner's.
fn proves(d: &mut Desk, link: ConnectionId) {
    if let Some(owner) = d.owners.by_link.get_mut(&link) {
        owner.proven = true;
        d.limits.is_of_use(link.0);
    }
}

fn set_up(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    frame: &Frame<'_>,
) -> Result<(), Bad> {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    let id = TaskId(frame.task);
    let read = SetUp::read(frame).and_then(|setup| usable(d, &setup).map(|case| (setup, case)));
    if let (Ok((setup, case)), Some(uid)) = (&read, read.as_ref().ok().and_then(|(s, _)| s.figures.at)) {
        // It may name what is held already.
        if d.tasks.by_id.contains_key(&id) {
            return Ok(());
        }
        let machine = id_of(uid);
        if d.handovers.is_waiting(id) {
            return Ok(());
        }
        if d.tasks.by_id.len() + d.handovers.waiting.len() >= d.most_held {
            return refuse_unusable(d, link, id, &Unusable("one more than can be held"));
        }
        let order = order(setup, *case, Timestamp::from_nanos(u64::MAX));
        if !d.machines.by_id.contains_key(&machine) {
            // Another scheduler's list may be ahead of ours. Met: owners were told that their tasks were
            // over.
            greets(d, link);
            let until = d.handovers.waits(d.now, order, machine, link);
            d.timers.set(until, Due::HandOver);
            return Ok(());
        }
        drop(borrowed);
        takes_over(desk, round, order, machine, link);
        return Ok(());
    }
    if d.tasks.by_id.contains_key(&id) {
        return Err(Bad("an id that is in hand already".into()));
    }
    let (setup, case) = match read {
        Ok(read) => read,
        Err(unusable) => return refuse_unusable(d, link, id, &unusable),
    };
    greets(d, link);
    let lay = d.owners.by_link.get(&link).map_or(Duration::ZERO, |owner| d.stood.lay(d.now, owner.since));
    let longest = d.site.use_cases[case.0].client_timeout;
    let patience = Duration::from_nanos(setup.patience_ms * 1_000_000).min(longest) - lay;
    if d.is_closed() || patience == Duration::ZERO {
        d.send(link, |out| protocol::write_refusal(out, id.0, why::FULL, 0));
        return Ok(());
    }
    if d.owners.by_link.get(&link).is_some_and(|owner| owner.turned_away) {
        let away = NO_ROOM_AWAY.nanos() / 1_000_000;
        d.send(link, |out| protocol::write_refusal(out, id.0, why::BUSY, away));
        return Ok(());
    }
    if d.tasks.by_id.len() >= d.most_held {
        let away = longest.nanos() / 1_000_000;
        d.send(link, |out| protocol::write_refusal(out, id.0, why::BUSY, away));
        return Ok(());
    }
    if let Err(away) = d.admission.ask(d.now, setup.figures.service) {
        let away = away.nanos() / 1_000_000;
        d.send(link, |out| protocol::write_refusal(out, id.0, why::BUSY, away));
        return Ok(());
    }
    let deadline = d.now + patience;
    let order = order(&setup, case, d.answered_by().map_or(deadline, |by| deadline.min(by)));
    let wanted = Wanted {
        name: setup.name.to_owned(),
        key: setup.key.map(str::to_owned),
        description: setup.description.to_owned(),
    };
    let job = Job { wanted: Some(Box::new(wanted)), ..Job::new(order, link) };
    d.tasks.by_id.insert(id, job);
    d.tasks.unanswered += 1;
    d.counts.taken += 1;
    tracing::debug!(task = hex(id), class = setup.class, ?order, "taken");
    d.hand(Some(link), id, true);
    if let Some(owner) = d.owners.by_link.get_mut(&link) {
        owner.taken.push(id);
    }
    Ok(())
}

/// A task that runs on this machine is this scheduler's charge from now on, unless its end was heard before.
fn takes_over(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    order: TaskSpec,
    machine: MachineId,
    owner: ConnectionId,
) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    let id = order.id;
    if d.tasks.by_id.contains_key(&id) {
        return;
    }
    greets(d, owner);
    proves(d, owner);
    d.counts.handed += 1;
    tracing::debug!(task = hex(id), machine = machine.0, ask = ?order.request, "handed over");
    if let Some(cause) = d.handovers.end_of(id, machine) {
        return d.tell_end(Some(owner), id, cause);
    }
    let open = Open { placed_at: Some(d.now), ..Open::new(0, machine, d.now, order.deadline) };
    let job = Job { sends: 1, open: Some(open), answered: true, ..Job::new(order, owner) };
    d.tasks.by_id.insert(id, job);
    d.look_after(machine);
    drop(borrowed);
    round.on_adopted_task(order, machine);
}

/// The connection lives; "errored" promises nothing.
fn refuse_unusable(d: &mut Desk, link: ConnectionId, id: TaskId, unusable: &Unusable) -> Result<(), Bad> {
    d.counts.unusable += 1;
    d.grumble("a set-up can't be used", unusable.0);
    d.send(link, |out| protocol::write_refusal(out, id.0, why::ERROR, 0));
    Ok(())
}

/// Which use case it is of, where all that it says can be so.
fn usable(d: &Desk, setup: &SetUp<'_>) -> Result<UseCaseId, Unusable> {
    let case = d.site.names.use_cases.iter().position(|name| name == setup.class);
    let case = case.ok_or(Unusable("an unknown class"))?;
    let use_case = &d.site.use_cases[case];
    if matches!(use_case.idempotency, Idempotency::Keyed { .. }) && setup.key.is_none() {
        return Err(Unusable("no key in a class that has keys"));
    }
    if std::str::from_utf8(setup.description).is_err() {
        return Err(Unusable("a description that is no text"));
    }
    let taking = &d.site.taking;
    let largest = d.site.kinds.iter().fold(Resources::ZERO, |most, size| most.max(*size));
    let asked = Resources::new(setup.figures.cores, setup.figures.memory);
    if !(largest + taking.overcommit_allowance(largest)).fits(asked) {
        return Err(Unusable("more than any machine takes"));
    }
    let longest = use_case.client_timeout.nanos() / 1_000_000;
    if setup.figures.at.is_none() && setup.patience_ms > longest.saturating_mul(ABSURD) {
        return Err(Unusable("a wait beyond all reason"));
    }
    Ok(UseCaseId(case))
}

fn order(setup: &SetUp<'_>, use_case: UseCaseId, deadline: Timestamp) -> TaskSpec {
    TaskSpec {
        id: TaskId(setup.task),
        key: TaskKey(setup.name_number),
        use_case,
        service: ServiceId(setup.figures.service),
        request: Resources::new(setup.figures.cores, setup.figures.memory),
        deadline,
        is_resubmitted: setup.again,
    }
}

/// An owner no longer wants a task: one that waits for its answer on this very connection, or one that
/// stands.
fn given_up(d: &mut Desk, link: ConnectionId, id: TaskId) {
    if d.handovers.give_up(id) {
        return;
    }
    let Some(job) = d.tasks.by_id.get(&id) else { return };
    let Some(open) = job.placed() else {
        if job.owner == Some(link) {
            abandon(d, id);
        }
        return;
    };
    d.tasks.by_id.get_mut(&id).expect("is there").abandoned = true;
    d.cut(open.machine, id, open.link);
    d.gone.push(id);
}

/// Nobody waits for the answer of this task any more.
fn abandon(d: &mut Desk, id: TaskId) {
    if d.tasks.by_id.get(&id).is_none_or(|job| job.answered) {
        return;
    }
    d.is_answered(id);
    let job = d.tasks.by_id.get_mut(&id).expect("is there");
    (job.abandoned, job.owner) = (true, None);
    if job.open.is_some() {
        d.give_up(id, Outcome::Cancelled);
    } else {
        d.tasks.by_id.remove(&id);
    }
    d.gone.push(id);
}

/// Tells the module of the tasks that nobody wants any more.
pub fn tell_gone(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    let gone = std::mem::take(&mut desk.borrow_mut().gone);
    gone.into_iter().for_each(|id| round.on_client_cancelled(id));
}

/// Tasks that are to be answered on this connection.
fn open_on(d: &Desk, link: ConnectionId) -> Vec<TaskId> {
    d.owners.by_link.get(&link).map_or(Vec::new(), |owner| owner.open.iter().copied().collect())
}

/// A connection that speaks wrongly is ended by us. Nothing that was taken on it is left without an answer.
fn close_owner(d: &mut Desk, link: ConnectionId) {
    for id in open_on(d, link) {
        d.send(link, |out| protocol::write_refusal(out, id.0, why::ERROR, 0));
        abandon(d, id);
    }
    d.drop_owner(link);
}

fn owner_is_gone(d: &mut Desk, link: ConnectionId) {
    for id in open_on(d, link) {
        abandon(d, id);
    }
    d.owners.by_link.remove(&link);
    d.limits.forget(link.0);
    d.links.abort(link);
}

/// Deadlines of owners' connections, a bounded number of them in one turn.
pub fn look_after_owners(d: &mut Desk) {
    let (now, mut budget) = (d.now, 64);
    while let Some((conn, act)) = d.limits.due(now, &mut budget) {
        match act {
            // There is no sign to ask for: a connection without a task in hand may be closed. Of one with a
            // task in hand the answer is ours. Met: an owner that waited for longer than the silence was let
            // go.
            Act::AskForSign
                if d.owners.by_link.get(&ConnectionId(conn)).is_some_and(|o| !o.open.is_empty()) =>
            {
                d.limits.heard(now, conn);
            }
            Act::AskForSign | Act::End(_) => close_owner(d, ConnectionId(conn)),
        }
    }
    d.give_way();
    d.pay_owed();
}

// Machines.

fn hear_machine(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents, link: ConnectionId) {
    let take = |d: &mut Desk| Some(std::mem::take(&mut d.machines.connections.get_mut(&link)?.frames));
    let Some(mut frames) = take(&mut desk.borrow_mut()) else { return };
    loop {
        let heard = match frames.next_frame() {
            Ok(None) => break,
            Ok(Some(frame)) => of_machine(desk, round, link, &frame),
            Err(bad) => Err(bad),
        };
        if let Err(bad) = heard {
            let d = &mut *desk.borrow_mut();
            d.counts.bad_machines += 1;
            d.grumble("a machine speaks wrongly; the connection ends", &bad.0);
            connection_ended(d, link, CloseReason::Broken);
            return;
        }
    }
    let d = &mut *desk.borrow_mut();
    let Some(connection) = d.machines.connections.get_mut(&link) else { return };
    frames.tidy();
    connection.frames = frames;
    if let Some(end) = connection.end {
        connection_ended(d, link, end);
    }
}

fn of_machine(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    frame: &Frame<'_>,
) -> Result<(), Bad> {
    let id = TaskId(frame.task);
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    match frame.kind {
        kind::ANSWER | kind::NOTE => d.machines.shows_life(d.said_at(), link),
        kind::RELEASE if d.tasks.by_id.get(&id).is_some_and(|job| job.placed().is_some()) => {
            d.machines.shows_life(d.said_at(), link);
        }
        // A refusal says nothing of what stands, nor does a test, passed or failed. Met: machines that had
        // stopped passed tests, and refused set-ups, on what they had left open, and owners heard of ends
        // there too late; machines that drained failed them, and hundreds of tasks of a day were released
        // while they stood.
        _ => {}
    }
    drop(borrowed);
    of_its_tasks(desk, round, link, id, frame)
}

fn of_its_tasks(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    id: TaskId,
    frame: &Frame<'_>,
) -> Result<(), Bad> {
    match frame.kind {
        kind::ANSWER => {
            let description = frame.param(protocol::code::DESCRIPTION);
            let description = description.ok_or_else(|| Bad("an answer without a description".into()))?;
            stands(desk, round, link, id, description);
        }
        kind::RELEASE => {
            let cause = protocol::cause(frame).ok_or_else(|| Bad("a release without a cause".into()))?;
            released(desk, round, link, id, cause, protocol::why(frame));
        }
        kind::NOTE => {
            let placed = {
                let d = desk.borrow();
                let machine = d.machines.connections.get(&link).map(|connection| connection.machine);
                let open = d.tasks.by_id.get(&id).and_then(Job::placed);
                open.is_some_and(|open| Some(open.machine) == machine)
            };
            if placed {
                tracing::debug!(task = hex(id), note = ?protocol::note(frame), "note");
                match protocol::note(frame) {
                    Some(("running", _)) => round.on_running(id),
                    Some(("use_cpu", cores @ Some(_))) => round.on_usage(id, cores, None),
                    Some(("use_ram", memory @ Some(_))) => round.on_usage(id, None, memory),
                    Some(("health", Some(share))) => round.on_service_level(id, share),
                    Some(("ram_high", Some(share))) => round.on_machine_memory(id, share),
                    _ => {}
                }
            }
        }
        kind::PROGRESS | kind::RELEASE_HEARD | kind::TESTED => {}
        other => return Err(Bad(format!("a message of type {other}"))),
    }
    Ok(())
}

/// A machine says that a task stands.
fn stands(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    id: TaskId,
    description: &[u8],
) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    let now = d.now;
    let job = d.tasks.by_id.get_mut(&id);
    let open = job.as_ref().and_then(|job| job.open).filter(|open| open.link == Some(link));
    let (Some(job), Some(open)) = (job, open) else {
        // A yes to a send that was given up: a copy that nobody waits for is cut where it earns nothing;
        // where a repeat would be dropped for it, its owner finds it and hands it over.
        let Some(connection) = d.machines.connections.get_mut(&link) else { return };
        let at = connection.given_up.iter().position(|(given_up, _)| *given_up == id);
        let cut = at.and_then(|at| connection.given_up.remove(at)).is_some_and(|(_, cut)| cut);
        d.counts.late_yes += u64::from(at.is_some());
        if cut {
            d.send(link, |out| protocol::write_with_cause(out, kind::RELEASE, id.0, why::CANCELLED));
        }
        return;
    };
    // A second yes is heard without harm.
    if open.placed_at.is_some() {
        return;
    }
    job.open = Some(Open { placed_at: Some(now), ..open });
    tracing::debug!(task = hex(id), machine = open.machine.0, "stands");
    job.wanted = None;
    let owner = job.owner;
    d.is_answered(id);
    d.counts.placed += 1;
    if let Some(connection) = d.machines.connections.get_mut(&link) {
        connection.open.retain(|task| *task != id);
    }
    answered_by(d, open.machine, id, open.number);
    if let Some(owner) = owner {
        proves(d, owner);
        d.send(owner, |out| protocol::write_answer(out, id.0, description));
    }
    d.look_after(open.machine);
    drop(borrowed);
    round.on_accepted(id);
}

/// A machine said something of a send: what was written before it has arrived too.
fn answered_by(d: &mut Desk, machine: MachineId, id: TaskId, send: u32) {
    let (now, fall) = (d.now, d.site.cold.budget_window);
    if let Some(machine) = d.machines.by_id.get_mut(&machine) {
        machine.gate.answered(now, fall, id.0, send);
    }
    d.release(machine);
}

fn released(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    link: ConnectionId,
    id: TaskId,
    cause: Cause,
    why: Option<Why>,
) {
    let open = {
        let d = &mut *desk.borrow_mut();
        d.send(link, |out| protocol::write_message(out, kind::RELEASE_HEARD, id.0, &[]));
        let Some(connection) = d.machines.connections.get_mut(&link) else { return };
        connection.given_up.retain(|(given_up, _)| *given_up != id);
        let machine = connection.machine;
        let Some(job) = d.tasks.by_id.get(&id) else {
            // A refusal is the end of a send, and whoever ended a task is owed nothing.
            let refused = matches!(cause, why::FULL | why::BUSY | why::ERROR | why::MOOT);
            if !refused && after_answer(cause, why) != Outcome::Cancelled {
                d.handovers.has_ended(d.now, id, machine, cause, d.most_held);
            }
            return;
        };
        job.open.filter(|open| open.machine == machine)
    };
    let Some(open) = open else { return };
    if open.placed_at.is_some() {
        if matches!(cause, why::FULL | why::MOOT) && open.link != Some(link) {
            // A refusal that comes twice is no end of what was sent there after the first.
            return;
        }
        return close(desk, round, id, open.number, after_answer(cause, why), cause);
    }
    // Of an unanswered send only its own connection tells: another one's word is about an earlier send.
    if open.link == Some(link) {
        answered_by(&mut desk.borrow_mut(), open.machine, id, open.number);
        close(desk, round, id, open.number, before_answer(cause, why), cause);
    }
}

fn before_answer(cause: Cause, told: Option<Why>) -> Outcome {
    match cause {
        why::FULL => Outcome::Rejected(match told {
            None => Rejection::Unspecified,
            Some(Why::NoCores) => Rejection::InsufficientCores,
            Some(Why::NoMemory) => Rejection::InsufficientMemory,
            Some(Why::LineFull) => Rejection::QueueFull,
            Some(Why::NotHere) => Rejection::Ineligible,
            Some(Why::Evicted | Why::PushedOut | Why::SentAway) => Rejection::Returned,
        }),
        why::ERROR => Outcome::Failed,
        why::MOOT => Outcome::NotSent,
        _ => Outcome::Lost(FailureCause::Unspecified),
    }
}

fn after_answer(cause: Cause, told: Option<Why>) -> Outcome {
    match cause {
        why::ENDED => Outcome::Succeeded,
        why::CANCELLED => Outcome::Cancelled,
        _ => Outcome::Lost(match told {
            Some(Why::Evicted) => FailureCause::Evicted,
            Some(Why::PushedOut) => FailureCause::Preempted,
            Some(Why::SentAway) => FailureCause::Relocated,
            _ => FailureCause::Unspecified,
        }),
    }
}

/// Ends that this side found out.
pub fn closings(desk: &RefCell<Desk>, round: &mut dyn PolicyEvents) {
    tell_gone(desk, round);
    loop {
        let next = desk.borrow_mut().closings.pop_front();
        let Some((id, send, ending)) = next else { return };
        close(desk, round, id, send, ending, why::RESET);
    }
}

/// The end of a send, unless it is known already.
fn close(
    desk: &RefCell<Desk>,
    round: &mut dyn PolicyEvents,
    id: TaskId,
    send: u32,
    ending: Outcome,
    cause: Cause,
) {
    tracing::debug!(task = hex(id), send, ?ending, cause, "closed");
    let over = {
        let d = &mut *desk.borrow_mut();
        let Some(job) = d.tasks.by_id.get_mut(&id) else { return };
        let Some(open) = job.open.filter(|open| open.number == send) else { return };
        job.open = None;
        if let Some(connection) = open.link.and_then(|link| d.machines.connections.get_mut(&link)) {
            connection.open.retain(|task| *task != id);
            if open.placed_at.is_none() {
                connection.has_refused(id);
            }
        }
        if open.placed_at.is_some() {
            let (owner, wanted) = (job.owner, !job.abandoned);
            d.tasks.by_id.remove(&id);
            // Whoever ended or moved it is owed nothing.
            if wanted && ending != Outcome::Cancelled {
                d.tell_end(owner, id, cause);
            }
            true
        } else {
            if !matches!(ending, Outcome::Rejected(_) | Outcome::ConnectionFailed | Outcome::NotSent) {
                job.may_have_run.get_or_insert(open.decided);
            }
            let abandoned = job.abandoned;
            if abandoned {
                d.tasks.by_id.remove(&id);
            }
            abandoned
        }
    };
    round.on_attempt_ended(id, ending, over, LoadReport::default());
}

/// A connection to a machine is over, and what that proves of the set-ups on it.
fn connection_ended(d: &mut Desk, link: ConnectionId, end: CloseReason) {
    let unwritten = d.links.abort(link);
    let Some(connection) = d.forget_connection(link) else { return };
    let (now, id) = (d.now, connection.machine);
    if let Some(machine) = d.machines.by_id.get(&id) {
        tracing::debug!(
            at = machine.address,
            connection = link.0,
            up = connection.up,
            ?end,
            open = connection.open.len(),
            "a connection is over"
        );
    }
    let drawn = d.chance.fraction();
    let others: Vec<ConnectionId> =
        d.machines.connections_of(id).filter(|(_, other)| other.up).map(|(link, _)| link).collect();
    let refused = end == CloseReason::Refused;
    if let Some(machine) = d.machines.by_id.get_mut(&id) {
        machine.gate.ended(now);
        machine.was_not_there(&connection, now, d.patience.idle);
        if end == CloseReason::Untried {
            // A want of ours proves nothing of the machine.
            machine.retry_at = now + d.patience.look;
        } else if connection.up {
            machine.retry_at = now + backoff::after_end(d.patience.again, drawn);
        } else {
            machine.retry_at = now + backoff::after_failures(d.patience.again, machine.failures, drawn);
            machine.failures += 1;
            // A process that dies resets its connections. Met: machines that drain refuse new ones, and what
            // stood there was taken for lost.
            // A try that comes to nothing says nothing. Met: one between two refusals, and the second counted
            // as the first.
            machine.refusals = match (refused, others.is_empty()) {
                (true, true) => machine.refusals + 1,
                (true, false) => 0,
                (false, _) => machine.refusals,
            };
            if machine.refusals >= DEAD {
                d.is_lost(id, now, "it refuses connections");
            }
        }
    }
    for task in connection.open {
        let Some(job) = d.tasks.by_id.get_mut(&task) else { continue };
        let Some(open) = job.open.filter(|open| open.link == Some(link)) else { continue };
        if end == CloseReason::Untried {
            job.open = Some(Open { link: None, ..open });
            d.waits_for_connection(task, open.number, id);
            continue;
        }
        let never_left = unwritten.contains(&(open.mark, Unsent::Whole));
        if never_left && connection.up && !open.anew {
            // An idle connection that the other side had closed, or one reset as it came up: the same send
            // goes out on another one.
            job.open = Some(Open { link: None, anew: true, ..open });
            if d.write_setup(task) {
                continue;
            }
        }
        let ending =
            if never_left { Outcome::ConnectionFailed } else { Outcome::Lost(FailureCause::Unspecified) };
        d.closings.push_back((task, open.number, ending));
    }
    d.look_after(id);
}

// Instants.

pub fn due(desk: &RefCell<Desk>, due: Due) {
    let d = &mut *desk.borrow_mut();
    match due {
        Due::Token(_) | Due::GiveWay => {}
        Due::Send(task, send) => timed_out(d, task, send),
        Due::Write(task, send) => d.take_back(task, send),
        Due::Up(link) => {
            if d.machines.connections.get(&link).is_some_and(|connection| !connection.up) {
                connection_ended(d, link, CloseReason::Broken);
            } else if d.watch.link == Some(link) && !d.watch.up {
                d.watch_ended(true);
            }
        }
        Due::Look(machine) => look(d, machine),
        Due::Release(machine) => d.release(machine),
        Due::TurnedAway => d.end_turned_away(),
        Due::HandOver => {
            while let Some(waiting) = d.handovers.overdue(d.now) {
                // Whoever ended it is owed nothing.
                if waiting.given_up {
                    continue;
                }
                // It may be an owner's, or nobody's: the machine may never have been.
                d.counts.unusable += 1;
                d.grumble("a set-up can't be used", "a machine that no list names");
                d.tell_end(Some(waiting.owner), waiting.order.id, why::ERROR);
            }
        }
        Due::Watch(link) if d.watch.link == Some(link) => {
            let until = d.watch.heard_at + crate::watch::SILENCE;
            if until <= d.now {
                d.watch_ended(true);
            } else {
                d.timers.set(until, Due::Watch(link));
            }
        }
        Due::Watch(_) => {}
        Due::OpenWatch => d.open_watch(),
        Due::Tell => {
            tell(d);
            d.timers.set(d.now + TELL, Due::Tell);
        }
    }
}

/// The wait for an answer has ended: the set-up is given up at its machine before anything else is sent.
fn timed_out(d: &mut Desk, id: TaskId, send: u32) {
    let open = d.tasks.by_id.get(&id).and_then(|job| job.open);
    if open.is_some_and(|open| open.number == send && open.placed_at.is_none()) {
        d.give_up(id, Outcome::TimedOut);
    }
}

/// A look at a machine: idle connections are ended before it does, one where tasks stand is kept in reach,
/// and a silent one is found out.
fn look(d: &mut Desk, id: MachineId) {
    let (now, patience) = (d.now, d.patience);
    let Some(machine) = d.machines.by_id.get_mut(&id) else { return };
    machine.looked_after = false;
    let (heard_at, retry_at, failures) = (machine.heard_at, machine.retry_at, machine.failures);
    let (refusals, replaced) = (machine.refusals, machine.replaced);
    let stands = !d.tasks.standing_on(id).is_empty();
    let coming = d.machines.connections_of(id).any(|(_, connection)| !connection.up);
    let mut up = d.machines.connections_of(id).filter(|(_, connection)| connection.up).count();
    let idle =
        d.machines.connections_of(id).filter(|(_, connection)| connection.up && connection.open.is_empty());
    let idle: Vec<(ConnectionId, Timestamp)> =
        idle.map(|(link, connection)| (link, connection.used_at)).collect();
    let quiet = now - heard_at;
    let cuts = !d.machines.by_id[&id].cuts.is_empty();
    // Where the pool is used up, machines where tasks stand are visited in turn, each well within the time
    // in which owners must hear of an end that nobody could tell.
    let in_turn = d.pool.has_room() || quiet >= patience.quiet;
    let mut wants_new = stands && !coming && if up == 0 { in_turn } else { quiet >= patience.quiet };
    wants_new |= cuts && !coming;
    for (link, used_at) in &idle {
        if now - *used_at < patience.idle {
            continue;
        }
        if stands && up == 1 {
            wants_new |= !coming;
        } else {
            d.end_connection(*link);
            up -= 1;
        }
    }
    let last_tries = quiet >= patience.lost - patience.quiet * LAST_TRIES;
    if wants_new && (now >= retry_at || last_tries) && !replaced {
        let oldest = idle
            .iter()
            .filter(|(link, _)| d.machines.connections.contains_key(link))
            .min_by_key(|(_, at)| *at);
        if let (true, true, Some((link, _))) = (!d.pool.has_room(), up > 1, oldest) {
            d.end_connection(*link);
        }
        d.open_connection(id);
    }
    let silent = now - heard_at >= patience.lost && failures > 0;
    if stands && (silent || refusals >= DEAD || replaced) {
        d.is_lost(id, now, "it is silent, refuses, or is replaced");
    }
    if stands || cuts || !d.machines.by_id[&id].connections.is_empty() {
        d.look_after(id);
    }
}

/// One line on how it is, to be held against what passed on the sockets.
fn tell(d: &Desk) {
    let machines = d.machines.by_id.values();
    let in_reach = machines.clone().filter(|machine| !machine.connections.is_empty()).count();
    tracing::info!(
        waiting = d.tasks.unanswered,
        standing = d.tasks.standing(),
        machines = machines.len(),
        in_reach,
        connections = d.machines.connections.len(),
        owners = d.owners.by_link.len(),
        bulletin = d.watch.last,
        owed = d.owners.owed.len(),
        counts = ?d.counts,
        "how it is"
    );
}
