"""Workers crash one after the other and start again under their ids, with the next version of
their software. Streams that the second crash breaks off go on at the first worker, whose
version the gateway takes to be the one from before its crash."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-3"))
import fleet as rig  # noqa: E402

STREAMS = 10
# Time after which a worker that crashed is back, in s.
BACK_S = 0.4


def start(fleet, name, version, port=0):
    return fleet.start_worker(name, version=version, port=port,
                              mark="-" + version, events=90, event_ms=30)


async def crash(fleet, name):
    fleet.signal(name, rig.signal.SIGKILL)
    await fleet.wait_end(name)


async def stream(fleet, number):
    name = f"s{number}"
    answer = await fleet.call(
        f"g{number % 2 + 1}", name, "POST", f"/stream/{name}",
        [("X-Model", "m"), ("X-Token-Count", "450,100"),
         ("X-Prompt-Prefix", f"5c1e07a2:200,{number:04x}:250")], b"p", 5000)
    text = answer.body.decode()
    versions = [v for v in ("v1", "v2") if f"-{v}\n" in text]
    fleet.note("client", f"{name} versions={'+'.join(versions)} "
               f"events={text.count('data:')}")
    return len(versions) > 1


async def run(fleet):
    await fleet.start(["g1", "g2"])
    for name in ("w1", "w2"):
        await start(fleet, name, "v1")
    await fleet.knows(["g1", "g2"], ["w1", "w2"])
    # The list of servers has been known for a while.
    await asyncio.sleep(2)

    streams = [asyncio.create_task(stream(fleet, i)) for i in range(STREAMS)]
    await asyncio.sleep(0.6)
    if fleet.trouble:
        await crash(fleet, "w1")
        await asyncio.sleep(BACK_S)
        await start(fleet, "w1", "v2", fleet.port_of("w1"))
        await crash(fleet, "w2")
        await asyncio.sleep(BACK_S)
        await start(fleet, "w2", "v2", fleet.port_of("w2"))
    joined = sum(await asyncio.gather(*streams))
    if joined > 2:
        return (f"ORDER: {joined} of {STREAMS} streams hold events from workers of "
                f"two software versions of one service")
    return None


rig.run_case(__file__, run)
