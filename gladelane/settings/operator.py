"""Defines the keys of the operator's file, reads it and checks its values.

The file is JSON5; `deploy/operator.example.json5` has all keys with comments. Unknown keys are rejected. Each
error is a single line with the key's path and what was expected.
"""

from __future__ import annotations

import re
from hashlib import blake2b
from typing import Any, Literal

import msgspec
import netaddr
import pyjson5

from ..audit.options import AuditOptions
from ..endpoints.address import Family, InvalidAddressError, parse
from ..endpoints.plan import Options
from ..endpoints.rules import Network, Preference, Rule, Rules, check_template
from ..leases.options import LeaseOptions
from ..purges.options import Options as PurgeOptions
from ..recovery.options import Options as RecoveryOptions

MAX_FILE_BYTES = 4_000_000
_FAMILIES = {family.value: family for family in Family}
_ACTIONS = ("add", "replace", "order")


class OperatorFileError(Exception):
    """An operator's file that cannot be used. The message is a single line."""

    def __init__(self, path: str, reason: str) -> None:
        """`path` is that of the key, empty for the file as a whole."""
        super().__init__(f"{path}: {reason}" if path else reason)


class Match(msgspec.Struct, forbid_unknown_fields=True):
    """The servers to which a rule applies: they must match all fields that are not empty.

    `id` is a glob. `network` must contain the address of the server's `hostPort`."""

    id: str = ""
    zone: str = ""
    kind: str = ""
    network: str = ""


class RuleEntry(msgspec.Struct, forbid_unknown_fields=True):
    """One rule for addresses, as it stands in the file; see `endpoints.rules`."""

    name: str
    match: Match = msgspec.field(default_factory=Match)
    add: list[str] = []
    replace: list[str] = []
    order: list[str] = []
    last: bool = False


class DelaySection(msgspec.Struct, forbid_unknown_fields=True):
    """The delay between the starts of two parallel connection attempts to one server."""

    first_ms: float = 250.0
    least_ms: float = 20.0
    most_ms: float = 250.0


class PauseSection(msgspec.Struct, forbid_unknown_fields=True):
    """How long an address is avoided after a failure."""

    first_ms: float = 500.0
    most_ms: float = 30_000.0
    stall_ms: float = 5_000.0


class EndpointsSection(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses of servers; see `endpoints.plan.Options`."""

    rules: list[RuleEntry] = []
    prefer: list[str] = []
    first_family_count: int = 1
    family_few: int = 3
    delay: DelaySection = msgspec.field(default_factory=DelaySection)
    pause: PauseSection = msgspec.field(default_factory=PauseSection)


class LogsSection(msgspec.Struct, forbid_unknown_fields=True):
    """The format and minimum level of the log."""

    format: Literal["plain", "keyvalue", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"


class PurgesSection(msgspec.Struct, forbid_unknown_fields=True):
    """Purges; `feeds` are the addresses of the purge log servers. See `purges.options`."""

    feeds: list[str]
    token_file: str
    dir: str = ""
    retention_s: float = 604_800.0
    skew_ms: float = 0.0
    delay_ms: float = 3_000.0
    strict: list[str] = []
    cut_off_per_s: float = 20.0
    start_wait_ms: float = 5_000.0
    order_kinds: list[str] = []
    orders_per_s: float = 50.0
    origin_per_s: float = 0.0
    lost: Literal["void", "serve"] = "void"


class RecoverySection(msgspec.Struct, forbid_unknown_fields=True):
    """Storage of learned state. `dir` is a durable folder of this director only; if it is empty, learned
    state does not survive the process. See `recovery.options`."""

    dir: str = ""
    every_s: float = 5.0
    most_age_s: float = 120.0


class FleetSection(msgspec.Struct, forbid_unknown_fields=True):
    """The audit of the fleet, which shows which director used which versions. `dir` is a durable folder of
    this director only. See `audit.options`."""

    dir: str = ""
    report_ms: float = 500.0
    board: str = "main"
    board_ms: float = 0.0
    alone: Literal["out", "strict"] = "out"
    enforce: bool = True
    trail_mb: float = 4.0


class OwnersSection(msgspec.Struct, forbid_unknown_fields=True):
    """Leases of shards: only the director that has the lease sends the purge orders of a shard to servers."""

    length_ms: float = 3_000.0
    shards: int = 16


class OperatorFile(msgspec.Struct, forbid_unknown_fields=True):
    """The content of the file. A feature whose section is absent is switched off."""

    endpoints: EndpointsSection = msgspec.field(default_factory=EndpointsSection)
    purges: PurgesSection | None = None
    recovery: RecoverySection | None = None
    fleet: FleetSection | None = None
    owners: OwnersSection | None = None
    logs: LogsSection = msgspec.field(default_factory=LogsSection)


class Operator(msgspec.Struct, frozen=True):
    """The checked content of an operator's file, as options of the packages that use it.

    `options` and `rules` are for `endpoints`, `fleet` for `audit`, `owners` for `leases`."""

    options: Options
    rules: Rules
    logs: LogsSection
    purges: PurgeOptions | None = None
    recovery: RecoveryOptions | None = None
    fleet: AuditOptions | None = None
    owners: LeaseOptions | None = None


def read_operator(data: bytes) -> Operator:
    """Reads and checks a file. Raises OperatorFileError."""
    if len(data) > MAX_FILE_BYTES:
        raise OperatorFileError("", f"{len(data)} bytes; expected {MAX_FILE_BYTES} at most")
    try:
        raw = pyjson5.decode(data.decode("utf-8"))
    except UnicodeDecodeError as error:
        raise OperatorFileError("", f"byte {error.start} is not UTF-8; expected JSON5 in UTF-8") from None
    except pyjson5.Json5DecoderException as error:
        message = " ".join(str(error.args[0] if error.args else error).split())
        raise OperatorFileError(
            "", f"{_line_prefix(data.decode(), message)}{message}; expected JSON5"
        ) from None
    try:
        file = msgspec.convert(raw, OperatorFile)
    except msgspec.ValidationError as error:
        raise _translate_error(str(error)) from None
    purges = None if file.purges is None else _purge_options(file.purges)
    rules = _address_rules(file.endpoints.rules)
    return Operator(
        _endpoint_options(file.endpoints),
        rules,
        file.logs,
        purges,
        _recovery_options(file),
        _audit_options(file),
        _lease_options(file),
    )


def _recovery_options(file: OperatorFile) -> RecoveryOptions | None:
    """Recovery is also active with a `purges` section alone: a director reports the phases of its recovery
    because it has to catch up with purges."""
    if file.recovery is None:
        return RecoveryOptions() if file.purges is not None else None
    recovery = file.recovery
    _check_range("recovery.every_s", recovery.every_s, 1, 600)
    _check_range("recovery.most_age_s", recovery.most_age_s, 1, 3600)
    return RecoveryOptions(recovery.dir, recovery.every_s * 1000.0, recovery.most_age_s * 1000.0)


def _audit_options(file: OperatorFile) -> AuditOptions | None:
    fleet = file.fleet
    if fleet is None:
        return None
    if file.purges is None:
        raise OperatorFileError("fleet", "needs purges.feeds; expected feeds that take reports")
    _check_range("fleet.report_ms", fleet.report_ms, 100, 10_000)
    if fleet.board_ms:  # the discovery server sends a heartbeat every second
        _check_range("fleet.board_ms", fleet.board_ms, 2_000, 600_000)
    _check_range("fleet.trail_mb", fleet.trail_mb, 0.1, 100)
    if not fleet.board or len(fleet.board) > 64:
        raise OperatorFileError(
            "fleet.board", f"{fleet.board[:64]!r}; expected a name of up to 64 characters"
        )
    return AuditOptions(
        fleet.dir,
        fleet.report_ms,
        fleet.board,
        fleet.board_ms,
        fleet.alone,
        fleet.enforce,
        int(fleet.trail_mb * 1e6),
        _digest(file),
    )


def _lease_options(file: OperatorFile) -> LeaseOptions | None:
    if file.owners is None:
        return None
    if file.purges is None or not file.purges.order_kinds:
        reason = "needs purges.order_kinds; expected kinds of servers that take orders"
        raise OperatorFileError("owners", reason)
    if not len(file.purges.feeds) % 2:
        count = len(file.purges.feeds)
        raise OperatorFileError(
            "owners", f"{count} feeds; expected an odd number, of which a majority decides"
        )
    _check_range("owners.length_ms", file.owners.length_ms, 500, 60_000)
    _check_range("owners.shards", file.owners.shards, 1, 256)
    return LeaseOptions(file.owners.length_ms, file.owners.shards)


def _digest(file: OperatorFile) -> str:
    """A digest of the file, without the feeds, the token file and the folders, which differ between
    directors."""
    raw = msgspec.to_builtins(file)
    ignored_keys = {"purges": ("feeds", "token_file", "dir"), "recovery": ("dir",), "fleet": ("dir",)}
    for section, keys in ignored_keys.items():
        for key in keys:
            (raw.get(section) or {}).pop(key, None)
    return blake2b(msgspec.json.encode(raw, order="sorted"), digest_size=8).hexdigest()


def _line_prefix(text: str, message: str) -> str:
    """The line number of a JSON5 error, from the character offset in the decoder's message."""
    offset = re.search(r"near (\d+)", message)
    return f"line {text.count(chr(10), 0, int(offset[1])) + 1}: " if offset else ""


def _translate_error(message: str) -> OperatorFileError:
    """Translates an error message of msgspec, such as "Expected `int`, got `str` - at `$.a[0].b`". For an
    unknown key or value it adds the known ones."""
    problem, _, location = message.partition(" - at `$")
    path = location.rstrip("`").lstrip(".")
    if unknown := re.fullmatch(r"Object contains unknown field `(.*)`", problem):
        known = ", ".join(_type_at(path).cls.__struct_fields__)
        return OperatorFileError(f"{path}.{unknown[1]}".lstrip("."), f"unknown key; expected one of {known}")
    if problem.startswith("Invalid enum value"):
        known = ", ".join(_type_at(path).values)
        return OperatorFileError(path, f"{problem[19:].strip()}; expected one of {known}")
    return OperatorFileError(path or "the whole file", problem[:1].lower() + problem[1:].replace("`", ""))


def _type_at(path: str) -> Any:
    """The msgspec type of the value at a path in the file."""
    value_type: Any = msgspec.inspect.type_info(OperatorFile)
    for step in re.findall(r"\w+|\[[^]]*\]", path):
        if step.startswith("["):
            value_type = value_type.item_type
        else:
            value_type = next(field.type for field in value_type.fields if field.name == step)
        if isinstance(value_type, msgspec.inspect.UnionType):  # an optional section
            value_type = next(
                member for member in value_type.types if not isinstance(member, msgspec.inspect.NoneType)
            )
    return value_type


def _check_range(path: str, value: float, min_value: float, max_value: float) -> float:
    if not min_value <= value <= max_value:
        raise OperatorFileError(path, f"{value:g}; expected a number from {min_value:g} to {max_value:g}")
    return value


def _endpoint_options(endpoints: EndpointsSection) -> Options:
    section, delay, pause = "endpoints", endpoints.delay, endpoints.pause
    _check_range(f"{section}.first_family_count", endpoints.first_family_count, 1, 16)
    _check_range(f"{section}.family_few", endpoints.family_few, 1, 100)
    # RFC 8305 section 5: the delay must not be below 10 ms
    _check_range(f"{section}.delay.least_ms", delay.least_ms, 10, 2_000)
    _check_range(f"{section}.delay.most_ms", delay.most_ms, delay.least_ms, 2_000)
    _check_range(f"{section}.delay.first_ms", delay.first_ms, delay.least_ms, delay.most_ms)
    _check_range(f"{section}.pause.first_ms", pause.first_ms, 10, 600_000)
    _check_range(f"{section}.pause.most_ms", pause.most_ms, pause.first_ms, 3_600_000)
    _check_range(f"{section}.pause.stall_ms", pause.stall_ms, 10, 3_600_000)
    return Options(
        _preferences(f"{section}.prefer", endpoints.prefer),
        endpoints.first_family_count,
        delay.first_ms,
        delay.least_ms,
        delay.most_ms,
        pause.first_ms,
        pause.most_ms,
        pause.stall_ms,
        endpoints.family_few,
    )


def _purge_options(purges: PurgesSection) -> PurgeOptions:
    servers = []
    for index, server in enumerate(purges.feeds):
        try:
            address = parse(server)
        except InvalidAddressError as error:
            raise OperatorFileError(f"purges.feeds[{index}]", str(error)) from None
        if address.family is Family.UNIX:
            raise OperatorFileError(
                f"purges.feeds[{index}]", f"{server!r}; expected an IP address and a port"
            )
        servers.append((address.host, address.port))
    if not servers:
        raise OperatorFileError("purges.feeds", "expected at least one feed")
    _check_range("purges.retention_s", purges.retention_s, 60, 31_536_000)
    _check_range("purges.skew_ms", purges.skew_ms, 0, 60_000)
    # a purge server sends a heartbeat every second
    _check_range("purges.delay_ms", purges.delay_ms, 2_000, 600_000)
    _check_range("purges.cut_off_per_s", purges.cut_off_per_s, 0, 1_000_000)
    _check_range("purges.orders_per_s", purges.orders_per_s, 1, 1_000_000)
    _check_range("purges.origin_per_s", purges.origin_per_s, 0, 1_000_000)
    _check_range("purges.start_wait_ms", purges.start_wait_ms, 0, 30_000)
    return PurgeOptions(
        tuple(servers),
        purges.token_file,
        purges.dir,
        purges.retention_s * 1000.0,
        purges.skew_ms,
        purges.delay_ms,
        frozenset(purges.strict),
        purges.cut_off_per_s,
        purges.start_wait_ms,
        frozenset(purges.order_kinds),
        purges.orders_per_s,
        purges.origin_per_s,
        purges.lost,
    )


def _address_rules(entries: list[RuleEntry]) -> Rules:
    rules, names = [], set()
    for index, entry in enumerate(entries):
        path = f"endpoints.rules[{index}]"
        if not entry.name or entry.name in names:
            raise OperatorFileError(f"{path}.name", f"{entry.name!r}; expected a name that no other rule has")
        names.add(entry.name)
        if sum(bool(getattr(entry, action)) for action in _ACTIONS) != 1:
            raise OperatorFileError(path, f"expected exactly one of {', '.join(_ACTIONS)}")
        for action in ("add", "replace"):
            for template_index, template in enumerate(getattr(entry, action)):
                try:
                    check_template(template)
                except InvalidAddressError as error:
                    raise OperatorFileError(f"{path}.{action}[{template_index}]", str(error)) from None
        network = _network(f"{path}.match.network", entry.match.network) if entry.match.network else None
        rules.append(
            Rule(
                entry.name,
                entry.match.id,
                entry.match.zone,
                entry.match.kind,
                network,
                tuple(entry.add),
                tuple(entry.replace),
                _preferences(f"{path}.order", entry.order),
                entry.last,
            )
        )
    return Rules(rules)


def _preferences(path: str, texts: list[str]) -> tuple[Preference, ...]:
    return tuple(
        _FAMILIES[text] if text in _FAMILIES else _network(f"{path}[{index}]", text, "a family or ")
        for index, text in enumerate(texts)
    )


def _network(path: str, text: str, alternative: str = "") -> Network:
    """Parses a network. `alternative` is the other kind of value that the key accepts, for error messages."""
    try:
        network = netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        alternative = f"unix, ipv4, ipv6 or {alternative.removeprefix('a family or ')}" if alternative else ""
        raise OperatorFileError(
            path, f"{text!r}; expected {alternative}a network such as 10.1.0.0/16"
        ) from None
    return Network(network.cidr.network.packed, network.prefixlen)
