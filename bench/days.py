"""Writes a day of our own for each kind of trouble and its variants.

`python -m bench.days FOLDER` writes one TOML file each, to be played by the
users' bench.  Every kind comes in the middle of calm traffic, again while
new weights are brought to the targets, and once more while the routes change.
"""

import pathlib
import sys

DAY = """[[day]]
name = "{name}"
slot = "trouble"
seed = {seed}
one = 0.8
zero = 0.3
length_s = 30.0
goal = {{ floor = 0.3 }}
plan = [
  {{ at = 11.0, kind = "version_bump", count = 0 }},
  {{ at = 20.5, kind = "config_change", how = "route" }},
{plan}]
faults = [
{faults}]
"""
# Seconds at which each kind strikes.
TIMES = (3.0, 12.0, 20.0)
SEED = 20261202

# Kinds that are planned work, and those that are not: kind, then the fields
# of each variant.
PLAN = (
    ('hup', 'share = 0.6, gap_s = 0.3'),
    ('roll_term', 'share = 0.5, x = 1.0, gap_s = 1.0'),
    ('roll_term', 'how = "busy", share = 0.4, gap_s = 1.0'),
    ('roll_term', 'how = "remove", share = 0.2, gap_s = 1.0'),
    ('add_nodes', 'count = 1'),
    ('release', 'share = 0.4, x = 1.0, gap_s = 0.8'),
    ('scale_in', 'share = 0.15'),
    ('scale_in', 'share = 0.15, how = "spot", x = 2.0'),
    ('scale_out', 'share = 0.3, gap_s = 1.0'),
    ('config_change', 'how = "route"'),
    ('config_change', 'how = "weights"'),
    ('config_change', 'how = "timeout"'),
    ('config_change', 'how = "tenant"'),
    ('config_change', 'how = "idle"'),
    ('config_storm', 'for_s = 3.0, gap_s = 0.2'),
    ('big_config', 'count = 200'),
    ('revoke', 'count = 2, gap_s = 0.4'),
    ('revoke', 'count = 1, how = "last"'),
    ('version_bump', 'count = 0'),
    ('replace_core', 'x = 2.0, how = "planned"'),
)
FAULTS = (
    ('burst', 'x = 1.8, for_s = 3.0'),
    ('retry_abuse', 'x = 3.0, share = 0.3, for_s = 4.0'),
    ('give_up', 'share = 0.3, for_s = 4.0'),
    ('srv_crash', 'share = 0.2, for_s = 3.0'),
    ('srv_crash', 'share = 0.2, for_s = 4.0, how = "dark"'),
    ('srv_crash', 'share = 0.1, how = "gone"'),
    ('srv_grey', 'share = 0.2, for_s = 4.0, how = "errors"'),
    ('srv_grey', 'share = 0.2, for_s = 4.0, how = "shed"'),
    ('srv_grey', 'share = 0.2, for_s = 4.0, how = "busy"'),
    ('srv_grey', 'share = 0.2, for_s = 4.0, how = "hang"'),
    ('srv_grey', 'share = 0.2, for_s = 4.0, how = "reset"'),
    ('srv_grey', 'share = 0.2, for_s = 4.0, how = "mute"'),
    ('srv_grey', 'share = 0.2, for_s = 4.0, how = "slow", x = 8.0'),
    ('srv_slow', 'share = 0.2, x = 4.0, for_s = 4.0'),
    ('srv_cut', 'share = 0.2, for_s = 4.0'),
    ('srv_cut', 'share = 0.2, for_s = 4.0, how = "fronts", x = 0.3'),
    ('srv_cut', 'share = 0.3, for_s = 4.0, how = "some", x = 0.4'),
    ('srv_cut', 'share = 0.2, for_s = 4.0, how = "one_way"'),
    ('replace_with_reuse', 'share = 0.1'),
    ('replace_with_reuse', 'share = 0.1, how = "drain"'),
    ('replace_with_reuse', 'share = 0.1, how = "dark"'),
    ('answer_lost', 'share = 0.5, x = 0.1, for_s = 4.0'),
    ('answer_lost', 'share = 0.5, x = 0.1, for_s = 4.0, how = "reset"'),
    ('garble', 'share = 0.5, x = 0.05, for_s = 4.0'),
    ('garble', 'share = 0.5, x = 0.05, for_s = 4.0, how = "extra"'),
    ('garble', 'share = 0.5, x = 0.05, for_s = 4.0, how = "extra late"'),
    ('garble', 'share = 0.5, x = 0.05, for_s = 4.0, how = "unframed"'),
    ('garble', 'share = 0.5, x = 0.05, for_s = 4.0, how = "early"'),
    ('garble', 'share = 0.5, x = 0.05, for_s = 4.0, how = "rot"'),
    ('applied_late', 'x = 0.5, for_s = 5.0, how = "orders"'),
    ('applied_late', 'x = 0.5, for_s = 5.0, how = "cloud"'),
    ('applied_late', 'x = 0.5, for_s = 5.0, how = "grants"'),
    ('applied_late', 'x = 0.5, for_s = 5.0, how = "all"'),
    ('node_kill', 'share = 0.2'),
    ('node_kill', 'share = 0.2, how = "power", for_s = 2.0'),
    ('node_kill', 'on = "core", count = 1, how = "leader race drain"'),
    ('node_kill', 'on = "core", count = 1, for_s = 2.0, how = "meet drain"'),
    ('herd_kill', 'share = 0.6'),
    ('herd_kill', 'share = 0.6, how = "power"'),
    ('node_freeze', 'share = 0.3, for_s = 3.0'),
    ('node_slow', 'share = 0.3, x = 5.0, for_s = 4.0'),
    ('replace_core', 'x = 2.0, how = "leader"'),
    ('after_ack_kill', 'for_s = 2.0, how = "kill"'),
    ('after_ack_kill', 'for_s = 2.0, how = "timed"'),
    ('zone_cut', 'for_s = 4.0, how = "drop"'),
    ('zone_cut', 'for_s = 4.0, how = "refuse"'),
    ('zone_cut', 'for_s = 4.0, how = "reset meet"'),
    ('core_cut', 'count = 2, for_s = 4.0'),
    ('core_cut', 'count = 2, for_s = 4.0, how = "reset"'),
    ('core_cut', 'count = 2, for_s = 4.0, how = "one_way"'),
    ('core_cut', 'count = 1, for_s = 4.0, how = "leader race"'),
    ('core_cut', 'count = 1, for_s = 5.0, how = "giver"'),
    ('node_cut', 'share = 0.3, for_s = 5.0'),
    ('node_cut', 'share = 0.3, for_s = 5.0, how = "reset revoke"'),
    ('node_cut', 'share = 0.3, for_s = 5.0, how = "all"'),
    ('node_cut', 'share = 0.2, for_s = 4.0, how = "servers"'),
    ('lossy', 'x = 0.03, for_s = 4.0'),
    ('platform_down', 'for_s = 4.0, how = "silent"'),
    ('platform_down', 'for_s = 4.0, how = "busy"'),
    ('platform_down', 'for_s = 4.0, how = "reset"'),
    ('platform_down', 'for_s = 4.0, how = "silent lapse"'),
    ('platform_down', 'for_s = 7.0, how = "nodes silent revoke", share = 0.4'),
    ('platform_down', 'for_s = 7.0, how = "nodes many revoke", share = 0.4'),
    ('platform_slow', 'x = 60.0, for_s = 4.0'),
    ('platform_lost', 'x = 0.4, for_s = 4.0'),
    ('platform_lost', 'x = 0.4, for_s = 4.0, how = "late"'),
    ('platform_compact', 'for_s = 1.0, x = 4.0, how = "keyed"'),
    ('platform_compact', 'for_s = 1.0, x = 4.0, how = "drain keyed"'),
    ('platform_compact', 'for_s = 1.0, x = 4.0, how = "rebalance"'),
    ('platform_compact', 'for_s = 1.0, x = 4.0, how = "rewind"'),
    ('events_gap', 'share = 0.5, for_s = 4.0'),
    ('clock_step', 'x = 2500.0, share = 0.5, for_s = 4.0'),
    ('clock_step', 'x = 2500.0, share = 0.5, for_s = 4.0, how = "back"'),
    ('reset_conns', 'share = 0.5, x = 0.5'),
)


def write_day(kind, fields, planned, number):
    """Give the name and the text of the day for one variant."""
    rows = ''.join(
        f'  {{ at = {at}, kind = "{kind}", {fields} }},\n' for at in TIMES
    )
    name = f'{number:03d}-{kind}'
    text = DAY.format(
        name=name,
        seed=SEED + number,
        plan=rows if planned else '',
        faults='' if planned else rows,
    )
    return name, text


def main(folder):
    """Write all days into a folder."""
    path = pathlib.Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    variants = [(k, f, True) for k, f in PLAN]
    variants += [(k, f, False) for k, f in FAULTS]
    for number, (kind, fields, planned) in enumerate(variants):
        name, text = write_day(kind, fields, planned, number)
        (path / f'{name}.toml').write_text(text)


if __name__ == '__main__':
    main(sys.argv[1])
