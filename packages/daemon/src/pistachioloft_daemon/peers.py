"""Carry messages between instances over pynng."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import pynng

from pistachioloft_core.codec import decode_peer, encode_peer
from pistachioloft_core.errors import CodedError

logger = logging.getLogger(__name__)

PREFIX = '[process]'
SEND_BUFFER_MESSAGE_COUNT = 512
RECEIVE_BUFFER_MESSAGE_COUNT = 512
RECEIVE_LIMIT_BYTES = 16 * 1024 * 1024
RECONNECT_MS = 50
RECONNECT_LIMIT_MS = 500
STOP_TIMEOUT_S = 1.0

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
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_count = 0
        self.task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Listen and begin to receive."""
        self.listener = pynng.Pull0(
            listen=f'tcp://{self.address}',
            recv_buffer_size=RECEIVE_BUFFER_MESSAGE_COUNT,
            recv_max_size=RECEIVE_LIMIT_BYTES,
        )
        self.task = asyncio.get_running_loop().create_task(self._receive())

    def connect(self, peer: str, address: str) -> None:
        """Dial a peer, or dial it again if its address changed."""
        if self.addresses.get(peer) == address or peer == self.instance:
            return
        self.disconnect(peer)
        self.addresses[peer] = address
        self._dial(peer)

    def reconnect(self, peer: str) -> None:
        """Replace the connection to a peer by a new one."""
        sender = self.senders.pop(peer, None)
        if sender is not None:
            sender.close()
            self._dial(peer)

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer."""
        self.addresses.pop(peer, None)
        sender = self.senders.pop(peer, None)
        if sender is not None:
            sender.close()

    def send(self, peer: str, message: Any) -> bool:
        """Queue a message; all of one turn of the loop to a peer leave together."""
        if peer == self.instance:
            asyncio.get_running_loop().call_soon(self._handle, peer, message)
            return True
        if peer not in self.senders:
            return False
        if not self.outgoing:
            asyncio.get_running_loop().call_soon(self._flush)
        self.outgoing.setdefault(peer, []).append(message)
        return True

    def _flush(self) -> None:
        outgoing, self.outgoing = self.outgoing, {}
        for peer, messages in outgoing.items():
            sender = self.senders.get(peer)
            if sender is None:
                continue
            data = encode_peer(self.instance, messages)
            try:
                sender.send(data, block=False)
            except pynng.exceptions.NNGException:
                # A full buffer means that the peer does not read; every protocol here resends.
                self.dropped_count += len(messages)
            else:
                self.sent_bytes += len(data)

    async def stop(self) -> None:
        """Close all sockets."""
        for peer in list(self.addresses):
            self.disconnect(peer)
        if self.listener is not None:
            # Closing ends the pending receive; cancelling it instead may never return.
            self.listener.close()
        if self.task is not None:
            await asyncio.wait({self.task}, timeout=STOP_TIMEOUT_S)

    def _dial(self, peer: str) -> None:
        sender = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGE_COUNT,
            reconnect_time_min=RECONNECT_MS,
            reconnect_time_max=RECONNECT_LIMIT_MS,
        )
        sender.dial(f'tcp://{self.addresses[peer]}', block=False)
        self.senders[peer] = sender

    async def _receive(self) -> None:
        assert self.listener is not None
        while True:
            try:
                data = await self.listener.arecv()
            except pynng.exceptions.Closed:
                return
            except pynng.exceptions.NNGException as error:
                logger.warning('%s receive failed: %s', PREFIX, error)
                await asyncio.sleep(0.01)
                continue
            self.received_bytes += len(data)
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        try:
            sender, messages = decode_peer(data)
        except CodedError as error:
            logger.warning('%s message refused: %d %s', PREFIX, error.code, error.detail)
            return
        for message in messages:
            self._handle(sender, message)

    def _handle(self, sender: str, message: Any) -> None:
        try:
            self.handler(sender, message)
        except Exception:
            logger.exception('%s message %s failed', PREFIX, type(message).__name__)
