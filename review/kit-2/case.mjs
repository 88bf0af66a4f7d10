/** What all cases share: the record of a run, its temporary folder, its exit code and the end of all its processes. */
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { root } from "./routers.mjs";

const limitMs = 112_000;
const exitCodes = { held: 0, broken: 1, notRun: 2 };

/** Whether the run has its disruption. */
export const hasTrouble = process.env.TROUBLE !== "0";

export class Case {
  lines = [];
  stoppables = [];

  constructor(folder) {
    this.recordFile = join(folder, "record.txt");
    this.folder = mkdtempSync(join(tmpdir(), "review-"));
    this.startedAt = Date.now();
  }

  /** Adds a line to the record, with the time since the start of the run. */
  record(text) {
    this.lines.push(`${((Date.now() - this.startedAt) / 1000).toFixed(3)} ${text}`);
  }

  /** Adds something that ends what it started. */
  add(stoppable) {
    this.stoppables.push(stoppable);
    return stoppable;
  }

  /** Adds the lines of a router's log that name an event. */
  recordLogs(pattern) {
    for (const name of readdirSync(this.folder).filter((each) => each.endsWith(".log"))) {
      const lines = readFileSync(join(this.folder, name), "utf8").split("\n");
      const chosen = lines.filter((line) => pattern.test(line)).slice(0, 200);
      chosen.forEach((line) => this.lines.push(`log ${name}: ${line.slice(0, 300)}`));
    }
  }

  async end(exitCode) {
    for (const stoppable of this.stoppables) {
      await stoppable.stop();
    }
    await delay(100);
    writeFileSync(this.recordFile, `${this.lines.join("\n")}\n`);
    rmSync(this.folder, { recursive: true, force: true });
    process.exit(exitCode);
  }
}

/**
 * Runs a case: `play` resolves to whether the rule was broken, or throws when the case could not run.
 * @param folder - Folder of the case.
 * @param play - Plays the case.
 */
export async function run(folder, play) {
  const each = new Case(folder);
  setTimeout(() => {
    each.record("not run: out of time");
    void each.end(exitCodes.notRun);
  }, limitMs).unref();
  try {
    if (!existsSync(join(root, "target/pistachiowayd.mjs"))) {
      throw new Error("target/pistachiowayd.mjs is missing: run the build of the deploy file");
    }
    each.record(hasTrouble ? "with the disruption" : "TROUBLE=0: without the disruption");
    const isBroken = await play(each);
    each.record(isBroken ? "BROKEN" : "held");
    process.stdout.write(`${isBroken ? "broken" : "held"}\n`);
    await each.end(isBroken ? exitCodes.broken : exitCodes.held);
  } catch (error) {
    each.record(`not run: ${error.stack}`);
    process.stdout.write(`not run: ${error.message}\n`);
    await each.end(exitCodes.notRun);
  }
}
