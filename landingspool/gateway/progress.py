"""How far one request has come: what its tries share.

A request may be tried at several targets.  What the earlier tries did
bounds what the next one may do: how often it was sent, whether it may have
run, and what of a stream the caller already has.
"""

from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import routes

# Seconds before the end of a request's time at which its answer is given.
END_MARGIN_S = 0.05
# Seconds that any try gets to be answered in.
LEAST_LEFT_S = 0.01


class Progress:
    """One request under way.

    Parameters
    ----------
    call : ingress.Call
    body : bytes
    reply : listener.Reply
    now : float

    Attributes
    ----------
    work : view.Work or None
        None until its route is known.
    ends : float
        When its time is over.
    stream : stream.Stream or None
        What the caller has of a stream.
    avoid : list of str
        Targets that had it before.
    sends : int
        Tries that were sent.
    connects : int
        Tries that ended before anything was sent.
    may_have_run : bool
        Whether a byte of it reached a target that may have worked on it.
    first_byte_s : float or None
        From its start to the first byte for the caller.
    fingerprint : bytes
        The same for all arrivals that ask for the same; empty until its
        route is known.
    """

    def __init__(self, call, body, reply, now):
        self.call = call
        self.body = body
        self.reply = reply
        self.started = now
        self.work = None
        self.ends = now + call.left_s
        self.stream = None
        self.avoid = []
        self.sends = 0
        self.connects = 0
        self.may_have_run = False
        self.first_byte_s = None
        self.fingerprint = b''

    def begin(self, work):
        """Take in what is asked for; the route bounds its time."""
        self.work = work
        self.ends = self.started + min(self.call.left_s, work.route.timeout_s)
        self.fingerprint = fingerprints.compute_fingerprint(
            work.tenancy.name if work.tenancy else '',
            self.call.target,
            self.body,
        )

    def is_over(self, now):
        """Tell whether its time is over, less the margin for an answer."""
        return now >= self.ends - END_MARGIN_S

    def find_left(self, now):
        """Give the seconds in which a try has to be answered."""
        return max(self.ends - END_MARGIN_S - now, LEAST_LEFT_S)

    def may_send_again(self):
        """Tell whether it may run more than once and has a send left.

        The retry budget is asked for beside this.
        """
        return routes.may_repeat(self.work.route) and self.has_sends_left()

    def has_sends_left(self):
        """Tell whether its route allows a further send."""
        return self.sends < self.work.route.max_attempts

    def record_first(self, now):
        """Note the first byte for the caller, once."""
        if self.first_byte_s is None:
            self.first_byte_s = now - self.started
