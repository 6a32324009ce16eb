"""Namespaces of cached context: which requests may read each other's.

A target finds cached context only under the exact namespace that a request
names, so a namespace states whatever has to be the same: the model, the
version of its weights, and who shares the context.  Targets and stores return
namespaces as text.  Models and workspaces may have any names, so these are
quoted: the text of a namespace stands for no other one, and can be read back.

    MODEL.VERSION               all workspaces, if none is isolated
    MODEL.VERSION~open~WALLS    those not isolated, beside some that are
    MODEL.VERSION~own~NAME      one isolated workspace
    ~once~NAME                  one request, whatever its model and version

WALLS stands for the set of all isolated workspaces.  So whatever is in such a
namespace was made while just this set was isolated, by others: none of them is
isolated now, whatever was in force in between.  Boxes with the same table
agree on it without a message, also after a restart.

Earlier builds joined names by dots without quoting, and had no OPEN
namespaces.  A text that only they write is read here as none.
"""

import functools
import itertools
import re
import typing
from urllib import parse as url_parse

import xxhash

# Who shares the context of a namespace.
COMMON = ''
OPEN = 'open'
OWN = 'own'
ONCE = 'once'
AUDIENCES = COMMON, OPEN, OWN, ONCE

# Characters that `urllib` never quotes, although they separate fields here.
SEPARATORS = {'.': '%2E', '~': '%7E'}
TEXT = re.compile(
    r'(?P<model>[^.~]*)(?:\.(?P<version>[0-9]+))?'
    r'(?:~(?P<audience>[a-z]+)~(?P<name>[^.~]*))?'
)
FORMER_TEXT = re.compile(r'.*\.[0-9]+(?:\..*)?', re.DOTALL)
# Namespaces that are kept as text: those of a few versions and workspaces.
MAX_CACHED = 1024
# Sets of isolated workspaces whose hash is kept.
MAX_CACHED_WALLS = 16


class Namespace(typing.NamedTuple):
    """A namespace of cached context.

    Attributes
    ----------
    model : str
        Empty if it is ONCE.
    version : int or None
        Version of the weights that made the context; None if it is ONCE.
    audience : str
        Who shares it: COMMON, OPEN, OWN or ONCE.
    name : str
        Of the set of isolated workspaces if it is OPEN, of the workspace if it
        is OWN, of the request if it is ONCE; otherwise empty.
    """

    model: str
    version: int | None
    audience: str = COMMON
    name: str = ''


def choose(model, version, workspace, isolated):
    """Return the Namespace of a request.

    Parameters
    ----------
    workspace : str or None
        None if the request has none.
    isolated : frozenset of str
        All isolated workspaces.

    >>> choose('m', 3, 'a', frozenset()) == Namespace('m', 3)
    True
    >>> choose('m', 3, 'w', frozenset('w')) == Namespace('m', 3, OWN, 'w')
    True
    >>> choose('m', 3, 'a', frozenset('w')) == choose('m', 3, 'a', frozenset())
    False
    """
    if workspace in isolated:
        return Namespace(model, version, OWN, workspace)
    if isolated:
        return Namespace(model, version, OPEN, hash_names(isolated))
    return Namespace(model, version)


def is_used(space, isolated):
    """Return whether requests have a namespace, if just these are isolated.

    >>> space = choose('m', 3, 'a', frozenset('w'))
    >>> is_used(space, frozenset('w')), is_used(space, frozenset('v'))
    (True, False)
    """
    if space.audience == OWN:
        return space.name in isolated
    if space.audience == OPEN:
        return bool(isolated) and space.name == hash_names(isolated)
    return space.audience == ONCE or not isolated


def is_former(text):
    """Return whether only earlier builds write a namespace so.

    A later build may have forms that this one doesn't know: those are not.

    >>> [is_former(text) for text in ('m.1.w', 'm-5.1.3', 'm.1', 'm.1~new~x')]
    [True, True, False, False]
    """
    return parse(text) is None and FORMER_TEXT.fullmatch(text) is not None


@functools.lru_cache(maxsize=MAX_CACHED_WALLS)
def hash_names(names):
    """Return the hash of a set of names, the same in every process."""
    joined = ','.join(sorted(map(quote, names)))
    return xxhash.xxh3_64_hexdigest(joined.encode())


class PrivateSpaces:
    """Makes namespaces that one request has for itself.

    No other request of any box has one, and no caller has a say in it: the id
    of a request is chosen by its caller, and may be another one's as well.
    The name of its model is the caller's choice, too, and may be long.

    Parameters
    ----------
    process : str
        Random text that no other process has.

    >>> spaces = PrivateSpaces('5c1e')
    >>> spaces.make() == spaces.make()
    False
    """

    def __init__(self, process):
        self._process = process
        self._numbers = itertools.count(1)

    def make(self):
        """Return a Namespace that was never returned before."""
        name = f'{self._process}-{next(self._numbers)}'
        return Namespace('', None, ONCE, name)


@functools.lru_cache(maxsize=MAX_CACHED)
def write(space):
    """Return the text of a namespace, for targets and stores.

    >>> write(Namespace('m', 3)), write(Namespace('m', 3, OWN, 'w'))
    ('m.3', 'm.3~own~w')
    >>> write(Namespace('m-5.1', 3)), write(Namespace('m', 3, OWN, 'a~b'))
    ('m-5%2E1.3', 'm.3~own~a%7Eb')
    """
    text = quote(space.model)
    if space.version is not None:
        text += f'.{space.version}'
    if space.audience == COMMON:
        return text
    return f'{text}~{space.audience}~{quote(space.name)}'


@functools.lru_cache(maxsize=MAX_CACHED)
def parse(text):
    """Return the Namespace of a text, or None if it stands for none.

    >>> parse('m-5%2E1.3').model, parse('m.3~own~w').name
    ('m-5.1', 'w')
    >>> parse('m-5.1.3') is None, parse('m.03') is None, parse('m') is None
    (True, True, True)
    """
    found = TEXT.fullmatch(text)
    if found is None:
        return None
    try:
        space = Namespace(
            unquote(found['model']),
            None if found['version'] is None else int(found['version']),
            found['audience'] or COMMON,
            unquote(found['name'] or ''),
        )
    except ValueError:
        return None
    is_known = space.audience in AUDIENCES
    is_whole = (space.version is None) == (space.audience == ONCE)
    return space if is_known and is_whole and write(space) == text else None


def quote(name):
    """Return a name in characters that separate nothing."""
    quoted = url_parse.quote(name, safe='', errors='surrogatepass')
    for separator, code in SEPARATORS.items():
        quoted = quoted.replace(separator, code)
    return quoted


def unquote(text):
    """Return the name that was quoted.

    Raises
    ------
    ValueError
        If no name is quoted so.
    """
    return url_parse.unquote(text, errors='surrogatepass')
