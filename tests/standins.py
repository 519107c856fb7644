"""Stub servers on loopback for the smoke test: key-value store, cloud and workers.

Run as a program, it prints its addresses and serves until killed. It implements only what the
protocol needs to run jobs, and imports nothing of crosscleat.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

HEARTBEAT_INTERVAL_S = 0.3
LEASE_S = 6.0


def encode_response(value: Any, status: int = 200) -> web.Response:
    return web.Response(status=status, body=msgspec.msgpack.encode(value))


async def decode_request(request: web.Request) -> Any:
    return msgspec.msgpack.decode(await request.read())


class KeyValueStore:
    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.log: list[tuple[int, str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/kv", self.scan),
            web.get("/kv/{key:.+}", self.read),
            web.post("/commit", self.commit),
            web.post("/grants", self.grant),
            web.post("/grants/{id}/touch", self.renew),
            web.delete("/grants/{id}", self.revoke),
            web.get("/changes", self.watch),
        ]

    def append_change(self, key: str, value: Any) -> None:
        self.log.append((self.revision, key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, (_, _, owner) in self.items.items() if owner == lease]:
            self.revision += 1
            del self.items[key]
            self.append_change(key, None)

    async def expire_leases(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = asyncio.get_running_loop().time()
            for lease, (_, end) in list(self.leases.items()):
                if end < now:
                    self.end_lease(lease)

    async def read(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if key not in self.items:
            return encode_response({"ledger_rev": self.revision}, 404)
        value, stamp, permit = self.items[key]
        return encode_response({"path": key, "data": value, "stamp": stamp, "permit": permit})

    async def scan(self, request: web.Request) -> web.Response:
        prefix, after = request.query["starts"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        # Small pages, so that clients must read several of them.
        pairs = [{"path": k, "data": self.items[k][0], "stamp": self.items[k][1]} for k in keys[:3]]
        return encode_response({"pairs": pairs, "more": len(keys) > 3, "ledger_rev": self.revision})

    async def commit(self, request: web.Request) -> web.Response:
        body = await decode_request(request)
        stamps = {key: stamp for key, (_, stamp, _) in self.items.items()}
        failed = [c["path"] for c in body["if"] if stamps.get(c["path"], 0) != c["stamp"]]
        if failed:
            return encode_response({"failed": failed, "ledger_rev": self.revision}, 409)
        writes = body.get("writes", [])
        if any(w.get("permit") not in (None, *self.leases) for w in writes):
            return encode_response({"error": "no such lease"}, 400)
        self.revision += 1 if writes else 0
        for write in writes:
            if "set" in write:
                self.items[write["set"]] = (write["data"], self.revision, write.get("permit"))
                self.append_change(write["set"], write["data"])
            else:
                self.items.pop(write["delete"], None)
                self.append_change(write["delete"], None)
        return encode_response({"ledger_rev": self.revision})

    async def grant(self, request: web.Request) -> web.Response:
        ttl_s = (await decode_request(request))["life_ms"] / 1000.0
        lease = len(self.leases) + 1000 * (self.revision + 1)
        self.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
        return encode_response({"permit": lease})

    async def renew(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return encode_response({}, 404)
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, asyncio.get_running_loop().time() + ttl_s)
        return encode_response({})

    async def revoke(self, request: web.Request) -> web.Response:
        self.end_lease(int(request.match_info["id"]))
        return encode_response({})

    async def watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["starts"], int(request.query["after"])
        deadline = asyncio.get_running_loop().time() + int(request.query["block_ms"]) / 1000.0
        while True:
            changes = [
                {"delete": k, "stamp": r} if v is None else {"set": k, "data": v, "stamp": r}
                for r, k, v in self.log
                if r > after and k.startswith(prefix)
            ]
            remaining_s = deadline - asyncio.get_running_loop().time()
            if changes or remaining_s <= 0:
                return encode_response({"ledger_rev": self.revision, "news": changes})
            try:
                async with asyncio.timeout(remaining_s):
                    await self.changed.wait()
            except TimeoutError:
                continue


class Worker:
    """A worker whose tasks finish successfully after a short time."""

    def __init__(self, name: str, cloud: Cloud) -> None:
        self.name = name
        self.cloud = cloud
        self.address = ""
        self.sequence = 0
        self.token = 0
        self.tasks: dict[tuple[str, int], dict[str, Any]] = {}

    async def run(self) -> None:
        app = web.Application()
        app.add_routes(
            [web.post("/do", self.receive_command), web.get("/show", self.report_status)]
        )
        self.address = await serve(app)
        controller_index = 0
        async with aiohttp.ClientSession() as session:
            while True:
                url = f"http://{self.cloud.controllers[controller_index % 3]}/checkin"
                try:
                    async with (
                        asyncio.timeout(2.0),
                        session.post(url, data=self.heartbeat()) as response,
                    ):
                        answer = (
                            msgspec.msgpack.decode(await response.read()) if response.ok else None
                        )
                except (aiohttp.ClientError, OSError, TimeoutError):
                    answer = None
                if answer is None:
                    controller_index += 1
                    await asyncio.sleep(0.2)
                    continue
                if answer["baton"] >= self.token:
                    self.token = answer["baton"]
                    self.execute(answer["orders"])
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def heartbeat(self) -> bytes:
        self.sequence += 1
        return msgspec.msgpack.encode(
            {
                "box": self.name,
                "addr": self.address,
                "rig": "c4",
                "yard": "a",
                "loaners": False,
                "shift": 1,
                "tally": self.sequence,
                "baton": self.token,
                "recall_s": None,
                "picks": list(self.tasks.values()),
            }
        )

    async def report_status(self, _: web.Request) -> web.Response:
        return web.Response(body=self.heartbeat())

    async def receive_command(self, request: web.Request) -> web.Response:
        body = await decode_request(request)
        if body["baton"] < self.token or body["shift"] != 1:
            return web.Response(status=409, body=self.heartbeat())
        self.token = body["baton"]
        self.execute(body["orders"])
        return web.Response(body=self.heartbeat())

    def execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = (order["pick"], order["try"])
            if order["verb"] == "clear":
                self.tasks.pop(key, None)
            elif order["verb"] == "stop" and key in self.tasks:
                self.tasks[key].update(status="exited", cause="stopped")
            elif order["verb"] == "start" and key not in self.tasks:
                others = [t for (pick, _), t in self.tasks.items() if pick == order["pick"]]
                if any(t["status"] != "exited" for t in others):
                    self.cloud.violations.append(f"{order['pick']} started twice on {self.name}")
                task = {"pick": order["pick"], "try": order["try"], "status": "running"}
                self.tasks[key] = task
                self.cloud.record_start(order["pick"], self.name)
                asyncio.get_running_loop().call_later(0.5, self.finish, task)

    def finish(self, task: dict[str, Any]) -> None:
        if task["status"] == "running":
            task.update(status="exited", cause="done")


class Cloud:
    """The cloud; it also runs the workers and records task attempts that run at the same time."""

    def __init__(self, controllers: list[str]) -> None:
        self.controllers = controllers
        self.workers: list[Worker] = []
        self.rentals: dict[str, list[str]] = {}
        self.starts: dict[str, int] = {}
        self.violations: list[str] = []
        self.running: set[asyncio.Task[None]] = set()

    def routes(self) -> list[web.RouteDef]:
        return [
            web.get("/machine_types", self.machine_types),
            web.post("/rentals", self.rent),
            web.post("/rentals/delete", self.delete),
            web.get("/rentals", self.list_machines),
            web.get("/seen", self.report),
        ]

    def record_start(self, task: str, worker: str) -> None:
        self.starts[task] = self.starts.get(task, 0) + 1
        for other in self.workers:
            if other.name != worker and any(
                pick == task and status["status"] == "running"
                for (pick, _), status in other.tasks.items()
            ):
                self.violations.append(f"{task} runs on {worker} and {other.name}")

    async def report(self, _: web.Request) -> web.Response:
        return encode_response({"starts": self.starts, "violations": self.violations})

    async def machine_types(self, _: web.Request) -> web.Response:
        machine_type = {"sku": "c4", "cores": 4, "gpus": 0, "memory_gb": 16, "local_gb": 9,
                        "price": 1.0, "pull_gb_per_s": 1.0, "low_price": 0.4, "ready_s": 1,
                        "yards": ["a"]}  # fmt: skip
        return encode_response({"rigs": [machine_type]})

    async def rent(self, request: web.Request) -> web.Response:
        body = await decode_request(request)
        if body["hire"] not in self.rentals:
            if body["loaners"]:
                return encode_response({"error": "no capacity"}, 503)
            names = [f"m-{len(self.workers) + n:06d}" for n in range(body["number"])]
            self.rentals[body["hire"]] = names
            for name in names:
                worker = Worker(name, self)
                self.workers.append(worker)
                self.running.add(asyncio.create_task(worker.run()))
        return encode_response({"boxes": self.rentals[body["hire"]]})

    async def delete(self, _: web.Request) -> web.Response:
        return encode_response({"error": "trouble"}, 503)

    async def list_machines(self, _: web.Request) -> web.Response:
        machines = [
            {"ref": w.name, "addr": w.address, "rig": "c4", "yard": "a", "loaners": False,
             "status": "running", "age_s": 5.0}
            for w in self.workers
        ]  # fmt: skip
        return encode_response({"boxes": machines, "more": False})


async def serve(app: web.Application) -> str:
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    return f"{host}:{port}"


async def main(controllers: list[str]) -> None:
    store, cloud = KeyValueStore(), Cloud(controllers)
    state_app, cloud_app = web.Application(), web.Application()
    state_app.add_routes(store.routes())
    cloud_app.add_routes(cloud.routes())
    print(
        json.dumps({"state": await serve(state_app), "cloud": await serve(cloud_app)}), flush=True
    )
    await store.expire_leases()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1:]))
