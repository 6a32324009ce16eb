"""Ask the other boxes whether one has claimed the right to give orders.

A box that was without the store for a while can't tell by the log alone: the
store may have lost a claim that was made meanwhile.  Once each box that it
knows has told, after that, which ballots it has heard of, none of them can
have such a claim.  Boxes that don't answer may.
"""

import math

from landingspool.decisions.gateway import ballots

# Seconds between two questions to the boxes that have not answered.
ASK_PERIOD_S = 0.2


class BallotInquiry:
    """Asks the other boxes for the ballots that they know, and answers them.

    Parameters
    ----------
    hub
        The box's parts: `deployment`, `peering`, `view`, `clock`.
    """

    def __init__(self, hub):
        self._hub = hub
        self._number = 0
        # When the present question was first sent, and last.
        self._began = -math.inf
        self._sent = -math.inf
        self._answered = set()

    def ask(self, since, now):
        """Return whether all other boxes have answered a question.

        Those that have not are asked again.

        Parameters
        ----------
        since : float
            Answers count if their question was sent at that time or later, in
            seconds of this box's clock.
        """
        if not self._hub.peering.is_complete():
            return False
        if self._began < since:
            self._number += 1
            self._began, self._sent = now, -math.inf
            self._answered = set()
        peers = self._hub.peering.peers
        missing = peers.keys() - self._answered
        if missing and now - self._sent >= ASK_PERIOD_S:
            self._sent = now
            query = ballots.BallotQuery(self._hub.deployment.box, self._number)
            for name in missing:
                self._hub.peering.send(query, peers[name].address)
        return not missing

    def receive(self, message, address):
        """Take a ballots.BallotQuery or BallotReply of another box."""
        HANDLERS[type(message)](self, message, address)

    def _answer(self, query, address):
        reply = ballots.BallotReply(
            self._hub.deployment.box,
            query.number,
            self._hub.view.ballots.get_possible(),
        )
        self._hub.peering.send(reply, address)

    def _take(self, reply, address):
        now = self._hub.clock()
        self._hub.view.ballots.hear(reply.ballot, now, is_renewed=True)
        if reply.number == self._number:
            self._answered.add(reply.box)


HANDLERS = {
    ballots.BallotQuery: BallotInquiry._answer,
    ballots.BallotReply: BallotInquiry._take,
}
