"""Timeouts and size limits of consensus."""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 100.0
# Followers are notified of a commit at once, but not more often than this: a fifth of a heartbeat
# interval, so that many commits in a row do not multiply the messages.
COMMIT_NOTICE_INTERVAL_MS = 20.0
ELECTION_TIMEOUT_MIN_MS = 600.0
ELECTION_TIMEOUT_MAX_MS = 1200.0
# While all voters have just started, none can hold a lease, so the first election need not wait for
# a lease to end; it starts after a few round trips.
RESTART_TIMEOUT_MIN_MS = 60.0
RESTART_TIMEOUT_MAX_MS = 240.0
# Voters refuse votes for ELECTION_TIMEOUT_MIN_MS after a heartbeat. The lease is shorter by a
# fifth, so that clocks whose rates differ by up to that much cannot make two leases overlap.
LEASE_MS = 0.8 * ELECTION_TIMEOUT_MIN_MS
TRANSFER_TIMEOUT_MS = ELECTION_TIMEOUT_MAX_MS
# The adapter ignores the request if a transfer is running, so a retry costs nothing, and a transfer
# that failed in a network partition delays a voter only for this time.
SNAPSHOT_RETRY_MS = 1_000.0
MAX_APPEND_ENTRIES = 256
MAX_APPEND_BYTES = 256 * 1024
MAX_IN_FLIGHT_ENTRIES = 2048
# Entries kept in memory after a snapshot covers them, so that a follower which is slightly behind
# needs no snapshot transfer. One snapshot interval.
RETAINED_ENTRIES = 1000
# A learner this close to the commit index counts as caught up; under load it never reaches it.
CAUGHT_UP_LAG_ENTRIES = 64
# A voter that missed two heartbeats does not count as responsive when another one is removed.
RESPONSIVE_MS = 2.5 * HEARTBEAT_INTERVAL_MS
# After this time without contact, a learner is replaced by a newer member of its instance.
LEARNER_SILENCE_LIMIT_MS = 5_000.0
# Heartbeats older than this many rounds are older than the lease; replies to them do not count.
TRACKED_HEARTBEAT_COUNT = 16
