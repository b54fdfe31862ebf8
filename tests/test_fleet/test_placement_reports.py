"""Tests of the monitoring interface: it explains placements and shows no key."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from pistachioloft_core.codec import decode_json
from pistachioloft_core.errors import ResultCode
from pistachioloft_core.messages.fleet import ENDPOINT_READY, AnnouncedEndpoint, ReceivedEndpoint
from pistachioloft_core.messages.public import ErrorReply
from pistachioloft_core.messages.report import PlacementReport
from pistachioloft_core.messages.routes import (
    Organisation,
    Route,
    RouteSet,
    ServiceRule,
    WeightedService,
)
from pistachioloft_core.process.endpoint_table import apply_update
from pistachioloft_core.request.routed_state import set_routes
from pistachioloft_core.version.route_table import RouteTable
from pistachioloft_daemon.http1.messages import Request, Response
from pistachioloft_daemon.loop_timers import monotonic_ms
from pistachioloft_daemon.metrics import Metrics
from pistachioloft_daemon.monitoring_interface import MonitoringInterface
from pistachioloft_daemon.platform.traffic import decode_key
from tests.test_fleet.test_entry_instance import make_instance, run

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

    from pistachioloft_daemon.entry_instance import EntryInstance

KEY = b'key-of-the-east'
ROUTE = Route('one', 'h', '/one/', True, 4_000.0, 400.0, 2, 2, (WeightedService('s0'),))
ROUTES = RouteSet(
    7,
    (ROUTE,),
    (ServiceRule('s0', '/health', 20),),
    organisations=(Organisation('east', (KEY.decode(),), 0),),
)


def serving_instance(folder: Path) -> EntryInstance:
    instance, _ = make_instance(folder)
    set_routes(instance.state, RouteTable(ROUTES))
    instance.requests.fenced = False
    instance.requests.can_serve = lambda: True
    instance.requests.wire = replace(instance.requests.wire, decode_key=decode_key)
    record = AnnouncedEndpoint('i-1', 's0', '10.0.0.1:80', 'north', 2, ENDPOINT_READY, 1, 1)
    apply_update(instance.state.table, monotonic_ms(), (ReceivedEndpoint(record, 0.0),), True)
    return instance


def ask(monitoring: MonitoringInterface, target: bytes, key: bytes | None = None) -> Response:
    headers = () if key is None else ((b'Authorization', b'Bearer ' + key),)
    responses: list[Response] = []
    monitoring.handle(Request(b'GET', target, headers), responses.append)
    (response,) = responses
    assert KEY not in response.body
    return response


def refusal(response: Response) -> tuple[int, ResultCode]:
    return response.status, decode_json(response.body, ErrorReply).result_code


def test_entry_instance_explains_a_placement(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guard against an explanation that is wrong, sends something or shows the key."""
    caplog.set_level(logging.DEBUG)

    def scenario() -> None:
        instance = serving_instance(tmp_path)
        for target, key in (
            (b'/placement?host=h:80&path=/one/x%3Fkey=1', KEY),
            (b'/placement?host=H&path=%2Fone%2Fx&organisation=east', None),
        ):
            response = ask(instance.monitoring, target, key)
            assert response.status == 200
            report = decode_json(response.body, PlacementReport)
            assert (report.route, report.route_version, report.priority) == ('one', 7, 0)
            assert report.organisation is not None
            assert report.organisation.organisation == 'east'
            assert report.refusal is None
            assert [each.first_endpoint for each in report.services] == ['i-1']
        assert instance.requests.requests == {}
        assert instance.state.table.endpoints['i-1'].in_flight_count == 0

    run(scenario)
    assert KEY.decode() not in caplog.text


def test_unknown_requests_are_refused(tmp_path: Path) -> None:
    """Guard against an explanation of a request that the instance would not know."""

    def scenario() -> None:
        monitoring = serving_instance(tmp_path).monitoring
        one = b'/placement?host=h&path=/one/x'
        assert refusal(ask(monitoring, one)) == (401, ResultCode.UNKNOWN_KEY)
        assert refusal(ask(monitoring, one, b'other')) == (401, ResultCode.UNKNOWN_KEY)
        west = ask(monitoring, one + b'&organisation=west')
        assert refusal(west) == (403, ResultCode.UNKNOWN_CALLER)
        none = ask(monitoring, b'/placement?host=h&path=/none', KEY)
        assert refusal(none) == (404, ResultCode.UNKNOWN_PATH)
        for target in (b'/placement', b'/placement?host=h', b'/placement?host=h&path=one'):
            assert refusal(ask(monitoring, target, KEY)) == (400, ResultCode.MALFORMED)

    run(scenario)


def test_fenced_and_stopping_instances_say_so(tmp_path: Path) -> None:
    """Guard against `admitted` at an instance that refuses every request."""

    def scenario() -> None:
        instance = serving_instance(tmp_path)
        target = b'/placement?host=h&path=/one/x'

        def told() -> Any:
            report = decode_json(ask(instance.monitoring, target, KEY).body, PlacementReport)
            return report.refusal and report.refusal.code

        assert told() is None
        instance.requests.ends_at_ms = monotonic_ms() + 1.0
        assert told() == ResultCode.STOPPING
        instance.requests.refusing = True
        assert told() == ResultCode.STOPPING
        instance.requests.fenced = True
        assert told() == ResultCode.FENCED
        instance.state.routes = None
        assert refusal(ask(instance.monitoring, target, KEY)) == (503, ResultCode.FENCED)

    run(scenario)


def test_control_instance_refers_to_entry_instances() -> None:
    """Guard against a question to a control instance that gets no clear answer."""

    def unused() -> Any:
        raise AssertionError('not called')

    monitoring = MonitoringInterface('', Metrics(), unused, unused)
    response = ask(monitoring, b'/placement?host=h&path=/one/x', KEY)
    assert refusal(response) == (404, ResultCode.UNKNOWN_PATH)
    assert b'ask an entry instance' in response.body
