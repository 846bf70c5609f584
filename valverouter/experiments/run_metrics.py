"""The metrics of a run, computed from the recorded rows alone, as the audit does."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.signalling.traffic_record import AuditConfigRow, MessageRow, PlacementRow, Row

SECOND = 1_000_000_000
WORST_WINDOW_LENGTH = 10 * SECOND
# Replaces a total weight of 0 as a divisor.
MIN_WEIGHT = 1e-9


def compute_metrics(rows: Sequence[Row]) -> dict[str, float]:
    """Returns the metrics of a run by name.

    These are the service level overall, by type and in the worst 10 s; the fractions of dialogs rejected,
    late and interrupted; dial attempts and attempts at servers per dialog; the fraction of cross-region
    attempts; the largest fraction of a slow-start budget that was used; and the number of violated rules.
    """
    config = next(row for row in rows if isinstance(row, AuditConfigRow))
    accounts, verdict = account_by_type(rows), audit(rows)
    totals = list(accounts.values())
    offered = sum(account.offered for account in totals) or 1
    attempts = sum(account.attempts for account in totals)
    metrics = {
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
    return metrics | by_type


@dataclass(slots=True)
class _Second:
    """The total weight of the dialogs first dialled in one second, and of those served in time."""

    offered: float = 0
    served: float = 0


def service_by_second(rows: Sequence[Row], config: AuditConfigRow) -> dict[int, tuple[float, float]]:
    """Returns the weights of the dialogs first dialled and of those served in time, by second of the run.

    Redials belong to the first dialog; each dialog counts once, however often it is established again.
    """
    # The dial time and traffic type of each first dialog that has not been served yet.
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
    """Returns the lowest service level of the dialogs first dialled within any 10 s."""
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
