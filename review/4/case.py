"""A liveness report of another writer, with a service that no configuration names, reaches an agent."""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin"))
from fleet import BOUNDS, Fleet, call, main  # noqa: E402

JOBS = 10
WORK_MS = 6_000


async def run(trouble):
    fleet = Fleet(HERE, entries=2, agents=2)
    record = fleet.record
    accepted = []
    try:
        await fleet.start()
        await asyncio.sleep(4)

        async def submit(number):
            job = f"{number:016x}"
            body = {"spec": f"ms={WORK_MS}", "steps": [{"count": 2, "cpu": 1000, "mem-mb": 256, "gpu": 1, "estimate-ms": WORK_MS}]}
            status, _ = await fleet.caller(fleet.entries[number % 2], "POST", job, body)
            record.write(f"caller: POST {job} -> {status}")
            if status == 200:
                accepted.append(job)

        if trouble:
            worker = fleet.workers[0]
            body = {"service": "no-such-service", "address": f"{worker.host}:{worker.port}", "zone": "z1",
                    "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0, "room": worker.room,
                    "labels": ["a", "r1-1"], "clock-ms": 1000, "seq": 1, "born": int(time.time() * 1000)}
            status, _ = await call(*worker.control, "PUT", "/cuminbarrow/instances/x-9", body, timeout=1.0, sender=worker.host)
            record.write(f"another writer: report of x-9, service no-such-service, to the agent of {worker.name} -> {status}")
        await asyncio.sleep(2)
        # Both workers have 8 GPUs; 20 work units with one each need both.
        for number in range(1, 1 + JOBS):
            await submit(number)
            await asyncio.sleep(0.3)
        record.write(f"end of the traffic; {len(accepted)} jobs were accepted")
        await asyncio.sleep(BOUNDS["finish_s"] + 6)
        states = {}
        for job in accepted:
            status, text = await fleet.caller(fleet.entries[0], "GET", job)
            states[job] = text
            record.write(f"caller: GET {job} -> {status} {text}")
        busy = sum(len(worker.running) for worker in fleet.workers)
        stuck = [job for job in accepted if "completed" not in states[job]]
        record.write(f"{busy} work units run on the workers; {len(stuck)} of {len(accepted)} accepted jobs are not completed")
        await asyncio.sleep(3.5)
        lost = bool(stuck) and busy == 0 and not any(worker.running for worker in fleet.workers)
        record.write("LOST is broken" if lost else "LOST held")
        return not lost
    finally:
        await fleet.stop()


main(run)
