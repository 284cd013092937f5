//! Orders of the operators (caps, holds): they are pushed to all peers at once, ahead of the logs.

use super::{Exchange, MAX_ITEMS};
use mulleinhub_protocol::{self as protocol, Bad, Message, OrderWord};
use mulleinhub_replicated_log::{Directive, DirectiveAction, Directives, EffectiveDirective, Subject};
use mulleinhub_sans_io::ConnectionId;
use std::collections::BTreeMap;

/// What one peer knows of the orders.
#[derive(Debug, Default)]
pub(super) struct OrderCursor {
    /// The peer was told the orders up to this stamp of the library.
    told: u64,
    known: BTreeMap<Subject, EffectiveDirective>,
}

impl OrderCursor {
    /// The peer told an order, and so knows it.
    fn learn(&mut self, subject: Subject, standing: EffectiveDirective) {
        self.known.insert(subject, standing);
    }

    /// Those orders that the peer doesn't know. They count as told.
    fn take_new(&mut self, stamp: u64, orders: &Directives) -> Vec<(Subject, EffectiveDirective)> {
        self.told = stamp;
        let new = orders.iter().filter(|(subject, standing)| self.known.get(subject) != Some(standing));
        let new: Vec<(Subject, EffectiveDirective)> =
            new.map(|(subject, standing)| (subject.clone(), *standing)).collect();
        self.known.extend(new.iter().cloned());
        new
    }
}

/// An order as it goes over the wire.
fn order_message<'a>(subject: &'a Subject, standing: &EffectiveDirective) -> protocol::OrderTold<'a> {
    let (account, name) = match subject {
        Subject::Account(name) => (true, name),
        Subject::Team(name) => (false, name),
    };
    let (word, figure) = match standing.action {
        DirectiveAction::Reinstate {} => (OrderWord::Cleared, None),
        DirectiveAction::Suspend { finish_by } => (OrderWord::Held, finish_by),
        DirectiveAction::Cap { amount } => (OrderWord::Cap, Some(amount)),
    };
    protocol::OrderTold {
        account,
        name,
        number: standing.number,
        word,
        figure,
        differs: standing.conflicting,
    }
}

/// The order that came over the wire.
fn order_of(told: &protocol::OrderTold<'_>) -> Result<Directive, Bad> {
    let name = told.name.into();
    let subject = if told.account { Subject::Account(name) } else { Subject::Team(name) };
    let word = match (told.word, told.figure) {
        (OrderWord::Cleared, _) => DirectiveAction::Reinstate {},
        (OrderWord::Held, finish_by) => DirectiveAction::Suspend { finish_by },
        (OrderWord::Cap, Some(amount)) => DirectiveAction::Cap { amount },
        (OrderWord::Cap, None) => return Err(Bad("a cap without a figure".into())),
    };
    let order = Directive { subject, number: told.number, action: word };
    order.check().map_err(|error| Bad(error.to_string()))?;
    Ok(order)
}

impl Exchange {
    /// Takes in orders that a peer told.
    pub(super) fn receive_orders(
        &mut self,
        link: ConnectionId,
        orders: &[protocol::OrderTold<'_>],
    ) -> Result<(), Bad> {
        orders.iter().try_for_each(|told| self.receive_order(link, told))
    }

    fn receive_order(&mut self, link: ConnectionId, told: &protocol::OrderTold<'_>) -> Result<(), Bad> {
        let order = order_of(told)?;
        let standing = EffectiveDirective { conflicting: told.differs, ..order.effective() };
        let Directive { subject, number, action: word } = order;
        if let Some(peer) = self.peers.get_mut(&link) {
            peer.orders.learn(subject.clone(), standing);
        }
        if self.keeper.fleet_logs_mut().apply_directive(&subject, standing) {
            tracing::info!(?subject, number, ?word, "an order was heard");
        }
        Ok(())
    }

    /// Pushes the orders that a peer doesn't know.
    pub(super) fn push_orders(&mut self, link: ConnectionId) {
        let library = self.keeper.fleet_logs();
        let stamp = library.directives_revision();
        let Some(peer) = self.peers.get_mut(&link) else { return };
        if !peer.greeted || peer.orders.told >= stamp {
            return;
        }
        let new = peer.orders.take_new(stamp, library.directives());
        for orders in new.chunks(MAX_ITEMS) {
            let orders = orders.iter().map(|(subject, standing)| order_message(subject, standing)).collect();
            self.write(link, &Message::Orders { orders });
        }
    }
}
