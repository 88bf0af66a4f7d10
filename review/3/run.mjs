// An engine in trouble sends one stream of bytes that are no events: the router process stands still for seconds.
import { Client, sleep } from "../lib/installation.mjs";
import { runCase, sendRepeatedly } from "../lib/main.mjs";

const spoiltAnswers = 1;
const pieceBytes = 65;
const bytesPerSecond = 3_000_000;
/** Of the route whose requests are judged, and the time after it that the rule allows. */
const timeoutMilliseconds = 800;
const lateMilliseconds = 500;
const minLate = 8;
const routerCount = 2;
const actClients = 24;
const talkClients = 8;

const randomId = () => Math.floor(Math.random() * 2 ** 32).toString(16);

function createAct() {
  return { path: "/act/charge?work=43", body: "b".repeat(600), budget: 1_500 };
}

function createTalk() {
  const headers = {
    model: "m",
    tokens: "110,40",
    "prompt-prefix": `5c1e07a2:50,${randomId()}:50,${randomId()}:10`,
  };
  const path = `/talk/${randomId()}?events=20`;
  return { path, body: "p".repeat(1_000), budget: 12_000, gap: 2_400, headers };
}

await runCase(import.meta.dirname, async (installation, hasTrouble) => {
  const engines = [
    ...["l-1", "l-2", "l-3", "l-4"].map((id) => ({ id, service: "llm" })),
    ...["a-1", "a-2", "a-3", "a-4"].map((id) => ({ id, service: "app" })),
  ];
  if (!(await installation.start({ routerCount, engines }))) {
    throw new Error("the routers did not become ready");
  }
  let isOver = false;
  const send = (create, count, pause) =>
    installation.routers.flatMap((router) =>
      Array.from({ length: count / routerCount }, () =>
        sendRepeatedly(new Client(installation, router), () => isOver, create, pause),
      ),
    );
  const acts = send(createAct, actClients, 50);
  const talks = send(createTalk, talkClients, 50);
  const checks = installation.routers.map((router) => checkReadiness(router, () => isOver));
  await sleep(6_000);
  if (hasTrouble) {
    installation.record("trouble: the next answer of l-1 has no end");
    const fault = {
      kind: "endless",
      path: "/talk/",
      type: "text/event-stream",
      pieceBytes,
      bytesPerSecond,
    };
    installation.setFault("l-1", { ...fault, count: spoiltAnswers });
  }
  await sleep(14_000);
  isOver = true;
  const seen = (await Promise.all(acts)).flat();
  await Promise.all(talks);
  const missed = await Promise.all(checks);
  installation.routers.forEach(({ name }, index) => {
    installation.record(`platform ${name}: ${String(missed[index])} questions without an answer`);
  });
  return installation.routers.flatMap((router, index) => findLate(router, seen, missed[index]));
});

/** Asks once a second whether a machine is ready, and counts the questions without a 200. */
async function checkReadiness(router, isOver) {
  let missed = 0;
  while (!isOver()) {
    const askedAt = Date.now();
    missed += (await router.isReady()) === 200 ? 0 : 1;
    await sleep(Math.max(0, askedAt + 1_000 - Date.now()));
  }
  return missed;
}

/** Finds the machines at which most requests that outlast the timeout of their route have no answer long after it. */
function findLate({ name }, seen, missed) {
  const taken = seen
    .filter(({ router }) => router === name)
    .map(({ sentAt, endedAt }) => endedAt - sentAt);
  const outlasting = taken.filter((milliseconds) => milliseconds > timeoutMilliseconds);
  const late = outlasting.filter(
    (milliseconds) => milliseconds > timeoutMilliseconds + lateMilliseconds,
  );
  const isBroken = late.length >= minLate && late.length > outlasting.length / 2;
  return isBroken
    ? [
        `CONFIG: at ${name} ${String(outlasting.length)} requests had no answer at their timeout_ms, and ` +
          `${String(late.length)} none ${String(lateMilliseconds)} ms later; ${String(missed)} questions of the ` +
          `platform had no answer`,
      ]
    : [];
}
