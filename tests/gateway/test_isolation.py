"""What isolated workspaces made is read by nobody else, and by them alone."""

import json

from landingspool.decisions.gateway import plans
from landingspool.platform import tables
from tests.gateway import site
from tests.gateway import test_view

NOW = 10.0
NAMES = 'v', 'w', 'x'


def make_table(version, isolated, names=NAMES, keys_of=lambda name: [name]):
    """Return a table in which some workspaces are isolated.

    Parameters
    ----------
    isolated : collection of str
    keys_of : callable
        Returns the keys of a workspace.
    """
    table = site.make_table(version)
    table['routes'] = [{**row, 'service': 's'} for row in table['routes']]
    table['services'] = [{**table['services'][1], 'name': 's'}]
    table['tenants'] = [
        {'name': n, 'api_keys': keys_of(n), 'isolated': n in isolated}
        for n in names
    ]
    return tables.read_table(json.dumps(table).encode())


class Box:
    """The decisions of one box about the namespaces of its requests."""

    def __init__(self):
        self.view = test_view.make_view(1)
        self.view.weights.put_version('m', 1, 1.0)
        self.version = 1

    def publish(self, *isolated, **kinds):
        """Put a table in force in which some workspaces are isolated."""
        self.version += 1
        self.view.put_table(make_table(self.version, isolated, **kinds))

    def find_space(self, workspace, name='id1'):
        """Return the namespace of a request of a workspace."""
        tenancy = self.view.table.keys.get(workspace)
        return self.plan(tenancy, name).space

    def plan(self, tenancy, name='id1'):
        """Return the plan of a request."""
        work = plans.Work(
            name, test_view.ROUTE, 's', tenancy, test_view.PROMPT
        )
        return self.view.plan(work, (), NOW)


def test_no_request_id_reads_what_an_isolated_workspace_made():
    # Guards against WALL: a caller whose request's id names the workspace.
    box = Box()
    box.publish('w')
    own = box.find_space('w')
    box.view.loading.put({'t0': 0.0}, NOW)
    assert box.find_space('v', 'w') != own
    assert box.find_space('v', 'w') != box.find_space('x', 'w')
