"""Runs a real director whose system calls fail, with clients, stores and discovery that check every rule.

One `Scene` is one director on loopback with the preload library loaded. `Clients` send requests all the
time and count wrong or missing answers; `Scene.verdict` adds the observations of the stores and the state
of the process.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable, Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..endpoints.address import Family
from .client import Client
from .fake_discovery import FakeDiscovery
from .fake_server import FakeServer, Said, Seen, hit
from .fake_server import Fault as StoreFault
from .preload.syscalls import SystemCallFaults
from .processes import ROOT, Processes

READ_CLASS, KEYED_CLASS, UNSAFE_CLASS = "question-item", "answer-submit", "payment"
CLASSES = (READ_CLASS, KEYED_CLASS, UNSAFE_CLASS)
STORES = {"cache-1": "standard", "cache-2": "standard", "depot": "parent", "bank": "origin"}
DEADLINE_MS = 1500
ANSWER_S = 0.015  # delay of a store, so that there are always pending requests
PATIENCE_S = 4.0  # half a second after the deadline is allowed; the rest is for a busy machine
WINDOW_S = 2.0  # of KEYED_CLASS in the settings
RECOVERY_S = 8.0  # a director that serves nothing for so long after a fault is stuck
PROBE_APART_S = 0.02
LEAVE_S = 0.3  # after SIGTERM the platform sends no further requests
EXIT_S = 8.0
ERROR_LINE = "gladelane: "


@dataclass
class Verdict:
    """The breaches of a case; the texts name the request or the process."""

    lost: list[str] = field(default_factory=list)
    duplicates: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    stuck_after_ms: float = 0.0
    is_stuck: bool = False

    def broken(self) -> list[str]:
        """All breaches as texts with their kinds."""
        named = {
            "lost": self.lost,
            "duplicate": self.duplicates,
            "unanswered": self.unanswered,
            "crash": self.crashes,
        }
        texts = [f"{name}: {text}" for name, all_ in named.items() for text in all_]
        return [*texts, "stuck"] if self.is_stuck else texts


@dataclass
class Request:
    """A request of the clients, with the code of its answer."""

    id: str
    cls: str
    code: int | None = None


class Clients:
    """Clients that request all classes in turn, half of them on reused connections, half on new ones.

    `breaks_connections` is set while faults may break connections of clients: a request does not count as
    lost then if its connection broke. It still counts as unanswered if its connection stays open.

    While `may_connect` is not set, only open connections are used. `ignores_goaway`: reused connections are
    used until they end, also after the director has asked for no further requests.
    """

    def __init__(self, port: int, first_id: int, count: int = 6, ignores_goaway: bool = False) -> None:
        self.port = port
        self._ignores_goaway = ignores_goaway
        self.breaks_connections = False
        self.served = 0
        self.requests: dict[str, Request] = {}
        self.lost: list[str] = []
        self.unanswered: list[str] = []
        self.answered_twice: list[str] = []
        self.ended_unanswered_s: list[
            float
        ] = []  # when connections ended under a request, by the loop's clock
        self.may_connect = True
        self._next_id = first_id
        self._is_stopping = False
        self._tasks = [asyncio.create_task(self._ask_on(number % 2 == 0)) for number in range(count)]

    async def stop(self) -> None:
        """Sends no further requests and waits for the pending ones."""
        self._is_stopping = True
        for ended in await asyncio.gather(*self._tasks, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended

    async def _ask_on(self, keeps: bool) -> None:
        client: Client | None = None
        is_proven = False  # it had an answer, so a request may cross its close
        repeated: Request | None = None
        while not self._is_stopping:
            if client is None:
                if not self.may_connect:
                    await asyncio.sleep(PROBE_APART_S)
                    continue
                try:
                    client, is_proven = await Client.to("127.0.0.1", self.port), False
                except OSError:  # there is no listener: no request was sent
                    await asyncio.sleep(PROBE_APART_S)
                    continue
            if client.is_closed_by_director():  # while this event loop was busy
                await self._close(client)
                client = None
                continue
            request = repeated or self._new()
            repeated = None
            request.code = await self._ask(client, request)
            crossed = request.code is None and client.ended and is_proven
            if crossed and not self.breaks_connections:
                repeated = request  # clients retry what crossed the close of an idle connection
            else:
                self._note(request, client)
                is_proven = True
            is_unwanted = client.no_more_requests and not self._ignores_goaway
            if request.code is None or is_unwanted or not keeps:
                await self._close(client)
                client = None
            await asyncio.sleep(0.002)
        if repeated is not None:
            with suppress(OSError):
                client = await Client.to("127.0.0.1", self.port)
                repeated.code = await self._ask(client, repeated)
                self._note(repeated, client)
        if client is not None:
            await self._close(client)

    async def _ask(self, client: Client, request: Request) -> int | None:
        fields = fields_of(request)
        try:
            answer = await client.ask(fields, patience_s=PATIENCE_S)
        except OSError:
            answer = None
        if answer is None and client.ended:
            self.ended_unanswered_s.append(asyncio.get_running_loop().time())
        return None if answer is None else answer.code

    def _new(self) -> Request:
        self._next_id += 1
        request = Request(f"{self._next_id:016x}", CLASSES[self._next_id % len(CLASSES)])
        self.requests[request.id] = request
        return request

    def _note(self, request: Request, client: Client) -> None:
        if request.code is not None:
            self.served += request.code == 0
        elif not client.ended:
            self.unanswered.append(f"{request.cls} {request.id}")
        elif not self.breaks_connections:
            at_s = asyncio.get_running_loop().time()
            self.lost.append(f"{request.cls} {request.id} at {at_s:.2f} s")

    async def _close(self, client: Client) -> None:
        self.answered_twice += [f"stream {n}" for n, count in client.answers.items() if count > 1]
        await client.close()


async def hit_later(seen: Seen) -> Said:
    """Answers from a cached copy after ANSWER_S."""
    await asyncio.sleep(ANSWER_S)
    return hit(seen)


def fields_of(request: Request) -> dict[str, str]:
    """The fields of a request frame; keyed classes have an idempotency key."""
    fields = {
        "c": request.cls,
        "i": request.id,
        "d": str(DEADLINE_MS),
        "o": f"{int(request.id, 16) % 20:016x}",
        "chunk": "0",
        "tag": "1",
        "m": "1",
    }
    return {**fields, "k": request.id * 2} if request.cls == KEYED_CLASS else fields


def find_repeated(
    stores: Iterable[FakeServer],
    requests: Mapping[str, Request],
    seen_before: Mapping[str, int] | None = None,
) -> list[str]:
    """Requests that were repeated wrongly: unsafe ones that reached stores twice, or were refused after they
    had; keyed ones after their window. `seen_before`: how many arrivals at a store do not count."""
    arrivals: dict[str, list[float]] = {}
    for store in stores:
        for seen in store.seen[(seen_before or {}).get(store.name, 0) :]:
            arrivals.setdefault(seen.id, []).append(seen.at)
    found = []
    for id_, times in arrivals.items():
        request = requests.get(id_)
        if request is None:
            continue
        if request.cls == UNSAFE_CLASS and len(times) > 1:
            found.append(f"{id_} ran {len(times)} times")
        elif request.cls == UNSAFE_CLASS and request.code == 1:
            found.append(f"{id_} is refused and ran")
        elif request.cls == KEYED_CLASS and max(times) - min(times) > WINDOW_S + 0.05:
            found.append(f"{id_} ran again past its window")
    return found


def add_unsafe_class(raw: dict[str, Any]) -> None:
    """Adds UNSAFE_CLASS to the classes of a configuration file."""
    raw["settings"]["classes"].append(
        {
            "name": UNSAFE_CLASS,
            "effect": "fragile",
            "aim_ms": 800.0,
            "deadline_ms": 3000.0,
            "value": 3.0,
        }
    )
    for name in ("pass_on", "good_for_ms", "stale_for_ms", "segmented"):
        values = raw["settings"]["family_info"][name]
        values.append(type(values[0])())  # one value per class


class WatchedDiscovery(FakeDiscovery):
    """Discovery that can reset its connections and counts the open ones."""

    @property
    def open_count(self) -> int:
        """The number of open connections."""
        return len(self._open)

    def drop(self) -> None:
        """Resets all connections."""
        for task in self._open:
            task.cancel()


class Scene:
    """A director, its stores and discovery. `environment`: variables in addition to those of the library."""

    def __init__(self, folder: Path, library: Path, environment: Mapping[str, str] | None = None) -> None:
        self.folder = folder
        self.faults = SystemCallFaults(library, folder / "faults")
        self.environment = {**self.faults.environment(), **(environment or {})}
        self.discovery = WatchedDiscovery()
        self.stores = {name: FakeServer(name, hit_later) for name in STORES}
        self.addresses: dict[str, str] = {}
        self.director: Processes
        self._asked = 0
        self._seen_before: dict[str, int] = {}
        self._expected_exits: set[int] = set()
        self._log_before: dict[int, int] = {}

    @property
    def discovery_port(self) -> int:
        """The address of the discovery server, as the configuration of the director names it."""
        return int(self.director.raw["board"].rpartition(":")[2])

    async def prepare(self) -> None:
        """Starts everything but the director."""
        raw = json.loads((ROOT / "example" / "config.json").read_text())
        raw["board"] = await self.discovery.start()
        add_unsafe_class(raw)
        instances = [await self._instance(name, kind) for name, kind in STORES.items()]
        self.discovery.tell({"pool": {"generation": 1, "reset": True, "instances": instances}})
        raw["known"] = self.discovery.known()
        self.director = Processes(self.folder, raw, self.environment)

    async def _instance(self, name: str, kind: str) -> dict[str, Any]:
        self.addresses[name] = await self.stores[name].listen(Family.V4)
        return {
            "instanceId": name,
            "hostPort": self.addresses[name],
            "weight": 64,
            "lifecycle": "in_service",
            "machineType": kind,
            "zone": "branch" if kind == "standard" else "hub",
        }

    async def start(self) -> None:
        """Starts the director and waits until it serves. Raises RuntimeError if it ends instead."""
        await self.director.start()
        await self.director.serving()

    async def starts(self) -> bool:
        """Whether the director serves. Without a fault it may fail if another process takes its ports
        first."""
        try:
            await self.start()
        except RuntimeError as error:
            if "Address already in use" in str(error):
                return False
            raise
        return True

    def clients(self, ignores_goaway: bool = False) -> Clients:
        """The clients of a case. Request ids continue from case to case."""
        self._asked += 1
        return Clients(self.director.port, self._asked << 24, ignores_goaway=ignores_goaway)

    def begin_case(self) -> None:
        """Begins a case: earlier requests at the stores and earlier log lines do not count for the next
        verdict."""
        self._seen_before = {name: len(store.seen) for name, store in self.stores.items()}
        self._log_before = {n: len(self.director.log(n)) for n in range(len(self.director.all))}

    async def drop_connections(self) -> None:
        """Closes all connections of stores and discovery, so that the director connects again."""
        self.discovery.drop()
        for name, store in self.stores.items():
            await store.set(self.addresses[name], StoreFault.NONE)

    async def recovery_ms(self) -> float | None:
        """The time from now until the director has recovered; None if that takes more than RECOVERY_S.

        Recovered means that each class is served on a new connection, the admin endpoint answers, and
        discovery has a client."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        with suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_S):
                for cls in CLASSES:
                    while not await self._is_served(cls):
                        await asyncio.sleep(PROBE_APART_S)
                while (await self.director.call("GET", "/healthcheck"))[0] != 200:
                    await asyncio.sleep(PROBE_APART_S)
                while not self.discovery.open_count:
                    await asyncio.sleep(PROBE_APART_S)
                return (loop.time() - began) * 1000.0
        return None

    async def _is_served(self, cls: str) -> bool:
        self._asked += 1
        client: Client | None = None
        try:
            client = await Client.to("127.0.0.1", self.director.port)
            answer = await client.ask(fields_of(Request(f"{self._asked << 24:016x}", cls)), patience_s=2.0)
            return answer is not None and answer.code == 0
        except OSError:
            return False
        finally:
            if client is not None:
                await client.close()

    async def end_process(self, number: int) -> str:
        """Sends SIGTERM; returns what was wrong with the exit, if anything."""
        process = self.director.all[number]
        self._expected_exits.add(number)
        process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), EXIT_S)
        except TimeoutError:
            return "does not end at SIGTERM"
        return f"exit code {code} at SIGTERM" if code else ""

    def expect_exit(self, process: asyncio.subprocess.Process) -> None:
        """Says that a process is about to be ended, which is no crash then."""
        self._expected_exits.add(self.director.all.index(process))

    def verdict(self, clients: Clients | None) -> Verdict:
        """The breaches since `begin_case`. `clients` must have stopped."""
        verdict = Verdict()
        if clients is not None:
            verdict.lost, verdict.unanswered = clients.lost, clients.unanswered
            verdict.duplicates = [
                *clients.answered_twice,
                *find_repeated(self.stores.values(), clients.requests, self._seen_before),
            ]
        for number, process in enumerate(self.director.all):
            if process.returncode is not None and number not in self._expected_exits:
                verdict.crashes.append(f"process {number} ended with {process.returncode}")
            log = self.director.log(number)[self._log_before.get(number, 0) :]
            if "Traceback" in log:
                verdict.crashes.append(f"process {number}: {log[log.index('Traceback') :][-600:]}")
        return verdict

    async def close(self) -> None:
        """Stops the director, discovery and the stores."""
        await self.director.end()
        await self.discovery.close()
        for store in self.stores.values():
            await store.close()


async def calling(director: Processes, is_over: Callable[[], bool]) -> None:
    """Calls the admin endpoint repeatedly."""
    while not is_over():
        await director.call("GET", "/healthcheck")
        await asyncio.sleep(PROBE_APART_S)
