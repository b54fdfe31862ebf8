"""Guard against a variant that is the deployment it was derived from."""

from __future__ import annotations

import pytest

from tools.variants import derive

SITE = """name = "site"
machines = [
  { class = "front", fds = 4100, memory_mb = 300, link_mbps = 1000.0, zone = "bne-a", count = 3 },
  { class = "core", zone = "bne-a", count = 1, memory_mb = 296 },
]
services = [{ name = "s", slots = 2, conn_cap = 26 }]
[tolerate]
machines = 1
[net]
cross_zone_ms = 0.5
[discovery]
beat_ms = 1200
"""


def test_numbers_are_replaced_and_nothing_else() -> None:
    """Guard against a variant that changes what it does not name."""
    few = derive(SITE, 'few-entries')
    assert 'fds = 600' in few
    assert 'zone = "bne-a", count = 1 }' in few
    assert 'name = "few-entries"' in few
    assert 'beat_ms = 1200' in few
    five = derive(SITE, 'five-voters')
    assert 'class = "core", zone = "bne-a", count = 2' in five
    assert '[tolerate]\nmachines = 2' in five
    assert 'beat_ms = 500' in five
    assert 'cross_zone_ms = 4.0' in derive(SITE, 'slow-beats')


def test_pattern_that_is_not_there_is_an_error() -> None:
    """Guard against a variant that silently equals the deployment."""
    with pytest.raises(ValueError, match='nothing matches'):
        derive(SITE.replace('fds = 4100', 'fds = 8000'), 'few-entries')
