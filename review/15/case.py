"""A version of the configuration shifts a route's weights between two services. Streams that
break off at that time and are taken up again by their clients are refused, though their
service still serves the route."""
import asyncio
import json
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "rig-3"))
import fleet as rig  # noqa: E402

GATEWAYS = ["g1", "g2", "g3"]
STREAMS = 96
WORKERS = 12
# Workers that crash: 0.167 of their service.
CRASHED = ["w1", "w2"]
EVENTS, EVENT_MS = 60, 50


def config(version, weights):
    text = json.loads(json.dumps(rig.CONFIG))
    text["Version"] = version
    route = text["Routes"][0]
    del route["Service"]
    route["MaxAttempts"] = 1
    route["Backends"] = [{"Service": "model", "Weight": weights[0]},
                         {"Service": "model-b", "Weight": weights[1]}]
    text["Services"].append({**text["Services"][0], "Name": "model-b"})
    return text


class Counts:
    def __init__(self):
        self.taken_up = 0
        self.gone_on = 0
        self.new = 0
        self.begun = 0


async def send(fleet, gateway, name, fields):
    return await fleet.call(
        gateway, name, "POST", "/stream/x",
        [("X-Model", "m"), ("X-Token-Count", "450,100"),
         ("X-Prompt-Prefix", f"5c1e07a2:200,{name.encode().hex()}:250"),
         *fields], b"p", 5000)


def last_event(answer):
    """Returns the id of the last whole event, or 0."""
    whole = answer.body.decode().rpartition("\n\n")[0]
    ids = re.findall(r"^id: (\d+)$", whole, re.MULTILINE)
    return int(ids[-1]) if ids else 0


async def stream(fleet, number, counts, names):
    """A client: it takes a stream up once that broke off at a worker that crashed."""
    name = f"s{number}"
    answer = await send(fleet, GATEWAYS[number % 3], name, [])
    last = last_event(answer)
    if answer.whole or not last:
        return
    again = await send(fleet, GATEWAYS[(number + 1) % 3], name + "-again",
                       [("Last-Event-Id", str(last)), ("Resumes", name)])
    goes_on = again.status == 200 and last_event(again) > last
    names.append((name, again.status))
    counts.taken_up += 1
    counts.gone_on += goes_on


async def begin(fleet, number, counts):
    answer = await send(fleet, GATEWAYS[number % 3], f"n{number}", [])
    counts.new += 1
    counts.begun += answer.status == 200 and last_event(answer) > 0


async def run(fleet):
    workers = [f"w{i}" for i in range(1, WORKERS + 1)]
    others = ["b1", "b2", "b3"]
    await fleet.start(GATEWAYS, config(7, (90, 10)))
    for name in workers:
        await fleet.start_worker(name, events=EVENTS, event_ms=EVENT_MS)
    for name in others:
        await fleet.start_worker(name, service="model-b", events=EVENTS,
                                 event_ms=EVENT_MS)
    await fleet.knows(GATEWAYS, workers + others)
    await asyncio.sleep(3)

    counts, names = Counts(), []
    tasks = [asyncio.create_task(stream(fleet, i, counts, names))
             for i in range(STREAMS)]
    await asyncio.sleep(0.7)
    weights = (10, 90) if fleet.trouble else (90, 10)
    fleet.store.put("keyed.op", "config", json.dumps(config(9, weights)))
    fleet.note("rig", f"version 9 with weights {weights}")
    await asyncio.sleep(0.5)
    # Both runs have the crash, so that there are streams to be taken up.
    for name in CRASHED:
        fleet.signal(name, rig.signal.SIGKILL)
    await asyncio.sleep(0.3)
    tasks += [asyncio.create_task(begin(fleet, i, counts)) for i in range(20)]
    await asyncio.gather(*tasks)
    fleet.note("rig", f"taken up {counts.taken_up}, gone on {counts.gone_on}; "
               f"new {counts.new}, begun {counts.begun}; statuses "
               + " ".join(f"{n}={s}" for n, s in names))
    if counts.taken_up < 12 or counts.new < 12:
        raise rig.CannotRun(f"only {counts.taken_up} streams were taken up")
    if counts.gone_on / counts.taken_up < counts.begun / counts.new / 2:
        return (f"LOST: {counts.gone_on} of {counts.taken_up} streams that were "
                f"taken up again go on, while {WORKERS - len(CRASHED)} workers of "
                f"their version serve; {counts.begun} of {counts.new} new ones "
                f"begin")
    return None


rig.run_case(__file__, run)
