"""Explores all interleavings of lease servers, lease clients and a fencing guard with `lab.modelcheck`.

The model has three lease servers, two clients and one executor of operations, and runs the decisions of the
product itself (`leases/`). Clients may pause at any point, for any time. Replies arrive at once, late or
never. Servers restart with their disk or without it. An operation that was begun arrives at any later time.

Invariants: no two clients hold the lease at the same time by their own clocks, no fencing token is held by
two clients, and the executor carries out no operation of a lower token after one of a higher token. An
`InjectedFault` breaks one of them, and the search has to find it.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto

import msgspec

from ..leases.acceptor import LeaseAcceptor
from ..leases.fencing import FencingGuard
from ..leases.lease import Lease, LeasePhase
from ..leases.messages import LeaseReply, LeaseRequest
from .modelcheck import InvariantViolationError, search

TICK_MS = 1_000.0  # one step of the model's clock
LEASE_MS = TICK_MS
SERVER_COUNT = 3
CLIENT_COUNT = 2
START_TICK = 2  # late enough for all servers to be ready
CLOCK_SET_BACK_TICKS = 2
MAX_ATTEMPTS = 1  # of each client to acquire the lease
MAX_LOST_ROUNDS = 1  # requests that some servers do not receive
RESOURCE = "w"


class InjectedFault(Enum):
    """A fault in the protocol that the search has to find. Benchmarks report the names of the members."""

    NONE = auto()
    NO_FENCE = auto()  # the executor does not check fencing tokens
    FROM_ANSWER = auto()  # a client counts its lease from the reply, not from the request
    WALL = auto()  # a client counts its lease on a clock that is set back
    FORGETS = auto()  # a server grants at once after a restart
    BY_CANDIDATE = auto()  # a client counts tokens by itself, and servers accept any
    ANSWERS = auto()  # a client counts replies, not servers, for its majority


class _ShortestDelays(random.Random):
    """Returns the shortest of every random delay, since the search delays events itself."""

    def uniform(self, a: float, b: float) -> float:
        return min(a, b, 0.0)


class _ModelAcceptor(LeaseAcceptor):
    """A lease server's decisions, with a fault."""

    fault = InjectedFault.NONE

    def highest_token(self, resource: str) -> int:
        return 0 if self.fault is InjectedFault.BY_CANDIDATE else super().highest_token(resource)

    def is_ready(self, now_ms: float) -> bool:
        return self.fault is InjectedFault.FORGETS or super().is_ready(now_ms)

    def copy(self) -> _ModelAcceptor:
        made = copy.copy(self)
        made.tokens, made.synced_peers = dict(self.tokens), set(self.synced_peers)
        made._grants = dict(self._grants)
        return made

    def key(self) -> object:
        return (
            tuple(self.tokens.items()),
            tuple(self._grants.items()),
            self._ready_from_ms,
            tuple(sorted(self.synced_peers)),
        )


class _ModelLease(Lease):
    """A client's state machine, with a fault."""

    fault = InjectedFault.NONE

    def handle_reply(self, request: LeaseRequest, reply: LeaseReply, now_ms: float) -> LeaseRequest | None:
        if self.fault is InjectedFault.ANSWERS and reply.is_granted:
            reply = LeaseReply(f"{reply.server} {len(self._granted_by)}", True, reply.highest_token)
        if self.fault is InjectedFault.FROM_ANSWER:
            self._sent_ms = now_ms
        return super().handle_reply(request, reply, now_ms)

    def copy(self) -> _ModelLease:
        made = copy.copy(self)
        made._answered_by, made._granted_by = set(self._answered_by), set(self._granted_by)
        made._refused_by = set(self._refused_by)
        return made

    def key(self) -> object:
        return (
            self.phase,
            self.fencing_token,
            self.expires_ms,
            self._next_action_ms,
            self._sent_ms,
            self._highest_token,
            tuple(sorted(self._answered_by)),
            tuple(sorted(self._granted_by)),
            tuple(sorted(self._refused_by)),
        )


class LateReply(msgspec.Struct, frozen=True, order=False):
    """A reply on its way to a client, and the request that it answers."""

    client: int
    request: LeaseRequest
    reply: LeaseReply


class _Round(msgspec.Struct, frozen=True):
    """Which servers treat a request differently from the others, and whether they answer late or never."""

    servers: frozenset[int] = frozenset()
    is_late: bool = False


@dataclass
class World:
    """One state of the model. `copy` makes the state that an event changes, and `key` identifies a state."""

    fault: InjectedFault = InjectedFault.NONE
    tick: int = START_TICK
    servers: list[_ModelAcceptor] = field(default_factory=list)
    leases: list[_ModelLease] = field(default_factory=list)
    next_requests: list[LeaseRequest | None] = field(default_factory=lambda: [None] * CLIENT_COUNT)
    set_back_ticks: int = 0  # by which the clock of client 0 was set back
    late_replies: frozenset[LateReply] = frozenset()
    begun_operations: frozenset[int] = frozenset()  # tokens of operations that have not arrived
    executed_token: int = 0
    violation: str = ""
    holders: dict[int, int] = field(default_factory=dict)  # the client that held each token
    restarts: int = 0
    lost_rounds: int = 0
    attempts: list[int] = field(default_factory=lambda: [0] * CLIENT_COUNT)
    guard: FencingGuard = field(default_factory=FencingGuard)

    def copy(self) -> World:
        """Returns a copy that shares no mutable state."""
        return replace(
            self,
            servers=[server.copy() for server in self.servers],
            leases=[lease.copy() for lease in self.leases],
            next_requests=list(self.next_requests),
            holders=dict(self.holders),
            attempts=list(self.attempts),
            guard=FencingGuard(self.guard.tokens),
        )

    def key(self) -> object:
        """Returns a value that is equal for states which behave alike."""
        return (
            tuple(server.key() for server in self.servers),
            tuple(lease.key() for lease in self.leases),
            self.tick,
            tuple(self.next_requests),
            self.set_back_ticks,
            self.late_replies,
            self.begun_operations,
            self.executed_token,
            self.violation,
            self.restarts,
            self.lost_rounds,
            tuple(self.attempts),
        )

    def server_ms(self) -> float:
        """Returns the time of the servers."""
        return self.tick * TICK_MS

    def client_ms(self, client: int) -> float:
        """Returns the time of a client, whose clock a fault may have set back."""
        is_set_back = self.fault is InjectedFault.WALL and client == 0
        return (self.tick - (self.set_back_ticks if is_set_back else 0)) * TICK_MS


def initial_world(fault: InjectedFault) -> World:
    """Returns the state in which all servers are ready and nobody holds the lease."""
    world = World(fault)
    names = [f"k{number}" for number in range(SERVER_COUNT)]
    for name in names:
        server = _ModelAcceptor(name, SERVER_COUNT, LEASE_MS, 0.0)
        server.fault = fault
        server.synced_peers = set(names) - {name}
        world.servers.append(server)
    for client in range(CLIENT_COUNT):
        name, rng = f"c{client}", _ShortestDelays(0)
        lease = _ModelLease(RESOURCE, name, SERVER_COUNT, LEASE_MS, rng, world.server_ms())
        lease.fault = fault
        world.leases.append(lease)
    return world


def successors(world: World, max_tick: int = 4, max_restarts: int = 1) -> Iterator[tuple[str, World]]:
    """Yields every event that is possible in a state, with the state after it."""
    if world.violation:
        return
    yield from _clock_events(world, max_tick)
    for client in range(CLIENT_COUNT):
        yield from _client_events(world, client)
    yield from _arrivals(world)
    if world.restarts < max_restarts:
        yield from _restarts(world)
    if world.fault is not InjectedFault.FORGETS:
        yield from _peer_replies(world)


def _clock_events(world: World, max_tick: int) -> Iterator[tuple[str, World]]:
    if world.tick < max_tick:
        later = world.copy()
        later.tick += 1
        yield "time passes", later
    if world.fault is InjectedFault.WALL and not world.set_back_ticks:
        later = world.copy()
        later.set_back_ticks = CLOCK_SET_BACK_TICKS
        yield "c0's wall clock is set back", later


def _arrivals(world: World) -> Iterator[tuple[str, World]]:
    for late in sorted(world.late_replies, key=repr):
        later = world.copy()
        later.late_replies = world.late_replies - {late}
        _deliver_reply(later, late.client, late.request, late.reply)
        yield f"{late.reply.server}'s late answer reaches c{late.client}", later
    for token in sorted(world.begun_operations):
        later = world.copy()
        later.begun_operations = world.begun_operations - {token}
        _execute(later, token)
        yield f"effect {token} arrives", later


def _restarts(world: World) -> Iterator[tuple[str, World]]:
    for place, server in enumerate(world.servers):
        for disk, tokens in (("kept", server.tokens), ("lost", {})):
            later = world.copy()
            later.restarts += 1
            restarted = _ModelAcceptor(server.name, SERVER_COUNT, LEASE_MS, world.server_ms(), tokens)
            restarted.fault = world.fault
            later.servers[place] = restarted
            yield f"{server.name} starts anew, disk {disk}", later


def _peer_replies(world: World) -> Iterator[tuple[str, World]]:
    for place, server in enumerate(world.servers):
        for peer in world.servers:
            if peer is not server and peer.name not in server.synced_peers:
                later = world.copy()
                later.servers[place].learn_tokens(peer.name, peer.tokens)
                yield f"{server.name} learns from {peer.name}", later


def _client_events(world: World, client: int) -> Iterator[tuple[str, World]]:
    lease = world.leases[client]
    later = world.copy()
    request, later.next_requests[client] = later.next_requests[client], None
    if request is None and (world.attempts[client] < MAX_ATTEMPTS or lease.phase is not LeasePhase.IDLE):
        request = _next_request(world, later, client)
        if request is None and later.leases[client].phase is not lease.phase:
            yield f"c{client} begins anew", later
    if request is not None:
        yield from _rounds(world, later, client, request)
    if lease.is_held(world.client_ms(client)) and lease.fencing_token not in world.begun_operations:
        later = world.copy()
        later.begun_operations = world.begun_operations | {lease.fencing_token}
        yield f"c{client} begins effect {lease.fencing_token}", later


def _next_request(world: World, later: World, client: int) -> LeaseRequest | None:
    before, after = world.leases[client], later.leases[client]
    request = after.next_request(world.client_ms(client))
    is_new_query = after.phase is LeasePhase.QUERYING and before.phase is not LeasePhase.QUERYING
    later.attempts[client] += is_new_query
    if request is None or request.fencing_token or world.fault is not InjectedFault.BY_CANDIDATE:
        return request
    after.phase, after.fencing_token = LeasePhase.CLAIMING, before.fencing_token + 1
    return LeaseRequest(RESOURCE, f"c{client}", before.fencing_token + 1, LEASE_MS)


def _rounds(world: World, later: World, client: int, request: LeaseRequest) -> Iterator[tuple[str, World]]:
    """Yields the ways in which one request reaches the servers: all of them, some not, or one answers late.

    Servers are alike, so it is enough that the two clients are slow at different ones.
    """
    event = f"c{client} asks {_describe(request)}"
    yield event, _play_round(later, client, request, _Round())
    if world.lost_rounds < MAX_LOST_ROUNDS:
        missed = frozenset({1, 2}) if client == 0 else frozenset({0})
        lossy = _play_round(later, client, request, _Round(missed))
        lossy.lost_rounds += 1
        yield f"{event}, {', '.join(f'k{place}' for place in sorted(missed))} missed", lossy
    if not world.late_replies:
        late = _Round(frozenset({client}), is_late=True)
        yield f"{event}, k{client} answers late", _play_round(later, client, request, late)


def _play_round(world: World, client: int, request: LeaseRequest, round_: _Round) -> World:
    later = world.copy()
    for place, server in enumerate(later.servers):
        is_special = place in round_.servers
        if is_special and not round_.is_late:
            continue
        reply = server.handle_request(request, world.server_ms()).reply
        if is_special:
            later.late_replies |= {LateReply(client, request, reply)}
            continue
        _deliver_reply(later, client, request, reply)
        if later.fault is InjectedFault.ANSWERS and place == 0:
            _deliver_reply(later, client, request, reply)  # the same reply a second time
    return later


def _describe(request: LeaseRequest) -> str:
    if not request.fencing_token:
        return "for the number"
    return f"{'back' if request.is_release else 'for'} {request.fencing_token}"


def _deliver_reply(world: World, client: int, request: LeaseRequest, reply: LeaseReply) -> None:
    lease = world.leases[client]
    next_request = lease.handle_reply(request, reply, world.client_ms(client))
    if next_request is not None:
        world.next_requests[client] = next_request
    if lease.phase is LeasePhase.HELD and lease.fencing_token:
        holder = world.holders.setdefault(lease.fencing_token, client)
        if holder != client:
            world.violation = f"number {lease.fencing_token} is held by c{holder} and by c{client}"
    if all(one.is_held(world.client_ms(number)) for number, one in enumerate(world.leases)):
        world.violation = f"both hold, numbers {[one.fencing_token for one in world.leases]}"


def _execute(world: World, token: int) -> None:
    is_checked = world.fault is not InjectedFault.NO_FENCE
    if is_checked and not world.guard.admit_token(RESOURCE, token):
        return
    if token < world.executed_token:
        world.violation = f"effect {token} is taken after {world.executed_token}"
    world.executed_token = max(world.executed_token, token)


def violation_of(world: World) -> str | None:
    """Returns which invariant a state breaks, or None."""
    return world.violation or None


def explore(fault: InjectedFault, max_tick: int = 4, max_restarts: int = 1) -> int | str:
    """Searches all states up to these bounds; returns their number, or how an invariant was broken."""
    try:
        found = search(
            [initial_world(fault)],
            World.key,
            lambda world: successors(world, max_tick, max_restarts),
            violation_of,
        )
    except InvariantViolationError as error:
        return str(error)
    return found.states
