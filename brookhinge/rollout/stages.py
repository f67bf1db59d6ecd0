"""Draws the routers of each stage of a rollout. No I/O; chance is the plan's seed."""

import random

from brookhinge.rollout.plan import Plan


def stages_of(plan: Plan) -> list[list[str]]:
    """Return the names of the routers of each stage, the same for the same plan.

    Agents take turns, so that every stage is spread over them and none covers a whole agent unless there is
    no other way. The last stage takes all that are left.
    """
    order = _interleaved(plan)
    stages = []
    taken = 0
    for share in plan.stages:
        end = len(order) if share >= 1.0 else max(taken + 1, min(len(order) - 1, round(share * len(order))))
        stages.append(order[taken:end])
        taken = end
    return [stage for stage in stages if stage]


def _interleaved(plan: Plan) -> list[str]:
    """Return all routers in random order, one of each agent in turn."""
    chance = random.Random(plan.seed)
    by_agent: dict[str, list[str]] = {}
    for router, agent in plan.routers:
        by_agent.setdefault(agent, []).append(router)
    for routers in by_agent.values():
        chance.shuffle(routers)
    remaining = [list(routers) for _, routers in sorted(by_agent.items())]
    order = []
    while any(remaining):
        chance.shuffle(remaining)
        order += [routers.pop() for routers in remaining if routers]
    return order
