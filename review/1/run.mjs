// An engine in trouble sends answers without end, in small pieces: the router process crashes.
import { Client, sleep } from "../lib/installation.mjs";
import { runCase, sendRepeatedly } from "../lib/main.mjs";

const folder = import.meta.dirname;
/** Answers that are spoilt at each of a few times. */
const spoiltAnswers = 10;
const times = 3;
const pieceBytes = 4;
const bytesPerSecond = 10_000_000;
const maxLost = 3;
const actClients = 24;
const talkClients = 16;
const routerCount = 2;

const randomId = () => Math.floor(Math.random() * 2 ** 32).toString(16);

function createAct() {
  return { path: "/act/charge?work=200", body: "b".repeat(600), budget: 1_500 };
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

await runCase(folder, async (installation, hasTrouble) => {
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
  const acts = send(createAct, actClients, 5);
  const talks = send(createTalk, talkClients, 20);
  await sleep(6_000);
  for (let time = 0; time < times; time += 1) {
    if (hasTrouble) {
      installation.record(`trouble: the next ${String(spoiltAnswers)} answers of l-1 have no end`);
      const type = "application/json";
      const fault = {
        kind: "endless",
        path: "/talk/",
        status: 500,
        type,
        pieceBytes,
        bytesPerSecond,
      };
      installation.setFault("l-1", { ...fault, count: spoiltAnswers });
    }
    await sleep(6_000);
  }
  isOver = true;
  const seen = (await Promise.all(acts)).flat();
  await Promise.all(talks);
  return findLost(installation, seen);
});

/** Finds the machines that have closed kept channels without an answer after a sound engine got their requests. */
function findLost({ runs, routers }, seen) {
  const sound = new Set(runs.filter(({ isSpoilt }) => !isSpoilt).map(({ requestId }) => requestId));
  const lost = seen.filter(
    ({ id, isKept, status, end }) =>
      isKept && sound.has(id) && status === 0 && end.startsWith("channel ended"),
  );
  return routers.flatMap((router) => {
    const ids = lost.filter(({ router: name }) => name === router.name).map(({ id }) => id);
    const exits = router.exits.map(({ code, signal }) => signal ?? String(code)).join(", ");
    return ids.length > maxLost
      ? [
          `LOST: ${router.name} closed ${String(ids.length)} kept channels without an answer, ` +
            `each after a sound engine got the request (${ids.join(" ")}); its process ended: ${exits}`,
        ]
      : [];
  });
}
