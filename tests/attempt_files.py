"""Edge configurations with [attempts] sections, and the attempt policies built from them."""

from __future__ import annotations

from tests.edge_harness import INI, parse_config
from valverouter.edge.attempt_policies import AttemptPolicies


def ini(*sections: str) -> str:
    return INI + "\n" + "\n".join(sections)


def policies_of(text: str) -> AttemptPolicies:
    return AttemptPolicies(parse_config(text))
