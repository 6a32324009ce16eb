"""Which failure domains are evacuated: nothing new goes to their targets.

Operators put and withdraw evacuations beside the tables.  That an evacuation
stands is all that counts, whatever else its record holds: the harm of
sending there is greater than that of a domain left out.  When one is
withdrawn, the domain's targets may have become cold shortly before, and say
so only later.
"""


class Evacuation:
    """The evacuated domains, as one box knows them."""

    def __init__(self):
        self._since = {}

    def put(self, domain, now):
        """Take in that a domain is evacuated; True if that is new.

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
        """Take in that a domain's evacuation is over; True if it stood."""
        return self._since.pop(domain, None) is not None

    def holds(self, domain):
        """Tell whether a domain is evacuated."""
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
        """Give the seconds since each evacuation was heard of, by domain."""
        return {d: round(now - at, 2) for d, at in self._since.items()}
