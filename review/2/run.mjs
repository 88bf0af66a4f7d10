// Three of five machines lose power while engines of two software versions serve: streams that clients take up at the
// other two go on at the wrong version.
import { Client, sleep } from "../lib/installation.mjs";
import { runCase } from "../lib/main.mjs";

const routerCount = 5;
const lostCount = 3;
const darkMilliseconds = 5_000;
const clientsPerRouter = 80;
const maxMixed = 2;
const budgetMilliseconds = 12_000;
/** A client leaves a stream after such a gap, and takes it up after a pause. */
const gapMilliseconds = 2_400;
const pauseMilliseconds = 500;

const randomId = () => Math.floor(Math.random() * 2 ** 32).toString(16);

await runCase(import.meta.dirname, async (installation, hasTrouble) => {
  const engines = ["l-1", "l-2", "l-3"].map((id) => ({ id, service: "llm", version: "v1" }));
  if (!(await installation.start({ routerCount, engines }))) {
    throw new Error("the routers did not become ready");
  }
  await sleep(6_000);
  for (const id of ["l-4", "l-5", "l-6", "l-7", "l-8"]) {
    await installation.addEngine({ id, service: "llm", version: "v2" });
  }
  installation.record("plan: engines of version v2 are added");
  await sleep(3_000);

  const { routers } = installation;
  const lost = hasTrouble ? routers.slice(0, lostCount) : [];
  const survivors = routers.slice(lostCount);
  const streams = routers.flatMap((router) =>
    Array.from({ length: clientsPerRouter }, () => readStream(installation, router, survivors)),
  );
  await sleep(2_000);
  if (hasTrouble) {
    installation.record(`trouble: ${lost.map(({ name }) => name).join(", ")} lose power`);
    lost.forEach((router) => {
      router.signal("SIGSTOP");
    });
    await sleep(darkMilliseconds);
    lost.forEach((router) => {
      router.signal("SIGKILL");
    });
    installation.record("trouble: they have power again and start");
  }
  return findMixed(installation, await Promise.all(streams));
});

/** Reads a stream at one machine, and takes it up at one of the others when it is left or breaks. */
async function readStream(installation, router, survivors) {
  await sleep(Math.random() * 1_000);
  const begunAt = Date.now();
  const path = `/talk/${randomId()}?events=80`;
  const prompt = `5c1e07a2:50,${randomId()}:50,${randomId()}:10`;
  const send = async (target, headers) => {
    const client = new Client(installation, target);
    const seen = await client.send({
      path,
      body: "p".repeat(1_000),
      budget: budgetMilliseconds - (Date.now() - begunAt),
      gap: gapMilliseconds,
      headers: { model: "m", tokens: "110,80", "prompt-prefix": prompt, ...headers },
    });
    client.close();
    return seen;
  };
  const first = await send(router, {});
  const events = readEvents(first);
  const tries = [{ ...first, events }];
  if (!first.isComplete && first.status === 200 && events.length > 0) {
    await sleep(pauseMilliseconds);
    const target = survivors[Math.floor(Math.random() * survivors.length)];
    const last = String(events.at(-1).id);
    const second = await send(target, { resumes: first.id, "last-event-id": last });
    tries.push({ ...second, events: readEvents(second) });
  }
  return tries;
}

/** Reads the complete events of an answer: id, and the version of the engine that wrote each. */
function readEvents({ status, body }) {
  const text = status === 200 ? body : "";
  return [...text.matchAll(/id: (\d+)\ndata: (\w+) y*\n\n/g)].map(([, id, version]) => ({
    id: Number(id),
    version,
  }));
}

/** Finds the streams that hold events from engines of two software versions, over the tries of their client. */
function findMixed(installation, streams) {
  const taken = streams.filter((tries) => tries.length > 1);
  const wentOn = taken.filter(([, second]) => second.events.length > 0);
  const refused = taken.filter(([, second]) => second.status === 503);
  const mixed = streams.filter(
    (tries) =>
      new Set(tries.flatMap(({ events }) => events.map(({ version }) => version))).size > 1,
  );
  const counts = [streams, taken, wentOn, refused, mixed].map(({ length }) => String(length));
  const text = `${counts[0]} streams, ${counts[1]} taken up, ${counts[2]} went on, ${counts[3]} were refused`;
  installation.record(text);
  console.log(text);
  mixed.forEach(([first, second]) => {
    const [last] = first.events.slice(-1);
    const [next] = second.events;
    installation.record(
      `mixed: stream ${first.id} of ${first.router}, event ${String(last.id)} of ${last.version}; ` +
        `taken up as ${second.id} at ${second.router}, event ${String(next.id)} of ${next.version}`,
    );
  });
  return mixed.length > maxMixed
    ? [`ORDER: ${counts[4]} streams hold events from engines of two software versions`]
    : [];
}
