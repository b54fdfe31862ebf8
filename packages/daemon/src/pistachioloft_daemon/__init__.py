"""The pistachioloft daemon."""

from __future__ import annotations
