"""Decisions, messages and codecs of the pistachioloft query tier."""

from __future__ import annotations

__version__ = '0.1.0'
