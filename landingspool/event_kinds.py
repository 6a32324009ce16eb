"""The catalogue of numbered events, which docs/events.md lists."""

import typing

from landingspool import target_event_kinds


class Kind(typing.NamedTuple):
    """One kind of event, with its number and log level."""

    number: int
    name: str
    level: str
    text: str


CATALOGUE = {
    kind.name: kind
    for kind in (
        Kind(100, 'started', 'INFO', 'The daemon accepts requests.'),
        Kind(101, 'draining', 'INFO', 'A planned stop has begun.'),
        Kind(102, 'stopped', 'INFO', 'The daemon has stopped.'),
        Kind(
            103,
            'frozen',
            'WARNING',
            'This process stalled; decisions made before the stall are void.',
        ),
        Kind(104, 'reloaded', 'INFO', 'The settings were reloaded.'),
        Kind(
            105,
            'bad_settings',
            'ERROR',
            'The settings are unreadable; those of the start stay in force.',
        ),
        Kind(
            106, 'figures', 'INFO', 'Current state and counters of this box.'
        ),
        Kind(
            107,
            'proof_renewed',
            'INFO',
            'The table was read again after a stall of this process.',
        ),
        Kind(
            200, 'accepted', 'DEBUG', 'A request was accepted from a caller.'
        ),
        Kind(201, 'rejected', 'INFO', 'A request got a final rejection.'),
        Kind(
            202,
            'claimed',
            'DEBUG',
            'The claim of a request that must not be repeated was settled.',
        ),
        Kind(203, 'granted', 'DEBUG', 'A scheduler granted a request a slot.'),
        Kind(
            204,
            'dispatched',
            'DEBUG',
            'The first byte of a request is sent to a target.',
        ),
        Kind(
            205,
            'first_token',
            'DEBUG',
            'The first token of an answer was received.',
        ),
        Kind(
            206,
            'finished',
            'DEBUG',
            'The complete answer was sent to the caller.',
        ),
        Kind(207, 'retried', 'INFO', 'A request is retried.'),
        Kind(
            208,
            'resumed',
            'INFO',
            'A broken stream is resumed at the same target.',
        ),
        Kind(
            209,
            'stale',
            'INFO',
            'A grant was too old to be used; a new one is requested.',
        ),
        Kind(
            210,
            'caller_gone',
            'INFO',
            'The caller disconnected before its answer was complete.',
        ),
        Kind(
            211,
            'broken',
            'WARNING',
            'An answer that had begun could not be completed.',
        ),
        Kind(212, 'answered', 'DEBUG', 'A relayed request was answered.'),
        Kind(
            213,
            'not_served',
            'INFO',
            'A relayed request got an answer that is not a success.',
        ),
        Kind(
            214,
            'turned_away',
            'INFO',
            'A relayed request would wait too long; the caller may retry.',
        ),
        Kind(
            215,
            'lost',
            'INFO',
            'A request was sent to a target and its answer was cut off.',
        ),
        Kind(
            216,
            'barred',
            'WARNING',
            'Targets crashed under a request or a part; no target gets it.',
        ),
        Kind(
            217,
            'bar_lifted',
            'INFO',
            'A bar was lifted: the request or part did not crash its targets.',
        ),
        Kind(
            218,
            'room_short',
            'WARNING',
            'A service has too little room; requests for it are refused.',
        ),
        Kind(
            219,
            'room_free',
            'INFO',
            'No request for a service was refused for want of room lately.',
        ),
        Kind(
            220,
            'forwarded',
            'DEBUG',
            'A request is sent to a box that reaches its targets.',
        ),
        Kind(
            221,
            'continued',
            'INFO',
            'A caller continues a stream; the software is that of its start.',
        ),
        Kind(
            222,
            'not_continued',
            'INFO',
            'A stream is not continued: what began it is not known or gone.',
        ),
        Kind(
            223,
            'owner_silent',
            'INFO',
            'A box that was asked what began a stream does not answer.',
        ),
        Kind(
            224,
            'history_adopted',
            'INFO',
            'The software versions in the store were adopted after a start.',
        ),
        Kind(
            225,
            'target_crashed',
            'WARNING',
            'A target crashed while it had requests of this box.',
        ),
        Kind(
            226,
            'suspect_refused',
            'INFO',
            'A request is not sent, since targets may crash under it.',
        ),
        Kind(
            227,
            'late_weights',
            'WARNING',
            'An answer began on weights replaced longer ago than allowed.',
        ),
        Kind(
            228,
            'surplus_answer',
            'INFO',
            'A target sent an answer that belongs to no request.',
        ),
        Kind(
            229,
            'body_given_up',
            'INFO',
            'The body of a failure or rejection was too long or too slow.',
        ),
        Kind(
            230,
            'stream_waits',
            'INFO',
            'A stream that has begun waits to be tried again.',
        ),
        Kind(
            231,
            'list_not_renewed',
            'INFO',
            'The newest targets could not be read for a stream to continue.',
        ),
        Kind(
            300, 'queued', 'DEBUG', 'A request waits in the queue of its pool.'
        ),
        Kind(
            301,
            'refused',
            'INFO',
            'A scheduler refused a request for want of a target.',
        ),
        Kind(
            302,
            'spilled',
            'DEBUG',
            'A request was forwarded to another failure domain.',
        ),
        Kind(
            303,
            'lapsed',
            'WARNING',
            'The lease of a grant expired; the grant was revoked.',
        ),
        Kind(304, 'moved', 'INFO', 'A pool has a new scheduler.'),
        Kind(
            305,
            'local',
            'WARNING',
            'No scheduler answered; this box decided alone.',
        ),
        Kind(
            400,
            'published',
            'INFO',
            'A publish was accepted and is in force here.',
        ),
        Kind(
            401,
            'conflicted',
            'INFO',
            'A publish was rejected: another operator published first.',
        ),
        Kind(402, 'log_down', 'WARNING', 'The log is unreachable.'),
        Kind(403, 'log_up', 'INFO', 'The log is reachable again.'),
        Kind(
            404,
            'log_gap',
            'ERROR',
            'The log no longer holds the records after the offset in use.',
        ),
        Kind(
            405,
            'snapshot',
            'INFO',
            'A snapshot of the configuration was appended.',
        ),
        Kind(
            406,
            'settled',
            'INFO',
            'An append whose answer was lost was found in the log.',
        ),
        Kind(
            407,
            'malformed',
            'ERROR',
            'A published record is unreadable and is skipped.',
        ),
        Kind(
            408,
            'version_named',
            'INFO',
            'A new version of the weights was announced.',
        ),
        Kind(
            409,
            'version_dated',
            'INFO',
            'Another box told when a version of the weights was announced.',
        ),
        Kind(
            410,
            'version_reverted',
            'WARNING',
            'An older version of the weights than is known was read; the '
            'newer one stays in force.',
        ),
        Kind(
            411,
            'log_rolled_back',
            'ERROR',
            'A topic has lost records that were read.',
        ),
        *(Kind(*row) for row in target_event_kinds.KINDS),
        Kind(
            600, 'kept', 'DEBUG', 'A block of context was sealed in a store.'
        ),
        Kind(
            601,
            'imported',
            'DEBUG',
            'A block of context was checked and imported.',
        ),
        Kind(
            602,
            'mismatch',
            'WARNING',
            'A block failed its check and is recomputed.',
        ),
        Kind(603, 'freed', 'DEBUG', 'A block of context was freed.'),
        Kind(
            604, 'store_down', 'WARNING', 'A store does not answer or is full.'
        ),
        Kind(
            605,
            'cache_epoch',
            'INFO',
            'A target or store has started a new cache epoch.',
        ),
        Kind(
            606,
            'swept',
            'INFO',
            'Stale parts of replaced weights were freed in a store.',
        ),
        Kind(
            607,
            'swept_broken',
            'INFO',
            'Incompletely written parts were freed in a store.',
        ),
        Kind(
            608,
            'store_withdrawn',
            'WARNING',
            'A store refuses connections; nothing of it is offered.',
        ),
        Kind(
            609,
            'store_slow',
            'WARNING',
            'Fetches from a store are delayed.',
        ),
        Kind(
            610,
            'store_recovered',
            'INFO',
            'Fetches from a store are no longer delayed.',
        ),
        Kind(
            611,
            'unread',
            'WARNING',
            'A block could not be read; it is recomputed, and stays offered.',
        ),
        Kind(
            612,
            'swept_unused',
            'INFO',
            'Parts of namespaces that no request uses were freed in a store.',
        ),
        Kind(700, 'joined', 'INFO', 'A box was seen alive.'),
        Kind(701, 'suspected', 'WARNING', 'A box did not answer its probes.'),
        Kind(702, 'removed', 'WARNING', 'A box was removed from the view.'),
        Kind(
            703,
            'link_refused',
            'WARNING',
            'A link to or from a peer was refused.',
        ),
        Kind(
            704,
            'dropped',
            'WARNING',
            'A message was dropped because the queue of a link was full.',
        ),
        Kind(
            705,
            'bad_message',
            'ERROR',
            'A peer sent a message that failed its check.',
        ),
        Kind(
            706,
            'state_taken',
            'INFO',
            'State was taken from another box; the store is unavailable.',
        ),
        Kind(
            707,
            'no_state',
            'WARNING',
            'The state of another box could not be fetched.',
        ),
        Kind(
            708,
            'reader_left',
            'INFO',
            'The box that this one reads from is avoided for a time.',
        ),
        Kind(
            709,
            'group_dealt',
            'INFO',
            'This box has a group of engines that it sends to first.',
        ),
        Kind(
            800,
            'fault',
            'ERROR',
            'A task, a tick or the handling of a message raised an error.',
        ),
        Kind(801, 'no_metrics', 'WARNING', 'The metrics cannot be served.'),
        Kind(
            802,
            'left_out',
            'WARNING',
            'Log lines were dropped in the last second.',
        ),
        Kind(
            803,
            'request_fault',
            'ERROR',
            'The handling of a request raised an error; its caller got a 500.',
        ),
        Kind(
            804,
            'unanswered',
            'ERROR',
            'A request was read and its caller got no whole answer.',
        ),
        Kind(
            805,
            'no_forwarding',
            'WARNING',
            'This box takes no requests that peers forward.',
        ),
        Kind(
            806,
            'connection_closed',
            'DEBUG',
            'A connection of a caller ended, with what lay unread on it.',
        ),
        Kind(
            807,
            'record_passed_over',
            'ERROR',
            'A record raised an error; what was known before stays in force.',
        ),
        Kind(
            808,
            'out_of_room',
            'WARNING',
            'Memory for callers was short; who was refused since, by reason.',
        ),
    )
}


def describe_catalogue():
    """Return the catalogue as the table in docs/events.md."""
    lines = [
        '| number | event | level | meaning |',
        '| --- | --- | --- | --- |',
    ]
    for kind in sorted(CATALOGUE.values()):
        cells = f'LS{kind.number}', kind.name, kind.level, kind.text
        lines.append(f'| {" | ".join(cells)} |')
    return '\n'.join(lines)
