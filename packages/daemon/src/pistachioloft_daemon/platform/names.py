"""Names on the wire of the platform, each decoded in one place."""

from __future__ import annotations

# Headers. Names are compared in lower case and sent as the platform writes them.
REQUEST_ID = b'X-Request-Id'
# How long the sender waits, counted from when it sends; not a point in time.
TIME_LEFT = b'X-Deadline-Ms'
# The id of the one endpoint that may run the request.
EXPECTED_ENDPOINT = b'X-Target-Instance'
# The receipt by which an endpoint vouches for its reply.
RECEIPT = b'X-Response-Stamp'
NOT_RUN = b'X-Not-Executed'
LOAD = b'X-Server-Load'
# The receipts of all merged replies, and how many shards are not among them.
RECEIPTS = b'X-Part-Stamps'
MISSING_COUNT = b'X-Missing-Parts'
RETRY_AFTER = b'Retry-After'

# Paths.
READINESS_PATH = '/-/readiness'
ADDRESSES_PATH = '/-/resolve'
ENDPOINTS_PATH = '/-/instances/'
ROUTES_PATH = '/-/config'
