"""Applies the switches and actions of an engine's control endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from auburnswitch.standins.control import set_switches

if TYPE_CHECKING:
    from auburnswitch.standins.engine import EngineStandIn

SWITCHES: Final = frozenset({"leaving"})
OPTIONS: Final = frozenset(
    {
        "cache_event_loss",
        "cold_delay_s",
        "cold_max_running",
        "cold_max_tokens",
        "decode_step_s",
        "prefill_tokens_per_second",
        "restart_s",
        "restart_silent",
        "warm_after",
    }
)
ACTIONS: Final = frozenset({"turn_cold", "drop_connections", "crash"})


def apply_engine_control(
    engine: EngineStandIn, switches: dict[str, Any]
) -> None:
    """Sets an engine's switches and options, then runs the requested actions.

    Args:
        engine: The engine.
        switches: New values by name; an action runs if its value is true.

    Raises:
        ValueError: A name is unknown or a value has the wrong type.
    """
    values = dict(switches)
    freeze_s = float(values.pop("freeze_s", 0.0))
    options = {name: values.pop(name) for name in OPTIONS & values.keys()}
    actions = {name: values.pop(name) for name in ACTIONS & values.keys()}
    set_switches(engine, values, SWITCHES)
    set_switches(engine.options, options, OPTIONS)
    if freeze_s:
        engine.freeze(freeze_s)
    if actions.get("turn_cold"):
        engine.turn_cold()
    if actions.get("drop_connections"):
        engine.drop_connections()
    if actions.get("crash"):
        engine.crash()


__all__ = ["apply_engine_control"]
