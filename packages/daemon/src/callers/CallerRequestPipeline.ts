import type { Instant } from "@pistachioway/kernel";
import type { FastifyReply, FastifyRequest } from "fastify";
import { Problem } from "../errors/index.js";
import { EndingConnections, RunningRequests } from "../ingress/index.js";
import type { Metrics } from "../metrics/index.js";
import type { Recorder } from "../timeline/index.js";
import { ResponseWriter } from "./ResponseWriter.js";
import type { CallerRequest } from "./CallerRequest.js";
import { getCallerProblem } from "./getCallerProblem.js";
import { createCallerRequest, type RequestContext } from "./createCallerRequest.js";

/** The kinds of requests that callers send. */
export type RequestKind = "chat" | "service" | "act-key";

/** Serves one request and resolves once the response is written. */
export type RequestHandler = (request: CallerRequest, writer: ResponseWriter) => Promise<void>;

/** The dependencies of the pipeline. */
export interface CallerRequestPipelineDependencies {
  readonly context: RequestContext;
  readonly recorder: Recorder;
  readonly metrics: Metrics;
  /** True while the daemon stops; responses then ask callers to close their connections. */
  readonly isDraining: () => boolean;
}

const millisecondsPerSecond = 1000;

/**
 * Handles what all caller requests share: authentication, counts, metrics and typed error
 * responses.
 */
export class CallerRequestPipeline {
  /** Requests in flight, those whose body is not complete included. */
  readonly requests = RunningRequests.create();
  private readonly endingConnections: EndingConnections;
  /** True once listening has ended: no further request is served. */
  private isClosed = false;

  private constructor(private readonly dependencies: CallerRequestPipelineDependencies) {
    this.endingConnections = EndingConnections.create(
      (socket) => this.requests.getCountOn(socket),
      dependencies.isDraining,
    );
  }

  /**
   * Creates the pipeline.
   * @param dependencies - The dependencies of the pipeline.
   */
  static create(dependencies: CallerRequestPipelineDependencies): CallerRequestPipeline {
    return new CallerRequestPipeline(dependencies);
  }

  /**
   * Serves only the requests that are complete by now, and refuses every other at once: those whose body is not
   * complete, and those that still come on connections with a request in flight.
   */
  close(): void {
    this.isClosed = true;
    this.requests.endIncomplete();
  }

  /**
   * Accepts the head of a request.
   * @param httpRequest - Request of the HTTP server; its body may not be complete.
   * @param reply - Reply to it.
   * @returns False when the request is not served: it was refused, or its connection ends.
   */
  accept(httpRequest: FastifyRequest, reply: FastifyReply): boolean {
    if (this.endingConnections.isEnding(httpRequest.raw.socket)) {
      reply.hijack();
      return false;
    }
    const startedAt = this.dependencies.context.getNow();
    const refuse = (): void => {
      const detail = "the daemon stops before the request is served";
      this.refuse(httpRequest, reply, startedAt, Problem.create("shutting-down", detail));
    };
    this.requests.add(reply.raw, refuse);
    this.endingConnections.endAfterLast(reply.raw);
    if (this.isClosed) {
      refuse();
    }
    return !this.isClosed;
  }

  /**
   * Accepts a request that leads to no handler, and refuses it.
   * @param httpRequest - Request of the HTTP server.
   * @param reply - Reply to it.
   * @param problem - Why it leads to none.
   */
  acceptUnroutable(httpRequest: FastifyRequest, reply: FastifyReply, problem: Problem): void {
    if (this.accept(httpRequest, reply)) {
      this.refuse(httpRequest, reply, this.dependencies.context.getNow(), problem);
    }
  }

  /**
   * Creates the writer of the response to a request.
   * @param httpRequest - Request of the HTTP server.
   * @param reply - Reply to it.
   */
  createWriter(httpRequest: FastifyRequest, reply: FastifyReply): ResponseWriter {
    const { getNow } = this.dependencies.context;
    const { socket } = httpRequest.raw;
    const isLast = (): boolean => this.endingConnections.isLastOn(socket);
    return ResponseWriter.create(reply, httpRequest.id, getNow, isLast);
  }

  /**
   * Serves one request.
   * @param kind - Kind of the request.
   * @param httpRequest - Request of the HTTP server.
   * @param reply - Reply to it.
   * @param handler - Serves the request once it is authenticated.
   */
  async serve(
    kind: RequestKind,
    httpRequest: FastifyRequest,
    reply: FastifyReply,
    handler: RequestHandler,
  ): Promise<void> {
    if (reply.raw.writableEnded) {
      return;
    }
    const writer = this.createWriter(httpRequest, reply);
    this.requests.setEnd(reply.raw, () => {
      const detail = "the daemon stops before the request is answered";
      writer.sendProblem(Problem.create("deadline-exceeded", detail, "unknown"));
    });
    const startedAt = this.dependencies.context.getNow();
    try {
      const { context } = this.dependencies;
      const request = createCallerRequest(httpRequest, reply, httpRequest.id, context);
      await handler(request, writer);
      this.recordFinished(kind, httpRequest.id, startedAt, undefined);
    } catch (error) {
      const problem = getCallerProblem(this.toProblem(error, httpRequest.id), httpRequest);
      writer.sendProblem(problem);
      this.recordFinished(kind, httpRequest.id, startedAt, problem);
    }
  }

  /** Refuses a request that no handler has served. */
  private refuse(
    httpRequest: FastifyRequest,
    reply: FastifyReply,
    startedAt: Instant,
    cause: Problem,
  ): void {
    const problem = getCallerProblem(cause, httpRequest);
    this.createWriter(httpRequest, reply).sendProblem(problem);
    this.recordFinished("none", httpRequest.id, startedAt, problem);
  }

  private toProblem(error: unknown, requestId: string): Problem {
    if (error instanceof Problem) {
      return error;
    }
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.dependencies.recorder.record("request.error", { request: requestId, detail }, "error");
    return Problem.create("internal", "an internal error stopped the request", "unknown");
  }

  private recordFinished(
    kind: RequestKind | "none",
    requestId: string,
    startedAt: Instant,
    problem: Problem | undefined,
  ): void {
    const { metrics, recorder, context } = this.dependencies;
    const milliseconds = context.getNow() - startedAt;
    const outcome = problem?.outcome ?? "complete";
    metrics.requests.inc({ kind, outcome, problem: problem?.code ?? "none" });
    metrics.requestDuration.observe({ kind }, milliseconds / millisecondsPerSecond);
    const fields = { request: requestId, kind, outcome, milliseconds };
    if (problem === undefined) {
      recorder.record("request.finished", fields, "info");
      return;
    }
    const failure = { problem: problem.code, detail: problem.detail };
    recorder.record("request.finished", { ...fields, ...failure }, "warn");
  }
}
