import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { DaemonStatus } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeDaemon, type FakeResponses } from "../FakeDaemon.js";
import { runCli } from "../runCli.js";
import { samplePages, sampleStatus } from "../samples.js";

const refusingStatus: DaemonStatus = {
  ...sampleStatus,
  process: "d2",
  state: "draining",
  configuration: undefined,
  refused: {
    revision: 8,
    digest: "cd".repeat(32),
    reasons: [{ kind: "size", path: "", message: "the file is too large", allowed: "less" }],
  },
  platform: { reachable: false, isReader: false, calls: 9 },
  peers: [{ name: "d1", zone: "north", state: "lost" }],
  engines: sampleStatus.engines.map((engine) => ({ ...engine, state: "down", reason: "lost" })),
};

const unreachable = "127.0.0.1:1";

/** Runs a command against fake daemons and closes them. */
async function runAgainst(responses: readonly FakeResponses[], ...args: readonly string[]) {
  const daemons = await Promise.all(responses.map((response) => FakeDaemon.create(response)));
  try {
    const flags = daemons.flatMap((daemon) => ["--daemon", daemon.getAddress()]);
    return await runCli(...args, ...flags);
  } finally {
    for (const daemon of daemons) {
      daemon.close();
    }
  }
}

/** Gets the responses of a fake daemon that holds one page of events. */
function getEventResponses(index: number): FakeResponses {
  const page = samplePages[index];
  const last = { ...page, events: [], dropped: 0 };
  return { "/v1/events": page, [`/v1/events?after=${String(page?.next)}`]: last };
}

const test = suite("commands that query daemons");

test("status shows every daemon, differing states and refused configurations", async () => {
  const responses = [{ "/v1/status": sampleStatus }, { "/v1/status": refusingStatus }];
  assert.equal(await runAgainst(responses, "status"), {
    code: 1,
    errors: "",
    output: `Daemons
DAEMON  ZONE   STATE     GENERATION  REVISION  DIGEST        PLATFORM           PEERS     ACTS
d1      north  ready              1         7  abababababab  reachable, reader  1/1 live  0 sending, 4 done, 0 unknown, 1 refused
d2      north  draining  -           -         -             unreachable        0/1 live  0 sending, 4 done, 0 unknown, 1 refused

Engines
ENGINE  ZONE   STATE                   LOAD  LIMIT  MODELS  REASON
e1      north  eligible (1), down (1)     3      5  brief   lost

Services
SERVICE  HOST  ZONE   STATE
records  r1    north  eligible

Teams
TEAM     RUNNING  ADMITTED  REFUSED
drivers        4        20        2

! d2: is draining
! d2: has no configuration
! d2: cannot reach the platform
! d2: refused revision 8: the file is too large; allowed: less
! d2: receives no messages from d1
! d2: sees e1 as down: lost
`,
  });
});

test("status lists a shared concern once with its daemons, and the differing configurations", async () => {
  const statuses = Array.from({ length: 7 }, (_, index) => ({
    ...sampleStatus,
    process: `d${String(index)}`,
    platform: { ...sampleStatus.platform, reachable: index === 0 },
    configuration: { ...sampleStatus.configuration, revision: index === 0 ? 8 : 7 },
  }));
  const run = await runAgainst(
    statuses.map((status) => ({ "/v1/status": status })),
    "status",
    "--json",
  );
  const version = (revision: number) =>
    `configurations differ: generation 1 revision ${String(revision)} digest ${"ab".repeat(32)}`;
  assert.equal((JSON.parse(run.output) as { concerns: unknown }).concerns, [
    "d1, d2, d3, d4, d5 and 1 more: cannot reach the platform",
    `${version(8)} on d0`,
    `${version(7)} on d1, d2, d3, d4, d5 and 1 more`,
  ]);
});

test("status shows the other daemons when some are unreachable or send an invalid response", async () => {
  const responses = [{ "/v1/status": sampleStatus }, { "/v1/status": { process: 1 } }, {}];
  const run = await runAgainst(responses, "status", "--json", "--daemon", unreachable);
  const report = JSON.parse(run.output) as {
    daemons: { status: unknown }[];
    failures: { message: string }[];
  };
  assert.is(run.code, 3);
  assert.equal(
    report.daemons.map(({ status }) => status),
    [sampleStatus],
  );
  assert.equal(
    report.failures.map(({ message }) => message.replace(/127\.0\.0\.1:\d+/g, "ADDRESS")),
    [
      "daemon at ADDRESS did not respond: connect ECONNREFUSED ADDRESS",
      "daemon at ADDRESS sent an invalid response to /v1/status: process: Invalid input: expected string, received number",
      "daemon at ADDRESS sent an invalid response to /v1/status: status 404 no such path",
    ],
  );
});

test("explain lists the candidates in order of rank", async () => {
  const explanation = {
    chat: "c 1",
    model: "brief",
    mean: 1.5,
    limit: 2,
    candidates: [
      { engine: "e2", zone: "n", rank: 1, load: 1, eligible: true, reason: "below the limit" },
      { engine: "e1", zone: "n", rank: 0, load: 2, eligible: false, reason: "at the limit" },
    ],
    choice: "e2",
  };
  const responses = [{ "/v1/explain?chat=c+1&model=brief&team=drivers": explanation }];
  const run = await runAgainst(
    responses,
    "explain",
    "c 1",
    "--model",
    "brief",
    "--team",
    "drivers",
  );
  assert.equal(
    { ...run, output: run.output.replace(/127\.0\.0\.1:\d+/, "ADDRESS") },
    {
      code: 0,
      errors: "",
      output: `ADDRESS: chat c 1, model brief -> e2
mean load 1.50, limit 2
RANK  ENGINE  ZONE  LOAD  ELIGIBLE  REASON
   0  e1      n        2  no        at the limit
   1  e2      n        1  yes       below the limit

`,
    },
  );
});

test("timeline merges events by logical clock and reports dropped events", async () => {
  assert.equal(await runAgainst([getEventResponses(0), getEventResponses(1)], "timeline"), {
    code: 0,
    errors: "warning: d1 no longer holds 3 older events\n",
    output: `TIME                      LOGICAL  PROCESS  EVENT      FIELDS
1970-01-01T00:00:00.100Z        0  d1       arrived    request=r1
1970-01-01T00:00:00.100Z        1  d2       forwarded  note="<b>a b</b>"
1970-01-01T00:00:00.200Z        0  d2       sent       attempt=1
1970-01-01T00:00:00.200Z        1  d1       answered   request=r1 ok=true
`,
  });
});

test("timeline finds an act by its key, with the events of its requests", async () => {
  const payload = Buffer.from(JSON.stringify(["d1", "i1", 4, 9_000])).toString("base64url");
  const [page] = samplePages;
  const event = { at: 100, logical: 0 };
  const sending = {
    ...event,
    sequence: 1,
    name: "act.sending",
    fields: { act: "d1/i1/4", request: "r7" },
  };
  const finished = { ...event, sequence: 2, name: "request.finished", fields: { request: "r7" } };
  const responses = {
    "/v1/events?id=d1%2Fi1%2F4": { ...page, events: [sending] },
    "/v1/events?after=2&id=d1%2Fi1%2F4": { ...page, events: [] },
    "/v1/events?id=r7": { ...page, events: [sending, finished] },
    "/v1/events?after=2&id=r7": { ...page, events: [] },
  };
  const run = await runAgainst([responses], "timeline", "--json", "--id", `act1.${payload}.mac`);
  const report = JSON.parse(run.output) as { events: { name: string }[]; failures: unknown[] };
  assert.equal(
    [report.events.map(({ name }) => name), report.failures],
    [["act.sending", "request.finished"], []],
  );
});

test("timeline writes a page with a column for each process and escaped field values", async () => {
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-"));
  try {
    const file = join(folder, "page.html");
    await runAgainst([getEventResponses(0), getEventResponses(1)], "timeline", "--html", file);
    const page = await readFile(file, "utf8");
    assert.equal(/<thead>.*<\/thead>/.exec(page)?.[0].match(/<th>d\d/g), ["<th>d1", "<th>d2"]);
    assert.equal(/<tr>.*forwarded.*<\/tr>/.exec(page)?.[0], getForwardedRow());
    assert.not.match(page, /<b>|<script|https?:/);
  } finally {
    await rm(folder, { recursive: true });
  }
});

function getForwardedRow(): string {
  const time = '<td class="time" title="1970-01-01T00:00:00.100Z logical 1">0</td>';
  const fields = "note=&quot;&lt;b&gt;a b&lt;/b&gt;&quot;";
  const event = `<span class="name">forwarded</span><span class="fields">${fields}</span>`;
  return `<tr>${time}<td></td><td>${event}</td></tr>`;
}

test("a call without an address or with an unknown flag exits with 2", async () => {
  assert.equal(await runCli("status"), {
    code: 2,
    output: "",
    errors:
      "error: no daemon address is given; use --daemon ADDRESS:PORT or PISTACHIOWAY_DAEMONS\n",
  });
  assert.is((await runCli("status", "--nonsense", "--json")).code, 2);
});

test.run();
