"""Consensus among the voters."""

from __future__ import annotations
