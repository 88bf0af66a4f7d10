/** Starts engines as processes, enters them into the store, and keeps what they print. */
import { spawn } from "node:child_process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import { createEntry } from "./config.mjs";

const program = fileURLToPath(new URL("engine.mjs", import.meta.url));

export class Engines {
  lines = [];
  engines = [];

  constructor(store) {
    this.store = store;
  }

  async start(options, entry = {}) {
    const child = spawn(process.execPath, [program, JSON.stringify(options)], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    const engine = { ...options, child, isGone: false };
    this.engines.push(engine);
    child.on("exit", () => {
      engine.isGone = true;
    });
    await new Promise((resolve) => {
      createInterface({ input: child.stdout }).on("line", (text) => {
        const line = JSON.parse(text);
        this.lines.push(line);
        if (line.event === "listening") {
          engine.address = line.address;
          engine.born = line.born;
          resolve();
        }
      });
    });
    this.write(engine, entry);
    return engine;
  }

  /** Writes the entry of an engine. */
  write(engine, more = {}) {
    engine.sequence = (engine.sequence ?? 0) + 1;
    const { service, version = "v1", address, born, sequence } = engine;
    const fields = { version, born, seq_no: sequence, ...more };
    this.store.put(`servers/${engine.id}`, createEntry(service, address, fields));
  }

  kill(engine, signal = "SIGKILL") {
    if (!engine.isGone) {
      engine.child.kill(signal);
    }
  }

  /** Gets what engines ran. */
  getRuns() {
    return this.lines.filter(({ event }) => event === "ran");
  }

  stop() {
    for (const engine of this.engines) {
      this.kill(engine);
    }
  }
}
