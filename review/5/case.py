"""All open connections to the model replicas go silent at one moment, new ones work. The items that
run then are sent again on other connections that were open at that moment, one after the other, and
reach no replica until the trainer's time is up."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness2"))
from world import TROUBLE, main, request, route, step

STABLE_S = 3.0  # StableMs: a front is in touch again that long after the reset of its connections
BOUND_S = 5.0  # LOST: at no replica for 5 s of steady state
TRAINER_S = 12.0  # deadline of the batch job on the sheet
SILENCE_S = 2.5
LONG = 6
ENGINES = 3
SLOTS = 8


def at_no_replica(runs, start, end):
    """Longest time between `start` and `end` in which none of the runs is at a replica."""
    longest, free_since = 0.0, start
    for run in sorted(runs, key=lambda one: one.began):
        longest = max(longest, min(run.began, end) - free_since)
        free_since = max(free_since, end if run.ended is None else run.ended)
    return max(longest, end - free_since)


async def case(world):
    record = world.record
    for number in range(ENGINES):
        await world.replica(
            f"i-engine-{number}", "engines", pause=0.035, slots=SLOTS, models={"m0": 1},
            events=lambda item: 170 if item.endswith("long") else 20,
        )
    await world.configure(
        3,
        [route("steps", "/steps/", "rollout", "engines", DueMs=7500, RetentionS=40)],
        [{"Name": "engines", "HealthPath": "/health", "MaxConns": 150,
          "Engine": {"Slots": SLOTS, "Models": [{"Name": "m0"}]}}],
    )
    for number in (1, 2):
        await world.front(number)
    for front in world.fronts:
        if not await front.wait_ready():
            return 2
    await asyncio.sleep(4)
    # Three groups of eight, as the sheet's, with a tail of long texts.
    items = [f"item-{n}-{'long' if n % 4 == 0 else 'short'}" for n in range(ENGINES * SLOTS)]
    headers = {"Hornbeamrock-Request-Id": "lot1", "Hornbeamrock-Deadline-Ms": "12000"}
    answer = await request(world.fronts[0].client, "POST", "/steps/lot1", headers,
                           step("lot1", 1, items, group_size=8))
    began = time.monotonic()
    record(f"batch job lot1 submitted: {answer and answer.status}")
    if answer is None or answer.status != 202:
        return 2
    await asyncio.sleep(SILENCE_S)
    if TROUBLE:
        for replica in world.replicas:
            record(f"{replica.silence()} open connections of {replica.id} go silent")
    silent = time.monotonic()
    results, reads = [], 0
    while time.monotonic() < began + TRAINER_S and len(results) < len(items):
        reads += 1
        front = world.fronts[reads % 2]
        answer = await request(front.client, "GET", f"/v1/lots/lot1?After={len(results)}",
                               {"Hornbeamrock-Wait-Ms": "1000"}, timeout=2.5)
        if answer and answer.status == 200:
            results += json.loads(answer.body)["Results"]
        record(f"results read at {front.name}: {answer and answer.status}, {len(results)} in all")
        await asyncio.sleep(0.5)
    end = time.monotonic()
    answer = await request(world.fronts[0].client, "DELETE", "/v1/lots/lot1")
    record(f"batch job ended {end - began:.1f} s after the 202: {answer and answer.status}")
    if len(results) == len(items):
        record("every item is listed")
        return 0
    steady = silent + STABLE_S
    broken = 0
    for item in items:
        runs = [run for run in world.runs if run.id == item]
        if any(run.whole for run in runs):
            continue
        gap = at_no_replica(runs, steady, end)
        busy = max(
            sum(1 for run in world.runs if run.began <= at and (run.ended is None or run.ended > at))
            for at in [steady] + [run.began for run in world.runs if run.began >= steady]
        )
        times = [f"{run.began - began:.1f}..{(run.ended or end) - began:.1f}" for run in runs]
        record(f"{item} is not finished; runs at {times}; at no replica for {gap:.1f} s of steady "
               f"state; at most {busy} of {ENGINES * SLOTS} places taken")
        if gap >= BOUND_S and busy * 2 < ENGINES * SLOTS:
            broken += 1
    record(f"items that break LOST: {broken}")
    return 1 if broken else 0


main(case, os.path.dirname(os.path.abspath(__file__)))
