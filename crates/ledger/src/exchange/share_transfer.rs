//! Share transfers: asking other members for parts of their shares of a team's cap, and answering.

use super::Exchange;
use mulleinhub_protocol::Message;
use mulleinhub_quota::{ShareReply, ShareRequest};
use mulleinhub_replicated_log::{Name, SplitAmount};
use mulleinhub_sans_io::ConnectionId;

impl Exchange {
    /// A member asks for a part of our share.
    pub(super) fn receive_share_ask(&mut self, link: ConnectionId, wanted: &ShareRequest) {
        let shelf = self.shelf.clone();
        self.keeper.on_share_request(self.now, &wanted.to, wanted.incarnation, wanted, &mut &*shelf);
        self.mark_used(link);
    }

    /// A member answers what we asked it for: with a part of its share, or nothing.
    pub(super) fn receive_share_given(
        &mut self,
        link: ConnectionId,
        from: &Name,
        team: &Name,
        parts: SplitAmount,
    ) {
        self.figures.gifts += u64::from(parts.total() > 0);
        self.keeper.on_share_reply(self.now, from, team, parts);
        self.mark_used(link);
    }

    /// Sends the asks and answers that are due.
    pub(super) fn transfer_shares(&mut self) {
        for wanted in self.keeper.take_share_requests() {
            self.ask_for_share(&wanted);
        }
        for reply in self.keeper.take_share_replies() {
            self.answer_share_ask(&reply);
        }
    }

    fn ask_for_share(&mut self, wanted: &ShareRequest) {
        let Some(link) = self.link_to(&wanted.to) else {
            // It is called, and asked once it is there: the ledger asks again.
            self.call(&wanted.to);
            return;
        };
        self.figures.asks += 1;
        let ShareRequest {
            team,
            month,
            incarnation: life,
            amount: SplitAmount { open, running_only: last },
            ..
        } = wanted;
        let message = Message::ShareAsk { team, month: *month, life: *life, open: *open, last: *last };
        self.write(link, &message);
        self.mark_used(link);
    }

    fn answer_share_ask(&mut self, reply: &ShareReply) {
        let Some(link) = self.link_to(&reply.to) else { return };
        // The head of our log goes first, so that what was given can be used at once.
        self.push_now(link);
        let ShareReply {
            team,
            month,
            entry_number: number,
            amount: SplitAmount { open, running_only: last },
            ..
        } = reply;
        let message = Message::ShareGiven { team, month: *month, open: *open, last: *last, number: *number };
        self.write(link, &message);
    }
}
