import { randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import type { FastifyReply, FastifyRequest } from "fastify";
import { getHeader, HttpListener, parseBody, parseValue } from "../http/index.js";
import { defaultAnswerTokens } from "./answer.js";
import { Batch } from "./Batch.js";
import { EngineRecords, type RequestOutcome } from "./EngineRecords.js";
import { Generation } from "./Generation.js";
import { Inventory } from "./Inventory.js";
import { LoadReport } from "./LoadReport.js";
import { PrefixCache } from "./PrefixCache.js";
import {
  afterQuerySchema,
  completionSchema,
  engineFaultsSchema,
  engineOptionsSchema,
  offsetQuerySchema,
  orderSchema,
  prefixSchema,
  type Completion,
  type EngineFaults,
  type EngineOptions,
  type EngineSettings,
} from "./schema.js";
import { toCompletionBody, writeStream } from "./stream.js";

const defaultPriority = 5;
const successStatus = 200;

interface AttemptRouteOptions {
  Params: { attempt: string };
}

interface ChatRouteOptions {
  Params: { chat: string };
}

/** Stand-in for an inference engine with continuous batching. */
export class Engine {
  readonly name: string;
  private readonly listener = HttpListener.create();
  private readonly records = EngineRecords.create();
  private readonly generationsByAttempt = new Map<string, Generation>();
  private readonly cache: PrefixCache;
  private readonly batch: Batch;
  private readonly inventory: Inventory;
  private readonly loadReport: LoadReport;
  private faults: Required<EngineFaults> = {
    leaving: false,
    full: false,
    frozen: false,
    loadReports: "fresh",
    flapEveryRequests: 0,
    crashText: "",
    statusAfterRun: successStatus,
  };

  private constructor(private readonly settings: EngineSettings) {
    this.name = settings.name;
    this.cache = PrefixCache.create(settings.cacheTokens, settings.lostCacheEventEvery);
    this.batch = Batch.create(settings, this.cache);
    this.inventory = Inventory.create(
      settings.models.split(","),
      settings.checksFencing,
      settings.modelLoadMilliseconds,
    );
    this.loadReport = LoadReport.create(settings.loadLagMilliseconds, () => this.batch.getCounts());
    this.addChatRoutes();
    this.addStateRoutes();
    this.addControlRoutes();
  }

  /**
   * Creates an engine that is not listening yet.
   * @param options - Options; omitted ones take their defaults.
   */
  static create(options: EngineOptions = {}): Engine {
    return new Engine(engineOptionsSchema.parse(options));
  }

  /** Gets the address in the form `127.0.0.1:PORT`. */
  get address(): string {
    return this.listener.address;
  }

  /** Binds the listener and returns its address. */
  listen(): Promise<string> {
    return this.listener.listen(this.settings.port);
  }

  /** Closes the listener and every connection, and stops the batch. */
  async close(): Promise<void> {
    this.batch.close();
    this.loadReport.close();
    await this.listener.close();
  }

  /**
   * Sets faults; omitted ones stay as they are.
   * @param faults - Faults to set.
   */
  setFaults(faults: EngineFaults): void {
    this.faults = { ...this.faults, ...faults };
    this.batch.setFrozen(this.faults.frozen);
    this.loadReport.setStuck(this.faults.loadReports === "stuck");
  }

  /** Gets the records of what the engine received and did. */
  getRecords(): EngineRecords {
    return this.records;
  }

  private addChatRoutes(): void {
    const { server } = this.listener;
    server.post("/v1/chat/completions", (request, reply) => this.handleChat(request, reply));
    server.get<AttemptRouteOptions>("/v1/streams/:attempt", (request, reply) =>
      this.resume(request.params.attempt, request, reply),
    );
    server.delete<AttemptRouteOptions>("/v1/streams/:attempt", (request, reply) => {
      this.cancel(request.params.attempt);
      return reply.code(204).header("x-attempt-id", request.params.attempt).send();
    });
  }

  private async handleChat(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const attempt = getHeader(request, "x-attempt-id") ?? randomUUID();
    const chat = getHeader(request, "x-chat-id") ?? attempt;
    const priority = Number(getHeader(request, "x-priority") ?? defaultPriority);
    const completion = parseBody(completionSchema, request);
    const outcome = this.getOutcome(attempt, completion);
    const at = Date.now();
    this.records.addRequest({ attempt, chat, model: completion.model, priority, at, outcome });
    this.flap();
    void reply.header("x-attempt-id", attempt);
    if (outcome !== "accepted") {
      return this.refuse(reply, outcome);
    }
    if (this.isCrashedBy(completion)) {
      await this.close();
      return reply;
    }
    const tokens = completion.max_tokens ?? defaultAnswerTokens;
    const generation = Generation.create({ attempt, chat, priority, tokens, completion });
    this.generationsByAttempt.set(attempt, generation);
    const readerSignal = this.attachReader(generation, reply);
    this.batch.addGeneration(generation);
    await delay(this.settings.latencyMilliseconds);
    if (this.faults.statusAfterRun !== successStatus) {
      return this.sendFault(generation, reply, readerSignal);
    }
    return completion.stream
      ? this.sendStream(generation, 0, reply, readerSignal)
      : this.sendCompletion(generation, reply, readerSignal);
  }

  private getOutcome(attempt: string, completion: Completion): RequestOutcome {
    if (this.faults.leaving) {
      return "leaving";
    }
    if (this.generationsByAttempt.has(attempt)) {
      return "duplicate-attempt";
    }
    if (!this.inventory.isReady(completion.model)) {
      return "unknown-model";
    }
    return this.faults.full || this.batch.isFull() ? "full" : "accepted";
  }

  private refuse(reply: FastifyReply, outcome: RequestOutcome): FastifyReply {
    const body = { error: { type: outcome } };
    if (outcome === "duplicate-attempt") {
      return reply.code(409).send(body);
    }
    void reply.header("x-outcome", "not-run");
    if (outcome === "unknown-model") {
      return reply.code(404).send(body);
    }
    return reply
      .code(outcome === "leaving" ? 503 : 429)
      .header("retry-after", "1")
      .send(body);
  }

  private isCrashedBy({ messages }: Completion): boolean {
    const { crashText } = this.faults;
    return crashText !== "" && messages.some(({ content }) => content.includes(crashText));
  }

  /** Toggles `leaving` on every n-th chat request. */
  private flap(): void {
    const { flapEveryRequests, leaving } = this.faults;
    if (flapEveryRequests > 0 && this.records.counts.requests % flapEveryRequests === 0) {
      this.faults.leaving = !leaving;
    }
  }

  /** Counts the connection as a reader; returns a signal that is aborted when it closes. */
  private attachReader(generation: Generation, reply: FastifyReply): AbortSignal {
    const readerController = new AbortController();
    generation.readerCount += 1;
    reply.raw.once("close", () => {
      generation.readerCount -= 1;
      readerController.abort();
      this.scheduleCancelUnlessResumed(generation);
    });
    return readerController.signal;
  }

  private scheduleCancelUnlessResumed(generation: Generation): void {
    const timer = setTimeout(() => {
      if (generation.readerCount === 0) {
        this.cancel(generation.attempt);
        this.generationsByAttempt.delete(generation.attempt);
      }
    }, this.settings.resumeMilliseconds);
    timer.unref();
  }

  private cancel(attempt: string): void {
    const generation = this.generationsByAttempt.get(attempt);
    if (generation?.cancel() === true) {
      this.records.counts.cancelled += 1;
      this.batch.removeGeneration(generation);
    }
  }

  private async sendStream(
    generation: Generation,
    offset: number,
    reply: FastifyReply,
    readerSignal: AbortSignal,
  ): Promise<FastifyReply> {
    reply.hijack();
    reply.raw.writeHead(200, {
      "content-type": "text/event-stream",
      "cache-control": "no-store",
      "x-attempt-id": generation.attempt,
    });
    reply.raw.flushHeaders();
    await writeStream(generation, offset, reply.raw, readerSignal);
    this.countCompleted(generation);
    return reply;
  }

  private async sendCompletion(
    generation: Generation,
    reply: FastifyReply,
    readerSignal: AbortSignal,
  ): Promise<FastifyReply> {
    await generation.waitForToken(generation.totalTokens - 1, readerSignal);
    if (generation.state !== "done") {
      reply.hijack();
      reply.raw.destroy();
      return reply;
    }
    this.countCompleted(generation);
    return reply.send(toCompletionBody(generation));
  }

  /** Answers a request that has run with the status of the fault. */
  private async sendFault(
    generation: Generation,
    reply: FastifyReply,
    readerSignal: AbortSignal,
  ): Promise<FastifyReply> {
    await generation.waitForToken(generation.totalTokens - 1, readerSignal);
    return reply.code(this.faults.statusAfterRun).send({ error: { type: "fault" } });
  }

  private countCompleted(generation: Generation): void {
    if (generation.state !== "done" || generation.isCompletionCounted) {
      return;
    }
    generation.isCompletionCounted = true;
    const usage = generation.getUsage();
    this.records.counts.completed += 1;
    this.records.counts.promptTokens += usage.prompt_tokens;
    this.records.counts.cachedTokens += usage.cached_tokens;
  }

  private async resume(
    attempt: string,
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<FastifyReply> {
    const { offset } = parseValue(offsetQuerySchema, request.query);
    const generation = this.generationsByAttempt.get(attempt);
    void reply.header("x-attempt-id", attempt);
    if (generation === undefined || generation.state === "cancelled") {
      return reply.code(404).send({ error: { type: "unknown-stream" } });
    }
    this.records.counts.resumed += 1;
    return this.sendStream(generation, offset, reply, this.attachReader(generation, reply));
  }

  private addStateRoutes(): void {
    const { server } = this.listener;
    server.get("/v1/load", (request, reply) => this.sendLoad(reply));
    server.get("/v1/cache-events", (request) => {
      const { after } = parseValue(afterQuerySchema, request.query);
      return this.cache.getEvents(after, Date.now() - this.settings.cacheEventLagMilliseconds);
    });
    server.get("/v1/orders", () => this.inventory.getState());
    server.post("/v1/orders", (request, reply) => {
      const result = this.inventory.execute(parseBody(orderSchema, request));
      return result.isOk ? reply.code(202).send({}) : reply.code(409).send({ error: result.error });
    });
    server.get<ChatRouteOptions>("/v1/kv/:chat", (request, reply) => {
      const words = this.cache.getPrefix(request.params.chat);
      return words === undefined
        ? reply.code(404).send({ error: { type: "unknown-chat" } })
        : reply.type("application/octet-stream").send(Buffer.from(JSON.stringify({ words })));
    });
    server.put<ChatRouteOptions>("/v1/kv/:chat", (request, reply) => {
      const { words } = parseBody(prefixSchema, request);
      this.cache.store(request.params.chat, words, Date.now());
      return reply.code(204).send();
    });
  }

  private sendLoad(reply: FastifyReply): FastifyReply {
    if (this.faults.loadReports === "missing") {
      return reply.code(503).send({ error: { type: "no-load-report" } });
    }
    return reply.send({
      ...this.loadReport.getSample(),
      slots: this.settings.slots,
      state: this.faults.leaving ? "leaving" : "live",
      models: this.inventory.getReadyModels(),
      fencing: this.inventory.getFencingToken(),
    });
  }

  private addControlRoutes(): void {
    const { server } = this.listener;
    server.put("/_control/faults", (request) => {
      this.setFaults(parseBody(engineFaultsSchema, request));
      return this.faults;
    });
    server.get("/_control/load", () => this.batch.getCounts());
    server.get("/_control/records", () => ({
      counts: this.records.counts,
      load: this.batch.getCounts(),
      cacheTokens: this.cache.getTokens(),
      requests: this.records.getRequests(),
      orders: this.inventory.getExecutedOrders(),
    }));
  }
}
