"""Manage requests from their arrival to their answer."""

from __future__ import annotations
