"""A front with several cores lists empty texts as succeeded, when it loses its shard of the work
while texts end."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d
from steps import MODEL, SCORER, config, end, read_all, rollout, step, submit

# On some days, a machine exposes several cores.
CORES = 2
# As many as the replicas and slots of orldb-rennes and mdac-lots.
REPLICAS, SLOTS, GROUP_ITEMS = 9, 8, 4
ITEMS = REPLICAS * SLOTS
EVENTS, PAUSE_S = 24, 0.1
TEXT = "\n".join(f"word-{number}" for number in range(1, EVENTS + 1))
# When the store turns the front away, and for how long: longer than a membership lasts (1.3 s).
REFUSE_AT_S, REFUSE_S = 0.8, 1.9
# The ends of the texts arrive one after the other, not at once.
BETWEEN_ENDS_S = 5e-6
# How many of them arrive before the answer to the front's next join, step by step; the others
# arrive right after it.
BEFORE_JOIN = [36, 24, 48]
# How long results are read after that; the other front that has the work by then needs longer.
READ_S = 1.5
LAST_START_S = 80.0


def write_ends(waiting):
    """Writes the ends of the given streams, one after the other."""
    began = time.perf_counter()
    for number, writer in enumerate(waiting):
        while time.perf_counter() < began + number * BETWEEN_ENDS_S:
            pass
        if not writer.transport.is_closing():
            writer.write(b"0\r\n\r\n")


async def play(deployment, record, number, trouble):
    """One step of the trainer. Returns the results that are wrong."""
    name = f"{number:02x}aa"
    waiting = []
    for replica in deployment.replicas:
        replica.waiting_ends = waiting
    began = time.monotonic()
    body = step(number, "/pule252/", name, ITEMS // GROUP_ITEMS, GROUP_ITEMS)
    fronts = deployment.fronts
    if await submit(fronts[number % len(fronts)], record, name, f"/pule252/{name}", body) != 202:
        raise d.CannotRun("a step was not accepted")
    await asyncio.sleep(0.3)
    owners = [front for front in fronts if front.logged("event=step-taken", f"id={name}")]
    if not owners:
        raise d.CannotRun("no front runs the step")
    owner = owners[0]
    reader = next(front for front in fronts if front is not owner)

    def is_join(request):
        return request.path == "/v1/log-join" and not owner.store.refuses and waiting

    def on_answering(request):
        if is_join(request):
            before = BEFORE_JOIN[number % len(BEFORE_JOIN)]
            write_ends(waiting[:before])
            del waiting[:before]

    def on_answered(request):
        if is_join(request):
            owner.store.on_answering = owner.store.on_answered = lambda request: None
            write_ends(waiting)
            waiting.clear()

    await asyncio.sleep(began + REFUSE_AT_S - time.monotonic())
    if trouble:
        record(f"the store turns {owner.name} away, which runs the items")
        owner.store.refuses = True
    await asyncio.sleep(REFUSE_S)
    if trouble:
        owner.store.refuses = False
        record(f"the store serves {owner.name} again")
    record(f"{len(waiting)} of {ITEMS} texts are whole but for the end of their streams")
    owner.store.on_answering, owner.store.on_answered = on_answering, on_answered
    results = await read_all(reader, lambda text: None, name, READ_S)
    owner.store.on_answering = owner.store.on_answered = lambda request: None
    waiting.clear()
    for replica in deployment.replicas:
        replica.waiting_ends = None
    wrong = []
    for result in results:
        if result["State"] == "succeeded" and (result["Text"], result["Versions"]) != (TEXT, [1]):
            wrong.append(result)
            record(f"trainer: {name} lists {result['Id']} as succeeded with the text "
                   f"{result['Text']!r} and the versions {result['Versions']}")
            for replica in deployment.replicas:
                for resumed in replica.resumed.get(result["Id"], []):
                    record(f"replica {replica.id}: ran {result['Id']} from event {resumed + 1} on")
            for front in fronts:
                for line in front.logged("event=item-scored", f"id={result['Id']}"):
                    record(f"log of {front.name}: {line.partition('event=')[2]}")
    runs = sum(run.startswith(name) for replica in deployment.replicas for run in replica.runs)
    record(f"replicas: {runs} runs of the items of {name}")
    scored = len(owner.logged("event=item-scored", f"id={name}"))
    record(f"{owner.name} has scored {scored} texts")
    record(f"trainer: {name} has {len(results)} results, {len(wrong)} of them wrong")
    await end(reader, record, name)
    return wrong


async def case(deployment, record, trouble):
    quiet = lambda text: None
    await deployment.configure(config(3, [rollout("r-old", "/pule252/"), SCORER]))
    for number in range(REPLICAS):
        replica = await deployment.replica(f"i-7f{number:02}", "huvo11a", model=MODEL,
                                           events=EVENTS, pause_s=PAUSE_S)
        replica.record = quiet
    for name in ["i-aa01", "i-aa02"]:
        (await deployment.replica(name, "wuno96b", work_s=0.02)).record = quiet
    for number in (1, 2, 3):
        await deployment.front(f"front-a-{number}", CORES)
    await deployment.wait_ready()
    await asyncio.sleep(3.5)
    began, number = time.monotonic(), 0
    while time.monotonic() < began + LAST_START_S:
        if await play(deployment, record, number, trouble):
            return d.BROKEN
        number += 1
        await asyncio.sleep(0.3)
    record(f"{number} steps, no wrong result")
    return d.HELD


d.run_case(os.path.dirname(os.path.abspath(__file__)), case)
