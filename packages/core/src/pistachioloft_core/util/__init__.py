"""Stateless utility functions."""

from __future__ import annotations
