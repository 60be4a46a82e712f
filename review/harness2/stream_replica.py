"""A replica as a process of its own, so that it can be killed. It answers with a stream of events that
has no length and ends with its connection, and writes each event in two parts, as it is made.

Prints its port, and a line for each request that it runs."""

import asyncio
import sys

from world import Closed, read_body, read_head

NAME, EVENTS = sys.argv[1], int(sys.argv[2])


async def serve(reader, writer):
    try:
        while True:
            line, headers = await read_head(reader)
            await read_body(reader, headers)
            request_id = headers.get("hornbeamrock-request-id", "")
            if headers.get("hornbeamrock-expect-instance") not in (None, NAME):
                head = f"HTTP/1.1 421 X\r\nHornbeamrock-Replica-Id: {NAME}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
                continue
            if line.split(" ")[1] == "/health":
                head = f"HTTP/1.1 200 OK\r\nHornbeamrock-Replica-Id: {NAME}\r\nContent-Length: 0\r\n\r\n"
                writer.write(head.encode())
                continue
            print(f"runs {request_id}", flush=True)
            writer.write((
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"
                f"Hornbeamrock-Request-Id: {request_id}\r\n"
                f"Hornbeamrock-Server-Stamp: stamp-{NAME}-{request_id}\r\n"
                "Hornbeamrock-Weight-Versions: 1\r\n\r\n"
            ).encode())
            for number in range(1, EVENTS + 1):
                writer.write(f"id: {number}\ndata: {request_id}".encode())
                await writer.drain()
                await asyncio.sleep(0.15)
                writer.write(f"-{number}\n\n".encode())
                await writer.drain()
                await asyncio.sleep(0.05)
            return
    except (Closed, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await server.serve_forever()


asyncio.run(main())
