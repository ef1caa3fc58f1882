"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json


class Request:
    """One request that a server received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b"{}")


async def read_head(reader):
    """Reads the first line and the headers; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Reads one message with its body; None at the end of the stream."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


def render(first, body, headers=None):
    """Renders one message."""
    lines = [first, "Content-Type: application/json", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Calls handler(request) for each request; it returns (status, body), or None
    for a request that gets no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self.handler(Request(method, target, headers, body))
                if answer is None:
                    await asyncio.sleep(30)
                    return
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content).encode()
                writer.write(render(f"HTTP/1.1 {status} X", content))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Stops to listen and closes all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.close()


async def call(address, method, target, body, headers=None, timeout=1.0):
    """Makes one call on a connection of its own. Returns (status, body); status is
    None without a whole answer within the timeout."""
    host, port = address.rsplit(":", 1)
    writer = None
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            all_headers = {"Host": address, **(headers or {})}
            writer.write(render(f"{method} {target} HTTP/1.1", content, all_headers))
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, b""
            return int(message[0].split(" ")[1]), message[2]
    except (TimeoutError, OSError):
        return None, b""
    finally:
        if writer is not None:
            writer.close()
