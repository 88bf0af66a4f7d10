import type { HeaderCodec } from "@pistachioway/kernel";
import { headerCodec, StoreClient } from "@pistachioway/platform";
import { RegistryStore, type ScriptedUpstream } from "@pistachioway/standins";
import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { Router, routerSettingsSchema, StreamLog } from "@pistachioway/daemon";
import { closeIfFailed } from "./closeIfFailed.js";
import { getFreePorts } from "./getFreePorts.js";
import { setBusy } from "./setBusy.js";

/** What a caller received on one connection. */
export interface RawResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Whether the connection is still open, was closed in order, or was reset. */
  readonly end: "open" | "closed" | "reset";
}

/** A router with a registry store and scripted upstreams, on loopback sockets. */
export class RouterFixture {
  private readonly sockets = new Set<Socket>();

  private constructor(
    /** Lines of the router's log. */
    readonly logLines: readonly string[],
    readonly store: RegistryStore,
    public router: Router,
    private readonly host: string,
    private readonly ports: readonly number[],
    private storeClient: StoreClient,
    private readonly seeds: readonly string[],
    private readonly storeAddress: string,
  ) {}

  /**
   * Starts a store and a router with one route of each kind.
   * @param upstreams - Upstreams of the routes.
   * @param codec - Reads and writes headers.
   */
  static async create(
    upstreams: readonly ScriptedUpstream[],
    codec: HeaderCodec = headerCodec,
  ): Promise<RouterFixture> {
    const store = RegistryStore.create();
    const setUp = async (): Promise<RouterFixture> => {
      await store.listen();
      await Promise.all(upstreams.map((upstream) => upstream.listen()));
      store.publishConfiguration();
      upstreams.forEach((upstream) => {
        store.publishUpstream(upstream);
      });
      const ports = await getFreePorts(4);
      return RouterFixture.start("127.0.0.1", ports, store, undefined, undefined, undefined, codec);
    };
    return closeIfFailed(setUp, async () => {
      await Promise.all([store.close(), ...upstreams.map((upstream) => upstream.close())]);
    });
  }

  /**
   * Starts several routers, each on a loopback address of its own, that share a store and find each other.
   * @param count - Number of routers.
   * @param createStoreAddress - Gets the address at which a router reaches the store, by the router's index.
   * @param isFirstStart - Whether the routers are told that the installation starts for the first time.
   */
  static async createFleet(
    count: number,
    createStoreAddress: (store: RegistryStore, router: number) => Promise<string> = (store) =>
      Promise.resolve(store.address),
    isFirstStart = false,
  ): Promise<RouterFixture[]> {
    const store = RegistryStore.create();
    const seeds = ["127.0.0.1:1", "127.0.0.2:1"];
    const setUp = async (): Promise<RouterFixture[]> => {
      await store.listen();
      store.publishConfiguration();
      const ports = await getFreePorts(4);
      const starting = Array.from({ length: count }, async (_, index) => {
        const storeAddress = await createStoreAddress(store, index);
        const host = `127.0.0.${String(index + 1)}`;
        return RouterFixture.start(host, ports, store, seeds, storeAddress, isFirstStart);
      });
      return closeIfFailed(
        () => Promise.all(starting),
        () => closeStarted(starting),
      );
    };
    return closeIfFailed(setUp, () => store.close());
  }

  /** Closes the router at once and starts another one in its place, which remembers nothing. */
  async restart(): Promise<void> {
    this.router.close();
    this.storeClient.close();
    const { router, storeClient } = await RouterFixture.start(
      this.host,
      this.ports,
      this.store,
      this.seeds,
      this.storeAddress,
    );
    this.router = router;
    this.storeClient = storeClient;
  }

  /** Starts a second router, on another loopback address, that cannot reach the store; closes it after its use. */
  async useIsolated(use: (isolated: RouterFixture) => Promise<void>): Promise<void> {
    const store = RegistryStore.create();
    try {
      await store.listen();
      store.setMode("reset");
      const isolated = await RouterFixture.start("127.0.0.2", this.ports, store);
      await use(isolated).finally(() => isolated.close([]));
    } finally {
      await store.close();
    }
  }

  private static async start(
    host: string,
    ports: readonly number[],
    store: RegistryStore,
    seeds: readonly string[] = ["127.0.0.1:1"],
    storeAddress = store.address,
    isFirstStart = false,
    codec = headerCodec,
  ): Promise<RouterFixture> {
    const [callers = 0, readiness = 0, operations = 0, datagrams = 0] = ports;
    const at = (port: number) => `${host}:${String(port)}`;
    const logLines: string[] = [];
    const write = (text: string) => logLines.push(text);
    const output = { write, close: () => Promise.resolve() };
    const storeClient = StoreClient.create(storeAddress);
    const router = Router.create({
      settings: routerSettingsSchema.parse({
        process: { name: `d-${host}`, zone: "north", isFirstStart },
        listeners: {
          callers: at(callers),
          readiness: at(readiness),
          operations: at(operations),
          datagrams: at(datagrams),
        },
        registry: { address: storeAddress },
        peers: { seeds },
        retries: { ratio: 0.2, slack: 100 },
      }),
      registry: storeClient,
      codec,
      log: StreamLog.create(output, () => performance.now(), "info", {}),
      onTaskFailed: (error) => {
        throw error;
      },
    });
    setBusy(router, false);
    const fixture = new RouterFixture(
      logLines,
      store,
      router,
      host,
      ports,
      storeClient,
      seeds,
      storeAddress,
    );
    const setUp = async (): Promise<void> => {
      await router.start();
      await waitFor(() => logLines.some((line) => line.includes("configuration.in-force")));
    };
    await closeIfFailed(setUp, () => {
      fixture.kill();
      storeClient.close();
    });
    return fixture;
  }

  /** Port of the callers' listener. */
  get callersPort(): number {
    return this.ports[0] ?? 0;
  }

  /** Address of the listener for operators. */
  get operations(): string {
    return `${this.host}:${String(this.ports[2] ?? 0)}`;
  }

  /** Address at which the router receives datagrams and requests of its peers. */
  get datagrams(): string {
    return `${this.host}:${String(this.ports[3] ?? 0)}`;
  }

  /** Closes the router, the store and the upstreams. */
  async close(upstreams: readonly ScriptedUpstream[]): Promise<void> {
    this.router.close();
    this.storeClient.close();
    await Promise.all([this.store.close(), ...upstreams.map((upstream) => upstream.close())]);
  }

  /** Closes the router at once, and the connections of its callers with it. */
  kill(): void {
    this.router.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  /** Opens a connection as a caller. */
  open(): Socket {
    const socket = connect(this.callersPort, this.host);
    this.sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => this.sockets.delete(socket));
    return socket;
  }

  /** Sends a request and reads until the response is complete or the connection ends. */
  async call(
    path: string,
    options: { id?: string; method?: string; head?: string; body?: string } = {},
  ) {
    const { id = "q-1", method = "GET", head = "", body = "" } = options;
    const length = body === "" ? "" : `Content-Length: ${String(body.length)}\r\n`;
    const socket = this.open();
    socket.write(
      `${method} ${path} HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: ${id}\r\n` +
        `Deadline-Ms: 3000\r\nApi-Key: k-1\r\n${length}${head}\r\n${body}`,
    );
    return readResponse(socket);
  }
}

/** Closes the routers of a fleet that have started, once each has started or failed. */
async function closeStarted(starting: readonly Promise<RouterFixture>[]): Promise<void> {
  const results = await Promise.allSettled(starting);
  const started = results.flatMap((result) => (result.status === "fulfilled" ? result.value : []));
  await Promise.all(started.map((router) => router.close([])));
}

/** Reads one response from a connection. */
export async function readResponse(socket: Socket): Promise<RawResponse> {
  let text = "";
  let end: RawResponse["end"] = "open";
  await new Promise<void>((resolve) => {
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (isComplete(text)) {
        resolve();
      }
    });
    socket.on("end", () => {
      end = "closed";
      resolve();
    });
    socket.on("error", () => {
      end = "reset";
      resolve();
    });
    socket.on("close", () => {
      end = end === "open" ? "reset" : end;
      resolve();
    });
  });
  socket.destroy();
  return { ...parseResponse(text), end };
}

/** Waits until a condition holds; throws after about four seconds. */
export async function waitFor(isTrue: () => boolean): Promise<void> {
  for (let tries = 0; tries < 400; tries += 1) {
    if (isTrue()) {
      return;
    }
    await delay(10);
  }
  throw new Error("the condition did not hold in time");
}

function isComplete(text: string): boolean {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) {
    return false;
  }
  const length = /content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1];
  return length === undefined
    ? text.includes("Transfer-Encoding: chunked") && text.endsWith("\r\n0\r\n\r\n")
    : text.length >= headEnd + 4 + Number(length);
}

function parseResponse(text: string): Omit<RawResponse, "end"> {
  const headEnd = text.indexOf("\r\n\r\n");
  const [first = "", ...lines] = text.slice(0, Math.max(0, headEnd)).split("\r\n");
  const headers = Object.fromEntries(
    lines.map((line) => {
      const at = line.indexOf(":");
      return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }),
  ) as Record<string, string>;
  const body = text.slice(headEnd + 4);
  const isChunked = headers["transfer-encoding"] === "chunked";
  return {
    status: Number(first.split(" ")[1] ?? 0),
    headers,
    body: isChunked ? decodeChunks(body) : body,
  };
}

function decodeChunks(body: string): string {
  let text = "";
  let at = 0;
  for (;;) {
    const lineEnd = body.indexOf("\r\n", at);
    const size = lineEnd < 0 ? 0 : parseInt(body.slice(at, lineEnd), 16);
    if (!(size > 0)) {
      return text;
    }
    text += body.slice(lineEnd + 2, lineEnd + 2 + size);
    at = lineEnd + 2 + size + 2;
  }
}
