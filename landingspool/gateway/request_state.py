"""State of one request that its attempts share.

A request may be attempted at several targets.  What the earlier attempts did
limits the next one: how often the request was sent, whether it may have been
executed, and which part of a stream the caller already has.
"""

from landingspool import bodies
from landingspool.decisions.gateway import fingerprints
from landingspool.decisions.gateway import routes

# Seconds before a request's deadline at which it is answered at the latest.
ANSWER_MARGIN_S = 0.05
# Shortest time-out of an attempt, seconds.
MIN_TIMEOUT_S = 0.01


class RequestState:
    """State of one request in progress.

    Parameters
    ----------
    call : ingress.Call
    body : bytes or bodies.Body
    reply : replies.Reply
    now : float
        Boot-time clock, seconds.
    origin : forwarded_rows.Origin or None
        Where the request comes from if another box has forwarded it.

    Attributes
    ----------
    work : view.Work or None
        None until its route is known.
    deadline : float
        Time on the boot-time clock by which it is to be answered.
    stream : stream.Stream or None
        The caller's stream, once it has begun.
    has_begun : bool
        Whether its stream has begun, perhaps in an earlier attempt of the
        caller: then `work` names the software that may continue it.
    tried_targets : list of str
        Targets of its earlier attempts.
    sends : int
        Attempts that were sent.
    sound_targets : set of str
        Targets that rejected it, or that it left while they were silent.
    has_left : bool
        Whether it left a target while that was silent.
    repeats : int
        Repeats taken from the retry budget for it.
    connections : list of connection.Connection
        Those on which it was sent.
    tried_peers : list of str
        Boxes that it was to be forwarded to.
    refusal : outcomes.PeerRefused or None
        Why the last of these did not serve it, if it said so.
    is_unsendable : bool
        Whether this box has failed to connect to its targets; it goes on
        with other boxes only.
    needs_permit : bool
        Whether targets have no permit left for this box; it goes on with
        other boxes only.
    is_counted : bool
        Whether a box has counted it.
    unsent_attempts : int
        Attempts that ended before anything was sent.
    may_have_run : bool
        Whether a byte of it reached a target that may have worked on it.
    first_byte_s : float or None
        Seconds from its arrival to the first byte of its answer.
    fingerprint : bytes
        The same for all requests with the same workspace, path and body;
        empty until the route is known.
    keys : tuple of bytes
        What targets may crash under: the fingerprint and the keys of the
        shared parts of its prompt; empty until the route is known.
    demand : demand.Demand or None
        What it asks of admission; None until its route is known.
    wait_until : float or None
        When it is refused if there was no room; None before it waits.
    release : admission_gate.Release or None
        Why it no longer waits; None if it has not waited.
    """

    def __init__(self, call, body, reply, now, origin=None):
        self.call = call
        self.body = body
        self.reply = reply
        self.started = now
        self.work = None
        self.deadline = now + call.left_s
        self.stream = None
        self.has_begun = False
        self.origin = origin
        self.tried_targets = []
        self.tried_peers = []
        self.refusal = None
        self.is_unsendable = False
        self.needs_permit = False
        self.is_counted = origin is not None and origin.counted
        self.sends = 0
        self.sound_targets = set()
        self.has_left = False
        self.repeats = 0
        self.connections = []
        self.unsent_attempts = 0
        self.may_have_run = False
        self.first_byte_s = None
        self.fingerprint = b''
        self.keys = ()
        self.demand = None
        self.wait_until = None
        self.release = None

    def begin(self, work):
        """Set the work; the route may shorten the time to the deadline."""
        self.work = work
        self.deadline = self.started + min(
            self.call.left_s, work.route.timeout_s
        )
        self.fingerprint = fingerprints.fingerprint_pieces(
            work.workspace,
            self.call.target,
            len(self.body),
            bodies.list_pieces(self.body),
        )
        self.keys = (
            self.fingerprint,
            *fingerprints.list_part_keys(work.prompt),
        )

    @property
    def last_event_id(self):
        """Id of the last event forwarded by this box; empty if none."""
        return self.stream.last_event_id if self.stream else ''

    def bind(self, binding):
        """Restrict the request to the targets that may continue its stream.

        Parameters
        ----------
        binding : stream_bindings.Binding
        """
        self.work = self.work._replace(
            service=binding.service, software=binding.software
        )
        self.has_begun = True

    def is_expired(self, now):
        """Return whether its deadline, less ANSWER_MARGIN_S, has passed."""
        return now >= self.deadline - ANSWER_MARGIN_S

    def may_end(self, hub, now):
        """Return whether a send may be answered before this box has stopped.

        Parameters
        ----------
        hub
            The box's parts: `lifetime`, `view`.
        """
        profile = hub.view.profiles.get_service(self.work.service)
        return hub.lifetime.may_send(self.work, self.deadline, profile, now)

    def get_time_left(self, now):
        """Return the seconds in which an attempt has to be answered."""
        return max(self.deadline - ANSWER_MARGIN_S - now, MIN_TIMEOUT_S)

    def may_send_again(self):
        """Return whether it may run more than once and has a send left.

        The retry budget is not checked here.
        """
        return routes.may_repeat(self.work.route) and self.has_sends_left()

    def has_sends_left(self):
        """Return whether its route allows a further send.

        A forwarded request is sent once here: the box that forwards it knows
        of the sends through other boxes.
        """
        if self.origin is not None:
            return not self.sends
        return self.sends < self.work.route.max_attempts

    def may_need_body(self):
        """Return whether it may be sent once more after the last send."""
        return routes.may_repeat(self.work.route) or self.has_sends_left()

    def record_send(self, connection):
        """Record that it is sent on a connection."""
        self.sends += 1
        self.connections.append(connection)

    def record_tried(self, target, is_sound):
        """Record that an attempt at a target has ended.

        Parameters
        ----------
        target : str
        is_sound : bool or None
            Whether the target gave no sign of a fault but silence; None if
            nothing was sent to it.
        """
        self.tried_targets.append(target)
        if is_sound:
            self.sound_targets.add(target)
        elif is_sound is not None:
            self.sound_targets.discard(target)

    def has_repeat(self):
        """Return whether the next send is covered by the retry budget."""
        return self.sends <= self.repeats

    def take_repeat(self, view, now):
        """Take a repeat of its service; return False if none is left."""
        if not view.take_repeat(self.work.service, now):
            return False
        self.repeats += 1
        return True

    def begin_round(self):
        """Forget what the earlier attempts could not reach."""
        self.tried_peers = []
        self.refusal = None
        self.is_unsendable = False
        self.needs_permit = False
        self.unsent_attempts = 0

    def record_first(self, now):
        """Record the time of the answer's first byte, once."""
        if self.first_byte_s is None:
            self.first_byte_s = now - self.started
