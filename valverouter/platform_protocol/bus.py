"""The event bus: the endpoint list as numbered events, fetched by long polls over HTTP/1.1 (h11)."""

from __future__ import annotations

import h11
import msgspec

from valverouter.signalling.framing import ProtocolError

MAX_RESPONSE_SIZE = 4 * 1024 * 1024


class Host(msgspec.Struct, frozen=True):
    """One core server; the field names are those on the wire.

    `born_ms`: the Unix time of its start in milliseconds, 0 for a start long ago.
    """

    host: str
    health: str
    dial: str = ""
    site: str = ""
    block: int = -1
    born_ms: int = 0


class Topology(msgspec.Struct, frozen=True):
    """Core servers: the complete list (`whole`) or the servers that changed."""

    hosts: list[Host]
    whole: bool = False


class BusEvent(msgspec.Struct, frozen=True):
    """One event; events without a topology are ignored."""

    offset: int
    topology: Topology | None = None


class Batch(msgspec.Struct, frozen=True):
    """The events after the requested offset; `offset` is that of the last event."""

    offset: int
    batch: list[BusEvent] = []


_decoder = msgspec.json.Decoder(Batch)


def decode_batch(data: bytes | bytearray) -> Batch:
    """Decodes events from a configuration or a response; raises ProtocolError if they are malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ProtocolError("malformed", str(error)) from None


class BusSession:
    """One connection to the event bus; returns complete responses only."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = h11.Connection(h11.CLIENT)
        self._body = bytearray()
        self._status = 0

    def poll_request(self, offset: int, timeout_ms: int) -> bytes:
        """Encodes a poll for the events after `offset`; the previous response must be complete.

        The bus waits up to `timeout_ms` milliseconds for an event before it responds.
        """
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        self._body.clear()
        target = f"/bus/read?from={offset}&hold={timeout_ms}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self._address)])
        head = self._connection.send(request)
        end = self._connection.send(h11.EndOfMessage())
        return (head or b"") + (end or b"")

    @property
    def is_reusable(self) -> bool:
        """Whether another poll can be sent on this connection."""
        return self._connection.our_state is h11.DONE and self._connection.their_state is h11.DONE

    def receive(self, data: bytes | bytearray) -> Batch | None:
        """Returns the response once it is complete, else None; empty `data` is the end of the stream.

        Raises ProtocolError if the response is invalid, too large, an HTTP error or incomplete.
        """
        try:
            self._connection.receive_data(bytes(data))
            while True:
                event = self._connection.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return None
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_RESPONSE_SIZE:
                        raise ProtocolError("too-large", f"the response exceeds {MAX_RESPONSE_SIZE} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    if self._status != 200:
                        raise ProtocolError("refused", f"HTTP status {self._status}")
                    return decode_batch(self._body)
                elif isinstance(event, h11.ConnectionClosed):
                    raise ProtocolError(
                        "half-sent", "the event bus closed the connection before the response was complete"
                    )
        except h11.RemoteProtocolError as error:
            raise ProtocolError("malformed", str(error)) from None
