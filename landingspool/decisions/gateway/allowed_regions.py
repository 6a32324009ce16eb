"""In which regions a request may run, and its context may be kept.

A route and a workspace may each name the regions that are their homes; where
both do, both bind.  Outside of them nothing of a request goes anywhere: not
to a target, nor its context to a store.
"""


def get_allowed_regions(route, tenancy):
    """Give the regions that a request may use; None: any.

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
    >>> sorted(get_allowed_regions(route, routes.Tenancy('w', None, False,
    ...                                           frozenset('bc'))))
    ['b']
    """
    named = [route.regions] if route.regions else []
    if tenancy is not None and tenancy.regions:
        named.append(tenancy.regions)
    return frozenset.intersection(*named) if named else None


def is_domain_allowed(domain, regions, region_of):
    """Tell whether a domain is in one of the regions.

    Parameters
    ----------
    regions : frozenset of str or None
        As get_allowed_regions.
    region_of : dict of str to str
        The region of each domain; one that is not known is no home.

    >>> is_domain_allowed('d', None, {}), is_domain_allowed('d', frozenset('a'), {})
    (True, False)
    >>> is_domain_allowed('d', frozenset('a'), {'d': 'a'})
    True
    """
    return regions is None or region_of.get(domain) in regions
