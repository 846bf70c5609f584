"""What a run gave, in figures: read from the rows alone, as the audit reads them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.signalling.traffic_record import AuditConfigRow, MessageRow, PlacementRow, Row

SECOND = 1_000_000_000
WORST_WINDOW_LENGTH = 10 * SECOND
# In place of a weight of 0, by which nothing can be divided.
MIN_WEIGHT = 1e-9


def compute_metrics(rows: Sequence[Row]) -> dict[str, float]:
    """The figures of a run by name.

    Service in all, by type and in the worst 10 s; fractions of dialogs rejected, late and interrupted; dial
    attempts and attempts at servers for each dialog; the fraction of attempts that left their region; the
    most of a slow-start budget that was used; how many rules were violated.
    """
    config = next(row for row in rows if isinstance(row, AuditConfigRow))
    accounts, verdict = account_by_type(rows), audit(rows)
    totals = list(accounts.values())
    offered = sum(account.offered for account in totals) or 1
    attempts = sum(account.attempts for account in totals)
    figures = {
        "service": weighted_service_level(accounts, config.priority_weights),
        "worst-10s": worst_window_service(rows, config),
        "declined": sum(account.answers["declined"] for account in totals) / offered,
        "late": sum(account.late for account in totals) / offered,
        "cut": sum(account.answers["cut"] for account in totals) / offered,
        "tries": sum(account.dial_attempts for account in totals) / offered,
        "legs": attempts / offered,
        "crossings": _cross_region_attempts(rows) / max(1, attempts),
        "cold-margin": verdict.slow_start_budget_used,
        "rules-broken": float(len(verdict.violated_rules())),
    }
    by_type = {f"service {traffic_type}": account.service_level for traffic_type, account in accounts.items()}
    return figures | by_type


@dataclass(slots=True)
class _Second:
    """The weight of the dialogs first dialled in one second, and of those served in time."""

    offered: float = 0
    served: float = 0


def service_by_second(rows: Sequence[Row], config: AuditConfigRow) -> dict[int, tuple[float, float]]:
    """By second since the first dialog: the weight of the dialogs first dialled, and of those served in time.

    Redials belong to the first dialog; each dialog counts once, however often it is established again.
    """
    # When each unserved first dialog was dialled, and its type.
    unserved: dict[str, tuple[int, str]] = {}
    dialled: set[str] = set()
    seconds: defaultdict[int, _Second] = defaultdict(_Second)
    starts_at = next((row.at for row in rows if isinstance(row, MessageRow)), 0)
    for row in rows:
        if not isinstance(row, MessageRow) or not row.dialog:
            continue
        first_dialog = row.dialog.rpartition(".")[0] or row.dialog
        if row.sent and row.kind == "setup" and first_dialog not in dialled:
            dialled.add(first_dialog)
            unserved[first_dialog] = row.at, row.detail
            seconds[(row.at - starts_at) // SECOND].offered += config.priority_weights.get(row.detail, 1.0)
        elif not row.sent and row.kind == "stands" and first_dialog in unserved:
            dialled_at, traffic_type = unserved[first_dialog]
            if row.at - dialled_at <= config.latency_objectives.get(traffic_type, 0):
                weight = config.priority_weights.get(traffic_type, 1.0)
                seconds[(dialled_at - starts_at) // SECOND].served += weight
                del unserved[first_dialog]
    return {number: (second.offered, second.served) for number, second in sorted(seconds.items())}


def worst_window_service(rows: Sequence[Row], config: AuditConfigRow) -> float:
    """Service of the dialogs first dialled in the worst 10 s."""
    seconds, window_size = service_by_second(rows, config), WORST_WINDOW_LENGTH // SECOND
    levels = []
    for start in seconds:
        window = [seconds[second] for second in range(start, start + window_size) if second in seconds]
        if len(window) in (window_size, len(seconds)):
            served = sum(served for _, served in window)
            levels.append(served / max(MIN_WEIGHT, sum(offered for offered, _ in window)))
    return min(levels, default=1.0)


def _cross_region_attempts(rows: Sequence[Row]) -> int:
    regions = {row.name: row.region for row in rows if isinstance(row, PlacementRow)}
    return sum(
        regions.get(row.edge) != regions[row.peer]
        for row in rows
        if isinstance(row, MessageRow) and not row.sent and row.kind == "setup" and row.peer in regions
    )
