"""Stand-in of the cloud, by PROTOCOL "Controller nodes -> cloud"."""
import asyncio
import time

import kv
import web
import worker


class Cloud:
    def __init__(self, world, flavors, capacity, rps, list_lag_s, boot_s):
        self.world, self.flavors, self.capacity = world, flavors, dict(capacity)
        self.list_lag_s, self.boot_s = list_lag_s, boot_s
        self.bucket = kv.Bucket(rps, 2.0)
        self.machines, self.bookings, self.count = {}, {}, 0
        self.history = [(0.0, [])]
        self.down = False

    async def start(self):
        self.server = await web.serve(self.handle)
        self.addr = f"127.0.0.1:{web.port_of(self.server)}"
        self.ticker = asyncio.ensure_future(self.tick())

    async def tick(self):
        while True:
            self.snapshot()
            await asyncio.sleep(0.25)

    def snapshot(self):
        now = time.monotonic()
        self.history.append((now, [dict(uid=n, endpoint=m["endpoint"], rig=m["rig"], yard=m["yard"],
                                        loaners=m["loaners"], status=m["status"],
                                        held_s=now - m["at"]) for n, m in self.machines.items()]))
        while len(self.history) > 2 and self.history[1][0] < now - self.list_lag_s:
            self.history.pop(0)

    async def handle(self, method, path, query, body):
        await asyncio.sleep(0.02)
        if not self.bucket.take(1):
            return 429, None
        if self.down:
            return 503, {"error": "trouble"}
        if (method, path) == ("GET", "/flavors"):
            return 200, {"rigs": self.flavors}
        if (method, path) == ("GET", "/hosts"):
            after, most = query.get("from", ""), int(query.get("most", 500))
            rows = sorted((m for m in self.history[0][1] if m["uid"] > after), key=lambda m: m["uid"])
            return 200, {"hosts": rows[:most], "more": len(rows) > most}
        if (method, path) == ("POST", "/hosts"):
            return self.rent(body)
        if (method, path) == ("POST", "/hosts/release"):
            for n in body["hosts"]:
                await self.remove(n, "deleted by request")
            return 200, None
        return 400, None

    def rent(self, b):
        if b["booking"] in self.bookings:
            return 200, {"hosts": self.bookings[b["booking"]]}
        pool = (b["rig"], b["yard"], b["loaners"])
        used = sum((m["rig"], m["yard"], m["loaners"]) == pool for m in self.machines.values())
        n = min(b["count"], max(0, self.capacity.get(pool, 0) - used))
        if n == 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(n):
            name = f"n-{self.count:06}"
            self.count += 1
            names.append(name)
            self.machines[name] = dict(endpoint="", rig=b["rig"], yard=b["yard"],
                                       loaners=b["loaners"], status="booting",
                                       at=time.monotonic(), worker=None)
            asyncio.ensure_future(self.boot(name))
        self.bookings[b["booking"]] = names
        self.world.log(f"cloud: rented {names} {pool} for booking {b['booking']}")
        return 200, {"hosts": names}

    async def boot(self, name):
        await asyncio.sleep(self.boot_s)
        m = self.machines.get(name)
        if m is None:
            return
        kind = next(f for f in self.flavors if f["sku"] == m["rig"])
        w = worker.Worker(self.world, name, kind, m["yard"], m["loaners"])
        await w.start()
        if name not in self.machines:
            return w.stop()
        m.update(worker=w, endpoint=w.endpoint, status="running")
        self.world.machines[name] = w

    async def remove(self, name, why):
        m = self.machines.pop(name, None)
        if m:
            self.world.log(f"cloud: {name} is gone, {why}")
            self.world.machines.pop(name, None)
            if m["worker"]:
                m["worker"].stop()
