"""Transport of control messages: encoded, fragmented and authenticated, over one datagram socket."""

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

# Seconds between two log entries on dropped datagrams, at least.
DROP_LOG_INTERVAL_S = 60.0

log = structlog.get_logger()


class DropLogger:
    """Logs a reader's counts of dropped datagrams, once per DROP_LOG_INTERVAL_S at most."""

    def __init__(self, reader: DatagramReader, logger: Any) -> None:
        """`logger` is a structlog logger, bound to whatever names its owner."""
        self._reader = reader
        self._log = logger
        self._logged_at = float("-inf")

    def on_dropped(self) -> None:
        """Call after each dropped datagram."""
        now = trio.current_time()
        if now - self._logged_at >= DROP_LOG_INTERVAL_S:
            self._logged_at = now
            self._log.warning("datagrams-dropped", **self._reader.dropped)


def received_messages(socket: DatagramSocket, reader: DatagramReader) -> Iterator[Any]:
    """Read the authentic messages that wait at the socket; others are dropped, counted by the reader."""
    while (datagram := socket.receive()) is not None:
        message = reader.read(datagram[0])
        if message is not None:
            yield message


class Transport:
    """One process's end of the control plane; unauthentic datagrams are dropped, counted, never answered."""

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
        """Where the socket is bound, as IP:PORT."""
        return self.socket.address

    def send(self, address: str, message: ControlMessage) -> None:
        """Send without any guarantee; a sender that needs a reply sends again until it comes."""
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
        """Return the next complete message and its sender's address; None where there is none now."""
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
                # Authentic, but not decodable: from another version of the program.
                self.counts["not-understood"] += 1
        return None
