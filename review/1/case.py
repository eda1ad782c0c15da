"""The state service lowers its limits while a wide array has many separate ranges of ended tasks."""
import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import kv  # noqa: E402
import world  # noqa: E402

NEXT = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}
WIDE, LATER = "job-000001", ["job-000002", "job-000003", "job-000004"]
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
        while size() < 2250 and w.now() < 18:
            await asyncio.sleep(0.2)
        w.log(f"the record of {WIDE} has {size()} bytes, {len(w.completed)} tasks have completed")
        if size() < 2250:
            raise RuntimeError("the record stayed small")
        if trouble:
            w.kv.lower_limits(**NEXT)
            w.log(f"trouble: the state service lowers its limits to {NEXT}")
        submitted, started, room = {}, {}, True
        for uid, wait in zip(LATER, (6, 1.5, 1.5)):
            await asyncio.sleep(wait)
            await w.submit(w.job(uid, pieces=4, guess_s=5.0))
            submitted[uid] = w.now()
        while w.now() < submitted[LATER[-1]] + WAIT_S and len(started) < len(LATER):
            await asyncio.sleep(1)
            for uid in LATER:
                if uid not in started and (w.running(uid) or w.finished(uid)):
                    started[uid] = w.now()
            room = room and any(m.has_room(w.jobs[LATER[0]]) for m in w.machines.values())
            if int(w.now()) % 5 == 0:
                for uid in [WIDE] + LATER:
                    await w.poll(uid)
        left = [u for u in LATER if u not in started and w.now() >= submitted[u] + WAIT_S]
        done, told = sum(p.startswith(WIDE) for p in w.completed), await w.poll_counts(WIDE)
        text = (f"submitted {submitted}, started {started}, left waiting {left}; of {WIDE} {done} tasks"
                f" have completed, users are told (done, running) {told}; a machine had room all the"
                f" time: {room}; refusals {w.kv.refusals}; rules {w.violations}")
        w.log(text)
        print(text)
        return not w.violations and not (left and room)
    finally:
        w.end()


world.main(case)
