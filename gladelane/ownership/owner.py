"""A director's part of ownership, wired: its leases, asked of all keepers at once. Decisions stand in `lease`
and `shards`."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from ..control.http import CALL_ERRORS, fetch
from .keeper import Ask, majority
from .lease import Lease
from .wire import Asks, Replies, encode_json, replies_decoder

log = logging.getLogger(__name__)

TICK_S = 0.05
ANSWER_S = 0.5
ALONE_LENGTHS = 2.0  # without a majority for so many lengths, everybody does what is safe to be done twice


class Owner:
    """progress: what to leave with the keepers of work that is held; resume: takes what was left there.
    Times of `steady` in ms."""

    def __init__(
        self,
        works: dict[str, int],
        name: str,
        keepers: list[tuple[str, int]],
        length_ms: float,
        token: Callable[[], str],
        steady: Callable[[], float],
        rng: random.Random,
        progress: Callable[[str], str] = lambda work: "",
        resume: Callable[[str, str], None] = lambda work, text: None,
    ) -> None:
        """works: by name, with this director's place among those that may have it."""
        now = steady()
        self._keepers, self._length_ms = keepers, length_ms
        self._token, self._steady = token, steady
        self.progress, self.resume = progress, resume
        self.leases = {
            work: Lease(work, name, len(keepers), length_ms, rng, now, place) for work, place in works.items()
        }
        self._heard_ms = dict.fromkeys(keepers, now)  # taken for there at first: nobody begins alone
        self._left: dict[str, tuple[int, str]] = {}  # what grants brought: number and progress
        self._asked_ms = now
        self._numbers: dict[str, int] = {}  # of what is held, as it was last looked at
        self._task: asyncio.Task[None] | None = None
        self.changes = 0

    def start(self) -> None:
        self._task = asyncio.create_task(self._run())

    def holds(self, work: str) -> bool:
        lease = self.leases.get(work)
        return lease is not None and lease.holds(self._steady())

    def alone(self) -> bool:
        """No majority of keepers has answered lately: nobody can own anything."""
        past = self._steady() - ALONE_LENGTHS * self._length_ms
        return sum(at >= past for at in self._heard_ms.values()) < majority(len(self._keepers))

    def held(self) -> list[str]:
        return [work for work in self.leases if self.holds(work)]

    async def _run(self) -> None:
        while True:
            try:
                now = self._steady()
                asks = [ask for lease in self.leases.values() if (ask := lease.next(now))]
                if not asks and now - self._asked_ms >= self._length_ms:
                    await self._ask_all([])  # who waits long still has to know whether the keepers are there
                while asks:
                    asks = await self._ask_all(asks)
                self._look()
            except Exception:  # one that no longer asks would hold nothing for good
                log.exception("owner failed")
            await asyncio.sleep(TICK_S)

    async def _ask_all(self, asks: list[Ask]) -> list[Ask]:
        """Of every keeper; what the answers make to be asked in turn. Goes on once a majority has answered
        and what was asked is settled, or the others had their time."""
        self._asked_ms = self._steady()
        progress = {
            ask.work: text
            for ask in asks
            if ask.number and not ask.release and self.holds(ask.work) and (text := self.progress(ask.work))
        }
        body = encode_json(Asks(asks, progress))
        turn: dict[str, Ask] = {}
        pending = {asyncio.ensure_future(self._ask_one(place, body)) for place in self._keepers}
        heard = 0
        try:
            while pending:
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                for task in done:
                    replies = task.result()
                    if replies is None:
                        continue
                    heard += 1
                    for ask, reply in zip(asks, replies.replies, strict=False):
                        lease = self.leases[ask.work]
                        then = lease.heard(ask, reply, self._steady())
                        if then is not None:
                            turn[ask.work] = then
                        if reply.granted and ask.work in replies.progress:
                            self._left[ask.work] = ask.number, replies.progress[ask.work]
                if heard >= majority(len(self._keepers)) and (turn or heard == len(self._keepers)):
                    break
        finally:
            for task in pending:
                task.cancel()
        return list(turn.values())

    async def _ask_one(self, place: tuple[str, int], body: bytes) -> Replies | None:
        headers = {"Content-Type": "application/json"}
        try:
            told = await fetch(*place, "POST", "/leases", self._token(), body, headers, within_s=ANSWER_S)
            replies = replies_decoder.decode(told)
        except CALL_ERRORS as error:
            log.debug("keeper did not answer feed=%s:%d: %s", *place, error)
            return None
        self._heard_ms[place] = self._steady()
        return replies

    def _look(self) -> None:
        """Says what was gained and lost; what a new lease found goes to whoever does the work."""
        for work, lease in self.leases.items():
            held = self.holds(work)
            if held and self._numbers.get(work) != lease.number:
                self._numbers[work] = lease.number
                self.changes += 1
                number, text = self._left.pop(work, (0, ""))
                if number == lease.number and text:
                    self.resume(work, text)
                log.info("owner of work=%s number=%d", work, lease.number)
            elif not held and self._numbers.pop(work, 0):
                log.warning("no longer owner of work=%s", work)

    async def close(self) -> None:
        """Hands over: others may own at once."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        back = [ask for lease in self.leases.values() if (ask := lease.stop())]
        if back:
            await self._ask_all(back)
