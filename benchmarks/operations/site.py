"""A site of two caches, a parent and the origin, and the processes of one director in front of them."""

from __future__ import annotations

import tempfile
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import NamedTuple

from benchmarks.example_site import ORIGIN, PARENT, example_config, list_entry
from gladelane.endpoints.address import Family
from gladelane.lab.fake_server import Answer, FakeServer
from gladelane.lab.processes import ROOT, Processes

MEMORY_MB, SOCKETS = 96, 384  # limits of the director, for the old and the new process together
SERVER_NAMES = ("cache-0", "cache-1", PARENT, ORIGIN)
WEIGHT = 64
NO_DISCOVERY = "127.0.0.1:1"


class Site:
    """The fake servers, and the classes of the example configuration."""

    def __init__(self, answers: Sequence[Answer] = ()) -> None:
        self.servers = [FakeServer(name) for name in SERVER_NAMES]
        for server, answer in zip(self.servers, answers, strict=False):
            server.answer = answer
        self._config = example_config()
        self.class_names = tuple(row["name"] for row in self._config["settings"]["classes"])

    async def start(self, folder: Path, program: Path = ROOT) -> Processes:
        """Returns the director once it serves; `program` is the checkout that is started."""
        config = self._config
        config["board"] = NO_DISCOVERY
        config["limits"] = {"cores": 1, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
        config["known"]["notices"][0]["pool"]["instances"] = [
            list_entry(server.name, await server.listen(Family.V4), WEIGHT) for server in self.servers
        ]
        director = Processes(folder, config)
        await director.start(program=program)
        await director.serving()
        return director

    async def close(self) -> None:
        """Stops the servers."""
        for server in self.servers:
            await server.close()


class ServingSite(NamedTuple):
    """A site and its director, which is ready."""

    site: Site
    director: Processes


@asynccontextmanager
async def serve_site(answers: Sequence[Answer] = ()) -> AsyncIterator[ServingSite]:
    """Runs a site and a director inside the context.

    `answers` are the answers of the servers, in their order; servers without one use the default.
    """
    with tempfile.TemporaryDirectory() as folder:
        site = Site(answers)
        director = await site.start(Path(folder))
        try:
            yield ServingSite(site, director)
        finally:
            await director.end()
            await site.close()
