"""Tests of the checks of a configuration and of the difference of two configurations."""

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


VALID = Configuration(
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
    return replace(VALID, collections=(CollectionEntry('catalogue', versions),))


def with_voters(*numbers: int) -> Configuration:
    entries = tuple(
        replace(entry, voter=int(entry.instance[1:]) in numbers) for entry in VALID.instances
    )
    return replace(VALID, instances=entries)


INVALID_BY_MISTAKE = {
    "instance 'e1': given 2 times": replace(
        VALID, instances=(*VALID.instances, replace(instance(7, 'a'), instance='e1'))
    ),
    'caller_address 10.1.0.1:7000 is already that of': replace(
        VALID,
        instances=(*VALID.instances, replace(instance(7, 'a'), caller_address='10.1.0.1:7000')),
    ),
    "peer_address 'bne:7002' is not an IP address": replace(
        VALID, instances=(*VALID.instances, replace(instance(7, 'a'), peer_address='bne:7002'))
    ),
    "failure domain '' is not": replace(VALID, instances=(*VALID.instances, instance(7, ''))),
    'voters: none': with_voters(),
    'voters: 2; expected an odd number': with_voters(1, 2),
    'voters: 7; expected at most 5': replace(
        VALID, instances=tuple(instance(n, 'abc'[n % 3], True) for n in range(1, 8))
    ),
    "voters: 2 of 3 are in failure domain 'a'": with_voters(1, 2, 4),
    "service 's2': given 2 times": replace(VALID, services=(*VALID.services, ServiceEntry('s2'))),
    "service 's 3': expected a name": replace(
        VALID, services=(*VALID.services, ServiceEntry('s 3'))
    ),
    "caller 'yard': given 2 times": replace(
        VALID, callers=(*VALID.callers, CallerEntry('yard', 'urgent'))
    ),
    "caller 'x': unknown priority 'first'": replace(VALID, callers=(CallerEntry('x', 'first'),)),
    "collection 'catalogue': given 2 times": replace(VALID, collections=VALID.collections * 2),
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


def test_valid_configuration_has_no_mistakes() -> None:
    """Guard against a check that refuses a valid configuration."""
    assert check_configuration(VALID) == ()


@pytest.mark.parametrize('mistake', INVALID_BY_MISTAKE)
def test_single_mistake_is_reported_once(mistake: str) -> None:
    """Guard against a mistake that is accepted or reported more than once."""
    (reported,) = check_configuration(INVALID_BY_MISTAKE[mistake])
    assert mistake in reported


def test_all_mistakes_are_listed() -> None:
    """Guard against a check that reports only one mistake for each submission."""
    invalid = replace(
        with_voters(), callers=INVALID_BY_MISTAKE["caller 'x': unknown priority 'first'"].callers
    )
    assert len(check_configuration(invalid)) == 2


def test_five_voters_over_two_domains_are_spread_as_far_as_possible() -> None:
    """Guard against a limit per failure domain that no inventory of two domains can meet."""
    entries = tuple(instance(n, 'ab'[n % 2], True) for n in range(1, 6))
    assert check_configuration(replace(VALID, instances=entries)) == ()


def test_difference_lists_every_change() -> None:
    """Guard against a change that operators cannot review before they submit it."""
    new = Configuration(
        instances=(replace(VALID.instances[0], failure_domain='d'), *VALID.instances[2:]),
        services=(ServiceEntry('s1'), ServiceEntry('s3')),
        callers=(CallerEntry('yard', 'urgent'), CallerEntry('field', 'urgent')),
        collections=(
            CollectionEntry(
                'catalogue',
                (version(7, ('p1', 's3'), ('p3', 's1')), version(8, ('p1', 's1'))),
            ),
        ),
    )
    assert difference(VALID, new) == (
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
    assert difference(VALID, VALID) == ()
