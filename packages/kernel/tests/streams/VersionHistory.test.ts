import { VersionHistory } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createUpstream } from "../upstreams/samples.js";

interface Context {
  history: VersionHistory;
}

const test = suite<Context>("VersionHistory");

/** Longest time that a stream runs, in milliseconds. */
const lifetime = 30_000;
const service = "engine";
/** Start of the process on the clock of the upstreams. */
const wallStart = 1_000_000;

test.before.each((context) => {
  context.history = VersionHistory.create(true);
});

/** Records a list of engines, each with its version and its start, on the monotonic clock. */
function record(
  { history }: Context,
  now: number,
  engines: readonly (readonly [version: string, bornAt: number])[],
  ageMilliseconds = 0,
  readCount = 1,
): void {
  const upstreams = engines.map(([softwareVersion, bornAt], index) =>
    createUpstream({ id: `e-${String(index)}`, softwareVersion, bornAt: wallStart + bornAt }),
  );
  history.recordList({ upstreams, ageMilliseconds, readCount }, now);
}

test("at the first start of all a version is the only one at once", (context) => {
  record(context, 0, [["v1", -1_000]]);
  assert.is(context.history.getOnlyVersion(service, 0), "v1");
  assert.is(context.history.getOnlyVersion("other", lifetime), undefined);
});

// Guards against streams that were joined from two versions after all routers were killed at once (ORDER).
test("a daemon that starts when another version has just left does not take the one that is listed for the only one", (context) => {
  context.history = VersionHistory.create();
  record(context, 0, [["v2", -31_000]]);
  assert.equal(
    [0, lifetime - 1, lifetime].map((now) => context.history.getOnlyVersion(service, now)),
    [undefined, undefined, "v2"],
  );
});

test("a daemon that starts learns from one that knows, unless it has seen another version itself", (context) => {
  context.history = VersionHistory.create();
  record(context, 0, [["v1", -1_000]]);
  context.history.learnOnlyVersion(service, "v2", 10);
  assert.is(context.history.getOnlyVersion(service, 10), undefined);
  context.history.learnOnlyVersion(service, "v1", 20);
  assert.is(context.history.getOnlyVersion(service, 20), "v1");
});

test("a version that has left counts until its streams have ended", (context) => {
  record(context, 0, [["v1", -lifetime]]);
  record(context, 1_000, [
    ["v1", -lifetime],
    ["v2", 900],
  ]);
  record(context, 2_000, [["v2", 900]]);
  assert.equal(
    [1_000, 2_000, 31_000, 31_001].map((now) => context.history.getOnlyVersion(service, now)),
    [undefined, undefined, undefined, "v2"],
  );
});

// Guards against streams without a record that were taken for streams of the version that came first (ORDER).
test("once another version has come, the one that was alone is not the only one of streams that still run", (context) => {
  record(context, 0, [["v1", -lifetime]]);
  record(context, 1_000, [
    ["v1", -lifetime],
    ["v2", 900],
  ]);
  record(context, 2_000, [["v1", -lifetime]]);
  const { history } = context;
  const times = [1_000, 1_000 + lifetime, 1_001 + lifetime];
  assert.equal(
    times.map((now) => [
      history.hasSeveralVersions(service, now),
      history.getOnlyVersion(service, now),
    ]),
    [
      [true, undefined],
      [true, undefined],
      [false, "v1"],
    ],
  );
});

test("of two versions that were listed when a daemon started neither was alone", (context) => {
  record(context, 0, [
    ["v1", -2 * lifetime],
    ["v2", -lifetime],
  ]);
  assert.equal(
    [
      context.history.hasSeveralVersions(service, 0),
      context.history.getOnlyVersion(service, lifetime),
    ],
    [true, undefined],
  );
});

// Guards against streams that are refused after an outage in which nothing changed (LOST).
test("a list that is not current proves nothing, and what was known is known again after it", (context) => {
  record(context, 0, [["v1", -lifetime]]);
  record(context, 4_000, [["v1", -lifetime]], 4_000);
  assert.is(context.history.getOnlyVersion(service, 4_000), undefined);
  record(context, 5_000, [["v1", -lifetime]]);
  assert.is(context.history.getOnlyVersion(service, 5_000), "v1");
});

test("a version that left before an outage was over counts until its streams have ended", (context) => {
  record(context, 0, [
    ["v1", -lifetime],
    ["v2", -lifetime],
  ]);
  record(
    context,
    4_000,
    [
      ["v1", -lifetime],
      ["v2", -lifetime],
    ],
    4_000,
  );
  record(context, 5_000, [["v1", -lifetime]]);
  assert.equal(
    [4_000 + lifetime, 4_001 + lifetime].map((now) => context.history.getOnlyVersion(service, now)),
    [undefined, "v1"],
  );
});

test("a version that came and went within an update counts until its streams have ended", (context) => {
  record(context, 0, [["v1", -lifetime]]);
  const upstream = createUpstream({ id: "e-9", softwareVersion: "v2", bornAt: wallStart });
  context.history.recordUpstream(upstream, 1_000);
  record(context, 1_100, [["v1", -lifetime]]);
  assert.equal(
    [1_100, 1_000 + lifetime, 1_001 + lifetime].map((now) =>
      context.history.getOnlyVersion(service, now),
    ),
    [undefined, undefined, "v1"],
  );
});

test("a complete read ends what is known, until no stream from before can run", (context) => {
  record(context, 0, [["v1", -lifetime]]);
  record(context, 5_000, [["v1", -lifetime]], 0, 2);
  assert.equal(
    [5_000, 4_999 + lifetime, 5_000 + lifetime].map((now) =>
      context.history.getOnlyVersion(service, now),
    ),
    [undefined, undefined, "v1"],
  );
});

test("a version that has left long ago does not keep a daemon from learning", (context) => {
  record(context, 0, [["v1", -lifetime]]);
  record(context, 1_000, [["v2", 900]]);
  record(context, 100_000, [["v2", 900]], 0, 2);
  context.history.learnOnlyVersion(service, "v2", 100_000);
  assert.is(context.history.getOnlyVersion(service, 100_000), "v2");
});

test.run();
