import { Controller, Get, Inject, Query, Req, Res } from "@nestjs/common";
import type { FastifyReply, FastifyRequest } from "fastify";
import { OperationsView } from "./OperationsView.js";

const notReadyStatus = 503;
const maxChatIdCharacters = 200;

/** What operators read: liveness, readiness, metrics, status, time line, explanations. */
@Controller()
export class OperationsController {
  constructor(@Inject(OperationsView) private readonly view: OperationsView) {}

  /** Tells that the process runs. */
  @Get("healthz")
  getHealth(): { readonly status: string } {
    return { status: "ok" };
  }

  /**
   * Tells the balancer whether to send requests here.
   * @param reply - Reply of the HTTP server.
   */
  @Get("readyz")
  async getReadiness(@Res() reply: FastifyReply): Promise<void> {
    const state = this.view.getState();
    await reply.code(state === "ready" ? 200 : notReadyStatus).send({ status: state });
  }

  /**
   * Gets the metrics in the Prometheus text format.
   * @param reply - Reply of the HTTP server.
   */
  @Get("metrics")
  async getMetrics(@Res() reply: FastifyReply): Promise<void> {
    const metrics = await this.view.getMetrics();
    await reply.header("content-type", metrics.contentType).send(metrics.text);
  }

  /** Gets this daemon's view. */
  @Get("v1/status")
  getStatus(): ReturnType<OperationsView["getStatus"]> {
    return this.view.getStatus();
  }

  /**
   * Gets a part of the time line.
   * @param after - Last sequence number already seen.
   * @param id - Keeps only events that carry this id.
   */
  @Get("v1/events")
  getEvents(
    @Query("after") after: string | undefined,
    @Query("id") id: string | undefined,
  ): ReturnType<OperationsView["getEvents"]> {
    const sequence = Number(after ?? 0);
    return this.view.getEvents(Number.isSafeInteger(sequence) ? Math.max(0, sequence) : 0, id);
  }

  /**
   * Tells where a chat would go and why.
   * @param request - Request of the HTTP server, with `chat`, `model` and perhaps `team`.
   * @param reply - Its reply.
   */
  @Get("v1/explain")
  async explain(
    @Req() request: FastifyRequest<{ Querystring: Record<string, string | undefined> }>,
    @Res() reply: FastifyReply,
  ): Promise<void> {
    const { chat, model, team } = request.query;
    if (chat === undefined || model === undefined || chat.length > maxChatIdCharacters) {
      await reply.code(400).send({ error: 'query needs "chat" and "model"' });
      return;
    }
    const explanation = this.view.explain(chat, model, team);
    if (explanation === undefined) {
      await reply.code(404).send({ error: `model "${model}" is not in the configuration` });
      return;
    }
    await reply.send(explanation);
  }
}
