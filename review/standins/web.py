"""A small HTTP/1.1 server and client with MessagePack bodies, on asyncio and loopback."""
import asyncio

import mp


class Hang(Exception):
    """Raised by a handler to leave the request unanswered and the connection open."""


class Drop(Exception):
    """Raised by a handler to close the connection without an answer."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            n = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(n + 2)
            if n == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def serve(handler, port=0):
    """Serves `handler(method, path, query, body) -> (status, value or None)`."""

    async def connection(reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                raw = await read_body(reader, headers)
                path, _, q = target.partition("?")
                query = dict(p.partition("=")[::2] for p in q.split("&") if p)
                try:
                    body = mp.unpack(raw) if raw else None
                    status, value = await handler(method, path, query, body)
                except Hang:
                    await asyncio.sleep(3600)
                    return
                data = b"" if value is None else mp.pack(value)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/msgpack\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (Drop, ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, "127.0.0.1", port, limit=1 << 20, backlog=512)


def port_of(server):
    return server.sockets[0].getsockname()[1]


class Client:
    """A keep-alive connection to one address."""

    def __init__(self, addr):
        self.host, port = addr.rsplit(":", 1)
        self.port = int(port)
        self.conn = None

    def close(self):
        if self.conn:
            self.conn[1].close()
        self.conn = None

    async def call(self, method, path, body=None, timeout=2.0):
        """Returns (status, value, headers); raises on a failed connection or a timeout."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except BaseException:
            self.close()
            raise

    async def _call(self, method, path, body):
        fresh = self.conn is None
        if fresh:
            self.conn = await asyncio.open_connection(self.host, self.port, limit=1 << 20)
        reader, writer = self.conn
        data = b"" if body is None else mp.pack(body)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
            f"Content-Type: application/msgpack\r\nContent-Length: {len(data)}\r\n\r\n".encode()
            + data)
        await writer.drain()
        first, headers = await read_head(reader)
        raw = await read_body(reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.close()
        try:
            value = mp.unpack(raw) if raw else None
        except ValueError:
            value = None
        return int(first.split(" ")[1]), value, headers
