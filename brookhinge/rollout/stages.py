"""Assigns the routers to the stages of a rollout at random, from the plan's seed. No I/O."""

import random

from brookhinge.rollout.plan import Plan


def stages_of(plan: Plan) -> list[list[str]]:
    """Return the names of the routers of each stage; the same plan always gives the same stages.

    Routers are taken from the agents in turn, so that each stage is spread over all agents and covers a whole
    agent only if this cannot be avoided. The last stage has all remaining routers.
    """
    order = _interleave_agents(plan)
    stages = []
    taken = 0
    for share in plan.stages:
        end = len(order) if share >= 1.0 else max(taken + 1, min(len(order) - 1, round(share * len(order))))
        stages.append(order[taken:end])
        taken = end
    return [stage for stage in stages if stage]


def _interleave_agents(plan: Plan) -> list[str]:
    """Return all routers in random order, taking one from each agent in turn."""
    rng = random.Random(plan.seed)
    by_agent: dict[str, list[str]] = {}
    for router, agent in plan.routers:
        by_agent.setdefault(agent, []).append(router)
    for routers in by_agent.values():
        rng.shuffle(routers)
    remaining = [list(routers) for _, routers in sorted(by_agent.items())]
    order = []
    while any(remaining):
        rng.shuffle(remaining)
        order += [routers.pop() for routers in remaining if routers]
    return order
