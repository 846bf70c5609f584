"""What a run gave, in figures: read from the rows alone, as the audit reads them."""

from __future__ import annotations

from collections.abc import Sequence

from valverouter.audit.account import account_by_type, weighted_service_level
from valverouter.audit.rules import audit
from valverouter.signalling.tap import AuditConfigRow, MessageRow, PlacementRow, Row

SECOND = 1_000_000_000
WORST_SPAN = 10 * SECOND


def figures(rows: Sequence[Row]) -> dict[str, float]:
    """Service in all, by class and in the worst 10 s; shares of dialogs declined and late; legs a dialog;
    crossings a leg; the most of a cold budget that was used; how many rules broke."""
    terms = next(row for row in rows if isinstance(row, AuditConfigRow))
    accounts, verdict = account_by_type(rows), audit(rows)
    offered = sum(one.offered for one in accounts.values()) or 1
    legs = sum(one.attempts for one in accounts.values())
    found = {
        "service": weighted_service_level(accounts, terms.priority_weights),
        "worst-10s": worst(rows, terms),
        "declined": sum(one.answers["declined"] for one in accounts.values()) / offered,
        "late": sum(one.late for one in accounts.values()) / offered,
        "cut": sum(one.answers["cut"] for one in accounts.values()) / offered,
        "tries": sum(one.dial_attempts for one in accounts.values()) / offered,
        "legs": legs / offered,
        "crossings": _crossings(rows) / max(1, legs),
        "cold-margin": verdict.slow_start_budget_used,
        "rules-broken": float(len(verdict.violated_rules())),
    }
    return found | {f"service {kind}": one.service_level for kind, one in accounts.items()}


def by_second(rows: Sequence[Row], terms: AuditConfigRow) -> dict[int, tuple[float, float]]:
    """For each second since the first dialog: importance offered by first tries, and served in objective."""
    began: dict[str, tuple[int, str]] = {}
    sums: dict[int, list[float]] = {}
    start = next((row.at for row in rows if isinstance(row, MessageRow)), 0)
    for row in rows:
        if not isinstance(row, MessageRow) or not row.dialog:
            continue
        first = row.dialog.rpartition(".")[0] or row.dialog
        if row.sent and row.kind == "setup" and first not in began:
            began[first] = row.at, row.detail
            sums.setdefault((row.at - start) // SECOND, [0, 0])[0] += terms.priority_weights.get(
                row.detail, 1.0
            )
        elif not row.sent and row.kind == "stands" and first in began:
            at, kind = began[first]
            if row.at - at <= terms.latency_objectives.get(kind, 0):
                sums[(at - start) // SECOND][1] += terms.priority_weights.get(kind, 1.0)
                began[first] = -(1 << 62), kind  # once, however often it comes again
    return {second: (offered, served) for second, (offered, served) in sorted(sums.items())}


def worst(rows: Sequence[Row], terms: AuditConfigRow) -> float:
    """Service of the dialogs first dialled in the worst 10 s."""
    seconds, span = by_second(rows, terms), WORST_SPAN // SECOND
    shares = []
    for at in seconds:
        window = [seconds[second] for second in range(at, at + span) if second in seconds]
        if len(window) == span or len(window) == len(seconds):
            shares.append(sum(served for _, served in window) / max(1e-9, sum(o for o, _ in window)))
    return min(shares, default=1.0)


def _crossings(rows: Sequence[Row]) -> int:
    region = {row.name: row.region for row in rows if isinstance(row, PlacementRow)}
    return sum(
        region.get(row.edge) != region[row.peer]
        for row in rows
        if isinstance(row, MessageRow) and not row.sent and row.kind == "setup" and row.peer in region
    )
