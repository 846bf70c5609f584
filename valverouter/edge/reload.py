"""Configuration reloads of a running edge proxy, and their rollback by the change guard."""

from __future__ import annotations

from typing import Any

import msgspec

from valverouter.attempts.change_guard import ChangeGuard
from valverouter.config.edge import EdgeConfig
from valverouter.config.ini import END_MARKER
from valverouter.edge.attempt_policies import AttemptPolicies
from valverouter.edge.context import ProxyContext
from valverouter.edge.events import ReloadRequested
from valverouter.policy.retry import DEFAULT_RETRY_BUDGET


class ConfigReloader:
    """Replaces the attempt policies and cross-region rules of a running proxy, watched by a change guard."""

    def __init__(self, context: ProxyContext) -> None:
        """Manages the configuration in `context`."""
        self.guard = ChangeGuard()
        self._context = context
        # The configuration before the last change, to which the guard may roll back; None if there is none.
        self._previous: EdgeConfig | None = None

    def build_attempt_policies(self, config: EdgeConfig) -> AttemptPolicies | None:
        """Builds the attempt policies of a new configuration; None if it has none.

        Raises InvalidConfigError. The checks may take long, so callers run this in a thread.
        """
        return AttemptPolicies(self._merge(config)) if config.attempts else None

    def on_reload(self, event: ReloadRequested) -> None:
        """Applies a new configuration."""
        self._apply(event, is_rollback=False)

    def reject(self, file: str, reason: str, **details: Any) -> None:
        """Logs that a configuration is rejected, and which generation stays in effect."""
        self._context.log.error(
            "configuration-rejected", generation=self._context.generation, file=file, why=reason, **details
        )

    def apply_retry_budgets(self) -> None:
        """Passes the retry budgets of the current configuration to the driver."""
        context, policies = self._context, self._context.attempt_policies
        set_retry_budgets = context.driver.set_retry_budgets
        if policies is None:
            context.run_isolated("", set_retry_budgets, {}, DEFAULT_RETRY_BUDGET)
        else:
            budgets, default = policies.retry_budgets(), policies.default_retry_budget()
            context.run_isolated("", set_retry_budgets, budgets, default)

    def on_final_answer(self, traffic_type: str, is_rejected: bool, attempts: int) -> None:
        """Counts a final answer; logs a regression after a change, and rolls back if that is configured."""
        context = self._context
        if traffic_type not in context.config.deployment.traffic_types:
            return  # a name that the caller made up; counting these would use unbounded memory
        regression = self.guard.on_final_answer(context.now, traffic_type, is_rejected, attempts)
        if regression is None:
            return
        context.log.error(
            "configuration-harmful",
            generation=context.generation,
            traffic_type=regression.traffic_type,
            what=regression.metric,
            before=regression.before,
            after=regression.after,
            dialogs=regression.dialogs,
        )
        if self._previous is not None and context.config.returns:
            self._apply(ReloadRequested(self._previous), is_rollback=True)

    def _apply(self, event: ReloadRequested, is_rollback: bool) -> None:
        context, new, old = self._context, event.config, self._context.config
        if old.ends and not new.ends:
            # A file that was truncated at the end of a line may pass all checks with half of its sections.
            self.reject(event.file, f"the file was cut off: its last line is not {END_MARKER!r}")
            return
        merged = self._merge(new)
        unapplied = [name for name in old.__struct_fields__ if getattr(merged, name) != getattr(new, name)]
        try:
            # Open dialogs keep the attempt policy that they started with; the new policies apply to later
            # ones.
            policies = event.policies or self.build_attempt_policies(new)
            if context.cross_region is not None and new.crossing is not None:
                context.cross_region.reconfigure(new.crossing, context.now)
        except Exception as error:  # problems in the file, and running out of memory
            self.reject(event.file, str(error) or type(error).__name__)
            return
        context.attempt_policies, context.config = policies, merged
        self.apply_retry_budgets()
        self._previous = None if is_rollback else old
        context.generation += 1
        self.guard.on_change(context.now, observe=not is_rollback)
        if (context.cross_region is None) != (new.crossing is None):
            unapplied.append("crossing")
        context.log.info(
            "configuration-reloaded",
            generation=context.generation,
            file=event.file,
            back=is_rollback,
            waits_for_a_start=unapplied,
        )

    def _merge(self, new: EdgeConfig) -> EdgeConfig:
        """Returns the current configuration with those sections of `new` that may change at run time."""
        return msgspec.structs.replace(
            self._context.config,
            crossing=new.crossing,
            attempts=new.attempts,
            ends=new.ends,
            digest=new.digest,
        )
