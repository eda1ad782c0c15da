"""A small deployment on loopback: stand-ins, controllers as processes, users, and the rules.

A case makes a `World`, starts it, submits jobs, brings its trouble and judges what users, workers
and the platform can see. All that is sent, answered and run goes to record.txt."""
import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
import cloud  # noqa: E402
import kv  # noqa: E402
import web  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

FORGE = {"sku": "forge-node", "vcpus": 24.0, "gpus": 2.0, "mem_gb": 96.0, "local_gb": 120.0,
         "pull_gb_per_s": 5.0, "hourly": 6.27, "low_price": 1.5, "startup_s": 3.0,
         "yards": ["duluth", "toledo"]}

TEAMS = [("intake", 8, 16), ("prepress", 16, 30), ("resin-floor", 10, 30), ("powder-floor", 16, 40),
         ("finishing", 16, 48), ("accounts", 16, 32)]


STARTED = []  # all processes that this one started


def free_port():
    """A free port below those that the system gives to outgoing connections."""
    draw = random.SystemRandom()
    for _ in range(1000):
        port = draw.randrange(20000, 32000)
        with socket.socket() as s:
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


def run_command():
    for line in (ROOT / "deploy/service.toml").read_text().splitlines():
        if line.startswith("run"):
            return line.split("=", 1)[1].strip().strip('"').split()
    raise SystemExit(2)


class World:
    def __init__(self, folder, site="lakeshore", nodes=3, capacity=None, workers=None, state=None,
                 next_limits=None, flavors=None, boot_s=2.0, list_lag_s=1.0, cloud_rps=4.0,
                 teams=None, seed=None):
        self.random = random.Random(seed)
        self.record = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.monotonic()
        self.workers = dict(report_s=3.0, lease_s=30.0, gang_wait_s=35.0, gang_peer_s=8.0,
                            cancel_s=55.0)
        self.workers.update(workers or {})
        self.state = dict(rps=250.0, write_rps=20.0, value_kb=8.0, txn_ops=12)
        self.state.update(state or {})
        self.next_limits, self.nodes = next_limits, nodes
        self.zones = ["duluth", "toledo"]
        self.teams = TEAMS if teams is None else teams
        self.jobs, self.results, self.saved, self.gangs = {}, {}, {}, {}
        self.machines, self.on = {}, {}
        self.told = {}          # uid -> {"accepted": t, "done": t, "aborted": t}
        self.asked_cancel = {}
        self.broken_jobs = set()
        self.violations = []
        self.completed = {}     # piece -> time of its completion
        self.placed_log = []
        self.kv = kv.Kv(self.state, self.log)
        capacity = capacity or {("forge-node", "duluth", False): 10, ("forge-node", "duluth", True): 10,
                                ("forge-node", "toledo", False): 12, ("forge-node", "toledo", True): 16}
        self.cloud = cloud.Cloud(self, flavors or [FORGE], capacity, cloud_rps, list_lag_s, boot_s)
        self.cloud_rps, self.list_lag_s = cloud_rps, list_lag_s
        self.controllers, self.peers, self.processes = {}, {}, {}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="pointhook-review-"))
        self.durations = lambda job, piece: job["guess_s"]

    def now(self):
        return time.monotonic() - self.began

    def log(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")

    def violation(self, rule, text):
        self.violations.append((self.now(), rule, text))
        self.log(f"RULE {rule}: {text}")

    # what workers call

    def run_s(self, job, piece):
        return None if job["shape"] == "service" else self.durations(job, piece)

    def broken(self, job):
        return job["uid"] in self.broken_jobs

    def place(self, w, t, job):
        uid = job["uid"]
        others = [m for m in self.on.get(t.piece, {}) if m != w.name]
        self.log(f"{w.name}: {t.piece} try {t.attempt} is on the machine")
        if others:
            self.violation("ran_twice", f"{t.piece} starts on {w.name} while on {others}")
        self.on.setdefault(t.piece, {})[w.name] = (t.attempt, time.monotonic())
        cancelled = self.told.get(uid, {}).get("aborted")
        if cancelled is not None and self.now() > cancelled + self.workers["cancel_s"]:
            self.violation("ran_cancelled", f"{t.piece} starts {self.now() - cancelled:.1f} s after")
        elif cancelled is not None:
            self.log(f"note: {t.piece} starts {self.now() - cancelled:.1f} s after its cancellation")
        zones = {}
        for p, ms in self.on.items():
            if p.startswith(uid + "/"):
                for m in ms:
                    z = self.machines[m].zone if m in self.machines else w.zone
                    zones[z] = zones.get(z, 0) + 1
        if (job["yard"] and w.zone != job["yard"] or w.spot and not job["loaners"]
                or job["rigs"] and w.kind["sku"] not in job["rigs"]
                or job["same_place"] and len(zones) > 1
                or job["scatter"] and zones[w.zone] > (job["pieces"] + 1) // 2):
            self.violation("wrong_place", f"{t.piece} on {w.name} in {w.zone}, zones {zones}")
        limit = {n: m for n, _, m in self.teams}.get(job["crew"], 0)
        if limit:
            used = sum(self.jobs[p.split("/")[0]]["gpus"] * len(ms) for p, ms in self.on.items()
                       if self.jobs[p.split("/")[0]]["crew"] == job["crew"])
            if used > limit + 1e-6:
                self.violation("quota", f"{job['crew']} uses {used} GPUs of {limit}")
        for need in job.get("awaits") or []:
            if "done" not in self.told.get(need, {}) and not self.finished(need):
                self.violation("too_early", f"{t.piece} starts before {need} is done")

    def unplace(self, w, t, why):
        self.on.get(t.piece, {}).pop(w.name, None)
        self.log(f"{w.name}: {t.piece} try {t.attempt} ends, {why}")
        if why == "done":
            self.completed.setdefault(t.piece, self.now())
            if self.jobs[t.piece.split("/")[0]]["shape"] == "group":
                uid = t.piece.split("/")[0]
                for i in range(self.jobs[uid]["pieces"]):
                    self.completed.setdefault(f"{uid}/{i}", self.now())

    def finished(self, uid):
        """True once all tasks of the job have completed."""
        return all(f"{uid}/{i}" in self.completed for i in range(self.jobs[uid]["pieces"]))

    def running(self, uid):
        return sorted(p for p, ms in self.on.items() if ms and p.split("/")[0] == uid)

    # processes

    async def start(self):
        names = [f"stoker-{i}" for i in range(self.nodes)]
        await self.kv.start(names)
        await self.cloud.start()
        for n in names:
            self.controllers[n] = f"127.0.0.1:{free_port()}"
            self.peers[n] = f"127.0.0.1:{free_port()}"
        self.peer_view = {}     # (from, to) -> address, for proxies
        for i, n in enumerate(names):
            self.write_settings(i, n, names)

    def write_settings(self, i, n, names):
        t = [f'node = "{n}"', f'domain = "{self.zones[i % 2]}"', f'bind = "{self.controllers[n]}"',
             f'cluster_listen = "{self.peers[n]}"']
        for j, m in enumerate(names):
            if m != n:
                addr = self.peer_view.get((n, m), self.peers[m])
                t += ["[[siblings]]", f'node = "{m}"', f'domain = "{self.zones[j % 2]}"',
                      f'addr = "{addr}"']
        t += ["[outside]", f'cloud = "{self.cloud.addr}"',
              f'state = "127.0.0.1:{self.kv.ports[n]}"', "[settings]", f"nodes = {len(names)}",
              'zones = ["duluth", "toledo"]', "skew_ms = 1000.0"]
        for name, low, most in self.teams:
            t += ["[[settings.teams]]", f'name = "{name}"', "cpus = 0.0", "cpus_max = 0.0",
                  f"gpus = {low:.1f}", f"gpus_max = {most:.1f}"]
        t += ["[settings.workers]"] + [f"{k} = {v}" for k, v in self.workers.items()]
        t += ["[settings.state]"] + [f"{k} = {v}" for k, v in self.state.items()]
        if self.next_limits:
            t += ["[settings.state.next]"] + [f"{k} = {v}" for k, v in self.next_limits.items()]
        t += ["[settings.cloud]", f"rps = {self.cloud_rps}", f"list_lag_s = {self.list_lag_s}",
              "[settings.machine_limits]", "cpu = 0.064", "mem_mb = 72.0", "max_connections = 1200"]
        (self.folder / f"{n}.toml").write_text("\n".join(t) + "\n")

    def spawn(self, n):
        log = open(self.folder / f"{n}.log", "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[n] = subprocess.Popen(run_command() + [str(self.folder / f"{n}.toml")],
                                             cwd=ROOT, stderr=log, stdout=log, env=env)
        STARTED.append(self.processes[n])
        self.log(f"platform: {n} started")

    def kill(self, n):
        self.processes[n].kill()
        self.processes[n].wait()
        self.log(f"platform: {n} killed")

    def pause(self, n):
        self.processes[n].send_signal(signal.SIGSTOP)
        self.log(f"platform: {n} stands still")

    def resume(self, n):
        self.processes[n].send_signal(signal.SIGCONT)
        self.log(f"platform: {n} goes on")

    async def healthy(self, n):
        try:
            return (await web.Client(self.controllers[n]).call("GET", "/up", None, 1.0))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def begin(self):
        await self.start()
        for n in self.controllers:
            self.spawn(n)
        until = time.monotonic() + 20
        while not all([await self.healthy(n) for n in self.controllers]):
            if time.monotonic() > until:
                raise RuntimeError("controllers did not become healthy")
            await asyncio.sleep(0.2)

    def end(self):
        for p in self.processes.values():
            if p.poll() is None:
                p.kill()
                p.wait()
        for n in self.processes:
            lines = (self.folder / f"{n}.log").read_text(errors="replace").splitlines()
            keep = lines if len(lines) < 60 else lines[:30] + ["..."] + lines[-30:]
            self.record.write(f"--- log of {n}\n" + "\n".join(x[:300] for x in keep) + "\n")
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()

    # users

    def job(self, uid, **fields):
        j = {"uid": uid, "jobline": "support-gen", "crew": "intake", "shape": "sweep",
             "rank": "normal", "pieces": 1, "vcpus": 1.0, "gpus": 0.0, "mem_gb": 3.2,
             "kit": "img-01", "size_gb": 1.0, "rigs": None, "yard": None, "same_place": False,
             "scatter": False, "loaners": False, "guess_s": 10.0, "snapshot_s": 0.0,
             "flush_s": 0.0, "due_s": None}
        j.update(fields)
        return j

    async def ask(self, method, path, body=None, timeout=5.0, node=None):
        """One request to a healthy node; the status, or 0 without an answer."""
        nodes = [node] if node else [n for n in self.controllers
                                     if self.processes[n].poll() is None]
        if not nodes:
            return 0, None, {}
        node = self.random.choice(nodes)
        client = web.Client(self.controllers[node])
        try:
            status, value, headers = await client.call(method, path, body, timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, value, headers = 0, None, {}
        client.close()
        self.log(f"user: {method} {path} at {node}: {status or 'no answer'} {value or ''}")
        return status, value, headers

    def heard(self, uid, value):
        told = self.told.setdefault(uid, {})
        s = (value or {}).get("status")
        told.setdefault("accepted", self.now())
        final = {"done", "aborted"} & set(told)
        if s in ("done", "aborted"):
            told.setdefault(s, self.now())
        if final and s not in final:
            self.violation("went_back", f"{uid} was {final}, is called {s}")
        if s == "done" and not self.finished(uid):
            self.violation("not_done", f"{uid} called done, {len(self.completed)} completed")
        if s == "aborted" and uid not in self.asked_cancel and not (self.jobs[uid].get("awaits")):
            self.violation("went_back", f"{uid} called cancelled, nobody asked")

    async def insist(self, method, path, body=None, for_s=60.0, timeout=5.0):
        """Repeats a request as users do, until an answer that ends it."""
        until = time.monotonic() + for_s
        while True:
            status, value, headers = await self.ask(method, path, body, timeout)
            if status in (200, 201, 400, 404, 422):
                return status, value
            wait = max(1.0, min(30.0, float(headers.get("retry-after", 0) or 0)))
            if time.monotonic() + wait > until:
                return status, value
            await asyncio.sleep(wait)

    async def submit(self, job):
        self.jobs[job["uid"]] = job
        status, value = await self.insist("POST", "/v1/jobs", job)
        if status in (200, 201):
            self.heard(job["uid"], value)
        elif "accepted" in self.told.get(job["uid"], {}) and status in (400, 422):
            self.violation("forgotten", f"repeated submission of {job['uid']} got {status}")
        return status

    async def poll(self, uid, node=None):
        status, value, _ = await self.ask("GET", f"/v1/jobs/{uid}", None, 2.0, node)
        if status == 200:
            self.heard(uid, value)
        elif status == 404 and "accepted" in self.told.get(uid, {}):
            self.violation("forgotten", f"{uid} got 404")
        return value.get("status") if status == 200 and value else None

    async def poll_counts(self, uid):
        """The answer's numbers of tasks done and running."""
        status, value, _ = await self.ask("GET", f"/v1/jobs/{uid}", None, 2.0)
        return (value or {}).get("done"), (value or {}).get("running")

    async def withdraw(self, uid, for_s=60.0):
        self.asked_cancel[uid] = self.now()
        status, value = await self.insist("POST", f"/v1/jobs/{uid}/withdraw", {}, for_s)
        if status == 200:
            self.heard(uid, value)
        return status, value


def main(case, limit_s=118):
    """Runs `await case(trouble)`; it returns True if the rule held. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    def terminated(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, terminated)
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    task = loop.create_task(case(trouble))
    code, text = 2, f"the case could not run: not at its end after {limit_s} s"
    try:
        loop.run_until_complete(asyncio.wait({task}, timeout=limit_s))
        if task.done():
            held = task.result()
            code, text = (0, "the rule held") if held else (1, "the rule was broken")
    except BaseException as e:  # noqa: BLE001
        text = f"the case could not run: {type(e).__name__}: {e}"
    if not task.done():
        task.cancel()
        loop.run_until_complete(asyncio.wait({task}, timeout=1))
    for p in STARTED:
        if p.poll() is None:
            p.kill()
            p.wait()
    print(text, flush=True)
    # The stand-ins' own tasks end with the process: cancelling hundreds one by one may hang.
    os._exit(code)
