"""Validate names and addresses."""

from __future__ import annotations

import ipaddress
import re

NAME_LENGTH_MAX = 64
NAME_RULE = f'a name of 1 to {NAME_LENGTH_MAX} letters, digits, dots, hyphens or underscores'
SHARD_RULE = f'{NAME_RULE}, or several of these joined by /'
SHARD_LENGTH_MAX = 200
SHOWN_LENGTH_MAX = 100
ADDRESS_RULE = 'an IP address and a port from 1 to 65535, such as 10.1.0.1:7000 or [fd00::1]:7000'

_NAME = re.compile(rf'[A-Za-z0-9][A-Za-z0-9._-]{{0,{NAME_LENGTH_MAX - 1}}}')
_IPV4 = re.compile(r'([0-9.]+):([0-9]{1,5})')
_IPV6 = re.compile(r'\[([0-9A-Fa-f:.]+)\]:([0-9]{1,5})')


def is_name(text: str) -> bool:
    """Return whether a text is a valid name."""
    return _NAME.fullmatch(text) is not None


def is_shard_name(text: str) -> bool:
    """Return whether a text is a valid shard name, such as assay/0."""
    return len(text) <= SHARD_LENGTH_MAX and all(is_name(name) for name in text.split('/'))


def split_address(text: str) -> tuple[str, int] | None:
    """Split an IP:port address; return None if the text is not a usable address."""
    match = _IPV4.fullmatch(text) or _IPV6.fullmatch(text)
    if match is None:
        return None
    try:
        address = ipaddress.ip_address(match.group(1))
    except ValueError:
        return None
    if address.version != (6 if text.startswith('[') else 4):
        return None
    port = int(match.group(2))
    # Peers and callers connect to these addresses, which excludes wildcard and multicast addresses.
    if not 1 <= port <= 65535 or address.is_unspecified or address.is_multicast:
        return None
    return str(address), port


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and port that can be connected to."""
    return split_address(text) is not None


def shorten(text: str) -> str:
    """Return the beginning of a text that may be long, for a message to people."""
    return text if len(text) <= SHOWN_LENGTH_MAX else f'{text[:SHOWN_LENGTH_MAX]}...'
