"""`valverouter fleet view`: queries instances for their membership views, compares and prints them."""

from __future__ import annotations

import random
import secrets
import sys
import time
from pathlib import Path

import click
import trio

from valverouter.cli.command_support import FILE, INVALID_INPUT, RULE_VIOLATED, console
from valverouter.cli.fleet_view_output import by_incarnation, print_json, print_metrics, print_tables
from valverouter.config.edge import load_edge_config
from valverouter.config.gossip import GossipConfig
from valverouter.edge.sockets import SocketRuntime
from valverouter.fleet.client import FleetClient
from valverouter.fleet.view_comparison import ViewAnswer, is_converged
from valverouter.membership.records import LIVE_STATES

# Exit codes besides 0: the views differ or are not settled; no instance answered.
NOT_CONVERGED, NO_ANSWER = RULE_VIOLATED, INVALID_INPUT
# The default limit of the instances that one query contacts, however large the fleet.
MAX_QUERIED = 64
WATCH_INTERVAL_S = 1.0


@click.command("view")
@click.argument("file", type=FILE)
@click.option(
    "--at",
    "at",
    multiple=True,
    metavar="IP:PORT",
    help="Query only the instance at this address; may be repeated.",
)
@click.option("--json", "as_json", is_flag=True, help="Print all answers as JSON.")
@click.option("--metrics", is_flag=True, help="Print counters and states in the Prometheus text format.")
@click.option("--watch", is_flag=True, help="Repeat every second until interrupted.")
@click.option(
    "--most", default=MAX_QUERIED, show_default=True, help="The maximum number of instances to query."
)
def view(file: Path, at: tuple[str, ...], as_json: bool, metrics: bool, watch: bool, most: int) -> None:
    """Query instances for their views of the fleet and show the differences.

    FILE is the configuration of any instance; its key and seeds are used. The instance itself, its seeds and
    the members that their answers contain are queried. Exits with 0 if all queried instances have settled on
    one view, 1 if not, 2 if no instance answered.
    """
    gossip_config = load_edge_config(file).between
    if gossip_config is None:
        raise ValueError(f"{file}: has no [between], so its instance keeps no view of the fleet")
    while True:
        answers = trio.run(_query, gossip_config, at, most)
        code = _exit_code(answers)
        if watch and console.is_terminal:
            console.clear()
        _print(answers, code == 0, as_json, metrics)
        if not watch:
            sys.exit(code)
        time.sleep(WATCH_INTERVAL_S)


def _print(answers: list[ViewAnswer], converged: bool, as_json: bool, metrics: bool) -> None:
    if metrics:
        print_metrics(answers)
    elif as_json:
        print_json(answers, converged)
    else:
        print_tables(answers, converged)


async def _query(gossip_config: GossipConfig, at: tuple[str, ...], max_queried: int) -> list[ViewAnswer]:
    """Queries the addresses `at`; if there are none, the file's instance, its seeds and their known members.

    At most `max_queried` instances are queried.
    """
    addresses = list(at) or [
        address
        for address in (gossip_config.advertise or gossip_config.listen, *gossip_config.seeds)
        if not address.endswith(":0")
    ]
    host = addresses[0].rpartition(":")[0] if addresses else "127.0.0.1"
    socket = SocketRuntime().bind_datagrams("[::]:0" if ":" in host else "0.0.0.0:0")
    try:
        client = FleetClient(gossip_config.keys, socket, random.Random(secrets.randbits(64)))
        answers = await client.query_views(addresses[:max_queried])
        if at:
            return answers
        named = _members_not_queried(answers)
        return answers + await client.query_views(named[: max(0, max_queried - len(answers))])
    finally:
        socket.close()


def _members_not_queried(answers: list[ViewAnswer]) -> list[str]:
    queried = {answer.address for answer in answers}
    named = [row.address for answer in answers for row in answer.rows if row.state in LIVE_STATES]
    return [address for address in dict.fromkeys(named) if address not in queried]


def _exit_code(answers: list[ViewAnswer]) -> int:
    complete = by_incarnation(answers)
    if not complete:
        return NO_ANSWER
    # Only an unanswered address of a live member counts: a seed may be the address of a former member.
    silent = {answer.address for answer in answers if answer.missing_page is not None}
    live = {row.address for answer in complete.values() for row in answer.rows if row.state in LIVE_STATES}
    return 0 if is_converged(list(complete.values())) and not silent & live else NOT_CONVERGED
