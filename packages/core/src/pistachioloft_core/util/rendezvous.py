"""Rendezvous hashing: every instance makes the same choice without communication."""

from __future__ import annotations

import hashlib


def rendezvous_weight(subject: str, instance: str) -> bytes:
    """Return the weight of an instance for a subject; the highest weight is chosen."""
    # The length prefix prevents two different pairs of names from having the same input bytes.
    return hashlib.blake2b(f'{len(subject)}:{subject}{instance}'.encode(), digest_size=8).digest()
