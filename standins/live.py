"""Stand-in for the platform's list of live and leaving boxes; it lags."""

import asyncio

from standins import service


class Live(service.Standin):
    """Shows each change only after a lag."""

    def __init__(self, options):
        super().__init__(options)
        self.members = {}
        self.shown = {}
        self.changes = []
        self.mode = 'up'

    @service.route('Live', 'POST', '/switch')
    async def switch(self, request, exchange):
        """Set the mode: ``up`` or ``down``."""
        self.mode = request.json()['mode']
        await exchange.send_json(200, {})

    @service.route('Live', 'GET', '/live')
    async def list_members(self, request, exchange):
        """Give the list as it was `lag` seconds ago."""
        if self.mode == 'down':
            exchange.abort()
            return
        self.apply()
        await exchange.send_json(200, {'members': list(self.shown.values())})

    @service.route('Live', 'POST', '/set')
    async def set_members(self, request, exchange):
        """Set or remove members; `now` skips the lag."""
        value = request.json()
        due = service.now()
        due += 0 if value.get('now') else self.options.lag
        for member in value.get('members', ()):
            self.changes.append((due, member['name'], member))
        for name in value.get('removed', ()):
            self.changes.append((due, name, None))
        await exchange.send_json(200, {})

    def apply(self):
        """Let the changes show whose lag is over."""
        now = service.now()
        for due, name, member in self.changes:
            if due > now:
                continue
            if member is None:
                self.shown.pop(name, None)
            else:
                self.shown[name] = member
        self.changes = [row for row in self.changes if row[0] > now]

    async def run(self):
        """Apply changes in time, so that their order stays."""
        while True:
            await asyncio.sleep(0.05)
            self.apply()


if __name__ == '__main__':
    service.main(Live, ('lag', 1.0))
