"""Stop and start every daemon in turn under load."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING

from tests.test_processes.support import (
    SteadyCaller,
    leader_of,
    running_cluster,
    steady_callers,
    wait_usable,
)
from tools.searcher.behaviour import Behaviour

if TYPE_CHECKING:
    from pathlib import Path

    from tools.cluster.processes import Cluster

PAUSE_S = 0.01


class LateCaller(SteadyCaller):
    """Use the last address list that contains a stopping instance until the list expires."""

    def __init__(self, cluster: Cluster, target: str) -> None:
        super().__init__(cluster, 'desk', 1000 + int(target[1:]))
        self.target = cluster.plans[target].caller_address
        self.others = [address for address in self.instance_addresses if address != self.target]
        self.stop_sent = threading.Event()

    def run(self) -> None:
        """Fetch addresses until none has the target, then query it until the last list expires."""
        self.stop_sent.wait()
        list_valid_until_s = 0.0
        is_advertised = True
        while is_advertised:
            is_advertised = False
            for address in self.others:
                reply = self.fetch_addresses(address)
                if reply and self.target in {each.address for each in reply.addresses}:
                    is_advertised, list_valid_until_s = True, self.valid_until_s
        # Each query opens a new connection: kept ones would not show that new ones are refused.
        while time.monotonic() < list_valid_until_s:
            self.http.clear()
            self.query(self.target, list_valid_until_s)
            time.sleep(PAUSE_S)


def test_every_daemon_is_stopped_and_started_without_a_cut_request(tmp_path: Path) -> None:
    """Guard against planned stops that cut requests or close addresses still in use."""
    with running_cluster(tmp_path, Behaviour(40.0)) as cluster:
        stop_order = [name for name in cluster.plans if name != leader_of(cluster)]
        stop_order.append(leader_of(cluster))
        exit_codes: dict[str, int] = {}
        faults: list[str] = []
        with steady_callers(cluster) as callers:
            for name in stop_order:
                late_caller = LateCaller(cluster, name)
                late_caller.start()
                cluster.daemons[name].terminate()
                late_caller.stop_sent.set()
                exit_codes[name] = cluster.daemons[name].wait(120)
                faults += [f'stop of {name}: {fault}' for fault in late_caller.finish()]
                cluster.start(name)
                wait_usable(cluster, (name,))
        assert exit_codes == dict.fromkeys(stop_order, 0)
        assert faults == []
        assert [fault for caller in callers for fault in caller.faults] == []
        assert all(caller.codes.get(0, 0) > 20 for caller in callers)
