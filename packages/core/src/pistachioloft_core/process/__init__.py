"""State and decisions whose scope is one process."""

from __future__ import annotations
