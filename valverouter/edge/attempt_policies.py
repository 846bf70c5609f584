"""Attempt policies: the file's sections as rules, checked against the limits that the fleet must keep."""

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
from valverouter.config.attempts import BUDGET_KEYS, POLICY_FIELDS, POLICY_KEYS, AttemptSection
from valverouter.config.edge import EdgeConfig
from valverouter.config.grammar import matches_peer
from valverouter.config.ini import ConfigProblem, InvalidConfigError
from valverouter.interface import AttemptPolicy, Deployment, RetryBudgetConfig
from valverouter.policy.retry import DEFAULT_RETRY_BUDGET
from valverouter.policy.tuning import BACKOFF_BASE, BACKOFF_CAP, MAX_ATTEMPTS, TOKEN

DEFAULT_SOURCE = "the decisions' own"
# Combinations of sections that are checked.
MAX_COMBINATIONS = 20_000
# A no-answer time beyond any caller's.
NO_TIMEOUT = 1 << 62


class AttemptPolicies:
    """Which attempt policy each dialog gets.

    Raises InvalidConfigError with every problem; then nothing of the file acts.
    """

    def __init__(self, config: EdgeConfig) -> None:
        self._deployment = config.deployment
        self._region = config.region
        self._answer_margin = config.answer_margin
        self._groups = config.attempts.trunk_groups
        self._server_sets = {
            number: name
            for name, server_set in config.attempts.server_sets.items()
            for number in server_set.servers
        }
        self._sections = {section.name: section for section in config.attempts.sections}
        self._rules = [rule for section in config.attempts.sections for rule in _rules(section, POLICY_KEYS)]
        self._budget_rules = [
            rule for section in config.attempts.sections for rule in _rules(section, BUDGET_KEYS)
        ]
        # By type and which rules match, not by number: nearly every dialog's number is new, and resolving
        # costs far more than matching. As many as the file has such combinations.
        self._resolved: dict[tuple[str, tuple[bool, ...]], AttemptPolicy | None] = {}
        if problems := [*self._find_ties(), *self._find_violations()]:
            raise InvalidConfigError(sorted(problems, key=lambda problem: problem.line))

    def policy_for(
        self, traffic_type: str, number: int, peer: str = "", first_choice: int = -1
    ) -> AttemptPolicy | None:
        """A dialog's policy; None where no section touches it, or its type is unknown: the default acts."""
        attributes = self.match_input(traffic_type, number, peer, first_choice)
        if traffic_type not in self._deployment.traffic_types:
            return None
        key = traffic_type, tuple(rule.condition.matches(attributes) for rule in self._rules)
        if key not in self._resolved:
            found = resolve(self._rules, attributes)
            self._resolved[key] = self._policy(traffic_type, found) if found else None
        return self._resolved[key]

    def match_input(
        self, traffic_type: str, number: int, peer: str = "", first_choice: int = -1
    ) -> DialogAttributes:
        """What of a dialog decides on its policy.

        Its trunk group is its caller's, its server set that of its first choice.
        """
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
        attributes = self.match_input(traffic_type, number, peer, first_choice)
        found = resolve(self._rules, attributes)
        policy = self._policy(traffic_type, found)
        budget = resolve(self._budget_rules, DialogAttributes("", "", "", "", attributes.server_set))
        effective = _retry_budget(budget)
        values = {key: getattr(policy, field) for key, field in POLICY_FIELDS.items()}
        values |= {"tokens": effective.max_tokens / TOKEN, "fraction": effective.token_ratio / TOKEN}
        shown = {}
        for key, value in values.items():
            source = DEFAULT_SOURCE
            setting = _deciding_key(key, found)
            if effective_setting := {**found, **budget}.get(setting):
                section = self._sections[effective_setting.source]
                source = f"{section.file}:{section.lines[setting]} [attempts {section.name}]"
            shown[key] = EffectiveSetting(value, source)
        return shown

    def worst_case_policy(
        self, traffic_type: str, number: int, no_answer: int, peer: str = "", first_choice: int = -1
    ) -> AttemptPolicy:
        """A dialog's policy for its worst case: its caller's no-answer time, any wait of a server."""
        policy = self.policy_for(traffic_type, number, peer, first_choice) or self._policy(traffic_type, {})
        timeout = min(no_answer, policy.no_answer_timeout or no_answer)
        allowed = self._deployment.max_attempts
        total = min(policy.max_total_attempts or allowed, allowed)
        return replace(
            policy, no_answer_timeout=timeout, max_server_retry_after=timeout, max_total_attempts=total
        )

    def sample_routes(self) -> dict[str, tuple[int, str, int]]:
        """For each section the number, peer and first choice of a dialog on its route, by its name."""
        found = {}
        for section in self._sections.values():
            keys = section.keys
            group, server_set = self._groups.get(keys.trunk_group or ""), keys.server_set
            peer = group.peers[0].rstrip("*") if group is not None else ""
            first = next((number for number, name in self._server_sets.items() if name == server_set), -1)
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
        known_type = self._deployment.traffic_types.get(traffic_type)
        objective = known_type.latency_objective if known_type is not None else 0
        configured = {
            POLICY_FIELDS[key]: setting.value for key, setting in found.items() if key != "server_share"
        }
        policy = replace(default_policy(self._deployment, objective), **configured)
        if "server_share" in found:
            # Of two ways to say how long one server may take the shorter acts.
            by_share = max(1, int(found["server_share"].value * policy.latency_objective))
            policy = replace(policy, attempt_timeout=min(by_share, policy.attempt_timeout or by_share))
        return policy

    def _find_ties(self) -> list[ConfigProblem]:
        return [
            self._problem(tie.second, tie.key, f"ties with [attempts {tie.first}]: both match {tie.overlap}")
            for rules in (self._rules, self._budget_rules)
            for tie in find_ambiguous_rules(rules)
        ]

    def _find_violations(self) -> list[ConfigProblem]:
        """Each combination of sections that some dialog can meet is checked as a whole."""
        problems: dict[tuple[str, str], ConfigProblem] = {}
        combinations = intersection_closure([rule.condition for rule in self._rules], MAX_COMBINATIONS)
        if len(combinations) > MAX_COMBINATIONS:
            section = next(iter(self._sections.values()))
            reason = f"the sections overlap in more than {MAX_COMBINATIONS} ways; fewer can be checked"
            return [ConfigProblem(section.file, section.line, f"attempts {section.name}", "", reason)]
        all_types = list(self._deployment.traffic_types)
        for condition in combinations:
            for traffic_type in [condition.traffic_type] if condition.traffic_type else all_types:
                attributes = DialogAttributes(
                    traffic_type,
                    condition.prefix,
                    condition.region or self._region,
                    condition.trunk_group or "",
                    condition.server_set or "",
                )
                matching = [rule for rule in self._rules if rule.condition.matches(attributes)]
                if find_ambiguous_rules(matching):
                    continue
                found = resolve(self._rules, attributes)
                for key, reason in self._violations_of(self._policy(traffic_type, found)):
                    setting = _deciding_key(key, found)
                    rule = found[setting].source if setting in found else matching[0].name
                    problems.setdefault((rule, setting), self._problem(rule, setting, reason))
        return list(problems.values())

    def _violations_of(self, policy: AttemptPolicy) -> list[PolicyProblem]:
        bounded = replace(policy, no_answer_timeout=policy.no_answer_timeout or NO_TIMEOUT)
        found = policy_problems(bounded, self._deployment.release_delay, self._deployment.max_attempts)
        if policy.retry_after > self._deployment.max_retry_after:
            limit = self._deployment.max_retry_after
            found.append(
                PolicyProblem("come_back", f"past the fleet's come_back_limit of {limit} ns, which would act")
            )
        if 0 < policy.no_answer_timeout <= self._answer_margin:
            found.append(
                PolicyProblem(
                    "no_answer", f"within answer_margin, {self._answer_margin} ns: no answer could travel"
                )
            )
        return found

    def _problem(self, rule: str, key: str, reason: str) -> ConfigProblem:
        section = self._sections[rule]
        line = section.lines.get(key, section.line)
        return ConfigProblem(section.file, line, f"attempts {section.name}", key, reason)


def default_policy(deployment: Deployment, latency_objective: int) -> AttemptPolicy:
    """The policy that acts where no file says otherwise."""
    return AttemptPolicy(
        MAX_ATTEMPTS, latency_objective, 0, deployment.release_delay, BACKOFF_BASE, BACKOFF_CAP
    )


def _retry_budget(found: Mapping[str, EffectiveSetting]) -> RetryBudgetConfig:
    tokens = round(found["tokens"].value * TOKEN) if "tokens" in found else DEFAULT_RETRY_BUDGET.max_tokens
    adds = round(found["fraction"].value * TOKEN) if "fraction" in found else DEFAULT_RETRY_BUDGET.token_ratio
    return RetryBudgetConfig(tokens, adds)


def _deciding_key(key: str, found: Mapping[str, EffectiveSetting]) -> str:
    """The setting that a value comes from: an attempt's timeout may come from a server's share."""
    is_from_share = "server_share" in found and "leg_time_out" not in found
    return "server_share" if key == "leg_time_out" and is_from_share else key


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
