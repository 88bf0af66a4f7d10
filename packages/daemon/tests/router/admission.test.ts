import { WorkEstimator } from "@pistachioway/kernel";
import { refuseRequest, respondWith, ScriptedUpstream, type Script } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouterFixture, waitFor } from "./RouterFixture.js";
import { getArrivals, setScripts, type Context as ScriptContext } from "./scripts.js";

interface Context extends ScriptContext {
  /** Responds to the requests that upstreams hold, and at once to later ones. */
  release: () => void;
  /** Refuses the first request that an upstream holds. */
  refuseFirst: () => void;
}

const test = suite<Context>("admission control of a router");

/** Requests that two upstreams of 8 slots take; more wait. */
const capacity = 16;
const isWorkAware = WorkEstimator.prototype.isWorkAware;

test.before.each(async (context) => {
  WorkEstimator.prototype.isWorkAware = () => true;
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.fixture = await RouterFixture.create(context.upstreams);
  const held: ((script: Script) => void)[] = [];
  setScripts(context, (request, response) => {
    held.push((script) => {
      script(request, response);
    });
  });
  context.refuseFirst = () => {
    held.shift()?.(refuseRequest);
  };
  context.release = () => {
    setScripts(context, respondWith("ok"));
    held.forEach((respond) => {
      respond(respondWith("ok"));
    });
  };
});

test.after.each(async ({ fixture, upstreams }) => {
  WorkEstimator.prototype.isWorkAware = isWorkAware;
  await fixture.close(upstreams);
});

/** Fills the upstreams, and gets the statuses of the calls that do it. */
async function fill(context: Context): Promise<Promise<number>[]> {
  const calls = Array.from({ length: capacity }, async (_, index) => {
    const { status } = await context.fixture.call("/once/1", { id: `f-${String(index)}` });
    return status;
  });
  await waitFor(() => getArrivals(context) === capacity);
  return calls;
}

/** Gets the number of requests that wait, as the router's metrics tell it. */
async function getWaiting({ fixture }: Context): Promise<number> {
  const response = await fetch(`http://${fixture.operations}/metrics`);
  const [, value = "0"] =
    /^pistachioway_waiting_requests\{.*\} (\d+)$/m.exec(await response.text()) ?? [];
  return Number(value);
}

test("a request over the slots waits, is served when they are free, and its log line tells the wait", async (context) => {
  const filling = await fill(context);
  const waiting = context.fixture.call("/once/2", { id: "q-1" });
  await waitForWaiting(context, 1);
  assert.is(getArrivals(context), capacity);
  context.release();
  assert.equal([(await waiting).status, ...(await Promise.all(filling))], Array(17).fill(200));
  const line = context.fixture.logLines.find((each) => /finished.*request=q-1 /.test(each)) ?? "";
  assert.match(line, / waited=\d+ /);
});

// Guards against requests of callers that have left being sent, and against places that they keep.
test("a caller that leaves while its request waits frees its place, and nothing is sent", async (context) => {
  const filling = await fill(context);
  const socket = context.fixture.open();
  socket.write(
    "GET /once/2 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n\r\n",
  );
  await waitForWaiting(context, 1);
  socket.destroy();
  await waitForWaiting(context, 0);
  context.release();
  await Promise.all(filling);
  assert.is(getArrivals(context), capacity);
});

// Guards against a wait that outlasts a stop, and against its request being reported as perhaps run.
test("a stop that ends its service refuses what waits as not run", async (context) => {
  const filling = await fill(context);
  const waiting = context.fixture.call("/once/2", { id: "q-1" });
  await waitForWaiting(context, 1);
  const stopped = context.fixture.router.stop();
  context.fixture.router.endRequests();
  const { status, body, headers } = await waiting;
  assert.equal(
    [status, body.includes("daemon-stopping"), headers["retry-after"]],
    [503, true, "0.1"],
  );
  assert.is(getArrivals(context), capacity);
  await Promise.all([...filling, stopped]);
});

// Guards against a retry that waits behind new requests while its caller's time passes.
test("a request that an upstream refused is sent again before those that wait", async (context) => {
  const filling = await fill(context);
  const waiting = context.fixture.call("/once/2", { id: "q-1" });
  await waitForWaiting(context, 1);
  context.refuseFirst();
  await waitFor(() => getArrivals(context) === capacity + 1);
  const ids = context.upstreams.flatMap(({ received }) => received.map(({ id }) => id));
  assert.equal([ids.includes("q-1"), new Set(ids).size], [false, capacity]);
  context.release();
  assert.equal([(await waiting).status, ...(await Promise.all(filling))], Array(17).fill(200));
});

async function waitForWaiting(context: Context, count: number): Promise<void> {
  for (let tries = 0; tries < 400 && (await getWaiting(context)) !== count; tries += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  assert.is(await getWaiting(context), count);
}

test.run();
