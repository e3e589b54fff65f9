"""Checks for routes and shares that no request can reach."""

from boragetrail.configurationcheck.document import Finding, Severity, quoted

__all__ = ["check_routes", "reachable_services"]


def check_routes(document):
    """Yield the findings of the routes of a document."""
    services = {each.name for each in document.services}
    numbers_by_match, numbers_by_name = {}, {}
    for number, route in enumerate(document.routes):
        path = f"routes[{number}]"
        first = numbers_by_match.setdefault((route.host, route.prefix), number)
        if first != number:
            yield _warning(
                path,
                f"route {quoted(route.name)} can never match: routes[{first}] "
                f"has the same host and prefix",
            )
        first = numbers_by_name.setdefault(route.name, number)
        if first != number:
            yield _warning(
                path, f"name {quoted(route.name)} is that of routes[{first}]"
            )
        yield from _check_match(path, route)
        yield from _check_shares(path, route, services)


def reachable_services(route):
    """Return the names of the services that get requests of a route."""
    total = sum(share.weight for share in route.shares)
    if len(route.shares) == 1 or not total:
        return {route.shares[0].service}
    return {share.service for share in route.shares if share.weight}


def _check_match(path, route):
    """Yield findings if no request can have the host or the prefix."""
    if not route.host or ":" in route.host:
        yield _warning(
            path,
            f"host {quoted(route.host)} can never match: hosts are compared "
            f"without their port",
        )
    if route.prefix and not route.prefix.startswith("/"):
        yield _warning(
            path,
            f"prefix {quoted(route.prefix)} can never match: paths begin "
            f"with a slash",
        )
    if "?" in route.prefix:
        yield _warning(
            path,
            f"prefix {quoted(route.prefix)} can never match: paths are "
            f"compared without their query",
        )


def _check_shares(path, route, services):
    reached = reachable_services(route)
    if len(route.shares) > 1 and not any(
        share.weight for share in route.shares
    ):
        yield _warning(
            path, "all weights are 0: the first service gets all requests"
        )
    for number, share in enumerate(route.shares):
        name = quoted(share.service)
        if share.service not in services:
            yield Finding(
                Severity.ERROR, path, f"service {name} does not exist"
            )
        elif share.service not in reached:
            place = f"{path}.shares[{number}]"
            yield _warning(place, f"service {name} has weight 0")


def _warning(path, text):
    return Finding(Severity.WARNING, path, text)
