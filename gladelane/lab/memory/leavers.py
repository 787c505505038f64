"""Clients that leave with requests open, and some of which come again with the same ids."""

from __future__ import annotations

import asyncio
import random
import socket
from itertools import chain

from ...net.client_protocol import FrameType, encode_fields, encode_frame
from ...sockets import reset
from ..call_faults import READ_CLASS, UNSAFE_CLASS, Request, fields_of
from .scene import Scene

PENDING_S = 0.15  # how long a request waits at a store that hangs before its client leaves
RETURN_S = 0.2  # until the client comes again
BURST_REQUESTS = 30
#: By the protocol nothing is sent on later than this after the client has left.
MAX_SENT_AFTER_S = 0.1
SETTLE_S = 0.5


class Leavers:
    """Plays such clients against a scene's director. `problems` says which of their requests broke a rule."""

    def __init__(self, scene: Scene, rng: random.Random) -> None:
        self.problems: list[str] = []
        self._scene, self._rng = scene, rng
        self._next_id = 1 << 40

    async def leave_and_return(self) -> None:
        """A client sends an unsafe request, leaves, and sends it again; another leaves behind many reads."""
        scene = self._scene
        scene.hangs = True
        unsafe = [self._new_request(UNSAFE_CLASS)]
        await self._send(unsafe, PENDING_S)
        await asyncio.sleep(RETURN_S)
        await self._send(unsafe, PENDING_S)
        reads = [self._new_request(READ_CLASS) for _ in range(BURST_REQUESTS)]
        left_s = await self._send(reads, self._rng.uniform(0.0, 0.02))
        lag_s = await self._measure_lag()
        scene.hangs = False
        self._check(unsafe[0], reads, left_s + lag_s)

    def _new_request(self, cls: str) -> Request:
        self._next_id += 1
        return Request(f"{self._next_id:016x}", cls)

    async def _send(self, requests: list[Request], pending_s: float) -> float:
        """Sends requests on a new connection and leaves; returns when, by the loop's clock."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        try:
            await loop.sock_connect(sock, ("127.0.0.1", self._scene.director.port))
            frames = (
                encode_frame(FrameType.REQUEST, stream, encode_fields(fields_of(request)))
                for stream, request in enumerate(requests, 1)
            )
            await loop.sock_sendall(sock, b"".join(frames))
            await asyncio.sleep(pending_s)
        except OSError:
            pass
        if self._rng.random() < 0.5:
            reset(sock)
        sock.close()
        return loop.time()

    async def _measure_lag(self) -> float:
        """The worst lateness of this event loop, and so of the stores, for SETTLE_S."""
        loop = asyncio.get_running_loop()
        until_s, worst_s = loop.time() + SETTLE_S, 0.0
        while (before_s := loop.time()) < until_s:
            await asyncio.sleep(0.005)
            worst_s = max(worst_s, loop.time() - before_s - 0.005)
        return worst_s

    def _check(self, unsafe: Request, reads: list[Request], left_s: float) -> None:
        stores = self._scene.stores.values()
        times = sum(store.times(unsafe.id) for store in stores)
        if times > 1:
            self.problems.append(f"unsafe request {unsafe.id} was sent {times} times")
        ids = {request.id for request in reads}
        late = [
            seen.at - left_s
            for seen in chain.from_iterable(store.seen for store in stores)
            if seen.id in ids and seen.at - left_s > MAX_SENT_AFTER_S
        ]
        if late:
            self.problems.append(f"{len(late)} requests were sent up to {max(late):.3f} s after their client")
