"""All settings that bind a director, with times as arguments."""

from __future__ import annotations

from dataclasses import replace
from types import MappingProxyType

from harness import settings
from hypothesis import given
from hypothesis import strategies as st

from gladelane.admin.binding_settings import BindingSettings
from gladelane.admin.live_settings import STRICTNESS, TRANSITION_MS
from gladelane.deployment.wire import settings_from_wire
from gladelane.routing.events import Effect, Settings

BASE = settings_from_wire(settings())
NOW_MS = 10_000.0
EFFECTS = (Effect.SAFE, Effect.KEYED, Effect.UNSAFE)


def file_with(effect: Effect, max_attempts: int = 4) -> Settings:
    classes = {**BASE.classes, "film": replace(BASE.classes["film"], effect=effect)}
    return replace(BASE, classes=MappingProxyType(classes), max_attempts=max_attempts)


def effect_at(binding: BindingSettings, now: float) -> Effect:
    return binding.in_force(now).classes["film"].effect


def test_the_file_in_use_binds_alone_if_there_is_no_other() -> None:
    binding = BindingSettings(file_with(Effect.SAFE))
    assert binding.in_force(NOW_MS) is binding.in_use and binding.next_end_ms(NOW_MS) is None


def test_a_former_file_binds_until_all_clients_use_the_new_one() -> None:
    binding = BindingSettings(file_with(Effect.UNSAFE, 1))
    binding.replace_in_use(file_with(Effect.SAFE, 8), NOW_MS)
    end_ms = NOW_MS + TRANSITION_MS
    assert effect_at(binding, end_ms - 1.0) is Effect.UNSAFE
    assert binding.in_force(end_ms - 1.0).max_attempts == 1
    assert binding.next_end_ms(NOW_MS) == end_ms
    assert binding.in_force(end_ms) is binding.in_use


def test_each_file_of_a_chain_binds_for_its_own_time() -> None:
    binding = BindingSettings(file_with(Effect.UNSAFE))
    binding.replace_in_use(file_with(Effect.KEYED), NOW_MS)
    binding.replace_in_use(file_with(Effect.SAFE), NOW_MS + 400.0)
    end_ms = NOW_MS + TRANSITION_MS
    assert effect_at(binding, end_ms - 1.0) is Effect.UNSAFE
    assert effect_at(binding, end_ms) is Effect.KEYED
    assert effect_at(binding, end_ms + 400.0) is Effect.SAFE


def test_a_class_that_any_of_them_has_is_known() -> None:
    dropped = replace(
        BASE, classes=MappingProxyType({**BASE.classes, "extra": replace(BASE.classes["film"], name="extra")})
    )
    binding = BindingSettings(BASE)
    binding.bind(dropped, NOW_MS + 100.0, NOW_MS)
    assert "extra" in binding.in_force(NOW_MS).classes
    assert "extra" not in binding.in_force(NOW_MS + 100.0).classes


def test_settings_that_are_told_again_bind_until_the_latest_of_their_ends() -> None:
    binding = BindingSettings(file_with(Effect.SAFE))
    for until_ms in (300.0, 500.0, 400.0):
        binding.bind(file_with(Effect.UNSAFE), NOW_MS + until_ms, NOW_MS)
    assert [other.until_ms for other in binding.others(NOW_MS)] == [NOW_MS + 500.0]


def test_no_settings_of_another_process_bind_for_longer_than_a_former_file() -> None:
    binding = BindingSettings(file_with(Effect.SAFE))
    binding.bind(file_with(Effect.UNSAFE), NOW_MS + 9e9, NOW_MS)
    assert binding.next_end_ms(NOW_MS) == NOW_MS + TRANSITION_MS


def test_only_live_settings_of_others_count() -> None:
    binding = BindingSettings(BASE)
    binding.bind(replace(BASE, max_open=BASE.max_open + 1), NOW_MS + 100.0, NOW_MS)
    assert binding.in_force(NOW_MS) == BASE


@given(
    st.lists(st.tuples(st.booleans(), st.sampled_from(EFFECTS), st.integers(1, 8), st.floats(0.0, 900.0))),
    st.floats(0.0, 3_000.0),
)
def test_what_is_in_force_satisfies_all_that_binds(
    steps: list[tuple[bool, Effect, int, float]], elapsed_ms: float
) -> None:
    binding, now = BindingSettings(file_with(Effect.SAFE)), NOW_MS
    for is_own_file, effect, max_attempts, wait_ms in steps:
        now += wait_ms
        if is_own_file:
            binding.replace_in_use(file_with(effect, max_attempts), now)
        else:
            binding.bind(file_with(effect, max_attempts), now + 500.0, now)
    now += elapsed_ms
    all_settings = [binding.in_use, *(other.settings for other in binding.others(now))]
    effects = [STRICTNESS.index(one.classes["film"].effect) for one in all_settings]
    assert STRICTNESS.index(effect_at(binding, now)) >= max(effects)
    assert binding.in_force(now).max_attempts == min(one.max_attempts for one in all_settings)
