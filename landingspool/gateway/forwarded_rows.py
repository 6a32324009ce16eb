"""Read and write the headers that boxes add to forwarded requests.

They are exchanged between boxes only.  A caller's copies are dropped, and
neither targets nor callers ever receive them.
"""

import re
import typing
from urllib import parse

from landingspool.platform import ingress

PREFIX = b'x-spool-box-'
# In requests: the box that forwards it.
FORWARDED_BY = PREFIX + b'name'
# In requests: the service that the forwarding box has chosen.
SERVICE = PREFIX + b'service'
# In requests: the software version that began the stream; in answers that are
# streams: that of the target.
SOFTWARE = PREFIX + b'software'
# In requests and answers: whether the request was counted.
COUNTED = PREFIX + b'counted'
# In answers that the box itself gives: why it did not serve the request.
REASON = PREFIX + b'reason'
# In answers that the box itself gives: how often it has sent the request.
SENDS = PREFIX + b'sends'
# In answers that the box itself gives: the id of the request.
REQUEST = PREFIX + b'request'
# How often a box can have sent a request: a few digits.
COUNT = re.compile(b'[0-9]{1,9}')


class Origin(typing.NamedTuple):
    """Where a forwarded request comes from.

    Attributes
    ----------
    box : str
        Name of the box that forwards it.
    service : str
        The service that this box has chosen.
    counted : bool
        Whether it has counted the request.
    software : str or None
        The software version that has begun its stream; None if any may serve.
    """

    box: str
    service: str
    counted: bool
    software: str | None = None


class Report(typing.NamedTuple):
    """What a box did with a forwarded request that it did not serve.

    Attributes
    ----------
    reason : str
        Why it was not served; empty if the box did not say.
    sends : int
        How often it was sent to a target.
    counted : bool
        Whether any box has counted it.
    request : str or None
        Id of the request; None if the box did not say.
    """

    reason: str
    sends: int
    counted: bool
    request: str | None = None


def read_origin(headers):
    """Return the Origin of a forwarded request, or None if it has none.

    >>> read_origin(write_origin(Origin('b', 's', True)))
    Origin(box='b', service='s', counted=True, software=None)
    >>> read_origin(write_origin(Origin('b', 's', True, 'v 1%'))).software
    'v 1%'
    >>> read_origin([]) is None
    True
    """
    found = dict(headers)
    if not found.get(FORWARDED_BY):
        return None
    return Origin(
        found[FORWARDED_BY].decode('latin-1'),
        found.get(SERVICE, b'').decode('latin-1'),
        found.get(COUNTED) == b'1',
        read_software(headers),
    )


def write_origin(origin):
    """Return the headers of an Origin."""
    rows = [
        (FORWARDED_BY, origin.box.encode('latin-1')),
        (SERVICE, origin.service.encode('latin-1')),
        (COUNTED, b'%d' % origin.counted),
    ]
    if origin.software is not None:
        rows.append(write_software(origin.software))
    return rows


def read_software(headers):
    """Return the software version in the headers of a box, or None."""
    value = dict(headers).get(SOFTWARE)
    return None if value is None else parse.unquote(value.decode('latin-1'))


def write_software(software):
    """Return the header of a software version, which may be any text."""
    return SOFTWARE, parse.quote(software, safe='').encode()


def read_report(headers):
    """Return the Report in the headers of an answer.

    A box that says nothing of how often it sent the request, as where it
    could not read the request, has not sent it.

    >>> read_report(write_report(Report('busy', 1, True, 'id1')))
    Report(reason='busy', sends=1, counted=True, request='id1')
    >>> read_report([])
    Report(reason='', sends=0, counted=False, request=None)
    """
    found = dict(headers)
    sends = found.get(SENDS, b'0')
    return Report(
        found.get(REASON, b'').decode('latin-1'),
        int(sends) if COUNT.fullmatch(sends) else 0,
        found.get(COUNTED) == b'1',
        read_text(found.get(REQUEST)),
    )


def read_text(value):
    """Return the text of a header value, or None if there is none."""
    return None if value is None else value.decode('latin-1')


def write_report(report):
    """Return the headers of a Report."""
    rows = [
        (REASON, report.reason.encode('latin-1')),
        (SENDS, b'%d' % report.sends),
        (COUNTED, b'%d' % report.counted),
    ]
    if report.request is not None:
        rows.append((REQUEST, report.request.encode('latin-1')))
    return rows


def describe_unsent(headers, reason):
    """Return the headers of an answer to a request that was not sent on.

    Parameters
    ----------
    headers : list of tuple of bytes
        Of the request.
    reason : str
    """
    origin = read_origin(headers)
    counted = origin is not None and origin.counted
    return write_report(Report(reason, 0, counted, ingress.read_name(headers)))


def strip(headers):
    """Return the headers of a request or answer without those of boxes.

    >>> strip([(b'host', b'h'), (COUNTED, b'1')])
    [(b'host', b'h')]
    """
    return [row for row in headers if not row[0].startswith(PREFIX)]


def read_call(request):
    """Decode the head of a request, without the headers of boxes.

    Parameters
    ----------
    request : h11.Request

    Returns
    -------
    ingress.Call
    """
    return ingress.read_call(
        request.method.decode('latin-1'),
        request.target.decode('latin-1'),
        strip(request.headers),
    )
