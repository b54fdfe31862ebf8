"""Choose the same instances everywhere without asking: rendezvous hashing."""

from __future__ import annotations

import hashlib


def rendezvous_weight(subject: str, instance: str) -> bytes:
    """Return the weight of an instance for a subject; the highest weight is chosen."""
    # The length prefix keeps two different pairs of names from having the same bytes.
    return hashlib.blake2b(f'{len(subject)}:{subject}{instance}'.encode(), digest_size=8).digest()
