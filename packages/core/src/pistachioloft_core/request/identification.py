"""Find the organisation of a request by the key that its caller sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ResultCode
from .attempts import Refuse

if TYPE_CHECKING:
    from ..messages.routes import Organisation, Route
    from ..version.route_table import RouteTable


def identify_caller(
    routes: RouteTable, route: Route, key: str | None
) -> Refuse | Organisation | None:
    """Return the organisation of a request, None without one, or the refusal of its key."""
    organisation = routes.find_by_key(key) if key is not None else None
    if organisation is not None or route.public or not routes.organisations:
        return organisation
    # The key itself must not appear in any log.
    reason = 'no key' if key is None else 'a key that no organisation holds'
    return Refuse(ResultCode.UNKNOWN_KEY, f'{reason} in version {routes.version}')


def request_priority(route: Route, organisation: Organisation | None) -> int:
    """Return the priority of a request, 0 being the highest; an organisation's goes first."""
    if organisation is None or organisation.priority is None:
        return route.priority
    return organisation.priority
