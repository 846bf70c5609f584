"""[attempts NAME], [trunk-group NAME], [server-set NAME]: timers and attempts by class and route."""

from __future__ import annotations

import typing
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.terms.ini import IniFile, LongSpan, Span

# What the source fixes: a file may say it, and nothing else.
FIXED = {
    "jitter": ("full", "the wait is drawn from nought to its whole"),
    "threshold": ("half", "a retry goes while more than half of the tokens remain after its own"),
    "first_attempts": ("free", "no budget holds a first attempt back"),
}
SECTIONS_MOST = 200
# Of all sections together: they are checked against each other, which takes seconds beyond.
PREFIXES_MOST = 1_000

Prefixes = Annotated[tuple[str, ...], Meta(extra={"as": "prefixes"})]
ServerNumbers = Annotated[tuple[int, ...], Meta(extra={"as": "numbers"})]
Peers = Annotated[tuple[str, ...], Meta(extra={"as": "peers"})]
ShareOf = Annotated[float, Meta(gt=0, le=1, extra={"as": "share"})]
Fraction = Annotated[float, Meta(gt=0, lt=0.5, extra={"as": "share"})]


class AttemptKeys(Struct, frozen=True):
    """What a section may ask of a dialog and what it sets; None: left to others.

    Spans are whole nanoseconds. `tokens` and `fraction` belong to a server, not to a dialog.
    """

    type: str | None = None
    prefix: Prefixes = ("",)
    region: str | None = None
    trunk_group: str | None = None
    server_set: str | None = None
    legs: Annotated[int, Meta(ge=1, le=6)] | None = None
    legs_in_all: Annotated[int, Meta(ge=1, le=6)] | None = None
    objective: LongSpan | None = None
    no_answer: LongSpan | None = None
    leg_time_out: LongSpan | None = None
    server_share: ShareOf | None = None
    release_wait: Span | None = None
    retry_base: LongSpan | None = None
    retry_cap: LongSpan | None = None
    come_back: LongSpan | None = None
    tokens: Annotated[float, Meta(gt=2, le=10)] | None = None
    fraction: Fraction | None = None
    jitter: str | None = None
    threshold: str | None = None
    first_attempts: str | None = None


ASKS = ("type", "prefix", "region", "trunk_group", "server_set")
BUDGET_SETS = ("tokens", "fraction")
SETS = tuple(
    name for name in AttemptKeys.__struct_fields__ if name not in (*ASKS, *BUDGET_SETS) and name not in FIXED
)

# The field of interface.AttemptPolicy that each setting gives; `server_share` is a fraction of the objective.
POLICY_FIELDS = {
    "legs": "max_attempts",
    "legs_in_all": "max_total_attempts",
    "objective": "latency_objective",
    "no_answer": "no_answer_timeout",
    "leg_time_out": "attempt_timeout",
    "release_wait": "release_delay",
    "retry_base": "backoff_base",
    "retry_cap": "backoff_cap",
    "come_back": "retry_after",
}


class AttemptSection(Struct, frozen=True):
    """One section with its place in the file; `lines` of its keys."""

    name: str
    file: str
    line: int
    keys: AttemptKeys
    lines: dict[str, int]


class TrunkGroup(Struct, frozen=True):
    """[trunk-group NAME]: the callers whose connections make it up, by the names of their hellos."""

    peers: Peers


class ServerSet(Struct, frozen=True):
    """[server-set NAME]: servers by number; a dialog's set is that of its first choice."""

    servers: ServerNumbers


class AttemptSections(Struct, frozen=True):
    """All that a file says of attempts: its sections in their order, its trunk groups and server sets."""

    sections: tuple[AttemptSection, ...] = ()
    trunk_groups: dict[str, TrunkGroup] = {}
    server_sets: dict[str, ServerSet] = {}

    def __bool__(self) -> bool:
        return bool(self.sections)


Sort = typing.TypeVar("Sort", bound=Struct)


def attempt_sections(ini: IniFile, types: set[str]) -> AttemptSections:
    """The sections in the file's order; notes unknown names, overlaps and sections that set nothing."""
    groups, sets = _all(ini, "trunk-group", TrunkGroup), _all(ini, "server-set", ServerSet)
    _apart(ini, "trunk-group", "peers", {name: group.peers for name, group in groups.items()})
    _apart(ini, "server-set", "servers", {name: one.servers for name, one in sets.items()})
    known = {
        "type": ("traffic", types),
        "trunk_group": ("trunk-group", set(ini.named("trunk-group"))),
        "server_set": ("server-set", set(ini.named("server-set"))),
    }
    found = []
    names = ini.named("attempts")
    if len(names) > SECTIONS_MOST:
        ini.flaw(f"attempts {names[SECTIONS_MOST]}", "", f"at most {SECTIONS_MOST} such sections are taken")
    for name in names:
        section = f"attempts {name}"
        keys = ini.read(section, AttemptKeys)
        if keys is None:
            continue
        for key, (kind, there) in known.items():
            if (asked := getattr(keys, key)) is not None and asked not in there:
                ini.flaw(section, key, f"there is no [{kind} {asked}]")
        for key, (only, why) in FIXED.items():
            if getattr(keys, key) not in (None, only):
                ini.flaw(section, key, f"{getattr(keys, key)!r}: only {only} is accepted: {why}")
        if all(getattr(keys, key) is None for key in (*SETS, *BUDGET_SETS)):
            ini.flaw(section, "", f"sets nothing; it may set {', '.join((*SETS, *BUDGET_SETS))}")
        for key in BUDGET_SETS:
            asks = [ask for ask in ASKS if ask in ini.sections[section] and ask != "server_set"]
            if getattr(keys, key) is not None and asks:
                why = (
                    f"is a server's, not a dialog's: a section that sets it may ask server_set, not {asks[0]}"
                )
                ini.flaw(section, key, why)
        for prefix in keys.prefix:
            if prefix.startswith("0"):
                ini.flaw(section, "prefix", f"{prefix} matches nothing: numbers have no nought in front")
        lines = {key: ini.line(section, key) for key in ini.sections[section]}
        found.append(AttemptSection(name, ini.name, ini.line(section), keys, lines))
    if (many := sum(len(section.keys.prefix) for section in found)) > PREFIXES_MOST:
        longest = max(found, key=lambda one: len(one.keys.prefix))
        why = f"{many} prefixes in all sections together, at most {PREFIXES_MOST} are taken"
        ini.flaw(f"attempts {longest.name}", "prefix", why)
        return AttemptSections()
    return AttemptSections(tuple(found), groups, sets)


def _all(ini: IniFile, kind: str, sort: type[Sort]) -> dict[str, Sort]:
    found = {name: ini.read(f"{kind} {name}", sort) for name in ini.named(kind)}
    return {name: one for name, one in found.items() if one is not None}


def _apart(ini: IniFile, kind: str, key: str, members: dict[str, tuple[str, ...] | tuple[int, ...]]) -> None:
    """Notes what two sections of a kind both claim: a route that would not be the one or the other."""
    owner: dict[str | int, str] = {}
    for name, claimed in members.items():
        for one in claimed:
            if one in owner:
                ini.flaw(f"{kind} {name}", key, f"{one} is in [{kind} {owner[one]}] already")
            owner.setdefault(one, name)
