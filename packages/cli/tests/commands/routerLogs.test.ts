import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { runCli } from "../runCli.js";

const test = suite("router explain, router timeline");

const finished =
  "request=8bcc outcome=upstream-failed status=502 service=app version=3 age=767 upstream=e-1 " +
  'load=0 runs=1 refusals=0 detail="upstream \\"e-1\\": other side closed"';
const north = [
  `at=2026-12-04T01:00:00.000Z level=info event=request.finished daemon=north ${finished}`,
  "at=2026-12-04T01:00:00.400Z level=info event=upstream.gone daemon=north upstream=e-1",
  "at=2026-12-04T01:00:09.000Z level=info event=upstream.gone daemon=north upstream=e-1",
];
const south = [
  "at=2026-12-04T00:59:59.900Z level=info event=request.finished daemon=south request=77aa outcome=upstream-failed upstream=e-1",
  'at=2026-12-04T01:00:01.000Z level=warn event=registry.lost daemon=south detail="read ECONNRESET"',
  "at=2026-12-04T01:00:04.000Z level=info event=request.refused daemon=south request=d2b1 reason=stale-configuration version=3 age=3663",
  "Segmentation fault",
];

let folder = "";
let logs = "";

test.before(async () => {
  folder = await mkdtemp(join(tmpdir(), "pistachioway-logs-"));
  const files = [join(folder, "north.log"), join(folder, "south.log")];
  await writeFile(files[0] ?? "", `${north.join("\n")}\n`);
  await writeFile(files[1] ?? "", `${south.join("\n")}\n`);
  logs = files.join(",");
});

test.after(async () => {
  await rm(folder, { recursive: true });
});

test("explains a request whose upstream failed, with failures of other requests at this upstream", async () => {
  const run = await runCli("router", "explain", "8bcc", "--log", logs);
  assert.is(run.code, 0);
  assert.is(run.errors, "warning: 1 lines skipped, not daemon log lines\n");
  assert.equal(run.output.split("\n"), [
    "8bcc: upstream-failed",
    "The connection to the upstream failed after the request was sent; the request may have run.",
    "See detail. Failures at several routers point to the upstream, at one router to the network path to it.",
    "",
    "TIME                      LOGICAL  PROCESS  EVENT             FIELDS",
    `2026-12-04T01:00:00.000Z        0  north    request.finished  ${finished}`,
    "",
    "Near in time",
    "TIME                      LOGICAL  PROCESS  EVENT          FIELDS",
    "2026-12-04T01:00:00.400Z        0  north    upstream.gone  upstream=e-1",
    "",
    "1 other requests failed at this upstream near in time, seen by 1 router(s)",
    "",
  ]);
});

test("explains a refusal, with related events of the router", async () => {
  const run = await runCli("router", "explain", "d2b1", "--log", logs);
  assert.equal(run.output.split("\n"), [
    "d2b1: stale-configuration",
    "The router could not confirm its configuration in time, so an unknown route or key may be new " +
      "and a known key may be revoked; the request has not run.",
    "registry.lost on all routers points to the registry, on this router only to its network.",
    "",
    "TIME                      LOGICAL  PROCESS  EVENT            FIELDS",
    "2026-12-04T01:00:04.000Z        0  south    request.refused  request=d2b1 reason=stale-configuration version=3 age=3663",
    "",
    "Near in time",
    "TIME                      LOGICAL  PROCESS  EVENT          FIELDS",
    '2026-12-04T01:00:01.000Z        0  south    registry.lost  detail="read ECONNRESET"',
    "",
  ]);
});

test("exits with 2 when no log contains the request", async () => {
  const run = await runCli("router", "explain", "ffff", "--log", logs);
  assert.is(run.code, 2);
  assert.match(run.errors, 'request "ffff" does not exist in the logs');
});

test("merges the logs by time and filters by upstream", async () => {
  const run = await runCli("router", "timeline", "--log", logs, "--id", "e-1", "--json");
  const { events } = JSON.parse(run.output) as { events: { process: string; name: string }[] };
  assert.equal(
    events.map(({ process, name }) => `${process} ${name}`),
    [
      "south request.finished",
      "north request.finished",
      "north upstream.gone",
      "north upstream.gone",
    ],
  );
});

test.run();
