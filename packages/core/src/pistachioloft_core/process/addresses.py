"""Choice of the addresses that callers should use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..messages.public import CallerAddress
from ..util.rendezvous import rendezvous_weight

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ..messages.peer import InstanceRecord

ADDRESS_KEEP_MS = 5_000
# Other instances receive a stop with their next pull (every 500 ms) and return the address until
# then; three pulls allow for a lost message and a busy instance.
STOP_PROPAGATION_MS = 1_500


def choose_addresses(
    instances: Iterable[InstanceRecord], caller: str, draining_instances: Collection[str]
) -> tuple[CallerAddress, ...]:
    """Return the usable entry instances in an order that depends on the caller."""
    usable = [
        record
        for record in instances
        if record.entry
        and record.serving
        and not record.stopping
        and record.instance not in draining_instances
    ]
    usable.sort(key=lambda record: rendezvous_weight(caller, record.instance), reverse=True)
    return tuple(
        CallerAddress(record.instance, record.caller_address, record.failure_domain)
        for record in usable
    )
