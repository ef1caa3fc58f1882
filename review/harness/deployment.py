"""Starts entries and guards with the commands and the templates of the deploy file,
on loopback addresses, and ends them."""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BOUNDS = {"graceS": 6}
PLACEHOLDER = re.compile(r"\{\{([a-z0-9_.]+|\.)(\|json)?\}\}", re.IGNORECASE)
SECTION = re.compile(r"\{\{#([a-z0-9_.]+)\}\}(.*?)\{\{/\1\}\}", re.IGNORECASE | re.DOTALL)


def look_up(path, fields):
    value = fields
    for part in path.split("."):
        value = value[int(part)] if isinstance(value, list) else value.get(part, "")
    return value


def fill(text, fields):
    """Fills in a template of the deploy file."""

    def section(match):
        entries = look_up(match[1], fields)
        parts = []
        for index, entry in enumerate(entries):
            comma = "," if index + 1 < len(entries) else ""
            part = match[2].replace("{{,}}", comma)
            parts.append(part.replace("{{.|json}}", json.dumps(entry)))
        return "".join(parts)

    def placeholder(match):
        value = look_up(match[1], fields)
        return json.dumps(value) if match[2] or isinstance(value, dict) else str(value)

    return PLACEHOLDER.sub(placeholder, SECTION.sub(section, text))


class Machine:
    """One machine of the system, with the process of its role."""

    def __init__(self, deployment, name, machine_class, ip, zone):
        self.deployment = deployment
        self.name = name
        self.machine_class = machine_class
        self.ip = ip
        self.zone = zone
        self.process = None
        port = deployment.port
        self.front = f"{ip}:{port + 2}"
        self.ready = f"{ip}:{port + 3}"
        self.control = f"{ip}:{port + 4}"
        self.app = f"{ip}:{port + 5}"

    def fields(self):
        deployment = self.deployment
        return {
            "nodeName": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": "gulf-south",
            "portRange": [deployment.port, deployment.port + 1],
            "seeds": deployment.seeds,
            "limits": {"cpuShare": 0.25},
            "listenAddrs": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "bounds": BOUNDS,
            "platform": {"address": deployment.store_address, "parts": 1},
            "app": self.app,
            "service": deployment.service,
        }

    def start(self):
        role = self.deployment.role_of(self.machine_class)
        template = (ROOT / role["template"]).read_text()
        settings = self.deployment.folder / f"{self.name}.json"
        settings.write_text(fill(template, self.fields()))
        words = role["run"].replace("/etc/gypsumpoint/settings.toml", str(settings)).split()
        log = open(self.deployment.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """A small deployment: edges and sides, one zone each in turn."""

    def __init__(self, edges, sides, service="pond-order"):
        self.service = service
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        first = 1 + os.getpid() % 200
        zones = ["gulf-south-a", "gulf-south-b", "gulf-south-c"]
        edge_ips = [f"127.{first}.0.{10 + index}" for index in range(edges)]
        side_ips = [f"127.{first}.1.{10 + index}" for index in range(sides)]
        self.platform_ip = f"127.{first}.2.10"
        self.port = self.free_ports(edge_ips + side_ips + [self.platform_ip])
        self.store_address = f"{self.platform_ip}:{self.port}"
        self.seeds = [f"{ip}:{self.port + 4}" for ip in edge_ips][:3]
        self.edges = [
            Machine(self, f"edge-{index + 1}", "edge", ip, zones[index % 3])
            for index, ip in enumerate(edge_ips)
        ]
        self.sides = [
            Machine(self, f"side-{index + 1}", "side", ip, zones[index % 3])
            for index, ip in enumerate(side_ips)
        ]

    def role_of(self, machine_class):
        return next(role for role in self.roles.values() if role["on"] == machine_class)

    @staticmethod
    def free_ports(ips):
        """The first of six ports in a row that are free on all addresses."""
        for port in range(20000 + os.getpid() % 5000, 32000, 7):
            if all(is_free(ip, port + offset) for ip in ips for offset in range(6)):
                return port
        raise OSError("no free ports")

    def start(self):
        for machine in self.edges + self.sides:
            machine.start()

    def stop(self):
        for machine in self.edges + self.sides:
            machine.kill()
        if "KEEP_FILES" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_free(ip, port):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True
