"""Header names and paths of the platform; each is decoded in one place."""

from __future__ import annotations

# Header names are compared in lower case and sent in the platform's spelling.
REQUEST_ID = b'X-Request-Id'
# Time for which the sender waits, from when it sends: a duration in ms, not a point in time.
TIME_LEFT = b'X-Deadline-Ms'
# The id of the one endpoint that may run the request.
EXPECTED_ENDPOINT = b'X-Target-Instance'
# The scheme and the key of the caller's organisation.
CREDENTIALS = b'Authorization'
CREDENTIALS_SCHEME = b'bearer'
# The name of the organisation, for endpoints.
ORGANISATION = b'X-Tenant'
# The receipt that an endpoint adds to its reply.
RECEIPT = b'X-Response-Stamp'
NOT_RUN = b'X-Not-Executed'
LOAD = b'X-Server-Load'
# How many requests a second an endpoint takes from all instances together.
ENDPOINT_LIMIT = b'Server-Limit'
# The endpoint leaves and wants no new requests.
ENDPOINT_LEAVING = b'Server-Leaving'
# The receipts of all merged replies, and the number of missing shards.
RECEIPTS = b'X-Part-Stamps'
MISSING_COUNT = b'X-Missing-Parts'
# In seconds or as a date: in our refusals, and in those of an endpoint that wants no requests.
RETRY_AFTER = b'Retry-After'

# Paths.
READINESS_PATH = '/-/readiness'
ADDRESSES_PATH = '/-/resolve'
ENDPOINTS_PATH = '/-/instances/'
ROUTES_PATH = '/-/config'
EVACUATIONS_PATH = '/-/evacuation/'
