"""Guard against new work for a draining endpoint."""

from __future__ import annotations

from pytest_bdd import given, parsers, scenarios, then, when

from pistachioloft_core.connection import owner
from tests.test_membership.network import Network
from tests.test_owner.harness import Harness, make_record

scenarios('leaving_endpoint.feature')


@given(
    parsers.parse('{count:d} instances and the endpoint "{endpoint}" that announces itself'),
    target_fixture='world',
)
def given_instances(count: int, endpoint: str) -> dict:
    names = [f'e{number}' for number in range(1, count + 1)]
    isolated: set[str] = set()
    network = Network(names, lambda source, target: None if target in isolated else 0.5)
    network.run(600)
    world = {'network': network, 'names': names, 'isolated': isolated, 'targets': list(names)}
    world['control'] = network.keep_announcing(endpoint, world['targets'])
    network.run(2000)
    assert all(network.usable(name) == {endpoint} for name in names)
    return world


@given(parsers.parse('"{instance}" receives nothing from the other instances'))
def given_isolated_instance(world: dict, instance: str) -> None:
    world['isolated'].add(instance)
    world['targets'].remove(instance)


@when(parsers.parse('"{endpoint}" announces to one instance that it is draining'))
def when_draining(world: dict, endpoint: str) -> None:
    world['targets'][:] = world['targets'][:1]
    world['control']['fields'] = {'draining': True}


@when(parsers.parse('{milliseconds:d} ms pass'))
def when_time_passes(world: dict, milliseconds: int) -> None:
    world['network'].run(milliseconds)


@then(parsers.parse('no instance plans work for "{endpoint}"'))
def then_unused(world: dict, endpoint: str) -> None:
    for name in world['names']:
        assert endpoint not in world['network'].usable(name)


@given(
    parsers.parse('an owner with the attempt "{first}" in flight and "{second}" in the queue'),
    target_fixture='harness',
)
def given_owner(first: str, second: str) -> Harness:
    harness = Harness()
    harness.add(slots=1)
    harness.submit(first)
    harness.submit(second)
    assert [send.attempt.attempt_id for send in harness.sent] == [first]
    return harness


@when('the owner learns that the endpoint is draining')
def when_owner_learns(harness: Harness) -> None:
    harness.call(owner.update_endpoint, make_record(sequence=11, slots=1, draining=True))


@when(parsers.parse('the endpoint answers "{attempt}"'))
def when_answered(harness: Harness, attempt: str) -> None:
    harness.reply(harness.connection_of(attempt))
    harness.confirm_closes()


@then(parsers.parse('"{attempt}" is answered as "{outcome}"'))
def then_outcome(harness: Harness, attempt: str, outcome: str) -> None:
    assert harness.results[attempt].outcome == outcome


@then(parsers.parse('a new attempt "{attempt}" is answered as "{outcome}"'))
def then_new_attempt(harness: Harness, attempt: str, outcome: str) -> None:
    harness.submit(attempt)
    assert harness.results[attempt].outcome == outcome


@then('the owner has no connection to the endpoint')
def then_no_connection(harness: Harness) -> None:
    assert harness.connection_count('s1') == 0
