// After an outage of the store, streams that a restarting machine had to cut are refused by all others.
import { Client, sleep } from "../lib/installation.mjs";
import { runCase } from "../lib/main.mjs";

const routerCount = 3;
const clientCount = 24;
const eventCount = 160;
const minTaken = 12;
const outageMilliseconds = 3_500;
/** From the beginning of the outage to the SIGTERM of the machine. */
const stopMilliseconds = 400;
const budgetMilliseconds = 12_000;
const gapMilliseconds = 2_400;
const pauseMilliseconds = 300;

const randomId = () => Math.floor(Math.random() * 2 ** 32).toString(16);

await runCase(import.meta.dirname, async (installation, hasTrouble) => {
  const engines = ["l-1", "l-2", "l-3"].map((id) => ({ id, service: "llm" }));
  if (!(await installation.start({ routerCount, engines }))) {
    throw new Error("the routers did not become ready");
  }
  await sleep(4_000);
  const [restarted, ...others] = installation.routers;
  const streams = Array.from({ length: clientCount }, () =>
    readStream(installation, restarted, others),
  );
  await sleep(500);
  const { store } = installation;
  if (hasTrouble) {
    installation.record("trouble: the store is down");
    store.goAway();
  }
  await sleep(stopMilliseconds);
  installation.record(`plan: ${restarted.name} gets SIGTERM`);
  restarted.signal("SIGTERM");
  await sleep(outageMilliseconds - stopMilliseconds);
  if (hasTrouble) {
    installation.record("trouble: the store is back");
    store.isUp = true;
  }
  const tries = await Promise.all(streams);
  const fresh = await Promise.all(
    others.flatMap((router) =>
      Array.from({ length: clientCount / 2 }, async () => {
        const seen = await send(installation, router, createRequest(3), budgetMilliseconds, {});
        return getLastEvent(seen) > 0;
      }),
    ),
  );
  return findLost(installation, tries, fresh);
});

function createRequest(events) {
  return {
    path: `/talk/${randomId()}?events=${String(events)}`,
    prompt: `5c1e07a2:50,${randomId()}:50,${randomId()}:10`,
  };
}

async function send(installation, router, { path, prompt }, budget, headers) {
  const client = new Client(installation, router);
  const body = "p".repeat(1_000);
  const all = { model: "m", tokens: "110,160", "prompt-prefix": prompt, ...headers };
  const seen = await client.send({ path, body, budget, gap: gapMilliseconds, headers: all });
  client.close();
  return seen;
}

/** Reads a stream at one machine, and takes it up at another one when it breaks. */
async function readStream(installation, router, others) {
  const begunAt = Date.now();
  const request = createRequest(eventCount);
  const first = await send(installation, router, request, budgetMilliseconds, {});
  const last = getLastEvent(first);
  if (first.isComplete || last === 0) {
    return [first];
  }
  await sleep(pauseMilliseconds);
  const target = others[Math.floor(Math.random() * others.length)];
  const budget = budgetMilliseconds - (Date.now() - begunAt);
  const headers = { resumes: first.id, "last-event-id": String(last) };
  return [first, await send(installation, target, request, budget, headers)];
}

function getLastEvent({ status, body }) {
  const text = status === 200 ? body : "";
  return Number([...text.matchAll(/id: (\d+)\ndata: \w+ y*\n\n/g)].at(-1)?.[1] ?? 0);
}

/** Compares the share of streams that go on with the share of new streams that begin. */
function findLost(installation, tries, fresh) {
  const taken = tries.filter(({ length }) => length > 1).map(([, second]) => second);
  const wentOn = taken.filter((second) => getLastEvent(second) > 0);
  const begun = fresh.filter(Boolean);
  const text =
    `${String(taken.length)} streams taken up, ${String(wentOn.length)} went on; ` +
    `${String(begun.length)} of ${String(fresh.length)} new ones began; answers to the first: ` +
    taken.map(({ status }) => String(status)).join(" ");
  installation.record(text);
  console.log(text);
  const isBroken =
    taken.length >= minTaken && wentOn.length / taken.length < begun.length / fresh.length / 2;
  return isBroken
    ? [`LOST: ${String(wentOn.length)} of ${String(taken.length)} streams taken up went on`]
    : [];
}
