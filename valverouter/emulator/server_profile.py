"""The server model's parameters for a day."""

from __future__ import annotations

import msgspec

from valverouter.servermodel.server import Make
from valverouter.terms.day import Day


def server_profile(day: Day) -> Make:
    """What the servers of a day are like, in the model's terms."""
    settings = msgspec.structs.asdict(day.servers)
    del settings["tells_lines"], settings["report_every"]
    fleet = day.fleet
    return Make(
        **settings,
        cold_share=fleet.cold_share,
        warm_after=fleet.warm_after,
        tip_multiple=fleet.tip_multiple,
        tip_span=fleet.tip_span,
    )
