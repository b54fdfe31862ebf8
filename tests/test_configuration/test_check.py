"""Guard against a configuration that is accepted with mistakes."""

from __future__ import annotations

from dataclasses import replace

import pytest

from pistachioloft_core.messages.accepted import (
    CallerEntry,
    CollectionEntry,
    Configuration,
    InstanceEntry,
    ServiceEntry,
    ShardEntry,
    VersionEntry,
)
from pistachioloft_core.version.configuration import check_configuration, difference


def instance(number: int, domain: str, voter: bool = False) -> InstanceEntry:
    host = f'10.1.0.{number}'
    return InstanceEntry(f'e{number}', domain, f'{host}:7000', f'{host}:7002', voter)


def version(number: int, *shards: tuple[str, str]) -> VersionEntry:
    return VersionEntry(number, tuple(ShardEntry(*shard) for shard in shards))


GOOD = Configuration(
    instances=(
        instance(1, 'a', True),
        instance(2, 'b', True),
        instance(3, 'c', True),
        instance(4, 'a'),
        instance(5, 'b'),
        instance(6, 'c'),
    ),
    services=(ServiceEntry('s1'), ServiceEntry('s2')),
    callers=(CallerEntry('yard'), CallerEntry('field', 'urgent')),
    collections=(CollectionEntry('catalogue', (version(7, ('p1', 's1'), ('p2', 's2')),)),),
)


def with_versions(*versions: VersionEntry) -> Configuration:
    return replace(GOOD, collections=(CollectionEntry('catalogue', versions),))


def with_voters(*numbers: int) -> Configuration:
    entries = tuple(
        replace(entry, voter=int(entry.instance[1:]) in numbers) for entry in GOOD.instances
    )
    return replace(GOOD, instances=entries)


BAD = {
    "instance 'e1': given 2 times": replace(
        GOOD, instances=(*GOOD.instances, replace(instance(7, 'a'), instance='e1'))
    ),
    'caller_address 10.1.0.1:7000 is already that of': replace(
        GOOD,
        instances=(*GOOD.instances, replace(instance(7, 'a'), caller_address='10.1.0.1:7000')),
    ),
    "peer_address 'bne:7002' is not an IP address": replace(
        GOOD, instances=(*GOOD.instances, replace(instance(7, 'a'), peer_address='bne:7002'))
    ),
    "failure domain '' is not": replace(GOOD, instances=(*GOOD.instances, instance(7, ''))),
    'voters: none': with_voters(),
    'voters: 2; expected an odd number': with_voters(1, 2),
    'voters: 7; expected at most 5': replace(
        GOOD, instances=tuple(instance(n, 'abc'[n % 3], True) for n in range(1, 8))
    ),
    "voters: 2 of 3 are in failure domain 'a'": with_voters(1, 2, 4),
    "service 's2': given 2 times": replace(GOOD, services=(*GOOD.services, ServiceEntry('s2'))),
    "service 's 3': expected a name": replace(GOOD, services=(*GOOD.services, ServiceEntry('s 3'))),
    "caller 'yard': given 2 times": replace(
        GOOD, callers=(*GOOD.callers, CallerEntry('yard', 'urgent'))
    ),
    "caller 'x': unknown priority 'first'": replace(GOOD, callers=(CallerEntry('x', 'first'),)),
    "collection 'catalogue': given 2 times": replace(GOOD, collections=GOOD.collections * 2),
    "collection 'catalogue': has no version": with_versions(),
    'version 7 is given 2 times': with_versions(version(7, ('p', 's1')), version(7, ('p', 's1'))),
    'version 0 is not from 1': with_versions(version(0, ('p', 's1'))),
    'version 7: has no shard': with_versions(version(7)),
    "version 7: shard 'p': given 2 times": with_versions(version(7, ('p', 's1'), ('p', 's2'))),
    "shard 'p/': expected a name": with_versions(version(7, ('p/', 's1'))),
    "shard 'p' is on service 's9', which the inventory does not have": with_versions(
        version(7, ('p', 's9'))
    ),
}


def test_good_configuration_has_no_mistake() -> None:
    """Guard against a check that refuses a valid configuration."""
    assert check_configuration(GOOD) == ()


@pytest.mark.parametrize('mistake', BAD)
def test_each_mistake_is_found_alone(mistake: str) -> None:
    """Guard against a mistake that is accepted or reported as several."""
    (found,) = check_configuration(BAD[mistake])
    assert mistake in found


def test_all_mistakes_are_listed() -> None:
    """Guard against an operator who submits once for each mistake."""
    bad = replace(with_voters(), callers=BAD["caller 'x': unknown priority 'first'"].callers)
    assert len(check_configuration(bad)) == 2


def test_five_voters_over_two_domains_are_spread_as_far_as_possible() -> None:
    """Guard against a spread rule that no inventory of two domains can meet."""
    entries = tuple(instance(n, 'ab'[n % 2], True) for n in range(1, 6))
    assert check_configuration(replace(GOOD, instances=entries)) == ()


def test_difference_names_every_change() -> None:
    """Guard against a change that the operator does not see before accepting it."""
    new = Configuration(
        instances=(replace(GOOD.instances[0], failure_domain='d'), *GOOD.instances[2:]),
        services=(ServiceEntry('s1'), ServiceEntry('s3')),
        callers=(CallerEntry('yard', 'urgent'), CallerEntry('field', 'urgent')),
        collections=(
            CollectionEntry(
                'catalogue',
                (version(7, ('p1', 's3'), ('p3', 's1')), version(8, ('p1', 's1'))),
            ),
        ),
    )
    assert difference(GOOD, new) == (
        '~ instance e1: failure domain a -> d',
        '- instance e2',
        '- service s2',
        '+ service s3',
        '~ caller yard: priority routine -> urgent',
        '~ collection catalogue version 7 shard p1: service s1 -> s3',
        '- collection catalogue version 7 shard p2',
        '+ collection catalogue version 7 shard p3: service s1',
        '+ collection catalogue version 8: 1 shard',
    )
    assert difference(GOOD, GOOD) == ()
