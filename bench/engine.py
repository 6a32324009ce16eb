"""An engine as its users describe it: reading, places and memory."""

import heapq

from landingspool.decisions.gateway import prompts

# Engine figures of the users' pages: seconds a token with few others, and
# seconds before the first one.
STEP_S = 0.0038
FIRST_S = 0.05


class Engine:
    """Reads prompts one after the other, runs some at once.

    Who comes waits until there are a place and memory for it.
    """

    def __init__(self, slots, capacity):
        self._slots = slots
        self._capacity = capacity
        self._read_until = 0.0
        self._runs = []

    def take(self, now, read, prompt):
        """Give when the first token comes and when the run ends."""
        begin = max(now, self._find_begin(now, count_held(prompt)))
        begin = max(begin, self._read_until)
        self._read_until = begin + read / prompts.READ_TOKENS_S
        first = self._read_until + FIRST_S
        end = first + prompt.tokens_out * STEP_S
        heapq.heappush(self._runs, (end, count_held(prompt)))
        return first, end

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
        """Read nothing for a time from `now` on."""
        self._read_until = max(self._read_until, now) + seconds


def count_held(prompt):
    """Give the memory that a request takes in the end, in tokens."""
    return prompt.tokens_in + prompt.tokens_out
