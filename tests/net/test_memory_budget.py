"""How memory is divided, whose frame gives way, and how replies wait for memory."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import pytest
from harness import async_test, wait_until
from hypothesis import given
from hypothesis import strategies as st

from gladelane.net.frame_memory import SILENCE_MS, choose_frame_to_discard
from gladelane.net.memory_budget import (
    CONNECTION_BYTES,
    MIN_BUDGET_BYTES,
    TRANSIENT_BYTES,
    MemoryBudget,
    MemoryUse,
    is_too_small,
    plan_memory,
    share_with_successor,
)
from gladelane.net.reply_memory import ReplyMemory

MB = 1e6


@given(st.sampled_from([32, 64, 128, 192]), st.floats(20.0, 80.0), st.integers(4, 700))
def test_plan_stays_within_the_limit_wherever_it_leaves_room(
    limit_mb: int, resident_mb: float, clients: int
) -> None:
    plan = plan_memory(limit_mb * MB, resident_mb * MB, clients)
    taken = plan.budget_bytes + plan.clients * CONNECTION_BYTES + plan.key_bytes
    free = limit_mb * MB - resident_mb * MB - TRANSIENT_BYTES
    assert plan.clients <= clients and plan.budget_bytes >= MIN_BUDGET_BYTES
    assert taken <= max(free, 2 * MIN_BUDGET_BYTES)
    assert plan.clients * plan.read_bytes <= max(plan.budget_bytes * 0.2, plan.clients * 1_024)


@pytest.mark.parametrize(
    ("limit_mb", "resident_mb", "expected_mb"), [(192, 30, 162), (64, 30, 34), (61, 30, 61), (32, 30, 32)]
)
def test_one_process_leaves_room_for_its_successor_if_there_is_any(
    limit_mb: float, resident_mb: float, expected_mb: float
) -> None:
    assert share_with_successor(limit_mb * MB, resident_mb * MB) == expected_mb * MB


@pytest.mark.parametrize(
    ("limit_mb", "resident_mb", "expected"),
    [(24, 29, True), (31, 29, False), (29.5, 29, True), (32, 35, False)],
)
def test_limit_without_room_for_one_frame_is_too_small(
    limit_mb: float, resident_mb: float, expected: bool
) -> None:
    assert is_too_small(limit_mb * MB, resident_mb * MB) is expected


@given(st.lists(st.tuples(st.sampled_from(MemoryUse), st.integers(1, 400_000)), max_size=60))
def test_no_use_takes_more_than_its_share_beyond_one_item(steps: list[tuple[MemoryUse, int]]) -> None:
    budget = MemoryBudget(1_000_000.0)
    granted: dict[MemoryUse, list[int]] = {use: [] for use in MemoryUse}
    for use, size in steps:
        others = {other: budget.used[other] for other in MemoryUse if other is not use}
        if budget.try_reserve(use, size):
            granted[use].append(size)
        assert others == {other: budget.used[other] for other in MemoryUse if other is not use}
        assert len(granted[use]) == 1 or not budget.is_exhausted(use)
    for use, sizes in granted.items():
        for size in sizes:
            budget.release(use, size)
    assert budget.total() == 0


@dataclass(eq=False)
class Holder:
    reserved_bytes: int
    size: int
    last_active_ms: float = 0.0

    def frame_bytes(self) -> int:
        return self.size


def test_oversize_and_silent_frames_give_way_and_active_requests_do_not() -> None:
    request, other, now = Holder(1_000, 48_300, 900.0), Holder(20_000, 48_300, 900.0), 1_000.0
    small_oversize, large_oversize = Holder(5_000, 262_148, 990.0), Holder(90_000, 262_148, 990.0)
    silent = Holder(30_000, 48_300, now - SILENCE_MS)
    assert choose_frame_to_discard([request, other], request, now) is None
    assert choose_frame_to_discard([other, silent], request, now) is silent
    everyone = [other, silent, small_oversize, large_oversize]
    assert choose_frame_to_discard(everyone, request, now) is large_oversize
    assert choose_frame_to_discard(everyone, small_oversize, now) is silent
    assert choose_frame_to_discard([other, large_oversize], small_oversize, now) is None


@async_test
async def test_replies_wait_in_order_until_others_end_or_answers_are_read() -> None:
    unread = [0]
    budget = MemoryBudget(1_000_000.0)
    memory = ReplyMemory(budget, lambda: budget.recount(MemoryUse.ANSWERS, unread[0]))
    order: list[str] = []

    async def reserve(name: str, size: int) -> None:
        await memory.reserve(size)
        order.append(name)

    await reserve("first", 150_000)
    tasks = [asyncio.create_task(reserve(name, 100_000)) for name in ("second", "third", "cancelled")]
    await reserve("short", 4_000)
    await asyncio.sleep(0.03)
    assert order == ["first", "short"]
    tasks[2].cancel()
    unread[0] = 900_000  # the first reply is an answer now, which its client does not read
    budget.recount(MemoryUse.ANSWERS, unread[0])
    memory.release(150_000)
    await asyncio.sleep(0.03)
    assert order == ["first", "short"]
    unread[0] = 0
    await wait_until(lambda: len(order) == 3)
    memory.release(100_000)
    await wait_until(lambda: len(order) == 4)
    assert order == ["first", "short", "second", "third"]
    memory.release(100_000)
    memory.release(4_000)
    assert budget.total() == 0
