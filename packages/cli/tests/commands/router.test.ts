import type { RouterStatus } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { runCli } from "../runCli.js";
import { FakeDaemon } from "../FakeDaemon.js";

const test = suite("router status");

function createStatus(part: Partial<RouterStatus> = {}): RouterStatus {
  return {
    name: "entry-north",
    zone: "north",
    incarnation: 1,
    isReady: true,
    version: 7,
    ageMilliseconds: 900,
    era: 1,
    running: 3,
    unreachedServices: [],
    evacuatedZones: [],
    forwarded: {},
    takenOver: 0,
    peers: [{ name: "entry-south", version: 7 }],
    upstreams: [
      {
        id: "i-1",
        service: "records",
        address: "10.0.0.1:80",
        zone: "north",
        slots: 6,
        state: "ready",
        softwareVersion: "v1",
        bornAt: 1,
        sequence: 1,
        running: 2,
        load: 4,
        isAvoided: false,
        isLeaving: false,
        isEvacuated: false,
        restMilliseconds: 0,
        limitPerSecond: null,
      },
    ],
    ...part,
  };
}

async function runStatus(...statuses: readonly RouterStatus[]) {
  const daemons = await Promise.all(
    statuses.map((status) => FakeDaemon.create({ "/status": status })),
  );
  const addresses = daemons.map((daemon) => daemon.getAddress()).join(",");
  const run = await runCli("router", "status", "--daemon", addresses);
  daemons.forEach((daemon) => {
    daemon.close();
  });
  return run;
}

test("shows routers and upstreams", async () => {
  const run = await runStatus(createStatus(), createStatus({ name: "entry-south", zone: "south" }));
  assert.equal(run, {
    code: 0,
    errors: "",
    output: [
      "Routers",
      "router       zone   state  version  era  age ms  running  peers",
      "entry-north  north  ready        7    1     900        3      1",
      "entry-south  south  ready        7    1     900        3      1",
      "",
      "Upstreams",
      "upstream  service  zone   state  running  avoided by  rest ms  known to",
      "i-1       records  north  ready        4           0        0         2",
      "",
      "",
    ].join("\n"),
  });
});

test("lists what needs attention and exits with 1", async () => {
  const lost = createStatus({
    name: "entry-south",
    isReady: false,
    version: null,
    ageMilliseconds: null,
    peers: [],
  });
  const run = await runStatus(createStatus(), lost);
  const concerns = run.output.split("\n").filter((line) => line.startsWith("!"));
  assert.is(run.code, 1);
  assert.equal(concerns, [
    "! entry-south is not ready",
    "! entry-south has no configuration",
    "! configurations differ",
    "! entry-south does not receive messages from all queried routers",
  ]);
});

test("shows upstreams that leave or rest, and routers that know different eras", async () => {
  const [upstream] = createStatus().upstreams;
  const upstreams =
    upstream === undefined ? [] : [{ ...upstream, isLeaving: true, restMilliseconds: 900 }];
  const run = await runStatus(
    createStatus(),
    createStatus({ name: "entry-south", era: 2, upstreams }),
  );
  const lines = run.output
    .split("\n")
    .filter((line) => line.startsWith("!") || line.startsWith("i-1"));
  assert.equal(lines, [
    "i-1       records  north  ready, leaving        4           0      900         2",
    "! eras of the registry differ",
  ]);
});

// Guards against a router that sends to an evacuated zone without the operator's knowledge.
test("shows evacuated zones, and routers that do not know of one", async () => {
  const [upstream] = createStatus().upstreams;
  const upstreams = upstream === undefined ? [] : [{ ...upstream, isEvacuated: true }];
  const run = await runStatus(
    createStatus({ evacuatedZones: ["north"], upstreams }),
    createStatus({ name: "entry-south" }),
  );
  const lines = run.output
    .split("\n")
    .filter((line) => line.startsWith("!") || line.startsWith("i-1"));
  assert.equal(lines, [
    "i-1       records  north  evacuated, ready        4           0        0         2",
    '! zone "north" is evacuated; not known to entry-south',
  ]);
});

test.run();
