"""Durable storage under one data folder."""

from __future__ import annotations
