"""HTTP/1.1 over asyncio: a server with kept connections and a client."""
import asyncio

import mp

NO_ANSWER = object()


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def serve(handler, port=0):
    """Serves `handler(method, path, query, body) -> (status, value)`; returns the server and its port.

    A handler that returns NO_ANSWER closes the connection without an answer."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                path, _, query = target.partition("?")
                pairs = [p.partition("=") for p in query.split("&") if p]
                answer = await handler(method, path, {k: v for k, _, v in pairs}, body)
                if answer is NO_ANSWER:
                    return
                status, value = answer
                data = b"" if value is None else mp.pack(value)
                close = headers.get("connection", "").lower() == "close"
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\nContent-Length: {len(data)}\r\n"
                if close:
                    head += "Connection: close\r\n"
                writer.write(head.encode() + b"\r\n" + data)
                await writer.drain()
                if close:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


class Client:
    """A client that keeps one connection to an address."""

    def __init__(self, port):
        self.port = port
        self.streams = None

    def close(self):
        if self.streams:
            self.streams[1].close()
            self.streams = None

    async def call(self, method, path, value=None, timeout=5.0):
        """Status and decoded body, or (None, None) without an answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, value), timeout)
        except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            self.close()
            return None, None

    async def _call(self, method, path, value):
        if self.streams is None:
            self.streams = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)
        reader, writer = self.streams
        data = b"" if value is None else mp.pack(value)
        head = f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\nContent-Length: {len(data)}\r\n"
        if data:
            head += "Content-Type: application/msgpack\r\n"
        writer.write(head.encode() + b"\r\n" + data)
        await writer.drain()
        line, headers = await read_head(reader)
        body = await read_body(reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), (mp.unpack(body) if body else None)
