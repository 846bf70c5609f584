"""What a keeper decides: one instance's program, started by version and started again, and the turns by which
it goes out.

The council tells what is wanted (`Want`); the keeper makes its instance so. Coming up needs nobody's leave.
Going out does: a turn by its permit's number, begun at most once, on disk before it begins. A word with a
lower turn than the highest begun is void, however late it comes; so is one that answers no report of this
process.

Without I/O: fed with what happened, it says what to do next and what to report. The machine's own wish (a
SIGTERM at the keeper) is always obeyed, and reported as out without leave.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from msgspec import Struct

from valverouter.rollout.disruption_limits import InstanceKind
from valverouter.rollout.operations import DesiredState

SECOND = 10**9
# A start that has not brought the program up by then has failed; after so many the turn is told as failed.
MAX_START_FAILURES = 3
# Before a program that ended is started again, doubled with each end in a row, and its most.
RESTART_BACKOFF_BASE = SECOND // 4
RESTART_BACKOFF_CAP = 15 * SECOND
# A program that ran for so long did come up: its end is an end, and not a failed start.
MIN_HEALTHY_UPTIME = 5 * SECOND
# Turns that are kept, for those who ask by number what became of one; the oldest leave.
MAX_KEPT_STEPS = 64


class Step(
    Struct,
    frozen=True,
    rename={"permit_number": "number", "index": "step", "operation": "order", "reason": "why"},
):
    """One that was begun. `outcome`: empty while it is under way, done, or failed."""

    permit_number: int
    index: int
    operation: str
    outcome: str = ""
    reason: str = ""


class SupervisorState(Struct, rename={"running_version": "running", "steps": "turns"}):
    """What the keeper's disk holds. `version`, `up`: what its instance should be. `process`: what was last
    started, in the carrier's words, and `running`, by which version: a keeper that was killed takes its
    program over again."""

    version: str
    up: bool = True
    process: str = ""
    running_version: str = ""
    steps: list[Step] = []

    @property
    def latest_step_id(self) -> tuple[int, int]:
        """The highest turn begun."""
        return (self.steps[-1].permit_number, self.steps[-1].index) if self.steps else (0, 0)


class InstanceCounters(
    Struct,
    frozen=True,
    rename={
        "incarnation": "life",
        "accepted": "taken",
        "rejected": "declined",
        "view_health": "trust",
        "memory_bytes": "memory",
        "version_label": "label",
        "pid": "process",
    },
):
    """What an instance tells of itself since its start; None of it is believed of a former process.

    `life`: of the process. `ready`: it has the list and a server. `trust`: in its view of the fleet.
    `memory`: bytes that its process holds, as its keeper sees them; 0: not known. `label`, `process`: the
    version that it was started as, and its number on its machine: by them a keeper that has lost its disk
    finds what it had started.
    """

    incarnation: int = 0
    serving: bool = False
    ready: bool = False
    accepted: int = 0
    rejected: int = 0
    lost: int = 0
    late: int = 0
    view_health: str = ""
    memory_bytes: int = 0
    version_label: str = ""
    pid: int = 0


class InstanceInfo(Struct, frozen=True, rename={"kind": "sort", "available_versions": "versions"}):
    """Who an instance is, as its keeper's terms say."""

    name: str
    kind: InstanceKind = InstanceKind.EDGE
    region: str = ""
    capacity: int = 0
    processor: float = 0.0
    available_versions: tuple[str, ...] = ()


class SupervisorReport(
    Struct,
    frozen=True,
    rename={
        "info": "facts",
        "is_running": "runs",
        "permit_number": "number",
        "step_index": "step",
        "reason": "why",
        "unexpected_exits": "ends",
        "is_leaving": "leaving",
        "counters": "counts",
    },
):
    """What a keeper tells the council, now and then. `number`, `step`: the highest turn begun, and
    `outcome`."""

    info: InstanceInfo
    version: str
    is_running: bool
    permit_number: int = 0
    step_index: int = 0
    outcome: str = ""
    reason: str = ""
    # Ends of the program that nobody asked for, since the last turn.
    unexpected_exits: int = 0
    # The machine has asked the keeper to go.
    is_leaving: bool = False
    # Whether it is to run, by that turn.
    up: bool = True
    counters: InstanceCounters = InstanceCounters()

    @property
    def step_id(self) -> tuple[int, int]:
        return self.permit_number, self.step_index


class SupervisorAction(Enum):
    """START the program of `version`; STOP it, as SIGTERM asks; SAVE the memory, before anything else. LEAVE:
    ask the list for a server's drain under the turn's number, and let it empty; RETURN: tell the list that
    the number is over."""

    START = "start"
    LEAVE_LIST = "leave"
    REJOIN_LIST = "return"
    STOP = "stop"
    SAVE = "save"


@dataclass(slots=True)
class Supervisor:
    """One instance's keeper. `act` gives what to do next, one thing after the other."""

    info: InstanceInfo
    state: SupervisorState
    is_running: bool = False
    running_version: str = ""
    unexpected_exits: int = 0
    is_leaving: bool = False
    counters: InstanceCounters = field(default_factory=InstanceCounters)
    _stopping: bool = False
    _unsaved: bool = False
    # The turn under way wants the program stopped first.
    _must_stop: bool = False
    # Of a server: asked of the list, and given; and the number that the list has still to be told is over.
    _leaving_list: bool = False
    _left_list: bool = False
    _refused: bool = False
    _returns: int = 0
    _starts: int = 0
    _began_at: int = 0
    _start_at: int = 0
    _ends_in_a_row: int = 0

    def on_desired_state(self, now: int, desired: DesiredState, is_open: bool) -> bool:
        """The council's word, in answer to a report of this process. Whether it began a turn.

        `is_open`: its permit is still held. Where it is not, this keeper has lost its disk: the turn was
        carried out by its former self, and is taken for done. What runs meanwhile goes on running: to take it
        out, for another version too, needs an open permit.
        """
        if self.is_leaving or desired.step_id <= self.state.latest_step_id:
            return False
        if not is_open:
            self.state.version, self.state.up = desired.version, desired.up
            self._begin(
                Step(
                    desired.permit_number, desired.step_index, desired.operation, "done", "of a former memory"
                )
            )
            return False
        if desired.version not in self.info.available_versions:
            self._begin(
                Step(
                    desired.permit_number,
                    desired.step_index,
                    desired.operation,
                    "failed",
                    f"no version {desired.version!r}",
                )
            )
            return True
        self.state.version, self.state.up = desired.version, desired.up
        self._begin(Step(desired.permit_number, desired.step_index, desired.operation))
        # Coming up again needs no stop of what runs as it should: a turn that was halted or refused before
        # its program went leaves it running.
        self._must_stop = self.is_running and (
            desired.step_index == 0 or self.running_version != desired.version
        )
        self._leaving_list = self._left_list = self._refused = False
        self._starts, self._start_at, self._ends_in_a_row, self.unexpected_exits = 0, now, 0, 0
        return True

    def _begin(self, turn: Step) -> None:
        self.state.steps.append(turn)
        del self.state.steps[:-MAX_KEPT_STEPS]
        self._unsaved = True

    def _finish(self, outcome: str, why: str = "") -> None:
        last = self.state.steps[-1]
        if last.outcome != outcome:
            self.state.steps[-1] = Step(last.permit_number, last.index, last.operation, outcome, why)
            self._unsaved = True

    @property
    def _open(self) -> bool:
        return bool(self.state.steps) and self.state.steps[-1].outcome in ("", "failed")

    def resume(self, is_running: bool) -> None:
        """After the keeper's own restart: a turn that was begun and not ended goes on from its beginning, its
        program being stopped if it still runs. It is the same turn, and it is told only once as done."""
        self.is_running = is_running
        self.running_version = self.state.running_version
        self._must_stop = is_running and self._open

    # What happened

    def on_started(self, now: int, version: str, process: str = "") -> None:
        self.state.process, self.state.running_version = process, version
        self._unsaved = True
        self.is_running, self.running_version, self._began_at = True, version, now
        self._stopping = False
        self.counters = InstanceCounters()

    def on_exited(self, now: int) -> None:
        """The program has ended, asked or not."""
        asked = self._stopping
        self.is_running, self._stopping, self._must_stop = False, False, False
        self.counters = InstanceCounters()
        if asked or self.is_leaving:
            self._start_at = now
            return
        came_up = now - self._began_at >= MIN_HEALTHY_UPTIME
        if self._open and not came_up:
            self._starts += 1
            if self._starts >= MAX_START_FAILURES:
                self._finish("failed", f"{self.state.version} ended {self._starts} times at its start")
        else:
            self.unexpected_exits += 1
        self._ends_in_a_row = 1 if came_up else self._ends_in_a_row + 1
        self._start_at = now + min(
            RESTART_BACKOFF_CAP, RESTART_BACKOFF_BASE << min(self._ends_in_a_row - 1, 10)
        )

    def on_start_failed(self, now: int) -> None:
        """There is no such command, or no process to be had."""
        self._began_at = now
        self.on_exited(now)

    def on_list_answer(self, granted: bool, reason: str = "") -> None:
        """What the list said to a server's leave. Refused, the turn has failed: the server stays as it is,
        and serves."""
        self._leaving_list = False
        if not self._open:
            return
        if granted:
            self._left_list = True
            return
        self._must_stop, self._refused = False, True
        self.state.up = True
        self._finish("failed", f"the list refuses: {reason}")

    def on_counters(self, counters: InstanceCounters) -> None:
        """What the instance answers of itself."""
        if not self.is_running or self._must_stop or self._stopping:
            return
        self.counters = counters
        if self._open and self.state.up and counters.serving and counters.ready and not self._refused:
            self._finish("done")
            self._returns = self.state.steps[-1].permit_number if self.info.kind is InstanceKind.SERVER else 0

    def shut_down(self) -> None:
        """The machine asks this keeper to go: obeyed, whatever the council says."""
        self.is_leaving = True

    # What to do

    def next_action(self, now: int) -> SupervisorAction | None:
        if self._unsaved:
            return SupervisorAction.SAVE
        if self.is_running:
            return self._unwanted()
        if self.is_leaving:
            return None
        if not self.state.up:
            if self._open:
                self._finish("done")
                return SupervisorAction.SAVE
            return None
        return SupervisorAction.START if now >= self._start_at else None

    def _unwanted(self) -> SupervisorAction | None:
        """Of a program that runs: whether it is to go, and how."""
        if self._stopping or not (self._must_stop or not self.state.up or self.is_leaving):
            if self._returns:
                self._returns = 0
                return SupervisorAction.REJOIN_LIST
            return None
        if self.info.kind is InstanceKind.SERVER and not self.is_leaving and not self._left_list:
            if self._leaving_list:
                return None
            self._leaving_list = True
            return SupervisorAction.LEAVE_LIST
        return SupervisorAction.STOP

    def on_saved(self) -> None:
        self._unsaved = False

    def on_stop_requested(self) -> None:
        self._stopping = True

    @property
    def next_start_at(self) -> int:
        """When to look again, if nothing happens."""
        return self._start_at

    def report(self) -> SupervisorReport:
        """Of a turn that is not on disk yet nothing is told."""
        last = self.state.steps[-1] if self.state.steps else Step(0, 0, "")
        if self._unsaved and self.state.steps:
            last = Step(last.permit_number, last.index, last.operation)
        return SupervisorReport(
            info=self.info,
            version=self.running_version if self.is_running else self.state.version,
            is_running=self.is_running and not self._must_stop,
            permit_number=last.permit_number,
            step_index=last.index,
            outcome=last.outcome,
            reason=last.reason,
            unexpected_exits=self.unexpected_exits,
            is_leaving=self.is_leaving,
            up=self.state.up,
            counters=self.counters,
        )
