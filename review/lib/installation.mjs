// A small installation: store, engines, routers, and the record of what was sent, answered and run.
import { fork } from "node:child_process";
import { appendFileSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { fileURLToPath } from "node:url";
import { pickPorts, Router } from "./routers.mjs";
import { Store } from "./store.mjs";

const engineFile = fileURLToPath(new URL("engine.mjs", import.meta.url));
export const sleep = (milliseconds) => new Promise((resolve) => setTimeout(resolve, milliseconds));

/** Creates a configuration in the platform's format, with the routes of a sheet. */
export function createConfiguration(version, keys) {
  const common = { host: "chat.example", priority: 1, public: false };
  const talk = { route_kind: "streaming", goal_ms: 600, service: "llm", sticky: true };
  const app = { goal_ms: 193, timeout_ms: 800, service: "app", sticky: false, resumable: false };
  return {
    version,
    route_list: [
      {
        ...common,
        ...talk,
        name: "talk",
        prefix: "/talk/",
        timeout_ms: 12_000,
        max_attempts: 2,
        resumable: true,
      },
      {
        ...common,
        ...app,
        name: "act",
        prefix: "/act/",
        route_kind: "non_idempotent",
        max_attempts: 1,
      },
      {
        ...common,
        ...app,
        name: "read",
        prefix: "/read/",
        route_kind: "idempotent",
        max_attempts: 2,
      },
    ],
    services: [
      {
        name: "llm",
        health_path: "/healthz",
        max_conns: 370,
        engine: { slots: 64, kv_capacity: 589_156, moves: false },
      },
      { name: "app", health_path: "/healthz", max_conns: 110 },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 5_000,
      idle_timeout_ms: 30_000,
    },
    tenants: [
      { name: "t-1", api_keys: keys },
      { name: "t-2", api_keys: ["key-other"] },
    ],
  };
}

/** Store, engines and routers of one run; `close` ends all that it started. */
export class Installation {
  store = new Store();
  engines = [];
  routers = [];
  runs = [];
  startedAt = Date.now();

  constructor(folder) {
    this.recordFile = `${folder}/record.txt`;
    writeFileSync(this.recordFile, "");
    process.once("exit", () => {
      this.routers.forEach((router) => router.stop());
    });
  }

  record(text) {
    const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
    appendFileSync(this.recordFile, `${seconds} ${text}\n`);
  }

  async start({ routerCount, engines, keys = ["key-1"] }) {
    await this.store.listen("127.0.0.1");
    this.store.put("op/config", createConfiguration(1, keys));
    for (const engine of engines) {
      await this.addEngine(engine);
    }
    const hosts = Array.from({ length: routerCount }, (_, index) => `127.0.1.${String(index + 1)}`);
    const ports = await pickPorts(hosts);
    this.routers = hosts.map(
      (host, index) =>
        new Router(`front-${String(index + 1)}`, host, ports, hosts, this.store.address, {
          onLine: (name, line) => {
            this.record(`log ${name} ${line}`);
          },
        }),
    );
    this.routers.forEach((router) => router.start());
    const ready = await Promise.all(this.routers.map((router) => router.waitUntilReady()));
    return ready.every(Boolean);
  }

  async addEngine({ id, service, version = "v1" }) {
    const child = fork(engineFile, [id, "127.0.0.1", version]);
    const engine = { id, service, version, child };
    this.engines.push(engine);
    await new Promise((resolve) => {
      child.on("message", (message) => {
        if (message.kind === "listening") {
          engine.address = message.address;
          resolve();
        } else {
          this.record(`engine ${JSON.stringify(message)}`);
          if (message.kind === "run") {
            this.runs.push(message);
          }
        }
      });
    });
    engine.born = Date.now();
    this.publish(engine);
  }

  publish({ id, service, version, address, born }, state = "ready", seq = 1) {
    const entry = { service, address, zone: "z-a", version, slots: service === "llm" ? 64 : 6 };
    const rest = { state, cold_left_ms: 0, seq_no: seq, born };
    this.store.put(`servers/${id}`, { ...entry, ...rest });
  }

  setFault(id, fault) {
    this.engines.find((engine) => engine.id === id).child.send({ fault });
  }

  close() {
    this.routers.forEach((router) => router.stop());
    this.engines.forEach(({ child }) => child.kill("SIGKILL"));
    this.store.close();
  }
}

let idCount = 0;

/** A client with a kept channel to one machine. */
export class Client {
  agent = new Agent({ keepAlive: true, maxSockets: 1 });

  constructor(installation, router) {
    this.installation = installation;
    this.router = router;
  }

  /** Sends a request and resolves with what the client saw; streams are left after a gap. */
  send({ path, method = "POST", body = "", key = "key-1", budget = 1_500, gap = 0, headers = {} }) {
    idCount += 1;
    const id = `${process.pid.toString(16)}-${idCount.toString(16).padStart(6, "0")}`;
    const seen = {
      id,
      router: this.router.name,
      path,
      sentAt: Date.now(),
      status: 0,
      body: "",
      isComplete: false,
    };
    const length = body === "" ? {} : { "content-length": body.length };
    const all = {
      host: "chat.example",
      "request-id": id,
      "deadline-ms": String(budget),
      "api-key": key,
      ...length,
      ...headers,
    };
    return new Promise((resolve) => {
      let leaveTimer;
      const end = (how) => {
        clearTimeout(budgetTimer);
        clearTimeout(leaveTimer);
        seen.end ??= how;
        seen.endedAt ??= Date.now();
        const { body: text, ...rest } = seen;
        this.installation.record(`client ${JSON.stringify({ ...rest, bytes: text.length })}`);
        resolve(seen);
      };
      const leave = (how) => {
        seen.end = how;
        seen.endedAt = Date.now();
        call.destroy();
      };
      const restartGap = () => {
        clearTimeout(leaveTimer);
        leaveTimer = gap > 0 ? setTimeout(() => leave("left after a gap"), gap) : undefined;
      };
      const budgetTimer = setTimeout(() => leave("time budget"), budget);
      const call = request(
        {
          host: this.router.host,
          port: this.router.ports[0],
          path,
          method,
          agent: this.agent,
          headers: all,
        },
        (response) => {
          seen.status = response.statusCode;
          seen.headAt = Date.now();
          seen.stamp = response.headers["response-stamp"];
          response.on("data", (chunk) => {
            seen.body += chunk.toString("latin1");
            restartGap();
          });
          response.on("end", () => {
            seen.isComplete = response.complete;
            end(response.complete ? "answered" : "cut off");
          });
          response.on("error", () => {
            end("cut off");
          });
        },
      );
      call.on("error", (error) => {
        end(`channel ended: ${error.code ?? error.message}`);
      });
      call.on("socket", (socket) => {
        seen.isKept = call.reusedSocket;
        seen.port = socket.localPort;
      });
      restartGap();
      call.end(body);
    });
  }

  close() {
    this.agent.destroy();
  }
}
