"""The callers, the operator and the record of what was sent, answered and run."""

import asyncio
import json
import secrets
import signal
import time

from deployment import Deployment
from http11 import call
from store import Store
from worker import Worker

HOST = "ponds.example"
PREFIX = "/hold/"
RESEND_S = 1.3
DEADLINE_MS = 1500
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class Job:
    def __init__(self, spec, steps, work_s):
        self.id = secrets.token_hex(8)
        self.spec = spec
        self.steps = steps
        self.work_s = work_s


class World:
    def __init__(self, record, edges, sides, worker_class=Worker):
        self.began = time.monotonic()
        self.output = open(record, "w", encoding="utf-8")
        self.jobs = {}
        self.runs = []
        self.store = Store()
        self.deployment = Deployment(edges, sides)
        self.workers = [
            worker_class(
                self,
                f"worker-{index + 1}",
                self.deployment.service,
                side.app,
                side.control,
                side.zone,
            )
            for index, side in enumerate(self.deployment.sides)
        ]

    def now(self):
        return time.monotonic() - self.began

    def record(self, event, **fields):
        self.output.write(f"{self.now():9.4f} {event} {json.dumps(fields)}\n")

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job].steps[int(step)]

    def work_s(self, task):
        return self.jobs[task.split(".")[0]].work_s

    def run_started(self, worker, run, spec):
        job = self.jobs.get(run.task.split(".")[0])
        if job is None or job.spec != spec:
            self.record("unasked", task=run.task, spec=spec)
        entry = {
            "task": run.task,
            "run": run.number,
            "worker": worker.name,
            "id": worker.id,
            "from": self.now(),
            "to": None,
            "how": "",
        }
        self.runs.append(entry)
        run.entry = entry
        self.record("run_started", task=run.task, run=run.number, worker=worker.name)

    def run_ended(self, worker, run, how):
        run.entry["to"] = self.now()
        run.entry["how"] = how
        self.record(
            "run_ended", task=run.task, run=run.number, worker=worker.name, how=how
        )

    def configure(self, version, timeout_ms=1500):
        """The operator writes a configuration with one queue."""
        route = {
            "name": "plant-hold",
            "host": HOST,
            "pathPrefix": PREFIX,
            "service": self.deployment.service,
            "priority": 1,
            "maxAttempts": 3,
            "stretch": 1.6,
            "sloMs": 60,
            "timeoutMs": timeout_ms,
        }
        service = {"name": self.deployment.service, "enforcesCapacity": True}
        config = {"version": version, "routes": [route], "services": [service], "limits": {}}
        self.store.put("keyed.op", "config", json.dumps(config).encode())
        self.record("configured", version=version)

    async def open(self):
        """Starts all, and waits until all entries are ready and serve."""
        host, port = self.deployment.store_address.rsplit(":", 1)
        await self.store.listen(host, int(port))
        self.configure(7)
        self.deployment.start()
        for worker in self.workers:
            await worker.start()
        for edge in self.deployment.edges:
            await self.wait_until_ready(edge)
        await asyncio.sleep(3)

    async def wait_until_ready(self, edge):
        for _ in range(200):
            status, _ = await call(edge.ready, "GET", "/v1/readyz", b"")
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{edge.name} isn't ready")

    def make_job(self, count, cpu, work_s, estimate_ms, steps=1):
        """A best-effort job; each step waits for the one before."""
        rows = []
        for index in range(steps):
            row = {"count": count, "cpu": cpu, "memMb": 256, "estimateMs": estimate_ms}
            if index > 0:
                row["dependsOn"] = [index - 1]
            rows.append(row)
        job = Job(secrets.token_hex(12), rows, work_s)
        self.jobs[job.id] = job
        return job

    async def post(self, edge, job, deadline_ms=DEADLINE_MS):
        """One attempt to hand the job in."""
        body = {"spec": job.spec, "bestEffort": True, "steps": job.steps}
        headers = {"Host": HOST, "Gypsumpoint-Deadline-Ms": str(deadline_ms)}
        self.record("post", job=job.id, edge=edge.name)
        status, answer = await call(
            edge.front, "POST", PREFIX + job.id, body, headers, deadline_ms / 1000
        )
        self.record("answer", job=job.id, edge=edge.name, status=status, body=answer.decode())
        return status

    async def submit(self, edges, job, attempts=3):
        """Hands the job in, and again resendMs after an attempt without an answer or
        with 502 or 504."""
        for attempt in range(attempts):
            status = await self.post(edges[attempt % len(edges)], job)
            if status not in (None, 502, 504):
                return status
            await asyncio.sleep(RESEND_S)
        return status

    def overlaps(self):
        """Pairs of runs of one task that ran at the same time, and for how long."""
        by_task = {}
        for run in self.runs:
            by_task.setdefault(run["task"], []).append(run)
        found = []
        for runs in by_task.values():
            for index, one in enumerate(runs):
                for other in runs[index + 1 :]:
                    end = min(one["to"] or self.now(), other["to"] or self.now())
                    both = end - max(one["from"], other["from"])
                    if both > 0:
                        found.append((both, one, other))
        return sorted(found, key=lambda pair: -pair[0])

    def report_overlaps(self):
        """Records the pairs; returns the result of the script."""
        found = self.overlaps()
        for both, one, other in found:
            self.record("two_runs_at_once", ms=round(both * 1000, 1), one=one, other=other)
        self.record("result", runs=len(self.runs), pairs=len(found))
        print(f"{len(self.runs)} runs, {len(found)} pairs of runs of one task at once")
        return BROKEN if found else HELD

    async def close(self):
        self.deployment.stop()
        for worker in self.workers:
            if worker.is_up:
                await worker.crash()
        self.output.close()


def run_case(world, play):
    """Plays a case and returns its exit code."""

    async def whole():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await world.open()
            return await play(world)
        except (Exception, asyncio.CancelledError) as error:
            # Any other end, also by the time limit, means that it couldn't run.
            world.record("could_not_run", error=repr(error))
            print(f"could not run: {error!r}")
            return COULD_NOT_RUN
        finally:
            await world.close()

    return asyncio.run(whole())
