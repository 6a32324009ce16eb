"""The catalogue of numbered events, which docs/events.md prints."""

import typing


class Kind(typing.NamedTuple):
    """One entry of the catalogue."""

    number: int
    name: str
    level: str
    text: str


CATALOGUE = {
    kind.name: kind
    for kind in (
        Kind(100, 'started', 'INFO', 'The daemon serves.'),
        Kind(101, 'draining', 'INFO', 'A planned stop has begun.'),
        Kind(102, 'stopped', 'INFO', 'The daemon has ended.'),
        Kind(
            103,
            'frozen',
            'WARNING',
            'This process did not run; what it had decided before is void.',
        ),
        Kind(104, 'reloaded', 'INFO', 'The settings were read anew.'),
        Kind(
            105,
            'bad_settings',
            'ERROR',
            'The settings can not be read; those of the start stay.',
        ),
        Kind(106, 'figures', 'INFO', 'What this box has and did so far.'),
        Kind(
            107,
            'proof_renewed',
            'INFO',
            'The table was read anew after this process had not run.',
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
        Kind(203, 'granted', 'DEBUG', 'A scheduler gave a request its place.'),
        Kind(
            204,
            'dispatched',
            'DEBUG',
            'The first byte of a request goes to a target.',
        ),
        Kind(205, 'first_token', 'DEBUG', 'The first token came back.'),
        Kind(
            206,
            'finished',
            'DEBUG',
            'The whole answer was handed to the caller.',
        ),
        Kind(207, 'retried', 'INFO', 'A request is tried again.'),
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
            'A grant was too old to be used and is asked for again.',
        ),
        Kind(
            210,
            'caller_gone',
            'INFO',
            'The caller left before its answer was whole.',
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
            'A relayed request got an answer that is no success.',
        ),
        Kind(
            214,
            'turned_away',
            'INFO',
            'A relayed request would wait too long and may come back.',
        ),
        Kind(
            215,
            'lost',
            'INFO',
            'A request was sent to a target and its answer broke off.',
        ),
        Kind(
            216,
            'barred',
            'WARNING',
            'Targets ended under a request; no further one gets it.',
        ),
        Kind(
            217,
            'bar_lifted',
            'INFO',
            'A request may be sent again: it did not end its targets.',
        ),
        Kind(
            300, 'queued', 'DEBUG', 'A request waits in the queue of its pool.'
        ),
        Kind(301, 'refused', 'INFO', 'A scheduler refused a request.'),
        Kind(
            302,
            'spilled',
            'DEBUG',
            'A request was sent on to another failure domain.',
        ),
        Kind(
            303,
            'lapsed',
            'WARNING',
            'A grant was not heard of again and was taken back.',
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
            'A publish lost against another operator.',
        ),
        Kind(402, 'log_down', 'WARNING', 'The log can not be reached.'),
        Kind(403, 'log_up', 'INFO', 'The log can be reached again.'),
        Kind(
            404,
            'log_gap',
            'ERROR',
            'The log no longer holds the records after our offset.',
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
            'A published record can not be read and is left out.',
        ),
        Kind(408, 'version_named', 'INFO', 'New weights were named.'),
        Kind(
            500, 'leaving', 'INFO', 'A target is leaving and gets no new work.'
        ),
        Kind(501, 'target_down', 'WARNING', 'A target does not answer.'),
        Kind(502, 'target_up', 'INFO', 'A target answers.'),
        Kind(503, 'ordered', 'INFO', 'A fenced order was sent to a target.'),
        Kind(504, 'order_refused', 'WARNING', 'A target refused an order.'),
        Kind(505, 'planned', 'DEBUG', 'An order to a target was planned.'),
        Kind(
            506,
            'holding',
            'INFO',
            'This box may give orders, under the fence told.',
        ),
        Kind(
            507,
            'lease_lost',
            'WARNING',
            'This box may no longer give orders.',
        ),
        Kind(
            508, 'unreached', 'WARNING', 'No connection to a target comes up.'
        ),
        Kind(509, 'reached', 'INFO', 'A target can be connected to again.'),
        Kind(
            510,
            'target_reborn',
            'INFO',
            'A target has started again under its id; older beliefs ended.',
        ),
        Kind(
            511,
            'evacuated',
            'WARNING',
            'Nothing more goes to the targets of a failure domain.',
        ),
        Kind(
            512,
            'evacuation_over',
            'INFO',
            'The targets of a domain may be used again; they count as cold.',
        ),
        Kind(
            513,
            'limit_named',
            'WARNING',
            'A target names how many requests it takes from all boxes.',
        ),
        Kind(
            514,
            'limit_over',
            'INFO',
            'A target does not name a limit any more.',
        ),
        Kind(
            515,
            'bad_word',
            'ERROR',
            'What a target says of itself can not be read; nothing changes.',
        ),
        Kind(
            516,
            'leaving_told',
            'WARNING',
            'A target says in an answer that it leaves.',
        ),
        Kind(
            517,
            'leaving_over',
            'INFO',
            'A target that had said that it leaves is gone.',
        ),
        Kind(
            518,
            'rest_asked',
            'WARNING',
            'A target wants no request of this box for a time.',
        ),
        Kind(
            519,
            'rest_over',
            'INFO',
            'The rest that a target asked for is over.',
        ),
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
            'A block failed its check and is computed again.',
        ),
        Kind(603, 'freed', 'DEBUG', 'A block of context was freed.'),
        Kind(
            604, 'store_down', 'WARNING', 'A store does not answer or is full.'
        ),
        Kind(
            605,
            'cache_epoch',
            'INFO',
            'A target or store has begun to keep context anew.',
        ),
        Kind(
            606,
            'swept',
            'INFO',
            'Parts of replaced weights were freed in a store.',
        ),
        Kind(
            607,
            'swept_broken',
            'INFO',
            'Parts that broke off while written were freed in a store.',
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
            'A queue of a link was full and a message was dropped.',
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
            'The state of another box was taken, the store being away.',
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
            'A box that this one reads from is left for a time.',
        ),
        Kind(
            800,
            'fault',
            'ERROR',
            'A task ended by an error that nothing handled.',
        ),
        Kind(801, 'no_metrics', 'WARNING', 'The metrics can not be served.'),
        Kind(
            802,
            'left_out',
            'WARNING',
            'Lines were left out of the log in the last second.',
        ),
        Kind(
            803,
            'request_fault',
            'ERROR',
            'The handling of a request raised an error; its caller got a 500.',
        ),
    )
}


def describe_catalogue():
    """Give the catalogue as the table that docs/events.md holds."""
    lines = [
        '| number | event | level | meaning |',
        '| --- | --- | --- | --- |',
    ]
    for kind in sorted(CATALOGUE.values()):
        cells = f'LS{kind.number}', kind.name, kind.level, kind.text
        lines.append(f'| {" | ".join(cells)} |')
    return '\n'.join(lines)
