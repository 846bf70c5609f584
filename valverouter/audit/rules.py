"""The five rules, checked from rows of what passed over the sockets at the far ends of an edge proxy.

Each check reads the rows alone: what callers, servers and the list service sent and heard. `slack` is the
clock's looseness between two far ends on real sockets; in virtual time it is 0 and the checks are exact.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from valverouter.signalling.tap import (
    AuditConfigRow,
    ConnectionLostRow,
    EndpointUpdateRow,
    FaultRow,
    MessageRow,
    Row,
    ServerStartedRow,
)

FINAL_ANSWERS = ("stands", "declined", "aborted", "unknown")
CLOSES = ("ended", "line-busy", "full", "no-agent", "fault", "cancelled", "unknown")


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule broken: which, when, on what (dialog or server), and how the record shows it."""

    rule: int
    at: int
    subject: str
    text: str


@dataclass(slots=True)
class Verdict:
    """All breaches, and how much was there to check; a verdict on nothing is worth nothing."""

    violations: list[Violation] = field(default_factory=list)
    check_counts: dict[int, int] = field(default_factory=lambda: dict.fromkeys(range(1, 6), 0))
    slow_start_budget_used: float = 0.0
    # How often a caller came back for a dialog on another connection, and how often for one that had stood
    # and was not known any more.
    resumptions: int = 0
    forgotten_dialogs: int = 0

    @property
    def passed(self) -> bool:
        return not self.violations

    def violated_rules(self) -> set[int]:
        return {breach.rule for breach in self.violations}


def audit(rows: Iterable[Row]) -> Verdict:
    """Checks all five rules over a whole record."""
    whole = sorted(rows, key=lambda row: (row.at, row.seq))
    terms = next((row for row in whole if isinstance(row, AuditConfigRow)), None)
    if terms is None:
        raise ValueError("the record holds no terms: nothing to check it against")
    verdict = Verdict()
    _one_answer(whole, terms, verdict)
    _one_leg_and_release(whole, terms, verdict)
    _drains(whole, terms, verdict)
    _cold(whole, terms, verdict)
    return verdict


def _during(faults: Sequence[FaultRow], target: str, at: int, slack: int = 0) -> bool:
    return any(fault.target == target and fault.at <= at <= fault.until + slack for fault in faults)


def _faults(rows: Iterable[Row], kind: str) -> list[FaultRow]:
    return [row for row in rows if isinstance(row, FaultRow) and row.kind == kind]


def _one_answer(rows: Sequence[Row], terms: AuditConfigRow, verdict: Verdict) -> None:
    """Rule 1: exactly one final answer within the no-answer time, and nothing after but the end of what
    stands.

    Nothing is owed once the caller's own connection is gone, until it resumes on another: then the answer is
    owed as before, and one that was given may come again, the same. What was told as taken or standing is
    known when it is asked for again. No answer can be asked of a process that was held through the no-answer
    time; a late one is a breach all the same.
    """
    callers = {row.peer for row in rows if isinstance(row, MessageRow) and row.sent and row.kind == "setup"}
    stalls = _faults(rows, "balancer_stall")
    open_: dict[str, MessageRow] = {}
    by_caller: dict[str, set[str]] = defaultdict(set)
    said: dict[str, list[str]] = {}
    # Open when their caller's connection was lost, and those told as taken: asked for again, they are owed.
    away: dict[str, MessageRow] = {}
    taken: set[str] = set()

    def breach(at: int, dialog: str, text: str) -> None:
        verdict.violations.append(Violation(1, at, dialog, text))

    def owed(asked: MessageRow, now: int) -> None:
        until = asked.at + asked.duration
        if until + terms.slack < now and not _during(stalls, asked.edge, until):
            breach(until, asked.dialog, "no final answer in its time")

    for row in rows:
        if isinstance(row, ConnectionLostRow) and row.peer in callers:
            for dialog in sorted(by_caller.pop(row.peer, set())):
                # What was overdue by then stays so: every record ends with the callers' connections, and
                # forgiving all that was open then forgave every answer that never came.
                if (asked := open_.pop(dialog, None)) is not None:
                    owed(asked, row.at)
                    away[dialog] = asked
                said.setdefault(dialog, []).append("lost")
        if not isinstance(row, MessageRow) or row.peer not in callers or not row.dialog:
            continue
        if row.sent and row.kind == "setup":
            verdict.check_counts[1] += 1
            open_[row.dialog] = row
            by_caller[row.peer].add(row.dialog)
            said[row.dialog] = []
        elif row.sent and row.kind == "resume":
            verdict.resumptions += 1
            words = said.setdefault(row.dialog, [])
            if words and words[-1] == "lost":
                words.pop()
            if (asked := away.pop(row.dialog, None)) is not None:
                open_[row.dialog] = asked
            elif words in (["stands"], ["declined"], ["aborted"]):
                words[0] += " before"
            by_caller[row.peer].add(row.dialog)
        elif not row.sent and row.kind == "provisional" and not said.get(row.dialog):
            taken.add(row.dialog)
        elif not row.sent and said.get(row.dialog) == [f"{row.kind} before"]:
            said[row.dialog] = [row.kind]
        elif not row.sent and row.kind == "unknown" and said.get(row.dialog) == ["stands before"]:
            said[row.dialog] = ["stands", "ended"]
            verdict.forgotten_dialogs += 1
        elif not row.sent and row.kind in FINAL_ANSWERS:
            if row.kind == "unknown" and row.dialog in taken:
                breach(row.at, row.dialog, "unknown after it was told as taken")
            words = said.setdefault(row.dialog, [])
            answered = open_.pop(row.dialog, None)
            by_caller[row.peer].discard(row.dialog)
            if words:
                breach(row.at, row.dialog, f"{row.kind} after {words[-1]}")
            elif answered is not None and row.at > answered.at + answered.duration + terms.slack:
                over = row.at - answered.at - answered.duration
                breach(row.at, row.dialog, f"{row.kind} {over} ns after its time")
            words.append(row.kind)
        elif not row.sent:
            words = said.get(row.dialog, [])
            if (words or row.kind == "ended") and (row.kind != "ended" or words != ["stands"]):
                breach(row.at, row.dialog, f"{row.kind} after {words[-1] if words else 'no answer'}")
            if words:
                words.append(row.kind)
    end = rows[-1].at if rows else 0
    for asked in open_.values():
        owed(asked, end)


def _one_leg_and_release(rows: Sequence[Row], terms: AuditConfigRow, verdict: Verdict) -> None:
    """Rules 2 and 5: a leg is out from its set-up at a server until the server closed it, was told to let go,
    or lost the connection; after the latter two, unless it stood, the release time passes before the next."""
    servers = {
        row.peer for row in rows if isinstance(row, MessageRow) and not row.sent and row.kind == "setup"
    }
    held = _faults(rows, "held")
    out: dict[str, MessageRow] = {}
    stood: set[str] = set()
    let_go: dict[str, tuple[int, str]] = {}
    by_link: dict[tuple[str, str], set[str]] = defaultdict(set)
    for row in rows:
        if isinstance(row, ConnectionLostRow) and row.peer in servers:
            for dialog in by_link.pop((row.edge, row.peer), set()):
                leg = out.pop(dialog, None)
                if leg is not None and dialog not in stood:
                    let_go[dialog] = row.at, "its connection was lost"
        if not isinstance(row, MessageRow) or row.peer not in servers or not row.dialog:
            continue
        link = (row.edge, row.peer)
        if not row.sent and row.kind == "setup":
            verdict.check_counts[2] += 1
            former = out.get(row.dialog)
            if former is not None:
                text = f"leg {row.leg} at {row.peer} while leg {former.leg} is out at {former.peer}"
                verdict.violations.append(Violation(2, row.at, row.dialog, text))
            if row.dialog in let_go and not _during(held, row.peer, row.at, terms.slack):
                verdict.check_counts[5] += 1
                since, why = let_go.pop(row.dialog)
                if row.at - since < terms.release_wait - terms.slack:
                    text = f"sent again {row.at - since} ns after {why}"
                    verdict.violations.append(Violation(5, row.at, row.dialog, text))
            out[row.dialog] = row
            by_link[link].add(row.dialog)
            stood.discard(row.dialog)
        elif row.dialog in out and out[row.dialog].leg == row.leg and out[row.dialog].peer == row.peer:
            if row.sent and row.kind == "stands":
                stood.add(row.dialog)
            elif (row.sent and row.kind in CLOSES) or (not row.sent and row.kind in ("cancel", "release")):
                del out[row.dialog]
                by_link[link].discard(row.dialog)
                if row.kind == "cancel" and not _during(held, row.peer, row.at, terms.slack):
                    let_go[row.dialog] = row.at, "it was let go"
                stood.discard(row.dialog)


def _drains(rows: Sequence[Row], terms: AuditConfigRow, verdict: Verdict) -> None:
    """Rule 3: from the moment an edge proxy is told that a server drains or is gone, nothing new to it.

    A new process of the edge proxy has been told nothing yet. What a server reads late because it was held
    had left the edge at an unknown moment before.
    """
    out_of_service: dict[tuple[str, str], int] = {}
    held = _faults(rows, "held")
    for row in rows:
        if isinstance(row, EndpointUpdateRow):
            if row.phase == "in-service":
                out_of_service.pop((row.edge, row.server), None)
            else:
                out_of_service.setdefault((row.edge, row.server), row.at)
        elif isinstance(row, FaultRow) and row.kind == "balancer_crash":
            out_of_service = {key: at for key, at in out_of_service.items() if key[0] != row.target}
        elif isinstance(row, MessageRow) and not row.sent and row.kind == "setup":
            told = out_of_service.get((row.edge, row.peer))
            if told is None:
                continue
            verdict.check_counts[3] += 1
            if row.at > told + terms.slack and not _during(held, row.peer, row.at, terms.slack):
                text = f"dialog {row.dialog} came {row.at - told} ns after {row.edge} was told"
                verdict.violations.append(Violation(3, row.at, row.peer, text))
    verdict.check_counts[3] += sum(
        isinstance(row, EndpointUpdateRow) and row.phase != "in-service" for row in rows
    )


def _cold(rows: Sequence[Row], terms: AuditConfigRow, verdict: Verdict) -> None:
    """Rule 4: the work that all edge proxies send a cold server within any window stays under the multiple of
    what it can do; reckoned at the window's beginning, when it can do least."""
    began: dict[str, ServerStartedRow] = {}
    came: dict[str, list[int]] = defaultdict(list)
    for row in rows:
        if isinstance(row, ServerStartedRow):
            began[row.server] = row
            came[row.server] = []
        elif isinstance(row, MessageRow) and not row.sent and row.kind == "setup" and row.peer in began:
            start = began[row.peer]
            if row.at - start.at >= start.slow_start_duration:
                continue
            verdict.check_counts[4] += 1
            window = came[row.peer]
            window.append(row.at)
            while window[0] <= row.at - start.overload_window:
                window.pop(0)
            age = max(0, row.at - start.overload_window - start.at)
            share = (
                start.slow_start_fraction + (1 - start.slow_start_fraction) * age / start.slow_start_duration
            )
            used = len(window) * start.setup_work / (start.overload_multiple * share * start.overload_window)
            verdict.slow_start_budget_used = max(verdict.slow_start_budget_used, used)
            if used >= 1:
                text = f"{len(window)} set-ups in a window, {used:.2f} of what tips it"
                verdict.violations.append(Violation(4, row.at, row.peer, text))
