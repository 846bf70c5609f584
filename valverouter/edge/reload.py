"""Configuration that changes while an edge proxy runs: what acts, what acted before, and the way back."""

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
    """Replaces the attempt policies and the cross-region rules of a running proxy, under a change guard."""

    def __init__(self, context: ProxyContext) -> None:
        """Watches over the configuration of `context`."""
        self.guard = ChangeGuard()
        self._context = context
        # What acted before the last change, for as long as the guard may go back to it.
        self._previous: EdgeConfig | None = None

    def policies_of(self, config: EdgeConfig) -> AttemptPolicies | None:
        """The attempt policies of another configuration; None: it has none. InvalidConfigError.

        Its check may take long; callers run it in a thread.
        """
        return AttemptPolicies(self._merged(config)) if config.attempts else None

    def on_reload(self, event: ReloadRequested) -> None:
        """Another configuration was read, whole."""
        self._apply(event, is_rollback=False)

    def reject(self, file: str, why: str, **details: Any) -> None:
        """Logs that a configuration does not act, and which generation goes on acting."""
        self._context.log.error(
            "configuration-rejected", generation=self._context.generation, file=file, why=why, **details
        )

    def apply_retry_budgets(self) -> None:
        """Hands the retry budgets that act at present to the decisions."""
        context, policies = self._context, self._context.attempt_policies
        set_retry_budgets = context.driver.set_retry_budgets
        if policies is None:
            context.run_decision("", set_retry_budgets, {}, DEFAULT_RETRY_BUDGET)
        else:
            budgets, default = policies.retry_budgets(), policies.default_retry_budget()
            context.run_decision("", set_retry_budgets, budgets, default)

    def on_final_answer(self, traffic_type: str, is_rejected: bool, attempts: int) -> None:
        """Counts a final answer; where a change harms, logs it, and rolls back if that is configured."""
        context = self._context
        if traffic_type not in context.config.deployment.traffic_types:
            return  # a name of the caller's own; counted, each would stay in memory
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
            # A file cut off at a line's end may pass every check, with half of its sections.
            self.reject(event.file, f"the file was cut off: its last line is not {END_MARKER!r}")
            return
        merged = self._merged(new)
        unapplied = [name for name in old.__struct_fields__ if getattr(merged, name) != getattr(new, name)]
        try:
            # Open dialogs carry the attempt policy that they began with; the new ones are for those to come.
            policies = event.policies or self.policies_of(new)
            if context.cross_region is not None and new.crossing is not None:
                context.cross_region.reconfigure(new.crossing, context.now)
        except Exception as error:  # problems of the file, and memory that runs out on the way
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

    def _merged(self, new: EdgeConfig) -> EdgeConfig:
        """The present configuration with what of the new one may change while running."""
        return msgspec.structs.replace(
            self._context.config,
            crossing=new.crossing,
            attempts=new.attempts,
            ends=new.ends,
            digest=new.digest,
        )
