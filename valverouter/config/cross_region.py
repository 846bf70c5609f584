"""Configuration of cross-region traffic: the sections [region NAME], [crossing] and [crossing TYPE ...]."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from valverouter.config.ini import Duration, Fraction, IniFile, NonNegativeInteger, PositiveDuration
from valverouter.interface import CrossRegionBudget, CrossRegionConfig, CrossRegionPolicy

MS, SECOND = 10**6, 10**9
ANY_REGION = "*"


class RegionSection(Struct, frozen=True):
    """[region NAME]: the number of its edge proxies, which share the budgets of pairs from this region."""

    edges: NonNegativeInteger = 0


class CommonSection(Struct, frozen=True):
    """[crossing]: the reserve, which only urgent types may use, and the settings common to all types."""

    reserve: NonNegativeInteger = 0
    window: PositiveDuration = 10 * SECOND
    burst: NonNegativeInteger = 0
    clock_skew: Duration = 50 * MS
    keep_free: Fraction = 0.1


class BudgetSection(Struct, frozen=True):
    """[crossing TYPE] and [crossing TYPE FROM TO]: attempts per window, and how many of them at once."""

    legs: Annotated[int, Meta(ge=0)] | None = None
    window: PositiveDuration = 10 * SECOND
    burst: NonNegativeInteger = 0
    urgent: bool = False


class _BudgetShare(NamedTuple):
    """The number of edge proxies that share a budget, and the index of this one among them."""

    edge_proxies: int
    fleet_index: int


Pair = tuple[str, str]


@dataclass(slots=True)
class _BudgetSections:
    """Reads the sections [crossing TYPE ...] of one file; adds problems to `ini`."""

    ini: IniFile
    home: str
    traffic_types: set[str]
    regions: list[str]
    fleet_share: _BudgetShare
    region_share: _BudgetShare
    clock_skew: int
    policies: dict[str, CrossRegionPolicy] = field(default_factory=dict)
    pairs: dict[str, dict[Pair, CrossRegionBudget]] = field(default_factory=dict)

    def read(self, words: list[str]) -> None:
        """Reads the section whose name consists of `words` after "crossing"."""
        section = f"crossing {' '.join(words)}"
        keys = self.ini.read_section(section, BudgetSection)
        if not words:
            return  # check_sections has already added a problem for a section without a name
        if words[0] not in self.traffic_types:
            self.ini.add_problem(section, "", f"there is no [traffic {words[0]}]")
        if len(words) not in (1, 3):
            self.ini.add_problem(section, "", "must be [crossing TYPE] or [crossing TYPE FROM TO]")
            return
        self._check_regions(section, words[1:])
        if keys is None:
            return
        if len(words) == 3:
            self._read_pair(section, words[0], (words[1], words[2]), keys)
        else:
            self._read_type(section, words[0], keys)

    def budget(
        self, section: str, keys: BudgetSection | CommonSection, share: _BudgetShare
    ) -> CrossRegionBudget | None:
        """Returns the budget as `share` divides it; adds a problem if it could never permit an attempt."""
        attempts = keys.reserve if isinstance(keys, CommonSection) else keys.legs
        if not attempts:
            return None
        budget = CrossRegionBudget(attempts, keys.window, keys.burst, share.edge_proxies, share.fleet_index)
        burst = keys.burst or attempts
        if burst > attempts or burst < 2:
            self.ini.add_problem(
                section, "burst", f"{burst} must be from 2 to the {attempts} legs of a window"
            )
        elif (burst - 1) * keys.window <= 2 * self.clock_skew * (attempts - burst + 1):
            reason = "a time slot would expire within the clock skew, so no leg could ever be sent"
            self.ini.add_problem(section, "burst", reason)
        return budget

    def with_pairs(self) -> dict[str, CrossRegionPolicy]:
        """Returns the policies by traffic type, including the budgets of their region pairs."""
        for traffic_type, budgets in self.pairs.items():
            policy = self.policies.get(traffic_type)
            if policy is None:
                reason = "missing: pairs of regions have budgets for this type, but the type itself has none"
                self.ini.add_problem(f"crossing {traffic_type}", "", reason, 0)
            else:
                self.policies[traffic_type] = CrossRegionPolicy(policy.budget, budgets, policy.urgent)
        return self.policies

    def _check_regions(self, section: str, pair: list[str]) -> None:
        named_regions = pair[:1] if pair[1:] == [ANY_REGION] else pair
        for region in named_regions:
            if region not in self.regions:
                known = ", ".join(self.regions)
                self.ini.add_problem(section, "", f"unknown region {region!r}; known regions: {known}")

    def _read_pair(self, section: str, traffic_type: str, pair: Pair, keys: BudgetSection) -> None:
        if pair[0] == pair[1]:
            self.ini.add_problem(section, "", "FROM and TO are the same region")
        if keys.urgent:
            self.ini.add_problem(section, "urgent", "belongs to [crossing TYPE], not to one of its pairs")
        if pair[0] != self.home:
            return
        budget = self.budget(section, keys, self.region_share)
        if keys.legs is None:
            self.ini.add_problem(section, "legs", "missing: a section for a pair must set its budget")
        elif budget is not None:
            self.pairs.setdefault(traffic_type, {})[pair] = budget

    def _read_type(self, section: str, traffic_type: str, keys: BudgetSection) -> None:
        budget = self.budget(section, keys, self.fleet_share)
        if keys.legs == 0 and keys.urgent:
            self.ini.add_problem(section, "legs", "0 contradicts urgent = yes")
        if keys.legs != 0:
            self.policies[traffic_type] = CrossRegionPolicy(budget, None, keys.urgent)


def cross_region_config(
    ini: IniFile, home: str, fleet_index: int, edge_proxies: int, region_index: int, types: set[str]
) -> CrossRegionConfig | None:
    """Reads the limits on traffic from the region `home` to others; adds problems to `ini`.

    `fleet_index` is this instance's index among the fleet's `edge_proxies`, `region_index` the one among
    those of its region; `types` are the known traffic types. Returns None if the file has neither regions nor
    cross-region sections.
    """
    regions = ini.read_sections("region", RegionSection)
    names = [name.split() for name in ini.names_of("crossing")]
    if not regions and not names and "crossing" not in ini.sections:
        return None
    if home not in regions:
        ini.add_problem(
            "edge", "region", f"{home!r} has no [region {home}]; known regions: {', '.join(regions)}"
        )
    common = ini.read_section("crossing", CommonSection, required=False)
    at_home = regions.get(home)
    home_edges = at_home.edges if at_home else 0
    if at_home and not region_index < max(1, home_edges):
        ini.add_problem(
            "edge", "region_place", f"{region_index} must be less than the {home_edges} edges of {home}"
        )
    fleet_share, region_share = (
        _BudgetShare(edge_proxies, fleet_index),
        _BudgetShare(max(1, home_edges), region_index),
    )
    clock_skew = common.clock_skew if common else 0
    sections = _BudgetSections(ini, home, types, list(regions), fleet_share, region_share, clock_skew)
    for words in names:
        sections.read(words)
    policies = sections.with_pairs()
    reserve = _reserve(sections, common, [name for name, policy in policies.items() if policy.urgent])
    return CrossRegionConfig(home, policies, reserve, clock_skew, common.keep_free if common else 0.0)


def _reserve(
    sections: _BudgetSections, common: CommonSection | None, urgent: list[str]
) -> CrossRegionBudget | None:
    if common is None:
        return None
    if urgent and not common.reserve:
        reason = f"{', '.join(urgent)} is urgent, but there is no reserve for it"
        sections.ini.add_problem("crossing", "reserve", reason)
    return sections.budget("crossing", common, sections.fleet_share)
