"""Regions in which a request may run, and its context may be cached.

A route and a workspace may each name allowed regions; if both do, both apply.
The data of a request stays in its allowed regions: the request is not sent to
a target elsewhere, and its context is not written to a store elsewhere.
"""


def get_allowed_regions(route, tenancy):
    """Return the regions that a request may use; None if it may use all.

    Parameters
    ----------
    route : routes.Route
    tenancy : routes.Tenancy or None

    Returns
    -------
    frozenset of str or None

    >>> from landingspool.decisions.gateway import routes
    >>> route = routes.Route('r', 'h', '/', 'safe', 1, 1, 0, (),
    ...                      regions=frozenset('ab'))
    >>> sorted(get_allowed_regions(route, None))
    ['a', 'b']
    >>> sorted(get_allowed_regions(route, routes.Tenancy('w', None,
    ...                                                  frozenset('bc'))))
    ['b']
    """
    named = [route.regions] if route.regions else []
    if tenancy is not None and tenancy.regions:
        named.append(tenancy.regions)
    return frozenset.intersection(*named) if named else None


def is_domain_allowed(domain, regions, region_of):
    """Return whether a domain is in one of the regions.

    Parameters
    ----------
    regions : frozenset of str or None
        As returned by get_allowed_regions.
    region_of : dict of str to str
        The region of each domain; an unknown domain is not allowed.

    >>> is_domain_allowed('d', None, {})
    True
    >>> is_domain_allowed('d', frozenset('a'), {})
    False
    >>> is_domain_allowed('d', frozenset('a'), {'d': 'a'})
    True
    """
    return regions is None or region_of.get(domain) in regions
