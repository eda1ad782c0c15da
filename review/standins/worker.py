"""Stand-ins of workers, by PROTOCOL "Workers -> controller nodes", "Controller nodes -> workers" and
"Gangs"; and the record of what is on which machine, by "How aims are counted"."""
import asyncio
import random
import time

import web


class Task:
    def __init__(self, piece, attempt, state, cause=None):
        self.piece, self.attempt, self.state, self.cause = piece, attempt, state, cause
        self.stored = None
        self.on = False  # has its image and has not exited
        self.timer = None
        self.since = 0.0

    def report(self):
        r = {"piece": self.piece, "try": self.attempt, "status": self.state}
        if self.cause:
            r["cause"] = self.cause
        if self.stored:
            r["stored"] = True
        return r


class Worker:
    """One machine. `world` has: settings, jobs, log, controllers, run_s, place (see world.py)."""

    def __init__(self, world, name, kind, zone, spot):
        self.world, self.name, self.zone, self.spot = world, name, zone, spot
        self.kind = kind  # flavor
        self.shift, self.tally, self.baton = 1, 0, 0
        self.tasks, self.images, self.fetching = {}, set(), {}
        self.renewed = time.monotonic()
        self.gone = False
        self.hung = False
        self.sick = False
        self.deaf = False   # answers and direct commands are lost
        self.mute = False   # reaches no controller
        self.cut = set()    # controllers that this worker does not reach
        self.reach = {}     # controller -> last 200
        self.changed = asyncio.Event()
        self.baton_told = 0.0

    async def start(self):
        self.server = await web.serve(self.direct)
        self.endpoint = f"127.0.0.1:{web.port_of(self.server)}"
        self.loops = [asyncio.ensure_future(self.report_loop()),
                      asyncio.ensure_future(self.lease_loop())]

    def stop(self):
        """The machine and everything on it is gone."""
        self.gone = True
        for t in list(self.tasks.values()):
            self.leave(t, "machine gone")
        self.tasks.clear()
        self.server.close()
        for loop in self.loops:
            loop.cancel()

    # reports

    def body(self):
        self.tally += 1
        return {"host": self.name, "endpoint": self.endpoint, "rig": self.kind["sku"],
                "yard": self.zone, "loaners": self.spot, "shift": self.shift,
                "tally": self.tally, "baton": self.baton, "warning_s": None,
                "pieces": [t.report() for t in self.tasks.values()]}

    def changes(self):
        self.changed.set()

    def raise_baton(self, baton):
        if baton > self.baton:
            self.baton = baton
            now = time.monotonic()
            if now - self.baton_told >= self.world.workers["lease_s"] / 2:
                self.baton_told = now
                self.changes()

    async def unhung(self):
        while self.hung:
            await asyncio.sleep(0.02)

    async def report_loop(self):
        names = list(self.world.controllers)
        at = random.randrange(len(names))
        client = web.Client(self.world.controllers[names[at]])
        report_s = self.world.workers["report_s"]
        while True:
            await self.unhung()
            sent, shift = time.monotonic(), self.shift
            self.changed.clear()
            follow = None
            try:
                if self.mute or names[at] in self.cut:
                    await asyncio.sleep(0.3)
                    raise ConnectionError
                status, value, _ = await client.call("POST", "/v1/report", self.body(), 4.0)
                if self.hung or self.deaf:
                    raise asyncio.TimeoutError
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status, value = 0, None
                client.close()
                if self.deaf:
                    await asyncio.sleep(max(0, sent + 4 - time.monotonic()))
            if status == 200:
                self.answered(value or {}, sent, shift, names[at])
                wait = report_s * random.uniform(0.75, 1.25)
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                    await asyncio.sleep(max(0, sent + 0.5 - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
                continue
            client.close()
            foreman = (value or {}).get("foreman") if status == 421 else None
            if foreman in names and names.index(foreman) != at:
                at = names.index(foreman)
                await asyncio.sleep(random.uniform(0, 0.5))
            else:
                at = (at + 1) % len(names)
                await asyncio.sleep(1)
            client = web.Client(self.world.controllers[names[at]])

    def answered(self, value, sent, shift, controller):
        baton = value.get("baton")
        if shift != self.shift or baton is None or baton < self.baton:
            return
        self.raise_baton(baton)
        self.renewed = sent
        self.reach[controller] = sent
        self.execute(value.get("orders") or [], f"answer of {controller}")

    async def lease_loop(self):
        while True:
            await asyncio.sleep(0.02)
            # A hanging machine may resume within its lease; after that its tasks are gone too.
            if time.monotonic() > self.renewed + self.world.workers["lease_s"]:
                if self.tasks:
                    self.world.log(f"{self.name}: lease over, session {self.shift} ends with"
                                   f" {[t.piece for t in self.tasks.values() if t.state != 'exited']}")
                for t in list(self.tasks.values()):
                    self.leave(t, "lease over")
                self.tasks.clear()
                self.fetching.clear()
                self.shift += 1
                self.renewed = time.monotonic()
                self.changes()

    # direct commands

    async def direct(self, method, path, query, body):
        await self.unhung()
        if self.deaf:
            raise web.Hang
        if path == "/status":
            return 200, self.body()
        if path != "/commands":
            return 404, None
        if not body or body.get("baton") is None or body.get("shift") is None:
            return 400, None
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.body()
        self.raise_baton(body["baton"])
        self.execute(body.get("orders") or [], "direct command")
        return 200, self.body()

    # tasks

    def execute(self, orders, via):
        for o in orders:
            key = (o["piece"], o["try"])
            if o["verb"] == "start":
                if key not in self.tasks:
                    self.start_task(*key, via)
            elif o["verb"] == "stop":
                t = self.tasks.get(key)
                if t and t.state != "exited":
                    self.stop_task(t, o.get("wind_down_s", 0))
            elif o["verb"] == "reap":
                t = self.tasks.get(key)
                if t and t.state == "exited":
                    del self.tasks[key]
                    self.changes()

    def start_task(self, piece, attempt, via):
        uid, _, number = piece.partition("/")
        job = self.world.jobs.get(uid)
        cause = None
        if job is None or not number.isdigit() or int(number) >= job["pieces"]:
            cause = "unknown"
        elif any(t.piece == piece and t.state != "exited" for t in self.tasks.values()):
            cause = "busy"
        elif not self.has_room(job):
            cause = "full"
        t = Task(piece, attempt, "exited" if cause else "pulling", cause)
        self.tasks[(piece, attempt)] = t
        self.world.log(f"{self.name}: start {piece} try {attempt} by {via}"
                       + (f": refused, {cause}" if cause else ""))
        self.changes()
        if not cause:
            t.timer = asyncio.ensure_future(self.run(t, job))

    def has_room(self, job):
        for field in ("vcpus", "gpus", "mem_gb"):
            used = sum(self.world.jobs[t.piece.split("/")[0]][field]
                       for t in self.tasks.values() if t.state != "exited")
            if used + job[field] > self.kind[field] + 1e-6:
                return False
        return True

    async def nap(self, s):
        """Sleeps for `s` seconds of the machine's own time: a hanging machine stands still."""
        while s > 0:
            before = time.monotonic()
            await asyncio.sleep(min(s, 0.1))
            if not self.hung:
                s -= time.monotonic() - before

    async def run(self, t, job):
        world = self.world
        kit = job["kit"]
        if kit not in self.images:
            until = self.fetching.setdefault(
                kit, time.monotonic() + job["size_gb"] / self.kind["pull_gb_per_s"])
            await self.nap(max(0, until - time.monotonic()))
            self.images.add(kit)
        uid = job["uid"]
        t.on = True
        world.place(self, t, job)
        if world.results.get(t.piece):
            return self.exit(t, "done")
        if job["shape"] == "group" and job["pieces"] > 1:
            t.state, t.since = "gathering", time.monotonic()
            self.changes()
            gang = world.gangs.setdefault((uid, t.attempt), {})
            gang[t.piece] = (self, t)
            wait = world.workers["gang_wait_s"]
            while t.state == "gathering":
                if len(gang) == job["pieces"]:
                    for w, m in gang.values():
                        m.state = "running"
                        w.changes()
                    break
                if time.monotonic() - t.since > wait:
                    gang.pop(t.piece, None)
                    return self.exit(t, "alone")
                await self.nap(0.05)
        t.state = "running"
        self.changes()
        fails = self.sick or world.broken(job)
        if fails:
            await self.nap(0.5)
            return self.exit(t, "error")
        left = world.run_s(job, t.piece)
        if left is None:  # a service
            await self.nap(1e9)
        saved = world.saved.get(uid if job["shape"] == "group" else t.piece, 0.0)
        t.progress0, t.began = saved, time.monotonic()
        await self.nap(max(0, left - saved))
        self.exit(t, "done")
        if job["shape"] == "group" and job["pieces"] > 1:
            for w, m in list(world.gangs.get((uid, t.attempt), {}).values()):
                if m.state != "exited":
                    w.exit(m, "done")

    def stop_task(self, t, wind_down):
        job = self.world.jobs[t.piece.split("/")[0]]
        if t.state == "flushing":
            if wind_down == 0:
                self.exit(t, "halted")
            return
        saves = (job["snapshot_s"] > 0 and t.state == "running" and wind_down >= job["flush_s"]
                 and job["shape"] != "group" and hasattr(t, "began"))
        if not saves:
            return self.exit(t, "halted")
        progress = t.progress0 + time.monotonic() - t.began
        t.timer.cancel()
        t.state = "flushing"
        self.changes()

        async def flush():
            await self.nap(job["flush_s"])
            self.world.saved[t.piece] = progress
            t.stored = True
            self.exit(t, "halted")
        t.timer = asyncio.ensure_future(flush())

    def exit(self, t, cause):
        if t.state == "exited":
            return
        self.leave(t, cause)
        t.state, t.cause = "exited", cause
        if cause == "done":
            self.world.results[t.piece] = True
        self.changes()

    def leave(self, t, why):
        if t.timer and t.timer is not asyncio.current_task():
            t.timer.cancel()
        if t.on:
            t.on = False
            self.world.unplace(self, t, why)
        uid = t.piece.split("/")[0]
        gang = self.world.gangs.get((uid, t.attempt))
        if gang and t.piece in gang:
            was_running = t.state == "running"
            del gang[t.piece]
            if was_running and why != "done":
                peer_s = self.world.workers["gang_peer_s"]
                for w, m in list(gang.values()):
                    if m.state == "running":
                        asyncio.get_event_loop().call_later(
                            random.uniform(0.5, 0.9) * peer_s,
                            lambda w=w, m=m: m.state == "running" and w.exit(m, "mates_gone"))
