import { RegistryTask } from "@pistachioway/daemon";
import type {
  ClockReading,
  HistoryLost,
  Registry,
  RegistryChange,
  RegistryUpdate,
  Upstream,
} from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("evacuation by the registry");

const routing = {
  version: 1,
  routes: [],
  services: [],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMilliseconds: 1,
    idleTimeoutMilliseconds: 1,
  },
};

const upstream: Upstream = {
  id: "u-1",
  service: "records",
  address: "10.0.0.1:80",
  zone: "north",
  slots: 8,
  state: "ready",
  softwareVersion: "v1",
  bornAt: 1,
  sequence: 1,
};

const table: RegistryChange = { kind: "routing", routing, faults: [] };
const listed: RegistryChange = { kind: "upstream", upstream };
const evacuated = (zone: string): RegistryChange => ({ kind: "zoneEvacuated", zone });
const returned = (zone: string): RegistryChange => ({ kind: "zoneReturned", zone });

/** A response after a time; without changes a failed call. */
interface Step {
  readonly after: number;
  readonly changes: readonly RegistryChange[] | "historyLost" | undefined;
  readonly era?: number;
}

const read = (after: number, ...changes: RegistryChange[]): Step => ({ after, changes });
const fail = (after: number): Step => ({ after, changes: undefined });
const restored = (step: Step): Step => ({ ...step, era: 2 });

/** What the evacuated zones were after each call, and the lines of the log about zones. */
interface Run {
  readonly zones: readonly string[];
  readonly lines: readonly string[];
  readonly task: RegistryTask;
}

/** Runs a task against scripted responses in simulated time; the registry fails after them. */
async function run(steps: readonly Step[], onStep?: (task: RegistryTask) => void): Promise<Run> {
  let now = 0;
  const remaining = [...steps];
  const zones: string[] = [];
  const lines: string[] = [];
  const getClocks = (): ClockReading => ({ monotonic: now, wall: now });
  const respond = (): Promise<RegistryUpdate | HistoryLost> => {
    const step = remaining.shift();
    if (step === undefined) {
      task.stop();
      return Promise.reject(new Error("the registry is unreachable"));
    }
    now += step.after;
    onStep?.(task);
    if (step.changes === undefined) {
      return Promise.reject(new Error("the registry is unreachable"));
    }
    if (step.changes === "historyLost") {
      return Promise.resolve({ kind: "historyLost", era: 1 });
    }
    return Promise.resolve({ changes: step.changes, position: 1, era: step.era ?? 1 });
  };
  const registry: Registry = { readAll: respond, watch: respond };
  const task = RegistryTask.create({
    registry,
    getClocks,
    pause: (milliseconds) => {
      now += milliseconds;
      return Promise.resolve();
    },
    record: (level, event, fields) => {
      if (/^(zone|evacuation)\./.test(event)) {
        lines.push(`${level} ${event} ${JSON.stringify(fields)}`);
      }
    },
    onUpstream: () => undefined,
    onTable: () => undefined,
    onCall: () => {
      zones.push(task.upstreams.evacuations.getZones().join(","));
    },
  });
  await task.run();
  zones.push(task.upstreams.evacuations.getZones().join(","));
  return { zones: zones.slice(1, -1), lines, task };
}

test("a watch starts and ends it, with a line each", async () => {
  const { zones, lines } = await run([
    read(5, table, listed),
    read(900, evacuated("north")),
    read(900, evacuated("north")),
    read(900, returned("north")),
  ]);
  assert.equal(zones, ["", "north", "north", ""]);
  assert.equal(lines, [
    'warn zone.evacuated {"zone":"north","source":"registry","upstreams":1,"running":0}',
    'info zone.returned {"zone":"north","source":"registry","upstreams":1,"running":0}',
  ]);
});

// Guards against an evacuation that ends because the registry cannot be read.
test("a daemon that loses the registry in the middle keeps it, also when it changes nothing later", async () => {
  const { zones, task } = await run([
    read(5, table, listed, evacuated("north")),
    ...Array.from({ length: 20 }, () => fail(900)),
    read(900),
  ]);
  assert.equal([...new Set(zones)], ["north"]);
  assert.equal(
    task.upstreams.getEntries().map((entry) => entry.isOffered()),
    [false],
  );
});

// Guards against an evacuation that lasts after its key was removed while the history was lost.
test("a complete read ends what it does not list", async () => {
  const { zones } = await run([
    read(5, table, evacuated("north")),
    { after: 5, changes: "historyLost" },
    read(5, table),
  ]);
  assert.equal(zones, ["north", "north", ""]);
});

// Guards against requests to the zone between the restoration and the time at which operators repeat the key.
test("a restored registry that lacks the key does not end it before operators could repeat it", async () => {
  const restoredList = restored(read(5, table, listed));
  const start = [read(5, table, listed, evacuated("north")), restored(read(900)), restoredList];
  const repeated = await run([
    ...start,
    restored(read(1_500, evacuated("north"))),
    ...Array.from({ length: 6 }, () => restored(read(1_000))),
  ]);
  const forgotten = await run([
    ...start,
    ...Array.from({ length: 8 }, () => restored(read(1_000))),
  ]);
  const [first = ""] = forgotten.lines.slice(-1);
  assert.equal([...new Set(repeated.zones)], ["north"]);
  assert.equal(forgotten.zones.slice(0, 5), ["north", "north", "north", "north", "north"]);
  assert.equal([forgotten.zones.at(-1), first.slice(0, 18)], ["", "info zone.returned"]);
});

test("a daemon without the registry takes it from a peer, and keeps it if another peer does not name any list", async () => {
  const state = { version: 1, era: 1, routing, upstreams: [upstream] };
  const answers = [
    { ...state, ageMilliseconds: 900, evacuatedZones: ["north"] },
    { ...state, ageMilliseconds: 100 },
    { ...state, ageMilliseconds: 5, evacuatedZones: [] },
  ];
  const known: unknown[] = [];
  const steps = [fail(40), fail(10), fail(10), fail(10)];
  const { lines } = await run(steps, (task) => {
    const answer = answers.shift();
    if (answer !== undefined) {
      task.handlePeerState(answer, { monotonic: 40, wall: 40 });
      const { evacuations } = task.upstreams;
      known.push([evacuations.getZones(), evacuations.getKnownZones()]);
    }
  });
  assert.equal(known, [
    [["north"], ["north"]],
    [["north"], undefined],
    [[], []],
  ]);
  assert.equal(lines, [
    'warn zone.evacuated {"zone":"north","source":"peer","upstreams":1,"running":0}',
    'info zone.returned {"zone":"north","source":"peer","upstreams":1,"running":0}',
  ]);
});

// Guards against an evacuation that a peer's list ended for good: the watch that follows does not tell it again.
test("a daemon that took the list of a peer goes by its own again once the registry responds", async () => {
  const steps = [read(5, table, listed, evacuated("north")), fail(900), fail(900), read(900)];
  const { zones, lines } = await run(steps, (task) => {
    if (task.getAgeMilliseconds() > 1_500 && task.isUnreachable()) {
      const state = { version: 1, ageMilliseconds: 10, upstreams: [upstream], evacuatedZones: [] };
      task.handlePeerState(state, { monotonic: 1_600, wall: 1_600 });
    }
  });
  assert.equal([zones.slice(0, 3), zones.at(-1)], [["north", "", ""], "north"]);
  assert.equal(
    lines.map((line) => line.split(" ")[1]),
    ["zone.evacuated", "zone.returned", "zone.evacuated"],
  );
});

// Guards against a peer whose list is older than what this daemon knows from the registry.
test("an older list of a peer changes nothing", async () => {
  const { zones } = await run([read(5, table, evacuated("north")), fail(10)], (task) => {
    const evacuatedZones: string[] = [];
    const state = { version: 1, ageMilliseconds: 2_000, upstreams: [], evacuatedZones };
    task.handlePeerState(state, { monotonic: 700, wall: 700 });
  });
  assert.equal(zones, ["north", "north"]);
});

test("an unreadable key and a zone that no upstream has are logged once and change nothing else", async () => {
  const { zones, lines, task } = await run([
    read(5, table, listed, evacuated(""), evacuated("narth")),
    read(900, evacuated(""), evacuated("narth")),
    read(900, evacuated("x".repeat(300))),
  ]);
  assert.equal(zones, ["narth", "narth", "narth"]);
  assert.equal(
    task.upstreams.getEntries().map((entry) => entry.isOffered()),
    [true],
  );
  assert.equal(lines, [
    'warn evacuation.refused {"detail":"\\"\\" is no name of a zone"}',
    'warn zone.evacuated {"zone":"narth","source":"registry","upstreams":0,"running":0}',
    'warn zone.unknown {"zone":"narth"}',
    `warn evacuation.refused {"detail":"\\"${"x".repeat(64)}\\" is no name of a zone"}`,
  ]);
});

test.run();
