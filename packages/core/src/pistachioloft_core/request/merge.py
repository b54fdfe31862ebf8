"""Merge the results of shards into one answer with its coverage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..errors import ResultCode, RunStatus
from ..messages.public import Coverage, QueryReply, Snapshot

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..messages.endpoint import ShardRows
    from ..messages.public import QueryRequest, Row
    from ..version.cluster_view import VersionView


class GatheredRows:
    """Hold the rows of the shards of one version; the first result of a shard is used."""

    __slots__ = ('rows', 'version')

    def __init__(self, version: VersionView) -> None:
        self.version = version
        self.rows: dict[str, tuple[Row, ...]] = {}

    def is_complete(self) -> bool:
        """Return whether every shard of the version has its rows."""
        return len(self.rows) == len(self.version.shards)


def accept_results(
    gathered: GatheredRows, queried_shards: tuple[str, ...], results: Iterable[ShardRows]
) -> int:
    """Store the rows of queried shards that have none yet, and return the number of shards."""
    count = 0
    rows = gathered.rows
    for result in results:
        if result.shard in queried_shards and result.shard not in rows:
            rows[result.shard] = result.rows
            count += 1
    return count


def unanswered_shards(gathered: GatheredRows, shards: Iterable[str]) -> tuple[str, ...]:
    """Return those of the shards that have no rows yet."""
    rows = gathered.rows
    return tuple([shard for shard in shards if shard not in rows])


def build_answer(request: QueryRequest, gathered: GatheredRows) -> QueryReply:
    """Build the answer with the rows in shard order and the missing shards in order."""
    version = gathered.version
    rows: list[Row] = []
    for shard in version.shards:
        rows.extend(gathered.rows.get(shard, ()))
    missing = unanswered_shards(gathered, version.shards)
    answered_count = len(version.shards) - len(missing)
    coverage = Coverage(len(version.shards), answered_count, missing)
    snapshot = Snapshot(version.collection, version.version)
    if not missing:
        code, run_status, detail = ResultCode.COMPLETE, RunStatus.RAN, 'all shards answered'
    elif answered_count:
        code, run_status = ResultCode.PARTIAL, RunStatus.RAN
        detail = f'{answered_count} of {len(version.shards)} shards answered'
    else:
        code, run_status, detail = ResultCode.NO_ANSWER, RunStatus.UNKNOWN, 'no shard answered'
    return QueryReply(
        request.caller,
        request.request_id,
        code,
        run_status,
        detail,
        snapshot=snapshot,
        coverage=coverage,
        rows=tuple(rows),
    )
