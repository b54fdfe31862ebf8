"""Tests of the parser of the register and of ranges in names."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from pistachioloft_core.messages.accepted import CallerEntry, ShardEntry
from pistachioloft_core.util.ranges import expand_range
from pistachioloft_core.version.configuration import check_configuration
from pistachioloft_core.version.register import RegisterError, RegisterText, parse_register

REGISTER = RegisterText(
    instances="""\
instance, failure_domain, caller_address, peer_address, voter
e1, bne-a, 10.1.0.1:7000, 10.1.0.1:7002, yes
e2, bne-b, 10.2.0.1:7000, 10.2.0.1:7002, yes
e3, bne-c, 10.3.0.1:7000, 10.3.0.1:7002, yes
# no disk
e4, bne-a, 10.1.0.2:7000, 10.1.0.2:7002, no
e5, bne-b, 10.2.0.2:7000, 10.2.0.2:7002,
e6, bne-c, 10.3.0.2:7000, 10.3.0.2:7002, no
""",
    services='service\nsmall-{01..50}\nshared-1\nshared-2\n',
    rules="""\
[callers]
urgent = ['dispatch']
routine = ['stock', 'assay']
""",
    collections="""\
[catalogue.40]
'small-{01..50}' = 'part-{01..50}'
shared-1 = ['wide/1', 'wide/2']
shared-2 = 'wide/{3..4}'

[catalogue.41]
same_as = 40
small-17 = ['part-17a', 'part-17b']
small-18 = []
""",
)


def parse_mistakes(text: RegisterText) -> list[RegisterError]:
    with pytest.raises(ExceptionGroup) as caught:
        parse_register(text)
    assert caught.value.split(RegisterError)[1] is None
    return [error for error in caught.value.exceptions if isinstance(error, RegisterError)]


def test_short_register_expands_to_complete_configuration() -> None:
    """Guard against ranges and versions that expand to the wrong shards."""
    configuration = parse_register(REGISTER)
    assert check_configuration(configuration) == ()
    assert len(configuration.instances) == 6
    assert [entry.voter for entry in configuration.instances] == [True] * 3 + [False] * 3
    assert len(configuration.services) == 52
    assert CallerEntry('dispatch', 'urgent') in configuration.callers
    (catalogue,) = configuration.collections
    old, new = catalogue.versions
    assert (old.version, len(old.shards)) == (40, 54)
    assert ShardEntry('part-17', 'small-17') in old.shards
    assert ShardEntry('wide/4', 'shared-2') in old.shards
    removed = {ShardEntry('part-17', 'small-17'), ShardEntry('part-18', 'small-18')}
    added = {ShardEntry('part-17a', 'small-17'), ShardEntry('part-17b', 'small-17')}
    assert set(new.shards) == set(old.shards) - removed | added


def test_line_order_does_not_change_the_configuration() -> None:
    """Guard against an export in another order that is reported as a change."""
    header, *lines = REGISTER.instances.splitlines()
    shuffled = replace(REGISTER, instances='\n'.join([header, *reversed(lines)]))
    assert parse_register(shuffled) == parse_register(REGISTER)


@pytest.mark.parametrize(
    ('file', 'old', 'new', 'location'),
    [
        ('instances', 'failure_domain', 'zone', 'line 1'),
        ('instances', '7002, no\ne5', '7002, perhaps\ne5', 'line 6'),
        ('instances', 'e4, bne-a,', 'e4,', 'line 6'),
        ('instances', 'e4,', 'e1,', 'line 6'),
        ('instances', 'e4,', '"e4,', 'line 8'),
        ('services', 'shared-2', 'shared 2', 'line 4'),
        ('services', 'shared-2', 'small-07', 'line 4'),
        ('services', '{01..50}', '{50..01}', 'line 2'),
        ('services', 'shared-2', 'same_as', 'line 4'),
        ('rules', '[callers]', '[caller]', 'caller'),
        ('rules', 'urgent', 'first', 'callers.first'),
        ('rules', "'assay'", "'dispatch'", 'callers.routine'),
        ('rules', "'assay'", '7', 'callers.routine'),
        ('rules', "'assay'", "'assay", '(file)'),
        ('collections', 'catalogue.40', 'catalogue.x40', 'catalogue.x40'),
        ('collections', 'catalogue.41', 'catalogue.041', 'catalogue.041'),
        ('collections', '= 40', '= 39', 'catalogue.41.same_as'),
        ('collections', '= 40', '= 41', 'catalogue.41.same_as'),
        ('collections', '= 40', '= 0x' + 'f' * 5000, 'catalogue.41.same_as'),
        ('collections', '= 40', '= 1' + '0' * 5000, '(file)'),
        ('collections', "'part-{01..50}'", "'part-{01..49}'", 'catalogue.40.small-{01..50}'),
        ('collections', 'wide/1', 'wide//1', 'catalogue.40.shared-1'),
        ('collections', 'shared-1 =', 'small-02 =', 'catalogue.40.small-02'),
        ('collections', '[catalogue.41]', '[catalogue]\n41 = 3\n[x.1]', 'catalogue.41'),
    ],
)
def test_register_mistake_reports_file_and_location(
    file: str, old: str, new: str, location: str
) -> None:
    """Guard against a mistake that is accepted or reported with the wrong location."""
    text = getattr(REGISTER, file)
    assert old in text
    reported = parse_mistakes(replace(REGISTER, **{file: text.replace(old, new, 1)}))
    assert location in {error.location for error in reported}
    assert all(error.file.startswith(file) for error in reported)


def test_circular_same_as_is_refused() -> None:
    """Guard against an infinite loop over same_as."""
    text = '[c.1]\nsame_as = 2\n[c.2]\nsame_as = 1\n'
    assert len(parse_mistakes(replace(REGISTER, collections=text))) == 2


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data())
def test_arbitrary_damage_raises_register_errors(data: st.DataObject) -> None:
    """Guard against a damaged file that raises anything but RegisterError."""
    file = data.draw(st.sampled_from(('instances', 'services', 'rules', 'collections')))
    text = getattr(REGISTER, file)
    position = data.draw(st.integers(0, len(text)))
    inserted = data.draw(st.text(max_size=20) | st.text('{}.0123=\'"[]#,\n', max_size=20))
    try:
        parse_register(replace(REGISTER, **{file: text[:position] + inserted + text[position:]}))
    except ExceptionGroup as group:
        others = group.split(RegisterError)[1]
        if others is not None:
            raise others from None


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.integers(0, 2000), st.integers(0, 60), st.integers(1, 6))
def test_range_expands_to_every_number_once(first: int, count: int, width: int) -> None:
    """Guard against a range that lacks its last number or its leading zeros."""
    names = expand_range(f's{{{first:0{width}d}..{first + count}}}')
    assert [int(name[1:]) for name in names] == list(range(first, first + count + 1))
    assert all(len(name) > width for name in names)
