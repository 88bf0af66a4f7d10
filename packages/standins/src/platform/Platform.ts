import type { Host } from "@pistachioway/kernel";
import type { FastifyReply, FastifyRequest } from "fastify";
import { getBodyText, HttpListener, parseBody, parseValue } from "../http/index.js";
import { CallCounter } from "./CallCounter.js";
import { History, type Version } from "./History.js";
import {
  downSchema,
  hostSchema,
  hostsSchema,
  platformOptionsSchema,
  readQuerySchema,
  restoreSchema,
  staleSchema,
  type Availability,
  type PlatformOptions,
  type PlatformSettings,
} from "./schema.js";

/** Stand-in for the platform: serves a configuration value and a host list to read and watch. */
export class Platform {
  readonly name: string;
  private readonly listener = HttpListener.create();
  private readonly configuration = History.create<string>();
  private readonly hosts = History.create<readonly Host[]>();
  private readonly callCounter: CallCounter;
  private availability: Availability = "up";

  private constructor(private readonly settings: PlatformSettings) {
    this.name = settings.name;
    this.callCounter = CallCounter.create(settings.callsPerSecond);
    this.addReadRoutes();
    this.addControlRoutes();
  }

  /**
   * Creates a platform that is not listening yet.
   * @param options - Options; omitted ones take their defaults.
   */
  static create(options: PlatformOptions = {}): Platform {
    return new Platform(platformOptionsSchema.parse(options));
  }

  /** Gets the address in the form `127.0.0.1:PORT`. */
  get address(): string {
    return this.listener.address;
  }

  /** Binds the listener and returns its address. */
  listen(): Promise<string> {
    return this.listener.listen(this.settings.port);
  }

  /** Closes the listener and every connection. */
  async close(): Promise<void> {
    await this.listener.close();
  }

  /**
   * Publishes a configuration file and returns its revision.
   * @param text - Text of the TOML file.
   */
  setConfiguration(text: string): number {
    return this.configuration.addVersion(text);
  }

  /**
   * Adds a host to the list or replaces the one of the same name; returns the list's revision.
   * @param host - Host to list.
   */
  setHost(host: Host): number {
    return this.hosts.addVersion([...this.getHostsWithout(host.name), host]);
  }

  /**
   * Replaces the whole host list and returns its revision.
   * @param hosts - Hosts to list.
   */
  setHosts(hosts: readonly Host[]): number {
    return this.hosts.addVersion(hosts);
  }

  /**
   * Removes a host and returns the list's revision.
   * @param name - Name of the host.
   */
  removeHost(name: string): number {
    return this.hosts.addVersion(this.getHostsWithout(name));
  }

  /**
   * Sets how read calls respond; pending watches end at once.
   * @param availability - Availability from now on.
   */
  setAvailability(availability: Availability): void {
    this.availability = availability;
    this.configuration.wakeAll();
    this.hosts.wakeAll();
  }

  private getHostsWithout(name: string): readonly Host[] {
    return (this.hosts.getNewest()?.value ?? []).filter((host) => host.name !== name);
  }

  private addReadRoutes(): void {
    const { server } = this.listener;
    server.get("/v1/values/configuration", (request, reply) =>
      this.handleRead(request, reply, this.configuration, ({ revision, value }) => ({
        revision,
        value,
      })),
    );
    server.get("/v1/hosts", (request, reply) =>
      this.handleRead(request, reply, this.hosts, ({ revision, value }) => ({
        revision,
        hosts: value,
      })),
    );
  }

  private async handleRead<Value>(
    request: FastifyRequest,
    reply: FastifyReply,
    history: History<Value>,
    toBody: (version: Version<Value>) => object,
  ): Promise<FastifyReply> {
    if (!this.callCounter.addCall(Date.now())) {
      return reply.code(429).header("retry-after", "1").send(toErrorBody("rate"));
    }
    const { after, wait } = parseValue(readQuerySchema, request.query);
    if (this.availability === "up" && after !== undefined) {
      const isChanged = await this.waitForChange(request, history, after, wait);
      if (this.availability === "up" && !isChanged) {
        return reply.code(304).send();
      }
    }
    if (this.availability !== "up") {
      return this.respondUnavailable(request, reply);
    }
    const version = history.getServed();
    return version === undefined
      ? reply.code(404).send(toErrorBody("no-value"))
      : reply.send(toBody(version));
  }

  private async waitForChange<Value>(
    request: FastifyRequest,
    history: History<Value>,
    after: number,
    waitMilliseconds: number,
  ): Promise<boolean> {
    const readerController = new AbortController();
    const onClose = () => {
      readerController.abort();
    };
    request.raw.socket.once("close", onClose);
    const isDown = () => this.availability !== "up";
    const isChanged = await history.waitForChange(
      after,
      waitMilliseconds,
      readerController.signal,
      isDown,
    );
    request.raw.socket.off("close", onClose);
    return isChanged;
  }

  private respondUnavailable(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    if (this.availability === "refuse") {
      return reply.code(503).send(toErrorBody("down"));
    }
    reply.hijack();
    request.raw.socket.resetAndDestroy();
    return reply;
  }

  private addControlRoutes(): void {
    const { server } = this.listener;
    server.put("/_control/configuration", (request) => ({
      revision: this.setConfiguration(getBodyText(request)),
    }));
    server.put("/_control/hosts", (request) => ({
      revision: this.setHosts(parseBody(hostsSchema, request)),
    }));
    server.put("/_control/hosts/:name", (request) => ({
      revision: this.setHost(parseBody(hostSchema, request)),
    }));
    server.delete<{ Params: { name: string } }>("/_control/hosts/:name", (request) => ({
      revision: this.removeHost(request.params.name),
    }));
    this.addFaultRoutes();
    server.get("/_control/counters", () => this.getCounters());
  }

  private addFaultRoutes(): void {
    const { server } = this.listener;
    server.post("/_control/down", (request) => {
      this.setAvailability(parseBody(downSchema, request).mode);
      return this.getCounters();
    });
    server.post("/_control/up", () => {
      this.setAvailability("up");
      return this.getCounters();
    });
    server.post("/_control/stale", (request) => {
      const { configurationRevision, hostsRevision } = parseBody(staleSchema, request);
      this.configuration.setStaleRevision(configurationRevision);
      this.hosts.setStaleRevision(hostsRevision);
      return this.getCounters();
    });
    server.post("/_control/wipe", () => {
      this.configuration.wipe();
      return this.getCounters();
    });
    server.post("/_control/restore", (request) => {
      this.configuration.restore(parseBody(restoreSchema, request).revision);
      return this.getCounters();
    });
  }

  private getCounters(): object {
    return {
      ...this.callCounter.getCounts(),
      watchers: this.configuration.getWatcherCount() + this.hosts.getWatcherCount(),
      availability: this.availability,
      configurationRevision: this.configuration.getNewest()?.revision ?? 0,
      hostsRevision: this.hosts.getNewest()?.revision ?? 0,
    };
  }
}

function toErrorBody(type: string): object {
  return { error: { type } };
}
