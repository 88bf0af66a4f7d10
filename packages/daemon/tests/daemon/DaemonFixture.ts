import { Daemon, settingsSchema } from "@pistachioway/daemon";
import {
  Platform,
  ScriptedUpstream,
  type ReceivedRequest,
  type Script,
} from "@pistachioway/standins";
import { createHash } from "node:crypto";
import { connect, type Socket } from "node:net";
import { waitFor } from "../router/RouterFixture.js";

const zone = "north";
const token = "token";
const engineSlots = 32;

/** Headers of each request that the daemon takes. */
export const requestHeaders = `Host: x\r\nAuthorization: Bearer ${token}\r\n`;

/** Time until listening ends in a planned stop. */
export const unreadyMilliseconds = 300;
/** Time until the requests that still run in a planned stop are ended. */
const drainMilliseconds = 4_000;

/** A daemon with a platform and one upstream, an engine and host of a service, on loopback sockets. */
export class DaemonFixture {
  private readonly sockets = new Set<Socket>();
  private script: Script = (_request, response) => response.end();

  private constructor(
    private readonly platform: Platform,
    private readonly upstream: ScriptedUpstream,
    readonly daemon: Daemon,
    private readonly address: string,
  ) {}

  /** Starts a daemon, and resolves when it takes calls. */
  static async start(): Promise<DaemonFixture> {
    const platform = Platform.create();
    const upstream = ScriptedUpstream.create("u1");
    await upstream.listen();
    platform.setConfiguration(createConfigurationText());
    const { address } = upstream;
    platform.setHosts([
      { name: "e1", role: "engine", zone, state: "live", address },
      { name: "u1", role: "service", zone, state: "live", address },
    ]);
    const daemon = await Daemon.create(createSettings(await platform.listen()));
    const { callers } = await daemon.start();
    const fixture = new DaemonFixture(platform, upstream, daemon, callers);
    upstream.setScript((request, response) => {
      const respond: Script = isCall(request) ? fixture.script : respondToProbe;
      respond(request, response);
    });
    await waitFor(() => daemon.getPhase() === "ready");
    return fixture;
  }

  /** Sets how the host responds to calls. */
  setScript(script: Script): void {
    this.script = script;
  }

  /** Gets the paths of the calls that the host received, in their order. */
  getCalls(): readonly string[] {
    return this.upstream.received.filter(isCall).map(({ path }) => path);
  }

  /** Opens a connection of a caller. */
  open(): Socket {
    const [host = "", port] = this.address.split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    this.sockets.add(socket);
    return socket;
  }

  /** Stops the daemon if it still runs, and closes the rest. */
  async close(): Promise<void> {
    this.sockets.forEach((socket) => socket.destroy());
    if (this.daemon.getPhase() !== "draining") {
      await this.daemon.stop();
    }
    await Promise.all([this.platform.close(), this.upstream.close()]);
  }
}

/** Responds with the id of the attempt, as a host of a service does. */
export function respondWithBody(body: string): Script {
  return ({ headers }, response) => {
    response.writeHead(200, {
      "x-attempt-id": headers["x-attempt-id"] ?? "",
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  };
}

function isCall({ headers }: Pick<ReceivedRequest, "headers">): boolean {
  return headers["x-attempt-id"] !== undefined;
}

function respondToProbe(...[, response]: Parameters<Script>): void {
  response.end(JSON.stringify({ at: Date.now(), state: "live" }));
}

function createSettings(platform: string): ReturnType<typeof settingsSchema.parse> {
  const [callers, peers, datagrams, operations] = Array.from({ length: 4 }, () => "127.0.0.1:0");
  return settingsSchema.parse({
    process: { name: "d1", zone },
    listeners: { callers, peers, datagrams, operations },
    platform: { address: platform },
    peers: { key: "test-key-test-key-test-key-test-key" },
    limits: { drainMilliseconds, unreadyMilliseconds },
    log: { level: "error" },
  });
}

/** Creates a configuration with one engine and one service. */
export function createConfigurationText(): string {
  const hash = createHash("sha256").update(token).digest("hex");
  return [
    `[[zones]]\nname = "${zone}"\nregion = "here"`,
    `[[models]]\nname = "small"\nversion = "1"`,
    `[[engines]]\nname = "e1"\nzone = "${zone}"\nmodels = ["small"]\nslots = ${String(engineSlots)}`,
    `[[services]]\nname = "booking"\nhosts = [{ name = "u1", zone = "${zone}" }]`,
    'routes = [{ method = "GET", path = "/read", repeatable = true }]',
    `[[teams]]\nname = "routes"\ntokenSha256 = "${hash}"`,
  ].join("\n");
}
