"""Run an instance on the users' platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from ..fleet_program import make_instance, run_instance
from ..wire import ControlWire, WireFormat
from .calls import body_limit_bytes, decode_call, encode_outcome, estimate_call_bytes
from .documents import decode_routes

# The environment variable in which the platform gives the path of the settings file.
SETTINGS_VARIABLE = 'PISTACHIOLOFT_BOOT'


def main() -> None:
    """Run the instance that the settings file describes."""
    control_wire = ControlWire(decode_call, encode_outcome, estimate_call_bytes, body_limit_bytes)
    path = Path(os.environ.get(SETTINGS_VARIABLE, 'settings.toml'))
    sys.exit(
        run_instance(
            path,
            lambda settings: make_instance(settings, _wire_format, control_wire, decode_routes),
        )
    )


def _wire_format() -> WireFormat:
    # Imported only in entry instances, since imports take half of the time of a start.
    from . import traffic

    return WireFormat(
        traffic.decode_request,
        traffic.encode_attempt,
        traffic.decode_reply,
        traffic.encode_reply,
        traffic.encode_merged,
        traffic.encode_refusal,
        traffic.encode_organisation,
        traffic.encode_anonymous,
        traffic.decode_key,
    )
