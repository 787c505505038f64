"""The fake servers, a director in front of them, and the faults of their addresses."""

from __future__ import annotations

import json
from collections import Counter

from benchmarks.example_site import ORIGIN, PARENT, example_config, list_entry
from gladelane.endpoints.address import Family
from gladelane.lab.fake_server import UNIX_ONLY, FakeServer, Fault
from gladelane.net.config import read_config
from gladelane.net.exchange import Attempt
from gladelane.server import Server

CACHES = 6
FAMILIES = (Family.UNIX, Family.V6, Family.V4)  # in the default order of dialling
WEIGHT = 5
SOCKETS = 4096
NO_DISCOVERY = "127.0.0.1:1"
WINDOW_S = 2.0  # of answer-submit in example/config.json


class Fleet:
    """Six caches, a parent and the origin at three addresses each, and a director in front."""

    def __init__(self) -> None:
        names = (*(f"cache-{number}" for number in range(CACHES)), PARENT, ORIGIN)
        self.servers = {name: FakeServer(name) for name in names}
        self.addresses: dict[str, list[str]] = {}
        #: attempts that the director made, by server and request id
        self.sent: Counter[tuple[str, str]] = Counter()

    async def start(self) -> Server:
        """Starts the servers and a director in this process, and returns the director."""
        config = example_config()
        config["listen"], config["board"] = "127.0.0.1:0", NO_DISCOVERY
        config["limits"]["sockets"] = SOCKETS
        instances = []
        for name, server in self.servers.items():
            listed = self.addresses[name] = [await server.listen(family) for family in FAMILIES]
            instances.append(list_entry(name, listed[-1], WEIGHT, addresses=listed))
        config["known"]["notices"][0]["pool"]["instances"] = instances
        director = Server(read_config(json.dumps(config).encode()))
        self._count_attempts(director)
        await director.start()
        return director

    def _count_attempts(self, director: Server) -> None:
        send = director.upstream.send

        def send_counted(attempt: Attempt) -> None:
            self.sent[attempt.store, attempt.exchange.ask.id] += 1
            send(attempt)

        director.upstream.send = send_counted  # type: ignore[method-assign]

    async def inject_fault(self, fault: Fault) -> None:
        """Applies a fault to the first address of every server.

        Unless it is a fault of Unix sockets, every other server gets it at its second address too.
        """
        for index, (name, listed) in enumerate(self.addresses.items()):
            await self.servers[name].set(listed[0], fault)
            if index % 2 and fault not in UNIX_ONLY:
                await self.servers[name].set(listed[1], fault)

    async def clear_faults(self) -> None:
        """Removes the faults of all addresses."""
        for name, listed in self.addresses.items():
            for address in listed:
                await self.servers[name].set(address, Fault.NONE)

    def count_arrivals(self) -> int:
        """Counts the attempts that arrived at servers."""
        return sum(len(server.seen) for server in self.servers.values())

    def count_doubles(self) -> int:
        """Counts the arrivals at servers in excess of the attempts that the director made there."""
        arrived = Counter(
            (name, request.id) for name, server in self.servers.items() for request in server.seen
        )
        return (arrived - self.sent).total()

    def count_late_repeats(self) -> int:
        """Counts keyed requests that reached the origin again after the window in which it drops repeats."""
        first_s: dict[str, float] = {}
        late = 0
        for request in self.servers[ORIGIN].seen:
            key = request.fields.get("replay")
            if key is not None:
                late += request.at - first_s.setdefault(key, request.at) > WINDOW_S
        return late

    async def close(self) -> None:
        """Closes the servers. The caller of `start` closes the director."""
        for server in self.servers.values():
            await server.close()
