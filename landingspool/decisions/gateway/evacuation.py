"""Tracks evacuated failure domains, whose targets get no new requests.

Operators order and withdraw evacuations separately from the tables.  Only the
presence of an evacuation counts, whatever else its record holds: sending to an
evacuated domain does more harm than excluding a domain.  When an evacuation is
withdrawn, the domain's targets may have become cold shortly before and report
so only later.
"""


class Evacuation:
    """The evacuated domains, as known to one box."""

    def __init__(self):
        self._since = {}

    def put(self, domain, now):
        """Record that a domain is evacuated; return True if that is new.

        >>> evacuation = Evacuation()
        >>> evacuation.put('d', 1.0), evacuation.put('d', 2.0)
        (True, False)
        >>> evacuation.holds('d'), evacuation.holds('e')
        (True, False)
        """
        if domain in self._since:
            return False
        self._since[domain] = now
        return True

    def withdraw(self, domain):
        """Record the end of an evacuation; return True if it was in force."""
        return self._since.pop(domain, None) is not None

    def holds(self, domain):
        """Return whether a domain is evacuated."""
        return domain in self._since

    def list_domains(self):
        """List the evacuated domains."""
        return sorted(self._since)

    def find_ended(self, standing):
        """List the domains that are evacuated here, but not in `standing`.

        >>> evacuation = Evacuation()
        >>> for domain in 'de':
        ...     _ = evacuation.put(domain, 1.0)
        >>> evacuation.find_ended({'e', 'f'})
        ['d']
        """
        return [name for name in self.list_domains() if name not in standing]

    def describe(self, now):
        """Return the seconds since each evacuation was received, by domain."""
        return {d: round(now - at, 2) for d, at in self._since.items()}
