"""What lives for one version of the accepted state."""

from __future__ import annotations
