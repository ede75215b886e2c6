"""A group's head is ordered to open. The first of these orders gets no answer and is carried out
seconds later; its repetition is answered and opens the group. Meanwhile a member leaves as planned,
the group is closed and its members wait for another one. Then the late order opens the head again,
and a new server completes the next group: its members get joins beside an open head."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import fleet as f  # noqa: E402

# PROTOCOL.md: "may be carried out seconds later"; fleetbench kinds: 2 to 12 s later.
LATE_S = 9.0
MODEL = {"name": "daka510000", "size": 4, "share": 1.0, "pace": 1.0, "load-s": 16.0, "warm-s": 1.6}


async def case(fleet, trouble):
    fleet.configure(f.configuration(models=[MODEL], routes=[f.stream_route()]))
    late = []

    def lateness(engine, order):
        if trouble and order["operation"] == "open" and not late:
            late.append(order["group"])
            return LATE_S
        return None

    fleet.lateness = lateness
    for number in range(1, 5):
        await fleet.add(f.Engine(fleet, f"i-{number}"))
    await fleet.start_gateways(["a", "b", "c"])
    await fleet.wait(fleet.all_ready, 15, "the gateways are not ready")

    def open_heads():
        return [each for each in fleet.instances.values()
                if each.group and each.group["phase"] == "open"]

    heads = await fleet.wait(open_heads, 30, "no group opens")
    first = heads[0].group
    fleet.spawn(clients(fleet))
    await asyncio.sleep(1)
    # Planned work: one member, not the head, is emptied and taken away.
    leaving = fleet.instances[first["members"][-1]]
    leaving.drain()
    await fleet.wait(lambda: heads[0].group is not first or heads[0].group["phase"] == "ready", 15,
                     "the group does not close")
    await asyncio.sleep(3)
    leaving.leave()
    # Planned work: an empty server is added; it loads the weights and completes the next group.
    await fleet.add(f.Engine(fleet, "i-5"))
    await fleet.wait(lambda: [each for each in open_heads() if each.group["name"] != first["name"]],
                     45, "no second group opens")
    await asyncio.sleep(2)


async def clients(fleet):
    """Streams at a low rate, each at the next gateway; refused ones are not sent again."""
    number = 0
    while True:
        fleet.spawn(one(fleet, fleet.gateways[number % len(fleet.gateways)]))
        number += 1
        await asyncio.sleep(0.3)


async def one(fleet, gateway):
    attempt = fleet.new_attempt()
    answer = await f.call(gateway.listen, "POST", "/s/1", f.headers(
        attempt, 8000, Model=MODEL["name"], Token_Usage="700,80",
        Prefix_Hash=f"5c1e07a2:40,{attempt[-8:]}:660"), b"claim", 9)
    fleet.record(f"answer {attempt} {answer.status} {'whole' if answer.whole else 'cut'}")


if __name__ == "__main__":
    f.main(case)
