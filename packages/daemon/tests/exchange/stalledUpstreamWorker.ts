import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import type { StalledUpstreamData } from "./StalledUpstream.js";

const { state, port } = workerData as StalledUpstreamData;
const stalled = 1;

const server = createServer((_request, response) => {
  response.end();
});
server.listen({ port, host: "127.0.0.1", backlog: 1 }, () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
});
parentPort?.on("message", () => {
  Atomics.wait(state, 0, stalled);
});
