"""Typed messages of every interface."""

from __future__ import annotations
