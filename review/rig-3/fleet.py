"""Runs a small deployment on loopback: the store, workers and gateways, and the record of
what was sent, answered and run. A case is an object with a coroutine run(fleet), which
returns what broke the rule, or None."""
import asyncio
import base64
import json
import os
import re
import shutil
import signal
import sys
import tempfile
import time

import store as store_module
import web

PROGRAM = "target/build/briarplankd/briarplankd"
HOST = "desk.example"
START_S = 15
# Figures of the deployment sites/kfr-reclaim.toml.
MEMORY_MB = 290
SETTINGS = {
    "data_centres": [{"name": "akl-a", "region": "akl"},
                     {"name": "chc-a", "region": "chc"}],
    "stop": {"grace_s": 8},
    "jobs": {"results_kept_s": 120},
}
STORE = {"partitions": 12, "record_bytes": 262144, "call_bytes": 2097152,
         "reads_per_s": 2000, "retention_s": 300}
CONFIG = {
    "Version": 7,
    "Routes": [
        {"Name": "r-stream", "Host": HOST, "PathPrefix": "/stream/",
         "Kind": "stream", "TimeoutMs": 5000, "ObjectiveMs": 300, "Priority": 0,
         "Service": "model", "MaxAttempts": 2, "Sticky": True, "CanResume": True,
         "GapAimMs": 200},
        {"Name": "r-once", "Host": HOST, "PathPrefix": "/once/",
         "Kind": "stream", "TimeoutMs": 5000, "ObjectiveMs": 300, "Priority": 0,
         "Service": "model", "MaxAttempts": 1, "Sticky": True,
         "CanResume": False, "GapAimMs": 200},
        {"Name": "r-safe", "Host": HOST, "PathPrefix": "/safe/",
         "Kind": "safe", "TimeoutMs": 2000, "ObjectiveMs": 200, "Priority": 2,
         "Service": "desk", "MaxAttempts": 3},
        {"Name": "r-batch", "Host": HOST, "PathPrefix": "/batch/",
         "Kind": "batch", "TimeoutMs": 15000, "ObjectiveMs": 400, "Priority": 2,
         "Service": "model", "MaxAttempts": 3, "Sticky": True,
         "CanResume": True, "CompletionMs": 18000, "RetentionS": 60,
         "MaxCount": 1300000},
    ],
    "Services": [
        {"Name": "model", "HealthPath": "/health", "MaxConns": 370,
         "Protocol": "h1", "Tls": False,
         "Engine": {"Capacity": 8, "KvCapacity": 101495}},
        {"Name": "desk", "HealthPath": "/health", "MaxConns": 110,
         "Protocol": "h1", "Tls": False},
    ],
    "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304,
               "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
}


class CannotRun(Exception):
    """The case could not run; says nothing about the rule."""


class Fleet:
    def __init__(self, record, trouble):
        self.record = record
        self.trouble = trouble
        self.memory_mb = MEMORY_MB
        self.began = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="briarplank-review-")
        self.store = store_module.Store(self.note)
        self.processes = {}
        self.servers = {}
        self.gateways = {}
        self.listeners = []
        self.tasks = []
        # Runs as the workers print them: (time, line).
        self.runs = []

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, text):
        self.record.write(f"{self.now():8.3f} {who:10} {text}\n")

    # Processes.

    async def spawn(self, name, *command, env=None, out=None):
        process = await asyncio.create_subprocess_exec(
            *command, stdin=asyncio.subprocess.DEVNULL,
            stdout=out or asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT if out else None,
            env=env, limit=1 << 20)
        self.processes[name] = process
        return process

    def signal(self, name, number):
        process = self.processes[name]
        if process.returncode is None:
            self.note("rig", f"{signal.Signals(number).name} to {name}")
            process.send_signal(number)

    async def wait_end(self, name):
        await self.processes[name].wait()

    def ended(self, name):
        return self.processes[name].returncode is not None

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
            await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Workers.

    async def start_worker(self, name, service="model", version="v1", port=0,
                           zone="akl-a", **options):
        """Starts a worker, or starts it again under its id and address."""
        here = os.path.dirname(os.path.abspath(__file__))
        command = [sys.executable, os.path.join(here, "worker.py"), "--id", name,
                   "--port", str(port), "--version", version]
        for option, value in options.items():
            option = "--" + option.replace("_", "-")
            command.append(option if value is True else f"{option}={value}")
        process = await self.spawn(name, *command)
        line = json.loads(await asyncio.wait_for(process.stdout.readline(),
                                                 START_S))
        self.servers[name] = {
            "Service": service, "Address": line["listens"], "Zone": zone,
            "Version": version, "Capacity": options.get("slots", 8),
            "State": "ready", "WarmupMs": 0, "Sequence": 1,
            "born": int(time.time() * 1000)}
        self.tasks.append(asyncio.create_task(self.follow_worker(name, process)))
        self.list_worker(name)
        self.note("rig", f"worker {name} {version} at {line['listens']}")

    async def follow_worker(self, name, process):
        while line := await process.stdout.readline():
            run = json.loads(line)
            self.runs.append((self.now(), run))
            self.note(name, " ".join(f"{k}={v}" for k, v in run.items()
                                     if k != "server"))

    def list_worker(self, name, **changes):
        self.servers[name].update(changes)
        self.store.put("keyed.servers", name, json.dumps(self.servers[name]))

    def unlist_worker(self, name):
        self.store.put("keyed.servers", name, "")

    def port_of(self, name):
        return int(self.servers[name]["Address"].rsplit(":", 1)[1])

    async def listen_raw(self, name, service, on_request):
        """Lists a worker that runs in this process: on_request(request)."""
        server, port = await web.serve(on_request)
        self.listeners.append(server)
        self.servers[name] = {
            "Service": service, "Address": f"127.0.0.1:{port}", "Zone": "akl-a",
            "Version": "v1", "Capacity": 6, "State": "ready", "WarmupMs": 0,
            "Sequence": 1, "born": int(time.time() * 1000)}
        self.list_worker(name)
        self.note("rig", f"worker {name} at 127.0.0.1:{port}")

    # Gateways.

    async def start_gateway(self, name, zone="akl-a"):
        """Starts or restarts a gateway with the command of the deploy file."""
        path = os.path.join(self.folder, name + ".json")
        settings = {
            "node": {"name": name, "ip": "127.0.0.1", "port": 0,
                     "data_centre": zone, "region": zone[:3], "cpu_share": 0.5,
                     "memory_mb": self.memory_mb, "descriptors": 8200},
            "listen": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0",
                       "metrics": "127.0.0.1:0"},
            "store": {"address": self.store.address, **STORE}, **SETTINGS}
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = os.path.join(self.folder, name + ".log")
        with open(log, "w", encoding="utf-8") as file:
            await self.spawn(name, PROGRAM, "--role", "gateway", out=file,
                             env={**os.environ, "BRIARPLANK_SETTINGS": path})
        start = await self.until(lambda: self.log_match(
            name, r"event=start .*front=(\S+) ready=(\S+)"), "start of " + name)
        self.gateways[name] = {"front": start.group(1), "ready": start.group(2)}
        self.note("rig", f"gateway {name} at {start.group(1)}")

    def memory_of(self, name):
        """Returns the resident memory of a process, in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.processes[name].pid}/status",
                      encoding="ascii") as file:
                found = re.search(r"VmRSS:\s+(\d+) kB", file.read())
        except OSError:
            return 0
        return int(found.group(1)) / 1024 if found else 0

    def log_match(self, name, pattern):
        with open(os.path.join(self.folder, name + ".log"),
                  encoding="utf-8") as file:
            return re.search(pattern, file.read())

    def log_count(self, name, pattern):
        with open(os.path.join(self.folder, name + ".log"),
                  encoding="utf-8") as file:
            return len(re.findall(pattern, file.read()))

    async def ready(self, *names):
        for name in names:
            async def is_ready(name=name):
                answer = await web.call(self.gateways[name]["ready"], "GET",
                                        "/ready", [("Host", HOST)], timeout=1)
                return answer.status == 200
            await self.until(is_ready, name + " to be ready")

    async def until(self, check, what, seconds=START_S):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return found
            await asyncio.sleep(0.02)
        raise CannotRun(f"timed out waiting for {what}")

    async def start(self, gateways, config=None):
        await self.store.start()
        self.store.put("keyed.op", "config", json.dumps(config or CONFIG))
        for name in gateways:
            await self.start_gateway(name)
        await self.ready(*gateways)

    async def knows(self, gateways, servers):
        for gateway in gateways:
            for server in servers:
                await self.until(lambda: self.log_match(
                    gateway, rf"event=server id={server} .* ready"),
                    f"{gateway} to know {server}")

    # Clients.

    async def call(self, gateway, name, method, path, fields=(), body=b"",
                   deadline_ms=4000, log=True):
        """Sends a request as a client does, which waits 1.5 s longer than it allows."""
        sent = self.now()
        answer = await web.call(
            self.gateways[gateway]["front"], method, path,
            [("Host", HOST), ("X-Attempt-Id", name),
             ("X-Deadline-Ms", str(deadline_ms)), *fields],
            body, deadline_ms / 1000 + 1.5)
        if log:
            signature = answer.fields.get("x-server-signature", "-")
            self.note("client", f"{name} {method} {path} to {gateway} "
                      f"sent={sent:.3f} status={answer.status} "
                      f"whole={answer.whole} signature={signature} "
                      f"bytes={len(answer.body)}")
        return answer

    async def submit(self, gateway, job, items, deadline_ms=4000, text="work",
                     tokens="350,400"):
        """items: (id, prompt prefix) each."""
        body = json.dumps({"Items": [
            {"Id": item, "Path": f"/batch/{index}",
             "Headers": {"X-Model": "m", "X-Token-Count": tokens,
                         "X-Prompt-Prefix": prefix},
             "Body": base64.b64encode(text.encode()).decode(), "Tokens": 750}
            for index, (item, prefix) in enumerate(items)]}).encode()
        return await self.call(gateway, job, "POST", "/batch/" + job,
                               [("Content-Type", "application/json")], body,
                               deadline_ms)

    async def results(self, gateway, job):
        """Returns the results of a job from its start, or None."""
        results = []
        while True:
            answer = await self.call(gateway, f"read-{job}", "GET",
                                     f"/lots/{job}?After={len(results)}",
                                     log=False)
            if answer.status != 200:
                self.note("client", f"read of {job} at {gateway} "
                          f"status={answer.status}")
                return None
            page = json.loads(answer.body)
            results += page["Results"]
            if not page["Results"] or len(results) >= page["Total"]:
                return results

    async def await_results(self, gateway, job, number, seconds):
        """Waits for results; returns those that there are in the end."""
        end = time.monotonic() + seconds
        while True:
            found = await self.results(gateway, job)
            if (found is not None and len(found) >= number) or \
                    time.monotonic() >= end:
                self.note("client", f"job {job} has {len(found or [])} of "
                          f"{number} results at {gateway}: "
                          + " ".join(f"{r['Id'][:24]}={r['State']}"
                                     for r in found or []))
                return found
            await asyncio.sleep(0.5)


async def main(folder, run):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    status = 2
    # Also ends all processes when the script itself is ended.
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8",
              buffering=1) as record:
        fleet = Fleet(record, trouble)
        fleet.note("rig", f"trouble={int(trouble)}")
        try:
            if not os.access(PROGRAM, os.X_OK):
                raise CannotRun(f"{PROGRAM} is not built")
            broken = await asyncio.wait_for(run(fleet), 115)
            fleet.note("rig", f"BROKEN: {broken}" if broken else "held")
            print(f"BROKEN: {broken}" if broken else "held")
            status = 1 if broken else 0
        # Any other error is one of the rig, and says nothing about the rule.
        except (Exception, asyncio.CancelledError) as error:
            fleet.note("rig", f"could not run: {error!r}")
            print(f"could not run: {error!r}")
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(fleet.folder, os.environ["KEEP_LOGS"],
                                dirs_exist_ok=True)
            await fleet.close()
    return status


def run_case(path, run):
    sys.exit(asyncio.run(main(os.path.dirname(os.path.abspath(path)), run)))
