"""Answer the requests of the other boxes: state, records, streams, caches."""

import msgspec

from landingspool.gateway import boxcalls
from landingspool.gateway import cache_follower
from landingspool.gateway import continuity
from landingspool.gateway import sources

STATE_PATH = '/state'


class PeerRequests:
    """Answers the requests of the other boxes by their path.

    Parameters
    ----------
    hub
        The box's parts: `state`, `record_server`, `cache_follower`,
        `continuity`.
    """

    def __init__(self, hub):
        self._hub = hub

    async def answer(self, request, exchange):
        """Answer a request of another box."""
        answer = ANSWERS.get(request.path)
        if answer is None:
            await exchange.send_json(404, {'error': 'no such path'})
            return
        await answer(self, request, exchange)

    async def _answer_state(self, request, exchange):
        snapshot = msgspec.to_builtins(
            self._hub.state.get_snapshot(), builtin_types=[bytes]
        )
        await boxcalls.answer(exchange, snapshot)

    async def _answer_streams(self, request, exchange):
        await self._hub.continuity.answer(request, exchange)

    async def _answer_records(self, request, exchange):
        await self._hub.record_server.answer_records(request, exchange)

    async def _answer_newest(self, request, exchange):
        await self._hub.record_server.answer_newest(request, exchange)

    async def _answer_changes(self, request, exchange):
        await self._hub.cache_follower.answer_changes(request, exchange)


ANSWERS = {
    STATE_PATH: PeerRequests._answer_state,
    sources.RECORDS_PATH: PeerRequests._answer_records,
    sources.NEWEST_PATH: PeerRequests._answer_newest,
    cache_follower.CHANGES_PATH: PeerRequests._answer_changes,
    continuity.STREAMS_PATH: PeerRequests._answer_streams,
}
