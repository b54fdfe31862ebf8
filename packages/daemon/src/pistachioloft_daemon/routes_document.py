"""Compress documents of routes for storage and restore them byte by byte."""

from __future__ import annotations

import zlib

from pistachioloft_core.errors import CodedError, ResultCode

# Documents compress to about a tenth; higher levels gain little.
COMPRESSION_LEVEL = 6
# A document of the largest expected fleet has a few megabytes.
DOCUMENT_LIMIT_BYTES = 64 * 1024 * 1024


def pack_document(document: bytes) -> bytes:
    """Compress a document for the log."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def unpack_document(packed: bytes) -> bytes:
    """Return the decompressed document."""
    unpacker = zlib.decompressobj()
    try:
        document = unpacker.decompress(packed, DOCUMENT_LIMIT_BYTES)
    except zlib.error as error:
        raise CodedError(ResultCode.MALFORMED, f'not a stored document: {error}') from error
    if not unpacker.eof:
        raise CodedError(ResultCode.TOO_LARGE, 'the stored document is cut short or too large')
    return document
