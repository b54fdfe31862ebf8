"""Build messages and configurations of a given size for the measuring scripts."""

from __future__ import annotations

from dataclasses import replace

from pistachioloft_core.messages.accepted import (
    AcceptedConfiguration,
    CallerEntry,
    CollectionEntry,
    Configuration,
    InstanceEntry,
    ServiceEntry,
    ShardEntry,
    VersionEntry,
)
from pistachioloft_core.messages.endpoint import Announcement, Holding
from pistachioloft_core.messages.peer import InstanceRecord
from pistachioloft_core.process.endpoint_view import EndpointView

COLLECTION = 'catalogue'
REPLICA_COUNT = 2


def announcement(number: int, sequence: int = 1) -> Announcement:
    """Build the announcement of one endpoint; two endpoints hold each shard."""
    service = f'service-{number // REPLICA_COUNT:05}'
    return Announcement(
        endpoint=f'{service}-s{number % REPLICA_COUNT}',
        incarnation=1_790_000_000_000,
        sequence=sequence,
        address=f'10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:8080',
        service=service,
        failure_domain=f'domain-{number % 18:02}',
        holdings=(Holding(COLLECTION, 1, (f'{service}/0',)),),
        slot_count=2,
        connection_limit=25,
    )


def instance_record(number: int, sequence: int = 1) -> InstanceRecord:
    """Build the record of one instance that is serving."""
    return InstanceRecord(
        instance=f'e{number}',
        incarnation=1_790_000_000_000,
        sequence=sequence,
        failure_domain=f'domain-{number % 18:02}',
        caller_address=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8081',
        peer_address=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8082',
        entry=True,
        stopping=False,
        serving=True,
        age_ms=0.0,
    )


def endpoint_views(count: int) -> tuple[EndpointView, ...]:
    """Build the views of usable endpoints, two for each shard."""
    views = []
    for number in range(count):
        template = announcement(number)
        views.append(
            EndpointView(
                template.endpoint,
                template.incarnation,
                template.service,
                template.failure_domain,
                f'e{number % 7 + 1}',
                template.holdings,
                template.slot_count,
                0,
                0,
                0,
                5.0,
            )
        )
    return tuple(views)


def configuration(instance_count: int, shard_count: int) -> Configuration:
    """Build a configuration with a number of instances and shards."""
    services = tuple(f'service-{number:05}' for number in range(shard_count))
    instances = (instance_record(number + 1) for number in range(instance_count))
    return Configuration(
        instances=tuple(
            InstanceEntry(
                record.instance,
                record.failure_domain,
                record.caller_address,
                record.peer_address,
                number < 9,
            )
            for number, record in enumerate(instances)
        ),
        services=tuple(ServiceEntry(name) for name in services),
        callers=(CallerEntry('restorers', 'urgent'), CallerEntry('collectors')),
        collections=(
            CollectionEntry(
                COLLECTION,
                (VersionEntry(1, tuple(ShardEntry(f'{name}/0', name) for name in services)),),
            ),
        ),
    )


def accepted(instance_count: int, shard_count: int, index: int = 1) -> AcceptedConfiguration:
    """Build an accepted configuration."""
    content = configuration(instance_count, shard_count)
    return AcceptedConfiguration(1, index, f'digest-{index:025}', content)


def renewed_announcement(template: Announcement, sequence: int) -> Announcement:
    """Build the next announcement of an endpoint."""
    return replace(template, sequence=sequence, slots_in_use=sequence % 3)
