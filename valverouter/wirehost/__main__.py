"""Reads batches on standard input, writes one reply for each: `python -m valverouter.wirehost`."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from valverouter.driver import Driver
from valverouter.interface import Endpoint
from valverouter.wirehost import codec


class Host:
    """The edge proxies of this process, and the list pages last sent to it."""

    def __init__(self) -> None:
        self._proxies: dict[str, tuple[Driver, list[str]]] = {}
        self._pages: dict[int, list[Endpoint]] = {}

    def reply(self, line: bytes) -> bytes:
        now, messages = codec.read_batch(line)
        steps: list[dict[str, Any]] = []
        for name, message in messages:
            if isinstance(message, codec.Page):
                self._pages[message.page] = codec.entries(message.rows)
                continue
            try:
                self._deliver(now, name, message)
                known = self._proxies.get(message.proxyId)
                commands = known[0].take_commands() if known else []
            except codec.MalformedInputError:
                raise
            except Exception as error:  # the wire asks for a fault by name, whatever the decisions raised
                steps.append(codec.fatal(message.proxyId, f"{name}: {type(error).__name__}: {error}"))
                break
            steps += [codec.step(message.proxyId, command) for command in commands]
        return codec.write_reply(steps)

    def _deliver(self, now: int, name: str, message: codec.Message) -> None:
        assert not isinstance(message, codec.Page)
        if isinstance(message, codec.PowerOn):
            driver = Driver(codec.deployment(message.options), message.seed, now)
            self._proxies[message.proxyId] = (driver, message.options.report.fields)
            return
        if message.proxyId not in self._proxies:
            return
        if name == "destroy":
            del self._proxies[message.proxyId]
            return
        driver, fields = self._proxies[message.proxyId]
        driver.tick(now)
        match message:
            case codec.Sync():
                scope = codec.scope(message)
                if message.scope != "X" and message.page not in self._pages:
                    raise codec.MalformedInputError(f"sync: page {message.page} was never sent")
                driver.update_endpoints(scope, self._pages[message.page] if message.scope != "X" else [])
            case codec.Knock():
                driver.start_dialog(codec.dialog(message))
            case codec.Accepted():
                driver.on_attempt_result(codec.standing(message))
            case codec.AttemptEnd():
                driver.on_attempt_result(codec.leg_end(message, fields))
            case codec.ClientGone():
                driver.on_caller_gone(message.msgId)
            case codec.Fired():
                driver.on_timer(message.ref)
            case codec.HealthResult():
                driver.update_load(message.server, codec.report(message.feedback, fields))


def main(source: BinaryIO, sink: BinaryIO) -> int:
    host = Host()
    for line in source:
        try:
            reply = host.reply(line)
        except codec.MalformedInputError as error:
            print(f"valverouter: malformed input: {error}", file=sys.stderr)
            return 2
        sink.write(reply)
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
