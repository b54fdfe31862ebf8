"""State and decisions whose scope is one connection or one endpoint."""

from __future__ import annotations
