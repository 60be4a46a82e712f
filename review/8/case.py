"""A replica's process is killed in the middle of an event of its streams, which have no length. The
client gets streams that end as complete."""

import asyncio
import os
import sys
import time

HARNESS = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "harness2")
sys.path.insert(0, HARNESS)
from world import HOST, TROUBLE, Closed, main, read_chunks, read_head, route

EVENTS = 15
STREAMS = 6
NAME = "i-writer-1"


async def read_stream(address, request_id, record):
    """The bytes of a stream, and whether its answer is complete by the protocol."""
    name, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(name, int(port))
    writer.write((
        f"POST /draft/{request_id} HTTP/1.1\r\nHost: {HOST}\r\nHornbeamrock-Request-Id: {request_id}\r\n"
        "Hornbeamrock-Deadline-Ms: 8000\r\nContent-Length: 5\r\n\r\ndraft"
    ).encode())
    text = b""
    try:
        line, headers = await read_head(reader)
        status = int(line.split(" ")[1])
        if "chunked" not in headers.get("transfer-encoding", ""):
            record(f"{request_id}: {status} without chunks")
            return status, text, False
        async for chunk in read_chunks(reader):
            text += chunk
        complete = True
    except Closed:
        status, complete = 0, False
    finally:
        writer.close()
    record(f"{request_id}: {'complete' if complete else 'broken off'} after {len(text)} bytes, "
           f"the last are {text[-24:]!r}")
    return status, text, complete


async def case(world):
    record = world.record
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-B", os.path.join(HARNESS, "stream_replica.py"), NAME, str(EVENTS),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        port = int(await process.stdout.readline())
        alive = True

        async def beats():
            seq = 0
            while alive:
                seq += 1
                await world.store.put("keyed.servers", NAME, {
                    "Service": "writers", "Address": f"127.0.0.1:{port}", "Zone": "zone-a",
                    "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Seq": seq,
                    "born": 1_700_000_000_000})
                await asyncio.sleep(1.2)

        async def log():
            while line := await process.stdout.readline():
                record(f"{NAME} {line.decode().strip()}")

        tasks = [asyncio.ensure_future(beats()), asyncio.ensure_future(log())]
        await world.configure(
            3, [route("draft", "/draft/", "stream", "writers", TimeoutMs=8000, MaxAttempts=1)],
            [{"Name": "writers", "HealthPath": "/health", "MaxConns": 150}])
        front = await world.front(1)
        if not await front.wait_ready():
            return 2
        streams = []
        for number in range(STREAMS):
            streams.append(asyncio.ensure_future(read_stream(front.client, f"s{number}", record)))
            await asyncio.sleep(0.07)
        await asyncio.sleep(1.0)
        if TROUBLE:
            record(f"{NAME} is killed")
            alive = False
            process.kill()
        ended = await asyncio.wait_for(asyncio.gather(*streams), 15)
        for task in tasks:
            task.cancel()
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()
    if any(status not in (0, 200) for status, _, _ in ended):
        return 2
    whole = sum(text.count(b"\n\n") == EVENTS for _, text, complete in ended if complete)
    # Not counted: a stream that ends between two events, as nothing in its bytes tells that it is cut.
    inside = sum(not text.endswith(b"\n\n") for _, text, complete in ended if complete)
    record(f"complete and whole: {whole}; complete though cut inside an event: {inside}")
    return 1 if inside else 0


main(case, os.path.dirname(os.path.abspath(__file__)))
