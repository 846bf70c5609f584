"""What callers got, counted from the same rows as the audit: service by traffic type, answers, legs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from valverouter.audit.rules import FINAL_ANSWERS
from valverouter.signalling.tap import AuditConfigRow, MessageRow, Row


@dataclass(slots=True)
class TrafficAccount:
    """One traffic type. `offered` counts first tries; a caller's later tries belong to its first."""

    offered: int = 0
    dial_attempts: int = 0
    within_objective: int = 0
    late: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    attempts: int = 0

    @property
    def service_level(self) -> float:
        return self.within_objective / self.offered if self.offered else 1.0


@dataclass(slots=True)
class _Chain:
    kind: str
    first_at: int
    served: str = ""


def account_by_type(rows: Iterable[Row]) -> dict[str, TrafficAccount]:
    """Accounts by traffic type, from the callers' first dialling on.

    A dialog serves when it stood within the objective, reckoned from the first try, and was not cut; one that
    was cut and came again is reckoned from that try.
    """
    whole = sorted(rows, key=lambda row: (row.at, row.seq))
    terms = next(row for row in whole if isinstance(row, AuditConfigRow))
    callers = {row.peer for row in whole if isinstance(row, MessageRow) and row.sent and row.kind == "setup"}
    accounts: dict[str, TrafficAccount] = defaultdict(TrafficAccount)
    chains: dict[str, _Chain] = {}
    stood: set[str] = set()
    for row in whole:
        if not isinstance(row, MessageRow) or not row.dialog:
            continue
        first = row.dialog.rpartition(".")[0] or row.dialog
        if row.peer not in callers:
            if not row.sent and row.kind == "setup":
                accounts[row.detail].attempts += 1
            continue
        if row.sent and row.kind == "setup":
            accounts[row.detail].dial_attempts += 1
            if first not in chains:
                accounts[row.detail].offered += 1
                chains[first] = _Chain(row.detail, row.at)
            elif chains[first].served == "cut":
                chains[first].first_at = row.at
        elif not row.sent and row.kind in (*FINAL_ANSWERS, "ended") and first in chains:
            chain = chains[first]
            if row.kind == "stands":
                if row.dialog in stood:
                    continue  # told again to a caller that came back; a later try that stands is another
                stood.add(row.dialog)
            if row.kind in FINAL_ANSWERS:
                accounts[chain.kind].answers[row.kind] += 1
            if row.kind == "stands":
                soon = row.at - chain.first_at <= terms.latency_objectives.get(chain.kind, 0)
                chain.served = "in" if soon else "late"
            elif (row.kind == "ended" and row.detail == "cut") or (row.kind == "unknown" and chain.served):
                chain.served = "cut"
                accounts[chain.kind].answers["cut"] += 1
    for chain in chains.values():
        accounts[chain.kind].within_objective += chain.served == "in"
        accounts[chain.kind].late += chain.served == "late"
    return dict(sorted(accounts.items()))


def weighted_service_level(accounts: dict[str, TrafficAccount], importance: dict[str, float]) -> float:
    """All types together, weighted by their importance."""
    offered = sum(one.offered * importance.get(kind, 1.0) for kind, one in accounts.items())
    served = sum(one.within_objective * importance.get(kind, 1.0) for kind, one in accounts.items())
    return served / offered if offered else 1.0
