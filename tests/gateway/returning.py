"""A platform's store that goes away, and comes back from a copy."""

import asyncio

# Seconds for which it is away.
AWAY_S = 0.3
# The topics of operators and of targets.
OPERATORS, TARGETS = 'keyed.op', 'keyed.servers'


async def return_from(store, copies, write=None, away_s=AWAY_S):
    """Have the store go, and come back with what it had at some time.

    What operators and targets wrote since isn't written again, unless by
    `write`, which is called before anybody can read.

    Parameters
    ----------
    store : platformstore.PlatformStore
    copies : dict of str to platformstore.Copy
    write : callable, optional
    """
    await store.leave()
    await asyncio.sleep(away_s)
    lose(store, copies)
    if write is not None:
        write()
    await store.come_back()


def lose(store, copies):
    """Put all topics back to what they had at some time."""
    for name, topic in store.topics.items():
        if name in copies:
            topic.restore(copies[name])


def list_rollbacks(hub, topic):
    """List how a box has noticed that a topic was rolled back."""
    events = hub.recorder.select(topic=topic)
    return [
        event.fields['noticed']
        for event in events
        if event.name == 'log_rolled_back'
    ]
