import type { NestFastifyApplication } from "@nestjs/platform-fastify";
import type { Instant } from "@pistachioway/kernel";
import { randomUUID } from "node:crypto";
import type { Server } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { createCallersApplication } from "../callers/index.js";
import { RequestServer } from "../ingress/index.js";
import { ListenerStart, type Listener } from "../listening/index.js";
import type { TaskError } from "../lifecycle/TaskError.js";
import { createOperationsApplication, type DaemonPhase } from "../operations/index.js";
import type { Settings } from "../settings/index.js";
import { TaskGraph } from "./TaskGraph.js";
import type { Tasks } from "./Tasks.js";

/** The addresses that a started daemon listens on. */
export interface ListenAddresses {
  readonly callers: string;
  readonly operations: string;
  readonly peers: string;
  readonly datagrams: string;
}

/** Guard that makes a stop wait for the requests in flight. */
const drainGuard = "stop-drain";
/** Time in which the listeners listen. */
const listenTimeoutMilliseconds = 10_000;
const tickIntervalMilliseconds = 50;
/** Time for the successor to announce to all daemons that it holds the table of acts. */
const successorAnnouncementMilliseconds = 1_500;
/** Time in which the responses to requests that still run at the drain deadline are written. */
const responseTimeoutMilliseconds = 500;

/** One daemon: its listeners, its tasks and its lifecycle from start to stop. */
export class Daemon {
  private phase: "starting" | "ready" | "draining" = "starting";
  private ticker: NodeJS.Timeout | undefined;
  private readonly callersServer: RequestServer;

  private constructor(
    private readonly settings: Settings,
    private readonly tasks: Tasks,
    private readonly callers: NestFastifyApplication,
    private readonly operations: NestFastifyApplication,
  ) {
    const server = callers.getHttpServer() as Server;
    this.callersServer = RequestServer.create(server, tasks.requestPipeline.requests);
  }

  /**
   * Creates a daemon that does not listen yet.
   * @param settings - Validated settings.
   * @param onTaskFailed - Called once, when a task of the daemon does not go on.
   */
  static async create(
    settings: Settings,
    onTaskFailed: (error: TaskError) => void = () => undefined,
  ): Promise<Daemon> {
    const holder: { daemon?: Daemon } = {};
    const getPhase = (): DaemonPhase => holder.daemon?.getPhase() ?? "starting";
    const graph = TaskGraph.create(settings, getPhase, onTaskFailed);
    const tasks = graph.toTasks();
    const callers = await createCallersApplication({
      pipeline: tasks.requestPipeline,
      chats: tasks.chats,
      services: tasks.services,
      acts: tasks.acts,
      bodyBytes: settings.limits.bodyBytes,
      createRequestId: randomUUID,
      onInternalError: (error) => {
        const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
        tasks.recorder.record("request.error", { detail }, "error");
      },
    });
    const operations = await createOperationsApplication(tasks.view);
    holder.daemon = new Daemon(settings, tasks, callers, operations);
    return holder.daemon;
  }

  /**
   * Opens the listeners and starts to read the platform. Resolves when the listeners are open.
   * @throws ListenerError when one of them cannot listen in time.
   */
  async start(): Promise<ListenAddresses> {
    const listening = await this.openListeners();
    const { platform, watch } = this.tasks;
    void watch.runLoop(
      "platform",
      () => platform.run(),
      () => platform.getTurnCount(),
    );
    this.ticker = setInterval(() => {
      this.tick();
    }, tickIntervalMilliseconds);
    this.tick();
    this.tasks.recorder.record("daemon.listening", { ...listening }, "info");
    return listening;
  }

  /** Opens the listeners, callers last; each is tried again for a time. */
  private async openListeners(): Promise<ListenAddresses> {
    const { links, recorder } = this.tasks;
    const { listeners } = this.settings;
    const opened = { callers: "", operations: "", peers: "", datagrams: "" };
    const create = (name: keyof ListenAddresses, open: () => Promise<string>): Listener => ({
      name,
      address: listeners[name],
      isNeeded: true,
      listen: async () => {
        opened[name] = await open();
      },
    });
    const start = ListenerStart.create({
      listeners: [
        create("datagrams", () => links.openDatagrams()),
        create("peers", () => links.openCalls()),
        create("operations", () => listen(this.operations, listeners.operations)),
        create("callers", () => listen(this.callers, listeners.callers)),
      ],
      deadline: performance.now() + listenTimeoutMilliseconds,
      getNow: () => performance.now(),
      onAttempt: () => undefined,
      record: (level, event, fields) => {
        recorder.record(event, fields, level);
      },
    });
    await start.run();
    return opened;
  }

  /** Gets the phase of the daemon's lifecycle. */
  getPhase(): "starting" | "ready" | "draining" {
    return this.phase;
  }

  /**
   * Stops gracefully: reports unready to the load balancer, waits for the requests in flight, hands
   * over the table of acts and closes.
   * @returns True when no request was cut off.
   */
  async stop(): Promise<boolean> {
    const { limits } = this.settings;
    const deadline = Date.now() + limits.drainMilliseconds;
    this.phase = "draining";
    this.tasks.recorder.record("daemon.draining", { deadline }, "info");
    this.tasks.gossip.sendHeartbeats();
    await delay(limits.unreadyMilliseconds);
    const { disabledGuards } = this.settings.experiments;
    const isIdle = await this.waitUntilIdle(disabledGuards.includes(drainGuard) ? 0 : deadline);
    await this.handOverActs(deadline);
    await this.close();
    this.tasks.recorder.record("daemon.stopped", { cutOff: !isIdle }, "info");
    return isIdle;
  }

  /** Ends a stop at once: responds to every request in flight. */
  endRequests(): void {
    this.callersServer.endRequests();
  }

  /** Ends listening for callers, waits for the requests in flight, and ends them at the deadline. */
  private async waitUntilIdle(deadline: Instant): Promise<boolean> {
    this.callersServer.close();
    this.tasks.requestPipeline.close();
    const idle = this.callersServer.waitUntilIdle().then(() => true);
    const timeout = delay(Math.max(0, deadline - Date.now()), false, { ref: false });
    const isIdle = await Promise.race([idle, timeout]);
    if (!isIdle) {
      const ended = this.callersServer.endRequests();
      this.tasks.recorder.record("daemon.service-ended", { ended }, "warn");
      await Promise.race([idle, delay(responseTimeoutMilliseconds)]);
    }
    this.callers.getHttpServer().closeAllConnections();
    await this.callers.close();
    return isIdle;
  }

  /** Hands the table of acts over to a neighbour and leaves it time to announce this. */
  private async handOverActs(deadline: Instant): Promise<void> {
    const successor = this.tasks.gossip.getSuccessor();
    if (successor === undefined) {
      this.tasks.recorder.record("act.no-successor", {}, "warn");
      return;
    }
    await this.tasks.acts.handOver(successor, deadline);
    await delay(successorAnnouncementMilliseconds);
  }

  private async close(): Promise<void> {
    this.tasks.watch.stop();
    clearInterval(this.ticker);
    this.tasks.platform.stop();
    await this.operations.close();
    await this.tasks.links.close();
    await this.tasks.connections.close();
  }

  private tick(): void {
    this.tasks.ticker.tick();
    if (this.phase === "starting" && this.tasks.configuration.getInForce() !== undefined) {
      this.phase = "ready";
      this.tasks.recorder.record("daemon.ready", {}, "info");
    }
  }
}

async function listen(application: NestFastifyApplication, address: string): Promise<string> {
  const [host = "127.0.0.1", port = "0"] = address.split(":");
  await application.listen(Number(port), host);
  const url = new URL(await application.getUrl());
  return `${host}:${url.port}`;
}
