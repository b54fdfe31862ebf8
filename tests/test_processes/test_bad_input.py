"""Send malformed, slow or no input to the interfaces while another caller is served."""

from __future__ import annotations

import contextlib
import json
import socket
import time
from typing import TYPE_CHECKING, Any

import pytest

from tests.test_processes.support import running_cluster, steady_callers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.test_processes.support import SteadyCaller
    from tools.cluster.processes import Cluster

BODY_LIMIT_BYTES = 1024 * 1024
IDLE_COUNT = 300
SLOW_SEND_INTERVAL_S = 0.25
READ_TIMEOUT_S = 60.0

QUERY = {
    'caller': 'desk',
    'request_id': 'r',
    'collection': 'catalogue',
    'query': {},
    'deadline_ms': 2000,
}
COMMAND = {
    'caller': 'bills',
    'request_id': 'r',
    'collection': 'catalogue',
    'shard': 'shared/0',
    'idempotency_key': 'k',
    'key_issued_at_ms': 0,
    'body': {},
    'deadline_ms': 2000,
}
# The path, the body and the expected result code.
BAD_BODIES = {
    'no json': ('/v1/query', b'{"caller": ', 100),
    'no object': ('/v1/query', b'[]', 102),
    'empty': ('/v1/query', b'', 100),
    'no utf-8': ('/v1/query', b'{"caller": "\xff\xfe"}', 100),
    'wrong type': ('/v1/query', {**QUERY, 'deadline_ms': 'soon'}, 102),
    'missing field': ('/v1/query', {'caller': 'desk'}, 102),
    'unknown field': ('/v1/query', {**QUERY, 'prioritty': 'urgent'}, 101),
    'unknown caller': ('/v1/query', {**QUERY, 'caller': 'nobody'}, 105),
    'unknown collection': ('/v1/query', {**QUERY, 'collection': 'nothing'}, 106),
    'deadline out of range': ('/v1/query', {**QUERY, 'deadline_ms': -1}, 103),
    'class not allowed': ('/v1/query', {**QUERY, 'caller': 'reports', 'priority': 'urgent'}, 112),
    'unknown shard': ('/v1/command', {**COMMAND, 'shard': 'shared/9'}, 107),
    'expired key': ('/v1/command', COMMAND, 301),
    'unknown path': ('/v1/nothing', QUERY, 109),
    'deeply nested': ('/v1/query', b'[' * 200_000, 100),
    'oversized': ('/v1/query', b'{"query": "' + b'x' * BODY_LIMIT_BYTES + b'"}', 104),
}


@pytest.fixture(scope='module')
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    """Run one cluster for all tests, each of which restores it."""
    with running_cluster(tmp_path_factory.mktemp('faces'), None, 3) as cluster:
        yield cluster


@contextlib.contextmanager
def unaffected_caller(cluster: Cluster) -> Iterator[SteadyCaller]:
    """Run a caller with valid requests, which must get complete answers throughout."""
    with steady_callers(cluster, 1) as callers:
        caller = callers[0]
        cluster.wait(lambda: caller.codes.get(0, 0) > 5, 'answers before')
        yield caller
        count = caller.codes[0]
        cluster.wait(lambda: caller.codes[0] > count + 5, 'answers afterwards')
    assert caller.faults == []


def connect(address: str) -> socket.socket:
    """Connect to an address with a long timeout for reads."""
    host, port = address.rsplit(':', 1)
    connection = socket.create_connection((host, int(port)), READ_TIMEOUT_S)
    connection.settimeout(READ_TIMEOUT_S)
    return connection


def make_head(path: str, length: int | str, extra: str = '') -> bytes:
    """Build the request line and the headers of a request."""
    return f'POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{extra}\r\n'.encode()


def read_reply(connection: socket.socket) -> Any:
    """Read one reply to its end and return its JSON body."""
    data = b''
    with contextlib.suppress(ConnectionError):
        while chunk := connection.recv(65536):
            data += chunk
            headers, _, body = data.partition(b'\r\n\r\n')
            lengths = [
                int(line.split(b':')[1])
                for line in headers.split(b'\r\n')
                if line.lower().startswith(b'content-length:')
            ]
            if lengths and len(body) >= lengths[0]:
                break
    assert data, 'the connection was closed without a reply'
    try:
        return json.loads(data.partition(b'\r\n\r\n')[2])
    except json.JSONDecodeError:
        raise AssertionError(f'no JSON in the reply: {data[:400]!r}') from None


def check_refusal(reply: Any, code: int) -> None:
    """Check that a reply has the result code and the run status 'not run'."""
    assert (reply['result_code'], reply['run_status']) == (code, 'not_run'), reply


@pytest.mark.parametrize('name', BAD_BODIES)
def test_bad_bodies_get_their_code(cluster: Cluster, name: str) -> None:
    """Guard against bad requests that get no result code, or that affect other callers."""
    path, content, code = BAD_BODIES[name]
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    with unaffected_caller(cluster):
        for plan in cluster.plans.values():
            with connect(plan.caller_address) as connection:
                with contextlib.suppress(ConnectionError):
                    connection.sendall(make_head(path, len(body)) + body)
                check_refusal(read_reply(connection), code)


@pytest.mark.parametrize(
    ('name', 'data', 'code'),
    [
        ('announced size', make_head('/v1/query', 2 * BODY_LIMIT_BYTES), 104),
        ('huge announced size', make_head('/v1/query', 10**30), 104),
        ('no number', make_head('/v1/query', 'many'), 100),
        ('negative', make_head('/v1/query', -5), 100),
        ('chunked', b'POST /v1/query HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
         b'2\r\n{}\r\n0\r\n\r\n', 100),
        ('no length', b'POST /v1/query HTTP/1.1\r\nHost: x\r\n\r\n', 100),
        ('long header', make_head('/v1/query', 2, 'X-Long: ' + 'x' * 40_000 + '\r\n') + b'{}', 104),
        ('no http', b'\x16\x03\x01\x02\x00\x01\x00\r\n\r\n', 100),
    ],
)  # fmt: skip
def test_bad_headers_get_their_code(cluster: Cluster, name: str, data: bytes, code: int) -> None:
    """Guard against refusals by the HTTP library that carry no result code."""
    assert name
    with unaffected_caller(cluster), connect(cluster.plans['e1'].caller_address) as connection:
        with contextlib.suppress(ConnectionError):
            connection.sendall(data)
        check_refusal(read_reply(connection), code)


@pytest.mark.parametrize('length', ['Transfer-Encoding: chunked', 'X-Length: 5'])
def test_a_body_without_a_length_is_answered_once(cluster: Cluster, length: str) -> None:
    """Guard against a refused body that is read as the next request of its connection."""
    head_bytes = f'POST /v1/query HTTP/1.1\r\nHost: x\r\n{length}\r\n\r\n'.encode()
    with unaffected_caller(cluster), connect(cluster.plans['e1'].caller_address) as connection:
        connection.sendall(head_bytes + b'2\r\n{}\r\n0\r\n\r\n')
        data = b''
        with contextlib.suppress(ConnectionError):
            while chunk := connection.recv(65536):
                data += chunk
    assert data.count(b'HTTP/1.1 ') == 1, data
    check_refusal(json.loads(data.partition(b'\r\n\r\n')[2]), 100)


def test_truncated_bodies_get_their_code(cluster: Cluster) -> None:
    """Guard against a truncated request that is handled as a complete one."""
    complete_body = json.dumps(QUERY).encode()
    with unaffected_caller(cluster), connect(cluster.plans['e1'].caller_address) as connection:
        connection.sendall(make_head('/v1/query', len(complete_body) + 40) + complete_body)
        connection.shutdown(socket.SHUT_WR)
        check_refusal(read_reply(connection), 100)


def test_slow_bodies_get_their_code(cluster: Cluster) -> None:
    """Guard against senders that occupy a worker thread by sending a body byte by byte."""
    with unaffected_caller(cluster):
        connections = [connect(cluster.plans['e1'].caller_address) for _ in range(40)]
        for connection in connections:
            connection.sendall(make_head('/v1/query', 5000) + b'{')
        _send_slowly(connections)
        for connection in connections:
            check_refusal(read_reply(connection), 108)
            connection.close()


def test_slow_headers_get_their_code(cluster: Cluster) -> None:
    """Guard against senders that occupy a worker thread with unfinished headers."""
    with unaffected_caller(cluster):
        connections = [connect(cluster.plans['e1'].caller_address) for _ in range(40)]
        for connection in connections:
            connection.sendall(b'POST /v1/query HTTP/1.1\r\nHost: x\r\nX-Slow: ')
        _send_slowly(connections)
        for connection in connections:
            check_refusal(read_reply(connection), 108)
            connection.close()


def _send_slowly(connections: list[socket.socket]) -> None:
    for _ in range(16):
        time.sleep(SLOW_SEND_INTERVAL_S)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.sendall(b'x')


@pytest.mark.parametrize('interface', ['caller_address', 'operator_address'])
def test_idle_connections_leave_threads_for_requests(cluster: Cluster, interface: str) -> None:
    """Guard against idle connections that occupy all threads of an interface."""
    address = getattr(cluster.plans['e1'], interface)
    with unaffected_caller(cluster) as caller, contextlib.ExitStack() as stack:
        for _ in range(IDLE_COUNT):
            stack.enter_context(connect(address))
        count = caller.codes[0]
        cluster.wait(lambda: caller.codes[0] > count + 20, 'answers beside idle connections')
        assert cluster.get(cluster.plans['e1'].operator_address, '/v1/status', 30.0)
