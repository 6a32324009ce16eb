"""Read checked values from the nested tables of a settings file."""

from landingspool import http
from landingspool import settings


class Reader:
    """Reads checked values from nested tables and collects the errors."""

    def __init__(self, table, path):
        self._table = table
        self._path = path
        self.errors = []

    def find(self, key):
        """Return the value under a dotted key, or None."""
        value = self._table
        for name in key.split('.'):
            if not isinstance(value, dict) or name not in value:
                return None
            value = value[name]
        return value

    def text(self, key):
        """Return a required text."""
        value = self.find(key)
        if isinstance(value, str) and value:
            return value
        return self._add_error(key, value, 'expected a text', '')

    def texts(self, key):
        """Return an optional table of texts; empty if absent."""
        value = self.find(key)
        if value is None:
            return {}
        if isinstance(value, dict) and all(
            isinstance(text, str) for text in value.values()
        ):
            return value
        return self._add_error(key, value, 'expected a table of texts', {})

    def names(self, key):
        """Return an optional list of texts; empty if absent."""
        value = self.find(key)
        if value is None:
            return []
        if isinstance(value, list) and all(
            isinstance(text, str) for text in value
        ):
            return value
        return self._add_error(key, value, 'expected a list of texts', [])

    def ports(self, key):
        """Return an optional range of ports; empty if absent.

        The range is a list or a text of its first and last port.  Without
        it a box serves as well, so that another form is not an error.
        """
        value = self.find(key)
        parts = value.split('-') if isinstance(value, str) else value
        try:
            first, last = (int(part) for part in parts)
        except (TypeError, ValueError):
            return range(0)
        return range(first, last + 1)

    def number(self, key, default):
        """Return a number of 0 or more; `default` if absent."""
        value = self.find(key)
        if value is None:
            return default
        number = isinstance(value, int | float) and not isinstance(value, bool)
        # Times, sizes and shares can't be negative.
        if number and value >= 0:
            return value
        return self._add_error(
            key, value, 'expected a number of 0 or more', default
        )

    def flag(self, key, default):
        """Return a boolean; `default` if absent."""
        value = self.find(key)
        if value is None:
            return default
        if isinstance(value, bool):
            return value
        return self._add_error(key, value, 'expected true or false', default)

    def address(self, key):
        """Return a required address."""
        return self.parse(key, self.find(key))

    def parse(self, key, value):
        """Return the address in a text IP:PORT; record an error otherwise."""
        address = http.parse_address(value)
        if address is None:
            self._add_error(key, value, 'expected IP:PORT', None)
        return address

    def _add_error(self, key, value, text, default):
        self.errors.append(settings.Error(self._path, key, value, text))
        return default
