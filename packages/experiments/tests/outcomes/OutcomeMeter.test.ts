import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getStream, OutcomeMeter, sites, type CallerAnswer } from "@pistachioway/experiments";

const test = suite("OutcomeMeter");

const { routes } = sites["corrig-diary"];

function addAttempt(
  meter: OutcomeMeter,
  id: string,
  routeName: string,
  status: number,
  build = "1",
  received: Partial<CallerAnswer> = {},
): void {
  const route = routes.find(({ name }) => name === routeName);
  const answer: CallerAnswer = {
    status,
    isWhole: true,
    body: "",
    retryAfterSeconds: 0,
    wasUnread: false,
    ...received,
  };
  if (route !== undefined) {
    meter.addAttempt({ id, operation: 1, route, build, answer });
  }
}

test("counts a request that ran although it was answered with a promise", () => {
  const meter = OutcomeMeter.create();
  meter.addFault("q-1", "503");
  meter.addRun("q-1", "e-1");
  addAttempt(meter, "q-1", "entry", 503);
  meter.addRun("q-2", "e-2");
  addAttempt(meter, "q-2", "entry", 502);
  const { refused, twice, repeated, variants, examples } = meter.getCounts();
  assert.equal(
    { refused, twice, repeated, variants, examples },
    {
      refused: 1,
      twice: 0,
      repeated: 1,
      variants: { "503": { faulty: 1, refused: 1, twice: 0 } },
      examples: { "503": "q-1" },
    },
  );
});

test("counts a request that ran twice only if it may run once", () => {
  const meter = OutcomeMeter.create();
  for (const [id, route] of [
    ["q-1", "note"],
    ["q-2", "lookup"],
  ] as const) {
    meter.addRun(id, "e-1");
    meter.addRun(id, "e-2");
    addAttempt(meter, id, route, 502);
  }
  const { refused, twice, repeated, served } = meter.getCounts();
  assert.equal(
    { refused, twice, repeated, served },
    { refused: 0, twice: 1, repeated: 1, served: 0 },
  );
});

test("counts apart what happened to requests that went through a peer", () => {
  const meter = OutcomeMeter.create();
  for (const id of ["q-1", "q-2", "q-3"]) {
    meter.addFault(id, "503");
    meter.addRun(id, "e-1");
    meter.addRun(id, "e-2");
  }
  meter.addForwarded("q-1", "1");
  meter.addForwarded("q-2", "1");
  addAttempt(meter, "q-1", "entry", 503);
  addAttempt(meter, "q-2", "lookup", 503);
  addAttempt(meter, "q-3", "entry", 503);
  const { refused, twice, forwarded } = meter.getCounts();
  assert.equal(
    { refused, twice, forwarded },
    { refused: 2, twice: 2, forwarded: { requests: 2, faulty: 1, refused: 1, twice: 1 } },
  );
});

test("counts apart what happened to requests by the builds of the routers on their way", () => {
  const meter = OutcomeMeter.create();
  const ids = ["q-1", "q-2", "q-3", "q-4"];
  ids.forEach((id, index) => {
    meter.addFault(id, "503");
    meter.addRun(id, "e-1");
    addAttempt(meter, id, "entry", 503, index === 0 ? "2" : "1");
  });
  meter.addForwarded("q-3", "2");
  meter.addForwarded("q-4", "2");
  meter.addForwarded("q-4", "1");
  meter.addRun("q-3", "e-2");
  const { builds } = meter.getCounts();
  const counts = { requests: 1, faulty: 1, refused: 1, twice: 0 };
  assert.equal(builds, {
    "1": counts,
    "1>1>2": counts,
    "1>2": { ...counts, twice: 1 },
    "2": counts,
  });
});

// Guards against streams that end too early and count as served (ORDER).
test("counts streams that end as complete too early, or with bytes that are no event", () => {
  const meter = OutcomeMeter.create();
  const whole = getStream("q-0", "e-1");
  const short = whole.slice(0, whole.length - getStream("q-0", "e-1", 6).length);
  const bodies = [whole, short, `${short}id: 7`, `${short}${short}`];
  for (const [index, body] of bodies.entries()) {
    const id = `q-${String(index)}`;
    meter.addRun(id, "e-1");
    addAttempt(meter, id, "note", 200, "1", { body: body.replaceAll("q-0", id) });
  }
  meter.addRun("q-9", "e-1");
  addAttempt(meter, "q-9", "note", 200, "1", {
    body: short.replaceAll("q-0", "q-9"),
    isWhole: false,
  });
  const { mixed, early, examples } = meter.getCounts();
  assert.equal(
    { mixed, early, examples },
    { mixed: 3, early: 2, examples: { mixed: "q-1", early: "q-1" } },
  );
});

test.run();
