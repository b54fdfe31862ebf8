"""Guard against answers that combine rows of several versions."""

from __future__ import annotations

from typing import Any

from pytest_bdd import parsers, scenarios, then

scenarios('one_snapshot.feature')


@then(parsers.parse('every row is of version {number:d}'))
def then_one_version(world: dict[str, Any], number: int) -> None:
    reply = world['run'].reply
    assert {row['version'] for row in reply.rows} == {number} == {reply.snapshot.version}
