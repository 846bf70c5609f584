"""Configuration of attempts: the sections [attempts NAME], [trunk-group NAME] and [server-set NAME].

They set timers and numbers of attempts by traffic type and route. Durations are integer nanoseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Annotated

from msgspec import Meta, Struct

from valverouter.config.ini import Duration, IniFile, PositiveDuration, valid_sections

# Keys that accept a single value, with the reason. A file may state the value to document it.
FIXED_VALUES = {
    "jitter": ("full", "the delay is drawn between 0 and the full backoff"),
    "threshold": (
        "half",
        "a retry is allowed while more than half of the tokens remain after its own is taken",
    ),
    "first_attempts": ("free", "the retry budget does not limit first attempts"),
}
MAX_SECTIONS = 200
# In all sections together. The sections are checked against each other, which would take seconds with more.
MAX_PREFIXES = 1_000

Prefixes = Annotated[tuple[str, ...], Meta(extra={"as": "prefixes"})]
ServerNumbers = Annotated[tuple[int, ...], Meta(extra={"as": "numbers"})]
Peers = Annotated[tuple[str, ...], Meta(extra={"as": "peers"})]
PositiveFraction = Annotated[float, Meta(gt=0, le=1, extra={"as": "share"})]
TokenRatio = Annotated[float, Meta(gt=0, lt=0.5, extra={"as": "share"})]


class AttemptKeys(Struct, frozen=True):
    """[attempts NAME]: the conditions on a dialog and the settings that apply to it.

    None: the section has no such condition, or leaves the setting to other sections. `tokens` and `fraction`
    configure the retry budget of a server, not a dialog.
    """

    type: str | None = None
    prefix: Prefixes = ("",)
    region: str | None = None
    trunk_group: str | None = None
    server_set: str | None = None
    legs: Annotated[int, Meta(ge=1, le=6)] | None = None
    legs_in_all: Annotated[int, Meta(ge=1, le=6)] | None = None
    objective: PositiveDuration | None = None
    no_answer: PositiveDuration | None = None
    leg_time_out: PositiveDuration | None = None
    server_share: PositiveFraction | None = None
    release_wait: Duration | None = None
    retry_base: PositiveDuration | None = None
    retry_cap: PositiveDuration | None = None
    come_back: PositiveDuration | None = None
    tokens: Annotated[float, Meta(gt=2, le=10)] | None = None
    fraction: TokenRatio | None = None
    jitter: str | None = None
    threshold: str | None = None
    first_attempts: str | None = None


CONDITION_KEYS = ("type", "prefix", "region", "trunk_group", "server_set")
BUDGET_KEYS = ("tokens", "fraction")
POLICY_KEYS = tuple(
    name
    for name in AttemptKeys.__struct_fields__
    if name not in (*CONDITION_KEYS, *BUDGET_KEYS) and name not in FIXED_VALUES
)

# The field of interface.AttemptPolicy that each setting determines. `server_share`, a fraction of the
# objective, has none of its own.
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
    """One section [attempts NAME] and its position in the file; `lines` has the line of each key."""

    name: str
    file: str
    line: int
    keys: AttemptKeys
    lines: dict[str, int]


class TrunkGroup(Struct, frozen=True):
    """[trunk-group NAME]: patterns of the names that callers state when they connect."""

    peers: Peers


class ServerSet(Struct, frozen=True):
    """[server-set NAME]: servers by number; a dialog belongs to the set of its preferred server."""

    servers: ServerNumbers


class AttemptConfig(Struct, frozen=True):
    """The attempt sections of a file, in file order, with its trunk groups and server sets."""

    sections: tuple[AttemptSection, ...] = ()
    trunk_groups: dict[str, TrunkGroup] = {}
    server_sets: dict[str, ServerSet] = {}

    def __bool__(self) -> bool:
        """Returns whether the file has any attempt section."""
        return bool(self.sections)


def attempt_config(ini: IniFile, types: set[str]) -> AttemptConfig:
    """Reads the attempt sections of a file whose traffic types are `types`; adds problems to `ini`."""
    groups = valid_sections(ini.read_sections("trunk-group", TrunkGroup))
    sets = valid_sections(ini.read_sections("server-set", ServerSet))
    _check_disjoint(ini, "trunk-group", "peers", {name: group.peers for name, group in groups.items()})
    _check_disjoint(ini, "server-set", "servers", {name: members.servers for name, members in sets.items()})
    known = {
        "type": ("traffic", types),
        "trunk_group": ("trunk-group", set(ini.names_of("trunk-group"))),
        "server_set": ("server-set", set(ini.names_of("server-set"))),
    }
    names = ini.names_of("attempts")
    if len(names) > MAX_SECTIONS:
        reason = f"at most {MAX_SECTIONS} such sections are allowed"
        ini.add_problem(f"attempts {names[MAX_SECTIONS]}", "", reason)
    parsed = [_read_section(ini, name, known) for name in names]
    sections = tuple(section for section in parsed if section is not None)
    if _has_too_many_prefixes(ini, sections):
        return AttemptConfig()
    return AttemptConfig(sections, groups, sets)


def _read_section(
    ini: IniFile, name: str, known: Mapping[str, tuple[str, set[str]]]
) -> AttemptSection | None:
    """Reads [attempts `name`]; `known` gives, for each key that refers to sections, their kind and names."""
    section = f"attempts {name}"
    keys = ini.read_section(section, AttemptKeys)
    if keys is None:
        return None
    for key, (kind, names) in known.items():
        if (value := getattr(keys, key)) is not None and value not in names:
            ini.add_problem(section, key, f"there is no [{kind} {value}]")
    for key, (fixed, reason) in FIXED_VALUES.items():
        if (value := getattr(keys, key)) not in (None, fixed):
            ini.add_problem(section, key, f"{value!r}: only {fixed} is accepted: {reason}")
    settable = (*POLICY_KEYS, *BUDGET_KEYS)
    if all(getattr(keys, key) is None for key in settable):
        ini.add_problem(section, "", f"sets nothing; it may set {', '.join(settable)}")
    _check_budget_keys(ini, section, keys)
    for prefix in keys.prefix:
        if prefix.startswith("0"):
            reason = f"{prefix} matches nothing: called numbers have no leading zero"
            ini.add_problem(section, "prefix", reason)
    lines = {key: ini.line_of(section, key) for key in ini.sections[section]}
    return AttemptSection(name, ini.name, ini.line_of(section), keys, lines)


def _check_budget_keys(ini: IniFile, section: str, keys: AttemptKeys) -> None:
    conditions = [key for key in CONDITION_KEYS if key in ini.sections[section] and key != "server_set"]
    for key in BUDGET_KEYS:
        if getattr(keys, key) is not None and conditions:
            rule = f"a section that sets it may have the condition server_set, not {conditions[0]}"
            ini.add_problem(section, key, f"is a property of a server, not of a dialog: {rule}")


def _has_too_many_prefixes(ini: IniFile, sections: Iterable[AttemptSection]) -> bool:
    prefixes = {section.name: len(section.keys.prefix) for section in sections}
    total = sum(prefixes.values())
    if total <= MAX_PREFIXES:
        return False
    longest = max(prefixes, key=lambda name: prefixes[name])
    reason = f"{total} prefixes in all sections together; at most {MAX_PREFIXES} are allowed"
    ini.add_problem(f"attempts {longest}", "prefix", reason)
    return True


def _check_disjoint(
    ini: IniFile, kind: str, key: str, members: Mapping[str, tuple[str, ...] | tuple[int, ...]]
) -> None:
    """Adds a problem for each member that is listed in more than one section of a kind."""
    owners: dict[str | int, str] = {}
    for name, claimed in members.items():
        for member in claimed:
            if member in owners:
                ini.add_problem(f"{kind} {name}", key, f"{member} is in [{kind} {owners[member]}] already")
            owners.setdefault(member, name)
