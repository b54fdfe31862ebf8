"""State and indexes that live as long as one version of the accepted state."""

from __future__ import annotations
