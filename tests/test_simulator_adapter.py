"""The simulator's adapter: events and replies on the wire, and errors that name the malformed field."""
# fmt: off


from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from valverouter.policy.tuning import HEARTBEAT_INTERVAL
from valverouter.simulator_adapter.__main__ import ProxyHost
from valverouter.simulator_adapter.codec import MalformedInputError

OPTIONS: dict[str, Any] = {
    "categories": [{"name": "booking", "objectiveUs": 1_500_000, "deadlineUs": 9_000_000}],
    "nInstances": 2, "discovery": "pushed",
    "limits": {"sendCap": 3, "maxRetryAfterUs": 2_000_000, "retryAfter": True},
    "extra": {"classCells": [[0]], "releaseGuardUs": 300_000, "brandNew": 1},
    "report": {"fields": ["idle", "circuits", "recent_ms"]},
}
ROW = {"phase": "in_service", "number": 0, "server": "s.a"}
KNOCK = {"proxyId": "p/0", "msgId": "id-1", "dropDeadUs": 3_000_000, "priority": "booking", "dest": 0}
END = {"proxyId": "p/0", "msgId": "id-1", "n": 0, "server": "s.a"}
START: list[dict[str, Any]] = [
    {"powerOn": {"proxyId": "p/0", "seed": 3, "options": OPTIONS}},
    {"snapshotRows": {"page": 0, "rows": [ROW]}},
    {"sync": {"proxyId": "p/0", "scope": "C", "page": 0}},
]


def line(messages: Any, now: Any = 1_000) -> bytes:
    return json.dumps({"tsUs": now, "input": messages}).encode()


def steps(host: ProxyHost, *messages: Any) -> list[Any]:
    reply_steps = json.loads(host.reply(line(list(messages))))["steps"]
    return [s for s in reply_steps if s.get("setAlarm", {}).get("spanUs") != HEARTBEAT_INTERVAL // 1_000]


FORWARD_STEP = {"forward": {"proxyId": "p/0", "msgId": "id-1", "server": "s.a", "untilUs": 3_000_000}}


@pytest.mark.parametrize(("event", "action"), [
        ({"accepted": {**END, "durationUs": 9}}, None),
        ({"attemptEnd": {**END, "result": 0, "why": 4}}, "surrender"),
        ({"attemptEnd": {**END, "result": 2, "why": 3 + 16 * 500}}, "setAlarm"),
        ({"attemptEnd": {**END, "result": 2, "why": 3 + 16 * 5000}}, "notNow"),
        ({"attemptEnd": {**END, "result": 2, "why": 1}}, "notNow"),
        ({"attemptEnd": {**END, "result": 1, "closed": True}}, None),
        ({"clientGone": {"proxyId": "p/0", "msgId": "id-1"}}, None),
        ({"clientGone": {"proxyId": "p/0", "msgId": "never-seen"}}, None),
        ({"healthResult": {"proxyId": "p/0", "server": "s.a", "result": 1, "feedback": [3, 9, -1]}}, None),
        ({"noteFrom": {"proxyId": "p/0", "neighbour": 1, "contents": "aGk="}}, None),
        ({"fired": {"proxyId": "p/0", "ref": 99}}, None), ({"destroy": {"proxyId": "p/0"}}, None),
])
def test_events_and_actions(event: dict[str, Any], action: str | None) -> None:
    host = ProxyHost()
    assert steps(host, *START, {"knock": KNOCK}) == [FORWARD_STEP]
    assert [next(iter(s)) for s in steps(host, event)] == ([action] if action else [])


def test_restart_in_one_batch_clears_state_and_a_page_can_be_replaced() -> None:
    host = ProxyHost()
    steps(host, *START, {"knock": KNOCK})
    again = {"snapshotRows": {"page": 0, "rows": [{**ROW, "server": "s.b"}]}}
    reply_steps = steps(host, {"destroy": {"proxyId": "p/0"}}, START[0], again, START[2], {"knock": KNOCK})
    assert reply_steps[0]["forward"]["server"] == "s.b"


BAD_OPTIONS: dict[str, dict[str, Any]] = {
    "categories": {"categories": []}, "nInstances": {"nInstances": 0}, "discovery": {"discovery": "psychic"},
    "sendCap": {"limits": {"sendCap": 0}}, "startCapacity": {"rules": {"startCapacity": 0.0}},
    "tipMultiple": {"rules": {"tipMultiple": 0.0}}, "classCells": {"extra": {"classCells": [[0], [1]]}},
}


@pytest.mark.parametrize(("malformed", "expected_words"), [
        (b"not json", ("malformed",)), (b'{"tsUs":1}', ("input",)), (line([], now="x"), ("tsUs",)),
        (line([{"knock": {**KNOCK, "msgId": 4}}]), ("knock", "msgId")),
        (line([{"attemptEnd": {**END}}]), ("attemptEnd", "result")),
        (line([START[0], {"attemptEnd": {**END, "result": 12}}]), ("attemptEnd", "result")),
        (line([{}]), ("input[0]",)),
        (line([START[0], {"sync": {"proxyId": "p/0", "scope": "Q", "page": 0}}]), ("sync", "scope")),
        (line([START[0], {"sync": {"proxyId": "p/0", "scope": "F", "page": 7}}]), ("sync", "page")),
        *(
            (line([{"powerOn": {"proxyId": "p/0", "seed": 1, "options": {**OPTIONS, **part}}}]), (name,))
            for name, part in BAD_OPTIONS.items()
        ),
])
def test_an_error_names_the_malformed_field(malformed: bytes, expected_words: tuple[str, ...]) -> None:
    with pytest.raises(MalformedInputError) as caught:
        ProxyHost().reply(malformed)
    assert all(word in str(caught.value) for word in expected_words)


MODULES = ["valverouter.simulator_adapter", "valverouter.wirehost"]


@pytest.mark.parametrize("module", MODULES)
def test_process_answers_a_batch(module: str) -> None:
    batch = line([*START, {"knock": KNOCK}])
    command = [sys.executable, "-m", module]
    result = subprocess.run(command, input=batch + b"\n", capture_output=True, check=False)
    assert (result.returncode, result.stderr) == (0, b"")
    assert result.stdout == ProxyHost().reply(batch)


@pytest.mark.parametrize("module", MODULES)
def test_process_exits_with_one_line_on_malformed_input(module: str) -> None:
    result = subprocess.run(
        [sys.executable, "-m", module], input=b"{}\n", capture_output=True, check=False
    )
    assert (result.returncode, result.stdout) == (2, b"")
    assert result.stderr.count(b"\n") == 1


def test_an_unexpected_exception_becomes_a_fatal_step(monkeypatch: pytest.MonkeyPatch) -> None:
    host = ProxyHost()
    steps(host, *START)
    monkeypatch.setattr("valverouter.policy.routing.RoutingPolicy.dialog_flow", lambda *_: 1 / 0)
    assert "ZeroDivisionError" in steps(host, {"knock": KNOCK})[0]["fatal"]["message"]
