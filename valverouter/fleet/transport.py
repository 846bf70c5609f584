"""Transport of control plane messages, fragmented and authenticated, over one datagram socket."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

import msgspec
import structlog
import trio

from valverouter.edge.runtime import DatagramSocket
from valverouter.fleet.authentication import Authenticator, DatagramReader, FragmentEnvelope
from valverouter.fleet.fragmentation import Fragmenter, Reassembler, TooManyFragmentsError
from valverouter.fleet.messages import ControlMessage, decoder, encoder

# Minimum time between two log entries on dropped datagrams.
DROP_LOG_INTERVAL_S = 60.0

log = structlog.get_logger()


class DropLogger:
    """Logs a reader's counts of dropped datagrams, at most once per DROP_LOG_INTERVAL_S."""

    def __init__(self, reader: DatagramReader, logger: Any) -> None:
        """`logger` is a structlog logger that is bound to the owner's name."""
        self._reader = reader
        self._log = logger
        self._logged_at = float("-inf")

    def on_dropped(self) -> None:
        """Logs the counts if due; to be called after each dropped datagram."""
        now = trio.current_time()
        if now - self._logged_at >= DROP_LOG_INTERVAL_S:
            self._logged_at = now
            self._log.warning("datagrams-dropped", **self._reader.dropped)


def received_messages(socket: DatagramSocket, reader: DatagramReader) -> Iterator[Any]:
    """Yields the authentic messages that have arrived; the reader drops and counts other datagrams."""
    while (datagram := socket.receive()) is not None:
        message = reader.read(datagram[0])
        if message is not None:
            yield message


class Transport:
    """Sends and receives the control plane messages of one process.

    Unauthentic datagrams are dropped and counted, and never answered.
    """

    def __init__(self, socket: DatagramSocket, keys: tuple[bytes, ...], name: str, incarnation: int) -> None:
        """`name` (empty for a client) and `incarnation` identify this process to its peers."""
        self.socket = socket
        self.counts: Counter[str] = Counter()
        self._authenticator = Authenticator(keys)
        self._reader = DatagramReader(self._authenticator, FragmentEnvelope)
        self._drop_logger = DropLogger(self._reader, log)
        self._fragmenter = Fragmenter(name, incarnation)
        self._reassembler = Reassembler()

    @property
    def address(self) -> str:
        """Returns the bound address of the socket, as IP:PORT."""
        return self.socket.address

    def send(self, address: str, message: ControlMessage) -> None:
        """Sends a message, unreliably; a sender that needs a reply retransmits until it arrives."""
        try:
            fragments = self._fragmenter.split(address, encoder.encode(message))
        except TooManyFragmentsError as error:
            self.counts["too-long"] += 1
            log.error("message-too-long", kind=type(message).__name__, why=str(error))
            return
        for fragment in fragments:
            self.counts["sent"] += 1
            self.socket.send(self._authenticator.sign(fragment), address)

    def receive(self) -> tuple[ControlMessage, str] | None:
        """Returns the next complete message and its sender's address; None if there is none."""
        while (datagram := self.socket.receive()) is not None:
            data, source = datagram
            fragment = self._reader.read(data)
            if fragment is None:
                self._drop_logger.on_dropped()
                continue
            body = self._reassembler.add(fragment)
            if body is None:
                continue
            self.counts["heard"] += 1
            try:
                return decoder.decode(body), source
            except msgspec.MsgspecError:
                # Authentic but not decodable: sent by another version of the program.
                self.counts["not-understood"] += 1
        return None
