"""Entry 25.1, another way; not judged as a case. A request crashes each server that begins to run it.
The server falls silent as it crashes and is back after some seconds as another instance. The caller
repeats at once: four copies come at the same time, each at another gateway, and again when they have
failed. BUDGET breaks when more than three copies reach servers later than stable-ms after the request
has crashed the third.

    python3 silent_crashes.py FOLDER      TROUBLE=0: the caller sends one copy at a time
"""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import fleet as f  # noqa: E402

SERVERS, COPIES, STABLE_S, BACK_S, FOR_S = 16, 4, 3.0, 3.6, 35
DEADLY = b"deadly"


class Server(f.Plain):
    crashed = False

    async def run(self, request, writer):
        if request.body == DEADLY:
            self.fleet.reached.append((time.monotonic(), self.name))
        if self.crashed:
            # Connections to it hang.
            await asyncio.sleep(60)
            return False
        if request.body != DEADLY:
            return await super().run(request, writer)
        self.fleet.record(f"{self.name} crashes on {request.header('attempt-id')}")
        self.fleet.crashes.append(time.monotonic())
        self.crashed = True
        self.fleet.spawn(self.come_back())
        await asyncio.sleep(60)
        return False

    async def come_back(self):
        """The entry goes after three beats; another instance starts at another address."""
        self.registered = False
        await asyncio.sleep(BACK_S)
        self.fleet.store.delete("servers", self.name)
        await self.fleet.add(Server(self.fleet, f"{self.name}x", "desk", slots=6))


async def case(fleet, trouble):
    fleet.crashes, fleet.reached = [], []
    fleet.configure(f.configuration(plain="desk", routes=[f.plain_route("desk")]))
    for number in range(SERVERS):
        await fleet.add(Server(fleet, f"i-{number}", "desk", slots=6))
    await fleet.start_gateways(["a", "b", "c", "a"])
    await fleet.wait(fleet.all_ready, 15, "the gateways are not ready")
    await asyncio.sleep(4)
    until = time.monotonic() + FOR_S

    async def caller(first, step):
        number = first
        while time.monotonic() < until:
            gateway = fleet.gateways[number % len(fleet.gateways)]
            number += step
            attempt = fleet.new_attempt()
            answer = await f.call(gateway.listen, "POST", "/w/1", f.headers(attempt, 4000), DEADLY,
                                  5)
            fleet.record(f"answer {attempt} at {gateway.name}: {answer.status}")
            await asyncio.sleep(0.4)

    await asyncio.gather(*(caller(each, COPIES if trouble else 1)
                           for each in range(COPIES if trouble else 1)))
    if len(fleet.crashes) < 3:
        return
    late = [at for at, _ in fleet.reached if at > fleet.crashes[2] + STABLE_S]
    text = (f"{len(fleet.crashes)} servers crashed; {len(late)} copies reached servers later than "
            f"{STABLE_S:.0f} s after the third crash")
    fleet.record(text)
    if len(late) > 3:
        fleet.broken("BUDGET: " + text)


if __name__ == "__main__":
    f.main(case)
