"""The status that an edge proxy reports to the other members of its fleet and to its supervisor."""

from __future__ import annotations

import os

from valverouter.edge.proxy import EdgeProxy
from valverouter.membership.records import Phase
from valverouter.rollout.reports import InstanceCounters

# Environment variable with the version label under which a supervisor started the process.
VERSION_VARIABLE = "VALVEROUTER_VERSION"


def membership_facts(proxy: EdgeProxy) -> tuple[Phase, str]:
    """Returns the phase and the configuration digest for the instance's member record."""
    return Phase.DRAINING if proxy.is_draining else Phase.SERVING, proxy.config.digest


def instance_counters(proxy: EdgeProxy) -> InstanceCounters:
    """Returns the counters since the process started; the caller sets incarnation and view health."""
    answers = proxy.counters.answers
    declined = answers["declined"] + answers["declined-here"]
    lost = answers["aborted"] + proxy.counters.withheld
    return InstanceCounters(
        serving=not proxy.is_draining,
        ready=proxy.is_ready,
        accepted=answers["stands"] + declined + lost,
        rejected=declined,
        lost=lost,
        late=proxy.counters.late,
        version_label=os.environ.get(VERSION_VARIABLE, ""),
        pid=os.getpid(),
    )
