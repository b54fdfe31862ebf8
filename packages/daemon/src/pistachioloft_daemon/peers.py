"""Exchange messages between instances over pynng."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import pynng

from pistachioloft_core.codec import UnreadableMessage, decode_peer, encode_named, join_peer
from pistachioloft_core.connection.dialing import (
    DialState,
    forget_connection,
    forget_peer,
    has_ended,
    should_redial,
)
from pistachioloft_core.errors import CodedError

logger = logging.getLogger(__name__)

PREFIX = '[process]'
SEND_BUFFER_MESSAGE_COUNT = 512
RECEIVE_BUFFER_MESSAGE_COUNT = 512
RECEIVE_LIMIT_BYTES = 16 * 1024 * 1024
# After a power failure all instances start within a tenth of a second and dial each other
# meanwhile; a refused dial costs a few tens of microseconds.
RECONNECT_DELAY_MS = 20
RECONNECT_DELAY_LIMIT_MS = 100
# Further messages are read in the next turn of the event loop, so that timers are not delayed.
RECEIVE_BATCH_COUNT = 32
# A broken connection is detected within this time, and a peer that ended within twice this time.
DIAL_CHECK_MS = 50.0

PeerHandler = Callable[[str, Any], None]


class Peers:
    """Hold the listening socket and one sending socket for each peer."""

    def __init__(self, instance: str, address: str, handler: PeerHandler) -> None:
        self.instance = instance
        self.address = address
        self.handler = handler
        self.listener: pynng.Pull0 | None = None
        self.senders: dict[str, pynng.Push0] = {}
        self.addresses: dict[str, str] = {}
        self.outgoing: dict[str, list[Any]] = {}
        self.dials = DialState()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_count = 0
        self._ignored_names: set[str] = set()
        # Called with a peer whose process has ended, as indicated by its broken connection.
        self.on_left: Callable[[str], None] = lambda _peer: None
        # Called with the receiver, the name and the encoded size of each message that was sent.
        self.on_sent: Callable[[str, str, int], None] = lambda _peer, _name, _byte_count: None

    def start(self) -> None:
        """Listen and start to receive."""
        self.listener = pynng.Pull0(
            listen=f'tcp://{self.address}',
            recv_buffer_size=RECEIVE_BUFFER_MESSAGE_COUNT,
            recv_max_size=RECEIVE_LIMIT_BYTES,
        )
        # Reading from a loop callback costs a third less than awaiting, which completes each
        # receive on another thread.
        asyncio.get_running_loop().add_reader(self.listener.recv_fd, self._receive)

    def connect(self, peer: str, address: str) -> None:
        """Dial a peer, or dial it again if its address changed."""
        if self.addresses.get(peer) == address or peer == self.instance:
            return
        self.disconnect(peer)
        self.addresses[peer] = address
        self._dial(peer)

    def reconnect(self, peer: str) -> None:
        """Replace the connection to a peer with a new one."""
        sender = self.senders.pop(peer, None)
        if sender is not None:
            forget_connection(self.dials, peer)
            sender.close()
            self._dial(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer."""
        self.addresses.pop(peer, None)
        forget_peer(self.dials, peer)
        forget_connection(self.dials, peer)
        sender = self.senders.pop(peer, None)
        if sender is not None:
            sender.close()

    def check_dials(self, now_ms: float) -> None:
        """Redial peers that remain unconnected and report peers whose process has ended."""
        for peer, sender in list(self.senders.items()):
            if has_ended(self.dials, now_ms, peer, bool(sender.pipes)):
                logger.info('%s connection lost: instance=%s', PREFIX, peer)
                self.on_left(peer)
            if should_redial(self.dials, now_ms, peer, bool(sender.pipes)):
                logger.info('%s dialling again: instance=%s', PREFIX, peer)
                self.reconnect(peer)

    def send(self, peer: str, message: Any) -> bool:
        """Queue a message; a peer's messages of one turn of the loop are sent together."""
        if peer == self.instance:
            asyncio.get_running_loop().call_soon(self._handle, peer, message)
            return True
        if peer not in self.senders:
            return False
        if not self.outgoing:
            asyncio.get_running_loop().call_soon(self.flush)
        self.outgoing.setdefault(peer, []).append(message)
        return True

    def flush(self) -> None:
        """Send the queued messages now."""
        outgoing, self.outgoing = self.outgoing, {}
        for peer, messages in outgoing.items():
            sender = self.senders.get(peer)
            if sender is None:
                continue
            named_messages = [encode_named(message) for message in messages]
            data = join_peer(self.instance, named_messages)
            try:
                sender.send(data, block=False)
            except pynng.exceptions.NNGException:
                # The buffer is full since the peer does not read; all protocols here resend.
                self.dropped_count += len(messages)
            else:
                self.sent_bytes += len(data)
                for name, encoded in named_messages:
                    self.on_sent(peer, name, len(name) + len(encoded))

    def stop(self) -> None:
        """Close all sockets."""
        for peer in list(self.addresses):
            self.disconnect(peer)
        if self.listener is not None:
            asyncio.get_running_loop().remove_reader(self.listener.recv_fd)
            self.listener.close()
            self.listener = None

    def _dial(self, peer: str) -> None:
        sender = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGE_COUNT,
            reconnect_time_min=RECONNECT_DELAY_MS,
            reconnect_time_max=RECONNECT_DELAY_LIMIT_MS,
        )
        sender.dial(f'tcp://{self.addresses[peer]}', block=False)
        self.senders[peer] = sender

    def _receive(self) -> None:
        for _ in range(RECEIVE_BATCH_COUNT):
            if self.listener is None:
                return
            try:
                data = self.listener.recv(block=False)
            except pynng.exceptions.TryAgain:
                return
            except pynng.exceptions.NNGException as error:
                logger.warning('%s receive failed: %s', PREFIX, error)
                return
            self.received_bytes += len(data)
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        try:
            sender, messages = decode_peer(data)
        except CodedError as error:
            logger.warning('%s message refused: %d %s', PREFIX, error.code, error.detail)
            return
        for message in messages:
            if isinstance(message, UnreadableMessage):
                self._ignore(sender, message)
            else:
                self._handle(sender, message)

    def _ignore(self, sender: str, message: UnreadableMessage) -> None:
        # One line for each name, since a newer build may send such messages all the time.
        if message.name not in self._ignored_names:
            self._ignored_names.add(message.name)
            logger.warning(
                '%s message ignored: name=%s instance=%s reason="%s"',
                PREFIX,
                message.name,
                sender,
                message.detail,
            )

    def _handle(self, sender: str, message: Any) -> None:
        try:
            self.handler(sender, message)
        except Exception:
            logger.exception('%s message %s failed', PREFIX, type(message).__name__)
