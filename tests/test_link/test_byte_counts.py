"""Guard against traffic between failure domains that no metric shows."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from aioprometheus import Registry

from pistachioloft_core.codec import decode_peer, encode_named, encode_peer, join_peer
from pistachioloft_core.messages.fleet import LeavingNoted
from pistachioloft_daemon.byte_counts import ByteCounts
from pistachioloft_daemon.metrics import Metrics

if TYPE_CHECKING:
    import pytest


def test_bytes_are_counted_by_kind_and_distance(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against counts that mix near and far traffic, or summaries that count it twice."""
    caplog.set_level(logging.INFO)
    counts = ByteCounts(Registry())
    counts.own_domain = 'a'
    counts.add('FeedReply', 'a', 100)
    counts.add('FeedReply', 'b', 30)
    counts.add('FeedReply', 'b', 12)
    counts.add('ControlShare', None, 7)
    counts.log_summary(0.0)
    counts.add('FeedReply', 'b', 5)
    counts.log_summary(10_000.0)
    counts.log_summary(20_000.0)
    lines = [record.getMessage().split(': ', 1)[1] for record in caplog.records]
    assert lines == ['FeedReply.far=42 ControlShare.unknown=7', 'FeedReply.far=5']


def test_counts_are_served_as_metrics() -> None:
    """Guard against counts that only logs show."""
    metrics = Metrics()
    metrics.bytes.own_domain = 'a'
    metrics.bytes.add('FeedReply', 'b', 42)
    text = metrics.render()[0].decode()
    assert 'pistachioloft_traffic_bytes_total{distance="far",kind="FeedReply"} 42' in text


def test_separately_encoded_messages_are_joined_like_others() -> None:
    """Guard against messages that are counted one by one and cannot be decoded together."""
    messages = [LeavingNoted(1), LeavingNoted(300)]
    joined = join_peer('10.0.0.1', [encode_named(message) for message in messages])
    assert joined == encode_peer('10.0.0.1', messages)
    assert decode_peer(joined) == ('10.0.0.1', tuple(messages))
