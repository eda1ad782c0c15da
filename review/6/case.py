"""Case 6: the state service lowers its limits; a wide gang that is accepted afterwards is never started."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
import world  # noqa: E402

NEXT = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0}
SETTINGS = {
    "zones": ["duluth", "toledo"],
    "teams": [{"name": "powder-floor", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 40.0}],
    "workers": {"report_s": 4.0, "lease_s": 30.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 55.0},
    "state": {"rps": 250.0, "write_rps": 20.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 2.0, "list_lag_s": 4.0},
    "machine_limits": {"cpu": 0.064, "mem_mb": 72.0, "max_connections": 1200},
}
RIGS = [{"sku": "forge-node", "vcpus": 24.0, "gpus": 2.0, "mem_gb": 96.0, "local_gb": 120.0, "pull_gb_per_s": 0.3,
         "hourly": 6.27, "low_price": 1.5, "startup_s": 3.0, "yards": ["duluth", "toledo"]}]
CAPACITY = {("forge-node", "duluth", False): 10, ("forge-node", "toledo", False): 12}
PIECES = 196
# Seconds that a job may wait, once the troubles are over, while machines that fit have room.
MAY_WAIT_S = 90.0
GANG = world.job("job-000002", jobline="layer-slicer", crew="powder-floor", shape="group", pieces=PIECES, vcpus=1.0,
                 mem_gb=3.2, kit="img-05", size_gb=0.3, guess_s=20.0, snapshot_s=20.0, flush_s=2.0)


def run_s(job, number):
    return 15.0


def free_places(w):
    """Tasks of the gang for which the machines have room, by the tasks that are really on them."""
    places = 0
    for worker in (m["worker"] for m in w.machines.values() if m.get("worker")):
        live = [t for t in worker.tasks.values() if t.state != "exited"]
        places += min(int((worker.rig[a] - sum(w.jobs[t.piece.split("/")[0]][a] for t in live)) / GANG[a])
                      for a in ("vcpus", "mem_gb"))
    return places


async def case(factory, record, trouble):
    settings = {**SETTINGS, "state": {**SETTINGS["state"], **({"next": NEXT} if trouble else {})}}
    w = factory(settings, RIGS, CAPACITY, run_s, boot_s=1.0)
    await w.begin([("stoker-0", "duluth"), ("stoker-1", "toledo"), ("stoker-2", "duluth")])
    if not await w.until_up() or not await w.submit(world.job("job-000001", crew="powder-floor")):
        return 2, "the controllers didn't come up"
    await asyncio.sleep(5.0)
    if trouble:
        w.state.value_kb, w.state.txn_ops = NEXT["value_kb"], NEXT["txn_ops"]
        w.state.writes.set_rate(NEXT["write_rps"])
        record(f"state: the limits are lowered to those of state.next: {NEXT}")
    if not await w.submit(GANG):
        return 2, "the gang was not accepted"
    room_since, next_look = None, 0.0
    while world.now() < 116 and w.starts.get("job-000002", 0) == 0:
        await asyncio.sleep(0.25)
        places = free_places(w)
        room_since = (room_since or world.now()) if places >= PIECES else None
        if room_since and world.now() - room_since >= MAY_WAIT_S:
            break
        if world.now() >= next_look:
            next_look = world.now() + 5.0
            await w.poll("job-000002", "stoker-1")
            record(f"room for {places} of {PIECES} tasks on {len(w.machines)} machines; state service: {w.state.counts}")
    waited = world.now() - room_since if room_since else 0.0
    if w.starts.get("job-000002", 0) == 0:
        return (1 if waited >= MAY_WAIT_S else 2), f"no task of the gang started, with room for all for {waited:.0f} s"
    await asyncio.sleep(30.0)
    if w.broken:
        return 1, f"{w.broken}"
    return 0, f"{w.starts['job-000002']} tasks of the gang started; {await w.poll('job-000002', 'stoker-1')}"


if __name__ == "__main__":
    world.main(case, HERE)
