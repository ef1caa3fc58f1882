"""Stand-in for a worker of the platform, as the page on running tasks has it."""

import asyncio
import secrets
import time

from http11 import Server, call

HOLD_MAX_MS = 1000
HEARTBEAT_S = 1.5
TICK_S = 0.002


class Run:
    def __init__(self, task, number, ends_at):
        self.task = task
        self.number = number
        self.ends_at = ends_at
        self.started_at = time.monotonic()


class Worker:
    """One worker. world has the jobs of the callers and takes the record."""

    def __init__(self, world, name, service, app, control, zone, speed=1.0):
        self.world = world
        self.name = name
        self.service = service
        self.app = app
        self.control = control
        self.zone = zone
        self.speed = speed
        self.capacity = {"cpu": 64000, "memMb": 262144, "gpu": 0}
        self.server = None
        self.tasks = []
        self.refused = {}
        self.draining = False
        self.is_up = False

    async def start(self, identity=None):
        """Begins a new life, under the ID given or under a new one."""
        self.id = identity or "i-" + secrets.token_hex(5)
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.fence = 0
        self.lease_end = 0
        self.sequence = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.last_end = 0
        self.end_event = asyncio.Event()
        self.server = Server(self.on_request)
        host, port = self.app.rsplit(":", 1)
        await self.server.listen(host, int(port))
        self.is_up = True
        self.world.record("worker_up", worker=self.name, id=self.id, born=self.born)
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.advance()),
        ]

    async def crash(self):
        """Ends this life: all that runs ends with it, and nothing is known of it
        later."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.running.values()):
            self.world.run_ended(self, run, "crashed")
        self.running = {}
        await self.server.close()
        self.world.record("worker_down", worker=self.name, id=self.id)

    def clock(self):
        return 1 + int((time.monotonic() - self.born_at) * 1000)

    async def beat(self):
        while True:
            self.sequence += 1
            body = {
                "service": self.service,
                "address": self.app,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0,
                "capacity": self.capacity,
                "labels": ["a", "r1-1"],
                "clockMs": self.clock(),
                "born": self.born,
                "sequence": self.sequence,
            }
            asyncio.create_task(
                call(self.control, "PUT", f"/v1/instances/{self.id}", body)
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def advance(self):
        while True:
            self.expire()
            await asyncio.sleep(TICK_S)

    def expire(self):
        """Ends the runs that are done, and all runs when the lease has expired."""
        now = time.monotonic()
        for run in list(self.running.values()):
            if run.ends_at <= now:
                self.end(run, "done")
        if self.running and self.clock() > self.lease_end:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    def end(self, run, how):
        del self.running[(run.task, run.number)]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ""])
        self.world.run_ended(self, run, how)
        self.end_event.set()
        self.end_event = asyncio.Event()

    async def on_request(self, request):
        expected = request.headers.get("gypsumpoint-expected-instance", self.id)
        if expected != self.id:
            return 421, {"clockMs": self.clock()}
        body = request.json()
        self.expire()
        if request.target == "/v1/run-start":
            return await self.on_start(body)
        if request.target == "/v1/run-stop":
            return await self.on_stop(body)
        if request.target == "/v1/hold":
            return await self.on_hold(body)
        return 404, {}

    def refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1
        return 409, {"clockMs": self.clock(), "reason": reason}

    def extend(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    async def on_start(self, body):
        return self.carry_out_start(body)

    def carry_out_start(self, body):
        if body.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fence", 0)
        task, number = body["task"], body["run"]
        if (task, number) in self.running:
            return 200, {"clockMs": self.clock()}
        if body["deadlineMs"] <= self.clock():
            return self.refuse("late")
        self.extend(body["deadlineMs"])
        if number <= self.highest.get(task, 0):
            return self.refuse("old")
        step = self.world.step_of(task)
        used = sum(self.world.step_of(run.task)["cpu"] for run in self.running.values())
        if used + step["cpu"] > self.capacity["cpu"]:
            return self.refuse("room")
        seconds = self.world.work_s(task) / self.speed
        run = Run(task, number, time.monotonic() + seconds)
        self.running[(task, number)] = run
        self.world.run_started(self, run, body["spec"])
        return 200, {"clockMs": self.clock()}

    async def on_stop(self, body):
        return self.carry_out_stop(body)

    def carry_out_stop(self, body):
        if body.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fence", 0)
        task, number = body["task"], body["run"]
        run = self.running.get((task, number))
        if run is not None:
            self.end(run, "stopped")
        self.highest[task] = max(self.highest.get(task, 0), number)
        return 200, {"clockMs": self.clock()}

    async def on_hold(self, body):
        if body.get("fence", 0) < self.fence:
            return self.refuse("fence")
        self.fence = body.get("fence", 0)
        if "deadlineMs" in body:
            self.extend(body["deadlineMs"])
        self.ends = [end for end in self.ends if end[0] > body["ackCursor"]]
        wait = body.get("waitMs", 0) / 1000
        if not self.ends and wait > 0:
            try:
                await asyncio.wait_for(self.end_event.wait(), wait)
            except TimeoutError:
                pass
        self.expire()
        return 200, {
            "clockMs": self.clock(),
            "born": self.born,
            "running": [[run.task, run.number, "", 0, 0] for run in self.running.values()],
            "finished": self.ends[:500],
        }
