"""`python -m valverouter.simulator_adapter`: reads batches from standard input and replies to each."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

from valverouter.driver import Driver
from valverouter.interface import Endpoint
from valverouter.simulator_adapter import codec


class ProxyHost:
    """The edge proxies of this process by id, and the pages of the endpoint list received so far."""

    def __init__(self) -> None:
        self._proxies: dict[str, tuple[Driver, list[str]]] = {}
        self._pages: dict[int, list[Endpoint]] = {}

    def reply(self, line: bytes) -> bytes:
        """Handles one batch and returns the encoded reply; raises MalformedInputError if it is invalid."""
        now, messages = codec.read_batch(line)
        steps: list[dict[str, Any]] = []
        for name, message in messages:
            if isinstance(message, codec.Page):
                self._pages[message.page] = codec.endpoints(message.rows)
                continue
            try:
                self._deliver(now, name, message)
                known = self._proxies.get(message.proxyId)
                commands = known[0].take_commands() if known else []
            except codec.MalformedInputError:
                raise
            except Exception as error:  # the simulator expects any failure of the policies as a step
                steps.append(codec.encode_fatal(message.proxyId, f"{name}: {type(error).__name__}: {error}"))
                break
            steps += [codec.encode_command(message.proxyId, command) for command in commands]
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
        if isinstance(message, codec.Sync):
            self._update_endpoints(driver, message)
        else:
            _handle_event(driver, message, fields)

    def _update_endpoints(self, driver: Driver, message: codec.Sync) -> None:
        kind = codec.update_kind(message)
        has_page = message.scope != "X"
        if has_page and message.page not in self._pages:
            raise codec.MalformedInputError(f"sync: page {message.page} was not received")
        driver.update_endpoints(kind, self._pages[message.page] if has_page else [])


def _handle_event(driver: Driver, message: codec.Message, fields: list[str]) -> None:
    """Passes an event to the driver of its edge proxy; `fields` names the values in load reports."""
    match message:
        case codec.Knock():
            driver.start_dialog(codec.dialog(message))
        case codec.Accepted():
            driver.on_attempt_result(codec.attempt_established(message))
        case codec.AttemptEnd():
            driver.on_attempt_result(codec.attempt_result(message, fields))
        case codec.ClientGone():
            driver.on_caller_gone(message.msgId)
        case codec.Fired():
            driver.on_timer(message.ref)
        case codec.HealthResult():
            driver.update_load(message.server, codec.load_report(message.feedback, fields))


def main(source: BinaryIO, sink: BinaryIO) -> int:
    """Serves batches until the end of `source`; returns the exit code, 2 for malformed input."""
    host = ProxyHost()
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
