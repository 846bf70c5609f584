"""Samples of all values that are written to disk or sent between processes, built with the current classes.

`tests/data/132c5ee/` has these samples as the program encoded them at that commit; test_stored_formats.py
compares them with the current encoding. Later versions read the stores and messages of earlier ones, so the
files there are never regenerated: when a class or field is renamed, it is renamed here, too, and keeps its
encoded name (`tag="..."`, `rename={...}`).

Values are passed by position, since their order is part of the formats. No field has its default value and,
as far as its type allows, no two fields of a sample have the same value.

    python -m tests.stored_values FOLDER    writes all files to FOLDER, which must not exist
"""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Callable, Iterator
from contextlib import closing, redirect_stdout
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import click
import lmdb
import msgspec
from click.testing import CliRunner

from valverouter.cli import fleet_view, fleet_view_output, ledger, regions
from valverouter.config import recorded_calls
from valverouter.edge import endpoint_cache
from valverouter.experiments import runner
from valverouter.experiments.plan import Run
from valverouter.fleet import authentication, fragmentation, queries, view_comparison
from valverouter.fleet import messages as fleet_messages
from valverouter.ledger import dialog_store
from valverouter.ledger.raft_store import RaftStore
from valverouter.ledger.supervisor_store import SupervisorStore
from valverouter.membership import messages, records
from valverouter.platform_edge import translation as platform_translation
from valverouter.platform_protocol import bus, lines
from valverouter.recovery import learned_state, lifecycle
from valverouter.regions.usage import CrossRegionUsage, UsageCounters, UsageKey
from valverouter.rollout import (
    disruption_limits,
    disruption_permits,
    operation_log,
    operations,
    raft_log,
    raft_messages,
    reports,
    serialization,
    status,
    supervisor_state,
)
from valverouter.signalling import framing, greeting, serverlist, setup, traffic_record

KEY = bytes(range(32))


class Format(Enum):
    """The encoding of a sample."""

    MSGPACK = "msgpack"
    JSON = "json"
    FRAME = "frame"
    DATAGRAM = "datagram"


@dataclass(frozen=True)
class Sample:
    """A value and its encoding.

    `kind`: the type as which a receiver decodes it, possibly a union; None: the value's own type.
    """

    value: Any
    format: Format = Format.MSGPACK
    kind: Any = None

    @property
    def decoded_as(self) -> Any:
        return type(self.value) if self.kind is None else self.kind

    def encode(self) -> bytes:
        match self.format:
            case Format.MSGPACK:
                return msgspec.msgpack.encode(self.value)
            case Format.JSON:
                return msgspec.json.encode(self.value)
            case Format.FRAME:
                return framing.encode_frame(self.value)
            case Format.DATAGRAM:
                return authentication.Authenticator((KEY,)).sign(self.value)

    def decode(self, data: bytes) -> Any:
        match self.format:
            case Format.MSGPACK:
                return msgspec.msgpack.decode(data, type=self.decoded_as)
            case Format.JSON:
                return msgspec.json.decode(data, type=self.decoded_as)
            case Format.FRAME:
                (body,) = framing.FrameReader().feed(data)
                return msgspec.msgpack.decode(body, type=self.decoded_as)
            case Format.DATAGRAM:
                return authentication.DatagramReader(
                    authentication.Authenticator((KEY,)), self.decoded_as
                ).read(data)


# Membership


def member_record(state: records.MemberState = records.MemberState.SUSPECT) -> records.MemberRecord:
    return records.MemberRecord(
        "e7",
        "north",
        3,
        "127.0.0.7:7107",
        11,
        1 << 62,
        13,
        state,
        (17, 1 << 61),
        "v2.1",
        "terms-digest",
        records.Phase.DRAINING,
        True,
        "e9",
    )


UPDATES = (member_record(),)
HEADER = ("e1", 101, 103)

MEMBERSHIP: dict[str, Any] = {
    "ping": messages.Ping(*HEADER, 5, 107, UPDATES),
    "ack": messages.Ack(*HEADER, 6, "e2", 109, UPDATES),
    "ask": messages.PingReq(*HEADER, 7, "e3", 113, "127.0.0.3:7103", UPDATES),
    "nack": messages.Nack(*HEADER, 8),
    "gossip": messages.Gossip(*HEADER, UPDATES),
    "sync": messages.SyncDigests(*HEADER, (127, 131), UPDATES),
    "pages": messages.SyncRecords(*HEADER, (137, 139), UPDATES),
}

# An instance's counters and its membership view

COUNTERS = reports.InstanceCounters(149, True, True, 151, 157, 163, 167, "settled", 173, "v3", 179)


def view_row(state: records.MemberState = records.MemberState.LEFT) -> queries.MemberRow:
    return queries.MemberRow(
        "e4", "south", 2, "127.0.0.4:7104", 19, 181, state, 191, "v4", "terms-4", 1, True
    )


VIEW = tuple(view_row(state) for state in records.MemberState)
VIEW_MESSAGES: dict[str, Any] = {
    "query": queries.ViewQuery(*HEADER, 9, 4),
    "count": queries.CountersQuery(*HEADER, 10),
    "counted": queries.CountersReply(*HEADER, 12, COUNTERS),
    "shown": queries.ViewPage(*HEADER, 14, 1, 3, "doubting", {"stranger": 21, "replay": 22}, VIEW),
}

FRAGMENT = fragmentation.Fragment("c1", 193, 197, 2, 5, b"of a parcel")

# Operations and permits

INSTANCES = (
    disruption_limits.Instance("e5", disruption_limits.InstanceKind.EDGE, "east", 199, 1.5),
    disruption_limits.Instance("s6", disruption_limits.InstanceKind.SERVER, "west", 211, 2.5),
)
LIMITS = disruption_limits.DisruptionLimits(4, 2, {"east": 1}, 0.25, 0.75)

PERMIT_COMMANDS: dict[str, Any] = {
    "ask": disruption_permits.RequestPermit("o1/e5", "e5", "o1"),
    "back": disruption_permits.InstanceReturned("e8", 223),
    "away": disruption_permits.InstanceLost("e10"),
    "enrol": disruption_permits.EnrollInstances(
        INSTANCES,
        ((disruption_limits.InstanceKind.SERVER, LIMITS), (disruption_limits.InstanceKind.EDGE, LIMITS)),
    ),
    "halt": disruption_permits.HaltDisruptions("as asked", True),
}
OPERATION_COMMANDS: dict[str, Any] = {
    "place": operations.Submit("o2", operations.OperationKind.RELEASE, ("e5", "e8"), "v5", 227, "tool"),
    "went": operations.StepReported("o3", "e11", 229, operations.StepStatus.DRAINED, "emptied"),
    "next": operations.Advance("o4", 3),
    "stop": operations.Cancel("o5", "evidence", False, 233),
    "runs": operations.InstanceReported("e12", "v6", ("v6", "v7"), 239, 2, False),
    "retire": operations.Retire("e13"),
}
COMMANDS = PERMIT_COMMANDS | OPERATION_COMMANDS
MEMBERS = raft_log.Configuration((("c1", 241), ("c2", 251)))
DESIRED_STATE = operations.DesiredState("v8", False, 257, 1, "o6")
PERMIT = disruption_permits.Permit(263, "e14", "o7")


def participant(step: operations.StepStatus = operations.StepStatus.IN_PROGRESS) -> operations.Participant:
    return operations.Participant(step, 269, 3, "v9", "slow")


def operation(kind: operations.OperationKind, phase: operations.OperationPhase) -> operations.Operation:
    """An operation with one participant for each step status."""
    participants = {f"m{at}": participant(step) for at, step in enumerate(operations.StepStatus)}
    waves = [["m0"], list(participants)[1:]]
    header = f"o-{kind.value}", kind, "v10", 271, "operator"
    return operations.Operation(*header, waves, participants, [1], phase, 1, True, "halted", "partly")


def full_operation_log() -> operation_log.OperationLog:
    """An operation log with each kind and each phase of an operation at least once."""
    phases = list(operations.OperationPhase)
    kinds = [list(operations.OperationKind)[at % len(operations.OperationKind)] for at in range(len(phases))]
    submitted = [operation(kind, phase) for kind, phase in zip(kinds, phases, strict=True)]
    register = disruption_permits.PermitRegister(
        {unit.name: unit for unit in INSTANCES},
        {disruption_limits.InstanceKind.EDGE: LIMITS, disruption_limits.InstanceKind.SERVER: LIMITS},
        {"e14": PERMIT, "e10": None},
        {
            "o7/e14": disruption_permits.PermitDecision("o7/e14", PERMIT, "given"),
            "o7/e15": disruption_permits.PermitDecision("o7/e15", None, "no"),
        },
        "until noon",
    )
    return operation_log.OperationLog(
        register,
        {"e14": DESIRED_STATE},
        {"e14": ("v8", "v9")},
        {f"{number}": entry for number, entry in enumerate(submitted)},
        277,
    )


# Raft


def entries() -> tuple[raft_log.LogEntry, ...]:
    """One log entry for each command, for the configuration, and for a leader's no-op (None)."""
    commands = [*COMMANDS.values(), MEMBERS, None]
    return tuple(raft_log.LogEntry(281 + index, command) for index, command in enumerate(commands))


def snapshot() -> raft_log.Snapshot:
    return raft_log.Snapshot(283, 280, MEMBERS, full_operation_log())


def stored_entries() -> tuple[serialization.StoredEntry, ...]:
    return tuple(serialization.to_stored_entry(entry) for entry in entries())


RAFT_MESSAGES: dict[str, Any] = {
    "vote": raft_messages.RequestVote(293, "c1", 307, 311, 313, True),
    "voted": raft_messages.RequestVoteResponse(317, "c2", 331, True, True),
    "appended": raft_messages.AppendEntriesResponse(337, "c3", 347, True, 349, 353),
    "append": serialization.to_wire(raft_messages.AppendEntries(359, "c4", 367, 373, entries(), 379, 383)),
    "install": serialization.to_wire(raft_messages.InstallSnapshot(389, "c5", snapshot())),
}

# Supervisors, and the messages between control plane members, supervisors and tools

INSTANCE_INFO = reports.InstanceInfo(
    "e16", disruption_limits.InstanceKind.SERVER, "north", 397, 3.5, ("v11", "v12")
)
REPORT = reports.SupervisorReport(
    INSTANCE_INFO, "v12", True, 401, 2, "failed", "no port", 4, True, False, COUNTERS
)
SUPERVISOR_STATE = supervisor_state.SupervisorState(
    "v13",
    False,
    "409 boot",
    "v12",
    [
        supervisor_state.Step(419, 1, "o8", "done", "in time"),
        supervisor_state.Step(421, 2, "o9", "failed", "late"),
    ],
)

CONTROL_MESSAGES: dict[str, Any] = {
    **{
        f"votes-{name}": fleet_messages.RaftEnvelope("c2", message) for name, message in RAFT_MESSAGES.items()
    },
    "here": fleet_messages.NodeAnnouncement("c3", 431),
    "reported": fleet_messages.ReportMessage(REPORT, 433, 439),
    "worded": fleet_messages.DesiredStateMessage("c1", "e16", 443, 449, DESIRED_STATE, True),
    **{
        f"asks-{name}": fleet_messages.ClientRequest(457 + at, "do", command, "about")
        for at, (name, command) in enumerate(COMMANDS.items())
    },
    "tells": fleet_messages.ClientResponse(461, "c1", True, "c2", msgspec.Raw(b"\xa5whole")),
}

SUBMIT_RESULT = operations.SubmitResult("o10", (("e5",), ("e8", "e11")), "refused")
FLEET_STATUS = status.FleetStatus(
    "c1",
    463,
    ("c1", "c2"),
    "halted",
    (
        status.InstanceStatus(
            "e5", "edge proxy", "east", "v14", "v15", "out", 467, "o11", 479, 5, ("v14", "v15")
        ),
    ),
    (
        status.OperationStatus(
            "o11",
            "release",
            "v15",
            487,
            "operator",
            "going",
            1,
            (("e5",), ("e8",)),
            "partly",
            "evidence",
            {"out": 1, "waiting": 2},
            (status.ParticipantStatus("e5", "out", 491, "v14", "slow"),),
        ),
    ),
    499,
    503,
)

# Records of an edge proxy's dialogs


def dialog_record(phase: lifecycle.Phase = lifecycle.Phase.IN_FLIGHT) -> lifecycle.DialogRecord:
    return lifecycle.DialogRecord(
        f"d-{phase.value}",
        "caller-1",
        "booking",
        2,
        509,
        lifecycle.Timestamp(521, 523, "boot-1"),
        541,
        547,
        phase,
        3,
        "s1",
        557,
        lifecycle.Timestamp(563, 569, "boot-2"),
        "declined",
        571,
        True,
    )


LEARNED_STATE = learned_state.LearnedServerState("s2", 577, 587, 1000, 593, 599)

# The set-up protocol and the endpoint list protocol

LOAD = setup.Load(0.75, 6, 7, 8, 9)
ATTEMPT_ID = ("d1", 5)
SETUP_MESSAGE_TYPES = (
    setup.Setup
    | setup.Cancel
    | setup.Release
    | setup.Resume
    | setup.Persisted
    | setup.Provisional
    | setup.Established
    | setup.Ended
    | setup.LineBusy
    | setup.Full
    | setup.NoAgent
    | setup.Fault
    | setup.Cancelled
    | setup.Rejected
    | setup.Failed
    | setup.Unknown
    | setup.LoadReported
)
SETUP: dict[str, Any] = {
    "setup": setup.Setup(
        *ATTEMPT_ID,
        traffic_type="booking",
        time_left=601,
        preferred_server_number=3,
        called_number=607,
        was_interrupted=True,
    ),
    "cancel": setup.Cancel(*ATTEMPT_ID),
    "release": setup.Release(*ATTEMPT_ID),
    "resume": setup.Resume(*ATTEMPT_ID),
    "kept": setup.Persisted(*ATTEMPT_ID),
    "provisional": setup.Provisional(*ATTEMPT_ID),
    "stands": setup.Established(*ATTEMPT_ID, "s3", LOAD),
    "ended": setup.Ended(*ATTEMPT_ID, "released", LOAD),
    "line-busy": setup.LineBusy(*ATTEMPT_ID, LOAD),
    "full": setup.Full(*ATTEMPT_ID, 613, LOAD),
    "no-agent": setup.NoAgent(*ATTEMPT_ID, LOAD),
    "fault": setup.Fault(*ATTEMPT_ID, "crashed", LOAD),
    "cancelled": setup.Cancelled(*ATTEMPT_ID, LOAD),
    "declined": setup.Rejected(*ATTEMPT_ID, 617),
    "aborted": setup.Failed(*ATTEMPT_ID, "caller-gone"),
    "unknown": setup.Unknown(*ATTEMPT_ID),
    "reported": setup.LoadReported(LOAD),
}
GREETING: dict[str, Any] = {
    "hello": greeting.Hello((1, 2), "edge", "e1", 619),
    "welcome": greeting.Welcome(2, "s4", 631, 641, 643),
    "error": greeting.Error("malformed", "not a map"),
    "not-understood": greeting.NotUnderstood("brand-new"),
}
ENDPOINT_ROWS = [
    serverlist.EndpointRow("s5", 1, "in-service", "127.0.0.5:7005", "east", 647, 653),
    serverlist.EndpointRow("s6", 2, "draining", "127.0.0.6:7006", "west", 659, 661),
    serverlist.EndpointRow("s7", 3, "gone", "127.0.0.7:7007", "north", 673, 677),
]
LIST_MESSAGE_TYPES = (
    serverlist.Watch
    | serverlist.Snapshot
    | serverlist.Change
    | serverlist.DrainRequest
    | serverlist.DrainEnded
    | serverlist.DrainReply
)
LIST_MESSAGES: dict[str, Any] = {
    "watch": serverlist.Watch("epoch-1", 683),
    "snapshot": serverlist.Snapshot("epoch-2", 691, ENDPOINT_ROWS),
    "change": serverlist.Change("epoch-3", 701, ENDPOINT_ROWS),
    "leave": serverlist.DrainRequest("s8", 709),
    "returns": serverlist.DrainEnded("s9", 719),
    "left": serverlist.DrainReply("s10", 727, True, "in time"),
}
# Fields with their default values are not sent, so a changed default would be a different value for an
# earlier version. Here each default is written out.
NO_LOAD = setup.Load(None, None, None, None, None)
DEFAULTS: dict[str, Any] = {
    "setup": setup.Setup(
        "d1",
        0,
        traffic_type="booking",
        time_left=601,
        preferred_server_number=-1,
        called_number=0,
        was_interrupted=False,
    ),
    "stands": setup.Established("d1", 0, "", None),
    "ended": setup.Ended("d1", 0, "over", None),
    "full": setup.Full("d1", 0, 0, None),
    "fault": setup.Fault("d1", 0, "", None),
    "declined": setup.Rejected("d1", 0, 0),
    "aborted": setup.Failed("d1", 0, "failed"),
    "reported": setup.LoadReported(NO_LOAD),
    "hello": greeting.Hello((1, 2), "edge", "e1", 0),
    "welcome": greeting.Welcome(2, "s4", 0, 0, 0),
    "watch": serverlist.Watch("", 0),
    "change": serverlist.Change("epoch-3", 701, [serverlist.EndpointRow("s5", 1, "gone", "", "", 0, None)]),
    "left": serverlist.DrainReply("s10", 727, True, ""),
}
ENDPOINT_CACHE = endpoint_cache.CachedEndpoints(733, ENDPOINT_ROWS[:2])

# The platform's protocol

PLATFORM_SETUP = platform_translation.PlatformSetup(
    *ATTEMPT_ID,
    traffic_type="booking",
    time_left=739,
    preferred_server_number=4,
    called_number=743,
    was_interrupted=True,
    key="0123456789abcdef",
    description="v=0",
)
HOST = bus.Host("h1", "Ready", "127.0.0.8:1", "north", 2, 761)
PLATFORM: dict[str, Any] = {
    "asked": PLATFORM_SETUP,
    "answered": platform_translation.EstablishedWithDescription(*ATTEMPT_ID, "s11", LOAD, description="v=1"),
    "stood": platform_translation.EstablishedDialog(PLATFORM_SETUP, "s12"),
    "batch": bus.Batch(
        751,
        [bus.BusEvent(757, bus.Topology([bus.Host("h1", "Ready", "127.0.0.8:1", "north", 2, 761)], True))],
    ),
    "line": lines.Line("answer", "id-1", {"class": "booking", "left": 769}, 16, "v=2"),
    "sent-line": lines._OutgoingLine("setup", "id-2", {"class": "booking"}, 17, "v=3"),
}

# Rows of the traffic record

ROWS: dict[str, Any] = {
    "passed": traffic_record.MessageRow(1, 773, "e1", "s1", True, "setup", "d1", 5, 787, "booking"),
    "told": traffic_record.EndpointUpdateRow(2, 797, "e1", "s1", "draining"),
    "lost": traffic_record.ConnectionLostRow(3, 809, "e1", "s1"),
    "began": traffic_record.ServerStartedRow(4, 811, "s1", 821, 0.25, 823, 1.5, 827),
    "fault": traffic_record.FaultRow(5, 829, 839, "stall", "e1"),
    "placed": traffic_record.PlacementRow(6, 853, "e1", "north"),
    "opened": traffic_record.CallersStartedRow(7, 857),
    "terms": traffic_record.AuditConfigRow(8, 859, 863, 877, {"booking": 881}, {"booking": 0.5}),
    "ran": traffic_record.EdgeProcessRow(9, 883, "e1", "life-1", True),
    "found": traffic_record.MembershipEventRow(10, 887, "e1", "life-1", "gone", "e2", "life-2"),
    "viewed": traffic_record.MembershipViewRow(
        11, 907, "e1", "life-1", "digest-1", "settled", {"e2": "life-2"}
    ),
    "settles": traffic_record.ConvergenceDeadlineRow(12, 911, 919, 929),
    "limited": traffic_record.DisruptionLimitsRow(13, 937, 2, 1),
    "turned": traffic_record.StepRow(14, 941, "e1", 947, 2, True, "done"),
    "runs": traffic_record.ProgramVersionRow(15, 953, "e1", "v16"),
    "ordered": traffic_record.OperationRow(
        16, 967, "o12", "release", "v17", "ended", "done", {"e1": ("done", 971, "v16")}
    ),
}

# Text files


def usage_rows() -> list[dict[str, Any]]:
    """The usage of one traffic type between two regions, in one minute."""
    usage = CrossRegionUsage()
    counts = UsageCounters(8, 2, 1, 3, 4, 5, 6, 7)
    key = UsageKey("booking", "north", "south")
    usage.totals[key] = counts
    usage.minutes[9] = {key: counts}
    return usage.to_rows("e1", 977, 983)


RECORDED_CALLS = [
    recorded_calls.RecordedCall(1_250_000_000, "booking", 2, 3_500_000_000, 4, 991),
    recorded_calls.RecordedCall(2_000_000_000, "info"),
]
MESSAGE_ROW_DEFAULTS = traffic_record.MessageRow(1, 773, "e1", "s1", True, "hello", "", 0, 0, "")
LINE_DEFAULTS = lines.Line("ping", "", {}, None, None)
RUN = Run({"decisions": "first", "callers": "40"}, 3, "[day]\nlength = 1 s\n")
METRICS = {"declined": 0.125, "wasted": 0.5}


# All samples


def _named(prefix: str, values: dict[str, Any], format_: Format, kind: Any = None) -> dict[str, Sample]:
    return {f"{prefix}.{name}": Sample(value, format_, kind) for name, value in values.items()}


def samples() -> dict[str, Sample]:
    """All samples by a key that doesn't change when classes are renamed."""
    msgpack_values: dict[str, Any] = {
        **{f"membership.record-{state.value}": member_record(state) for state in records.MemberState},
        **{f"fleet.row-{state.value}": view_row(state) for state in records.MemberState},
        "fleet.envelope": authentication.Envelope(3, MEMBERSHIP["ping"]),
        "fleet.posted": authentication.FragmentEnvelope(4, FRAGMENT),
        **{f"council.entry-{at}": entry for at, entry in enumerate(stored_entries())},
        "council.snapshot": serialization.to_stored_snapshot(snapshot()),
        "orders.placed": SUBMIT_RESULT,
        "orders.shown": FLEET_STATUS,
        "permits.answer": disruption_permits.PermitDecision("o7/e14", PERMIT, "given"),
        "keeper.memory": SUPERVISOR_STATE,
        "keeper.report": REPORT,
        **{f"ledger.record-{phase.value}": dialog_record(phase) for phase in lifecycle.Phase},
        "ledger.learnt": LEARNED_STATE,
        "ledger.damaged": dialog_store.DamagedEntry("dialogs", "d9", "its checksum does not fit"),
    }
    json_values = {
        "orders.json-placed": SUBMIT_RESULT,
        "orders.json-shown": FLEET_STATUS,
        "list.cache": ENDPOINT_CACHE,
    }
    return (
        {key: Sample(value) for key, value in msgpack_values.items()}
        | _named("membership", MEMBERSHIP, Format.MSGPACK, messages.Message)
        | _named("fleet", VIEW_MESSAGES | {"piece": FRAGMENT}, Format.MSGPACK)
        | _named("sealed", MEMBERSHIP | VIEW_MESSAGES, Format.DATAGRAM, authentication.Envelope)
        | _named("sealed", {"piece": FRAGMENT}, Format.DATAGRAM, authentication.FragmentEnvelope)
        | _named("words", CONTROL_MESSAGES, Format.MSGPACK, fleet_messages.ControlMessage)
        | _named("setup", SETUP, Format.FRAME, SETUP_MESSAGE_TYPES)
        | _named("greeting", GREETING, Format.FRAME, greeting.Greeting)
        | _named("list", LIST_MESSAGES, Format.FRAME, LIST_MESSAGE_TYPES)
        | _named("defaults", DEFAULTS, Format.FRAME)
        | _named("defaults", {"row": MESSAGE_ROW_DEFAULTS, "line": LINE_DEFAULTS}, Format.JSON)
        | _named("platform", PLATFORM, Format.JSON)
        | _named("row", ROWS, Format.JSON, traffic_record.Row)
        | {key: Sample(value, Format.JSON) for key, value in json_values.items()}
    )


def enumerations() -> dict[str, type[Enum]]:
    """The enumerations whose values are written or sent."""
    return {
        "membership.state": records.MemberState,
        "membership.phase": records.Phase,
        "orders.kind": operations.OperationKind,
        "orders.phase": operations.OperationPhase,
        "orders.step": operations.StepStatus,
        "limits.sort": disruption_limits.InstanceKind,
        "ledger.phase": lifecycle.Phase,
    }


# All Struct classes

MODULES = (
    messages,
    records,
    queries,
    fragmentation,
    authentication,
    fleet_messages,
    disruption_limits,
    disruption_permits,
    operations,
    operation_log,
    raft_log,
    raft_messages,
    serialization,
    reports,
    supervisor_state,
    status,
    lifecycle,
    learned_state,
    dialog_store,
    endpoint_cache,
    greeting,
    setup,
    serverlist,
    traffic_record,
    platform_translation,
    bus,
    lines,
)


def structs() -> Iterator[tuple[str, type[msgspec.Struct]]]:
    """Yields name and class of every Struct of the modules whose Structs are written or sent."""
    for module in MODULES:
        for name, kind in vars(module).items():
            is_struct = isinstance(kind, type) and issubclass(kind, msgspec.Struct)
            if is_struct and kind.__module__ == module.__name__:
                yield f"{module.__name__.removeprefix('valverouter.')}.{name}", kind


# FleetMessage and LegMessage are base classes, _MessageTag is only decoded. AppendEntries and InstallSnapshot
# are sent as WireAppendEntries and WireInstallSnapshot.
NEVER_WRITTEN = (
    messages.FleetMessage,
    setup.LegMessage,
    greeting._MessageTag,
    raft_messages.AppendEntries,
    raft_messages.InstallSnapshot,
)

TAGS: dict[type[msgspec.Struct], str] = {
    messages.FleetMessage: "Said",
    messages.Ping: "p",
    messages.Ack: "a",
    messages.PingReq: "k",
    messages.Nack: "n",
    messages.Gossip: "g",
    messages.SyncDigests: "s",
    messages.SyncRecords: "v",
    queries.ViewQuery: "?",
    queries.CountersQuery: "c",
    queries.CountersReply: "C",
    queries.ViewPage: "!",
    fragmentation.Fragment: "Piece",
    fleet_messages.RaftEnvelope: "v",
    fleet_messages.NodeAnnouncement: "h",
    fleet_messages.ReportMessage: "r",
    fleet_messages.DesiredStateMessage: "w",
    fleet_messages.ClientRequest: "q",
    fleet_messages.ClientResponse: "t",
    disruption_permits.RequestPermit: "Ask",
    disruption_permits.InstanceReturned: "Back",
    disruption_permits.InstanceLost: "Away",
    disruption_permits.EnrollInstances: "Enrol",
    disruption_permits.HaltDisruptions: "Halt",
    operations.Submit: "Place",
    operations.StepReported: "Went",
    operations.Advance: "Next",
    operations.Cancel: "Stop",
    operations.InstanceReported: "Runs",
    operations.Retire: "Retire",
    raft_log.Configuration: "Members",
    raft_messages.RequestVote: "Vote",
    raft_messages.RequestVoteResponse: "Voted",
    raft_messages.AppendEntries: "Append",
    raft_messages.AppendEntriesResponse: "Appended",
    raft_messages.InstallSnapshot: "Install",
    serialization.WireAppendEntries: "SentAppend",
    serialization.WireInstallSnapshot: "SentInstall",
    greeting.Hello: "hello",
    greeting.Welcome: "welcome",
    greeting.Error: "error",
    greeting.NotUnderstood: "not-understood",
    setup.Setup: "setup",
    setup.Cancel: "cancel",
    setup.Release: "release",
    setup.Resume: "resume",
    setup.Persisted: "kept",
    setup.Provisional: "provisional",
    setup.Established: "stands",
    setup.Ended: "ended",
    setup.LineBusy: "line-busy",
    setup.Full: "full",
    setup.NoAgent: "no-agent",
    setup.Fault: "fault",
    setup.Cancelled: "cancelled",
    setup.Rejected: "declined",
    setup.Failed: "aborted",
    setup.Unknown: "unknown",
    setup.LoadReported: "reported",
    serverlist.Watch: "watch",
    serverlist.Snapshot: "snapshot",
    serverlist.Change: "change",
    serverlist.DrainRequest: "leave",
    serverlist.DrainEnded: "returns",
    serverlist.DrainReply: "left",
    traffic_record.MessageRow: "passed",
    traffic_record.EndpointUpdateRow: "told",
    traffic_record.ConnectionLostRow: "lost",
    traffic_record.ServerStartedRow: "began",
    traffic_record.FaultRow: "fault",
    traffic_record.PlacementRow: "placed",
    traffic_record.CallersStartedRow: "opened",
    traffic_record.AuditConfigRow: "terms",
    traffic_record.EdgeProcessRow: "ran",
    traffic_record.MembershipEventRow: "found",
    traffic_record.MembershipViewRow: "viewed",
    traffic_record.ConvergenceDeadlineRow: "settles",
    traffic_record.DisruptionLimitsRow: "limited",
    traffic_record.StepRow: "turned",
    traffic_record.ProgramVersionRow: "runs",
    traffic_record.OperationRow: "ordered",
    platform_translation.PlatformSetup: "setup",
    platform_translation.EstablishedWithDescription: "stands",
}


# Stores


def write_dialog_store(folder: Path) -> None:
    with dialog_store.DialogStore(folder) as ledger:
        ledger.begin_epoch(547)
        for phase in lifecycle.Phase:
            ledger.put(dialog_record(phase))
        ledger.put_learned_state(LEARNED_STATE)
        ledger.commit()


def write_raft_store(folder: Path) -> None:
    with closing(RaftStore(folder, 997)) as store:
        first = snapshot().last_included_index + 1
        store.commit(
            [
                raft_log.SaveTerm(1009, "c2"),
                raft_log.SaveSnapshot(snapshot()),
                raft_log.SaveEntries(first, entries()),
            ]
        )


def write_supervisor_store(folder: Path) -> None:
    with closing(SupervisorStore(folder)) as store:
        store.save(SUPERVISOR_STATE)


STORES: dict[str, Callable[[Path], None]] = {
    "ledger": write_dialog_store,
    "council": write_raft_store,
    "keeper": write_supervisor_store,
}


def tables(folder: Path) -> dict[str, dict[str, str]]:
    """Returns the content of a store by table, in hex. The table of a store without named ones is ''."""
    with closing(lmdb.open(str(folder), max_dbs=8, readonly=True, lock=False)) as env, env.begin() as read:
        entries = {bytes(key): bytes(value) for key, value in read.cursor()}
        if b"memory" in entries:
            return {"": {key.hex(): value.hex() for key, value in entries.items()}}
        found = {}
        for name in entries:
            table = env.open_db(name, txn=read, create=False)
            found[name.decode()] = {
                bytes(key).hex(): bytes(value).hex() for key, value in read.cursor(db=table)
            }
        return found


# Text files and text output of commands


def write_usage(file: Path) -> None:
    file.write_bytes(b"".join(msgspec.json.encode(row) + b"\n" for row in usage_rows()))


def write_record(file: Path) -> None:
    traffic_record.write_rows(file, ROWS.values())


def write_calls(file: Path) -> None:
    recorded_calls.write_calls(file, RECORDED_CALLS)


def write_list_cache(file: Path) -> None:
    file.write_bytes(msgspec.json.encode(ENDPOINT_CACHE))


# JSON output of commands, for the operators' programs


def view_answers() -> list[view_comparison.ViewAnswer]:
    """Two answers with complete but different views, and an incomplete one."""
    first = view_comparison.ViewAnswer("127.0.0.1:7101", "e1", 101, 103, "settled", {"replay": 22}, {0: VIEW})
    second = view_comparison.ViewAnswer(
        "127.0.0.2:7102", "e2", 107, 109, "doubting", {"stranger": 21}, {0: VIEW[:1]}
    )
    return [first, second, view_comparison.ViewAnswer("127.0.0.3:7103")]


def print_view(file: Path) -> None:
    with file.open("w") as out, redirect_stdout(out):
        fleet_view_output.print_json(view_answers(), fleet_view._exit_code(view_answers()) == 0)


def print_view_metrics(file: Path) -> None:
    with file.open("w") as out, redirect_stdout(out):
        fleet_view_output.print_metrics(view_answers())


def print_regions(file: Path) -> None:
    with tempfile.TemporaryDirectory() as scratch:
        rows = Path(scratch, "accounts.jsonl")
        write_usage(rows)
        _run(regions.regions, ["report", "--json", "--edges", "2", str(rows)], file)


def print_ledger(file: Path) -> None:
    with tempfile.TemporaryDirectory() as scratch:
        write_dialog_store(Path(scratch, "ledger"))
        _run(ledger.ledger, ["export", str(Path(scratch, "ledger"))], file)


def _run(command: click.Command, arguments: list[str], file: Path) -> None:
    file.write_bytes(CliRunner().invoke(command, arguments, catch_exceptions=False).stdout_bytes)


TEXT_FILES: dict[str, Callable[[Path], None]] = {
    "fleet-view.json": print_view,
    "fleet-view-metrics.txt": print_view_metrics,
    "regions-report.json": print_regions,
    "ledger-export.jsonl": print_ledger,
    "accounts.jsonl": write_usage,
    "record.jsonl": write_record,
    "calls.csv": write_calls,
    "list-cache.json": write_list_cache,
}


def run_row(file: Path) -> list[Any]:
    """Returns an experiment's run as stored in SQLite, except its key and version, which name the source."""
    with closing(runner.RunStore(file)) as store:
        store.save(RUN, METRICS)
        (row,) = store._db.execute("select variant, seed, levels, day, figures from runs").fetchall()
        return list(row)


# Writing all files


def _copy_compacted(folder: Path, to: Path) -> None:
    to.mkdir(parents=True)
    with closing(lmdb.open(str(folder), max_dbs=8, readonly=True, lock=False)) as env:
        env.copy(str(to), compact=True)


def _write_json(file: Path, value: Any) -> None:
    file.write_text(json.dumps(value, indent=1) + "\n")


def write_all(folder: Path) -> None:
    folder.mkdir(parents=True)
    _write_json(folder / "messages.json", {key: sample.encode().hex() for key, sample in samples().items()})
    _write_json(
        folder / "enumerations.json",
        {key: [member.value for member in kind] for key, kind in enumerations().items()},
    )
    for name, write in TEXT_FILES.items():
        write(folder / name)
    with tempfile.TemporaryDirectory() as scratch:
        for name, write in STORES.items():
            write(Path(scratch, name))
            _write_json(folder / f"{name}.json", tables(Path(scratch, name)))
            _copy_compacted(Path(scratch, name), folder / name)
        _write_json(folder / "run.json", run_row(Path(scratch, "runs.sqlite")))


if __name__ == "__main__":
    write_all(Path(sys.argv[1]))
