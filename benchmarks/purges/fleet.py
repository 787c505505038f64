"""The whole fleet: the fake site, control servers and directors, and their restarts."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from .control_servers import ControlServers
from .directors import Directors
from .fake_site import FakeSite

DIRECTORS, CONTROL_SERVERS = 3, 2


class Fleet:
    """The site and all processes; `restarts` counts by the kind of process under the names of the report."""

    def __init__(self, folder: Path, with_control_servers: bool) -> None:
        self.site = FakeSite()
        self.control_servers = ControlServers(folder, CONTROL_SERVERS if with_control_servers else 0)
        self.directors = Directors(folder, self.site.discovery)
        self.restarts: Counter[str] = Counter()

    async def start(self) -> None:
        """Starts the site and all processes; returns once all answer."""
        discovery_address = await self.site.start()
        await self.control_servers.start()
        await self.directors.start(DIRECTORS, discovery_address, self.control_servers.ports)

    async def restart_director(self, number: int) -> None:
        """Restarts a director by SIGTERM."""
        await self.directors.restart(number)
        self.restarts["director"] += 1

    async def restart_control_server(self, number: int) -> None:
        """Restarts a control server by SIGKILL."""
        await self.control_servers.restart(number)
        self.restarts["feed"] += 1

    async def restart_parent(self) -> None:
        """Restarts the parent with old copies."""
        await self.site.restart_parent()
        self.restarts["hub"] += 1

    async def restart_in_turn(self, count: int) -> None:
        """Performs `count` restarts in turn: a director, a control server, the parent, the next director."""
        for turn in range(count):
            match turn % 3:
                case 0:
                    await self.restart_director(turn // 3 % DIRECTORS)
                case 1:
                    await self.restart_control_server(turn // 3 % CONTROL_SERVERS)
                case 2:
                    await self.restart_parent()

    async def close(self) -> None:
        """Stops all processes and servers."""
        await self.directors.close()
        await self.control_servers.close()
        await self.site.close()
