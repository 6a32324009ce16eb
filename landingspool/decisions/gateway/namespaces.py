"""Namespaces of cached context: which requests may read each other's.

A target finds cached context only under the exact namespace that a request
names, so a namespace states whatever has to be the same: the model, the
version of its weights, and who shares the context.  Targets and stores return
namespaces as text.  Models and workspaces may have any names, so these are
quoted: the text of a namespace stands for no other one, and can be read back.

    MODEL.VERSION               all workspaces
    MODEL.VERSION~own~NAME      one isolated workspace

Earlier builds joined names by dots without quoting.  A text that only they
write is not read here as another namespace.
"""

import functools
import re
import typing
from urllib import parse as url_parse

# Who shares the context of a namespace.
COMMON = ''
OWN = 'own'

# Characters that `urllib` never quotes, although they separate fields here.
SEPARATORS = {'.': '%2E', '~': '%7E'}
TEXT = re.compile(
    r'(?P<model>[^.~]*)\.(?P<version>[0-9]+)'
    r'(?:~(?P<audience>[a-z]+)~(?P<name>[^.~]*))?'
)
# Namespaces that are kept as text: those of a few versions and workspaces.
MAX_CACHED = 4096


class Namespace(typing.NamedTuple):
    """A namespace of cached context.

    Attributes
    ----------
    model : str
    version : int
        Version of the weights that made the context.
    audience : str
        Who shares it: COMMON or OWN.
    name : str
        Of the workspace if it is OWN; otherwise empty.
    """

    model: str
    version: int
    audience: str = COMMON
    name: str = ''


def choose(model, version, tenancy):
    """Return the Namespace of a request.

    Parameters
    ----------
    tenancy : routes.Tenancy or None
    """
    if tenancy is not None and tenancy.isolated:
        return Namespace(model, version, OWN, tenancy.name)
    return Namespace(model, version)


@functools.lru_cache(maxsize=MAX_CACHED)
def write(space):
    """Return the text of a namespace, for targets and stores.

    >>> write(Namespace('m', 3)), write(Namespace('m', 3, OWN, 'w'))
    ('m.3', 'm.3~own~w')
    >>> write(Namespace('m-5.1', 3)), write(Namespace('m', 3, OWN, 'a~b'))
    ('m-5%2E1.3', 'm.3~own~a%7Eb')
    """
    text = f'{quote(space.model)}.{space.version}'
    if space.audience == COMMON:
        return text
    return f'{text}~{space.audience}~{quote(space.name)}'


@functools.lru_cache(maxsize=MAX_CACHED)
def parse(text):
    """Return the Namespace of a text, or None if `write` gives no such text.

    >>> parse('m-5%2E1.3').model, parse('m.3~own~w').name
    ('m-5.1', 'w')
    >>> parse('m-5.1.3') is None, parse('m.03') is None
    (True, True)
    """
    found = TEXT.fullmatch(text)
    if found is None:
        return None
    try:
        space = Namespace(
            unquote(found['model']),
            int(found['version']),
            found['audience'] or COMMON,
            unquote(found['name'] or ''),
        )
    except ValueError:
        return None
    return space if write(space) == text else None


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
