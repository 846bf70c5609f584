"""Releases of unknown dialogs, stored until their callers report the dialogs."""

from __future__ import annotations

import trio

# How long the release of an unknown dialog is stored, in seconds.
UNKNOWN_RELEASE_LIFETIME_S = 15.0
MAX_UNKNOWN_RELEASES = 1_000


class UnknownReleases:
    """Releases received for unknown dialogs, limited in age and number.

    After a restart of this edge proxy, a server may release a dialog before its caller has reported it.
    """

    def __init__(self) -> None:
        self._releases: dict[str, tuple[float, bool]] = {}

    def add(self, id_: str, was_interrupted: bool) -> None:
        """Stores the release of an unknown dialog; `was_interrupted`: the dialog did not end normally."""
        now = trio.current_time()
        self._releases[id_] = now, was_interrupted
        while self._releases:
            first = next(iter(self._releases))
            if (
                self._releases[first][0] > now - UNKNOWN_RELEASE_LIFETIME_S
                and len(self._releases) <= MAX_UNKNOWN_RELEASES
            ):
                return
            del self._releases[first]

    def pop(self, id_: str) -> bool | None:
        """Removes a dialog's release and returns whether it was an interruption; None if none is stored."""
        known = self._releases.pop(id_, None)
        return known[1] if known else None
