"""The reference model beside the real code, step by step, over fixed seeds; planted faults are caught."""

from __future__ import annotations

import dataclasses
import heapq
import logging
import random
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest
import structlog

from tests.helpers import MS, SECOND, TYPE
from tests.reference_model import RuleModel, Step
from tests.test_scenarios import FAULT_SETTINGS, short_scenario
from valverouter import interface
from valverouter.audit.rules import audit
from valverouter.config.attempts import AttemptConfig, AttemptKeys, AttemptSection
from valverouter.config.scenario import ScenarioConfig
from valverouter.driver import Driver
from valverouter.edge.attempts import AttemptHandler
from valverouter.edge.dialogs import DialogTable
from valverouter.edge.server_links import ServerLinks
from valverouter.interface import AttemptResult, Endpoint, EndpointUpdateKind, LoadReport, Outcome
from valverouter.policy import tuning
from valverouter.policy.capacity import SlowStart
from valverouter.scenarios.scenario_fakes import ScenarioFakes
from valverouter.scenarios.virtual import VirtualEdge, run_virtual
from valverouter.signalling import setup, traffic_record

# RowChecker the Driver: a fleet of three, each with its own draws of what becomes of each leg.

EDGES, PER_SECOND, LENGTH = 3, 20.0, 2 * SECOND
TERMS: dict[str, Any] = {
    "edge_proxies": EDGES, "own_server_number": -1, "endpoint_list_is_pushed": True, "max_attempts": 6,
    "can_cancel": True, "max_retry_after": 2 * SECOND, "release_delay": 300 * MS, "slow_start_fraction": 0.35,
    "overload_multiple": 1.2, "overload_window": SECOND, "slow_start_duration": 5 * SECOND,
}  # fmt: skip
TYPES = {
    "plain": dataclasses.replace(TYPE, mean_duration=LENGTH),
    "once": dataclasses.replace(TYPE, mean_duration=LENGTH, idempotent=False),
}
FATES = [Outcome.ESTABLISHED] * 14 + [
    Outcome.LINE_BUSY, Outcome.FAULT, Outcome.FULL, Outcome.NO_AGENT, Outcome.RESET, Outcome.UNREACHABLE,
    Outcome.TIMED_OUT, Outcome.TIMED_OUT,
]  # fmt: skip
CLOSES = (Outcome.LINE_BUSY, Outcome.FAULT, Outcome.FULL, Outcome.NO_AGENT)
ENDS = {Outcome.RESET: "reset", Outcome.UNREACHABLE: "unsent", Outcome.TIMED_OUT: "timed-out"}

Tamper = Callable[["Fleet", int, interface.Command], list[interface.Command]]


class Fleet:
    """Three Drivers in drawn events; every wish of theirs is shown to the model before it is carried out."""

    def __init__(self, seed: int, tamper: Tamper | None = None, **other: Any) -> None:
        self.chance = random.Random(seed)
        self.now = 1_000 * SECOND
        self.rules = RuleModel(TERMS["release_delay"])
        self.tamper = tamper
        self.tampered: list[int] = []
        self.terms = TERMS | other
        self.servers = {f"s{number}": number for number in range(4)}
        self.started = dict.fromkeys(self.servers, 0)
        self.phase = dict.fromkeys(self.servers, "in-service")
        self.standing: Counter[str] = Counter()
        self.drivers = [self._driver(place) for place in range(EDGES)]
        self.held_until = [0] * EDGES
        self.open: dict[str, tuple[int, int, str, int]] = {}  # dialog: place, leg, server, of its leg out
        self.agenda: list[tuple[int, int, Callable[[], None]]] = []
        self.serial = 0
        self.dialogs = 0
        self.last_arrival = 0
        self.until: dict[str, int] = {}

    def _driver(self, place: int) -> Driver:
        deployment = interface.Deployment(traffic_types=TYPES, fleet_index=place, **self.terms)
        driver = Driver(deployment, self.chance.randrange(10**6), self.now)
        driver.update_endpoints(EndpointUpdateKind.COMPLETE, [self.entry(server) for server in self.servers])
        for server in self.servers:
            self.told(place, server)
        return driver

    def entry(self, server: str) -> Endpoint:
        in_service = self.phase[server] == "in-service"
        return Endpoint(server, self.servers[server], in_service, self.started[server])

    def told(self, place: int, server: str) -> None:
        self.step("told", server=server, edge=f"e{place}", word=self.phase[server])

    def step(self, kind: str, **fields: Any) -> None:
        self.rules.step(Step(self.now, kind, **fields))

    def later(self, span: int, act: Callable[[], None]) -> None:
        self.serial += 1
        heapq.heappush(self.agenda, (self.now + span, self.serial, act))

    # What happens

    def run(self, length: int) -> None:
        end = self.now + length
        self.last_arrival = end - 15 * SECOND  # so that all get their answers in the run
        self.later(0, self.arrival)
        self.later(SECOND, self.trouble)
        for place in range(EDGES):
            self.carry_out(place)
        while self.agenda and self.agenda[0][0] <= end:
            self.now, _, act = heapq.heappop(self.agenda)
            act()
        self.now = end + 60 * SECOND
        self.step("passing")

    def feed(self, place: int, act: Callable[[Driver], None], driver: Driver | None = None) -> None:
        """Hands something to a Driver; to one that is held once it runs again, to a former one never."""
        mine = driver or self.drivers[place]
        if self.now < self.held_until[place]:
            self.later(self.held_until[place] - self.now, lambda: self.feed(place, act, mine))
        elif mine is self.drivers[place]:
            mine.tick(self.now)
            act(mine)
            self.carry_out(place)

    def arrival(self) -> None:
        if self.now < self.last_arrival:
            self.later(int(self.chance.expovariate(30) * SECOND) + 1, self.arrival)
        place = self.chance.randrange(EDGES)
        if self.now < self.held_until[place]:
            return
        self.dialogs += 1
        dialog, until = f"d{self.dialogs}", self.now + self.chance.choice([400 * MS, 3 * SECOND, 6 * SECOND])
        kind = self.chance.choice(["plain"] * 5 + ["once", "unknown"])
        self.until[dialog] = until
        self.step("taken", dialog=dialog, edge=f"e{place}", until=until)
        asked = interface.Dialog(dialog, kind, until, self.chance.randrange(4), self.chance.randrange(50))
        self.feed(place, lambda driver: driver.start_dialog(asked))
        if self.chance.random() < 0.04:
            self.later(self.chance.randrange(1, 2 * SECOND), lambda: self.caller_gone(dialog, place))

    def caller_gone(self, dialog: str, place: int) -> None:
        if any(step.dialog == dialog and step.kind == "answered" for step in self.rules.history):
            return
        if any(step.kind == "restarted" and step.edge == f"e{place}" for step in self.rules.history[-400:]):
            return  # it may be of the former process, which is known to nobody here any more
        self.step("caller-gone", dialog=dialog)
        if (out := self.open.pop(dialog, None)) is not None:
            self.step("let-go", dialog=dialog, leg=out[1], server=out[2])
        self.feed(place, lambda driver: driver.on_caller_gone(dialog))

    def over(self, dialog: str, place: int, leg: int, server: str, outcome: Outcome, driver: Driver) -> None:
        """A leg's end; told only where that leg is the one out, at the process that sent it."""
        if self.open.get(dialog) != (place, leg, server, id(driver)):
            return
        if (held := self.held_until[place] - self.now) > 0:  # nothing is heard or done by a held process
            self.later(held, lambda: self.over(dialog, place, leg, server, outcome, driver))
            return
        del self.open[dialog]
        if outcome is Outcome.ESTABLISHED:
            self.step("stood", dialog=dialog, leg=leg, server=server)
            self.answer(dialog, place, "stands")
            self.standing[server] += 1
            self.later(
                int(self.chance.expovariate(1) * LENGTH) + 1, lambda: self.ends(dialog, place, leg, server)
            )
        else:
            kind = "closed" if outcome in CLOSES else ENDS.get(outcome, "let-go")
            self.step(kind, dialog=dialog, leg=leg, server=server)
        asked = self.chance.randrange(SECOND) if outcome is Outcome.FULL else 0
        lines = 400.0
        report = LoadReport(free_lines=lines - self.standing[server], lines=lines)
        result = AttemptResult(dialog, leg, server, outcome, retry_after=asked, load_report=report)
        self.feed(place, lambda driver: driver.on_attempt_result(result), driver)

    def ends(self, dialog: str, place: int, leg: int, server: str) -> None:
        self.standing[server] -= 1
        if any(step.dialog == dialog and step.kind == "answered" for step in self.rules.history):
            self.step("ended", dialog=dialog)
        result = AttemptResult(dialog, leg, server, Outcome.ENDED, dialog_closed=True)
        self.feed(place, lambda driver: driver.on_attempt_result(result))

    def trouble(self) -> None:
        self.later(self.chance.randrange(200 * MS, 2 * SECOND), self.trouble)
        server, place = self.chance.choice(list(self.servers)), self.chance.randrange(EDGES)
        match self.chance.choice(["phase", "phase", "fresh", "fresh", "whole", "hold", "restart"]):
            case "phase":
                self.phase[server] = self.chance.choice(["draining", "gone", "in-service"])
                self.tell(server)
            case "fresh":
                self.started[server], self.phase[server] = self.now, "in-service"
                self.step(
                    "began",
                    server=server,
                    setups_per_second=PER_SECOND,
                    overload_multiple=TERMS["overload_multiple"],
                    overload_window=self.terms["overload_window"],
                    slow_start_fraction=self.terms["slow_start_fraction"],
                    slow_start_duration=self.terms["slow_start_duration"],
                )
                self.tell(server)
            case "whole":
                for name in self.servers:
                    self.told(place, name)
                entries = [self.entry(name) for name in self.servers]
                self.feed(place, lambda driver: driver.update_endpoints(EndpointUpdateKind.COMPLETE, entries))
            case "hold":
                until = self.now + self.chance.randrange(250 * MS, 2 * SECOND)
                self.held_until[place] = max(until, self.held_until[place])
                self.step("held", edge=f"e{place}", until=until)
            case "restart":
                self.step("restarted", edge=f"e{place}")
                for step in [step for step in self.rules.history if step.kind == "taken"]:
                    if step.edge == f"e{place}":
                        self.step("caller-gone", dialog=step.dialog)
                for dialog in [name for name, out in self.open.items() if out[0] == place]:
                    _, leg, at, _ = self.open.pop(dialog)
                    self.step("reset", dialog=dialog, leg=leg, server=at)
                self.drivers[place] = self._driver(place)
                self.carry_out(place)

    def tell(self, server: str) -> None:
        for place in range(EDGES):
            self.feed(place, lambda driver, place=place: self._hears(driver, place, server))  # type: ignore[misc]

    def _hears(self, driver: Driver, place: int, server: str) -> None:
        # What is told is what holds at the moment of hearing, which a held process reaches late.
        self.told(place, server)
        driver.update_endpoints(EndpointUpdateKind.INCREMENTAL, [self.entry(server)])

    # What the decisions wish

    def carry_out(self, place: int) -> None:
        driver = self.drivers[place]
        while driver.commands:
            for command in driver.take_commands():
                changed = self.tamper(self, place, command) if self.tamper else [command]
                if changed != [command]:
                    self.tampered.append(len(self.rules.history))
                for one in changed:
                    self.do(driver, place, one)

    def do(self, driver: Driver, place: int, command: interface.Command) -> None:
        if isinstance(command, interface.Timer):
            self.later(
                command.duration, lambda: self.feed(place, lambda d: d.on_timer(command.timer_id), driver)
            )
        elif isinstance(command, interface.DialogAction):
            dialog, wish = command.dialog_id, command.action
            if isinstance(wish, interface.StartAttempt):
                self.send(driver, place, dialog, wish)
            elif isinstance(wish, interface.CancelAttempt):
                out = self.open.get(dialog)
                if out is not None and out[1] == wish.attempt:
                    self.over(dialog, out[0], out[1], out[2], Outcome.CANCELLED, driver)
            else:
                word = "declined" if isinstance(wish, interface.Reject) else "aborted"
                self.answer(dialog, place, word)

    def answer(self, dialog: str, place: int, word: str) -> None:
        """An edge proxy that was held past the caller's time withholds the answer."""
        if self.now <= self.until[dialog] or not self.held_until[place] >= self.until[dialog]:
            self.step("answered", dialog=dialog, word=word)

    def send(self, driver: Driver, place: int, dialog: str, wish: interface.StartAttempt) -> None:
        leg = sum(step.kind == "sent" and step.dialog == dialog for step in self.rules.history)
        self.step("sent", dialog=dialog, leg=leg, server=wish.server, edge=f"e{place}")
        self.open[dialog] = (place, leg, wish.server, id(driver))
        fate, span = self.chance.choice(FATES), self.chance.randrange(MS, 120 * MS)
        if fate is Outcome.TIMED_OUT or self.now + span >= wish.deadline:
            fate, span = Outcome.TIMED_OUT, max(0, wish.deadline - self.now)
        self.later(span, lambda: self.over(dialog, place, leg, wish.server, fate, driver))


SEEN = {
    "taken", "answered stands", "answered declined", "answered aborted", "ended", "caller-gone", "sent",
    "stood", "closed", "timed-out", "reset", "let-go", "unsent", "told in-service", "told draining",
    "told gone", "began", "restarted", "held",
}  # fmt: skip


def test_decisions_and_model_agree_at_every_step_over_fixed_seeds() -> None:
    seen: Counter[str] = Counter()
    for seed in range(8):
        fleet = Fleet(seed)
        fleet.run(40 * SECOND)
        assert not fleet.rules.violations, (
            f"seed {seed}: {fleet.rules.violations[:3]}\n{fleet.rules.format_last()}"
        )
        seen += fleet.rules.counts()
    assert set(seen) - {"passing"} == SEEN, seen
    assert min(seen[kind] for kind in SEEN) >= 10, seen
    assert seen["taken"] > 3_000


def cold_sends(rules: RuleModel) -> int:
    began: dict[str, Step] = {}
    many = 0
    for step in rules.history:
        if step.kind == "began":
            began[step.server] = step
        elif step.kind == "sent" and step.server in began:
            many += step.at - began[step.server].at < began[step.server].slow_start_duration
    return many


def nothing_done(fleet: Fleet, place: int, command: interface.Command) -> list[interface.Command]:
    return [command]


def twice(fleet: Fleet, place: int, command: interface.Command) -> list[interface.Command]:
    final = isinstance(command, interface.DialogAction) and isinstance(command.action, interface.Reject)
    return [command, command] if final and fleet.dialogs > 20 else [command]


def never(fleet: Fleet, place: int, command: interface.Command) -> list[interface.Command]:
    final = isinstance(command, interface.DialogAction) and isinstance(command.action, interface.Reject)
    return [] if final and fleet.dialogs > 20 else [command]


def second_leg(fleet: Fleet, place: int, command: interface.Command) -> list[interface.Command]:
    if isinstance(command, interface.DialogAction) and isinstance(command.action, interface.StartAttempt):
        other = "s0" if command.action.server != "s0" else "s1"
        if fleet.phase[other] == "in-service":
            return [
                command,
                interface.DialogAction(command.dialog_id, dataclasses.replace(command.action, server=other)),
            ]
    return [command]


def to_one_told_gone(fleet: Fleet, place: int, command: interface.Command) -> list[interface.Command]:
    if isinstance(command, interface.DialogAction) and isinstance(command.action, interface.StartAttempt):
        for server in fleet.servers:
            told = [s for s in fleet.rules.history if s.kind == "told" and s.server == server]
            told = [s for s in told if s.edge == f"e{place}"]
            if told and told[-1].word != "in-service" and told[-1].at < fleet.now:
                return [
                    interface.DialogAction(
                        command.dialog_id, dataclasses.replace(command.action, server=server)
                    )
                ]
    return [command]


@pytest.mark.parametrize(
    ("rule", "tamper", "steps_later"), [(1, twice, 1), (2, second_leg, 1), (3, to_one_told_gone, 0)]
)
def test_a_planted_wish_is_caught_at_the_step_where_it_happens(
    rule: int, tamper: Tamper, steps_later: int
) -> None:
    for seed in range(2):
        fleet = Fleet(seed, tamper)
        fleet.run(32 * SECOND)
        found, step, why = fleet.rules.violations[0]
        assert fleet.tampered, (seed, why)
        assert (found, step) == (rule, fleet.tampered[0] + steps_later), (seed, why)


def test_an_answer_left_out_is_caught_at_the_first_step_past_its_time() -> None:
    fleet = Fleet(1, never)
    fleet.run(32 * SECOND)
    found, step, why = fleet.rules.violations[0]
    history = fleet.rules.history
    until = {taken.dialog: taken.until for taken in history if taken.kind == "taken"}[why.split()[0]]
    assert found == 1
    assert history[step - 1].at <= until < history[step].at


@pytest.mark.parametrize("planted", [False, True])
def test_a_cold_server_pushed_over_is_caught(monkeypatch: pytest.MonkeyPatch, planted: bool) -> None:
    if planted:
        monkeypatch.setattr(SlowStart, "has_slot", lambda *_: True)
    fleet = Fleet(4, nothing_done, slow_start_duration=20 * SECOND)
    fleet.run(40 * SECOND)
    assert {rule for rule, _, _ in fleet.rules.violations} == ({4} if planted else set())
    assert cold_sends(fleet.rules) > 30
    assert all(fleet.rules.history[step].kind == "sent" for _, step, _ in fleet.rules.violations)


def test_a_release_time_left_out_is_caught() -> None:
    fleet = Fleet(2, nothing_done, release_delay=0)
    fleet.run(40 * SECOND)
    assert {rule for rule, _, _ in fleet.rules.violations} == {5}


# RowChecker whole edge proxies in virtual time, row by row as bytes pass the sockets


class RowChecker:
    """Turns rows into steps of the model, at the moment they are written."""

    def __init__(self, script: ScenarioConfig) -> None:
        self.rules = RuleModel(script.fleet.release_wait)
        self.callers: dict[str, str] = {}
        self.leg: dict[str, tuple[str, int, str]] = {}
        self.asked: dict[str, setup.Setup] = {}
        self.first_at = -1

    def __call__(self, fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        sound = fakes.recorder.record

        def stepped(row_type: type[Any], **fields: Any) -> None:
            sound(row_type, **fields)
            before = len(self.rules.violations)
            self.row(fakes.recorder.rows[-1])
            if len(self.rules.violations) > before and self.first_at < 0:
                self.first_at = fakes.recorder.rows[-1].at

        fakes.recorder.record = stepped  # type: ignore[method-assign]

    def step(self, at: int, kind: str, **fields: Any) -> None:
        self.rules.step(Step(at, kind, **fields))

    def row(self, row: traffic_record.Row) -> None:
        match row:
            case traffic_record.EndpointUpdateRow():
                self.step(row.at, "told", server=row.server, edge=row.edge, word=row.phase)
            case traffic_record.ServerStartedRow():
                self.on_server_started(row)
            case traffic_record.FaultRow(kind="balancer_crash"):
                self.step(row.at, "restarted", edge=row.target)
            case traffic_record.FaultRow(kind="balancer_stall"):
                self.step(row.at, "held", edge=row.target, until=row.until)
            case traffic_record.ConnectionLostRow() if row.peer.startswith("c"):
                self.on_caller_lost(row)
            case traffic_record.ConnectionLostRow():
                self.on_server_lost(row)
            case traffic_record.MessageRow() if row.dialog and row.peer.startswith("c"):
                self.on_caller_message(row)
            case traffic_record.MessageRow() if row.dialog and row.peer.startswith("s"):
                self.on_server_message(row)

    def on_server_started(self, row: traffic_record.ServerStartedRow) -> None:
        self.step(
            row.at,
            "began",
            server=row.server,
            setups_per_second=SECOND / row.setup_work,
            overload_multiple=row.overload_multiple,
            overload_window=row.overload_window,
            slow_start_fraction=row.slow_start_fraction,
            slow_start_duration=row.slow_start_duration,
        )

    def on_caller_lost(self, row: traffic_record.ConnectionLostRow) -> None:
        for dialog in [name for name, caller in self.callers.items() if caller == row.peer]:
            del self.callers[dialog]
            self.step(row.at, "caller-gone", dialog=dialog)

    def on_server_lost(self, row: traffic_record.ConnectionLostRow) -> None:
        for dialog, (server, leg, edge) in list(self.leg.items()):
            if (server, edge) == (row.peer, row.edge):
                del self.leg[dialog]
                self.step(row.at, "reset", dialog=dialog, leg=leg, server=server)

    def on_caller_message(self, row: traffic_record.MessageRow) -> None:
        if row.sent and row.kind == "setup":
            self.callers[row.dialog] = row.peer
            self.step(row.at, "taken", dialog=row.dialog, edge=row.edge, until=row.at + row.duration)
        elif not row.sent and row.kind in ("stands", "declined", "aborted"):
            self.step(row.at, "answered", dialog=row.dialog, word=row.kind)
            if row.kind != "stands":
                self.callers.pop(row.dialog, None)
        elif not row.sent and row.kind == "ended":
            self.callers.pop(row.dialog, None)
            self.step(row.at, "ended", dialog=row.dialog)

    def on_server_message(self, row: traffic_record.MessageRow) -> None:
        about = {"dialog": row.dialog, "leg": row.leg, "server": row.peer}
        ours = self.leg.get(row.dialog) == (row.peer, row.leg, row.edge)
        if not row.sent and row.kind == "setup":
            self.step(row.at, "sent", edge=row.edge, **about)
            self.leg[row.dialog] = row.peer, row.leg, row.edge
        elif row.sent and row.kind == "stands" and ours:
            self.step(row.at, "stood", **about)
        elif row.sent and row.kind not in ("provisional", "stands") and ours:
            del self.leg[row.dialog]
            self.step(row.at, "closed", **about)
        elif not row.sent and row.kind in ("cancel", "release") and ours:
            del self.leg[row.dialog]
            self.step(row.at, "let-go" if row.kind == "cancel" else "closed", **about)


def both(
    script: ScenarioConfig, prepare: Callable[[ScenarioFakes, list[VirtualEdge]], None] | None = None
) -> tuple[RowChecker, set[int]]:
    """Plays the day with the model beside it; beside it, what the audit finds in the same rows."""
    beside = RowChecker(script)

    def prepared(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
        beside(fakes, edges)
        if prepare is not None:
            prepare(fakes, edges)

    rows = run_virtual(script, prepared)
    beside.step(rows[-1].at + 1, "passing")
    return beside, audit(rows).violated_rules()


def reloads(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
    """Other attempt terms at each edge proxy, every 700 ms, whatever its dialogs are doing."""

    def again(times: int) -> None:
        for edge in edges:
            if edge.proxy is not None:
                keys = AttemptKeys(legs=1 + times % 3, leg_time_out=(300 + 100 * (times % 4)) * MS)
                section = AttemptSection("a", "day", 1, keys, {})
                new = AttemptConfig((section,))
                edge.proxy.reload(msgspec.structs.replace(edge.proxy.config, attempts=new))
        if times < 10:
            fakes.scheduler.call_at(fakes.now() + 700 * MS, lambda: again(times + 1))

    fakes.scheduler.call_at(fakes.now() + SECOND, lambda: again(0))


@pytest.fixture
def quiet() -> Iterator[None]:
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    yield
    structlog.reset_defaults()


DAYS = [
    ("crash", "burst", "balancer_crash"),
    ("deploy", "answer_lost", "balancer_stall"),
    ("hang", "reconnect", "give_up"),
    ("vanish", "peer_down", "slow"),
]


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize("seed", [3, 4])
@pytest.mark.parametrize("kinds", DAYS, ids="-".join)
def test_whole_edge_proxies_and_model_agree_at_every_row(kinds: tuple[str, ...], seed: int) -> None:
    script = short_scenario(*((kind, FAULT_SETTINGS[kind]) for kind in kinds), length=6)
    script = msgspec.structs.replace(script, run=msgspec.structs.replace(script.run, seed=seed))
    beside, audited = both(script, reloads)
    assert not beside.rules.violations, (beside.rules.violations[:3], audited, beside.rules.format_last())
    assert not audited, (beside.rules.violations[:3], audited, beside.rules.format_last())
    counts = beside.rules.counts()
    assert counts["taken"] > 100, counts
    assert counts["sent"] > 60, counts
    assert counts["answered stands"] > 30, counts
    once = {
        "crash": "began",
        "balancer_crash": "restarted",
        "balancer_stall": "held",
        "deploy": "told draining",
    }
    assert all(counts[once[kind]] for kind in kinds if kind in once)
    assert counts["told gone"] + counts["reset"]


def plant(monkeypatch: pytest.MonkeyPatch, rule: int) -> Any:
    """One fault in the edge proxy; what it returns prepares the day."""
    match rule:
        case 1:
            sound = DialogTable.answer

            def mute(self: DialogTable, taken: Any, message: Any) -> None:
                if not message.dialog.endswith("5"):
                    sound(self, taken, message)

            monkeypatch.setattr(DialogTable, "answer", mute)
        case 2:
            sends = AttemptHandler.start

            def twice(self: AttemptHandler, dialog_id: str, action: Any) -> None:
                sends(self, dialog_id, action)
                taken = self._entries[dialog_id]
                links = (link for link in self._links.values() if link is not taken.link and link.is_writable)
                if (other := next(links, None)) is not None and dialog_id.endswith("7"):
                    other.start_attempt((dialog_id, 60), msgspec.structs.replace(taken.setup, leg=60))

            monkeypatch.setattr(AttemptHandler, "start", twice)
        case 3:
            listed = ServerLinks.on_endpoint_update

            def deaf(self: ServerLinks, update: Any) -> None:
                rows = [msgspec.structs.replace(row, phase="in-service") for row in update.rows]
                listed(self, type(update)(update.kind, rows))

            monkeypatch.setattr(ServerLinks, "on_endpoint_update", deaf)
        case 4:
            monkeypatch.setattr(tuning, "SLOW_START_MARGIN", 2 * tuning.SLOW_START_MARGIN)
        case 5:

            def hasty(fakes: ScenarioFakes, edges: list[VirtualEdge]) -> None:
                for edge in edges:
                    assert edge.proxy is not None
                    decides = edge.proxy.context.driver.policy
                    decides.deployment = dataclasses.replace(decides.deployment, release_delay=0)

            return hasty
    return None


@pytest.mark.usefixtures("quiet")
@pytest.mark.parametrize("rule", [1, 2, 3, 4, 5])
def test_a_fault_planted_in_the_edge_proxy_is_caught_by_model_and_audit(
    monkeypatch: pytest.MonkeyPatch, rule: int
) -> None:
    prepare = plant(monkeypatch, rule)
    script = short_scenario(
        ("deploy", FAULT_SETTINGS["deploy"]), ("answer_lost", FAULT_SETTINGS["answer_lost"]), length=4
    )
    if rule == 4:
        burst = ("burst", {"start": 0, "length": 20 * SECOND, "size": 3})
        crash = ("crash", {"start": 4 * SECOND, "length": 500 * MS, "part": 0.6})
        script = short_scenario(burst, crash, length=8, tip_multiple=0.8)
    beside, audited = both(script, prepare)
    assert rule in audited
    assert {found for found, _, _ in beside.rules.violations} == audited
