"""Stand-in of the state service, by PROTOCOL "Controller nodes -> state service".

It listens on one port for each controller, so that a fault can hit one controller alone."""
import asyncio
import json
import random
import time

import web

KEPT_CHANGES = 10_000


def json_bytes(v):
    return len(json.dumps(v, separators=(",", ":"), ensure_ascii=False).encode())


class Bucket:
    def __init__(self, rate, burst_s=1.0):
        self.rate, self.burst = rate, rate * burst_s
        self.left, self.at = self.burst, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.left = min(self.burst, self.left + (now - self.at) * self.rate)
        self.at = now
        if self.left < n:
            return False
        self.left -= n
        return True


class Kv:
    def __init__(self, limits, log, latency=0.003):
        self.limits = dict(limits)  # rps, write_rps, value_kb, txn_ops
        self.log, self.latency = log, latency
        self.epoch, self.keys, self.changes = 0, {}, []
        self.compacted = 0
        self.leases, self.next_lease = {}, 1
        self.requests = Bucket(self.limits["rps"])
        self.writes = Bucket(self.limits["write_rps"])
        self.changed = asyncio.Event()
        self.outage = False
        self.refused = set()  # controllers that get 503
        self.fault = None  # async function(controller, method, path, query, body): an answer, or None to go on
        self.on_commit = None
        self.refusals = {}

    def lower_limits(self, **new):
        self.limits.update(new)
        self.writes = Bucket(self.limits["write_rps"])

    async def start(self, names):
        self.servers, self.ports = [], {}
        for name in names:
            server = await web.serve(self._handler(name))
            self.servers.append(server)
            self.ports[name] = web.port_of(server)
        self.ticker = asyncio.ensure_future(self._tick())

    async def _tick(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for hold, (life, until) in list(self.leases.items()):
                if now > until + 0.02:
                    self._end_lease(hold)

    def end_outage(self):
        self.outage = False
        now = time.monotonic()
        for hold, (life, _) in list(self.leases.items()):
            self.leases[hold] = (life, now + life)

    def _end_lease(self, hold):
        self.leases.pop(hold, None)
        gone = [k for k, e in self.keys.items() if e["hold"] == hold]
        if gone:
            self.epoch += 1
            for k in gone:
                del self.keys[k]
                self._change({"remove": k, "stamp": self.epoch})

    def _change(self, event):
        self.changes.append(event)
        if len(self.changes) > KEPT_CHANGES:
            self.compacted = self.changes.pop(0)["stamp"]
        self.changed.set()
        self.changed = asyncio.Event()

    def _handler(self, name):
        async def handle(method, path, query, body):
            if path != "/watch":
                await asyncio.sleep(self.latency * random.uniform(0.5, 1.5))
            if self.outage or name in self.refused:
                return 503, {"error": "trouble"}
            if not self.requests.take(1):
                return 429, None
            if self.fault:
                answer = await self.fault(name, method, path, query, body)
                if answer is not None:
                    return answer
            if path == "/watch":
                return await self.watch(name, query)
            return self.execute(name, method, path, query, body)
        return handle

    async def watch(self, name, query):
        prefix, since = query.get("prefix", ""), int(query.get("from", 0))
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 60_000) / 1000
        while True:
            blocked = self.outage or name in self.refused
            if not blocked:
                if since < self.compacted:
                    return 410, None
                log = []
                for e in reversed(self.changes):
                    if e["stamp"] <= since:
                        break
                    if (e.get("set") or e.get("remove")).startswith(prefix):
                        log.append(e)
                if log or time.monotonic() >= until:
                    return 200, {"epoch": self.epoch, "log": log[::-1]}
            event = self.changed
            try:
                wait = until - time.monotonic()
                await asyncio.wait_for(event.wait(), 0.05 if blocked else max(0.001, wait))
            except asyncio.TimeoutError:
                pass

    def execute(self, name, method, path, query, body):
        if method == "POST" and path == "/commit":
            status, value = self.commit(body)
            if status not in (200, 409):
                n = self.refusals[status] = self.refusals.get(status, 0) + 1
                if n <= 20 or n % 100 == 0:
                    sizes = {w.get("set", w.get("remove")): json_bytes(w["v"]) if "set" in w else 0
                             for w in body.get("writes", [])}
                    self.log(f"state service: {status} to a transaction of {name}, value bytes {sizes}"
                             f" ({n} such answers)")
            elif status == 200 and self.on_commit:
                self.on_commit(name, body, value["epoch"])
            return status, value
        if method == "GET" and path == "/keys":
            return 200, self.page(query)
        if method == "GET" and path == "/watch":
            raise web.Drop  # watches are answered by watch()
        if method == "GET" and path.startswith("/keys/"):
            e = self.keys.get(path[6:])
            if e is None:
                return 404, {"epoch": self.epoch}
            return 200, {"key": path[6:], "v": e["v"], "stamp": e["stamp"], "hold": e["hold"]}
        if path == "/grants" and method == "POST":
            life, hold = body["life_ms"] / 1000, self.next_lease
            self.next_lease += 1
            self.leases[hold] = (life, time.monotonic() + life)
            return 200, {"hold": hold}
        if path.startswith("/grants/"):
            hold = int(path.split("/")[2])
            if hold not in self.leases:
                return 404, None
            if method == "DELETE":
                self._end_lease(hold)
            else:
                life = self.leases[hold][0]
                self.leases[hold] = (life, time.monotonic() + life)
            return 200, None
        return 400, None

    def page(self, query):
        prefix, after = query.get("prefix", ""), query.get("from", "")
        most = min(int(query.get("most", 1000)), 1000)
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        entries, size = [], 0
        for k in names[:most]:
            e = {"key": k, "v": self.keys[k]["v"], "stamp": self.keys[k]["stamp"]}
            size += json_bytes(e)
            if size > 500 * 1024:
                break
            entries.append(e)
        return {"entries": entries, "more": len(entries) < len(names), "epoch": self.epoch}

    def commit(self, body):
        when, writes = body.get("when", []), body.get("writes", [])
        ops = self.limits["txn_ops"]
        if len(writes) > ops or len(when) > 4 * ops or json_bytes(body) > 64 * 1024:
            return 400, {"error": "transaction too large"}
        for w in writes:
            key = w.get("set", w.get("remove"))
            if not key or len(key) > 200 or " " in key:
                return 400, {"error": "malformed"}
            if "set" in w:
                if json_bytes(w["v"]) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                if w.get("hold") is not None and w["hold"] not in self.leases:
                    return 400, {"error": "no such lease"}
        if writes and not self.writes.take(len(writes)):
            return 429, None
        failed = [c["key"] for c in when
                  if (self.keys[c["key"]]["stamp"] if c["key"] in self.keys else 0) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
        for w in writes:
            if "set" in w:
                self.keys[w["set"]] = {"v": w["v"], "stamp": self.epoch, "hold": w.get("hold")}
                self._change({"set": w["set"], "v": w["v"], "stamp": self.epoch})
            elif self.keys.pop(w["remove"], None) is not None:
                self._change({"remove": w["remove"], "stamp": self.epoch})
        return 200, {"epoch": self.epoch}
