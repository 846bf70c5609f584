"""The server model's parameters for a scenario."""

from __future__ import annotations

from valverouter.config.scenario import ScenarioConfig
from valverouter.servermodel.profile import ServerProfile


def server_profile(scenario: ScenarioConfig) -> ServerProfile:
    """Returns the profile of a scenario's servers, from the settings in [servers] and [fleet]."""
    servers, fleet = scenario.servers, scenario.fleet
    return ServerProfile(
        lines=servers.lines,
        setup_work=servers.setup_work,
        answer_work=servers.answer_work,
        release_work=servers.release_work,
        reject_work=servers.refuse_work,
        retransmit_work=servers.repeat_work,
        ringing_duration=servers.ring,
        max_queue_delay=servers.most_wait,
        sends_retry_after=servers.tells_wait,
        retransmit_interval=servers.resend_first,
        prioritizes_setups=servers.set_ups_first,
        drops_cancelled_setups=servers.drops_cancelled,
        slow_start_fraction=fleet.cold_share,
        slow_start_duration=fleet.warm_after,
        overload_multiple=fleet.tip_multiple,
        overload_window=fleet.tip_span,
        random_work_fraction=servers.spread,
    )
