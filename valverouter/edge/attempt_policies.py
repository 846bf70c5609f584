"""Attempt terms at the edge: the file's sections as rules, checked against what the fleet must keep."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace

from valverouter.attempts.matching import (
    DialogAttributes,
    EffectiveSetting,
    MatchCondition,
    PolicyRule,
    find_ambiguous_rules,
    intersection_closure,
    resolve,
)
from valverouter.attempts.worst_case import PolicyProblem, policy_problems
from valverouter.interface import AttemptPolicy, Deployment, RetryBudgetConfig
from valverouter.policy.retry import DEFAULT_RETRY_BUDGET
from valverouter.policy.tuning import BACKOFF_BASE, BACKOFF_CAP, MAX_ATTEMPTS, TOKEN
from valverouter.terms.attempts import BUDGET_SETS, POLICY_FIELDS, SETS, AttemptSection
from valverouter.terms.edge import EdgeTerms
from valverouter.terms.grammar import matches_peer
from valverouter.terms.ini import Flaw, FlawedTermsError

DEFAULT_SOURCE = "the decisions' own"
# Combinations of sections that are checked.
MAX_COMBINATIONS = 20_000


class AttemptPolicies:
    """Which terms each dialog gets. Raises FlawedTermsError with every flaw; then nothing of the file
    acts."""

    def __init__(self, config: EdgeTerms) -> None:
        self._deployment = config.deployment
        self._region = config.region
        self._answer_margin = config.answer_margin
        self._groups = config.attempts.trunk_groups
        self._server_sets = {
            number: name for name, one in config.attempts.server_sets.items() for number in one.servers
        }
        self._sections = {section.name: section for section in config.attempts.sections}
        self._rules = [rule for section in config.attempts.sections for rule in _rules(section, SETS)]
        self._budget_rules = [r for section in config.attempts.sections for r in _rules(section, BUDGET_SETS)]
        # By type and which rules match, not by number: nearly every dialog's number is new, and resolving
        # costs far more than matching. As many as the file has such combinations, gone with the book.
        self._resolved: dict[tuple[str, tuple[bool, ...]], AttemptPolicy | None] = {}
        if flaws := [*self._find_ties(), *self._find_violations()]:
            raise FlawedTermsError(sorted(flaws, key=lambda flaw: flaw.line))

    def policy_for(
        self, traffic_type: str, number: int, peer: str = "", first_choice: int = -1
    ) -> AttemptPolicy | None:
        """A dialog's terms; None where no section touches it, or its type is unknown: the decisions' own
        hold."""
        asked = self.match_input(traffic_type, number, peer, first_choice)
        if traffic_type not in self._deployment.traffic_types:
            return None
        key = traffic_type, tuple(rule.condition.matches(asked) for rule in self._rules)
        if key not in self._resolved:
            found = resolve(self._rules, asked)
            self._resolved[key] = self._policy(traffic_type, found) if found else None
        return self._resolved[key]

    def match_input(
        self, traffic_type: str, number: int, peer: str = "", first_choice: int = -1
    ) -> DialogAttributes:
        """What of a dialog decides on its terms: its trunk group is its caller's, its server set that of its
        first choice."""
        return DialogAttributes(
            traffic_type,
            str(number),
            self._region,
            self._trunk_group(peer),
            self._server_sets.get(first_choice, ""),
        )

    def retry_budgets(self) -> dict[int, RetryBudgetConfig]:
        """Retry budgets by server number, where a section of that server's set, or one for all, sets them."""
        return {
            number: _retry_budget(resolve(self._budget_rules, DialogAttributes("", "", "", "", name)))
            for number, name in self._server_sets.items()
            if self._budget_rules
        }

    def default_retry_budget(self) -> RetryBudgetConfig:
        """The retry budget of servers in no set."""
        return _retry_budget(resolve(self._budget_rules, DialogAttributes("")))

    def explain(
        self, traffic_type: str, number: int, peer: str = "", first_choice: int = -1
    ) -> dict[str, EffectiveSetting]:
        """Each key's value for such a dialog, and the section and line that it comes from."""
        asked = self.match_input(traffic_type, number, peer, first_choice)
        found = resolve(self._rules, asked)
        terms = self._policy(traffic_type, found)
        budget = resolve(self._budget_rules, DialogAttributes("", "", "", "", asked.server_set))
        effective = _retry_budget(budget)
        values = {key: getattr(terms, field) for key, field in POLICY_FIELDS.items()}
        values |= {"tokens": effective.max_tokens / TOKEN, "fraction": effective.token_ratio / TOKEN}
        shown = {}
        for key, value in values.items():
            source = DEFAULT_SOURCE
            by = "server_share" if key == "leg_time_out" and _timeout_from_share(found) else key
            if one := {**found, **budget}.get(by):
                section = self._sections[one.source]
                source = f"{section.file}:{section.lines[by]} [attempts {section.name}]"
            shown[key] = EffectiveSetting(value, source)
        return shown

    def worst_case_policy(
        self, traffic_type: str, number: int, no_answer: int, peer: str = "", first_choice: int = -1
    ) -> AttemptPolicy:
        """A dialog's terms as `courses` reckons with them: its caller's no-answer time, any asked wait."""
        terms = self.policy_for(traffic_type, number, peer, first_choice) or self._policy(traffic_type, {})
        least = min(no_answer, terms.no_answer_timeout or no_answer)
        allowed = self._deployment.max_attempts
        in_all = min(terms.max_total_attempts or allowed, allowed)
        return replace(
            terms, no_answer_timeout=least, max_server_retry_after=least, max_total_attempts=in_all
        )

    def sample_routes(self) -> dict[str, tuple[int, str, int]]:
        """For each section the number, peer and first choice of a dialog on its route, by its name."""
        found = {}
        for section in self._sections.values():
            keys = section.keys
            group, one = self._groups.get(keys.trunk_group or ""), keys.server_set
            peer = group.peers[0].rstrip("*") if group is not None else ""
            first = next((number for number, name in self._server_sets.items() if name == one), -1)
            for prefix in keys.prefix[:1]:
                found[f"[attempts {section.name}]"] = int(prefix or 0), peer, first
        return found

    def _trunk_group(self, peer: str) -> str:
        fits = [
            (len(pattern), name)
            for name, group in self._groups.items()
            for pattern in group.peers
            if matches_peer(pattern, peer)
        ]
        return max(fits, default=(0, ""))[1]

    def _policy(self, traffic_type: str, found: Mapping[str, EffectiveSetting]) -> AttemptPolicy:
        kind = self._deployment.traffic_types.get(traffic_type)
        own = default_policy(self._deployment, kind.latency_objective if kind is not None else 0)
        set_here = {POLICY_FIELDS[key]: one.value for key, one in found.items() if key != "server_share"}
        terms = replace(own, **set_here)
        if "server_share" in found:
            # Of two ways to say how long one server may take the shorter acts.
            by_share = max(1, int(found["server_share"].value * terms.latency_objective))
            terms = replace(terms, attempt_timeout=min(by_share, terms.attempt_timeout or by_share))
        return terms

    def _find_ties(self) -> list[Flaw]:
        return [
            self._problem(tie.second, tie.key, f"ties with [attempts {tie.first}]: both match {tie.overlap}")
            for rules in (self._rules, self._budget_rules)
            for tie in find_ambiguous_rules(rules)
        ]

    def _find_violations(self) -> list[Flaw]:
        """Each combination of sections that some dialog can meet is checked as a whole."""
        flaws: dict[tuple[str, str], Flaw] = {}
        meets = intersection_closure([rule.condition for rule in self._rules], MAX_COMBINATIONS)
        if len(meets) > MAX_COMBINATIONS:
            section = next(iter(self._sections.values()))
            why = f"the sections overlap in more than {MAX_COMBINATIONS} ways; fewer can be checked"
            return [Flaw(section.file, section.line, f"attempts {section.name}", "", why)]
        for when in meets:
            for traffic_type in [when.traffic_type] if when.traffic_type else self._deployment.traffic_types:
                asked = DialogAttributes(
                    traffic_type,
                    when.prefix,
                    when.region or self._region,
                    when.trunk_group or "",
                    when.server_set or "",
                )
                setting = [rule for rule in self._rules if rule.condition.matches(asked)]
                if find_ambiguous_rules(setting):
                    continue
                found = resolve(self._rules, asked)
                for key, reason in self._violations_of(self._policy(traffic_type, found)):
                    by = "server_share" if key == "leg_time_out" and _timeout_from_share(found) else key
                    rule = found[by].source if by in found else setting[0].name
                    flaws.setdefault((rule, by), self._problem(rule, by, reason))
        return list(flaws.values())

    def _violations_of(self, terms: AttemptPolicy) -> list[PolicyProblem]:
        whole = replace(terms, no_answer_timeout=terms.no_answer_timeout or 1 << 62)
        found = policy_problems(whole, self._deployment.release_delay, self._deployment.max_attempts)
        if terms.retry_after > self._deployment.max_retry_after:
            limit = self._deployment.max_retry_after
            found.append(
                PolicyProblem("come_back", f"past the fleet's come_back_limit of {limit} ns, which would act")
            )
        if 0 < terms.no_answer_timeout <= self._answer_margin:
            found.append(
                PolicyProblem(
                    "no_answer", f"within answer_margin, {self._answer_margin} ns: no answer could travel"
                )
            )
        return found

    def _problem(self, rule: str, key: str, reason: str) -> Flaw:
        section = self._sections[rule]
        line = section.lines.get(key, section.line)
        return Flaw(section.file, line, f"attempts {section.name}", key, reason)


def default_policy(deployment: Deployment, latency_objective: int) -> AttemptPolicy:
    """What the decisions do where no file says otherwise."""
    return AttemptPolicy(
        MAX_ATTEMPTS, latency_objective, 0, deployment.release_delay, BACKOFF_BASE, BACKOFF_CAP
    )


def _retry_budget(found: Mapping[str, EffectiveSetting]) -> RetryBudgetConfig:
    tokens = round(found["tokens"].value * TOKEN) if "tokens" in found else DEFAULT_RETRY_BUDGET.max_tokens
    adds = round(found["fraction"].value * TOKEN) if "fraction" in found else DEFAULT_RETRY_BUDGET.token_ratio
    return RetryBudgetConfig(tokens, adds)


def _timeout_from_share(found: Mapping[str, EffectiveSetting]) -> bool:
    return "server_share" in found and "leg_time_out" not in found


def _rules(section: AttemptSection, sets: tuple[str, ...]) -> list[PolicyRule]:
    keys = section.keys
    values = {key: value for key in sets if (value := getattr(keys, key)) is not None}
    if not values:
        return []
    return [
        PolicyRule(
            MatchCondition(keys.type, prefix, keys.region, keys.trunk_group, keys.server_set),
            values,
            section.name,
        )
        for prefix in keys.prefix
    ]
