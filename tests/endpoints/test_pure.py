"""What is decided about addresses, without a socket: texts, rules, owners, order, health, plans."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.endpoints.address import Address, Family, InvalidAddressError, parse
from gladelane.endpoints.address_selection import interleave, sort_addresses
from gladelane.endpoints.health import DialEnd, Health, Pauses
from gladelane.endpoints.plan import Endpoints, Options
from gladelane.endpoints.registry import AddressRegistry
from gladelane.endpoints.rules import MAX_ADDRESSES, Listing, Network, Rule, Rules

V4, V6, UNIX = parse("10.1.0.9:4100"), parse("[2001:db8::9]:4100"), parse("unix:/run/c.sock")


@pytest.mark.parametrize("text,canonical,family", [
    ("10.1.0.9:4100", "10.1.0.9:4100", Family.V4), ("[FD00:0:0::9]:80", "[fd00::9]:80", Family.V6),
    ("[fe80::1%lo]:80", "[fe80::1%lo]:80", Family.V6), ("[::ffff:10.0.0.1]:80", "10.0.0.1:80", Family.V4),
    ("unix:/run/a.sock", "unix:/run/a.sock", Family.UNIX), ("unix:@abc", "unix:@abc", Family.UNIX),
])  # fmt: skip
def test_addresses_have_one_canonical_text(text: str, canonical: str, family: Family) -> None:
    address = parse(text)
    assert (address.text, address.family) == (canonical, family)
    assert parse(canonical) == address and hash(parse(canonical)) == hash(address)


@pytest.mark.parametrize("text", [
    "", "host:80", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:+8", "10.0.0.1:\u0663", "10.0.0:80", "::1:80",
    "[::1]", "[::1%]:80", "[::1%a b]:80", "[::g]:80", "unix:", "unix:@", "unix:run/a", "unix:/a/../b", "unix:/" + "x" * 107,
    "unix:/a\0b", "10.0.0.1\0:80",
])  # fmt: skip
def test_what_is_no_address_says_what_was_expected(text: str) -> None:
    with pytest.raises(InvalidAddressError, match="expected IPv4:port"):
        parse(text)


@given(st.text(max_size=30))
def test_any_text_is_an_address_or_a_clear_error(text: str) -> None:
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
def test_rules_match_and_make_addresses(rule: Rule, expected: list[str]) -> None:
    registry = AddressRegistry(Rules([rule]))
    change = registry.update([listing()])
    assert texts(registry, "c-7") == expected and not change.errors


def test_rules_apply_in_turn_up_to_the_last_and_lists_are_bounded() -> None:
    many = Rule("many", add=tuple(f"10.9.0.{n}:1" for n in range(1, 30)), last=True)
    registry = AddressRegistry(
        Rules([Rule("first", add=("unix:@a",)), many, Rule("never", replace=("unix:@b",))])
    )
    change = registry.update([listing()])
    assert len(registry.addresses("c-7")) == MAX_ADDRESSES and texts(registry, "c-7")[1] == "unix:@a"
    assert [line for _, line in change.errors] == ["31 addresses; expected 16 at most, the rest is left out"]


def test_a_name_from_the_board_leads_out_of_no_folder_and_an_empty_replacement_changes_nothing() -> None:
    for id_ in ("../etc/x", "a/b"):
        registry = AddressRegistry(Rules([Rule("r", replace=("unix:/run/{id}.sock",))]))
        change = registry.update([listing(id_)])
        assert texts(registry, id_) == ["10.1.2.3:4100"] and "holds / or .." in change.errors[0][1]


CLAIMS = [
    ("in service before draining", {"ready": False, "started_ms": 9.0}, {"started_ms": 1.0}, "b"),
    ("its own before one told beside", {"host_port": "10.0.0.1:1", "addresses": ("10.1.2.3:4100",), "started_ms": 9.0}, {}, "b"),
    ("the later start", {"started_ms": 9.0}, {"started_ms": 1.0}, "a"),
    ("the later claim", {}, {}, "b"),
]  # fmt: skip


@pytest.mark.parametrize("name,first,second,owner", CLAIMS, ids=[claim[0] for claim in CLAIMS])
def test_two_that_claim_one_address_are_settled(
    name: str, first: dict[str, Any], second: dict[str, Any], owner: str
) -> None:
    registry = AddressRegistry()
    registry.update([listing("a", **first)])
    change = registry.update([listing("b", **second)])
    address = parse("10.1.2.3:4100")
    assert registry.owner(address) == owner and change.conflicts[0].owner == owner
    assert (("a", address) in change.lost) is (owner == "b")
    registry.update([listing("a", **first)])  # told again: a claim that goes on is not a later one
    assert registry.owner(address) == owner
    registry.update([], gone=[owner])
    assert registry.owner(address) == ("a" if owner == "b" else "b")  # the other gets it back


def told_servers() -> Any:
    return st.lists(st.tuples(
        st.sampled_from("abc"), st.integers(1, 3), st.lists(st.integers(1, 3), max_size=2), st.booleans(),
        st.sampled_from([0.0, 1.0]), st.sampled_from(["tell", "gone", "all", "rules"]),
    ), max_size=14)  # fmt: skip


@given(told_servers())
def test_every_claimed_address_has_one_owner_that_claims_it_and_changes_say_what_was_lost(
    moves: list[Any],
) -> None:
    registry, usable = AddressRegistry(), dict[str, set[Address]]()
    for server, own, more, ready, started, kind in moves:
        one = listing(
            server,
            f"10.0.0.{own}:1",
            addresses=tuple(f"10.0.0.{n}:1" for n in more),
            ready=ready,
            started_ms=started,
        )
        if kind == "rules":
            change = registry.replace_rules(Rules([Rule("r", add=(f"10.0.0.{own}:1",))] if ready else ()))
        elif kind == "gone":
            change = registry.update([], gone=[server])
        else:
            change = registry.update([one], complete=kind == "all")
        now = {s: set(registry.addresses(s)) for s in "abc"}
        for s in "abc":
            assert len(registry.addresses(s)) == len(now[s])
            assert {a for name, a in change.lost if name == s} == usable.get(s, set()) - now[s]
        owned = [a for s in "abc" for a in now[s]]
        assert (
            len(owned) == len(set(owned)) == len(registry._claims)
        )  # each claimed address is usable somewhere
        assert all(registry.owner(a) == s for s in "abc" for a in now[s])
        usable = now


def test_order_follows_the_policy_table_preference_and_what_was_learnt() -> None:
    listed = [
        parse(t)
        for t in ("10.0.0.1:1", "[fd00::1]:1", "[2001:db8::1]:1", "unix:@a", "[2002:102::1]:1", "127.0.0.1:1")
    ]
    words = [a.text for a in sorted(listed, key=lambda a: sort_addresses(listed).index(a))]
    assert words[0] == "unix:@a" and words[1] == "[2001:db8::1]:1" and words[2] == "127.0.0.1:1"
    assert words[-1] == "[fd00::1]:1"  # RFC 6724: unique local addresses come after IPv4 unless preferred
    ula = Network(parse("[fd00::]:1").packed, 8)
    assert sort_addresses(listed, (ula, Family.V4))[0].text == "[fd00::1]:1"
    near, far = parse("10.0.0.1:1"), parse("10.0.0.2:1")
    times = {near: 300.0, far: 3.0}
    assert sort_addresses([near, far], connect_ms=times.get) == [far, near]
    assert sort_addresses([near, far], connect_ms={near: 3.9, far: 2.0}.get) == [
        near,
        far,
    ]  # within one step: listed order


@given(st.permutations([parse(f"10.0.0.{n}:1") for n in range(1, 5)] + [parse(f"[2001:db8::{n}]:1") for n in range(1, 5)] + [UNIX]),
       st.integers(1, 4))  # fmt: skip
def test_families_take_turns_and_nothing_is_lost(addresses: list[Address], first: int) -> None:
    made = interleave(addresses, first)
    assert sorted(a.text for a in made) == sorted(a.text for a in addresses)
    for family in Family:
        assert [a for a in made if a.family is family] == [a for a in addresses if a.family is family]
    lead = sum(1 for a in addresses if a.family is made[0].family)
    rest = made[min(first, lead) :]
    while {a.family for a in rest} == set(
        Family
    ):  # while all have some left, no family comes twice in a round
        assert len({a.family for a in rest[:3]}) == 3
        rest = rest[3:]


def health(**pauses: float) -> tuple[Health, list[tuple[Any, ...]]]:
    lines: list[tuple[Any, ...]] = []
    return Health(Pauses(**pauses), random.Random(5), lambda *line: lines.append(line)), lines  # type: ignore[arg-type]


def test_pauses_double_are_spread_age_and_are_bounded() -> None:
    known, _ = health(first_ms=100.0, most_ms=1600.0)
    now, spans = 0.0, []
    for _ in range(8):
        known.failed("a", V4, DialEnd.REFUSED, now)
        span = known.of("a", V4).until_ms - now  # type: ignore[union-attr]
        spans.append(span)
        now += span
    for place, span in enumerate(spans):
        usual = min(100.0 * 2**place, 1600.0)
        assert usual * 0.7 <= span <= usual * 1.25
    assert len(set(spans)) == 8
    known.failed("a", V4, DialEnd.REFUSED, now + 600_000.0)  # aged: as good as the first
    assert known.of("a", V4).until_ms - now - 600_000.0 <= 130.0  # type: ignore[union-attr]


def longest_pause(most_ms: float) -> float:
    """Of an address that stays down and is tried whenever its pause ends."""
    known, _ = health(first_ms=500.0, most_ms=most_ms)
    now = longest = 0.0
    for _ in range(60):
        known.failed("a", V4, DialEnd.REFUSED, now)
        until = known.of("a", V4).until_ms  # type: ignore[union-attr]
        longest, now = max(longest, until - now), until
    return longest


def test_failures_are_remembered_for_as_long_as_the_file_lets_a_pause_be() -> None:
    usual, long = longest_pause(30_000.0), longest_pause(240_000.0)
    assert 5_000.0 < usual <= 30_000.0 * 1.25 and 2.0 * usual < long <= 240_000.0 * 1.25


def test_one_trial_at_a_time_brings_an_address_back() -> None:
    endpoints = Endpoints(random.Random(1), Options(pause_first_ms=100.0))
    endpoints.update([listing("a", "10.1.0.9:4100", addresses=(V6.text,))])
    endpoints.health.connected("b", V6, 1.0)  # the family is good
    endpoints.health.connected("b", V4, 1.0)
    endpoints.health.failed("a", V6, DialEnd.REFUSED, 0.0)
    assert endpoints.plan("a", 50.0) == ((V4, V6), 20.0, None)
    assert endpoints.plan("a", 200.0).address_to_check == V6
    endpoints.health.check_started("a", V6)
    assert endpoints.plan("a", 201.0).address_to_check is None
    endpoints.health.failed("a", V6, DialEnd.REFUSED, 210.0)
    assert (
        endpoints.plan("a", 250.0).address_to_check is None
        and endpoints.plan("a", 900.0).address_to_check == V6
    )
    endpoints.health.check_started("a", V6)
    endpoints.health.connected("a", V6, 1.0)
    assert endpoints.plan("a", 901.0) == ((V6, V4), 20.0, None)


def test_a_family_is_given_up_from_few_servers_and_comes_back_by_one() -> None:
    known, lines = health(family_few=3, first_ms=100.0)
    for n in range(3):
        assert known.may_family_lead(Family.V6, f"s{n}", 0.0)
        known.first_dial_started(f"s{n}", V6, 0.0)
    assert not known.may_family_lead(Family.V6, "s3", 0.0)  # unproven: few at once
    for n in range(3):
        known.failed(f"s{n}", V6, DialEnd.OVERTAKEN, 20.0)
        known.family_failed(f"s{n}", Family.V6, 20.0)
    assert known.families[Family.V6].is_broken() and not known.may_family_lead(Family.V6, "s0", 20.0)
    assert not known.is_check_due("s9", V6, 21.0) and known.is_check_due("s9", V6, 200.0)
    known.check_started("s9", V6)
    assert not known.is_check_due("s8", V6, 200.0)
    known.failed("s9", V6, DialEnd.TIMED_OUT, 300.0)
    assert not known.is_check_due("s8", V6, 400.0) and known.is_check_due("s8", V6, 800.0)
    known.check_started("s8", V6)
    known.connected("s8", V6, 2.0)
    assert known.may_family_lead(Family.V6, "s3", 800.0) and known.families[Family.V6].proven
    assert [line[0].split()[:2] for line in lines if line[0].startswith("family")] == [
        ["family", "down"],
        ["family", "back"],
    ]


def test_a_proven_family_stops_leading_once_few_wait_for_it_in_vain_and_a_server_down_blames_no_family() -> (
    None
):
    known, _ = health(family_few=3)
    known.connected("a", V6, 1.0)
    for n in range(9):
        known.first_dial_started(f"s{n}", V6, 100.0)
    assert known.may_family_lead(Family.V6, "x", 101.0) and not known.may_family_lead(Family.V6, "x", 200.0)
    for n in range(9):
        known.failed(f"s{n}", V6, DialEnd.TIMED_OUT, 400.0)  # and no other family came up there either
    assert known.may_family_lead(Family.V6, "x", 400.0)


def test_what_was_learnt_ends_with_the_process_it_was_learnt_of() -> None:
    endpoints = Endpoints(random.Random(1))
    told = listing("a", "10.1.0.9:4100", addresses=(UNIX.text,))
    endpoints.update([told])
    assert endpoints.stalled("a", UNIX, 0.0) and endpoints.plan("a", 1.0).addresses == (V4, UNIX)
    endpoints.update([told])
    assert endpoints.plan("a", 2.0).addresses == (V4, UNIX)
    endpoints.update([listing("a", "10.1.0.9:4100", addresses=(UNIX.text,), started_ms=3.0)])
    assert endpoints.plan("a", 3.0).addresses == (UNIX, V4)
    assert not endpoints.stalled("b", UNIX, 4.0) and not endpoints.health.is_avoided("b", UNIX)  # not its own


@given(st.lists(st.tuples(st.sampled_from([V4, V6, UNIX]), st.sampled_from(["ok", "fail", "stall", "late"]), st.integers(1, 4000)),
                max_size=30))  # fmt: skip
def test_plans_hold_every_address_once_and_a_remembered_one_equals_a_fresh_one(events: list[Any]) -> None:
    endpoints = Endpoints(random.Random(2))
    endpoints.update([listing("a", V4.text, addresses=(V6.text, UNIX.text))])
    now = 0.0
    for address, what, wait in events:
        now += wait
        if what == "ok":
            endpoints.health.connected("a", address, wait / 10.0)
        elif what == "stall":
            endpoints.stalled("a", address, now)
        else:
            end = DialEnd.REFUSED if what == "fail" else DialEnd.OVERTAKEN
            endpoints.health.failed("a", address, end, now)
            if end is DialEnd.OVERTAKEN:
                endpoints.health.family_failed("a", address.family, now)
        cached = endpoints.plan("a", now)
        assert sorted(a.text for a in cached.addresses) == sorted(a.text for a in (V4, V6, UNIX))
        endpoints._plans.clear()
        assert endpoints.plan("a", now) == cached
