"""Lease acceptors, lease state machines, fencing and shards, with an exhaustive search of states."""

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
    """Returns lease servers that start at `now_ms` and have all synced with one another."""
    servers = [LeaseAcceptor(f"k{number}", count, MAX_LEASE_MS, now_ms) for number in range(count)]
    for acceptor in servers:
        for peer in servers:
            if acceptor is not peer:
                acceptor.learn_tokens(peer.name, {})
    return servers


@pytest.mark.parametrize(("count", "majority_size", "peers"), [(1, 1, 0), (3, 2, 2), (5, 3, 3), (7, 4, 4)])
def test_majority_and_recovery_quorum(count: int, majority_size: int, peers: int) -> None:
    assert majority(count) == majority_size and recovery_quorum(count) == peers


def test_an_acceptor_grants_a_token_only_once_and_only_one_active_lease() -> None:
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
    assert renewal.remaining_ms < 3010.0, "no lease is longer than the server's limit"
    assert not claim(9000.0, "b", 1).is_granted and claim(9000.0, "b", 2).is_granted
    assert not release(9000.0, "a", 1).is_granted and acceptor.active_grant("w", 9000.0) is not None
    release(9000.0, "b", 2)
    assert acceptor.active_grant("w", 9000.0) is None and claim(9000.0, "b", 1, resource="v").is_granted


def test_a_restarted_acceptor_waits_for_the_longest_lease_and_its_peers_tokens() -> None:
    acceptor = LeaseAcceptor("k0", 3, MAX_LEASE_MS, 10_000.0, {"w": 4})
    acceptor.learn_tokens("k1", {"w": 9})
    assert not acceptor.is_ready(20_000.0), "the other servers may have granted a lease without it"
    acceptor.learn_tokens("k2", {"w": 6})
    assert not acceptor.is_ready(13_000.0) and acceptor.is_ready(13_010.0)
    assert acceptor.highest_token("w") == 9
    assert LeaseAcceptor("k0", 3, MAX_LEASE_MS, 0.0, {}, disk_lost_unix_ms=5e12).highest_token("w") == 5e12


def exchange_messages(
    lease: Lease, servers: list[LeaseAcceptor], now_ms: float, unreachable: set[int] | None = None
) -> None:
    """Sends all requests that are due, and those that follow from the replies, without delay."""
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
def test_at_most_one_client_holds_a_lease_whichever_servers_are_reachable(
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
            if rng.random() < 0.8:  # otherwise the client is paused for a step
                exchange_messages(lease, servers, now_ms, unreachable.get(number))
        held = [lease for lease in leases if lease.is_held(now_ms)]
        assert len(held) <= 1
        for lease in held:
            assert holders.setdefault(lease.fencing_token, lease.holder) == lease.holder
    assert sorted(holders) == list(holders)


def test_a_lease_is_taken_over_after_its_holder_stops_and_can_be_released() -> None:
    servers, rng = acceptors(), random.Random(3)
    leases = [Lease("w", f"c{number}", 3, 1500.0, rng, 4000.0, number) for number in range(4)]
    now_ms, queries = 4000.0, 0
    while now_ms < 14_000.0:
        now_ms += 50.0
        for lease in leases:
            queries += lease.phase is LeasePhase.IDLE and lease._next_action_ms <= now_ms
            exchange_messages(lease, servers, now_ms)
    assert [lease.is_held(now_ms) for lease in leases] == [True, False, False, False]
    assert leases[0].fencing_token == 1
    assert queries < 60, "a waiting client does not poll"
    stopped_ms = now_ms
    while not any(lease.is_held(now_ms) for lease in leases[1:]) and now_ms < stopped_ms + 5000.0:
        now_ms += 50.0
        for lease in leases[1:]:
            exchange_messages(lease, servers, now_ms)
    second = next(lease for lease in leases[1:] if lease.is_held(now_ms))
    assert now_ms - stopped_ms < 1500.0 + 1000.0
    assert second.fencing_token == 2 and second.held_since_ms == now_ms
    release = second.stop()
    assert release is not None and release.is_release and second.next_request(now_ms + 9000.0) is None
    for server in servers:
        server.handle_request(release, now_ms)
    assert all(server.active_grant("w", now_ms) is None for server in servers)
    assert rank_delay_ms(100) > rank_delay_ms(2)


@pytest.mark.parametrize("holder_index", range(4))
def test_a_released_lease_is_taken_over_within_half_a_lease_duration(holder_index: int) -> None:
    """A client that waited until the end of the current lease would take over too late after a release.

    The release comes at random times relative to the clients' earlier requests.
    """
    tick_ms, lease_ms = 50.0, 1500.0
    for seed in range(100):
        servers, rng = acceptors(), random.Random(seed)
        leases = [Lease("w", f"c{number}", 3, lease_ms, rng, 4000.0, number) for number in range(4)]
        now_ms, release_ms = 4000.0, 4000.0 + rng.uniform(3000.0, 6000.0)
        while not leases[holder_index].is_held(now_ms):  # the other clients start later
            now_ms += tick_ms
            exchange_messages(leases[holder_index], servers, now_ms)
        offsets_ms = [rng.uniform(0.0, tick_ms) for _ in leases]
        requested_ms: list[list[float]] = [[] for _ in leases]
        while now_ms < release_ms:
            now_ms += tick_ms
            for number, lease in enumerate(leases):
                at_ms = now_ms + offsets_ms[number]
                if lease.phase is LeasePhase.IDLE and lease._next_action_ms <= at_ms:
                    requested_ms[number].append(at_ms)
                exchange_messages(lease, servers, at_ms)
        assert leases[holder_index].is_held(now_ms + tick_ms)
        for times in requested_ms:
            assert all(after - before >= lease_ms / 3.0 for before, after in itertools.pairwise(times))
        release, release_ms = leases[holder_index].stop(), now_ms + tick_ms
        assert release is not None
        for server in servers:
            server.handle_request(release, release_ms)
        waiting = [lease for lease in leases if lease is not leases[holder_index]]
        while not any(lease.is_held(now_ms + tick_ms) for lease in waiting):
            now_ms += tick_ms
            for number, lease in enumerate(leases):
                exchange_messages(lease, servers, now_ms + offsets_ms[number])
        assert now_ms - release_ms <= lease_ms / 2.0 + tick_ms, seed


def test_a_fencing_guard_rejects_lower_tokens_also_after_a_restart() -> None:
    guard = FencingGuard({"w": 3})
    admitted = [guard.admit_token("w", token) for token in (2, 3, 5, 3, 5, 4)]
    assert admitted == [False, True, True, False, True, False]
    assert guard.rejected_count == 3
    assert guard.is_new_token("w", 6) and not guard.is_new_token("w", 5) and guard.admit_token("v", 1)
    assert not FencingGuard(guard.tokens).admit_token("w", 4)


@pytest.mark.parametrize(("shards", "directors"), [(16, 3), (16, 40), (8, 1)])
def test_each_shard_has_one_preferred_holder_and_shards_are_spread_evenly(
    shards: int, directors: int
) -> None:
    ranks = [shard_ranks(shards, index, directors) for index in range(directors)]
    preferred = [sum(rank == 0 for rank in by_shard.values()) for by_shard in ranks]
    assert sum(preferred) == shards and max(preferred) - min(preferred) <= 1
    assert all(
        sorted(by_shard[shard_resource(shard)] for by_shard in ranks) == list(range(directors))
        for shard in range(shards)
    )


def test_a_new_holder_of_a_shard_continues_after_the_acknowledged_orders() -> None:
    purges = [Purge("f", 1, seq, 100.0 * seq, "all") for seq in range(1, 6)]

    def director(is_held: bool, has_lost_quorum: bool = False) -> tuple[Orders, ShardedOrders]:
        orders = Orders(50.0, 8, 0.0)
        sharded_orders = ShardedOrders(
            orders,
            4,
            lambda resource: is_held,
            lambda: has_lost_quorum,
            lambda: {("f", 1): len(orders._purges)},
        )
        orders.is_responsible_for = sharded_orders.is_responsible_for
        orders.set_servers({"c0": 7.0})
        orders.add(purges[:3])
        return orders, sharded_orders

    first, first_sharded = director(True)
    resource = first_sharded.resource_of("c0")
    assert resource == shard_resource(shard_of("c0", 4)) and first_sharded.export_progress(resource) == ""
    for order in first.next_orders(100.0):
        first.record_acknowledged(order)
    progress = first_sharded.export_progress(resource)
    second, second_sharded = director(True)
    second_sharded.import_progress(resource, progress)
    second.add(purges[3:])
    assert [purge.seq for order in second.next_orders(100.0) for purge in order.purges] == [4, 5]
    idle, idle_sharded = director(False)
    (
        idle_sharded.import_progress(resource, "{"),
        idle_sharded.import_progress(resource, '{"c0":[7.0,"f:1=x"]}'),
    )
    assert (
        idle.next_orders(100.0) == []
        and len(director(False, has_lost_quorum=True)[0].next_orders(100.0)) == 1
    )
    restarted, restarted_sharded = director(True)
    restarted.set_servers({"c0": 8.0})  # the cache server has restarted and may hold purged copies again
    restarted_sharded.import_progress(resource, progress)
    assert len(restarted.next_orders(100.0)[0].purges) == 3


@pytest.mark.parametrize("fault", [fault for fault in InjectedFault if fault is not InjectedFault.NONE])
def test_the_state_search_detects_each_injected_fault(fault: InjectedFault) -> None:
    violation = explore(fault, 4, int(fault is InjectedFault.FORGETS))
    assert isinstance(violation, str), violation


def test_the_state_search_finds_no_violation_without_faults() -> None:
    state_count = explore(InjectedFault.NONE, 3, 0)
    assert isinstance(state_count, int) and state_count > 5_000, state_count
