// The process of a router is killed while it relays streams without a length: their clients take them for complete.
import { Client, sleep } from "../lib/installation.mjs";
import { runCase } from "../lib/main.mjs";

const routerCount = 2;
const clientsPerRouter = 12;
const eventCount = 60;
const budgetMilliseconds = 12_000;
const gapMilliseconds = 2_400;

const randomId = () => Math.floor(Math.random() * 2 ** 32).toString(16);

await runCase(import.meta.dirname, async (installation, hasTrouble) => {
  const engines = ["l-1", "l-2", "l-3"].map((id) => ({ id, service: "llm" }));
  if (!(await installation.start({ routerCount, engines }))) {
    throw new Error("the routers did not become ready");
  }
  await sleep(4_000);
  const streams = installation.routers.flatMap((router) =>
    Array.from({ length: clientsPerRouter }, (_, index) =>
      // Half of the answers have neither a length nor chunks, and end with their channel.
      readStream(installation, router, index % 2 === 0 ? "&unframed=1" : ""),
    ),
  );
  await sleep(1_500);
  if (hasTrouble) {
    const [router] = installation.routers;
    installation.record(`trouble: the process on ${router.name} is killed`);
    router.signal("SIGKILL");
  }
  return findEarlyEnds(installation, await Promise.all(streams));
});

async function readStream(installation, router, form) {
  const client = new Client(installation, router);
  const prompt = `5c1e07a2:50,${randomId()}:50,${randomId()}:10`;
  const seen = await client.send({
    path: `/talk/${randomId()}?events=${String(eventCount)}${form}`,
    body: "p".repeat(1_000),
    budget: budgetMilliseconds,
    gap: gapMilliseconds,
    headers: { model: "m", tokens: "110,60", "prompt-prefix": prompt },
  });
  client.close();
  return seen;
}

/**
 * Finds the streams that look complete, although their last events are missing: the channel was ended in order, not
 * reset, and not inside an event.
 */
function findEarlyEnds(installation, seen) {
  const early = seen.filter(
    ({ status, isComplete, body }) =>
      status === 200 && isComplete && body.endsWith("\n\n") && getLastEvent(body) !== eventCount,
  );
  early.forEach(({ id, router, body }) => {
    const last = String(getLastEvent(body));
    installation.record(
      `early: stream ${id} of ${router} ended as complete after event ${last} of ${String(eventCount)}`,
    );
  });
  const broken = seen.filter(({ end }) => end !== "answered").length;
  const text = `${String(seen.length)} streams, ${String(broken)} seen as broken off by their clients`;
  installation.record(text);
  console.log(text);
  return early.length > 0
    ? [`ORDER: ${String(early.length)} streams ended as complete before their last event`]
    : [];
}

function getLastEvent(body) {
  return Number([...body.matchAll(/id: (\d+)\ndata: \w+ y*\n\n/g)].at(-1)?.[1] ?? 0);
}
