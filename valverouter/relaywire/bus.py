"""The event bus: numbered events of the server list over HTTP/1.1, by long polls. h11 does the HTTP."""

from __future__ import annotations

import h11
import msgspec

from valverouter.signalling.framing import ProtocolError

MOST = 4 * 1024 * 1024


class Host(msgspec.Struct, frozen=True):
    """One core server as told. `born_ms`: the Unix millisecond of a late start, 0: long ago."""

    host: str
    health: str
    dial: str = ""
    site: str = ""
    block: int = -1
    born_ms: int = 0


class Topology(msgspec.Struct, frozen=True):
    hosts: list[Host]
    whole: bool = False


class BusEvent(msgspec.Struct, frozen=True):
    offset: int
    topology: Topology | None = None


class Batch(msgspec.Struct, frozen=True):
    """Events after the number asked for; `offset` is that of the last one."""

    offset: int
    batch: list[BusEvent] = []


_decoder = msgspec.json.Decoder(Batch)


def batch(data: bytes | bytearray) -> Batch:
    """Events as a configuration or an answer holds them; ProtocolError says what can't be read."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ProtocolError("malformed", str(error)) from None


class BusSession:
    """One connection to the event bus. An answer is handed on whole or not at all."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._connection = h11.Connection(h11.CLIENT)
        self._body = bytearray()
        self._status = 0

    def ask(self, offset: int, hold_ms: int) -> bytes:
        """The bytes of a poll; the last answer must have come whole."""
        if self._connection.our_state is h11.DONE:
            self._connection.start_next_cycle()
        self._body.clear()
        target = f"/bus/read?from={offset}&hold={hold_ms}"
        request = h11.Request(method="GET", target=target, headers=[("Host", self._address)])
        sent = self._connection.send(request)
        ended = self._connection.send(h11.EndOfMessage())
        return (sent or b"") + (ended or b"")

    @property
    def may_ask_again(self) -> bool:
        """Whether the far side keeps this connection for another poll."""
        return self._connection.our_state is h11.DONE and self._connection.their_state is h11.DONE

    def receive(self, data: bytes | bytearray) -> Batch | None:
        """The answer once it is whole, else None; ProtocolError where none can follow. b"": the end."""
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
                    if len(self._body) > MOST:
                        raise ProtocolError("too-large", f"an answer of over {MOST} bytes")
                elif isinstance(event, h11.EndOfMessage):
                    if self._status != 200:
                        raise ProtocolError("refused", f"status {self._status}")
                    return batch(self._body)
                elif isinstance(event, h11.ConnectionClosed):
                    raise ProtocolError("half-sent", "the event bus closed the connection")
        except h11.RemoteProtocolError as error:
            raise ProtocolError("malformed", str(error)) from None
