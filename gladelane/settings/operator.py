"""Every key of an operator's file. `deploy/operator.example.json5` is the same with comments.

The file is JSON5. Unknown keys are refused, and each error is one line: file, key path, what was expected.
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
    """An operator's file that cannot be used; in one line the key's path and what was expected."""

    def __init__(self, path: str, why: str) -> None:
        super().__init__(f"{path}: {why}" if path else why)


class Match(msgspec.Struct, forbid_unknown_fields=True):
    """The servers to which a rule applies: all that is given must hold. id: a glob; network: of
    `hostPort`."""

    id: str = ""
    zone: str = ""
    kind: str = ""
    network: str = ""


class RuleText(msgspec.Struct, forbid_unknown_fields=True):
    """One rule for addresses, as it is written; see `endpoints.rules`."""

    name: str
    match: Match = msgspec.field(default_factory=Match)
    add: list[str] = []
    replace: list[str] = []
    order: list[str] = []
    last: bool = False


class DelayText(msgspec.Struct, forbid_unknown_fields=True):
    """The delay between two dials of one connect, ms."""

    first_ms: float = 250.0
    least_ms: float = 20.0
    most_ms: float = 250.0


class PauseText(msgspec.Struct, forbid_unknown_fields=True):
    """How long an address is avoided, ms."""

    first_ms: float = 500.0
    most_ms: float = 30_000.0
    stall_ms: float = 5_000.0


class EndpointsText(msgspec.Struct, forbid_unknown_fields=True):
    """Addresses of servers; see `endpoints.plan.Options`."""

    rules: list[RuleText] = []
    prefer: list[str] = []
    first_family_count: int = 1
    family_few: int = 3
    delay: DelayText = msgspec.field(default_factory=DelayText)
    pause: PauseText = msgspec.field(default_factory=PauseText)


class LogsText(msgspec.Struct, forbid_unknown_fields=True):
    """Form and least level of the log."""

    format: Literal["plain", "keyvalue", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"


class PurgesText(msgspec.Struct, forbid_unknown_fields=True):
    """Purges and the servers they come from, `feeds`; see `purges.options`."""

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


class RecoveryText(msgspec.Struct, forbid_unknown_fields=True):
    """dir: a lasting folder of this director only; if it is empty no learnt state outlives the process."""

    dir: str = ""
    every_s: float = 5.0
    most_age_s: float = 120.0


class FleetText(msgspec.Struct, forbid_unknown_fields=True):
    """The audit of the fleet: which director acted on which version. dir: a lasting folder of this director
    only."""

    dir: str = ""
    report_ms: float = 500.0
    board: str = "main"
    board_ms: float = 0.0
    alone: Literal["out", "strict"] = "out"
    enforce: bool = True
    trail_mb: float = 4.0


class OwnersText(msgspec.Struct, forbid_unknown_fields=True):
    """Leases of shards: one director at a time sends the orders of a shard to servers."""

    length_ms: float = 3_000.0
    shards: int = 16


class OperatorText(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file as it is written; an absent part is switched off."""

    endpoints: EndpointsText = msgspec.field(default_factory=EndpointsText)
    purges: PurgesText | None = None
    recovery: RecoveryText | None = None
    fleet: FleetText | None = None
    owners: OwnersText | None = None
    logs: LogsText = msgspec.field(default_factory=LogsText)


class Operator(msgspec.Struct, frozen=True):
    """A checked file, as options of the parts that use it."""

    options: Options
    rules: Rules
    logs: LogsText
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
        why = " ".join(str(error.args[0] if error.args else error).split())
        raise OperatorFileError("", f"{_line(data.decode(), why)}{why}; expected JSON5") from None
    try:
        text = msgspec.convert(raw, OperatorText)
    except msgspec.ValidationError as error:
        raise _worded(str(error)) from None
    purges = None if text.purges is None else _purges(text.purges)
    rules = _rules(text.endpoints.rules)
    return Operator(
        _options(text.endpoints), rules, text.logs, purges, _recovery(text), _fleet(text), _owners(text)
    )


def _recovery(text: OperatorText) -> RecoveryOptions | None:
    """Recovery also reports its phases if purges alone are switched on, since they have to be caught up
    with."""
    if text.recovery is None:
        return RecoveryOptions() if text.purges is not None else None
    recovery = text.recovery
    _bounded("recovery.every_s", recovery.every_s, 1, 600)
    _bounded("recovery.most_age_s", recovery.most_age_s, 1, 3600)
    return RecoveryOptions(recovery.dir, recovery.every_s * 1000.0, recovery.most_age_s * 1000.0)


def _fleet(text: OperatorText) -> AuditOptions | None:
    fleet = text.fleet
    if fleet is None:
        return None
    if text.purges is None:
        raise OperatorFileError("fleet", "needs purges.feeds; expected feeds that take reports")
    _bounded("fleet.report_ms", fleet.report_ms, 100, 10_000)
    if fleet.board_ms:  # the discovery server sends a heartbeat every second
        _bounded("fleet.board_ms", fleet.board_ms, 2_000, 600_000)
    _bounded("fleet.trail_mb", fleet.trail_mb, 0.1, 100)
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
        _digest(text),
    )


def _owners(text: OperatorText) -> LeaseOptions | None:
    if text.owners is None:
        return None
    if text.purges is None or not text.purges.order_kinds:
        why = "needs purges.order_kinds; expected kinds of servers that take orders"
        raise OperatorFileError("owners", why)
    if not len(text.purges.feeds) % 2:
        count = len(text.purges.feeds)
        raise OperatorFileError(
            "owners", f"{count} feeds; expected an odd number, of which a majority decides"
        )
    _bounded("owners.length_ms", text.owners.length_ms, 500, 60_000)
    _bounded("owners.shards", text.owners.shards, 1, 256)
    return LeaseOptions(text.owners.length_ms, text.owners.shards)


def _digest(text: OperatorText) -> str:
    """A digest of what the file decides, without places and tokens, which differ between directors."""
    raw = msgspec.to_builtins(text)
    places = {"purges": ("feeds", "token_file", "dir"), "recovery": ("dir",), "fleet": ("dir",)}
    for part, keys in places.items():
        for key in keys:
            (raw.get(part) or {}).pop(key, None)
    return blake2b(msgspec.json.encode(raw, order="sorted"), digest_size=8).hexdigest()


def _line(text: str, message: str) -> str:
    found = re.search(r"near (\d+)", message)
    return f"line {text.count(chr(10), 0, int(found[1])) + 1}: " if found else ""


def _worded(message: str) -> OperatorFileError:
    """An error of msgspec, such as "Expected `int`, got `str` - at `$.a[0].b`", with the known names for an
    unknown one."""
    what, _, at = message.partition(" - at `$")
    path = at.rstrip("`").lstrip(".")
    if unknown := re.fullmatch(r"Object contains unknown field `(.*)`", what):
        known = ", ".join(_type_at(path).cls.__struct_fields__)
        return OperatorFileError(f"{path}.{unknown[1]}".lstrip("."), f"unknown key; expected one of {known}")
    if what.startswith("Invalid enum value"):
        known = ", ".join(_type_at(path).values)
        return OperatorFileError(path, f"{what[19:].strip()}; expected one of {known}")
    return OperatorFileError(path or "the whole file", what[:1].lower() + what[1:].replace("`", ""))


def _type_at(path: str) -> Any:
    kind: Any = msgspec.inspect.type_info(OperatorText)
    for step in re.findall(r"\w+|\[[^]]*\]", path):
        if step.startswith("["):
            kind = kind.item_type
        else:
            kind = next(field.type for field in kind.fields if field.name == step)
        if isinstance(kind, msgspec.inspect.UnionType):  # a part that may be left out
            kind = next(one for one in kind.types if not isinstance(one, msgspec.inspect.NoneType))
    return kind


def _bounded(path: str, value: float, least: float, most: float) -> float:
    if not least <= value <= most:
        raise OperatorFileError(path, f"{value:g}; expected a number from {least:g} to {most:g}")
    return value


def _options(text: EndpointsText) -> Options:
    at, delay, pause = "endpoints", text.delay, text.pause
    _bounded(f"{at}.first_family_count", text.first_family_count, 1, 16)
    _bounded(f"{at}.family_few", text.family_few, 1, 100)
    # RFC 8305 section 5: never under 10 ms
    _bounded(f"{at}.delay.least_ms", delay.least_ms, 10, 2_000)
    _bounded(f"{at}.delay.most_ms", delay.most_ms, delay.least_ms, 2_000)
    _bounded(f"{at}.delay.first_ms", delay.first_ms, delay.least_ms, delay.most_ms)
    _bounded(f"{at}.pause.first_ms", pause.first_ms, 10, 600_000)
    _bounded(f"{at}.pause.most_ms", pause.most_ms, pause.first_ms, 3_600_000)
    _bounded(f"{at}.pause.stall_ms", pause.stall_ms, 10, 3_600_000)
    return Options(
        _order(f"{at}.prefer", text.prefer),
        text.first_family_count,
        delay.first_ms,
        delay.least_ms,
        delay.most_ms,
        pause.first_ms,
        pause.most_ms,
        pause.stall_ms,
        text.family_few,
    )


def _purges(text: PurgesText) -> PurgeOptions:
    servers = []
    for place, server in enumerate(text.feeds):
        try:
            address = parse(server)
        except InvalidAddressError as error:
            raise OperatorFileError(f"purges.feeds[{place}]", str(error)) from None
        if address.family is Family.UNIX:
            raise OperatorFileError(
                f"purges.feeds[{place}]", f"{server!r}; expected an IP address and a port"
            )
        servers.append((address.host, address.port))
    if not servers:
        raise OperatorFileError("purges.feeds", "expected at least one feed")
    _bounded("purges.retention_s", text.retention_s, 60, 31_536_000)
    _bounded("purges.skew_ms", text.skew_ms, 0, 60_000)
    # a purge server sends a heartbeat every second
    _bounded("purges.delay_ms", text.delay_ms, 2_000, 600_000)
    _bounded("purges.cut_off_per_s", text.cut_off_per_s, 0, 1_000_000)
    _bounded("purges.orders_per_s", text.orders_per_s, 1, 1_000_000)
    _bounded("purges.origin_per_s", text.origin_per_s, 0, 1_000_000)
    _bounded("purges.start_wait_ms", text.start_wait_ms, 0, 30_000)
    return PurgeOptions(
        tuple(servers),
        text.token_file,
        text.dir,
        text.retention_s * 1000.0,
        text.skew_ms,
        text.delay_ms,
        frozenset(text.strict),
        text.cut_off_per_s,
        text.start_wait_ms,
        frozenset(text.order_kinds),
        text.orders_per_s,
        text.origin_per_s,
        text.lost,
    )


def _rules(texts: list[RuleText]) -> Rules:
    rules, names = [], set()
    for place, text in enumerate(texts):
        at = f"endpoints.rules[{place}]"
        if not text.name or text.name in names:
            raise OperatorFileError(f"{at}.name", f"{text.name!r}; expected a name that no other rule has")
        names.add(text.name)
        if sum(bool(getattr(text, action)) for action in _ACTIONS) != 1:
            raise OperatorFileError(at, f"expected exactly one of {', '.join(_ACTIONS)}")
        for action in ("add", "replace"):
            for number, template in enumerate(getattr(text, action)):
                try:
                    check_template(template)
                except InvalidAddressError as error:
                    raise OperatorFileError(f"{at}.{action}[{number}]", str(error)) from None
        network = _network(f"{at}.match.network", text.match.network) if text.match.network else None
        rules.append(
            Rule(
                text.name,
                text.match.id,
                text.match.zone,
                text.match.kind,
                network,
                tuple(text.add),
                tuple(text.replace),
                _order(f"{at}.order", text.order),
                text.last,
            )
        )
    return Rules(rules)


def _order(path: str, texts: list[str]) -> tuple[Preference, ...]:
    return tuple(
        _FAMILIES[text] if text in _FAMILIES else _network(f"{path}[{place}]", text, "a family or ")
        for place, text in enumerate(texts)
    )


def _network(path: str, text: str, also: str = "") -> Network:
    try:
        network = netaddr.IPNetwork(text)
    except (netaddr.AddrFormatError, ValueError):
        also = f"unix, ipv4, ipv6 or {also.removeprefix('a family or ')}" if also else ""
        raise OperatorFileError(path, f"{text!r}; expected {also}a network such as 10.1.0.0/16") from None
    return Network(network.cidr.network.packed, network.prefixlen)
