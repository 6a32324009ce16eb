"""Notices that a box has still to tell the others, some times each.

Digests are small and may be lost: each takes the words that matter most, and
a word goes into several of them.  Who hears a new one tells it on, so that
it reaches all boxes where each digest reaches only some.
"""

from landingspool.decisions.gateway import peer_digests

# Notices in one digest: 23 bytes each, so that it stays in one packet.
MOST_TOLD = 40
# Digests in which a word is told, so that a lost datagram does not matter: of
# 195 boxes all hear it within 2.8 s though 30 % of the datagrams are lost.
TELLS = 3


class Rumors:
    """The words of one box that are not told yet, by what they are of."""

    def __init__(self):
        self._at = {}
        self._told = {}

    def put(self, fingerprint, life, at):
        """Tell from now on of what happened at `at`."""
        key = fingerprint, life
        self._at[key] = at
        self._told[key] = 0

    def tell(self, now, weigh):
        """Give the words for the next digest.

        Parameters
        ----------
        weigh : callable
            ``weigh(fingerprint)``; the greater goes first, then what was
            told least often.

        Returns
        -------
        list of neighbours.CrashNotice

        >>> rumors = Rumors()
        >>> rumors.put(b'f', 7, 1.0)
        >>> rumors.tell(1.5, lambda fingerprint: 1)
        [CrashNotice(fingerprint=b'f', life=7, age_ms=500)]
        >>> [len(rumors.tell(1.5, lambda fingerprint: 1)) for _ in 'abc']
        [1, 1, 0]
        """
        order = sorted(
            self._told, key=lambda key: (-weigh(key[0]), self._told[key])
        )
        words = []
        for key in order[:MOST_TOLD]:
            words.append(make_notice(*key, self._at[key], now))
            self._told[key] += 1
            if self._told[key] >= TELLS:
                del self._told[key], self._at[key]
        return words


def make_notice(fingerprint, life, at, now):
    """Give the word of what happened at `at`."""
    age_ms = max(int((now - at) * 1000), 0)
    return peer_digests.CrashNotice(fingerprint, life, age_ms)
