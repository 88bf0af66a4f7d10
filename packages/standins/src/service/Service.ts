import { createHash } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import type { FastifyReply, FastifyRequest } from "fastify";
import { getBodyText, getHeader, HttpListener, parseBody, parseValue } from "../http/index.js";
import {
  recordsQuerySchema,
  serviceFaultsSchema,
  serviceOptionsSchema,
  type ServiceFaults,
  type ServiceOptions,
  type ServiceSettings,
} from "./schema.js";
import { ServiceRecords, type RunRecord } from "./ServiceRecords.js";

/** Stand-in for a plain service: records each run and does not deduplicate by idempotency key. */
export class Service {
  readonly name: string;
  private readonly listener = HttpListener.create();
  private readonly records = ServiceRecords.create();
  private readonly releaseResponses = new Set<() => void>();
  private faults: Required<ServiceFaults> = {
    leaving: false,
    refuseNext: 0,
    held: false,
    delayMilliseconds: 0,
    die: "never",
    crashText: "",
    statusAfterRun: 200,
    outcomeAfterRun: "",
  };

  private constructor(
    private readonly settings: ServiceSettings,
    private readonly die: () => void,
  ) {
    this.name = settings.name;
    this.addControlRoutes();
    this.addServiceRoutes();
  }

  /**
   * Creates a service that is not listening yet.
   * @param options - Options; omitted ones take their defaults.
   * @param die - Kills the process at once, before a response is sent.
   */
  static create(options: ServiceOptions = {}, die: () => void = killProcess): Service {
    return new Service(serviceOptionsSchema.parse(options), die);
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
    this.setFaults({ held: false });
    await this.listener.close();
  }

  /**
   * Sets faults; omitted ones stay as they are.
   * @param faults - Faults to set.
   */
  setFaults(faults: ServiceFaults): void {
    this.faults = { ...this.faults, ...faults };
    if (!this.faults.held) {
      for (const releaseResponse of this.releaseResponses) {
        releaseResponse();
      }
      this.releaseResponses.clear();
    }
  }

  /** Gets the runs, the oldest first. */
  getRuns(): readonly RunRecord[] {
    return this.records.getRuns();
  }

  private addServiceRoutes(): void {
    const { server } = this.listener;
    server.get("/health", (_request, reply) =>
      this.faults.leaving
        ? reply.code(503).send({ error: { type: "leaving" } })
        : reply.send({ state: "live" }),
    );
    server.all("/*", (request, reply) => this.handleCall(request, reply));
  }

  private async handleCall(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    void reply.header("x-attempt-id", getHeader(request, "x-attempt-id") ?? "");
    if (this.isRefused()) {
      return this.refuse(reply);
    }
    if (this.faults.die === "before-record") {
      return this.dieWithoutResponse(reply);
    }
    const record = this.records.addRun(toRun(request));
    if (this.faults.die === "after-record" || this.isCrashedBy(request)) {
      return this.dieWithoutResponse(reply);
    }
    await this.waitForRelease();
    await delay(this.faults.delayMilliseconds);
    return this.answer(reply, record);
  }

  private answer(reply: FastifyReply, record: RunRecord): FastifyReply {
    const { statusAfterRun, outcomeAfterRun } = this.faults;
    if (outcomeAfterRun !== "") {
      void reply.header("x-outcome", outcomeAfterRun);
    }
    const { sequence, key, path, bodyDigest } = record;
    return reply.code(statusAfterRun).send({ sequence, key, path, bodyDigest });
  }

  private isCrashedBy({ url }: FastifyRequest): boolean {
    return this.faults.crashText !== "" && url.includes(this.faults.crashText);
  }

  private isRefused(): boolean {
    if (this.faults.refuseNext > 0) {
      this.faults.refuseNext -= 1;
      return true;
    }
    return this.faults.leaving;
  }

  private refuse(reply: FastifyReply): FastifyReply {
    return reply
      .code(503)
      .header("x-outcome", "not-run")
      .header("retry-after", "1")
      .send({ error: { type: this.faults.leaving ? "leaving" : "full" } });
  }

  private dieWithoutResponse(reply: FastifyReply): FastifyReply {
    reply.hijack();
    this.die();
    return reply;
  }

  private async waitForRelease(): Promise<void> {
    if (this.faults.held) {
      await new Promise<void>((resolve) => this.releaseResponses.add(resolve));
    }
  }

  private addControlRoutes(): void {
    const { server } = this.listener;
    server.put("/_control/faults", (request) => {
      this.setFaults(parseBody(serviceFaultsSchema, request));
      return this.faults;
    });
    server.get("/_control/records", async (request) => {
      const { atLeast, wait } = parseValue(recordsQuerySchema, request.query);
      await this.records.waitForRuns(atLeast, wait);
      return { records: this.records.getRuns() };
    });
  }
}

function toRun(request: FastifyRequest): Omit<RunRecord, "sequence"> {
  return {
    key: getHeader(request, "idempotency-key") ?? null,
    attempt: getHeader(request, "x-attempt-id") ?? null,
    method: request.method,
    path: request.url,
    bodyDigest: createHash("sha256").update(getBodyText(request)).digest("hex"),
    at: Date.now(),
  };
}

function killProcess(): void {
  process.kill(process.pid, "SIGKILL");
}
