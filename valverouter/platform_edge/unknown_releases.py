"""Ends of dialogs that are not known here, stored for callers that have yet to report them."""

from __future__ import annotations

import trio

# How long the end of an unknown dialog is stored, for a caller that has yet to report the dialog.
UNKNOWN_RELEASE_LIFETIME_S = 15.0
MAX_UNKNOWN_RELEASES = 1_000


class UnknownReleases:
    """Releases that came for dialogs not known here; emptied by time, and held to a count.

    After our own restart a server may tell of an end before the caller reports the dialog.
    """

    def __init__(self) -> None:
        self._releases: dict[str, tuple[float, bool]] = {}

    def add(self, id_: str, was_cut: bool) -> None:
        """A dialog that is not known here has ended."""
        now = trio.current_time()
        self._releases[id_] = now, was_cut
        while self._releases:
            first = next(iter(self._releases))
            if (
                self._releases[first][0] > now - UNKNOWN_RELEASE_LIFETIME_S
                and len(self._releases) <= MAX_UNKNOWN_RELEASES
            ):
                return
            del self._releases[first]

    def pop(self, id_: str) -> bool | None:
        """Whether a dialog was cut; None where no end of it is known."""
        known = self._releases.pop(id_, None)
        return known[1] if known else None
