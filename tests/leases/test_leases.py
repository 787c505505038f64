"""Lease acceptors, lease state machines, fencing and shards: tables, properties and the exhaustive search."""

from __future__ import annotations

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.lab.leases import InjectedFault, explore
from gladelane.leases.acceptor import LeaseAcceptor
from gladelane.leases.fencing import FencingGuard
from gladelane.leases.lease import Lease, LeasePhase, rank_delay_ms
from gladelane.leases.messages import LeaseReply, LeaseRequest
from gladelane.leases.quorum import majority, recovery_quorum
from gladelane.leases.shards import ShardedOrders, shard_of, shard_ranks, shard_resource
from gladelane.purges.orders import Orders
from gladelane.purges.purge import Purge

MAX_LEASE_MS = 3000.0


def acceptors(count: int = 3, now_ms: float = 0.0) -> list[LeaseAcceptor]:
    """Lease servers that have all heard one another, and start at a time."""
    made = [LeaseAcceptor(f"k{number}", count, MAX_LEASE_MS, now_ms) for number in range(count)]
    for acceptor in made:
        for peer in made:
            if acceptor is not peer:
                acceptor.learn_tokens(peer.name, {})
    return made


@pytest.mark.parametrize(("count", "most", "peers"), [(1, 1, 0), (3, 2, 2), (5, 3, 3), (7, 4, 4)])
def test_how_many_servers_grant_and_how_many_peers_a_restart_hears(count: int, most: int, peers: int) -> None:
    assert majority(count) == most and recovery_quorum(count) == peers


def test_an_acceptor_grants_a_token_once_and_no_other_lease_while_one_is_active() -> None:
    acceptor = acceptors()[0]

    def claim(
        now_ms: float, holder: str, token: int, duration_ms: float = 2000.0, resource: str = "w"
    ) -> LeaseReply:
        return acceptor.handle_request(LeaseRequest(resource, holder, token, duration_ms), now_ms).reply

    def release(now_ms: float, holder: str, token: int) -> LeaseReply:
        request = LeaseRequest("w", holder, token, is_release=True)
        return acceptor.handle_request(request, now_ms).reply

    assert not claim(2000.0, "a", 1).is_ready
    decision = acceptor.handle_request(LeaseRequest("w", "a", 1, 2000.0), 4000.0)
    assert decision.reply.is_granted and decision.is_new_token and decision.reply.remaining_ms > 2000.0
    replies = [claim(4500.0, holder, token) for holder, token in (("b", 1), ("b", 2), ("a", 2))]
    assert [(reply.is_granted, reply.highest_token, reply.holder) for reply in replies] == [
        (False, 1, "a")
    ] * 3
    renewal = claim(5000.0, "a", 1, duration_ms=9000.0)
    assert renewal.remaining_ms < 3010.0, "never for longer than the longest lease"
    assert not claim(9000.0, "b", 1).is_granted and claim(9000.0, "b", 2).is_granted
    assert not release(9000.0, "a", 1).is_granted and acceptor.active_grant("w", 9000.0) is not None
    release(9000.0, "b", 2)
    assert acceptor.active_grant("w", 9000.0) is None and claim(9000.0, "b", 1, resource="v").is_granted


def test_a_restarted_acceptor_waits_for_the_longest_lease_and_learns_from_its_peers() -> None:
    acceptor = LeaseAcceptor("k0", 3, MAX_LEASE_MS, 10_000.0, {"w": 4})
    acceptor.learn_tokens("k1", {"w": 9})
    assert not acceptor.is_ready(20_000.0), "the other majority may have gone on without it"
    acceptor.learn_tokens("k2", {"w": 6})
    assert not acceptor.is_ready(13_000.0) and acceptor.is_ready(13_010.0)
    assert acceptor.highest_token("w") == 9
    assert LeaseAcceptor("k0", 3, MAX_LEASE_MS, 0.0, {}, disk_lost_unix_ms=5e12).highest_token("w") == 5e12


def drive(
    lease: Lease, servers: list[LeaseAcceptor], now_ms: float, unreachable: set[int] | None = None
) -> None:
    """Plays all requests that are due, and those that follow from the replies, without delay."""
    request = lease.next_request(now_ms)
    while request is not None:
        next_request = None
        for number, server in enumerate(servers):
            if number not in (unreachable or ()):
                reply = server.handle_request(request, now_ms).reply
                next_request = lease.handle_reply(request, reply, now_ms) or next_request
        request = next_request


@given(
    st.integers(0, 2**32),
    st.integers(2, 5),
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2)), max_size=60),
)
def test_two_clients_never_hold_a_lease_at_once_whoever_reaches_whom(
    seed: int, clients: int, events: list[tuple[int, int]]
) -> None:
    rng = random.Random(seed)
    servers, now_ms = acceptors(), 4000.0
    leases = [Lease("w", f"c{number}", 3, 1500.0, rng, now_ms, number) for number in range(clients)]
    holders: dict[int, str] = {}
    unreachable: dict[int, set[int]] = {}
    for client, server in events:
        now_ms += rng.uniform(10.0, 700.0)
        unreachable.setdefault(client, set()).symmetric_difference_update({server})
        for number, lease in enumerate(leases):
            if rng.random() < 0.8:  # else it is paused for a while
                drive(lease, servers, now_ms, unreachable.get(number))
        held = [lease for lease in leases if lease.is_held(now_ms)]
        assert len(held) <= 1
        for lease in held:
            assert holders.setdefault(lease.fencing_token, lease.holder) == lease.holder
    assert sorted(holders) == list(holders)


def test_a_holder_that_stops_is_followed_within_its_lease_and_one_that_releases_at_once() -> None:
    servers, rng = acceptors(), random.Random(3)
    leases = [Lease("w", f"c{number}", 3, 1500.0, rng, 4000.0, number) for number in range(4)]
    now_ms, queries = 4000.0, 0
    while now_ms < 14_000.0:
        now_ms += 50.0
        for lease in leases:
            queries += lease.phase is LeasePhase.IDLE and lease._next_action_ms <= now_ms
            drive(lease, servers, now_ms)
    assert [lease.is_held(now_ms) for lease in leases] == [True, False, False, False]
    assert leases[0].fencing_token == 1
    assert queries < 60, "a client that waits does not poll"
    stopped_ms = now_ms
    while not any(lease.is_held(now_ms) for lease in leases[1:]) and now_ms < stopped_ms + 5000.0:
        now_ms += 50.0
        for lease in leases[1:]:
            drive(lease, servers, now_ms)
    second = next(lease for lease in leases[1:] if lease.is_held(now_ms))
    assert now_ms - stopped_ms < 1500.0 + 1000.0
    assert second.fencing_token == 2 and second.held_since_ms == now_ms
    release = second.stop()
    assert release is not None and release.is_release and second.next_request(now_ms + 9000.0) is None
    for server in servers:
        server.handle_request(release, now_ms)
    assert all(server.active_grant("w", now_ms) is None for server in servers)
    assert rank_delay_ms(100) > rank_delay_ms(2)


@pytest.mark.parametrize("leaver", range(4))
def test_a_released_lease_is_taken_over_within_half_a_lease_whenever_the_release_comes(leaver: int) -> None:
    """The waiting clients had looked at any time before: none of them sleeps until the lease would have ended."""
    tick_ms, lease_ms = 50.0, 1500.0
    for seed in range(100):
        servers, rng = acceptors(), random.Random(seed)
        leases = [Lease("w", f"c{number}", 3, lease_ms, rng, 4000.0, number) for number in range(4)]
        now_ms, release_ms = 4000.0, 4000.0 + rng.uniform(3000.0, 6000.0)
        while not leases[leaver].is_held(now_ms):  # the others start later
            now_ms += tick_ms
            drive(leases[leaver], servers, now_ms)
        offsets_ms = [rng.uniform(0.0, tick_ms) for _ in leases]
        asked_ms: list[list[float]] = [[] for _ in leases]
        while now_ms < release_ms:
            now_ms += tick_ms
            for number, lease in enumerate(leases):
                at_ms = now_ms + offsets_ms[number]
                if lease.phase is LeasePhase.IDLE and lease._next_action_ms <= at_ms:
                    asked_ms[number].append(at_ms)
                drive(lease, servers, at_ms)
        assert leases[leaver].is_held(now_ms + tick_ms)
        for times in asked_ms:
            assert all(after - before >= lease_ms / 3.0 for before, after in itertools.pairwise(times))
        release, release_ms = leases[leaver].stop(), now_ms + tick_ms
        assert release is not None
        for server in servers:
            server.handle_request(release, release_ms)
        waiting = [lease for lease in leases if lease is not leases[leaver]]
        while not any(lease.is_held(now_ms + tick_ms) for lease in waiting):
            now_ms += tick_ms
            for number, lease in enumerate(leases):
                drive(lease, servers, now_ms + offsets_ms[number])
        assert now_ms - release_ms <= lease_ms / 2.0 + tick_ms, seed


def test_a_fencing_guard_rejects_lower_tokens_also_of_the_same_holder_and_after_a_restart() -> None:
    guard = FencingGuard({"w": 3})
    admitted = [guard.admit_token("w", token) for token in (2, 3, 5, 3, 5, 4)]
    assert admitted == [False, True, True, False, True, False]
    assert guard.rejected_count == 3
    assert guard.is_new_token("w", 6) and not guard.is_new_token("w", 5) and guard.admit_token("v", 1)
    assert not FencingGuard(guard.tokens).admit_token("w", 4)


@pytest.mark.parametrize(("shards", "directors"), [(16, 3), (16, 40), (8, 1)])
def test_shards_are_spread_over_directors_and_each_has_one_preferred_holder(
    shards: int, directors: int
) -> None:
    ranks = [shard_ranks(shards, index, directors) for index in range(directors)]
    preferred = [sum(rank == 0 for rank in one.values()) for one in ranks]
    assert sum(preferred) == shards and max(preferred) - min(preferred) <= 1
    assert all(
        sorted(one[shard_resource(shard)] for one in ranks) == list(range(directors))
        for shard in range(shards)
    )


def test_a_new_holder_continues_where_the_last_one_was_acknowledged() -> None:
    made = [Purge("f", 1, seq, 100.0 * seq, "all") for seq in range(1, 6)]

    def sharded(is_held: bool, has_lost_quorum: bool = False) -> tuple[Orders, ShardedOrders]:
        orders = Orders(50.0, 8, 0.0)
        one = ShardedOrders(
            orders,
            4,
            lambda resource: is_held,
            lambda: has_lost_quorum,
            lambda: {("f", 1): len(orders._purges)},
        )
        orders.is_responsible_for = one.is_responsible_for
        orders.set_servers({"c0": 7.0})
        orders.add(made[:3])
        return orders, one

    first, of_first = sharded(True)
    resource = of_first.resource_of("c0")
    assert resource == shard_resource(shard_of("c0", 4)) and of_first.export_progress(resource) == ""
    for order in first.next_orders(100.0):
        first.record_acknowledged(order)
    progress = of_first.export_progress(resource)
    second, of_second = sharded(True)
    of_second.import_progress(resource, progress)
    second.add(made[3:])
    assert [purge.seq for order in second.next_orders(100.0) for purge in order.purges] == [4, 5]
    idle, of_idle = sharded(False)
    of_idle.import_progress(resource, "{"), of_idle.import_progress(resource, '{"c0":[7.0,"f:1=x"]}')
    assert idle.next_orders(100.0) == [] and len(sharded(False, has_lost_quorum=True)[0].next_orders(100.0)) == 1
    renewed, of_renewed = sharded(True)
    renewed.set_servers({"c0": 8.0})  # its process is another: it may have lost what that one dropped
    of_renewed.import_progress(resource, progress)
    assert len(renewed.next_orders(100.0)[0].purges) == 3


@pytest.mark.parametrize("fault", [one for one in InjectedFault if one is not InjectedFault.NONE])
def test_the_search_finds_each_injected_fault(fault: InjectedFault) -> None:
    found = explore(fault, 4, int(fault is InjectedFault.FORGETS))
    assert isinstance(found, str), found


def test_the_search_finds_no_fault_in_the_product() -> None:
    states = explore(InjectedFault.NONE, 3, 0)
    assert isinstance(states, int) and states > 5_000, states
