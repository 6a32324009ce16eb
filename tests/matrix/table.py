"""The table of the matrix: steps, faults and the cells that can't occur."""

import itertools

from tests.matrix import faults
from tests.virtual import stories

# Each step with the story that reaches it.
STEPS = {
    'publish': 'configure',
    'append': 'configure',
    'fold': 'configure',
    'relay': 'configure',
    'accept': 'serve',
    'claim': 'serve',
    'grant': 'serve',
    'dispatch': 'serve',
    'first token': 'serve',
    'stream': 'serve',
    'finish': 'serve',
    'answer': 'serve',
    'dispatch once': 'serve',
    'finish once': 'serve',
    'answer once': 'serve',
    'export': 'keep',
    'seal': 'keep',
    'import': 'keep',
    'free': 'keep',
    'plan order': 'swap',
    'order': 'swap',
    'load': 'swap',
    'join': 'replace',
    'leave': 'replace',
    'drain': 'replace',
    'replace': 'replace',
    'leave soon': 'leaving',
}

# Steps that send nothing: they happen inside one box.
INNER = ('fold', 'accept', 'plan order', 'join', 'leave', 'drain', 'replace')
# Steps inside a target's stream: TCP keeps order and sends no part twice.
STREAMED = (
    'first token',
    'stream',
    'finish',
    'answer',
    'finish once',
    'answer once',
)
# Steps between a target and a store or the weight store: no box acts.
BACK_ENDS = ('seal', 'load')
MESSAGES = ('grant', 'relay')

NO_MESSAGE = 'the step sends no message'
ORDERED = 'a connection delivers no part late, twice or out of order'
ONE_REQUEST = 'one connection carries a request once'
NO_ANSWER = 'the step has no answer of its own'
ONE_BOX = 'only one box takes part in the step'
NO_BOX = 'no box of ours takes part in the step'


def find_reason(step, fault):
    """Give why a cell can't occur, or ``''``."""
    for applies, reason in RULES:
        if applies(step, fault):
            return reason
    return ''


RULES = (
    (
        lambda s, f: s in INNER and f.startswith(('message', 'answer')),
        NO_MESSAGE,
    ),
    (
        lambda s, f: s in INNER and f.startswith('link cut'),
        NO_MESSAGE,
    ),
    (
        lambda s, f: (
            s in STREAMED and f in ('message late', 'message doubled')
        ),
        ORDERED,
    ),
    (
        lambda s, f: s not in MESSAGES and f == 'message doubled',
        ONE_REQUEST,
    ),
    (
        lambda s, f: s in MESSAGES + STREAMED and f == 'answer lost',
        NO_ANSWER,
    ),
    (
        lambda s, f: (s == 'leave soon') != (f == 'entry frozen'),
        'this pair is a story of its own',
    ),
    (
        lambda s, f: s not in MESSAGES and f.startswith('other box'),
        ONE_BOX,
    ),
    (
        lambda s, f: (
            s in BACK_ENDS
            and f
            in ('killed', 'frozen', 'frozen twice', 'link cut')
            + ('link cut one way',)
        ),
        NO_BOX,
    ),
)

PAIR_STEPS = (
    ('claim', 'answer once'),
    ('dispatch once', 'answer once'),
    ('dispatch', 'stream'),
    ('grant', 'dispatch'),
    ('append', 'fold'),
    ('import', 'free'),
    ('order', 'load'),
    ('drain', 'replace'),
)
PAIR_FAULTS = (
    'killed',
    'frozen',
    'domain cut from platform',
    'log loses answers',
    'target dying',
    'domain replaced',
)


def list_cells():
    """List all cells that can occur, as (story, ((step, fault),))."""
    return [
        (STEPS[step], ((step, fault),))
        for step, fault in itertools.product(STEPS, faults.FAULTS)
        if not find_reason(step, fault)
    ]


def list_pairs():
    """List the pairs of faults that are run, the same fault twice too."""
    return [
        (STEPS[one], ((one, first), (two, second)))
        for one, two in PAIR_STEPS
        for first, second in itertools.product(PAIR_FAULTS, repeat=2)
    ]


def list_impossible():
    """List the cells that can't occur, with the reason."""
    return [
        (step, fault, find_reason(step, fault))
        for step, fault in itertools.product(STEPS, faults.FAULTS)
        if find_reason(step, fault)
    ]


def name_cell(cell):
    """Give the name of a cell for reports."""
    return ' + '.join(f'{step}: {fault}' for step, fault in cell[1])


def run_cell(cell, seed=1):
    """Run one cell; returns the plan and the world after it."""
    story, pairs = cell
    plan = faults.make_plan(pairs)
    world = stories.build(seed, plan, **stories.OPTIONS.get(story, {}))
    stories.STORIES[story](world)
    return plan, world
