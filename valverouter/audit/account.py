"""Counts the calls served and the answers that callers received, by traffic type, from a traffic record."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from valverouter.audit.records import FINAL_ANSWERS, callers_in, in_order, is_received_setup, is_sent_setup
from valverouter.signalling.traffic_record import AuditConfigRow, MessageRow, Row


@dataclass(slots=True)
class TrafficAccount:
    """Counts of one traffic type.

    `offered`: calls; a call and its redials count once. `dial_attempts`: calls and redials.
    `within_objective`: calls established within the latency objective and not cut; `late`: those established
    later than that and not cut. `answers`: final answers by kind, and interrupted dialogs as "cut".
    `attempts`: set-ups received by servers.
    """

    offered: int = 0
    dial_attempts: int = 0
    within_objective: int = 0
    late: int = 0
    answers: Counter[str] = field(default_factory=Counter)
    attempts: int = 0

    @property
    def service_level(self) -> float:
        """The fraction of offered calls that were served within the objective; 1.0 if none was offered."""
        return self.within_objective / self.offered if self.offered else 1.0


class _Service(Enum):
    NONE = auto()
    WITHIN_OBJECTIVE = auto()
    LATE = auto()
    CUT = auto()


@dataclass(slots=True)
class _Call:
    """A call with its redials. `since`: the time from which its latency is measured, ns."""

    traffic_type: str
    since: int
    service: _Service = _Service.NONE


def account_by_type(rows: Iterable[Row]) -> dict[str, TrafficAccount]:
    """Returns the accounts by traffic type, in alphabetical order.

    The latency of a call is measured from its first set-up, or, after its dialog was cut, from the set-up of
    the redial.
    """
    ordered = in_order(rows)
    config = next(row for row in ordered if isinstance(row, AuditConfigRow))
    callers = callers_in(ordered)
    accounting = _Accounting(config.latency_objectives)
    for row in ordered:
        if not isinstance(row, MessageRow) or not row.dialog:
            continue
        if row.peer in callers:
            accounting.on_caller_message(row)
        elif is_received_setup(row):
            accounting.accounts[row.detail].attempts += 1
    return accounting.finish()


class _Accounting:
    """Accumulates calls while a record is read."""

    def __init__(self, latency_objectives: Mapping[str, int]) -> None:
        self.accounts: dict[str, TrafficAccount] = defaultdict(TrafficAccount)
        self._latency_objectives = latency_objectives
        # By the first dialog of each call.
        self._calls: dict[str, _Call] = {}
        self._established: set[str] = set()

    def on_caller_message(self, row: MessageRow) -> None:
        """Processes a message between a caller and its edge proxy."""
        first_dialog = row.dialog.rpartition(".")[0] or row.dialog
        if is_sent_setup(row):
            self._on_dialled(row, first_dialog)
        elif not row.sent and first_dialog in self._calls:
            self._on_response(row, self._calls[first_dialog])

    def _on_dialled(self, row: MessageRow, first_dialog: str) -> None:
        account = self.accounts[row.detail]
        account.dial_attempts += 1
        if first_dialog not in self._calls:
            account.offered += 1
            self._calls[first_dialog] = _Call(row.detail, row.at)
        elif self._calls[first_dialog].service is _Service.CUT:
            self._calls[first_dialog].since = row.at

    def _on_response(self, row: MessageRow, call: _Call) -> None:
        if row.kind == "stands":
            if row.dialog in self._established:
                return  # Repeated after the caller resumed the dialog; a redial has another dialog id.
            self._established.add(row.dialog)
        account = self.accounts[call.traffic_type]
        if row.kind in FINAL_ANSWERS:
            account.answers[row.kind] += 1
        if row.kind == "stands":
            objective = self._latency_objectives.get(call.traffic_type, 0)
            is_within = row.at - call.since <= objective
            call.service = _Service.WITHIN_OBJECTIVE if is_within else _Service.LATE
        elif _is_cut(row, call):
            call.service = _Service.CUT
            account.answers["cut"] += 1

    def finish(self) -> dict[str, TrafficAccount]:
        """Adds the served calls to the accounts and returns them."""
        for call in self._calls.values():
            account = self.accounts[call.traffic_type]
            account.within_objective += call.service is _Service.WITHIN_OBJECTIVE
            account.late += call.service is _Service.LATE
        return dict(sorted(self.accounts.items()))


def _is_cut(row: MessageRow, call: _Call) -> bool:
    """Returns whether an established dialog was cut, or has become unknown to the edge proxy."""
    if row.kind == "ended":
        return row.detail == "cut"
    return row.kind == "unknown" and call.service is not _Service.NONE


def weighted_service_level(accounts: Mapping[str, TrafficAccount], weights: Mapping[str, float]) -> float:
    """Returns the weighted service level of all traffic types; the default weight is 1."""
    offered = sum(account.offered * weights.get(kind, 1.0) for kind, account in accounts.items())
    served = sum(account.within_objective * weights.get(kind, 1.0) for kind, account in accounts.items())
    return served / offered if offered else 1.0
