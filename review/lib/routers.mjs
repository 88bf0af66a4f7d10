// Starts the project's router with the command of the deploy file and the settings of its template.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../", import.meta.url));
const deployFile = readFileSync(join(root, "deploy/system.toml"), "utf8");
const [, command = ""] = /^run = "(.*)"$/m.exec(deployFile) ?? [];
const [, templatePath = ""] = /^template = "(.*)"$/m.exec(deployFile) ?? [];
const template = readFileSync(join(root, templatePath), "utf8");
const restartMilliseconds = 300;

/** One machine with the role of the router. */
export class Router {
  lines = [];
  exits = [];
  isWanted = false;

  constructor(name, host, ports, seeds, store, { zone = "z-a", onLine = () => undefined } = {}) {
    this.name = name;
    this.host = host;
    this.ports = ports;
    this.onLine = onLine;
    this.fields = {
      node_name: name,
      zone,
      ip: host,
      bootstrap: true,
      listen: {
        front: `${host}:${String(ports[0])}`,
        ready: `${host}:${String(ports[1])}`,
        control: `${host}:${String(ports[2])}`,
      },
      port_range: [ports[3], ports[3]],
      seeds: seeds.map((seed) => `${seed}:${String(ports[2])}`),
      platform: { address: store },
      bounds: { revoke_ms: 5_000, retry_ratio: 0.2, retry_slack: 56 },
    };
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
  }

  /** Starts the process; the platform starts it again after it has ended. */
  start() {
    this.isWanted = true;
    const text = render(template, this.fields).replaceAll(`:9464"`, `:${String(this.ports[4])}"`);
    const file = join(this.folder, "local.toml");
    writeFileSync(file, text);
    const [program, ...words] = command.split(" ");
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, PISTACHIOWAY_BOOT: file };
    const child = spawn(program, words, { cwd: root, env, stdio: ["ignore", "pipe", "pipe"] });
    this.child = child;
    const read = (chunk) => {
      const lines = chunk.toString().split("\n").filter(Boolean);
      this.lines.push(...lines);
      lines.forEach((line) => this.onLine(this.name, line));
    };
    child.stdout.on("data", read);
    child.stderr.on("data", read);
    child.once("exit", (code, signal) => {
      this.exits.push({ at: Date.now(), code, signal });
      this.fields.bootstrap = false;
      setTimeout(() => this.isWanted && this.start(), restartMilliseconds);
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  stop() {
    this.isWanted = false;
    this.child?.kill("SIGKILL");
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Memory that the process has in use now, in bytes; 0 when it does not run. */
  getMemory() {
    try {
      const text = readFileSync(`/proc/${String(this.child.pid)}/status`, "utf8");
      return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) * 1024;
    } catch {
      return 0;
    }
  }

  /** Asks whether the machine is ready, as the platform does; 0 without an answer within a second. */
  async isReady() {
    return await getStatus(this.host, this.ports[1], "/readyz");
  }

  async waitUntilReady(limitMilliseconds = 15_000) {
    const end = Date.now() + limitMilliseconds;
    while (Date.now() < end) {
      if ((await this.isReady()) === 200) {
        return true;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    return false;
  }
}

function getStatus(host, port, path) {
  return new Promise((resolve) => {
    const call = request({ host, port, path, agent: false, timeout: 1_000 }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    call.on("timeout", () => call.destroy());
    call.on("error", () => {
      resolve(0);
    });
    call.end();
  });
}

/** Fills in the template, as far as its placeholders go: values, lists and the comma between entries. */
function render(text, fields) {
  const filled = text.replace(/\{\{#(\w+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, name, inner) =>
    fields[name]
      .map((entry, index) =>
        inner
          .replaceAll("{{.}}", entry)
          .replaceAll("{{,}}", index < fields[name].length - 1 ? "," : ""),
      )
      .join(""),
  );
  return filled.replace(/\{\{([\w.]+)\}\}/g, (_, path) =>
    String(path.split(".").reduce((value, name) => value?.[name], fields) ?? ""),
  );
}

/** Picks ports that are free on all hosts, below the range of outgoing channels. */
export async function pickPorts(hosts, count = 5) {
  const ports = [];
  while (ports.length < count) {
    const port = 15_000 + Math.floor(Math.random() * 15_000);
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (!ports.includes(port) && free.every(Boolean)) {
      ports.push(port);
    }
  }
  return ports;
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });
}
