"""An engine as its users describe it: reading, places and memory."""

import collections
import heapq
import typing


class Speed(typing.NamedTuple):
    """How fast an engine is.

    `step_s` is the time of one token that is made, `first_s` the time from
    the end of the reading to the first of them.
    """

    read_tokens_s: float
    first_s: float
    step_s: float


class Taken(typing.NamedTuple):
    """When the first token comes, when the run ends, and what was read."""

    first: float
    end: float
    read: int


class Engine:
    """Reads prompts one after the other, runs some at once.

    Who comes waits until there are a place and memory for it.  Shared parts
    that were read stay in the memory that runs leave, the newest ones.

    Parameters
    ----------
    slots, capacity : int
        Places, and tokens of memory.
    speed : Speed
    """

    def __init__(self, slots, capacity, speed):
        self._slots = slots
        self._capacity = capacity
        self._speed = speed
        self._read_until = 0.0
        self._runs = []
        self._kept = collections.OrderedDict()

    def take(self, now, read, prompt, space):
        """Take a request; gives a Taken.

        Parameters
        ----------
        read : int
            Tokens of it that no store holds.
        space : str
            Namespace of its shared parts.
        """
        held = count_held(prompt)
        begin = max(now, self._find_begin(now, held))
        begin = max(begin, self._read_until)
        read = min(read, self._count_missing(prompt, space))
        self._read_until = begin + read / self._speed.read_tokens_s
        first = self._read_until + self._speed.first_s
        end = first + prompt.tokens_out * self._speed.step_s
        heapq.heappush(self._runs, (end, held))
        self._keep(prompt, space)
        return Taken(first, end, read)

    def _count_missing(self, prompt, space):
        """Count the tokens of a prompt that are not kept here."""
        missing = prompt.tokens_in
        for part in prompt.parts[:-1]:
            if (space, part.name) not in self._kept:
                break
            missing -= part.tokens
        return missing

    def _keep(self, prompt, space):
        for part in prompt.parts[:-1]:
            self._kept[(space, part.name)] = part.tokens
            self._kept.move_to_end((space, part.name))
        taken = sum(tokens for _, tokens in self._runs)
        room = max(self._capacity - taken, 0)
        while self._kept and sum(self._kept.values()) > room:
            self._kept.popitem(last=False)

    def _find_begin(self, now, held):
        while self._runs and self._runs[0][0] <= now:
            heapq.heappop(self._runs)
        left = sorted(self._runs)
        taken = sum(tokens for _, tokens in left)
        begin = now
        while left and (
            len(left) >= self._slots or taken + held > self._capacity
        ):
            begin, tokens = left.pop(0)
            taken -= tokens
        return begin

    def load(self, now, seconds):
        """Read nothing for a time from `now` on, and lose what was kept."""
        self._read_until = max(self._read_until, now) + seconds
        self._kept.clear()


def count_held(prompt):
    """Give the memory that a request takes in the end, in tokens."""
    return prompt.tokens_in + prompt.tokens_out
