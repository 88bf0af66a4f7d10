import { RegistryStore, ScriptedUpstream } from "@pistachioway/standins";
import { readResponse, type RawResponse } from "./RouterFixture.js";
import { RouterProcess, type LaunchOptions } from "./RouterProcess.js";

/** Time-out of all routes, and of the callers' requests. */
export const processTimeoutMilliseconds = 5_000;

/** A router in a process of its own, with a store and upstreams of one service. */
export interface ProcessContext {
  store: RegistryStore;
  upstreams: readonly ScriptedUpstream[];
  router: RouterProcess;
}

/** What differs between the tests that use a process. */
export interface ProcessOptions extends LaunchOptions {
  /** Upstreams that listen. */
  readonly upstreamCount: number;
  /** Upstreams of these that are listed when the router starts. */
  readonly listedCount: number;
}

/** Starts store, upstreams and router of a test. */
export async function setUpProcess(
  context: ProcessContext,
  { upstreamCount, listedCount, ...launchOptions }: ProcessOptions,
): Promise<void> {
  context.store = RegistryStore.create();
  context.upstreams = Array.from({ length: upstreamCount }, (_, index) =>
    ScriptedUpstream.create(`i-${String(index + 1)}`),
  );
  await Promise.all([context.store, ...context.upstreams].map((server) => server.listen()));
  context.store.publishConfiguration({ timeoutMilliseconds: processTimeoutMilliseconds });
  context.upstreams.slice(0, listedCount).forEach((upstream) => {
    context.store.publishUpstream(upstream);
  });
  context.router = await RouterProcess.start(context.store, listedCount, launchOptions);
}

/** Ends what `setUpProcess` has started. */
export async function tearDownProcess(context: ProcessContext): Promise<void> {
  const { store, upstreams, router } = context;
  await router.kill();
  await Promise.all([store, ...upstreams].map((server) => server.close()));
}

/** Sends a request on a connection of its own. */
export async function callProcess(
  { router }: ProcessContext,
  path: string,
  id: string,
): Promise<RawResponse> {
  const socket = router.open();
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: ${id}\r\nApi-Key: k-1\r\n` +
      `Deadline-Ms: ${String(processTimeoutMilliseconds)}\r\nContent-Length: 1\r\n\r\nx`,
  );
  return readResponse(socket);
}
