"""Types of HTTP that clients and servers share."""

import ipaddress
import json
import re
import typing

PORT = re.compile('[0-9]{1,5}')
MAX_PORT = 65535


class Address(typing.NamedTuple):
    """A TCP endpoint by IP address."""

    host: str
    port: int


def parse_address(text):
    """Return the Address in a text IP:PORT, or None.

    Every address of another writer comes through here, so that whatever uses
    one can connect to it or is refused by the network.

    >>> parse_address('10.0.0.1:80')
    Address(host='10.0.0.1', port=80)
    >>> [parse_address(f'10.0.0.1{port}') for port in ('', ':0', ':65536')]
    [None, None, None]
    >>> parse_address('a.example:80') is None
    True
    """
    if not isinstance(text, str):
        return None
    host, _, port = text.rpartition(':')
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return Address(host, int(port))


def read_address(text):
    """Return the Address in a text IP:PORT.

    Raises
    ------
    ValueError
        If there is none.
    """
    address = parse_address(text)
    if address is None:
        raise ValueError(f'not an address: {text!r}')
    return address


class Request(typing.NamedTuple):
    """One complete HTTP request."""

    method: str
    path: str
    query: dict
    headers: dict
    body: bytes

    def json(self):
        """Decode the body.

        Returns
        -------
        object
            The decoded body; an empty dict where there is none.

        Raises
        ------
        ValueError
            If the body is not JSON.
        """
        return json.loads(self.body) if self.body else {}


class Response(typing.NamedTuple):
    """One complete HTTP response."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        """Decode the body; raises ValueError if it is not JSON."""
        return json.loads(self.body) if self.body else {}


class BadRequest(Exception):
    """Raised for a request that can't be served; has the status to send.

    Parameters
    ----------
    status : int
    text : str
    retry_after : float, optional
        Seconds after which the caller may come again.

    Attributes
    ----------
    headers : iterable of tuple of bytes
        Further headers of the answer.
    """

    def __init__(self, status, text, retry_after=None):
        super().__init__(text)
        self.status = status
        self.text = text
        self.retry_after = retry_after
        self.headers = ()


class Unreachable(Exception):
    """Raised if an exchange with a peer failed.

    `sent` tells whether a byte of the request may have been sent, `refused`
    whether nothing listens at the address.
    """

    def __init__(self, text, sent, refused=False):
        super().__init__(text)
        self.sent = sent
        self.refused = refused
