"""The functions with which an instance reads and writes calls."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from .control_calls import Call, Outcome
    from .http1.messages import Request, Response


@dataclass(frozen=True, slots=True)
class ControlWire:
    """Name the functions that read calls to an instance and write their outcomes."""

    decode_call: Callable[[Request], Call]
    encode_outcome: Callable[[Outcome], Response]
