//! Hearing: what each frame, end and timer means, and what the module is told of it.
//!
//! What proves that a send never ran, which the second rule rests on:
//! - an offer of which no byte left this process (`Whole` unwritten, or taken back),
//! - a machine's own word: nacked, recalled before it was accepted,
//! - the same life of the machine, met again on a new connection, doesn't hold the send: a new greeting ends
//!   the old connection for the machine, so what it had not accepted by then it never will.
//!
//! Everything else may have run: half-written and written offers whose machine can't be asked, time-outs, and
//! whatever a former life of the machine was sent.

use crate::desk::{Answer, Desk, Due, Job, Late, ListFault, Open, Who};
use crate::machines::{Reach, Spot};
use mulleinhub_interface::{
    Ears, Effect, Ending, Entry, ListKind, Loss, MachineId, Mode, Nack, Order, Report, Room, ServiceId, Span,
    TaskId, TaskKey, Time, UseCaseId,
};
use mulleinhub_pacing::again;
use mulleinhub_protocol::{self as protocol, Bad, Conversation, Message, Reason, Shape, Side};
use mulleinhub_seam::{End, Link, Unwritten};
use std::cell::RefCell;
use std::sync::Arc;

type Heard = Result<(), Bad>;

/// The first turn: the list of the last life, and the calls for a newer one.
pub fn begin(desk: &RefCell<Desk>, round: &mut dyn Ears, saved: Option<Vec<u8>>) {
    match saved.as_deref().map(protocol::decode_list) {
        Some(Ok(kept)) => list(desk, round, ListKind::Saved, kept.version, &kept.entries()),
        Some(Err(bad)) => tracing::error!(%bad, "the kept list can't be read; going on without it"),
        None => {}
    }
    let desk = &mut *desk.borrow_mut();
    if !desk.settings.listing.asked {
        desk.open_list();
    }
    let (now, settings) = (desk.now, &desk.settings);
    desk.timers.set(now + settings.start_wait, Due::Start);
}

/// Every connection on which something came in, in the order of coming.
pub fn all_that_came(desk: &RefCell<Desk>, round: &mut dyn Ears) {
    loop {
        let next = desk.borrow_mut().next_arrival();
        let Some(link) = next else {
            // Clients are heard once machines told what they hold: what waited comes in now.
            if !start(&mut desk.borrow_mut()) {
                return;
            }
            continue;
        };
        hear_link(desk, round, link);
    }
}

/// Opens the door for clients when all machines of the first list have told what they hold, or can't be
/// reached.
fn start(desk: &mut Desk) -> bool {
    let told =
        |spot: &Spot| spot.mode != protocol::Mode::Active || spot.ready().is_some() || spot.failures > 0;
    if desk.hears_clients || !desk.list_known || !desk.machines.values().all(told) {
        return false;
    }
    desk.hear_clients();
    true
}

fn hear_link(desk: &RefCell<Desk>, round: &mut dyn Ears, link: Link) {
    // The frames are taken out for the while, so that messages can borrow them and the desk stays free.
    let Some(mut frames) =
        desk.borrow_mut().peers.get_mut(&link).map(|peer| std::mem::take(&mut peer.frames))
    else {
        return;
    };
    let mut left = desk.borrow().limits.frames_a_turn();
    loop {
        if left == 0 {
            break;
        }
        let heard = match frames.next_frame() {
            Ok(None) => break,
            Ok(Some(frame)) => protocol::decode(frame).and_then(|message| hear(desk, round, link, &message)),
            Err(bad) => Err(bad),
        };
        if let Err(bad) = heard {
            refuse(desk, round, link, &bad);
            break;
        }
        let desk = desk.borrow();
        let Some(peer) = desk.peers.get(&link) else { return };
        left -= usize::from(matches!(peer.who, Who::Stranger | Who::Client(_)));
    }
    let end = {
        let desk = &mut *desk.borrow_mut();
        let Some(peer) = desk.peers.get_mut(&link) else { return };
        frames.tidy(&mut desk.spare);
        let partial = frames.kept() > 0;
        peer.frames = frames;
        let end = peer.end;
        if left == 0 && partial && peer.frames.peek().is_some() {
            desk.hear_rest_later(link);
            return;
        }
        if matches!(peer.who, Who::Stranger | Who::Client(_)) {
            desk.links.pause(link, false);
            let now = desk.now;
            desk.limits.read(now, link.0, partial);
        }
        end
    };
    if let Some(end) = end {
        has_ended(desk, round, link, end);
    }
}

/// A peer that speaks wrongly is told why and let go, alone.
fn refuse(desk: &RefCell<Desk>, round: &mut dyn Ears, link: Link, bad: &Bad) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    d.counts.bad_frames += 1;
    tracing::warn!(link = link.0, %bad, "a peer speaks wrongly; its connection ends");
    let mut words = bad.to_string();
    words.truncate(words.floor_char_boundary(protocol::MOST_WORDS));
    let Some(peer) = d.peers.get_mut(&link) else { return };
    match peer.who {
        Who::Stranger | Who::Client(_) => d.let_go(link, &words),
        Who::Machine(_) => {
            peer.end = Some(End::Broken);
            d.write(link, &Message::Bye { words: &words });
        }
        Who::List => {
            d.write(link, &Message::Bye { words: &words });
            d.peers.remove(&link);
            d.links.end(link);
            list_fails(d, ListFault::Unreadable(words));
            drop(borrowed);
            list_ended(desk, round);
        }
    }
}

/// The list service told nothing that can be used.
fn list_fails(desk: &mut Desk, fault: ListFault) {
    let known = desk.list_known.then_some(desk.list_version);
    tracing::error!(%fault, ?known, "no newer list of machines; the list service is asked again");
    desk.list_fault = Some(fault);
}

/// The connection to the list service is over: it is asked again after a while.
fn list_ended(desk: &RefCell<Desk>, round: &mut dyn Ears) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    d.list_link = None;
    d.list_reader.clear();
    if d.settings.listing.asked {
        drop(borrowed);
        return round.list_failed();
    }
    let (drawn, failures) = (d.chance.part(), d.list_failures);
    d.list_failures += 1;
    let at = d.now + again::after_failures(d.settings.reconnect, failures, drawn);
    d.timers.set(at, Due::List);
}

fn hear(desk: &RefCell<Desk>, round: &mut dyn Ears, link: Link, message: &Message<'_>) -> Heard {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    let Some(peer) = d.peers.get_mut(&link) else { return Ok(()) };
    let (conversation, side) = match peer.who {
        Who::Stranger | Who::Client(_) => (Conversation::ClientPlanner, Side::Opener),
        Who::Machine(_) => (Conversation::PlannerMachine, Side::Opened),
        Who::List => (Conversation::PlannerList, Side::Opened),
    };
    if !message.belongs(conversation, side) {
        return Err(Bad(format!("not a message for this side of {conversation:?}")));
    }
    if let Message::Hello { conversation: theirs, version, least_version, name, clock, .. } = message {
        if peer.greeted || *theirs != conversation {
            return Err(Bad(format!("a hello for {theirs:?} where {conversation:?} is spoken")));
        }
        if *least_version > protocol::VERSION || *version < protocol::LEAST_VERSION {
            return Err(Bad(format!(
                "versions {least_version} to {version} are spoken, {} to {} are understood",
                protocol::LEAST_VERSION,
                protocol::VERSION
            )));
        }
        // One copy of the name serves all that know it.
        let name: Arc<str> =
            d.clients.get_key_value(*name).map_or_else(|| (*name).into(), |(n, _)| n.clone());
        (peer.who, peer.greeted) = (Who::Client(name.clone()), true);
        d.clients.insert(name.clone(), link);
        if let Err(why) = d.limits.greeted(link.0, &name) {
            d.let_go(link, why.words());
            return Ok(());
        }
        d.lain(link, *clock);
        let (name, life) = (d.settings.name.clone(), d.life);
        let version = protocol::VERSION.min(*version);
        let silence = Some(d.limits.settings().idle_after.nanos());
        d.write(link, &Message::Welcome { version, features: 0, name: &name, life, silence });
        return Ok(());
    }
    match message {
        Message::Ping { nonce } => {
            d.write(link, &Message::Pong { nonce: *nonce });
            return Ok(());
        }
        Message::Pong { .. } => return Ok(()),
        Message::Bye { words } => {
            tracing::warn!(link = link.0, words, "a peer says why it ends");
            if matches!(peer.who, Who::List) {
                list_fails(d, ListFault::Refused((*words).to_owned()));
            }
            return Ok(());
        }
        Message::Welcome { .. } => {}
        _ if !peer.greeted => return Err(Bad("a message before the greeting".into())),
        _ => {}
    }
    match &peer.who {
        Who::Machine(id) => {
            let id = *id;
            drop(borrowed);
            hear_machine(desk, round, link, id, message)
        }
        Who::Client(name) => {
            let name = name.clone();
            drop(borrowed);
            hear_client(desk, round, link, &name, message)
        }
        Who::List if matches!(message, Message::Welcome { .. }) => {
            peer.greeted = true;
            Ok(())
        }
        Who::List => {
            drop(borrowed);
            hear_list(desk, round, message)
        }
        Who::Stranger => Err(Bad("a message before the greeting".into())),
    }
}

fn order(id: TaskId, shape: &Shape, deadline: Time) -> Order {
    Order {
        id,
        key: TaskKey(shape.key),
        use_case: UseCaseId(shape.use_case as usize),
        service: ServiceId(shape.service),
        ask: Room::new(shape.cores, shape.memory),
        deadline,
        again: shape.again,
    }
}

// Clients.

fn hear_client(
    desk: &RefCell<Desk>,
    round: &mut dyn Ears,
    link: Link,
    name: &str,
    message: &Message<'_>,
) -> Heard {
    match message {
        Message::Ask { task, shape, patience, clock } => {
            let order = {
                let d = &mut *desk.borrow_mut();
                let left = Span::from_nanos(*patience) - d.lain(link, *clock);
                take(d, link, name, *task, shape, left)?
            };
            if let Some(order) = order {
                round.new_task(order);
            }
        }
        Message::Withdraw { task } => withdraw(desk, round, name, TaskId(*task))?,
        Message::Learn { task } => {
            let d = &mut *desk.borrow_mut();
            if !tell_again(d, link, name, TaskId(*task), None)? {
                d.write(link, &Message::Unknown { task: *task });
            }
        }
        Message::HandOver { task, shape, machine } => {
            let d = &mut *desk.borrow_mut();
            let id = TaskId(*task);
            known_use_case(d, shape)?;
            if tell_again(d, link, name, id, Some(shape.key))? {
                return Ok(());
            }
            let Some(to) = d.machines.get(&MachineId(*machine)).and_then(Spot::ready) else {
                d.write(link, &Message::Unknown { task: *task });
                return Ok(());
            };
            let due = d.now + d.settings.silence;
            let open = Open {
                number: 0,
                machine: MachineId(*machine),
                link: Some(to),
                mark: 0,
                decided: d.now,
                due,
                placed: false,
                runs: false,
                stopping: false,
            };
            let order = order(id, shape, Time::from_nanos(u64::MAX));
            let job = Job {
                claiming: true,
                answered: true,
                open: Some(open),
                sends: 1,
                ..job(order, *shape, name, link, d.now)
            };
            d.jobs.insert(id, job);
            d.write(to, &Message::Claim { task: *task, send: 0, key: shape.key, owner: name });
            d.timers.set(due, Due::Claim(id));
        }
        Message::StatusAsk {} => {
            let d = &mut *desk.borrow_mut();
            let words = status(d);
            d.write(link, &Message::Status { words: &words });
        }
        _ => return Err(Bad("not a message of a client".into())),
    }
    Ok(())
}

fn job(order: Order, shape: Shape, owner: &str, link: Link, came: Time) -> Job {
    Job {
        order,
        shape,
        owner: owner.to_owned(),
        owner_link: Some(link),
        came,
        sends: 0,
        open: None,
        may_have_run: None,
        withdrawn: false,
        claiming: false,
        answered: false,
        ticket: None,
    }
}

fn known_use_case(d: &Desk, shape: &Shape) -> Heard {
    let known = d.settings.use_cases.len();
    if (shape.use_case as usize) < known {
        Ok(())
    } else {
        Err(Bad(format!("use case {} of {known}", shape.use_case)))
    }
}

/// Tells whoever asks again what is known of a task; false where nothing is. The newest connection of its
/// owner hears what comes later.
fn tell_again(d: &mut Desk, link: Link, name: &str, id: TaskId, key: Option<u64>) -> Result<bool, Bad> {
    let another = || Bad(format!("task {} is another's", id.0));
    if let Some(job) = d.jobs.get_mut(&id) {
        if job.owner != name || key.is_some_and(|key| key != job.shape.key) {
            return Err(another());
        }
        let before = job.owner_link.replace(link);
        let owed = !job.answered;
        let placed = job.open.filter(|open| open.placed).map(|open| open.machine.0);
        match placed {
            Some(machine) => d.write(link, &Message::Placed { task: id.0, machine }),
            None => d.write(link, &Message::Taken { task: id.0 }),
        }
        if owed {
            d.hand(before, false);
            d.hand(Some(link), true);
        }
        return Ok(true);
    }
    let Some((answer, owner)) = d.answered.get(&id) else { return Ok(false) };
    if owner != name {
        return Err(another());
    }
    let message = answer.message(id);
    d.write(link, &message);
    Ok(true)
}

/// Takes a task, unless it is known or there is no room for it.
fn take(
    d: &mut Desk,
    link: Link,
    name: &str,
    task: u64,
    shape: &Shape,
    patience: Span,
) -> Result<Option<Order>, Bad> {
    known_use_case(d, shape)?;
    let id = TaskId(task);
    if tell_again(d, link, name, id, Some(shape.key))? {
        return Ok(None);
    }
    let longest = d.settings.use_cases[shape.use_case as usize].client_timeout;
    let patience = patience.min(longest);
    if d.winding_down || patience == Span::ZERO {
        d.write(link, &Message::Nacked { task, stay_away: 0 });
        return Ok(None);
    }
    if !d.list_known && d.list_fault.is_some() {
        // No machine is known, and the list service is not asked again before this.
        let stay_away = d.settings.reconnect.nanos();
        d.write(link, &Message::Nacked { task, stay_away });
        return Ok(None);
    }
    let order = order(id, shape, d.now + patience);
    let asked = match &mut d.quota {
        Some(quota) => quota.ask(d.now, name, order.key, order.ask, d.chance.part()),
        None => Ok(None),
    };
    let asked = asked.and_then(|ticket| match d.admission.ask(d.now, shape.service) {
        Ok(()) => Ok(ticket),
        Err(away) => {
            if let (Some(quota), Some(ticket)) = (&mut d.quota, ticket) {
                quota.never_ran(d.now, ticket);
            }
            Err(away)
        }
    });
    let ticket = match asked {
        Ok(ticket) => ticket,
        Err(away) => {
            d.write(link, &Message::Nacked { task, stay_away: away.nanos() });
            return Ok(None);
        }
    };
    d.jobs.insert(id, Job { ticket, ..job(order, *shape, name, link, d.now) });
    d.counts.taken += 1;
    d.hand(Some(link), true);
    d.write(link, &Message::Taken { task });
    Ok(Some(order))
}

fn withdraw(desk: &RefCell<Desk>, round: &mut dyn Ears, name: &str, id: TaskId) -> Heard {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    // Copies of earlier sends that prove to run from now on are nobody's. Met: such a copy was disowned, ran
    // on until its machine ended it, and its owner was told to come for it.
    for late in d.late.range_mut((id, 0)..=(id, u32::MAX)).map(|(_, late)| late) {
        late.wanted &= late.owner != name;
    }
    let Some(job) = d.jobs.get_mut(&id) else { return Ok(()) };
    if job.owner != name {
        return Err(Bad(format!("task {} is another's", id.0)));
    }
    job.withdrawn = true;
    let Some(open) = job.open.as_mut() else {
        d.answer(id, Answer::Withdrawn);
        drop(borrowed);
        round.abandoned(id);
        return Ok(());
    };
    let (machine, number, placed, link) = (open.machine, open.number, open.placed, open.link);
    if placed {
        open.stopping = true;
        if let Some(to) = d.machines.get(&machine).and_then(Spot::ready) {
            d.write(to, &Message::Stop { task: id.0, send: number, moves: false });
        }
    } else if d.take_back(id) {
        d.closings.push_back((id, number, Ending::NotSent));
    } else if let Some(to) = link {
        d.write(to, &Message::Recall { task: id.0, send: number });
    }
    drop(borrowed);
    round.abandoned(id);
    Ok(())
}

/// Bytes of a status, which goes in one frame; lines beyond are counted only.
const MOST_STATUS: usize = protocol::MOST_FRAME / 4 * 3;

pub fn status(d: &Desk) -> String {
    let counts = d.counts();
    let jobs = d.jobs_by_machine();
    let machine = |m: &Spot| {
        let reach = match m.reach {
            Reach::Down => "down",
            Reach::Coming(_) => "coming",
            Reach::Ready(_) => "ready",
        };
        let (cores, memory) = m.left.unwrap_or_default();
        let on = jobs.get(&m.id).copied().unwrap_or_default();
        format!("machine {} {reach} {:?} tasks {on} left {cores:.1} cores {memory:.1} memory", m.id.0, m.mode)
    };
    let mut lines = vec![
        format!("planner {} life {}", d.settings.name, d.life),
        format!(
            "tasks taken {} placed {} nacked {} errored {}",
            counts.taken, counts.placed, counts.nacked, counts.errored
        ),
        format!("in hand pending {} sent {} placed {}", counts.pending, counts.sent, counts.running),
        format!("sends {} late yes {} bad frames {}", counts.sends, counts.late_yes, counts.bad_frames),
        format!(
            "clients' connections {} of {} allowed, deadlines held {}",
            d.limits.len(),
            d.limits.allowed(),
            d.limits.timers()
        ),
        format!(
            "machines {} of {} ready, list version {}",
            counts.machines_ready, counts.machines, d.list_version
        ),
    ];
    lines.push(d.not_ready().map_or_else(|| "ready".to_owned(), |why| format!("not ready: {why}")));
    lines.extend(d.quota.iter().flat_map(|quota| quota.status(d.now)));
    lines.extend(d.machines.values().map(machine));
    // Who asks may not have read it all before more is written.
    joined(&lines, MOST_STATUS.min(d.settings.most_unwritten / 2))
}

/// The lines in so many bytes, and how many more there are.
fn joined(lines: &[String], most: usize) -> String {
    let mut text = String::new();
    for (n, line) in lines.iter().enumerate() {
        if text.len() + line.len() > most {
            return format!("{text}\nand {} lines more", lines.len() - n);
        }
        if n > 0 {
            text.push('\n');
        }
        text.push_str(line);
    }
    text
}

// Machines.

fn hear_machine(
    desk: &RefCell<Desk>,
    round: &mut dyn Ears,
    link: Link,
    machine: MachineId,
    message: &Message<'_>,
) -> Heard {
    match message {
        Message::Welcome { life, .. } => {
            let mut borrowed = desk.borrow_mut();
            let d = &mut *borrowed;
            let Some(peer) = d.peers.get_mut(&link) else { return Ok(()) };
            if std::mem::replace(&mut peer.greeted, true) {
                return Err(Bad("a second welcome".into()));
            }
            let Some(spot) = d.machines.get_mut(&machine) else { return Ok(()) };
            spot.told.clear();
            let warm_after = d.settings.cold.warm_after;
            // Before its first greeting the list's word holds, also one that an earlier life of ours kept.
            let other_life = spot.life.replace(*life).unwrap_or(spot.listed_life) != *life;
            if other_life {
                spot.gate.is_cold_until(d.now + warm_after);
                // What waits was decided on for a warm machine. Met: all of it reached the cold one at once.
                let waiting = std::mem::take(&mut spot.waiting);
                // Whatever the former life was sent or held went with it. An answer of it can't come any
                // more: its connection is over, and this one began after it.
                let lost = d.jobs_on(machine).into_iter().filter(|(_, open)| open.link.is_some());
                let lost: Vec<_> = lost.map(|(id, open)| (id, open.number)).collect();
                d.closings.extend(lost.iter().map(|(id, n)| (*id, *n, Ending::Broken(Loss::Untold))));
                d.closings.extend(waiting.into_iter().map(|(id, n)| (TaskId(id), n, Ending::NotSent)));
                drop(borrowed);
                round.restarted(machine);
            }
        }
        Message::Holds { tasks, last } => {
            for held in tasks {
                holds(desk, round, link, machine, held);
            }
            if *last {
                told_all(desk, round, link, machine);
            }
        }
        Message::Accepted { task, send } => {
            desk.borrow_mut().answered_by(machine, *task, *send);
            accepted(desk, round, link, machine, TaskId(*task), *send);
        }
        Message::Runs { task, send } => runs(desk, round, machine, TaskId(*task), *send),
        Message::Note { task, cores, memory, served, machine_memory } => {
            let id = TaskId(*task);
            let placed = {
                let d = desk.borrow();
                d.jobs.get(&id).and_then(|job| job.open).is_some_and(|o| o.placed && o.machine == machine)
            };
            if placed {
                if cores.is_some() || memory.is_some() {
                    round.uses(id, *cores, *memory);
                }
                if let Some(served) = served {
                    round.served(id, *served);
                }
                if let Some(share) = machine_memory {
                    round.machine_memory(id, *share);
                }
            }
        }
        Message::Closed { task, send, ending, reason } => {
            let id = TaskId(*task);
            let open = {
                let d = &mut *desk.borrow_mut();
                d.write(link, &Message::Heard { task: *task, send: *send });
                d.answered_by(machine, *task, *send);
                d.late.remove(&(id, *send));
                d.jobs.get(&id).and_then(|job| job.open)
            };
            if open.is_some_and(|open| open.machine == machine && open.number == *send) {
                close(desk, round, id, *send, told_ending(*ending, *reason), Some(*ending));
            }
        }
        Message::Report { cores_unused, memory_unused, .. } => {
            let unused = cores_unused.zip(*memory_unused).map(|(cores, memory)| Room::new(cores, memory));
            round.probed(machine, Report { unused });
        }
        _ => return Err(Bad("not a message of a machine".into())),
    }
    Ok(())
}

fn told_ending(ending: protocol::Ending, reason: Reason) -> Ending {
    match ending {
        protocol::Ending::Done | protocol::Ending::Stopped => Ending::Ok,
        protocol::Ending::Errored => Ending::Errored,
        protocol::Ending::Nacked => Ending::Nacked(match reason {
            Reason::Untold => Nack::Untold,
            Reason::NoCores => Nack::NoCores,
            Reason::NoMemory => Nack::NoMemory,
            Reason::LineFull => Nack::QueueFull,
            Reason::NotHere => Nack::NotHere,
            Reason::HandedBack => Nack::HandedBack,
        }),
        // The machine's own word that it dropped the offer before it accepted: proof.
        protocol::Ending::Recalled => Ending::NotSent,
        protocol::Ending::Lost => Ending::Broken(Loss::Untold),
        protocol::Ending::Evicted => Ending::Broken(Loss::Evicted),
        protocol::Ending::PushedOut => Ending::Broken(Loss::PushedOut),
        protocol::Ending::SentAway | protocol::Ending::Moved => Ending::Broken(Loss::SentAway),
    }
}

/// One task of a machine's telling after a greeting.
fn holds(
    desk: &RefCell<Desk>,
    round: &mut dyn Ears,
    link: Link,
    machine: MachineId,
    held: &protocol::Held<'_>,
) {
    let id = TaskId(held.task);
    let (ours, met, known) = {
        let d = &mut *desk.borrow_mut();
        let Some(spot) = d.machines.get_mut(&machine) else { return };
        spot.told.push((held.task, held.send));
        let met = spot.met;
        let open = d.jobs.get_mut(&id).and_then(|job| job.open.as_mut());
        let ours = match open.filter(|open| open.machine == machine && open.number == held.send) {
            Some(open) => {
                open.link = Some(link);
                true
            }
            None => false,
        };
        (ours, met, d.jobs.contains_key(&id) || d.late.contains_key(&(id, held.send)))
    };
    if held.ended.is_some() {
        let d = &mut *desk.borrow_mut();
        d.write(link, &Message::Heard { task: held.task, send: held.send });
        d.late.remove(&(id, held.send));
    }
    match (ours, held.ended) {
        (true, Some(ending)) => {
            close(desk, round, id, held.send, told_ending(ending, Reason::Untold), Some(ending));
        }
        (true, None) => {
            accepted(desk, round, link, machine, id, held.send);
            if held.runs {
                runs(desk, round, machine, id, held.send);
            }
        }
        (false, Some(_)) => {}
        // Our former life placed it: it is ours again, with all that it counts for.
        (false, None) if !met && !known => adopt(desk, round, link, machine, held),
        (false, None) => late_yes(&mut desk.borrow_mut(), link, machine, id, held.send),
    }
}

fn adopt(
    desk: &RefCell<Desk>,
    round: &mut dyn Ears,
    link: Link,
    machine: MachineId,
    held: &protocol::Held<'_>,
) {
    let id = TaskId(held.task);
    let order = order(id, &held.shape, Time::from_nanos(u64::MAX));
    {
        let d = &mut *desk.borrow_mut();
        if known_use_case(d, &held.shape).is_err() {
            tracing::error!(task = held.task, "a machine holds a task of a use case that the settings lack");
            d.write(link, &Message::Disown { task: held.task, send: held.send });
            return;
        }
        let open = Open {
            number: held.send,
            machine,
            link: Some(link),
            mark: 0,
            decided: d.now,
            due: d.now,
            placed: true,
            runs: held.runs,
            stopping: false,
        };
        let adopted = job(order, held.shape, held.owner, link, d.now);
        let ticket = d.quota.as_mut().and_then(|q| q.adopted(d.now, held.owner, order.key, order.ask));
        let adopted = Job {
            ticket,
            owner_link: None,
            sends: held.send + 1,
            open: Some(open),
            may_have_run: Some(d.now),
            answered: true,
            ..adopted
        };
        d.jobs.insert(id, adopted);
    }
    round.running(order, machine);
}

/// The telling is whole: what it lacks is known never to have been accepted, and offers may go.
fn told_all(desk: &RefCell<Desk>, round: &mut dyn Ears, link: Link, machine: MachineId) {
    let resolved = {
        let d = &mut *desk.borrow_mut();
        let Some(spot) = d.machines.get_mut(&machine) else { return };
        spot.is_ready(link);
        let met = std::mem::replace(&mut spot.met, true);
        let told = std::mem::take(&mut spot.told);
        let mut resolved = Vec::new();
        if !met && !told.is_empty() {
            // What waits was decided on without knowing what the machine holds. Met when a planner had
            // started while a machine hung: its offers went out with the telling, and broke the spread.
            let waiting = std::mem::take(&mut spot.waiting);
            resolved.extend(waiting.into_iter().map(|(task, send)| (TaskId(task), send, Ending::NotSent)));
        }
        let mut stop_again = Vec::new();
        for (id, open) in d.jobs_on(machine) {
            let here = told.contains(&(id.0, open.number));
            if here && open.stopping {
                stop_again.push((id, open.number));
            }
            // A new life is dealt with by the closings that its welcome left.
            let is_over = d.is_closing(id, open.number);
            if !here && !is_over && open.link.is_some_and(|offered| offered != link) {
                let ending = if open.placed { Ending::Broken(Loss::Untold) } else { Ending::NotSent };
                resolved.push((id, open.number, ending));
            }
        }
        for (id, send) in stop_again {
            let moves = !d.jobs[&id].withdrawn;
            d.write(link, &Message::Stop { task: id.0, send, moves });
        }
        resolved
    };
    for (id, send, ending) in resolved {
        close(desk, round, id, send, ending, None);
    }
    desk.borrow_mut().release(machine);
}

fn accepted(
    desk: &RefCell<Desk>,
    round: &mut dyn Ears,
    link: Link,
    machine: MachineId,
    id: TaskId,
    send: u32,
) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    // The answer came before the end that this side made in this turn was told: the answer counts.
    d.closings.retain(|(task, number, ending)| {
        (*task, *number) != (id, send) || matches!(ending, Ending::Broken(_) | Ending::NoConnection)
    });
    let Some(job) = d.jobs.get_mut(&id) else { return late_yes(d, link, machine, id, send) };
    let (withdrawn, claiming, order) = (job.withdrawn, job.claiming, job.order);
    let (owner_link, owner) = (job.owner_link, job.owner.clone());
    let Some(open) = job.open.as_mut().filter(|open| open.machine == machine && open.number == send) else {
        return late_yes(d, link, machine, id, send);
    };
    if std::mem::replace(&mut open.placed, true) {
        return;
    }
    // Met: a stop that was lost with its connection was never said again, and a withdrawn task ran on.
    open.stopping = withdrawn;
    let mark = open.mark;
    job.claiming = false;
    job.may_have_run.get_or_insert(open.decided);
    if let Some(quota) = &mut d.quota {
        match job.ticket {
            Some(ticket) => quota.runs(d.now, ticket),
            None if claiming => job.ticket = quota.adopted(d.now, &job.owner, order.key, order.ask),
            None => {}
        }
    }
    d.forget_mark(mark);
    if withdrawn {
        d.write(link, &Message::Stop { task: id.0, send, moves: false });
        return;
    }
    d.counts.placed += 1;
    let job = d.jobs.get_mut(&id).expect("is there");
    if !std::mem::replace(&mut job.answered, true) {
        let (came, service) = (job.came, job.shape.service);
        d.owes_less(owner_link, came, service);
    }
    let _task = tracing::debug_span!("task", id = id.0, owner).entered();
    tracing::debug!(machine = machine.0, send, "placed");
    d.tell_owner(owner_link, &owner, &Message::Placed { task: id.0, machine: machine.0 });
    drop(borrowed);
    if claiming { round.running(order, machine) } else { round.accepted(id) }
}

fn runs(desk: &RefCell<Desk>, round: &mut dyn Ears, machine: MachineId, id: TaskId, send: u32) {
    let first = {
        let d = &mut *desk.borrow_mut();
        let open = d.jobs.get_mut(&id).and_then(|job| job.open.as_mut());
        open.filter(|open| open.placed && open.machine == machine && open.number == send)
            .is_some_and(|open| !std::mem::replace(&mut open.runs, true))
    };
    if first {
        round.runs(id);
    }
}

/// A machine took a send that is over for us. Nobody may count on that copy, and it must not be lost sight
/// of: a replayable one is stopped; of others the owner learns, who may hand it over before the machine ends
/// it.
fn late_yes(d: &mut Desk, link: Link, machine: MachineId, id: TaskId, send: u32) {
    d.counts.late_yes += 1;
    // It stays known until its end is told: what is written now may be lost on the way, and asked for again.
    let Some(late) = d.late.get(&(id, send)) else {
        d.write(link, &Message::Disown { task: id.0, send });
        return;
    };
    let case = &d.settings.use_cases[late.shape.use_case as usize];
    if !late.wanted || case.effect == Effect::Replayable {
        d.write(link, &Message::Stop { task: id.0, send, moves: false });
        return;
    }
    let (key, owner) = (late.shape.key, late.owner.clone());
    d.write(link, &Message::Disown { task: id.0, send });
    // While the task is in hand its next send, within the group, takes the place of this copy.
    if !d.jobs.contains_key(&id) {
        let told = Message::ProvesToRun { task: id.0, key, machine: machine.0 };
        d.tell_owner(None, &owner, &told);
    }
}

/// The end of a send: told to the module, and to the owner where the task was placed.
fn close(
    desk: &RefCell<Desk>,
    round: &mut dyn Ears,
    id: TaskId,
    send: u32,
    ending: Ending,
    told: Option<protocol::Ending>,
) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    let Some(job) = d.jobs.get_mut(&id) else { return };
    let Some(open) = job.open.filter(|open| open.number == send) else { return };
    job.open = None;
    let never_ran = matches!(ending, Ending::Nacked(_) | Ending::NoConnection | Ending::NotSent);
    if !never_ran {
        job.may_have_run.get_or_insert(open.decided);
    }
    let (shape, owner, owner_link) = (job.shape, job.owner.clone(), job.owner_link);
    let (wanted, claiming) = (!job.withdrawn, job.claiming);
    let _task = tracing::debug_span!("task", id = id.0, owner).entered();
    tracing::debug!(machine = open.machine.0, send, ?ending, "closed");
    d.forget_mark(open.mark);
    d.closings.retain(|(task, number, _)| (*task, *number) != (id, send));
    if !never_ran && told.is_none() {
        // Not the machine's own word: a copy may run.
        d.late.insert((id, send), Late { shape, owner: owner.clone(), wanted });
        d.forget_later(id, Some(send));
    }
    if claiming {
        d.tell_owner(owner_link, &owner, &Message::Unknown { task: id.0 });
        d.jobs.remove(&id);
        return;
    }
    let over = open.placed || !wanted;
    if open.placed {
        d.answer(id, Answer::Ended(told.unwrap_or(protocol::Ending::Lost)));
    } else if !wanted {
        d.answer(id, Answer::Withdrawn);
    }
    drop(borrowed);
    round.closed(id, ending, over, Report::default());
}

// Ends and timers.

fn has_ended(desk: &RefCell<Desk>, round: &mut dyn Ears, link: Link, end: End) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    if d.peers.get(&link).is_some_and(|peer| matches!(peer.who, Who::Stranger | Who::Client(_))) {
        d.client_gone(link);
        d.links.abort(link);
        d.peers.remove(&link);
        return;
    }
    let unwritten = d.unwritten_offers(link);
    let Some(peer) = d.peers.remove(&link) else { return };
    match peer.who {
        Who::Stranger | Who::Client(_) => unreachable!("is dealt with above"),
        Who::List => {
            drop(borrowed);
            list_ended(desk, round);
        }
        Who::Machine(id) => {
            let (now, reconnect, lost_after) = (d.now, d.settings.reconnect, d.settings.lost_after);
            let drawn = d.chance.part();
            let mut unanswered = d.jobs_on(id);
            unanswered.retain(|(_, open)| !open.placed && open.link.is_some());
            let Some(spot) = d.machines.get_mut(&id).filter(|spot| spot.link() == Some(link)) else { return };
            let failed = spot.ready().is_none() || end == End::Refused;
            let wait = match failed {
                true => again::after_failures(reconnect, spot.failures, drawn),
                // At once: the answer may prove what became of open sends.
                false if !unanswered.is_empty() => Span::ZERO,
                false => again::after_end(reconnect, drawn),
            };
            spot.failed(now, wait, failed);
            let (retry_at, waiting) = (spot.retry_at, std::mem::take(&mut spot.waiting));
            d.timers.set(retry_at, Due::Reconnect(id));
            d.timers.set(now + lost_after, Due::Lost(id));
            let mut ends: Vec<(TaskId, u32, Ending)> = Vec::new();
            for (task, send, how) in unwritten {
                if how == Unwritten::Whole {
                    ends.push((task, send, Ending::NoConnection));
                }
            }
            ends.extend(waiting.into_iter().map(|(task, send)| (TaskId(task), send, Ending::NoConnection)));
            if failed {
                // It can't be asked what it took: each open send may run.
                ends.extend(
                    unanswered
                        .into_iter()
                        .map(|(task, open)| (task, open.number, Ending::Broken(Loss::Untold))),
                );
            }
            drop(borrowed);
            for (task, send, ending) in ends {
                close(desk, round, task, send, ending, None);
            }
        }
    }
}

/// Nobody answered in time. An offer still unwritten is taken back, which proves that it never ran.
pub fn timed_out(desk: &RefCell<Desk>, round: &mut dyn Ears, id: TaskId, send: u32) {
    let ending = {
        let d = &mut *desk.borrow_mut();
        let Some(open) = d.jobs.get(&id).filter(|job| !job.claiming).and_then(|job| job.open) else { return };
        // Met: an offer taken back from a draining machine timed out in the same turn, and lost its proof.
        if open.number != send || open.placed || d.is_closing(id, send) {
            return;
        }
        if d.take_back(id) {
            Ending::NotSent
        } else {
            if let Some(link) = open.link {
                d.write(link, &Message::Recall { task: id.0, send });
            }
            Ending::TimedOut
        }
    };
    close(desk, round, id, send, ending, None);
}

pub fn look_after(desk: &RefCell<Desk>, round: &mut dyn Ears, due: Due) {
    let mut borrowed = desk.borrow_mut();
    let d = &mut *borrowed;
    let now = d.now;
    match due {
        Due::Reconnect(id) => {
            if d.machines.get(&id).is_some_and(|spot| spot.reach == Reach::Down && spot.retry_at <= now) {
                d.open_machine(id);
            }
        }
        Due::Lost(id) => {
            let lost_after = d.settings.lost_after;
            if d.machines.get(&id).is_some_and(|spot| spot.is_lost(now, lost_after)) {
                let lost: Vec<_> = d.jobs_on(id).into_iter().filter(|(_, open)| open.placed).collect();
                drop(borrowed);
                for (task, open) in lost {
                    close(desk, round, task, open.number, Ending::Broken(Loss::Untold), None);
                }
            }
        }
        Due::Ping(id, link) => {
            let silence = d.settings.silence;
            let Some(spot) = d.machines.get_mut(&id).filter(|spot| spot.link() == Some(link)) else { return };
            match spot.pinged_at {
                Some(at) if now - at >= silence => {
                    tracing::warn!(machine = id.0, "silent to a ping; its connection ends");
                    d.end_of_ours(link);
                }
                None if now - spot.heard_at >= silence * 0.5 => {
                    spot.pinged_at = Some(now);
                    d.write(link, &Message::Ping { nonce: now.nanos() });
                }
                _ => {}
            }
            let next = now + again::sign(silence, d.chance.part());
            d.timers.set(next, Due::Ping(id, link));
        }
        Due::List => d.open_list(),
        Due::Start => {
            d.hear_clients();
            drop(borrowed);
            all_that_came(desk, round);
        }
        Due::Forget => d.forget_old(),
        Due::Release(machine) => d.release(machine),
        Due::Claim(id) => {
            let claiming = d.jobs.get(&id).filter(|job| job.claiming).and_then(|job| job.open);
            drop(borrowed);
            if let Some(open) = claiming {
                close(desk, round, id, open.number, Ending::TimedOut, None);
            }
        }
        Due::Token(_) | Due::Send(..) => unreachable!("are told where they fall due"),
    }
}

/// Ends that this side made: in the round before, or while hearing.
pub fn closings(desk: &RefCell<Desk>, round: &mut dyn Ears) {
    loop {
        let next = desk.borrow_mut().closings.pop_front();
        let Some((id, send, ending)) = next else { return };
        close(desk, round, id, send, ending, None);
    }
}

// The list.

fn hear_list(desk: &RefCell<Desk>, round: &mut dyn Ears, message: &Message<'_>) -> Heard {
    match message {
        Message::List { kind, version, entries } => {
            desk.borrow().list_reader.no_pieces()?;
            list(desk, round, told_kind(*kind), *version, entries);
        }
        Message::ListPiece { kind, version, number, last, entries } => {
            let whole = desk.borrow_mut().list_reader.take(*kind, *version, *number, *last, entries)?;
            if let Some(whole) = whole {
                list(desk, round, told_kind(whole.kind), whole.version, &whole.entries());
            }
        }
        _ => return Err(Bad("not a message of a list service".into())),
    }
    Ok(())
}

fn told_kind(kind: protocol::ListKind) -> ListKind {
    match kind {
        protocol::ListKind::Changes => ListKind::Changes,
        protocol::ListKind::Whole => ListKind::Whole,
    }
}

fn list(
    desk: &RefCell<Desk>,
    round: &mut dyn Ears,
    kind: ListKind,
    version: u64,
    entries: &[protocol::Entry<'_>],
) {
    let told: Vec<Entry> = {
        let d = &mut *desk.borrow_mut();
        let now = d.now;
        d.list_version = version;
        d.list_known = true;
        d.list_failures = 0;
        if kind != ListKind::Saved {
            d.list_changes();
            d.list_fault = None;
        }
        if kind == ListKind::Whole {
            let named: std::collections::BTreeSet<u64> = entries.iter().map(|entry| entry.machine).collect();
            for spot in d.machines.values_mut().filter(|spot| !named.contains(&spot.id.0)) {
                spot.mode = protocol::Mode::Left;
            }
        }
        for entry in entries {
            let id = MachineId(entry.machine);
            let spot = d.machines.entry(id).or_insert_with(|| Spot::new(entry, now));
            spot.update(entry, now);
            if let Some(since) = spot.since {
                spot.gate.is_cold_until(since + d.settings.cold.warm_after);
            }
            if entry.mode == protocol::Mode::Active && spot.reach == Reach::Down && spot.retry_at <= now {
                if d.hears_clients {
                    // Many planners read this at one instant; whoever sends to it does not wait.
                    let at = now + again::after_end(d.settings.reconnect, d.chance.part());
                    d.timers.set(at, Due::Reconnect(id));
                } else {
                    d.open_machine(id);
                }
            }
        }
        // Told of a drain while offers wait here: the third rule counts what goes out on the wire.
        let closed: Vec<MachineId> =
            d.machines.values().filter(|m| m.mode != protocol::Mode::Active).map(|m| m.id).collect();
        for id in closed {
            for (task, open) in d.jobs_on(id).into_iter().filter(|(_, open)| !open.placed) {
                if d.take_back(task) {
                    d.closings.push_back((task, open.number, Ending::NotSent));
                }
            }
        }
        let told = entries.iter().map(|entry| told_entry(&d.machines[&MachineId(entry.machine)])).collect();
        forget_gone(d);
        told
    };
    round.list(kind, &told);
}

/// Machines that have left and hold nothing of ours need no connection any more.
fn forget_gone(d: &mut Desk) {
    let gone = |spot: &&Spot| spot.mode == protocol::Mode::Left;
    let gone: Vec<(MachineId, Option<Link>)> =
        d.machines.values().filter(gone).map(|spot| (spot.id, spot.link())).collect();
    for (id, link) in gone {
        if !d.jobs_on(id).is_empty() {
            continue;
        }
        if let Some(link) = link {
            d.peers.remove(&link);
            d.links.abort(link);
        }
        d.machines.remove(&id);
    }
}

fn told_entry(spot: &Spot) -> Entry {
    Entry {
        id: spot.id,
        kind: spot.kind,
        cell: spot.cell,
        zone: spot.zone,
        mode: match spot.mode {
            protocol::Mode::Active => Mode::Active,
            protocol::Mode::Leaving => Mode::Leaving,
            protocol::Mode::Left => Mode::Left,
        },
        since: spot.since,
        left: spot.left.map(|(cores, memory)| Room::new(cores, memory)),
    }
}
