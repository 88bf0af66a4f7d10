/** Routers as processes, started with the command and the settings template of the deploy files. */
import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

export const root = fileURLToPath(new URL("../..", import.meta.url));

/** Gets a port that is free on a loopback address. */
export async function getFreePort(host = "127.0.0.1") {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, host, resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** Renders the template of the deploy file, as DEPLOY.md tells it: values, and sections of lists and values. */
export function render(template, fields) {
  const find = (path) => path.split(".").reduce((value, name) => value?.[name], fields);
  const sections = template.replace(
    /\{\{#([\w.]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g,
    (_, path, inner) => {
      const value = find(path);
      if (!Array.isArray(value)) {
        return value ? inner : "";
      }
      return value
        .map((each, index) =>
          inner.replaceAll("{{.}}", each).replaceAll("{{,}}", index < value.length - 1 ? "," : ""),
        )
        .join("");
    },
  );
  return sections.replace(/\{\{([\w.]+)\}\}/g, (_, path) => String(find(path) ?? ""));
}

const bounds = { retry_ratio: 0.2, retry_slack: 56, revoke_ms: 5000 };

export class RouterFleet {
  routers = [];

  constructor(folder, storeAddress, hosts, zone = "north-a") {
    this.folder = folder;
    this.storeAddress = storeAddress;
    this.hosts = hosts;
    this.zone = zone;
  }

  async start({ isFirst = true, only = this.hosts } = {}) {
    this.ports ??= {
      front: await getFreePort(),
      ready: await getFreePort(),
      control: await getFreePort(),
      datagrams: await getFreePort(),
    };
    for (const host of only) {
      this.launch(host, isFirst);
    }
    await Promise.all(only.map((host) => this.waitUntilReady(host)));
  }

  launch(host, isFirst) {
    const { front, ready, control, datagrams } = this.ports;
    const name = `front-${host.split(".").at(-1)}`;
    const deploy = readFileSync(join(root, "deploy/system.toml"), "utf8");
    const template = readFileSync(join(root, "deploy/settings.toml.template"), "utf8");
    const [, run] = /^run = "(.*)"$/m.exec(deploy);
    const [program, ...args] = run.split(" ");
    const settings = render(template, {
      node_name: name,
      zone: this.zone,
      bootstrap: isFirst,
      ip: host,
      listen: {
        front: `${host}:${String(front)}`,
        ready: `${host}:${String(ready)}`,
        control: `${host}:${String(control)}`,
      },
      port_range: [datagrams],
      platform: { address: this.storeAddress },
      seeds: this.hosts.slice(0, 3).map((each) => `${each}:${String(control)}`),
      bounds,
    });
    const file = join(this.folder, `${name}.toml`);
    writeFileSync(file, settings);
    const child = spawn(program, args, {
      cwd: root,
      env: { PATH: process.env.PATH, HOME: process.env.HOME, PISTACHIOWAY_BOOT: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(this.folder, `${name}.log`), { flags: "a" });
    child.stdout.pipe(log);
    child.stderr.pipe(log);
    const router = { host, name, child, end: undefined };
    child.on("exit", (code, signal) => {
      router.end = { code, signal };
    });
    this.routers = [...this.routers.filter((each) => each.host !== host), router];
    return router;
  }

  get(host) {
    return this.routers.find((each) => each.host === host);
  }

  async isReady(host) {
    return new Promise((resolve) => {
      const request = get(
        { host, port: this.ports.ready, path: "/readyz", timeout: 500, agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(false));
    });
  }

  async waitUntilReady(host) {
    for (let tries = 0; tries < 150; tries += 1) {
      if (await this.isReady(host)) {
        return;
      }
      await delay(100);
    }
    throw new Error(`router ${host} is not ready`);
  }

  async stop() {
    for (const { child, end } of this.routers) {
      if (end === undefined) {
        child.kill("SIGCONT");
        child.kill("SIGKILL");
      }
    }
    await delay(200);
  }
}
