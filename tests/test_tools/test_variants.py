"""Guard against variants that equal the deployment that they are derived from."""

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


def test_derive_replaces_only_the_numbers_of_the_variant() -> None:
    """Guard against a variant that changes numbers outside its patterns."""
    few_entries_site = derive(SITE, 'few-entries')
    assert 'fds = 600' in few_entries_site
    assert 'zone = "bne-a", count = 1 }' in few_entries_site
    assert 'name = "few-entries"' in few_entries_site
    assert 'beat_ms = 1200' in few_entries_site
    five_voters_site = derive(SITE, 'five-voters')
    assert 'class = "core", zone = "bne-a", count = 2' in five_voters_site
    assert '[tolerate]\nmachines = 2' in five_voters_site
    assert 'beat_ms = 500' in five_voters_site
    assert 'cross_zone_ms = 4.0' in derive(SITE, 'slow-beats')


def test_derive_without_match_raises_value_error() -> None:
    """Guard against a variant that equals the deployment because a pattern no longer matches."""
    with pytest.raises(ValueError, match='nothing matches'):
        derive(SITE.replace('fds = 4100', 'fds = 8000'), 'few-entries')
