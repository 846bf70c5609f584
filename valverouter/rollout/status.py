"""The agreed book as a tool is shown it: who is out and by what, orders with their progress, and what is
waited for."""

from __future__ import annotations

from msgspec import Struct

from valverouter.rollout.control_plane_node import ControlPlaneNode
from valverouter.rollout.operations import Book, Phase


class Unit(Struct, frozen=True):
    """`version`: as its keeper told it last; `wanted`: as agreed. `heard_ms`: since its last report, -1:
    never by this leader."""

    name: str
    sort: str
    region: str
    version: str
    wanted: str
    state: str
    number: int = 0
    order: str = ""
    heard_ms: int = -1
    ends: int = 0
    versions: tuple[str, ...] = ()


class Member(Struct, frozen=True):
    name: str
    step: str
    number: int
    former: str
    why: str


class Order(Struct, frozen=True):
    """`counts`: of members by their step; `members` where they were asked for, or the order has not ended."""

    id: str
    kind: str
    version: str
    at: int
    by: str
    phase: str
    wave: int
    waves: tuple[tuple[str, ...], ...]
    result: str
    why: str
    counts: dict[str, int]
    members: tuple[Member, ...]


class Shown(Struct, frozen=True):
    """`pairs`, `least`: of a release's evidence under way, how many were looked at and are wanted."""

    seat: str
    term: int
    members: tuple[str, ...]
    halted: str
    units: tuple[Unit, ...]
    orders: tuple[Order, ...]
    pairs: int = 0
    least: int = 0


def fleet_status(log: Book, node: ControlPlaneNode, now: int, about: str = "") -> Shown:
    """`about`: an order that has ended and whose members are wanted too; * is all of them."""
    pairs, least = node.orchestrator.evidence_progress if node.orchestrator else (0, 0)
    going = log.going
    watching = going is not None and going.phase in (Phase.WATCHING, Phase.GOING)
    return Shown(
        seat=node.name,
        term=node.raft.persistent.current_term,
        members=tuple(name for name, _ in node.raft.configuration.members),
        halted=log.register.halt_reason,
        units=tuple(_unit(log, node, now, name) for name in sorted(log.register.instances)),
        orders=tuple(
            Order(
                one.id,
                one.kind.value,
                one.version,
                one.at,
                one.by,
                one.phase.value,
                one.wave,
                tuple(tuple(wave) for wave in one.waves),
                one.result,
                one.why,
                one.counts,
                tuple(
                    Member(name, member.step.value, member.number, member.former, member.why)
                    for name, member in one.members.items()
                    if one.phase is not Phase.ENDED or about in ("*", one.id)
                ),
            )
            for one in log.orders.values()
        ),
        pairs=pairs if watching else 0,
        least=least if watching else 0,
    )


def _unit(book: Book, seat: ControlPlaneNode, now: int, name: str) -> Unit:
    unit, want = book.register.instances[name], book.wants.get(name)
    seen = seat.orchestrator.readiness.observations.get(name) if seat.orchestrator else None
    state, number, order = "in", 0, ""
    if name in book.register.unavailable:
        held = book.register.unavailable[name]
        state = "out" if held else "away"
        number, order = (held.number, held.operation) if held else (0, "")
        if held and want is not None and not want.up:
            state = "drained"
    return Unit(
        name,
        unit.kind.value,
        unit.region,
        seen.report.version if seen else "",
        want.version if want else "",
        state,
        number,
        order,
        (now - seen.received_at) // 1_000_000 if seen else -1,
        seen.report.ends if seen else 0,
        book.versions.get(name, ()),
    )
