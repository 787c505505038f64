"""Decisions about addresses, without sockets: parsing, rules, owners, order, health and dial plans."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.endpoints.address import Address, Family, InvalidAddressError, parse
from gladelane.endpoints.address_selection import interleave, sort_addresses
from gladelane.endpoints.health import Cooldowns, DialFailure, Health
from gladelane.endpoints.plan import Endpoints, Options
from gladelane.endpoints.registry import AddressRegistry
from gladelane.endpoints.rules import MAX_ADDRESSES, Listing, Network, Rule, Rules

V4, V6, UNIX = parse("10.1.0.9:4100"), parse("[2001:db8::9]:4100"), parse("unix:/run/c.sock")


@pytest.mark.parametrize("text,canonical,family", [
    ("10.1.0.9:4100", "10.1.0.9:4100", Family.V4), ("[FD00:0:0::9]:80", "[fd00::9]:80", Family.V6),
    ("[fe80::1%lo]:80", "[fe80::1%lo]:80", Family.V6), ("[::ffff:10.0.0.1]:80", "10.0.0.1:80", Family.V4),
    ("unix:/run/a.sock", "unix:/run/a.sock", Family.UNIX), ("unix:@abc", "unix:@abc", Family.UNIX),
])  # fmt: skip
def test_addresses_are_parsed_to_one_canonical_text(text: str, canonical: str, family: Family) -> None:
    address = parse(text)
    assert (address.text, address.family) == (canonical, family)
    assert parse(canonical) == address and hash(parse(canonical)) == hash(address)


@pytest.mark.parametrize("text", [
    "", "host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:+8", "10.0.0.1:\u0663", "10.0.0:80", "::1:80",
    "[::1]", "[::1%]:80", "[::1%a b]:80", "[::g]:80", "unix:", "unix:@", "unix:run/a", "unix:/a/../b", "unix:/" + "x" * 107,
    "unix:/a\0b", "10.0.0.1\0:80",
])  # fmt: skip
def test_error_for_an_invalid_address_names_the_accepted_forms(text: str) -> None:
    with pytest.raises(InvalidAddressError, match="expected IPv4:port"):
        parse(text)


@given(st.text(max_size=30))
def test_any_text_gives_an_address_or_an_error_of_one_line(text: str) -> None:
    try:
        assert parse(parse(text).text) == parse(text)
    except InvalidAddressError as error:
        assert "\n" not in str(error)


def listing(server: str = "c-7", host_port: str = "10.1.2.3:4100", **more: Any) -> Listing:
    return Listing(server, host_port, **{"zone": "east", "kind": "std", "site": 2, **more})


def texts(registry: AddressRegistry, server: str) -> list[str]:
    return [address.text for address in registry.addresses(server)]


RULES = [
    (Rule("a", glob="c-*", add=("unix:/run/{id}.sock",)), ["10.1.2.3:4100", "unix:/run/c-7.sock"]),
    (Rule("a", glob="d-*", add=("unix:/x",)), ["10.1.2.3:4100"]),
    (Rule("a", zone="east", replace=("[fd00:{cell}::{octet4}]:{port}",)), ["[fd00:2::3]:4100"]),
    (Rule("a", zone="west", replace=("unix:/x",)), ["10.1.2.3:4100"]),
    (Rule("a", network=Network(parse("10.1.0.0:1").packed, 16), add=("{host}:81",)), ["10.1.2.3:4100", "10.1.2.3:81"]),
    (Rule("a", network=Network(parse("10.2.0.0:1").packed, 16), add=("{host}:81",)), ["10.1.2.3:4100"]),
    (Rule("a", kind="std", add=("10.1.2.3:4100", "unix:@{kind}")), ["10.1.2.3:4100", "unix:@std"]),
]  # fmt: skip


@pytest.mark.parametrize("rule,expected", RULES)
def test_rules_match_servers_and_give_addresses(rule: Rule, expected: list[str]) -> None:
    registry = AddressRegistry(Rules([rule]))
    change = registry.update([listing()])
    assert texts(registry, "c-7") == expected and not change.errors


def test_rules_apply_in_order_up_to_a_last_rule_and_address_count_is_limited() -> None:
    many = Rule("many", add=tuple(f"10.9.0.{n}:1" for n in range(1, 30)), last=True)
    registry = AddressRegistry(
        Rules([Rule("first", add=("unix:@a",)), many, Rule("never", replace=("unix:@b",))])
    )
    change = registry.update([listing()])
    assert len(registry.addresses("c-7")) == MAX_ADDRESSES and texts(registry, "c-7")[1] == "unix:@a"
    assert [message for _, message in change.errors] == [
        "31 addresses; expected 16 at most, the rest is left out"
    ]


def test_server_id_cannot_select_another_folder_and_an_empty_replacement_changes_nothing() -> None:
    """A template with the server's id makes the path of a socket, so an id with slashes would leave the
    folder. The rule then gives no address, and the server keeps its listed one."""
    for id_ in ("../etc/x", "a/b"):
        registry = AddressRegistry(Rules([Rule("r", replace=("unix:/run/{id}.sock",))]))
        change = registry.update([listing(id_)])
        assert texts(registry, id_) == ["10.1.2.3:4100"] and "holds / or .." in change.errors[0][1]


CLAIMS = [
    ("in service before draining", {"ready": False, "started_ms": 9.0}, {"started_ms": 1.0}, "b"),
    ("its own address before a further listed one", {"host_port": "10.0.0.1:1", "addresses": ("10.1.2.3:4100",), "started_ms": 9.0}, {}, "b"),
    ("the later start", {"started_ms": 9.0}, {"started_ms": 1.0}, "a"),
    ("the later claim", {}, {}, "b"),
]  # fmt: skip


@pytest.mark.parametrize("name,first,second,owner", CLAIMS, ids=[claim[0] for claim in CLAIMS])
def test_one_of_two_servers_that_claim_an_address_owns_it(
    name: str, first: dict[str, Any], second: dict[str, Any], owner: str
) -> None:
    """Two servers that use one address would get each other's requests. The other server gets the address
    back when its owner leaves the list."""
    registry = AddressRegistry()
    registry.update([listing("a", **first)])
    change = registry.update([listing("b", **second)])
    address = parse("10.1.2.3:4100")
    assert registry.owner(address) == owner and change.conflicts[0].owner == owner
    assert (("a", address) in change.lost) is (owner == "b")
    registry.update([listing("a", **first)])  # a repeated listing continues the claim, and makes no later one
    assert registry.owner(address) == owner
    registry.update([], gone=[owner])
    assert registry.owner(address) == ("a" if owner == "b" else "b")  # the other gets it back


def registry_changes() -> Any:
    return st.lists(st.tuples(
        st.sampled_from("abc"), st.integers(1, 3), st.lists(st.integers(1, 3), max_size=2), st.booleans(),
        st.sampled_from([0.0, 1.0]), st.sampled_from(["list", "gone", "all", "rules"]),
    ), max_size=14)  # fmt: skip


@given(registry_changes())
def test_every_claimed_address_has_one_owner_and_changes_report_lost_addresses(
    changes: list[Any],
) -> None:
    registry, usable = AddressRegistry(), dict[str, set[Address]]()
    for server, own, further, ready, started, kind in changes:
        changed = listing(
            server,
            f"10.0.0.{own}:1",
            addresses=tuple(f"10.0.0.{n}:1" for n in further),
            ready=ready,
            started_ms=started,
        )
        if kind == "rules":
            change = registry.replace_rules(Rules([Rule("r", add=(f"10.0.0.{own}:1",))] if ready else ()))
        elif kind == "gone":
            change = registry.update([], gone=[server])
        else:
            change = registry.update([changed], complete=kind == "all")
        usable_now = {s: set(registry.addresses(s)) for s in "abc"}
        for s in "abc":
            assert len(registry.addresses(s)) == len(usable_now[s])
            assert {a for name, a in change.lost if name == s} == usable.get(s, set()) - usable_now[s]
        owned = [a for s in "abc" for a in usable_now[s]]
        # each claimed address is usable for exactly one server
        assert len(owned) == len(set(owned)) == len(registry._claims)
        assert all(registry.owner(a) == s for s in "abc" for a in usable_now[s])
        usable = usable_now


def test_order_follows_preference_policy_table_and_observed_connect_times() -> None:
    listed = [
        parse(t)
        for t in ("10.0.0.1:1", "[fd00::1]:1", "[2001:db8::1]:1", "unix:@a", "[2002:102::1]:1", "127.0.0.1:1")
    ]
    ordered = [a.text for a in sorted(listed, key=lambda a: sort_addresses(listed).index(a))]
    assert ordered[0] == "unix:@a" and ordered[1] == "[2001:db8::1]:1" and ordered[2] == "127.0.0.1:1"
    assert ordered[-1] == "[fd00::1]:1"  # RFC 6724: unique local addresses come after IPv4 unless preferred
    ula = Network(parse("[fd00::]:1").packed, 8)
    assert sort_addresses(listed, (ula, Family.V4))[0].text == "[fd00::1]:1"
    near, far = parse("10.0.0.1:1"), parse("10.0.0.2:1")
    times = {near: 300.0, far: 3.0}
    assert sort_addresses([near, far], connect_ms=times.get) == [far, near]
    # times within one step keep the listed order
    assert sort_addresses([near, far], connect_ms={near: 3.9, far: 2.0}.get) == [near, far]


@given(st.permutations([parse(f"10.0.0.{n}:1") for n in range(1, 5)] + [parse(f"[2001:db8::{n}]:1") for n in range(1, 5)] + [UNIX]),
       st.integers(1, 4))  # fmt: skip
def test_interleaving_alternates_families_and_keeps_all_addresses(
    addresses: list[Address], first_count: int
) -> None:
    interleaved = interleave(addresses, first_count)
    assert sorted(a.text for a in interleaved) == sorted(a.text for a in addresses)
    for family in Family:
        assert [a for a in interleaved if a.family is family] == [a for a in addresses if a.family is family]
    first_family_count = sum(1 for a in addresses if a.family is interleaved[0].family)
    remaining = interleaved[min(first_count, first_family_count) :]
    while {a.family for a in remaining} == set(Family):  # as long as all have addresses left, they alternate
        assert len({a.family for a in remaining[:3]}) == 3
        remaining = remaining[3:]


def make_health(**cooldowns: float) -> tuple[Health, list[tuple[Any, ...]]]:
    log_calls: list[tuple[Any, ...]] = []
    return Health(Cooldowns(**cooldowns), random.Random(5), lambda *call: log_calls.append(call)), log_calls  # type: ignore[arg-type]


def test_cooldowns_double_with_jitter_up_to_a_maximum_and_failures_decay() -> None:
    health, _ = make_health(first_ms=100.0, max_ms=1600.0)
    now, cooldowns = 0.0, []
    for _ in range(8):
        health.record_failure("a", V4, DialFailure.REFUSED, now)
        cooldown = health.get("a", V4).avoided_until_ms - now  # type: ignore[union-attr]
        cooldowns.append(cooldown)
        now += cooldown
    for failures_before, cooldown in enumerate(cooldowns):
        without_jitter = min(100.0 * 2**failures_before, 1600.0)
        assert without_jitter * 0.7 <= cooldown <= without_jitter * 1.25
    assert len(set(cooldowns)) == 8
    health.record_failure("a", V4, DialFailure.REFUSED, now + 600_000.0)  # the earlier failures have decayed
    assert health.get("a", V4).avoided_until_ms - now - 600_000.0 <= 130.0  # type: ignore[union-attr]


def measure_longest_cooldown(max_ms: float) -> float:
    """The longest cooldown of an address that stays down and is dialled whenever its cooldown ends."""
    health, _ = make_health(first_ms=500.0, max_ms=max_ms)
    now = longest = 0.0
    for _ in range(60):
        health.record_failure("a", V4, DialFailure.REFUSED, now)
        until = health.get("a", V4).avoided_until_ms  # type: ignore[union-attr]
        longest, now = max(longest, until - now), until
    return longest


def test_cooldowns_grow_to_any_maximum_of_the_operator_file() -> None:
    """If failures decayed faster than checks can fail, a long maximum would never be reached."""
    default, long = measure_longest_cooldown(30_000.0), measure_longest_cooldown(240_000.0)
    assert 5_000.0 < default <= 30_000.0 * 1.25 and 2.0 * default < long <= 240_000.0 * 1.25


def test_address_recovers_by_one_health_check_at_a_time() -> None:
    """An avoided address comes first again only after a successful check, and no second check starts while
    one is in progress."""
    endpoints = Endpoints(random.Random(1), Options(pause_first_ms=100.0))
    endpoints.update([listing("a", "10.1.0.9:4100", addresses=(V6.text,))])
    endpoints.health.record_connect("b", V6, 1.0)  # the family is proven
    endpoints.health.record_connect("b", V4, 1.0)
    endpoints.health.record_failure("a", V6, DialFailure.REFUSED, 0.0)
    assert endpoints.plan("a", 50.0) == ((V4, V6), 20.0, None)
    assert endpoints.plan("a", 200.0).address_to_check == V6
    endpoints.health.record_check_start("a", V6)
    assert endpoints.plan("a", 201.0).address_to_check is None
    endpoints.health.record_failure("a", V6, DialFailure.REFUSED, 210.0)
    assert (
        endpoints.plan("a", 250.0).address_to_check is None
        and endpoints.plan("a", 900.0).address_to_check == V6
    )
    endpoints.health.record_check_start("a", V6)
    endpoints.health.record_connect("a", V6, 1.0)
    assert endpoints.plan("a", 901.0) == ((V6, V4), 20.0, None)


def test_family_that_fails_at_few_servers_is_broken_and_recovers_by_one_check() -> None:
    """A broken family must not delay connects at every server, and its checks must not run at all servers at
    once."""
    health, log_calls = make_health(family_server_limit=3, first_ms=100.0)
    for n in range(3):
        assert health.may_dial_family_first(Family.V6, f"s{n}", 0.0)
        health.record_first_dial(f"s{n}", V6, 0.0)
    assert not health.may_dial_family_first(
        Family.V6, "s3", 0.0
    )  # an unproven family is limited to that many servers at once
    for n in range(3):
        health.record_failure(f"s{n}", V6, DialFailure.OVERTAKEN, 20.0)
        health.record_family_failure(f"s{n}", Family.V6, 20.0)
    assert health.families[Family.V6].is_broken() and not health.may_dial_family_first(Family.V6, "s0", 20.0)
    assert not health.is_check_due("s9", V6, 21.0) and health.is_check_due("s9", V6, 200.0)
    health.record_check_start("s9", V6)
    assert not health.is_check_due("s8", V6, 200.0)
    health.record_failure("s9", V6, DialFailure.TIMED_OUT, 300.0)
    assert not health.is_check_due("s8", V6, 400.0) and health.is_check_due("s8", V6, 800.0)
    health.record_check_start("s8", V6)
    health.record_connect("s8", V6, 2.0)
    assert health.may_dial_family_first(Family.V6, "s3", 800.0) and health.families[Family.V6].is_proven
    assert [call[0].split()[:2] for call in log_calls if call[0].startswith("family")] == [
        ["family", "down"],
        ["family", "recovered"],
    ]


def test_overdue_first_dials_stop_a_proven_family_but_failed_servers_do_not() -> None:
    """A proven family is no longer dialled first once a few dials by it are overdue. Servers that connect by
    no family at all are down, and say nothing about the family."""
    health, _ = make_health(family_server_limit=3)
    health.record_connect("a", V6, 1.0)
    for n in range(9):
        health.record_first_dial(f"s{n}", V6, 100.0)
    assert health.may_dial_family_first(Family.V6, "x", 101.0) and not health.may_dial_family_first(
        Family.V6, "x", 200.0
    )
    for n in range(9):
        health.record_failure(
            f"s{n}", V6, DialFailure.TIMED_OUT, 400.0
        )  # no other family connected there either
    assert health.may_dial_family_first(Family.V6, "x", 400.0)


def test_health_is_forgotten_when_the_server_restarts() -> None:
    """A stall of an old process must not count against the new one. A repeated listing of the same process
    changes nothing."""
    endpoints = Endpoints(random.Random(1))
    listed = listing("a", "10.1.0.9:4100", addresses=(UNIX.text,))
    endpoints.update([listed])
    assert endpoints.record_stall("a", UNIX, 0.0) and endpoints.plan("a", 1.0).addresses == (V4, UNIX)
    endpoints.update([listed])
    assert endpoints.plan("a", 2.0).addresses == (V4, UNIX)
    endpoints.update([listing("a", "10.1.0.9:4100", addresses=(UNIX.text,), started_ms=3.0)])
    assert endpoints.plan("a", 3.0).addresses == (UNIX, V4)
    assert not endpoints.record_stall("b", UNIX, 4.0) and not endpoints.health.is_avoided(
        "b", UNIX
    )  # it does not own this address


@given(st.lists(st.tuples(st.sampled_from([V4, V6, UNIX]), st.sampled_from(["ok", "fail", "stall", "late"]), st.integers(1, 4000)),
                max_size=30))  # fmt: skip
def test_plans_contain_every_address_once_and_cached_plans_equal_new_ones(events: list[Any]) -> None:
    endpoints = Endpoints(random.Random(2))
    endpoints.update([listing("a", V4.text, addresses=(V6.text, UNIX.text))])
    now = 0.0
    for address, outcome, wait in events:
        now += wait
        if outcome == "ok":
            endpoints.health.record_connect("a", address, wait / 10.0)
        elif outcome == "stall":
            endpoints.record_stall("a", address, now)
        else:
            failure = DialFailure.REFUSED if outcome == "fail" else DialFailure.OVERTAKEN
            endpoints.health.record_failure("a", address, failure, now)
            if failure is DialFailure.OVERTAKEN:
                endpoints.health.record_family_failure("a", address.family, now)
        cached = endpoints.plan("a", now)
        assert sorted(a.text for a in cached.addresses) == sorted(a.text for a in (V4, V6, UNIX))
        endpoints._plans.clear()
        assert endpoints.plan("a", now) == cached
