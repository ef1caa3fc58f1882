"""Three heartbeats of another writer reach guards whose workers run tasks."""

import asyncio
import sys
import time

from http11 import call
from world import World, run_case

LOAD_S = 10
TROUBLE_AT_S = (3, 5, 7)


def foreign_heartbeat(service):
    """A heartbeat without address, zone, version and clockMs, and with slots of
    another type."""
    return {
        "service": service,
        "slots": "8",
        "state": "ready",
        "capacity": {"cpu": 64000, "memMb": 262144, "gpu": 0},
        "labels": ["a", "r1-1"],
        "born": int(time.time() * 1000),
        "sequence": 1,
    }


def busiest_side(world):
    """The side machine whose worker has the most runs."""
    index = max(
        range(len(world.workers)), key=lambda index: len(world.workers[index].running)
    )
    return world.deployment.sides[index]


async def disturb(world):
    began = world.now()
    for number, at in enumerate(TROUBLE_AT_S):
        await asyncio.sleep(began + at - world.now())
        side = busiest_side(world)
        target = f"/v1/instances/i-ab00c0ffe{number}"
        body = foreign_heartbeat(world.deployment.service)
        status, _ = await call(side.control, "PUT", target, body)
        world.record("foreign_heartbeat", to=side.name, target=target, body=body, status=status)


async def play(world, trouble):
    edges = world.deployment.edges
    submissions = []
    disturbance = asyncio.create_task(disturb(world)) if trouble else None
    for number in range(LOAD_S * 10):
        if number % 5 == 0:
            job = world.make_job(count=4, cpu=6200, work_s=0.9, estimate_ms=900)
        else:
            job = world.make_job(count=2, cpu=6200, work_s=0.2, estimate_ms=200)
        order = edges[number % len(edges) :] + edges[: number % len(edges)]
        submissions.append(asyncio.create_task(world.submit(order, job)))
        await asyncio.sleep(0.1)
    answers = await asyncio.gather(*submissions)
    if disturbance is not None:
        await disturbance
    print(f"{len(answers)} jobs, {answers.count(200)} answered with 200")
    return world.report_overlaps()


if __name__ == "__main__":
    has_trouble = sys.argv[2] != "0"
    case = World(sys.argv[1], edges=3, sides=6)
    sys.exit(run_case(case, lambda world: play(world, has_trouble)))
