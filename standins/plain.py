"""Stand-in for a plain service whose calls may not be repeated."""

import asyncio
import json

from standins import service


class Plain(service.Standin):
    """Does its work once for each call and remembers every call."""

    def __init__(self, options):
        super().__init__(options)
        self.runs = []
        self.mode = 'up'
        self.running = 0
        self.leaving = False

    @service.route('Plain', 'POST', '/v1/completions')
    async def call(self, request, exchange):
        """Do the work, then answer; `cut` drops the answer."""
        value = request.json()
        if self.leaving:
            reply = {'started': False, 'reason': 'leaving'}
            await exchange.send_json(503, reply)
            return
        self.running += 1
        self.runs.append(
            {'request': value['request'], 'call': value['prompt']}
        )
        await asyncio.sleep(self.options.seconds)
        self.running -= 1
        if self.mode == 'cut':
            exchange.abort()
            return
        await exchange.start_stream()
        text = json.dumps({'done': value['prompt'][:64]})
        await exchange.send_event({'index': 0, 'text': text, 'cached': 0})
        end = {'end': True, 'prompt_tokens': 1, 'output_tokens': 1}
        await exchange.send_event({**end, 'cached_tokens': 0, 'version': ''})
        await exchange.finish()

    @service.route('Plain', 'GET', '/load')
    async def load(self, request, exchange):
        """Give the load report."""
        reply = {
            'incarnation': self.options.incarnation,
            'age': 0.0,
            'slots': self.options.slots,
            'running': self.running,
            'queued_tokens': 0,
            'prefill': 100_000.0,
            'step': 0.001,
            'version': '',
            'leaving': self.leaving,
            'ready': True,
        }
        await exchange.send_json(200, reply)

    @service.route('Plain', 'GET', '/audit')
    async def audit(self, request, exchange):
        """Give every call that was run."""
        await exchange.send_json(200, {'runs': self.runs})

    @service.route('Plain', 'POST', '/switch')
    async def switch(self, request, exchange):
        """Set the mode, the duration or the leaving mark."""
        value = request.json()
        self.mode = value.get('mode', self.mode)
        self.leaving = value.get('leaving', self.leaving)
        self.options.seconds = value.get('seconds', self.options.seconds)
        await exchange.send_json(200, {})


if __name__ == '__main__':
    service.main(Plain, ('seconds', 0.02), ('slots', 8), ('incarnation', 'p1'))
