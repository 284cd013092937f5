//! Directives of the operators (caps, suspensions): they are pushed to all peers at once, ahead of the logs.

use super::{Exchange, MAX_ITEMS};
use mulleinhub_protocol::{self as protocol, Bad, Message, OrderWord};
use mulleinhub_replicated_log::{Directive, DirectiveAction, Directives, EffectiveDirective, Subject};
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

/// The directives that one peer is known to have.
#[derive(Debug, Default)]
pub(super) struct DirectiveCursor {
    /// Directives up to this revision of the log store were pushed.
    pushed_revision: u64,
    known: BTreeMap<Subject, EffectiveDirective>,
}

impl DirectiveCursor {
    /// The peer sent a directive, and so knows it.
    fn learn(&mut self, subject: Subject, effective: EffectiveDirective) {
        self.known.insert(subject, effective);
    }

    /// The directives that the peer doesn't know. They count as pushed.
    fn take_new(&mut self, revision: u64, directives: &Directives) -> Vec<(Subject, EffectiveDirective)> {
        self.pushed_revision = revision;
        let new = directives.iter().filter(|(subject, effective)| self.known.get(subject) != Some(effective));
        let new: Vec<(Subject, EffectiveDirective)> =
            new.map(|(subject, effective)| (subject.clone(), *effective)).collect();
        self.known.extend(new.iter().cloned());
        new
    }
}

/// A directive as a message of the protocol.
fn directive_message<'a>(subject: &'a Subject, effective: &EffectiveDirective) -> protocol::OrderTold<'a> {
    let (account, name) = match subject {
        Subject::Account(name) => (true, name),
        Subject::Team(name) => (false, name),
    };
    let (word, figure) = match effective.action {
        DirectiveAction::Reinstate {} => (OrderWord::Cleared, None),
        DirectiveAction::Suspend { finish_by } => (OrderWord::Held, finish_by),
        DirectiveAction::Cap { amount } => (OrderWord::Cap, Some(amount)),
    };
    protocol::OrderTold {
        account,
        name,
        number: effective.number,
        word,
        figure,
        differs: effective.conflicting,
    }
}

/// The directive in a message of the protocol.
fn directive_from_message(message: &protocol::OrderTold<'_>) -> Result<Directive, Bad> {
    let name = message.name.into();
    let subject = if message.account { Subject::Account(name) } else { Subject::Team(name) };
    let action = match (message.word, message.figure) {
        (OrderWord::Cleared, _) => DirectiveAction::Reinstate {},
        (OrderWord::Held, finish_by) => DirectiveAction::Suspend { finish_by },
        (OrderWord::Cap, Some(amount)) => DirectiveAction::Cap { amount },
        (OrderWord::Cap, None) => return Err(Bad("a cap without a figure".into())),
    };
    let directive = Directive { subject, number: message.number, action };
    directive.check().map_err(|error| Bad(error.to_string()))?;
    Ok(directive)
}

impl Exchange {
    /// Applies directives that a peer sent.
    pub(super) fn receive_directives(
        &mut self,
        connection: ConnectionId,
        directives: &[protocol::OrderTold<'_>],
    ) -> Result<(), Bad> {
        directives.iter().try_for_each(|message| self.receive_directive(connection, message))
    }

    fn receive_directive(
        &mut self,
        connection: ConnectionId,
        message: &protocol::OrderTold<'_>,
    ) -> Result<(), Bad> {
        let directive = directive_from_message(message)?;
        let effective = EffectiveDirective { conflicting: message.differs, ..directive.effective() };
        let Directive { subject, number, action } = directive;
        if let Some(peer) = self.peers.get_mut(&connection) {
            peer.directives.learn(subject.clone(), effective);
        }
        if self.ledger.fleet_logs_mut().apply_directive(&subject, effective) {
            tracing::info!(?subject, number, ?action, "directive received from a peer");
        }
        Ok(())
    }

    /// Pushes the directives that a peer doesn't know.
    pub(super) fn push_directives(&mut self, connection: ConnectionId) {
        let log_store = self.ledger.fleet_logs();
        let revision = log_store.directives_revision();
        let Some(peer) = self.peers.get_mut(&connection) else { return };
        if !peer.established || peer.directives.pushed_revision >= revision {
            return;
        }
        let new = peer.directives.take_new(revision, log_store.directives());
        for directives in new.chunks(MAX_ITEMS) {
            let orders =
                directives.iter().map(|(subject, effective)| directive_message(subject, effective)).collect();
            self.write(connection, &Message::Orders { orders });
        }
    }
}
