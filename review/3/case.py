"""A front that gets SIGTERM breaks the streams that it relays, seconds before its grace is over."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import deployment as d

STREAMS = 6
EVENTS, PAUSE_S = 24, 0.2
GRACE_S = 8.0

CONFIG = {
    "Version": 3,
    "Routes": [
        {"Name": "r-stream", "Host": d.HOST, "PathPrefix": "/lohu930/", "Kind": "stream",
         "TimeoutMs": 10000, "GoalMs": 400, "Priority": 1, "Service": "huvo11a",
         "MaxAttempts": 2, "Sticky": True},
    ],
    "Services": [
        {"Name": "huvo11a", "HealthPath": "/health", "MaxConns": 150, "Protocol": "h1",
         "Tls": False, "Engine": {"Slots": 8, "KvCapacity": 47681, "Stride": 49,
                                  "Models": [{"Name": "daka510000"}]}},
    ],
    "Limits": d.LIMITS,
}


async def stream(front, record, name):
    """Sends one request and reads its stream. Returns the events and whether the end came."""
    reader, writer = await asyncio.open_connection(*front.address)
    headers = {
        "Hornbeamrock-Request-Id": name, "Hornbeamrock-Deadline-Ms": "10000",
        "Hornbeamrock-Model": "daka510000", "Hornbeamrock-Token-Usage": "271,1200",
        "Hornbeamrock-Prompt-Prefix": f"9c2e41:255,{name}:16",
    }
    writer.write(d.request_bytes("POST", f"/lohu930/{name}", headers, b"prompt"))
    await writer.drain()
    record(f"client: sent {name} to {front.name}")
    events, status = [], None
    try:
        head = await d.read_head(reader)
        if head is None:
            record(f"client: {name} got no answer")
            return events, False
        status = int(head[0].split(" ")[1])
        async for chunk in d.read_chunks(reader):
            events += [line for line in chunk.decode().splitlines() if line.startswith("id: ")]
    except (ConnectionError, asyncio.IncompleteReadError) as reason:
        record(f"client: {name} status {status}, BROKEN after {len(events)} events: {reason}")
        return events, False
    finally:
        writer.close()
    record(f"client: {name} status {status}, complete with {len(events)} events")
    return events, status == 200


async def case(deployment, record, trouble):
    await deployment.configure(CONFIG)
    for name in ["i-7f3a91c2", "i-02d9e6b4"]:
        await deployment.replica(name, "huvo11a", model="daka510000", events=EVENTS,
                                 pause_s=PAUSE_S)
    fronts = [await deployment.front(name) for name in ["front-a-1", "front-a-2"]]
    await deployment.wait_ready()
    # The machines are in touch StableMs after their start.
    await asyncio.sleep(3.5)
    streams = [
        asyncio.ensure_future(stream(fronts[0], record, f"5tream{number}"))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(1.0)
    stopped = time.monotonic()
    if trouble:
        fronts[0].send_signal(signal.SIGTERM)

    async def kill_after_grace():
        await asyncio.sleep(GRACE_S)
        if fronts[0].process.returncode is None:
            fronts[0].send_signal(signal.SIGKILL)

    async def watch_exit():
        code = await fronts[0].process.wait()
        record(f"{fronts[0].name} exited with {code}, {time.monotonic() - stopped:.2f} s after the signal")

    tasks = [asyncio.ensure_future(watch_exit())]
    if trouble:
        tasks.append(asyncio.ensure_future(kill_after_grace()))
    results = await asyncio.gather(*streams)
    ended = time.monotonic() - stopped
    if trouble:
        await asyncio.wait({tasks[0]}, timeout=GRACE_S)
    for task in tasks:
        task.cancel()
    whole = sum(1 for events, complete in results if complete and len(events) == EVENTS)
    record(f"{whole} of {STREAMS} streams came whole; the last ended {ended:.2f} s after the signal")
    # A replica would have been done long before the last sixth of GraceS.
    if 1.0 + GRACE_S * 5 / 6 <= EVENTS * PAUSE_S:
        raise d.CannotRun("the streams are too long for the rule")
    return d.HELD if whole == STREAMS else d.BROKEN


d.run_case(os.path.dirname(os.path.abspath(__file__)), case)
