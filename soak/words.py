"""Checks that boxes heed what targets said in their answers to them."""

from standins import behaviours

# Seconds after an answer has said that its target leaves from which on nothing
# of that box may reach it (the users' bound).
LEAVING_S = 2.0
# Seconds of a rest for what is under way, and the requests of one box that
# may come in the others (the users' bounds).
UNDER_WAY_S = 0.5
MOST_IN_REST = 2
# Seconds before an arrival in which a harmed path excuses it.
CONTACT_S = 3.0


def check_words(fleet, runner, known):
    """Yield what reached a target that should not have after its words."""
    for said in runner.said:
        box = find_box(said.name, known)
        if said.rest_s is None:
            first, last, most = LEAVING_S, float('inf'), 0
        else:
            first, last, most = UNDER_WAY_S, said.rest_s, MOST_IN_REST
        late = [
            head['at'] - said.at
            for head in runner.heads
            if first < head['at'] - said.at < last
            and find_box(behaviours.get_id(head), known) == box
            and not is_excused(fleet, runner.name, box, said.at, head['at'])
        ]
        if len(late) > most:
            word = 'leaves' if said.rest_s is None else f'rest {said.rest_s}'
            yield (
                f'{runner.name}: said "{word}" to {box}, {len(late)} '
                f'requests later, the last after {max(late):.2f} s'
            )
            return


def is_excused(fleet, target, box, told, at):
    """Tell whether a box need not have known what it was told."""
    return (
        fleet.has_started(box, told - CONTACT_S, at)
        or fleet.was_held(box, told - CONTACT_S, at)
        or fleet.was_held(target, at - CONTACT_S, at)
    )


def find_box(name, known):
    """Give the name of the box that a request went to."""
    row = known.get(name)
    return row.box if row is not None else name.rpartition(' ')[2]
