"""Which targets name a limit, as this box has it from their answers.

A target in need names the requests a second that it takes from all boxes
together, in each answer for as long as that holds.  Answers overtake one
another, and a stream's head is read long before its end, so which of two
answers says what holds now follows from when they were asked for and heard:
an answer was made between both.  Where the order can't be told the stricter
word holds, since what is sent too much can't be taken back.
"""

import collections
import typing

from landingspool.decisions.gateway import neighbours

# Stands for the figure of a target that names no limit any more.
NO_LIMIT = 0.0
# Lives of which a word is kept: more than deployments have targets.
MOST_KNOWN = 1024


class Known(typing.NamedTuple):
    """The word of a target that holds.

    Attributes
    ----------
    per_s : float
        Requests a second, from all boxes; NO_LIMIT once it names none.
    asked, heard : float
        When the request went out whose answer said so, and when that came.
    changed : float
        When this box learnt that the figure is what it is.
    box : str
        The box that has it from the target; empty for this one.
    """

    per_s: float
    asked: float
    heard: float
    changed: float
    box: str = ''


class Change(typing.NamedTuple):
    """A figure that is new, for the log.

    `life` is the code of the target's life (neighbours.code_target).
    """

    life: int
    known: Known


class Limits:
    """The limits that targets name.

    Attributes
    ----------
    fresh : list of Change
        What changed since it was last emptied.
    """

    def __init__(self):
        self.fresh = []
        self._known = collections.OrderedDict()

    def note_named(self, name, per_s, asked, heard):
        """Take in the limit that an answer of a target named.

        Parameters
        ----------
        name : str
            Of the target's life.

        >>> limits = Limits()
        >>> limits.note_named('t', 1.8, 1.0, 1.1)
        >>> limits.find('t').per_s, limits.find('u')
        (1.8, None)
        """
        word = Known(per_s, asked, heard, heard)
        self._take(neighbours.code_target(name), word)

    def note_unnamed(self, name, asked, heard):
        """Take in an answer that named none.

        It ends a limit only if it was asked for after that was heard.

        >>> limits = Limits()
        >>> limits.note_named('t', 1.8, 1.0, 1.1)
        >>> limits.note_unnamed('t', 1.05, 1.2)
        >>> limits.find('t').per_s
        1.8
        >>> limits.note_unnamed('t', 1.15, 1.3)
        >>> limits.find('t')
        """
        life = neighbours.code_target(name)
        if life in self._known:
            self._take(life, Known(NO_LIMIT, asked, heard, heard))

    def find(self, name):
        """Give the Known limit of a target; None where it names none."""
        known = self._known.get(neighbours.code_target(name))
        return known if known is not None and known.per_s else None

    def list_named(self, names):
        """Give the Known limits of some targets, by name."""
        found = {name: self.find(name) for name in names}
        return {name: known for name, known in found.items() if known}

    def forget(self, name):
        """Forget a life that is over."""
        self._known.pop(neighbours.code_target(name), None)

    def _take(self, life, word):
        known = self._known.get(life)
        if known is not None and not supersedes(word, known):
            return
        if known is not None and known.per_s == word.per_s:
            # Said again: how long it has held is as it was.
            word = word._replace(changed=known.changed)
        else:
            self.fresh.append(Change(life, word))
        self._known[life] = word
        self._known.move_to_end(life)
        while len(self._known) > MOST_KNOWN:
            self._known.popitem(last=False)


def is_looser(word, known):
    """Tell whether a word allows more than another one."""
    if not known.per_s:
        return False
    return not word.per_s or word.per_s > known.per_s


def supersedes(word, known):
    """Tell whether a word holds from now on in place of what is known.

    One that allows more has to be the newer for sure; any other one only must
    not be the older for sure.

    >>> known = Known(2.0, 5.0, 5.3, 5.3)
    >>> supersedes(Known(3.0, 5.2, 5.4, 5.4), known)
    False
    >>> supersedes(Known(3.0, 5.4, 5.5, 5.5), known)
    True
    >>> supersedes(Known(1.0, 4.0, 5.1, 5.1), known)
    True
    >>> supersedes(Known(1.0, 4.0, 4.9, 4.9), known)
    False
    """
    if is_looser(word, known):
        return word.asked > known.heard
    return word.heard > known.asked
