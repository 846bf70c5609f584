"""Attempt policies: the [attempts] sections of a file as rules, checked against the fleet's limits."""

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

# The source that `explain` shows for a value that no section sets.
DEFAULT_SOURCE = "default"
# The most combinations of overlapping sections that are checked; a file with more is rejected.
MAX_COMBINATIONS = 20_000
# Stands for an unlimited no-answer time in the checks, ns.
NO_TIMEOUT = 1 << 62


class AttemptPolicies:
    """Selects the attempt policy of each dialog, and the retry budget of each server.

    The constructor raises InvalidConfigError with all problems found; such a file takes no effect at all.
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
        self._rules = [
            rule for section in config.attempts.sections for rule in _rules_of(section, POLICY_KEYS)
        ]
        self._budget_rules = [
            rule for section in config.attempts.sections for rule in _rules_of(section, BUDGET_KEYS)
        ]
        # Cache of resolved policies, keyed by traffic type and the set of matching rules. Not keyed by called
        # number: nearly every dialog has a new one, and resolving costs far more than matching. The size is
        # bounded by the combinations of rules in the file.
        self._resolved: dict[tuple[str, tuple[bool, ...]], AttemptPolicy | None] = {}
        if problems := [*self._ambiguity_problems(), *self._constraint_problems()]:
            raise InvalidConfigError(sorted(problems, key=lambda problem: problem.line))

    def policy_for(
        self, traffic_type: str, called_number: int, caller: str = "", preferred_server_number: int = -1
    ) -> AttemptPolicy | None:
        """Returns a dialog's policy; None if the default applies: no rule matches or the type is unknown."""
        attributes = self.attributes_of(traffic_type, called_number, caller, preferred_server_number)
        if traffic_type not in self._deployment.traffic_types:
            return None
        key = traffic_type, tuple(rule.condition.matches(attributes) for rule in self._rules)
        if key not in self._resolved:
            found = resolve(self._rules, attributes)
            self._resolved[key] = self._build_policy(traffic_type, found) if found else None
        return self._resolved[key]

    def attributes_of(
        self, traffic_type: str, called_number: int, caller: str = "", preferred_server_number: int = -1
    ) -> DialogAttributes:
        """Returns the attributes that a dialog's rules are matched against.

        The trunk group is found by the caller's name (`caller`), the server set by the preferred server's
        number (`preferred_server_number`).
        """
        return DialogAttributes(
            traffic_type,
            str(called_number),
            self._region,
            self._trunk_group(caller),
            self._server_sets.get(preferred_server_number, ""),
        )

    def retry_budgets(self) -> dict[int, RetryBudgetConfig]:
        """Returns the retry budgets of the servers in server sets, by server number.

        Empty if no section sets a retry budget.
        """
        return {
            number: _retry_budget(resolve(self._budget_rules, DialogAttributes("", "", "", "", name)))
            for number, name in self._server_sets.items()
            if self._budget_rules
        }

    def default_retry_budget(self) -> RetryBudgetConfig:
        """Returns the retry budget of servers that belong to no server set."""
        return _retry_budget(resolve(self._budget_rules, DialogAttributes("")))

    def explain(
        self, traffic_type: str, called_number: int, caller: str = "", preferred_server_number: int = -1
    ) -> dict[str, EffectiveSetting]:
        """Returns the effective value of each key for a dialog, with the section and line that set it."""
        attributes = self.attributes_of(traffic_type, called_number, caller, preferred_server_number)
        found = resolve(self._rules, attributes)
        policy = self._build_policy(traffic_type, found)
        budget = resolve(self._budget_rules, DialogAttributes("", "", "", "", attributes.server_set))
        effective = _retry_budget(budget)
        values = {key: getattr(policy, field) for key, field in POLICY_FIELDS.items()}
        values |= {"tokens": effective.max_tokens / TOKEN, "fraction": effective.token_ratio / TOKEN}
        explained = {}
        for key, value in values.items():
            source = DEFAULT_SOURCE
            setting = _deciding_key(key, found)
            if effective_setting := {**found, **budget}.get(setting):
                section = self._sections[effective_setting.source]
                source = f"{section.file}:{section.lines[setting]} [attempts {section.name}]"
            explained[key] = EffectiveSetting(value, source)
        return explained

    def worst_case_policy(
        self,
        traffic_type: str,
        called_number: int,
        no_answer_timeout: int,
        caller: str = "",
        preferred_server_number: int = -1,
    ) -> AttemptPolicy:
        """Returns a dialog's policy with every limit filled in, for computing its worst case.

        `no_answer_timeout`: the caller's no-answer time in ns. A server may send any retry-after up to the
        resulting no-answer timeout.
        """
        policy = self.policy_for(
            traffic_type, called_number, caller, preferred_server_number
        ) or self._build_policy(traffic_type, {})
        timeout = min(no_answer_timeout, policy.no_answer_timeout or no_answer_timeout)
        allowed = self._deployment.max_attempts
        total = min(policy.max_total_attempts or allowed, allowed)
        return replace(
            policy, no_answer_timeout=timeout, max_server_retry_after=timeout, max_total_attempts=total
        )

    def sample_routes(self) -> dict[str, tuple[int, str, int]]:
        """Returns, by section, a called number, caller name and preferred server that the section matches."""
        found = {}
        for section in self._sections.values():
            keys = section.keys
            group, server_set = self._groups.get(keys.trunk_group or ""), keys.server_set
            peer = group.peers[0].rstrip("*") if group is not None else ""
            first = next((number for number, name in self._server_sets.items() if name == server_set), -1)
            for prefix in keys.prefix[:1]:
                found[f"[attempts {section.name}]"] = int(prefix or 0), peer, first
        return found

    def _trunk_group(self, caller: str) -> str:
        patterns = [
            (len(pattern), name)
            for name, group in self._groups.items()
            for pattern in group.peers
            if matches_peer(pattern, caller)
        ]
        return max(patterns, default=(0, ""))[1]

    def _build_policy(self, traffic_type: str, found: Mapping[str, EffectiveSetting]) -> AttemptPolicy:
        known_type = self._deployment.traffic_types.get(traffic_type)
        objective = known_type.latency_objective if known_type is not None else 0
        configured = {
            POLICY_FIELDS[key]: setting.value for key, setting in found.items() if key != "server_share"
        }
        policy = replace(default_policy(self._deployment, objective), **configured)
        if "server_share" in found:
            # `server_share` and `leg_time_out` both limit an attempt's duration: the shorter one applies.
            by_share = max(1, int(found["server_share"].value * policy.latency_objective))
            policy = replace(policy, attempt_timeout=min(by_share, policy.attempt_timeout or by_share))
        return policy

    def _ambiguity_problems(self) -> list[ConfigProblem]:
        return [
            self._make_problem(
                tie.second, tie.key, f"ties with [attempts {tie.first}]: both match {tie.overlap}"
            )
            for rules in (self._rules, self._budget_rules)
            for tie in find_ambiguous_rules(rules)
        ]

    def _constraint_problems(self) -> list[ConfigProblem]:
        """Checks the resulting policy of every combination of sections that can match one dialog."""
        problems: dict[tuple[str, str], ConfigProblem] = {}
        combinations = intersection_closure([rule.condition for rule in self._rules], MAX_COMBINATIONS)
        if len(combinations) > MAX_COMBINATIONS:
            section = next(iter(self._sections.values()))
            reason = f"the sections overlap in more than {MAX_COMBINATIONS} combinations, too many to check"
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
                for key, reason in self._problems_of(self._build_policy(traffic_type, found)):
                    setting = _deciding_key(key, found)
                    rule = found[setting].source if setting in found else matching[0].name
                    problems.setdefault((rule, setting), self._make_problem(rule, setting, reason))
        return list(problems.values())

    def _problems_of(self, policy: AttemptPolicy) -> list[PolicyProblem]:
        bounded = replace(policy, no_answer_timeout=policy.no_answer_timeout or NO_TIMEOUT)
        found = policy_problems(bounded, self._deployment.release_delay, self._deployment.max_attempts)
        if policy.retry_after > self._deployment.max_retry_after:
            limit = self._deployment.max_retry_after
            found.append(
                PolicyProblem(
                    "come_back", f"past the fleet's come_back_limit of {limit} ns, which would apply instead"
                )
            )
        if 0 < policy.no_answer_timeout <= self._answer_margin:
            found.append(
                PolicyProblem(
                    "no_answer",
                    f"within answer_margin, {self._answer_margin} ns: no answer could arrive in time",
                )
            )
        return found

    def _make_problem(self, rule: str, key: str, reason: str) -> ConfigProblem:
        section = self._sections[rule]
        line = section.lines.get(key, section.line)
        return ConfigProblem(section.file, line, f"attempts {section.name}", key, reason)


def default_policy(deployment: Deployment, latency_objective: int) -> AttemptPolicy:
    """Returns the policy of a traffic type for which no section sets anything; times in ns."""
    return AttemptPolicy(
        MAX_ATTEMPTS, latency_objective, 0, deployment.release_delay, BACKOFF_BASE, BACKOFF_CAP
    )


def _retry_budget(found: Mapping[str, EffectiveSetting]) -> RetryBudgetConfig:
    tokens = round(found["tokens"].value * TOKEN) if "tokens" in found else DEFAULT_RETRY_BUDGET.max_tokens
    token_ratio = (
        round(found["fraction"].value * TOKEN) if "fraction" in found else DEFAULT_RETRY_BUDGET.token_ratio
    )
    return RetryBudgetConfig(tokens, token_ratio)


def _deciding_key(key: str, found: Mapping[str, EffectiveSetting]) -> str:
    """Returns the key that determines a value: `server_share` may determine the attempt timeout."""
    is_from_share = "server_share" in found and "leg_time_out" not in found
    return "server_share" if key == "leg_time_out" and is_from_share else key


def _rules_of(section: AttemptSection, key_names: tuple[str, ...]) -> list[PolicyRule]:
    keys = section.keys
    values = {key: value for key in key_names if (value := getattr(keys, key)) is not None}
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
