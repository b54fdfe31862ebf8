"""Helpers without state."""

from __future__ import annotations
