"""The state service lowers its limits while a wide array has many separate ranges of ended tasks."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import kv  # noqa: E402
import world  # noqa: E402

NEXT = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}
WIDE, LATER = "job-000001", "job-000002"
WAIT_S = 90.0


async def case(trouble):
    w = world.World(HERE, next_limits=NEXT, seed=1)
    # Every other task of the wide array is short. Of the rest a quarter ends within half a minute.
    def duration(job, piece):
        i = int(piece.split("/")[1])
        if job["uid"] != WIDE:
            return job["guess_s"]
        return 2.0 if i % 2 else 8.0 + i // 8 % 20 if i % 8 == 0 else 150.0
    w.durations = duration
    try:
        await w.begin()
        await w.submit(w.job(WIDE, pieces=480, guess_s=20.0))
        # The limits fall once the record of the array is larger than the new limit.
        size = lambda: kv.json_bytes(w.kv.keys.get(f"ph/job/{WIDE}", {"v": 0})["v"])
        while size() < 2450 and w.now() < 20:
            await asyncio.sleep(0.2)
        w.log(f"the record of {WIDE} has {size()} bytes, {len(w.completed)} tasks have completed")
        if size() < 2450:
            raise RuntimeError("the record stayed small")
        if trouble:
            w.kv.lower_limits(**NEXT)
            w.log(f"trouble: the state service lowers its limits to {NEXT}")
        await asyncio.sleep(6)
        await w.submit(w.job(LATER, pieces=4, guess_s=5.0))
        submitted = w.now()
        started, room = None, True
        while w.now() < submitted + WAIT_S + 1:
            await asyncio.sleep(1)
            if w.running(LATER) and started is None:
                started = w.now()
            room = room and any(m.has_room(w.jobs[LATER]) for m in w.machines.values())
            if int(w.now()) % 5 == 0:
                await w.poll(LATER)
                await w.poll(WIDE)
            if "done" in w.told[LATER]:
                break
        w.log(f"{LATER}: first start {started}, told {w.told.get(LATER)}; {WIDE}: told"
              f" {w.told.get(WIDE)}, {sum(p.startswith(WIDE) for p in w.completed)} of 480 completed;"
              f" a machine had room all the time: {room}; answers of the state service {w.kv.refusals}")
        done, told = sum(p.startswith(WIDE) for p in w.completed), (await w.poll_counts(WIDE))
        print(f"{LATER} started: {started}; of {WIDE} {done} tasks have completed, users are told"
              f" {told}; a machine had room all the time: {room}; rules {w.violations}")
        return not w.violations and (started is not None or not room)
    finally:
        w.end()


world.main(case)
