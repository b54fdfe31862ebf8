"""Demonstrate the whole system at the sizes of both example sites, on loopback addresses."""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from pistachioloft_core.messages.public import CommandRequest, QueryRequest

from ..searcher.behaviour import Behaviour
from ..searcher.host import Order
from .layout import SITES, Site, announcements
from .processes import Cluster

INSTANCE_COUNT = 6
VOTER_COUNT = 3
QUERY_COUNT = 20
DEADLINE_MS = 2000


def run_demo(site: Site, folder: Path) -> None:
    """Run the demo for one site in a folder."""
    print(f'\n== {site.name}: {INSTANCE_COUNT} instances, {len(announcements(site))} searchers')
    cluster = Cluster(folder, site, INSTANCE_COUNT, VOTER_COUNT)
    try:
        cluster.initialize()
        cluster.start_all()
        print(f'   started {", ".join(cluster.plans)}; voters {", ".join(cluster.voters())}')
        _accept_configuration(cluster)
        cluster.start_searchers(Behaviour(5.0), host_count=2)
        count = len(announcements(site))
        seconds = cluster.wait(lambda: _min_usable_count(cluster) == count, 'the searchers')
        print(f'   {count} searchers announced, usable at every instance after {seconds:.1f} s')
        _send_queries(cluster)
        _send_command_twice(cluster)
        _kill_replicas(cluster)
        _stop_daemons(cluster)
    finally:
        cluster.stop()


def _accept_configuration(cluster: Cluster) -> None:
    cluster.accept('demo-1')
    started = time.monotonic()
    cluster.wait(lambda: _is_in_force_everywhere(cluster), 'the configuration to be in force')
    print(
        f'   configuration accepted, in force everywhere after {time.monotonic() - started:.1f} s'
    )


def _is_in_force_everywhere(cluster: Cluster) -> bool:
    status = cluster.status('e2')
    return bool(status and status['in_force'] and status['in_force']['everywhere'])


def _min_usable_count(cluster: Cluster) -> int:
    return min(cluster.usable_count(name) for name in cluster.plans)


def _addresses(cluster: Cluster, caller: str) -> list[str]:
    plan = next(iter(cluster.plans.values()))
    reply = cluster.get(plan.caller_address, f'/v1/addresses?caller={caller}')
    return [entry['address'] for entry in reply['addresses']]


def _send_queries(cluster: Cluster) -> None:
    site = cluster.site
    for caller in (*site.urgent_callers, *site.routine_callers):
        address = _addresses(cluster, caller)[0]
        latencies_ms, complete_count = [], 0
        for number in range(QUERY_COUNT):
            request = QueryRequest(
                caller, f'{caller}-{number}', site.collection, {'text': 'gold'}, DEADLINE_MS
            )
            started = time.perf_counter()
            reply = cluster.post(address, '/v1/query', request)
            latencies_ms.append((time.perf_counter() - started) * 1000)
            complete_count += reply['result_code'] == 0
        coverage = reply['coverage']
        print(
            f'   {caller}: {complete_count} of {QUERY_COUNT} answers complete, '
            f'{coverage["answered_count"]} of {coverage["shard_count"]} shards, '
            f'version {reply["snapshot"]["version"]}, '
            f'median {sorted(latencies_ms)[QUERY_COUNT // 2]:.0f} ms'
        )


def _send_command_twice(cluster: Cluster) -> None:
    site = cluster.site
    caller = site.routine_callers[0]
    issued_at_ms = time.time_ns() // 1_000_000
    shard = f'{site.shared_services[0]}/0'
    first, second = _addresses(cluster, caller)[:2]
    for request_id, address in (('first', first), ('resent', second)):
        request = CommandRequest(
            caller, request_id, site.collection, shard, 'key-1', issued_at_ms, {'hold': 40},
            DEADLINE_MS,
        )  # fmt: skip
        reply = cluster.post(address, '/v1/command', request)
        print(f'   command {request_id}: code {reply["result_code"]}, {reply["detail"]}')
    run_count = sum(row['executed'].get('key-1', 0) for row in cluster.counters().values())
    print(f'   the command ran {run_count} time(s)')


def _kill_replicas(cluster: Cluster) -> None:
    site = cluster.site
    killed_endpoints = tuple(
        announcement.endpoint
        for announcement in announcements(site)
        if announcement.endpoint.endswith('-s0')
    )
    cluster.order(Order('kill', killed_endpoints))
    caller = site.urgent_callers[0]
    codes: dict[Any, int] = {}
    for number in range(QUERY_COUNT):
        request = QueryRequest(
            caller, f'lost-{number}', site.collection, {'text': 'gold'}, DEADLINE_MS
        )
        reply = cluster.post(_addresses(cluster, caller)[0], '/v1/query', request)
        codes[reply['result_code']] = codes.get(reply['result_code'], 0) + 1
    print(
        f'   {len(killed_endpoints)} searchers killed, one of each service; '
        f'answers by result code: {codes}'
    )


def _stop_daemons(cluster: Cluster) -> None:
    for name in reversed(cluster.plans):
        cluster.daemons[name].terminate()
    codes = {name: process.wait(60) for name, process in cluster.daemons.items()}
    print(f'   graceful stop, exit codes {codes}')


def main() -> int:
    """Run the demo for the sites that the command line names, or for all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--site', action='append', choices=tuple(SITES))
    options = parser.parse_args()
    for name in options.site or SITES:
        with tempfile.TemporaryDirectory() as folder:
            run_demo(SITES[name], Path(folder))
    return 0


if __name__ == '__main__':
    sys.exit(main())
