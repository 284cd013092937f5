//! Share transfers: requests to other members for parts of their shares of a team's cap, and the replies.

use super::Exchange;
use mulleinhub_protocol::Message;
use mulleinhub_quota::{ShareReply, ShareRequest};
use mulleinhub_replicated_log::{Name, SplitAmount};
use mulleinhub_sans_io::ConnectionId;

impl Exchange {
    /// Handles a member's request for a part of our share.
    pub(super) fn receive_share_request(&mut self, connection: ConnectionId, request: &ShareRequest) {
        let pools = self.pools.clone();
        self.ledger.on_share_request(self.now, &request.to, request.incarnation, request, &mut &*pools);
        self.mark_used(connection);
    }

    /// Handles a member's reply to our request: the amount it granted, which may be zero.
    pub(super) fn receive_share_reply(
        &mut self,
        connection: ConnectionId,
        from: &Name,
        team: &Name,
        amount: SplitAmount,
    ) {
        self.counters.share_grants += u64::from(amount.total() > 0);
        self.ledger.on_share_reply(self.now, from, team, amount);
        self.mark_used(connection);
    }

    /// Sends the requests and replies that are due.
    pub(super) fn transfer_shares(&mut self) {
        for request in self.ledger.take_share_requests() {
            self.send_share_request(&request);
        }
        for reply in self.ledger.take_share_replies() {
            self.send_share_reply(&reply);
        }
    }

    fn send_share_request(&mut self, request: &ShareRequest) {
        let Some(connection) = self.connection_to(&request.to) else {
            // Not connected yet: the ledger repeats the request once the connection may be there.
            self.connect(&request.to);
            return;
        };
        self.counters.share_requests += 1;
        let ShareRequest {
            team,
            month,
            incarnation: life,
            amount: SplitAmount { open, running_only: last },
            ..
        } = request;
        let message = Message::ShareAsk { team, month: *month, life: *life, open: *open, last: *last };
        self.write(connection, &message);
        self.mark_used(connection);
    }

    fn send_share_reply(&mut self, reply: &ShareReply) {
        let Some(connection) = self.connection_to(&reply.to) else { return };
        // The head of our log is pushed first, so that the requester can use the grant at once.
        self.push_now(connection);
        let ShareReply {
            team,
            month,
            entry_number: number,
            amount: SplitAmount { open, running_only: last },
            ..
        } = reply;
        let message = Message::ShareGiven { team, month: *month, open: *open, last: *last, number: *number };
        self.write(connection, &message);
    }
}
