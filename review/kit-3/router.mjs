// Routers as processes of their own, started with the command of deploy/system.toml.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));
/** Processes that were started and have not ended. */
const running = new Set();
process.once("exit", () => running.forEach((child) => child.kill("SIGKILL")));

/** Gets the command of the deploy file. */
function getCommand() {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  return /^run = "([^"]+)"/m.exec(text)[1];
}

/** Finds a port that is free on every address given. */
export async function findPort(hosts) {
  for (;;) {
    const port = 20_000 + Math.floor(Math.random() * 12_000);
    const free = await Promise.all(hosts.map((host) => isFree(host, port)));
    if (free.every(Boolean)) {
      return port;
    }
  }
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The ports that all routers of a fleet share. */
export async function findPorts(hosts) {
  const ports = {};
  for (const name of ["callers", "readiness", "operations", "metrics", "datagrams"]) {
    do {
      ports[name] = await findPort(hosts);
    } while (Object.entries(ports).some(([other, port]) => other !== name && port === ports[name]));
  }
  return ports;
}

export class Router {
  lines = [];
  ends = [];

  constructor({ host, ports, store, seeds, zone = "zone-a", isFirstStart = true, bounds = {} }) {
    Object.assign(this, { host, ports, store, seeds, zone, isFirstStart, bounds });
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.name = `front-${host}`;
  }

  at(port) {
    return `${this.host}:${this.ports[port]}`;
  }

  settings() {
    const { ratio = 0.2, slack = 56, revoke = 5000 } = this.bounds;
    return [
      `[process]\nname = "${this.name}"\nzone = "${this.zone}"\nisFirstStart = ${this.isFirstStart}`,
      `[listeners]\ncallers = "${this.at("callers")}"\nreadiness = "${this.at("readiness")}"`,
      `operations = "${this.at("operations")}"\nmetrics = "${this.at("metrics")}"`,
      `datagrams = "${this.at("datagrams")}"`,
      `[registry]\naddress = "${this.store}"\nreadersPerZone = 2`,
      `[peers]\nseeds = [${this.seeds.map((seed) => `"${seed}"`).join(", ")}]`,
      `[configuration]\nstaleMilliseconds = 2600\nrevokeMilliseconds = ${revoke}`,
      `[retries]\nratio = ${ratio}\nslack = ${slack}\n`,
    ].join("\n");
  }

  start() {
    const file = join(this.folder, "router.toml");
    writeFileSync(file, this.settings());
    const [program, ...words] = getCommand().split(" ");
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, PISTACHIOWAY_BOOT: file };
    this.process = spawn(program, words, { cwd: root, env, stdio: ["ignore", "pipe", "pipe"] });
    const child = this.process;
    running.add(child);
    child.once("error", (error) => this.lines.push(String(error)));
    const read = (text) => this.lines.push(...String(text).split("\n").filter(Boolean));
    child.stdout.on("data", read);
    child.stderr.on("data", read);
    this.ended = new Promise((resolve) => {
      child.once("exit", (code, signal) => {
        running.delete(child);
        this.ends.push({ code, signal });
        resolve();
      });
    });
    this.isFirstStart = false;
  }

  signal(name) {
    this.process.kill(name);
  }

  async stop() {
    if (this.process?.exitCode === null && this.process.signalCode === null) {
      this.process.kill("SIGCONT");
      this.process.kill("SIGKILL");
      await this.ended;
    }
    rmSync(this.folder, { recursive: true, force: true });
  }

  /** Resolves to whether the router is ready before the time is over. */
  async waitUntilReady(milliseconds = 10_000) {
    const end = Date.now() + milliseconds;
    while (Date.now() < end) {
      if (await this.isReady()) {
        return true;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    return false;
  }

  async isReady() {
    try {
      const { get } = await import("node:http");
      return await new Promise((resolve) => {
        const request = get(`http://${this.at("readiness")}/readyz`, { timeout: 500 }, (answer) => {
          answer.resume();
          resolve(answer.statusCode === 200);
        });
        request.once("error", () => resolve(false));
        request.once("timeout", () => request.destroy());
      });
    } catch {
      return false;
    }
  }
}
