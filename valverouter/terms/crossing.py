"""The terms of traffic across regions: [region NAME], [crossing], [crossing TYPE] and [crossing TYPE FROM
TO]."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from valverouter.interface import CrossRegionBudget, CrossRegionConfig, CrossRegionPolicy
from valverouter.terms.ini import IniFile, LongSpan, Share, Span, Whole

MS, SECOND = 10**6, 10**9
ANYWHERE = "*"


class Region(Struct, frozen=True):
    """[region NAME]: how many edge proxies stand there; those of one region share its pairs' budgets."""

    edges: Whole = 0


class CrossingAll(Struct, frozen=True):
    """[crossing]: the reserve that routine types may never touch, and what all types have in common."""

    reserve: Whole = 0
    window: LongSpan = 10 * SECOND
    burst: Whole = 0
    clock_skew: Span = 50 * MS
    keep_free: Share = 0.1


class CrossingOf(Struct, frozen=True):
    """[crossing TYPE] and [crossing TYPE FROM TO]: legs in a window, of which `burst` at one moment."""

    legs: Annotated[int, Meta(ge=0)] | None = None
    window: LongSpan = 10 * SECOND
    burst: Whole = 0
    urgent: bool = False


def crossing_terms(
    ini: IniFile, home: str, place: int, edges: int, region_place: int, types: set[str]
) -> CrossRegionConfig | None:
    """What may cross from `home`; None where the file has no regions. Notes each flaw in the file."""
    regions = {name: ini.read(f"region {name}", Region) for name in ini.named("region")}
    names = [name.split() for name in ini.named("crossing")]
    if not regions and not names and "crossing" not in ini.sections:
        return None
    if home not in regions:
        ini.flaw("edge", "region", f"{home!r} has no [region {home}]; known are {', '.join(regions)}")
    whole = ini.read("crossing", CrossingAll, required=False)
    at_home = regions.get(home)
    here = at_home.edges if at_home else 0
    if at_home and not region_place < max(1, here):
        ini.flaw("edge", "region_place", f"{region_place} must be less than the {here} edges of {home}")
    classes: dict[str, CrossRegionPolicy] = {}
    pairs: dict[str, dict[tuple[str, str], CrossRegionBudget]] = {}
    skew = whole.clock_skew if whole else 0
    for words in names:
        section = f"crossing {' '.join(words)}"
        one = ini.read(section, CrossingOf)
        if not words:
            continue  # told already
        if words[0] not in types:
            ini.flaw(section, "", f"there is no [traffic {words[0]}]")
        if len(words) not in (1, 3):
            ini.flaw(section, "", "is either [crossing TYPE] or [crossing TYPE FROM TO]")
            continue
        for region in words[1:2] if words[2:] == [ANYWHERE] else words[1:]:
            if region not in regions:
                ini.flaw(section, "", f"unknown region {region!r}; known are {', '.join(regions)}")
        if one is None:
            continue
        if len(words) == 3:
            if words[1] == words[2]:
                ini.flaw(section, "", "a region and itself are no crossing")
            if one.urgent:
                ini.flaw(section, "urgent", "belongs to [crossing TYPE], not to one of its pairs")
            if words[1] != home:
                continue
            budget = _budget(ini, section, one.legs, one.window, one.burst, max(1, here), region_place, skew)
            if one.legs is None:
                ini.flaw(section, "legs", "missing: a pair is named to give it a budget of its own")
            elif budget is not None:
                pairs.setdefault(words[0], {})[words[1], words[2]] = budget
        else:
            budget = _budget(ini, section, one.legs, one.window, one.burst, edges, place, skew)
            if one.legs == 0 and one.urgent:
                ini.flaw(section, "legs", "0 and urgent contradict each other")
            if one.legs != 0:
                classes[words[0]] = CrossRegionPolicy(budget, None, one.urgent)
    for name, of_type in pairs.items():
        if name not in classes:
            ini.flaw(f"crossing {name}", "", "missing: its pairs have budgets, the type has none", 0)
        else:
            classes[name] = CrossRegionPolicy(classes[name].budget, of_type, classes[name].urgent)
    urgent = [name for name, kind in classes.items() if kind.urgent]
    reserve = None
    if whole is not None:
        if urgent and not whole.reserve:
            ini.flaw("crossing", "reserve", f"{', '.join(urgent)} is urgent, and there is no reserve for it")
        if whole.reserve:
            reserve = _budget(ini, "crossing", whole.reserve, whole.window, whole.burst, edges, place, skew)
    return CrossRegionConfig(home, classes, reserve, skew, whole.keep_free if whole else 0.0)


def _budget(
    ini: IniFile, section: str, legs: int | None, window: int, burst: int, edges: int, place: int, skew: int
) -> CrossRegionBudget | None:
    """A budget as it is shared here; notes one that could never send a leg at this fleet size."""
    if not legs:
        return None
    budget = CrossRegionBudget(legs, window, burst, edges, place)
    most = burst or legs
    if most > legs or most < 2:
        ini.flaw(section, "burst", f"{most} must lie from 2 to the {legs} legs of a window")
    elif (most - 1) * window <= 2 * skew * (legs - most + 1):
        ini.flaw(section, "burst", "a slot would lapse within the clocks' skew: no leg could ever be sent")
    return budget
