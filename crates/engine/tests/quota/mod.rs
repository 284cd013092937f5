//! What whoever counts tenants' use is asked and told, as short stories.

use crate::host::*;
use mulleinhub_interface::{Duration, Quota, Resources, TaskKey, Ticket, Timestamp};
use mulleinhub_protocol::{Ending, Held, Message, Reason};
use mulleinhub_sans_io::{CloseReason, ConnectionId};
use std::sync::{Arc, Mutex};

/// Refuses keys from a hundred on, knows nobody called `free`, and notes what it is told.
struct Notes(Arc<Mutex<Vec<String>>>);

impl Notes {
    fn note(&self, words: String) {
        self.0.lock().expect("one thread").push(words);
    }
}

fn ticket(key: TaskKey) -> Ticket {
    Ticket { team: 0, key, rate: 1, reserved_open: 1, reserved_last: 0 }
}

impl Quota for Notes {
    fn admit(
        &mut self,
        _: Timestamp,
        owner: &str,
        key: TaskKey,
        _: Resources,
        _: f64,
    ) -> Result<Option<Ticket>, Duration> {
        self.note(format!("ask {}", key.0));
        match key.0 {
            100.. => Err(Duration::from_nanos(7)),
            _ => Ok((owner != "free").then(|| ticket(key))),
        }
    }

    fn on_never_ran(&mut self, _: Timestamp, ticket: Ticket) {
        self.note(format!("never ran {}", ticket.key.0));
    }

    fn on_possible_run(&mut self, _: Timestamp, ticket: Ticket) {
        self.note(format!("may run {}", ticket.key.0));
    }

    fn on_running(&mut self, _: Timestamp, ticket: Ticket) {
        self.note(format!("runs {}", ticket.key.0));
    }

    fn adopt(&mut self, _: Timestamp, _: &str, key: TaskKey, _: Resources) -> Option<Ticket> {
        self.note(format!("adopted {}", key.0));
        Some(ticket(key))
    }

    fn on_ended(&mut self, _: Timestamp, ticket: Ticket, comes_again: bool) {
        self.note(format!("over {}{}", ticket.key.0, if comes_again { ", comes again" } else { "" }));
    }

    fn on_recovery_complete(&mut self, _: Timestamp) {
        self.note("all told".into());
    }

    fn status(&self, _: Timestamp) -> Vec<String> {
        vec!["books are kept".into()]
    }
}

/// A planner with four machines, one of which holds a task of its former life; what was noted; and an owner.
fn with_notes() -> (Host, Arc<Mutex<Vec<String>>>, ConnectionId) {
    let notes = Arc::new(Mutex::new(Vec::new()));
    let mut host = Host::new(settings(), 1, None);
    let engine = mulleinhub_engine::Engine::new(settings(), 1, None);
    host.engine = engine.with_quota(Box::new(Notes(notes.clone())));
    host.turn();
    host.accept("list");
    host.list(&(1..=4).map(|id| (id, mulleinhub_protocol::Mode::Active)).collect::<Vec<_>>());
    for id in 1..=4 {
        let held =
            Held { task: 50, send: 0, shape: shape(50, REPLAYABLE), owner: "owner", ended: None, runs: true };
        host.meets(id, 100 + id, if id == 4 { vec![held] } else { vec![] });
    }
    let owner = host.client("owner");
    (host, notes, owner)
}

fn noted(notes: &Arc<Mutex<Vec<String>>>) -> Vec<String> {
    std::mem::take(&mut *notes.lock().expect("one thread"))
}

#[test]
fn a_task_is_asked_for_runs_and_is_over_and_what_ran_before_is_adopted() {
    let (mut host, notes, owner) = with_notes();
    assert_eq!(noted(&notes), ["adopted 50", "all told"]);
    let (machine, _) = offered(&host.ask(owner, 1, REPLAYABLE), 1).expect("there is room");
    assert_eq!(noted(&notes), ["ask 1"]);
    host.machine(machine, Message::Accepted { task: 1, send: 0 });
    host.machine(machine, Message::Accepted { task: 1, send: 0 });
    assert_eq!(noted(&notes), ["runs 1"], "once");
    let closed = |ending| Message::Closed { task: 1, send: 0, ending, reason: Reason::Untold };
    host.machine(machine, closed(Ending::Evicted));
    assert_eq!(noted(&notes), ["over 1, comes again"]);
    host.ask(owner, 1, REPLAYABLE);
    assert_eq!(noted(&notes), Vec::<String>::new(), "its answer is remembered");
    host.machine(4, Message::Closed { task: 50, send: 0, ending: Ending::Done, reason: Reason::Untold });
    assert_eq!(noted(&notes), ["over 50"]);
}

#[test]
fn who_is_refused_hears_for_how_long_to_stay_away_and_is_not_taken() {
    let (mut host, notes, owner) = with_notes();
    noted(&notes);
    let said = host.ask(owner, 100, REPLAYABLE);
    assert_eq!(said, [("owner".to_owned(), "nacked 100".to_owned())]);
    assert_eq!((noted(&notes), host.engine.counts().taken), (vec!["ask 100".to_owned()], 0));
    assert!(host.engine.status().contains("books are kept"));
}

#[test]
fn one_that_counts_for_nothing_is_told_of_to_nobody() {
    let (mut host, notes, _) = with_notes();
    noted(&notes);
    let free = host.client("free");
    let (machine, _) = offered(&host.ask(free, 1, REPLAYABLE), 1).expect("there is room");
    host.machine(machine, Message::Accepted { task: 1, send: 0 });
    host.machine(machine, Message::Closed { task: 1, send: 0, ending: Ending::Done, reason: Reason::Untold });
    assert_eq!(noted(&notes), ["ask 1"]);
}

#[test]
fn a_place_is_given_back_where_nothing_ran_and_not_where_a_copy_may() {
    let (mut host, notes, owner) = with_notes();
    noted(&notes);
    // Withdrawn before any machine heard of it.
    host.unread = (1..=4).map(|id| host.link(&format!("m{id}"))).collect();
    host.ask(owner, 1, SINGLE_USE);
    host.tell(owner, &[Message::Withdraw { task: 1 }]);
    assert_eq!(noted(&notes), ["ask 1", "never ran 1"]);
    host.unread.clear();
    // Offered, and the machine dies: nobody knows.
    let (machine, _) = offered(&host.ask(owner, 2, SINGLE_USE), 2).expect("there is room");
    let link = host.link(&format!("m{machine}"));
    host.ends(link, CloseReason::Broken);
    let again = host.link(&format!("m{machine}"));
    let said = host.ends(again, CloseReason::Refused);
    assert!(says(&said, "owner", "errored 2"), "{said:?}");
    assert_eq!(noted(&notes), ["ask 2", "may run 2"]);
}
