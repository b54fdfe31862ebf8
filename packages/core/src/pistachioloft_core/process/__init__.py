"""What lives as long as the process."""

from __future__ import annotations
